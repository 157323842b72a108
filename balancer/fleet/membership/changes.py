"""Changes of an instance's view of the group, as published to a subscriber."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from balancer.fleet.membership.claims import Claim, Status


class MembershipChange(StrEnum):
    """A change of this instance's view of a member; its values are written to logs and pages."""

    JOIN = "join"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"
    REFUTED = "refuted"  # a claim about this instance
    FORGOTTEN = "forgotten"


ChangeSubscriber = Callable[[MembershipChange, Claim], None]

CHANGES_BY_STATUS = {
    Status.ALIVE: MembershipChange.ALIVE,
    Status.SUSPECT: MembershipChange.SUSPECT,
    Status.DEAD: MembershipChange.DEAD,
    Status.LEFT: MembershipChange.LEFT,
}


def ignore_change(change: MembershipChange, claim: Claim) -> None:
    """The default subscriber, which ignores all changes."""
