"""Shares of a node's calls by zone: the home zone first, the rest to the cheapest zones with capacity.

The overprovisioning factor and the fallback to all zones when none is usable follow Envoy's locality-weighted
load balancing and its panic threshold. Reasons and figures are in `docs/zone-routing.md`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

DEFAULT_COST = 1.0
NEGLIGIBLE_SHARE = 1e-9


@dataclass(frozen=True)
class ShareAllocation:
    """What the shares of one instant follow from.

    Attributes:
        home: The node's own zone.
        strengths: By zone, its servers in service, weighted by how warm and how fast they are.
        weights: By zone, the part of its strength that this node uses, from 0 to 1.
        even_share: The part of all calls that each zone asks for.
        overprovisioning_factor: A zone can serve this many times its even share.
        costs: Cost of a call from here by zone; `DEFAULT_COST` for zones that are not named.
    """

    home: str
    strengths: Mapping[str, float]
    weights: Mapping[str, float]
    even_share: float
    overprovisioning_factor: float
    costs: Mapping[str, float]

    def shares(self) -> dict[str, float]:
        """Return the part of the calls that goes to each zone, in order of preference.

        Zones without weight are left out, unless no zone has any.
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
            self.overload(shares, weights, remaining)
        return shares

    def usable_weights(self) -> Mapping[str, float]:
        """Return the weights, or equal ones if no zone with servers in service has any."""
        if any(strength * self.weights[zone] for zone, strength in self.strengths.items()):
            return self.weights
        return dict.fromkeys(self.strengths, 1.0)

    def preference(self, weights: Mapping[str, float]) -> list[str]:
        """Return the zones that have weight: the home zone, then the others by cost and name."""
        usable = [zone for zone in self.strengths if weights[zone] > 0]
        return sorted(usable, key=lambda zone: (zone != self.home, self.cost(zone), zone))

    def remote_zones_by_cost(self, zones: Mapping[str, float]) -> list[list[str]]:
        """Return the zones other than home in groups of equal cost, the cheapest first."""
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
        """Give calls to zones of one cost, in proportion to their capacity beyond their even share.

        This node's part of that capacity is what its home zone asks of all.

        Returns:
            The part of all calls that was given.
        """
        spare = {zone: max(0.0, capacities[zone] - self.even_share) / self.even_share for zone in zones}
        total_spare = sum(spare.values())
        given = min(remaining, total_spare)
        for zone in zones:
            shares[zone] += given * spare[zone] / total_spare if total_spare else 0.0
        return given

    def overload(self, shares: dict[str, float], weights: Mapping[str, float], remaining: float) -> None:
        """Give calls that no zone has capacity for to all by their strength: concurrency limits shed them."""
        total_strength = sum(weights[zone] * self.strengths[zone] for zone in shares)
        for zone in shares:
            shares[zone] += remaining * weights[zone] * self.strengths[zone] / total_strength

    def cost(self, zone: str) -> float:
        """Return the cost of a call from here to a zone."""
        return 0.0 if zone == self.home else self.costs.get(zone, DEFAULT_COST)
