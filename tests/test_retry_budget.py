"""Tests of the retry budget: the cost of a retry by the outcome of the attempt before it."""

from __future__ import annotations

import pytest
from support import SEC, balancer, end_attempt, submit_request

from balancer.policy.interface import Outcome
from balancer.policy.retry_budget import CONNECT_COST, FULL_COST, RETRY_RATIO, RetryBudget

REQUESTS = 100
REQUEST_INTERVAL_US = SEC // 50

NEVER_CONNECTED = [Outcome.CONNECT_FAILED, Outcome.NOT_SENT]
OTHER_FAILURES = [
    Outcome.REJECTED, Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN,
]  # fmt: skip


def count_retries(outcome: Outcome) -> int:
    """Return the number of requests that are retried if each first attempt has this outcome."""
    node, recorder = balancer()
    retries = 0
    for number in range(REQUESTS):
        now = number * REQUEST_INTERVAL_US
        _, _, server, _ = submit_request(node, recorder, now, number)
        ((action, *rest),) = end_attempt(node, recorder, now + 1000, number, 0, server, outcome)
        if action == "send":
            retries += 1
            end_attempt(node, recorder, now + 2000, number, 1, rest[1], Outcome.OK)
    return retries


@pytest.mark.parametrize("outcome", NEVER_CONNECTED)
def test_each_failed_connect_may_be_retried_once(outcome: Outcome) -> None:
    """Slow connections must not use up the budget, since requests that no server has received would fail."""
    assert count_retries(outcome) == REQUESTS


@pytest.mark.parametrize("outcome", OTHER_FAILURES)
def test_other_retries_are_a_small_share_of_requests(outcome: Outcome) -> None:
    """Without a limit, servers that fail or are overloaded would get the same load several times."""
    assert 0 < count_retries(outcome) <= REQUESTS * RETRY_RATIO + 4


def test_failed_connects_leave_the_budget_for_other_retries() -> None:
    budget = RetryBudget()
    before = budget.tokens
    budget.spend(Outcome.CONNECT_FAILED)
    assert budget.tokens == pytest.approx(before - CONNECT_COST)
    budget.spend(Outcome.RESET)
    assert budget.tokens == pytest.approx(before - CONNECT_COST - FULL_COST)


def test_low_budget_allows_only_retries_of_failed_connects() -> None:
    budget = RetryBudget()
    budget.tokens = (CONNECT_COST + FULL_COST) / 2
    assert budget.allows(Outcome.CONNECT_FAILED) and not budget.allows(Outcome.TIMEOUT)
    budget.tokens = CONNECT_COST / 2
    assert not budget.allows(Outcome.CONNECT_FAILED)


def test_retries_of_failed_connects_are_bounded() -> None:
    """Without a limit, each request would make four connections while no server is reachable."""
    node, recorder = balancer()
    sent = 0
    for number in range(REQUESTS):
        now = number * REQUEST_INTERVAL_US
        actions = [submit_request(node, recorder, now, number)]
        attempt = 0
        while actions and actions[0][0] == "send":
            sent += 1
            actions = end_attempt(
                node, recorder, now + 1000, number, attempt, actions[0][2], Outcome.CONNECT_FAILED
            )
            attempt += 1
    assert sent <= REQUESTS + REQUESTS * RETRY_RATIO / CONNECT_COST + 40
