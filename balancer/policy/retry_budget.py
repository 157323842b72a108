"""The retry budget: retries are a share of the first attempts, by what the failure has cost."""

from __future__ import annotations

from math import sqrt

from balancer.policy.gradient import MIN_LIMIT
from balancer.policy.interface import Outcome

RETRY_RATIO = 0.1  # retries allowed for each first attempt, where each costs a whole token
FULL_COST = 1.0  # of a retry after an attempt that may have run, or that took a server's time
CONNECT_COST = 0.1  # of one after an attempt for which no connection came up: no server has worked for it

NEVER_CONNECTED = frozenset((Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


def retry_cost(outcome: Outcome) -> float:
    """The tokens that a retry takes after an attempt with this outcome.

    Failure prevented: connections that come up late or not at all use up the budget, and requests fail that
    no server has seen.
    """
    return CONNECT_COST if outcome in NEVER_CONNECTED else FULL_COST


class RetryBudget:
    """A bucket of tokens for retries. Retries multiply through tiers and clients without a bound."""

    def __init__(self) -> None:
        self.tokens = float(MIN_LIMIT)

    def refill(self, limit: float) -> None:
        """Adds a request's share; the square root of the limit is the maximum that is kept."""
        self.tokens = min(self.tokens + RETRY_RATIO, max(float(MIN_LIMIT), sqrt(limit)))

    def allows(self, outcome: Outcome) -> bool:
        """Whether a retry may be made after an attempt with this outcome."""
        return self.tokens >= retry_cost(outcome)

    def spend(self, outcome: Outcome) -> None:
        """Takes the tokens for a retry after an attempt with this outcome."""
        self.tokens -= retry_cost(outcome)
