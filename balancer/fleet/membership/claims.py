"""Claims: what one member says of another, and which of two claims holds.

Of two claims about a member the one with the higher incarnation holds; of the same incarnation left over dead
over suspect over alive. Only a member itself raises its incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

Address = tuple[str, int]

MAX_NAME_CHARACTERS = 64  # of a member or a host


class Status(IntEnum):
    """A claim about a member; of one incarnation the greater holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True)
class Claim:
    """What somebody says of a member."""

    name: str
    address: Address
    status: Status
    incarnation: int


def overrides(new: Claim, held: Claim) -> bool:
    """Whether a claim takes the place of the one held."""
    if new.incarnation != held.incarnation:
        return new.incarnation > held.incarnation
    return new.status > held.status
