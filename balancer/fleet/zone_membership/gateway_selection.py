"""Which members this node takes for the gateways of its zone."""

from __future__ import annotations

from balancer.fleet.zone_membership.gateways import Rendezvous
from balancer.fleet.zone_membership.group import Group


class GatewaySelection:
    """The first members in the order of rendezvous hashing, without the unresponsive ones.

    Args:
        group: The zone's SWIM group.
        rendezvous: The order of its members.
        count: How many gateways a zone has.
    """

    def __init__(self, group: Group, rendezvous: Rendezvous, count: int) -> None:
        self.group = group
        self.rendezvous = rendezvous
        self.count = count
        self.unresponsive_until: dict[str, int] = {}  # by name

    def gateways(self, now: int) -> list[str]:
        """Returns the names of the gateways, this node's included if it is one."""
        self.unresponsive_until = {
            name: until for name, until in self.unresponsive_until.items() if until > now
        }
        names = [*self.group.alive(), self.group.me.name]
        if len(self.rendezvous.scores) > 2 * len(names):
            self.rendezvous.keep_only(names)
        candidates = (name for name in names if name not in self.unresponsive_until)
        return self.rendezvous.first(candidates, self.count)

    def mark_unresponsive(self, name: str, until: int) -> None:
        """Excludes a member until a point in time."""
        self.unresponsive_until[name] = until

    def mark_responsive(self, name: str) -> None:
        """Ends a member's exclusion: a message of it has arrived."""
        self.unresponsive_until.pop(name, None)
