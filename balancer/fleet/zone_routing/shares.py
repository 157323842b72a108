"""Shares of a node's calls by zone: first the home zone, then the cheapest zones with spare capacity.

The overprovisioning factor and the fallback to all zones when none is usable follow Envoy's locality-weighted
load balancing and Envoy's panic threshold. The reasons are given in `docs/zone-routing.md`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

DEFAULT_COST = 1.0
NEGLIGIBLE_SHARE = 1e-9


@dataclass(frozen=True)
class ShareAllocation:
    """Computation of the share of each zone, its part of this node's calls, from the zones' current state.

    Attributes:
        home: The node's own zone.
        strengths: Number of servers in service by zone, weighted by slow start and performance.
        weights: Part of each zone's strength, from 0 to 1, that this node uses.
        even_share: Part of the fleet's calls that is assumed to originate in each zone.
        overprovisioning_factor: Load that a zone can serve, as a multiple of its even share.
        costs: Cost of a call from the home zone to each zone; `DEFAULT_COST` for zones that are not listed.
    """

    home: str
    strengths: Mapping[str, float]
    weights: Mapping[str, float]
    even_share: float
    overprovisioning_factor: float
    costs: Mapping[str, float]

    def shares(self) -> dict[str, float]:
        """Return the part of the calls for each zone, in order of preference.

        Zones with a weight of 0 are omitted, unless all zones have a weight of 0.
        """
        total_strength = sum(self.strengths.values())
        if not total_strength:
            return {zone: 1 / len(self.strengths) for zone in self.strengths}
        weights = self.usable_weights()
        capacities = {
            zone: self.overprovisioning_factor * weights[zone] * strength / total_strength
            for zone, strength in self.strengths.items()
        }
        shares = dict.fromkeys(self.preference(weights), 0.0)
        remaining = 1.0
        if self.home in shares:
            shares[self.home] = min(1.0, capacities[self.home] / self.even_share)
            remaining -= shares[self.home]
        for zones in self.remote_zones_by_cost(shares):
            remaining -= self.spill_over(shares, zones, capacities, remaining)
        if remaining > NEGLIGIBLE_SHARE:
            self.distribute_excess(shares, weights, remaining)
        return shares

    def usable_weights(self) -> Mapping[str, float]:
        """Return the weights, or equal weights if all zones with servers in service have a weight of 0."""
        if any(strength * self.weights[zone] for zone, strength in self.strengths.items()):
            return self.weights
        return dict.fromkeys(self.strengths, 1.0)

    def preference(self, weights: Mapping[str, float]) -> list[str]:
        """Return the zones with a positive weight: the home zone, then the others by cost and name."""
        usable = [zone for zone in self.strengths if weights[zone] > 0]
        return sorted(usable, key=lambda zone: (zone != self.home, self.cost(zone), zone))

    def remote_zones_by_cost(self, zones: Mapping[str, float]) -> list[list[str]]:
        """Return the remote zones in groups of equal cost, the cheapest group first."""
        remote = [zone for zone in zones if zone != self.home]
        return [
            [zone for zone in remote if self.cost(zone) == cost]
            for cost in sorted({self.cost(zone) for zone in remote})
        ]

    def spill_over(
        self,
        shares: dict[str, float],
        zones: Sequence[str],
        capacities: Mapping[str, float],
        remaining: float,
    ) -> float:
        """Assign calls to zones of equal cost in proportion to their spare capacity.

        A zone's spare capacity is its capacity beyond its even share, the part of the fleet's calls that is
        assumed to originate in each zone. It is divided by the even share, which makes it a multiple of the
        home zone's calls: the nodes of the home zone together may use all of it.

        Returns:
            The part of all calls that was assigned.
        """
        spare = {zone: max(0.0, capacities[zone] - self.even_share) / self.even_share for zone in zones}
        total_spare = sum(spare.values())
        assigned = min(remaining, total_spare)
        for zone in zones:
            shares[zone] += assigned * spare[zone] / total_spare if total_spare else 0.0
        return assigned

    def distribute_excess(
        self, shares: dict[str, float], weights: Mapping[str, float], remaining: float
    ) -> None:
        """Distribute the calls that exceed the capacity of all zones over the zones by their usable strength.

        The concurrency limits then shed, that is reject, the calls that are too many.
        """
        total_strength = sum(weights[zone] * self.strengths[zone] for zone in shares)
        for zone in shares:
            shares[zone] += remaining * weights[zone] * self.strengths[zone] / total_strength

    def cost(self, zone: str) -> float:
        """Return the cost of a call from the home zone to a zone."""
        return 0.0 if zone == self.home else self.costs.get(zone, DEFAULT_COST)
