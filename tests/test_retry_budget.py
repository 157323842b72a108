"""The retry budget: what a retry takes from it, by the failure before it."""

from __future__ import annotations

import pytest
from support import SEC, ask, balancer, end

from balancer.policy.interface import Outcome
from balancer.policy.retry_budget import CONNECT_COST, FULL_COST, RETRY_RATIO, RetryBudget

REQUESTS = 100
INTERVAL = SEC // 50  # between requests

NEVER_CONNECTED = [Outcome.CONNECT_FAILED, Outcome.NOT_SENT]
OTHER_FAILURES = [
    Outcome.REJECTED, Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN,
]  # fmt: skip


def retries_granted(outcome: Outcome) -> int:
    """How many of a sequence of requests are retried where each first attempt ends so."""
    node, recorder = balancer()
    granted = 0
    for number in range(REQUESTS):
        now = number * INTERVAL
        _, _, server, _ = ask(node, recorder, now, number)
        ((action, *rest),) = end(node, recorder, now + 1000, number, 0, server, outcome)
        if action == "send":
            granted += 1
            end(node, recorder, now + 2000, number, 1, rest[1], Outcome.OK)
    return granted


@pytest.mark.parametrize("outcome", NEVER_CONNECTED)
def test_each_request_may_be_retried_once_where_no_connection_came_up(outcome: Outcome) -> None:
    """Failure prevented: late connections use up the budget, and requests that no server has seen fail."""
    assert retries_granted(outcome) == REQUESTS


@pytest.mark.parametrize("outcome", OTHER_FAILURES)
def test_all_other_retries_are_a_small_share_of_the_requests(outcome: Outcome) -> None:
    """Failure prevented: servers that fail or are overloaded get the load again, several times."""
    assert 0 < retries_granted(outcome) <= REQUESTS * RETRY_RATIO + 4


def test_failed_connects_leave_the_budget_for_other_retries() -> None:
    budget = RetryBudget()
    before = budget.tokens
    budget.spend(Outcome.CONNECT_FAILED)
    assert budget.tokens == pytest.approx(before - CONNECT_COST)
    budget.spend(Outcome.RESET)
    assert budget.tokens == pytest.approx(before - CONNECT_COST - FULL_COST)


def test_a_budget_too_low_for_a_full_retry_allows_one_after_a_failed_connect() -> None:
    budget = RetryBudget()
    budget.tokens = (CONNECT_COST + FULL_COST) / 2
    assert budget.allows(Outcome.CONNECT_FAILED) and not budget.allows(Outcome.TIMEOUT)
    budget.tokens = CONNECT_COST / 2
    assert not budget.allows(Outcome.CONNECT_FAILED)


def test_retries_after_failed_connects_have_a_bound_where_nothing_is_reached() -> None:
    """Failure prevented: where all servers are cut off, each request costs four connections."""
    node, recorder = balancer()
    sent = 0
    for number in range(REQUESTS):
        now = number * INTERVAL
        todo = [ask(node, recorder, now, number)]
        attempt = 0
        while todo and todo[0][0] == "send":
            sent += 1
            todo = end(node, recorder, now + 1000, number, attempt, todo[0][2], Outcome.CONNECT_FAILED)
            attempt += 1
    assert sent <= REQUESTS + REQUESTS * RETRY_RATIO / CONNECT_COST + 40
