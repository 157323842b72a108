"""Load shedding: the requests that are rejected first under overload, by tenant and by class.

A tenant's entitlement is the number of recent requests that its quota allows at this instance. Excess is what
exceeds the entitlement; clear excess exceeds it by more than chance explains. The worth of a class is its
priority weight.
"""

from __future__ import annotations

from math import sqrt
from random import Random

from balancer.policy.interface import Settings

TENANT_WINDOW_US = 8_000_000
# A tenant clearly exceeds its quota when its recent requests exceed the entitlement times the factor, plus a
# number of standard deviations of a count, so that chance alone does not count as clear excess.
CLEAR_EXCESS_FACTOR = 1.25
CLEAR_EXCESS_DEVIATIONS = 1.5
# Above this ratio of latency to target, an increasing share of clear excess is rejected.
MAX_UNSHED_LATENCY_RATIO = 0.6
# The change of the rejected share of clear excess for each response, for each unit by which the ratio of
# latency to target exceeds MAX_UNSHED_LATENCY_RATIO.
SHED_GAIN = 0.06


class Tenant:
    """This instance's share of one tenant's quota, and the tenant's recent requests."""

    __slots__ = ("entitlement", "rate", "recent_requests", "updated_at")

    def __init__(self, rate: float) -> None:
        self.rate = rate  # This instance's part of the quota, in requests per second.
        self.updated_at = 0
        self.recent_requests = 0.0  # Requests of the last TENANT_WINDOW_US, decaying.
        # The requests that the quota allows in TENANT_WINDOW_US, decaying. The number starts at one, so that
        # a first request is within the quota.
        self.entitlement = 1.0

    def decay(self, now: int) -> None:
        """Decay the recent requests and the entitlement by the time since the last call."""
        remaining = max(0.0, 1 - (now - self.updated_at) / TENANT_WINDOW_US)
        self.recent_requests *= remaining
        self.entitlement = self.entitlement * remaining + self.rate * (now - self.updated_at) / 1e6
        self.updated_at = now


class LoadShedder:
    """The detection of tenants beyond quota and of classes of lesser worth, and the shedding of excess."""

    def __init__(self, settings: Settings, rng: Random, mean_rtt: list[float]) -> None:
        self.classes = settings.classes
        self.rng = rng
        self.mean_rtt = mean_rtt  # Mean round-trip times by class, which AttemptMetrics updates.
        self.shed_ratio = 1.0  # The share of clear excess that is rejected.
        self.tenants = [Tenant(t.quota / settings.instances) for t in settings.tenants]
        self.rank_classes()

    def start(self, now: int) -> None:
        """Begin to count the tenants' requests."""
        for t in self.tenants:
            t.updated_at = now

    def record(self, latency_ratio: float) -> None:
        """Adjust the rejected share of clear excess by a response's latency relative to its target."""
        self.shed_ratio += SHED_GAIN * (min(latency_ratio, 3.0) - MAX_UNSHED_LATENCY_RATIO)
        self.shed_ratio = min(1.0, max(0.0, self.shed_ratio))

    def sheds(self) -> bool:
        """Decide at random whether a request that is clear excess is rejected, and return the decision."""
        return self.rng.random() < self.shed_ratio

    def exceeds_quota(self, now: int, tenant: int) -> tuple[bool, bool]:
        """Return whether the request counts as beyond its tenant's quota, and whether it is clear excess.

        The tenant's recent requests are compared with this instance's equal part of the quota. If the
        median tenant exceeds its part, the instance gets more than its part of all traffic, and the
        entitlement is scaled accordingly.
        """
        if tenant >= len(self.tenants) or self.tenants[tenant].rate <= 0:
            return False, False
        sender = self.tenants[tenant]
        for t in self.tenants:
            t.decay(now)
        sender.recent_requests += 1
        usage_ratios = sorted(
            (t.recent_requests - sqrt(t.recent_requests)) / t.entitlement for t in self.tenants if t.rate > 0
        )
        entitlement = sender.entitlement * max(1.0, usage_ratios[(len(usage_ratios) - 1) // 2])
        is_excess = self.rng.random() * sender.recent_requests > entitlement
        return is_excess, (
            is_excess
            and sender.recent_requests
            > CLEAR_EXCESS_FACTOR * entitlement + CLEAR_EXCESS_DEVIATIONS * sqrt(entitlement) + 1
        )

    def rank_classes(self) -> None:
        """Rank each class by its worth for each unit of mean round-trip time.

        The rank is 1, rejected earlier, if that is below half of the best class's value. Otherwise it is 0.
        """
        density = [c.worth / max(1.0, self.mean_rtt[i]) for i, c in enumerate(self.classes)]
        best = max(density)
        self.rank = [int(d < best / 2) for d in density]
