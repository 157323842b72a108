"""The retry budget: retries are a share of the first attempts."""

from __future__ import annotations

from math import sqrt

from balancer.policy.gradient import MIN_LIMIT

RETRY_RATIO = 0.1  # retries allowed for each first attempt


class RetryBudget:
    """A token for each further attempt. Retries multiply through tiers and clients without a bound."""

    def __init__(self) -> None:
        self.tokens = float(MIN_LIMIT)

    def refill(self, limit: float) -> None:
        """Adds a request's share; the square root of the limit is the maximum that is kept."""
        self.tokens = min(self.tokens + RETRY_RATIO, max(float(MIN_LIMIT), sqrt(limit)))

    def allows(self) -> bool:
        """Whether a retry may be made."""
        return self.tokens >= 1

    def spend(self) -> None:
        """Takes the token for a retry."""
        self.tokens -= 1
