"""Claims about the status of members, and their precedence.

An incarnation is a number that each process of a member starts with and raises to refute claims. Of two
claims about a member, the one with the higher incarnation takes precedence. Within an incarnation, left takes
precedence over dead, dead over suspect, and suspect over alive. Only a member itself raises its incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

Address = tuple[str, int]

# Maximum length of member names and of host names.
MAX_NAME_CHARACTERS = 64


class Status(IntEnum):
    """The status of a member; within an incarnation the greater value takes precedence."""

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
    """Return whether a new claim takes precedence over the current one about the same member."""
    if new.incarnation != current.incarnation:
        return new.incarnation > current.incarnation
    return new.status > current.status
