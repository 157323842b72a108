"""The retry budget: further attempts are a share of the first ones."""

from __future__ import annotations

from math import sqrt

from balancer.policy.gradient import MIN_LIMIT

RETRY_RATIO = 0.1  # further attempts allowed for each first attempt


class RetryBudget:
    """A token for each further attempt. Retries multiply through tiers and clients without a bound."""

    def __init__(self) -> None:
        self.tokens = float(MIN_LIMIT)

    def refill(self, limit: float) -> None:
        """Adds a request's share; the square root of the limit is the most that is kept."""
        self.tokens = min(self.tokens + RETRY_RATIO, max(float(MIN_LIMIT), sqrt(limit)))

    def allows(self) -> bool:
        return self.tokens >= 1

    def spend(self) -> None:
        self.tokens -= 1
