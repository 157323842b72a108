"""Claims about the status of members, and their precedence.

Of two claims about a member the one with the higher incarnation prevails; of the same incarnation, the order
is left over dead over suspect over alive. Only a member itself raises its incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

Address = tuple[str, int]

MAX_NAME_CHARACTERS = 64  # of a member's name or a host


class Status(IntEnum):
    """Status of a member; of one incarnation, the greater prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True)
class Claim:
    """A statement about a member's status in one of its incarnations."""

    name: str
    address: Address
    status: Status
    incarnation: int


def overrides(new: Claim, current: Claim) -> bool:
    """Returns whether a claim takes precedence over the current one about the same member."""
    if new.incarnation != current.incarnation:
        return new.incarnation > current.incarnation
    return new.status > current.status
