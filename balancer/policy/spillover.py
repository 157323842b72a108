"""Zone spillover: requests keep to this instance's zone, and leave it as far as its servers are slower."""

from __future__ import annotations

from collections.abc import Sequence

from balancer.policy.interface import Settings
from balancer.policy.server import SMOOTH, SMOOTH_ALL, Server

SPILL_GAIN = 0.1  # a window moves the share of requests that may leave the zone by this part of the imbalance
SPILL_STEP = 0.04  # and by so much at most
ZONE_PRICE = 0.01  # requests keep to their zone only where a crossing costs this share of a request's worth
CROSSING_COST = 10  # twice the latency is taken to cost a tenth of a request's worth


class ZoneSpillover:
    """The share of requests that may leave the zone."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.zoned = settings.cross_zone_price >= ZONE_PRICE
        self.local_ratio = 0.5  # mean latency over what the class can bear, for servers of this zone...
        self.remote_ratio = 0.5  # ...and of the others
        self.best_ratio = 0.0
        self.spill = 0.0 if self.zoned else 1.0  # share of requests that may leave the zone
        self.min_spill = self.spill

    def record(self, zone: int, latency_ratio: float) -> None:
        """Records a response's latency, relative to its class's target."""
        if zone == self.settings.zone:
            self.local_ratio += SMOOTH_ALL * (latency_ratio - self.local_ratio)
        else:
            self.remote_ratio += SMOOTH_ALL * (latency_ratio - self.remote_ratio)

    def resize(self, members: Sequence[Server]) -> None:
        """Updates the minimum share for new members.

        Failure prevented: a zone with few servers takes all requests of the one node beside it. At least
        what exceeds the zone's part of all members leaves it, were all nodes alike.
        """
        if not self.zoned or not members:
            return
        near = sum(m.zone == self.settings.zone for m in members)
        self.min_spill = max(0.0, 1 - near * self.settings.instances / len(members))
        self.spill = max(self.spill, self.min_spill)

    def adjust(self) -> None:
        """Moves the share by a step, once a window, while the zone has servers that may be picked.

        Failure prevented: one zone's servers are overloaded while another's stand idle. Unvisited, the other
        zones are taken to do as well as this one did at its best.
        """
        if self.local_ratio < self.best_ratio or self.best_ratio == 0:
            self.best_ratio = self.local_ratio
        if self.spill < 0.05:
            self.remote_ratio += SMOOTH * (self.best_ratio - self.remote_ratio)
        self.best_ratio *= 1.001
        tolerance = 1 + CROSSING_COST * self.settings.cross_zone_price
        step = SPILL_GAIN * (self.local_ratio / max(self.remote_ratio, 1e-9) - tolerance)
        self.spill += min(SPILL_STEP, max(-SPILL_STEP, step))
        self.spill = min(1.0, max(self.min_spill, self.spill))
