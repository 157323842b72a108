"""The policy with shares of zones: picks, retries, groups and the minRTT by zone."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from support import KEYED, SAFE, SEC, Recorder, balancer, end

from balancer.policy import Balancer
from balancer.policy.gradient import GradientController
from balancer.policy.interface import Group, ListKind, Outcome, ServerEntry


def policy_with_shares(
    shares: dict[int, float], extra_round_trips: dict[int, int] | None = None, **changes: Any
) -> tuple[Balancer, Recorder]:
    """A policy before thirty servers in zones 0, 1 and 2, and what records its actions."""
    node, recorder = balancer([ServerEntry(i, zone=i % 3, cell=i) for i in range(1, 31)], **changes)
    node.zone_shares(1, shares, extra_round_trips or {})
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
    """Servers in the order of the attempts that went to them, with a request each 20 ms."""
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
            actions = end(node, recorder, now, request, attempt, server, outcome(server), elapsed)
            attempt += 1
    return servers


def test_calls_go_to_the_zones_by_their_shares() -> None:
    node, recorder = policy_with_shares({0: 0.7, 1: 0.3, 2: 0.0})
    zones = [zone_of(server) for server in attempted_servers(node, recorder, 600)]
    assert 2 not in zones and 0.25 < zones.count(1) / 600 < 0.35
    node, recorder = balancer([ServerEntry(i, zone=i % 3, cell=i) for i in range(1, 31)])
    called = {zone_of(server) for server in attempted_servers(node, recorder, 200)}
    assert called == {0, 1, 2}  # without shares, as ever


def test_a_retry_goes_to_another_zone_but_never_to_an_evacuated_one() -> None:
    def outcome(server: int) -> Outcome:
        return Outcome.CONNECT_FAILED if zone_of(server) == 0 else Outcome.OK

    node, recorder = policy_with_shares({0: 1.0, 1: 0.0})
    zones = [zone_of(server) for server in attempted_servers(node, recorder, 40, outcome)]
    assert zones[:2] == [0, 1] and 2 not in zones


def test_a_keyed_request_that_may_have_run_stays_in_its_group() -> None:
    zone_group = replace(KEYED, group=Group.ZONE, window=3 * SEC)
    node, recorder = policy_with_shares({0: 1.0, 1: 0.0}, classes=(SAFE, zone_group))
    for request in range(10):
        node.request(1000 + request, request, 1, 0, 3 * SEC, False)
        first = recorder.take("send")[0][2]
        outcome = Outcome.RESET if zone_of(first) == 0 else Outcome.OK
        actions = end(node, recorder, 2000 + request, request, 0, first, outcome)
        assert all(action[0] != "send" or zone_of(action[2]) == zone_of(first) for action in actions)


def controller_after_remote_calls(extra_round_trips: dict[int, int]) -> GradientController:
    """The concurrency controller after three in ten calls have gone to a zone that is 15 ms away."""

    def latency(server: int) -> int:
        return 20_000 + (15_000 if zone_of(server) == 1 else 0)

    node, recorder = policy_with_shares({0: 0.7, 1: 0.3}, extra_round_trips)
    attempted_servers(node, recorder, 1500, latency=latency)
    return node.controller


def test_the_extra_round_trip_of_remote_calls_does_not_enter_the_min_rtt() -> None:
    """Failure prevented: distance is taken for queueing, and the limit follows the remote calls."""
    known, unknown = controller_after_remote_calls({1: 15_000}), controller_after_remote_calls({})
    assert max(known.min_rtt) == 20_000 and max(unknown.min_rtt) == 35_000
    assert known.sample_rtt < unknown.sample_rtt


def test_lists_without_the_home_zone_or_with_new_zones_do_no_harm() -> None:
    node, recorder = policy_with_shares({0: 1.0, 7: 0.0})  # a zone that no server has
    assert attempted_servers(node, recorder, 20)
    node.server_list(SEC, ListKind.FULL, [ServerEntry(i, zone=5) for i in range(40, 44)])
    assert attempted_servers(node, recorder, 3) == []  # no zone may be called until the shares follow
    node.zone_shares(2 * SEC, {5: 1.0}, {})
    assert set(attempted_servers(node, recorder, 10)) <= set(range(40, 44))
