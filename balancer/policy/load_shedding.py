"""Load shedding: what is rejected first, by tenant and by class, while the fleet is overloaded."""

from __future__ import annotations

from math import sqrt
from random import Random

from balancer.policy.interface import Settings

TENANT_WINDOW = 8_000_000  # a tenant's traffic is counted over so long
EXCESS = 1.25  # it is clearly beyond its share at so many times its part...
EXCESS_NOISE = 1.5  # ...and so many standard deviations of a count
SHED_THRESHOLD = 0.6  # above this ratio of mean latency to target, more and more of clear excess is rejected
SHED_GAIN = 0.06  # by so much for each response


class Tenant:
    """What this instance knows of one tenant: its part of the quota, and what came lately."""

    __slots__ = ("at", "entitled", "rate", "recent")

    def __init__(self, rate: float) -> None:
        self.rate = rate  # requests a second
        self.at = 0
        self.recent = 0.0  # requests of the last TENANT_WINDOW, fading
        self.entitled = 1.0  # the quota's part for the same time, and one to start with

    def fade(self, now: int) -> None:
        """Lets the counts fade with the time that has passed."""
        keep = max(0.0, 1 - (now - self.at) / TENANT_WINDOW)
        self.recent *= keep
        self.entitled = self.entitled * keep + self.rate * (now - self.at) / 1e6
        self.at = now


class LoadShedder:
    """Detects tenants' excess and classes of lesser worth; sheds clear excess while latency is high."""

    def __init__(self, settings: Settings, rng: Random, mean_rtt: list[float]) -> None:
        self.classes = settings.classes
        self.rng = rng
        self.mean_rtt = mean_rtt  # by class; kept up to date by the balancer
        self.shed = 1.0  # the share of clear excess that is rejected
        self.tenants = [Tenant(t.quota / settings.instances) for t in settings.tenants]
        self.rank_classes()

    def start(self, now: int) -> None:
        """Begins to count."""
        for t in self.tenants:
            t.at = now

    def record(self, latency_ratio: float) -> None:
        """Records a response's latency, relative to its class's target."""
        self.shed += SHED_GAIN * (min(latency_ratio, 3.0) - SHED_THRESHOLD)
        self.shed = min(1.0, max(0.0, self.shed))

    def sheds(self) -> bool:
        """Whether a request that is clear excess is rejected."""
        return self.rng.random() < self.shed

    def exceeds_quota(self, now: int, tenant: int) -> tuple[bool, bool]:
        """Whether the request counts as beyond its tenant's quota, and whether that is beyond doubt.

        What came of the tenant lately is set against this instance's equal part of the quota. An instance
        that gets far more than its part of all traffic is recognised by its median tenant.
        """
        if tenant >= len(self.tenants) or self.tenants[tenant].rate <= 0:
            return False, False
        mine = self.tenants[tenant]
        for t in self.tenants:
            t.fade(now)
        mine.recent += 1
        parts = sorted((t.recent - sqrt(t.recent)) / t.entitled for t in self.tenants if t.rate > 0)
        entitled = mine.entitled * max(1.0, parts[(len(parts) - 1) // 2])
        over = self.rng.random() * mine.recent > entitled
        return over, over and mine.recent > EXCESS * entitled + EXCESS_NOISE * sqrt(entitled) + 1

    def rank_classes(self) -> None:
        """Rank 1 for classes whose worth for their time is under half the best class's."""
        density = [c.worth / max(1.0, self.mean_rtt[i]) for i, c in enumerate(self.classes)]
        best = max(density)
        self.rank = [int(d < best / 2) for d in density]
