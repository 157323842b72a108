"""A baseline for zone routing: calls stay in the home zone while it has servers.

The zone shares that the fleet computes are compared with this baseline, and with the policy alone, which
spreads calls over all zones alike.
"""

from __future__ import annotations

from balancer.fleet.zone_routing.router import ZoneRouter


class StrictlyLocal(ZoneRouter):
    """Routes all calls to the home zone while it has a server that is not ejected.

    After that, calls go to the other zones in proportion to their servers.
    """

    def shares(self, now: int) -> dict[str, float]:
        """Return the share of the calls that goes to each zone."""
        server_counts = dict.fromkeys(self.zones(), 0)
        for number, server in self.servers.items():
            server_counts[server.zone] += number not in self.ejected
        if server_counts.get(self.home):
            return {self.home: 1.0}
        total = sum(server_counts.values())
        if not total:
            return {zone: 1 / len(server_counts) for zone in server_counts}
        return {zone: count / total for zone, count in server_counts.items() if count}

    def allows(self, server: int) -> bool:
        """Return True, as calls may go to any server."""
        return True
