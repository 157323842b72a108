"""A baseline for zones: strictly local until the own zone is empty. What the fleet's shares are measured
against; nodes that spread their calls over all zones alike are the module alone."""

from __future__ import annotations

from balancer.fleet.zone_routing.router import Zones


class StrictlyLocal(Zones):
    """All to the own zone while it has a server in service, else to the others by their strength."""

    def shares(self, now: int) -> dict[str, float]:
        servers = dict.fromkeys(self.present(), 0)
        for number, s in self.servers.items():
            servers[s.zone] += number not in self.aside
        if servers.get(self.zone):
            return {self.zone: 1.0}
        whole = sum(servers.values())
        return {z: n / whole if whole else 1 / len(servers) for z, n in servers.items() if n or not whole}

    def allows(self, server: int) -> bool:
        return True
