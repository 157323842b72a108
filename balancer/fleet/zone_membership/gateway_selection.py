"""The gateways of a zone as selected by one of its members."""

from __future__ import annotations

from balancer.fleet.zone_membership.gateways import Rendezvous
from balancer.fleet.zone_membership.group import Group


class GatewaySelection:
    """Selection of the first members in the order of rendezvous hashing, except unresponsive ones.

    Args:
        group: The zone's SWIM group.
        rendezvous: The order of the group's members by their hashes.
        count: Number of gateways of a zone.
    """

    def __init__(self, group: Group, rendezvous: Rendezvous, count: int) -> None:
        self.group = group
        self.rendezvous = rendezvous
        self.count = count
        # Time until which an unresponsive member is not selected as a gateway, by the member's name.
        self.unresponsive_until: dict[str, int] = {}

    def gateways(self, now: int) -> list[str]:
        """Return the names of the gateways, including this node if it is one."""
        self.unresponsive_until = {
            name: until for name, until in self.unresponsive_until.items() if until > now
        }
        names = [*self.group.alive(), self.group.local_claim.name]
        if len(self.rendezvous.scores) > 2 * len(names):
            self.rendezvous.retain_only(names)
        candidates = (name for name in names if name not in self.unresponsive_until)
        return self.rendezvous.first(candidates, self.count)

    def mark_unresponsive(self, name: str, until: int) -> None:
        """Exclude a member from the selection until a point in time."""
        self.unresponsive_until[name] = until

    def mark_responsive(self, name: str) -> None:
        """End a member's exclusion, since a message from it has arrived."""
        self.unresponsive_until.pop(name, None)
