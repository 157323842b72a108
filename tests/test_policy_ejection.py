"""Tests of outlier ejection and of readmission by probes."""

import pytest
from support import SEC, balancer, end_attempt, submit_request

from balancer.policy.interface import ListKind, Outcome, ServerEntry, State


def test_failing_drained_server_is_not_ejected_or_probed() -> None:
    """A drained server whose last requests fail would, if it were ejected, get a probe after its removal."""
    node, rec = balancer(4)
    open_requests = []
    for i in range(12):
        _, request, server, _ = submit_request(node, rec, 0, i, 2)
        open_requests.append((request, server))
    drained = max(range(1, 5), key=[server for _, server in open_requests].count)
    node.server_list(1, ListKind.CHANGES, [ServerEntry(drained, State.DRAINING)])
    for request, server in open_requests:
        end_attempt(node, rec, 2, request, 0, server, Outcome.ERROR if server == drained else Outcome.OK)
    assert sum(server == drained for _, server in open_requests) >= 3 and node.ejection.ejected == []
    for i in range(100, 200):
        _, _, server, _ = submit_request(node, rec, i * SEC, i)
        assert server != drained
        end_attempt(node, rec, i * SEC, i, 0, server, Outcome.OK)


def test_failing_member_is_ejected_and_probed_again() -> None:
    """A member that fails quickly has few attempts in flight and would be picked for most requests."""
    node, rec = balancer(6)
    now, failures = 0, 0
    for i in range(300):
        now += 20_000
        action = submit_request(node, rec, now, i, 2)
        failures += action[2] == 3
        end_attempt(
            node, rec, now + 100, i, 0, action[2], Outcome.ERROR if action[2] == 3 else Outcome.OK, 250_000
        )
    assert failures < 15
    before = node.servers[3].outcome_count
    for i in range(300, 900):
        now += 20_000
        action = submit_request(node, rec, now, i, 0)
        end_attempt(node, rec, now + 100, i, 0, action[2], Outcome.OK, 250_000)
        if i % 100 == 99:
            now += 10 * SEC
    assert not node.servers[3].ejected and node.servers[3].outcome_count > before


def test_silent_member_is_ejected_and_frees_the_limit() -> None:
    """Requests stuck on a silent member must not use up the limit of the other members."""
    node, rec = balancer(6)
    now, in_flight = 0, []
    for i in range(600):
        now += 20_000
        action = submit_request(node, rec, now, i)
        if action[0] == "send" and action[2] != 3:
            in_flight.append((i, action[2]))
        if len(in_flight) > 6:
            end_attempt(node, rec, now, in_flight[0][0], 0, in_flight[0][1], Outcome.OK, 200_000)
            del in_flight[0]
    assert node.servers[3].ejected and node.servers[3].silent
    assert node.controller.in_flight == 6


@pytest.mark.usefixtures("full_subset")
def test_no_more_than_a_third_of_the_members_is_ejected() -> None:
    node, rec = balancer(9)
    for server in range(1, 10):
        node.ejection.eject(0, node.servers[server], silent=False)
    assert len(node.ejection.ejected) == 3


def test_restarted_server_is_readmitted_with_reset_averages() -> None:
    node, rec = balancer(4)
    node.ejection.eject(0, node.servers[1], silent=False)
    node.servers[1].deviation.value = 5.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC - 1)])
    assert not node.servers[1].ejected and node.servers[1].deviation.value == 1.0
    assert node.servers[1].slow_start_until == SEC - 1 + 4 * SEC


def test_probe_is_short_and_never_a_non_idempotent_request() -> None:
    node, rec = balancer(4)
    node.ejection.eject(0, node.servers[1], silent=True)
    assert submit_request(node, rec, 5 * SEC, 1, request_class=2)[2] != 1
    action = submit_request(node, rec, 5 * SEC, 2, request_class=0, remaining=3 * SEC)
    assert action[2] == 1 and action[3] < 3 * SEC


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.NOT_SENT])
def test_probe_without_result_is_followed_by_another(outcome: Outcome) -> None:
    """A client disconnects during a probe; without another probe the server would stay ejected forever."""
    node, rec = balancer(4)
    node.ejection.eject(0, node.servers[1], silent=True)
    assert submit_request(node, rec, 5 * SEC, 1)[2] == 1
    node.client_disconnected(5 * SEC, 1)
    end_attempt(node, rec, 5 * SEC, 1, 0, 1, outcome)
    assert submit_request(node, rec, 10 * SEC, 2)[2] == 1
