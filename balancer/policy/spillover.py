"""Zone spillover: a share of the requests leaves the local zone when the servers there are slower."""

from __future__ import annotations

from collections.abc import Sequence

from balancer.policy.interface import Settings
from balancer.policy.server import SERVER_SAMPLE_WEIGHT, SUBSET_SAMPLE_WEIGHT, Server

# The change of the spill ratio, the share of requests that may leave the zone, in one sampling window: the
# change for each unit of imbalance between local and remote latency, and the maximum change.
SPILL_GAIN = 0.1
MAX_SPILL_STEP = 0.04
# Requests stay in their zone only if leaving it costs at least this share of a request's worth, its priority
# weight.
MIN_CROSS_ZONE_PRICE = 0.01
# Converts a price into tolerated extra latency: twice the latency costs a tenth of a request's worth.
LATENCY_TOLERANCE_FACTOR = 10


class ZoneSpillover:
    """The controller of the share of requests that may leave the local zone."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.zone_aware = settings.cross_zone_price >= MIN_CROSS_ZONE_PRICE
        # Mean latency relative to the target of the class, for local and for remote servers.
        self.local_ratio = 0.5
        self.remote_ratio = 0.5
        self.best_ratio = 0.0
        # The share of requests that may leave the zone.
        self.spill_ratio = 0.0 if self.zone_aware else 1.0
        self.min_spill = self.spill_ratio

    def record(self, zone: int, latency_ratio: float) -> None:
        """Record a response's latency, relative to the target of its class."""
        if zone == self.settings.zone:
            self.local_ratio += SUBSET_SAMPLE_WEIGHT * (latency_ratio - self.local_ratio)
        else:
            self.remote_ratio += SUBSET_SAMPLE_WEIGHT * (latency_ratio - self.remote_ratio)

    def resize(self, members: Sequence[Server]) -> None:
        """Update the minimum spill ratio for new members.

        The requests that exceed the local servers' part of all members leave the zone, on the assumption
        that all nodes get the same traffic. Without a minimum, a zone's few servers would get all requests
        of the nodes in the zone.
        """
        if not self.zone_aware or not members:
            return
        local_members = sum(m.zone == self.settings.zone for m in members)
        self.min_spill = max(0.0, 1 - local_members * self.settings.instances / len(members))
        self.spill_ratio = max(self.spill_ratio, self.min_spill)

    def adjust(self) -> None:
        """Change the spill ratio by one step; called once a window if the zone has available servers.

        Without spillover one zone's servers can be overloaded while those of another are idle. While hardly
        any requests leave the zone, the remote latency is estimated as the best local latency.
        """
        if self.local_ratio < self.best_ratio or self.best_ratio == 0:
            self.best_ratio = self.local_ratio
        if self.spill_ratio < 0.05:
            self.remote_ratio += SERVER_SAMPLE_WEIGHT * (self.best_ratio - self.remote_ratio)
        self.best_ratio *= 1.001
        tolerance = 1 + LATENCY_TOLERANCE_FACTOR * self.settings.cross_zone_price
        step = SPILL_GAIN * (self.local_ratio / max(self.remote_ratio, 1e-9) - tolerance)
        self.spill_ratio += min(MAX_SPILL_STEP, max(-MAX_SPILL_STEP, step))
        self.spill_ratio = min(1.0, max(self.min_spill, self.spill_ratio))
