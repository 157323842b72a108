"""Tests of the policy with zone shares: picks, retries, groups and the minRTT."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from support import KEYED_CLASS, SAFE_CLASS, SEC, Recorder, balancer, end_attempt

from balancer.policy import Balancer
from balancer.policy.gradient import GradientController
from balancer.policy.interface import Group, ListKind, Outcome, ServerEntry


def policy_with_shares(
    shares: dict[int, float], additional_rtt: dict[int, int] | None = None, **changes: Any
) -> tuple[Balancer, Recorder]:
    """Return a policy with thirty servers in zones 0, 1 and 2, and the recorder of its actions."""
    node, recorder = balancer([ServerEntry(i, zone=i % 3, cell=i) for i in range(1, 31)], **changes)
    node.zone_shares(1, shares, additional_rtt or {})
    return node, recorder


def zone_of(server: int) -> int:
    return server % 3


def attempted_servers(
    node: Balancer,
    recorder: Recorder,
    count: int,
    outcome: Callable[[int], Outcome] = lambda server: Outcome.OK,
    latency: Callable[[int], int] = lambda server: 10_000,
) -> list[int]:
    """Return the servers of all attempts in order, with a request each 20 ms."""
    servers, now = [], 1000
    for request in range(count):
        now += 20_000
        node.request(now, request, 0, 0, 3 * SEC, False)
        actions, attempt = recorder.take("send", "refuse", "fail"), 0
        while actions and actions[0][0] == "send":
            server = actions[0][2]
            servers.append(server)
            elapsed = latency(server)
            now += elapsed
            actions = end_attempt(node, recorder, now, request, attempt, server, outcome(server), elapsed)
            attempt += 1
    return servers


def test_requests_are_spread_over_zones_by_their_shares() -> None:
    node, recorder = policy_with_shares({0: 0.7, 1: 0.3, 2: 0.0})
    zones = [zone_of(server) for server in attempted_servers(node, recorder, 600)]
    assert 2 not in zones and 0.25 < zones.count(1) / 600 < 0.35
    node, recorder = balancer([ServerEntry(i, zone=i % 3, cell=i) for i in range(1, 31)])
    zones_without_shares = {zone_of(server) for server in attempted_servers(node, recorder, 200)}
    assert zones_without_shares == {0, 1, 2}


def test_retry_changes_zone_but_avoids_evacuated_ones() -> None:
    def outcome(server: int) -> Outcome:
        return Outcome.CONNECT_FAILED if zone_of(server) == 0 else Outcome.OK

    node, recorder = policy_with_shares({0: 1.0, 1: 0.0})
    zones = [zone_of(server) for server in attempted_servers(node, recorder, 40, outcome)]
    assert zones[:2] == [0, 1] and 2 not in zones


def test_keyed_request_that_may_have_run_stays_in_its_group() -> None:
    zone_group = replace(KEYED_CLASS, group=Group.ZONE, window=3 * SEC)
    node, recorder = policy_with_shares({0: 1.0, 1: 0.0}, classes=(SAFE_CLASS, zone_group))
    for request in range(10):
        node.request(1000 + request, request, 1, 0, 3 * SEC, False)
        first = recorder.take("send")[0][2]
        outcome = Outcome.RESET if zone_of(first) == 0 else Outcome.OK
        actions = end_attempt(node, recorder, 2000 + request, request, 0, first, outcome)
        assert all(action[0] != "send" or zone_of(action[2]) == zone_of(first) for action in actions)


def remote_controller(additional_rtt: dict[int, int]) -> GradientController:
    """Return the gradient controller after 30 % of the requests have gone to a zone that is 15 ms away."""

    def latency(server: int) -> int:
        return 20_000 + (15_000 if zone_of(server) == 1 else 0)

    node, recorder = policy_with_shares({0: 0.7, 1: 0.3}, additional_rtt)
    attempted_servers(node, recorder, 1500, latency=latency)
    return node.controller


def test_additional_rtt_of_remote_zones_is_not_in_min_rtt() -> None:
    """Network distance must not look like queueing, or the limit would depend on the remote requests."""
    corrected, uncorrected = remote_controller({1: 15_000}), remote_controller({})
    assert max(corrected.min_rtt) == 20_000 and max(uncorrected.min_rtt) == 35_000
    assert corrected.sample_rtt < uncorrected.sample_rtt


def test_zones_without_servers_or_shares_get_no_requests() -> None:
    # Zone 7 has no server.
    node, recorder = policy_with_shares({0: 1.0, 7: 0.0})
    assert attempted_servers(node, recorder, 20)
    # Zone 5 has no share, so its servers get no requests until the shares are updated.
    node.server_list(SEC, ListKind.FULL, [ServerEntry(i, zone=5) for i in range(40, 44)])
    assert attempted_servers(node, recorder, 3) == []
    node.zone_shares(2 * SEC, {5: 1.0}, {})
    assert set(attempted_servers(node, recorder, 10)) <= set(range(40, 44))
