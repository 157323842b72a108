"""Changes of an instance's view of the group, which are published to a subscriber."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from balancer.fleet.membership.claims import Claim, Status


class MembershipChange(StrEnum):
    """A change of this instance's view of a member; its values appear in logs and on operators' pages.

    REFUTED means that this instance has refuted a claim about itself, by a claim with a higher incarnation.
    """

    JOIN = "join"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"
    REFUTED = "refuted"
    FORGOTTEN = "forgotten"


ChangeSubscriber = Callable[[MembershipChange, Claim], None]

CHANGES_BY_STATUS = {
    Status.ALIVE: MembershipChange.ALIVE,
    Status.SUSPECT: MembershipChange.SUSPECT,
    Status.DEAD: MembershipChange.DEAD,
    Status.LEFT: MembershipChange.LEFT,
}


def ignore_change(change: MembershipChange, claim: Claim) -> None:
    """Ignore a change; this is the default subscriber."""
