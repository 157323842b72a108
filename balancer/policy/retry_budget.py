"""The retry budget, which limits retries to a share of the first attempts.

Each request adds tokens to the budget, and each retry takes as many tokens as it costs.
"""

from __future__ import annotations

from math import sqrt

from balancer.policy.gradient import MIN_LIMIT
from balancer.policy.interface import Outcome

# The tokens that each first attempt adds to the budget.
RETRY_RATIO = 0.1
# The tokens for a retry after an attempt that a server has spent time on.
FULL_COST = 1.0
# The tokens for a retry after an attempt without a connection, on which no server has spent time.
CONNECT_COST = 0.1

NEVER_CONNECTED = frozenset((Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


def retry_cost(outcome: Outcome) -> float:
    """Return the tokens that a retry costs after an attempt with this outcome.

    A retry after a failed connect costs less. At the full cost, slow or failed connections would use up the
    budget, and requests that no server has received would fail.
    """
    return CONNECT_COST if outcome in NEVER_CONNECTED else FULL_COST


class RetryBudget:
    """A token bucket for retries: a store of tokens that fills up to a maximum.

    Without the bucket retries would multiply through tiers and clients.
    """

    def __init__(self) -> None:
        self.tokens = float(MIN_LIMIT)

    def refill(self, limit: float) -> None:
        """Add the tokens for a request, up to the square root of the concurrency limit."""
        self.tokens = min(self.tokens + RETRY_RATIO, max(float(MIN_LIMIT), sqrt(limit)))

    def allows(self, outcome: Outcome) -> bool:
        """Return whether the budget allows a retry after an attempt with this outcome."""
        return self.tokens >= retry_cost(outcome)

    def spend(self, outcome: Outcome) -> None:
        """Take the tokens for a retry after an attempt with this outcome."""
        self.tokens -= retry_cost(outcome)
