"""A baseline for zone routing: strictly local until the home zone has no servers.

The shares that the fleet computes are compared with it, and with nodes that spread their calls over all
zones alike, which is the policy alone.
"""

from __future__ import annotations

from balancer.fleet.zone_routing.router import ZoneRouter


class StrictlyLocal(ZoneRouter):
    """All calls go to the home zone while it has a server in service, else to the others by their servers."""

    def shares(self, now: int) -> dict[str, float]:
        """Returns the part of the calls that goes to each zone."""
        servers = dict.fromkeys(self.zones(), 0)
        for number, server in self.servers.items():
            servers[server.zone] += number not in self.ejected
        if servers.get(self.home):
            return {self.home: 1.0}
        total = sum(servers.values())
        if not total:
            return {zone: 1 / len(servers) for zone in servers}
        return {zone: count / total for zone, count in servers.items() if count}

    def allows(self, server: int) -> bool:
        """Returns True: calls may go to any server."""
        return True
