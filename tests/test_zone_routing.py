"""Zone routing: shares by strength and capacity, evacuation by evidence, recovery in steps, directives."""

import re
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
from support import KEYED, SAFE, SEC, Recorder, balancer, end

from balancer.fleet.membership.codec import Codec
from balancer.fleet.zone_routing.directives import ZoneDirectives
from balancer.fleet.zone_routing.failure_evidence import Verdict
from balancer.fleet.zone_routing.messages import (
    MAX_DIRECTIVES,
    ZoneDirective,
    ZoneKind,
    ZoneMessage,
    ZoneWire,
)
from balancer.fleet.zone_routing.router import ListedServer, ZoneRouter
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.fleet.zone_routing.zone_states import ZoneStatus
from balancer.policy import Balancer
from balancer.policy.gradient import GradientController
from balancer.policy.interface import Group, ListKind, Outcome, ServerEntry

ROOT = Path(__file__).parent.parent
LOG_LINE = re.compile(r'log_line\(\s*f?"([^"]+)"')
SETTINGS = ZoneSettings()
USUAL_LATENCY = 50_000
FIRST_SERVER = {zone: 100 * (i + 1) for i, zone in enumerate("abcdef")}


def router_of(
    home: str = "a",
    settings: ZoneSettings = SETTINGS,
    rank: float = 0.0,
    router_class: type[ZoneRouter] = ZoneRouter,
    **counts: int,
) -> ZoneRouter:
    """A router at `home`; the servers of each zone are numbered on from 100, 200, 300."""
    router = router_class(home, settings, 10 * SEC, 0.2, 0, lambda: rank, lambda line: None)
    router.update_servers(
        {
            FIRST_SERVER[zone] + i: ListedServer(zone, 0)
            for zone, count in counts.items()
            for i in range(count)
        }
    )
    return router


def servers_in(router: ZoneRouter, zone: str) -> list[int]:
    return [number for number, server in router.servers.items() if server.zone == zone]


def rounded(shares: dict[str, float]) -> dict[str, float]:
    return {zone: round(share, 2) for zone, share in shares.items()}


# ---- shares -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("counts", "ejected", "costs", "expected"),
    [
        ({"a": 10, "b": 10, "c": 10}, {}, {}, {"a": 1.0, "b": 0.0, "c": 0.0}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 2}, {}, {"a": 1.0, "b": 0.0, "c": 0.0}),  # within the capacity
        ({"a": 10, "b": 10, "c": 10}, {"a": 5}, {}, {"a": 0.84, "b": 0.08, "c": 0.08}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 5}, {"c": 2}, {"a": 0.84, "b": 0.16, "c": 0.0}),
        ({"a": 10, "b": 10, "c": 20}, {"a": 5}, {}, {"a": 0.6, "b": 0.05, "c": 0.35}),
        ({"a": 2, "b": 50}, {}, {}, {"a": 0.11, "b": 0.89}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 10}, {}, {"a": 0.0, "b": 0.5, "c": 0.5}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 10, "b": 5}, {}, {"a": 0.0, "b": 0.18, "c": 0.82}),
        ({"b": 10, "c": 10}, {}, {}, {"b": 0.5, "c": 0.5}),  # the home zone has none, or a wrong name
        ({"a": 10}, {}, {}, {"a": 1.0}),
        ({"a": 10, "b": 10}, {"a": 10, "b": 10}, {}, {"a": 0.5, "b": 0.5}),  # all ejected: as if none were
    ],
)
def test_calls_stay_in_the_home_zone_and_spill_over_by_capacity(
    counts: dict[str, Any], ejected: dict[str, int], costs: dict[str, float], expected: dict[str, float]
) -> None:
    router = router_of(settings=ZoneSettings(costs=costs), **counts)
    for zone, count in ejected.items():
        for server in servers_in(router, zone)[:count]:
            router.set_ejected(server, True)
    shares = router.shares(0)
    assert rounded(shares) == expected and sum(shares.values()) == pytest.approx(1)
    assert next(iter(shares)) == ("a" if "a" in counts else "b")


class AllOrNothingRouter(ZoneRouter):
    """Broken on purpose: one zone gets all calls."""

    def shares(self, now: int) -> dict[str, float]:
        shares = super().shares(now)
        first = max(shares, key=lambda zone: shares[zone])
        return {zone: float(zone == first) for zone in shares}


def largest_share_change(router: ZoneRouter) -> float:
    """The largest change of a share as the servers of zone a are ejected one after the other."""
    largest, before = 0.0, router.shares(0)
    for server in servers_in(router, "a"):
        router.set_ejected(server, True)
        after = router.shares(0)
        largest = max(largest, *(abs(after[zone] - before[zone]) for zone in after))
        before = after
    return largest


def test_shares_change_gradually_with_the_number_of_servers() -> None:
    assert largest_share_change(router_of(a=60, b=60, c=60)) < 0.05
    assert largest_share_change(router_of(router_class=AllOrNothingRouter, a=60, b=60, c=60)) == 1.0


def test_shares_add_up_to_one_whatever_is_ejected_evacuated_or_lost() -> None:
    rng = Random(7)
    for _ in range(500):
        counts: dict[str, Any] = {zone: rng.choice((0, 1, 2, 50)) for zone in "abcd"}
        router = router_of(settings=ZoneSettings(costs={"b": rng.random(), "d": 3}), **counts)
        for server in list(router.servers):
            router.set_ejected(server, rng.random() < 0.3)
        for zone in router.zones():
            router.states.of(zone).weight = rng.choice((0.0, 0.02, 0.5, 1.0))
            router.evidence.of(zone).pace = rng.choice((0.02, 0.7, 1.0))
        router.apply_directives({zone: SEC for zone in "abcd" if rng.random() < 0.2})
        router.is_isolated = rng.random() < 0.2
        shares = router.shares(0)
        if not router.servers:
            assert shares == {}
            continue
        assert sum(shares.values()) == pytest.approx(1) and min(shares.values()) >= 0
        usable = {zone for zone in router.zones() if router.states.takes_calls(zone)}
        assert set(shares) == usable or not any(router.strengths(0)[zone] for zone in usable)


def test_servers_in_slow_start_count_by_their_progress() -> None:
    router = router_of(a=10, b=10)
    router.update_servers(
        {
            number: ListedServer(server.zone, 10 * SEC if server.zone == "a" else 0)
            for number, server in router.servers.items()
        }
    )
    cold, half, warm = (router.shares(at)["a"] for at in (0, 2 * SEC, 10 * SEC))
    assert round(cold, 2) == round(2 * 1.4 * 2 / 12, 2) and cold < half < warm == 1.0


# ---- evacuation and recovery ------------------------------------------------------------------------------


def run_calls(
    router: ZoneRouter,
    seconds: int,
    bad_zones: str = "",
    calls: int = 40,
    failure_share: float = 0.5,
    slowdown: float = 1.0,
    bad_servers: int | None = None,
) -> set[str]:
    """Play calls by the shares, with a tick each half second.

    In `bad_zones` the first `bad_servers` servers, or all, fail a share of their calls and are slower.
    Returns the zones that were called.
    """
    now, rng = router.next_evaluation_at, Random(1)
    called: set[str] = set()
    for _ in range(int(seconds * 2)):
        shares = router.shares(now)
        for _ in range(calls // 2):
            zone = rng.choices([*shares], [*shares.values()])[0]
            servers = servers_in(router, zone)
            index = rng.randrange(len(servers))
            is_bad = zone in bad_zones and (bad_servers is None or index < bad_servers)
            called.add(zone)
            ok = not (is_bad and rng.random() < failure_share)
            latency = int(USUAL_LATENCY * (slowdown if is_bad else 1))
            router.record_outcome(now, servers[index], ok, latency)
        now = router.next_evaluation_at
        router.tick(now)
    return called


def statuses(router: ZoneRouter) -> str:
    """The first letters of the zones' statuses on the page: in, leaving, out, returning."""
    return "".join(router.states.of(zone).status.value[0] for zone in sorted(router.states.by_zone))


@pytest.mark.parametrize(
    ("home", "bad_zones", "fault", "expected"),
    [
        ("a", "", {}, "iii"),
        ("a", "a", {}, "oii"),  # dead, or failing half of its calls
        ("a", "a", {"failure_share": 0.3}, "oii"),
        ("a", "a", {"failure_share": 0.0, "slowdown": 6.0}, "oii"),
        ("a", "a", {"failure_share": 0.0, "slowdown": 2.0}, "iii"),
        ("a", "a", {"bad_servers": 1}, "iii"),
        ("a", "abc", {}, "iii"),  # a bad release everywhere
        ("a", "b", {}, "iii"),  # not called from here: no evidence
    ],
)
def test_a_zone_is_evacuated_only_if_it_is_bad_as_a_whole(
    home: str, bad_zones: str, fault: dict[str, Any], expected: str
) -> None:
    router = router_of(home, a=10, b=10, c=10)
    run_calls(router, 20)
    for zone in "bc":
        router.evidence.of(zone).usual_latency = USUAL_LATENCY
    run_calls(router, 8, bad_zones, **fault)
    found = statuses(router)
    assert found == expected or (bad_zones == "abc" and "o" not in found), found
    if "o" in expected:
        shares = router.shares(router.next_evaluation_at)
        assert "a" not in shares and not router.allows(100) and router.allows(200)


def test_consecutive_failures_are_evaluated_at_once() -> None:
    router = router_of(a=10, b=10, c=10)
    run_calls(router, 10)
    now = router.next_evaluation_at - 400_000
    count = SETTINGS.consecutive_failures
    must_evaluate = [router.record_outcome(now, 100 + i, False, 1000) for i in range(count)]
    assert must_evaluate == [False] * (count - 1) + [True] and router.tick(now)
    assert router.shares(now)["a"] < 0.1
    router.record_outcome(now, 100, True, USUAL_LATENCY)  # one answer: it was not the zone
    router.tick(router.next_evaluation_at)
    assert router.shares(router.next_evaluation_at)["a"] > 0.5


def test_no_remote_zone_is_evacuated_if_all_look_bad() -> None:
    """Failure prevented: a node that is partitioned evacuates all other zones, one after the other."""
    router = router_of(a=4, b=10, c=10)  # home has little capacity, so the others are called
    run_calls(router, 20)
    assert sum(router.shares(router.next_evaluation_at)[zone] for zone in "bc") > 0.3
    run_calls(router, 4, "bc", failure_share=1.0, calls=400)
    remote = {router.states.of(zone).status for zone in "bc"}
    assert router.is_isolated and ZoneStatus.EVACUATED not in remote
    assert router.shares(router.next_evaluation_at)["a"] > 0.9
    run_calls(router, 20, calls=400)  # the links are back
    assert not router.is_isolated and router.shares(router.next_evaluation_at)["a"] < 0.8


class NeverIsolatedRouter(ZoneRouter):
    """Broken on purpose: never takes a fault for its own."""

    def check_isolation(self, verdicts: Mapping[str, Verdict], bad: Collection[str]) -> None:
        self.is_isolated = False


def test_without_the_check_for_isolation_remote_zones_are_evacuated() -> None:
    router = router_of(router_class=NeverIsolatedRouter, a=4, b=10, c=10)
    run_calls(router, 20, calls=400)
    run_calls(router, 6, "bc", failure_share=1.0, calls=400)
    assert ZoneStatus.EVACUATED in {router.states.of(zone).status for zone in "bc"}


@pytest.mark.parametrize("failure_share", [0.5, 1.0])
def test_a_zone_recovers_in_steps_and_later_each_time(failure_share: float) -> None:
    router = router_of(a=10, b=10, c=10)
    run_calls(router, 20)
    run_calls(router, 6, "a", failure_share=failure_share)
    assert statuses(router)[0] == "o"
    shares = []
    for _ in range(60):
        run_calls(router, 1)
        shares.append(router.shares(router.next_evaluation_at).get("a", 0.0))
    rising = [share for share in shares if share > 0]
    assert shares.count(0.0) >= 6 and rising[0] < 0.05 and rising[-1] == 1.0
    is_stepwise = all(later <= 2.1 * earlier for earlier, later in zip(rising, rising[1:], strict=False))
    assert is_stepwise and statuses(router)[0] == "i"
    run_calls(router, 6, "a", failure_share=failure_share)
    state = router.states.of("a")
    expected_time = SETTINGS.evacuation_backoff * SETTINGS.evacuation_time
    assert statuses(router)[0] == "o" and state.evacuation_time == expected_time
    for _ in range(40):  # it stays bad: each recovery is small, and the next one later
        called = run_calls(router, 2, "a", failure_share=failure_share)
        assert "a" not in called or state.weight <= 4 * SETTINGS.initial_weight
    assert state.evacuation_time >= 4 * SETTINGS.evacuation_time


def test_a_remote_zone_without_calls_recovers_in_time() -> None:
    router = router_of(a=10, b=10, c=10)
    router.apply_directives({"b": SEC})
    router.apply_directives({})
    assert router.states.of("b").status == ZoneStatus.RECOVERING
    assert "b" not in run_calls(router, 60) and router.states.of("b").status == ZoneStatus.RECOVERING
    run_calls(router, 40)
    assert router.states.of("b").status == ZoneStatus.IN_SERVICE


def test_no_second_zone_is_evacuated_while_one_is_lost() -> None:
    router = router_of(a=10, b=10, c=10)
    run_calls(router, 20)
    router.update_servers({number: server for number, server in router.servers.items() if server.zone != "c"})
    run_calls(router, 8, "a")
    assert router.states.of("a").status == ZoneStatus.IN_SERVICE


def test_nodes_return_to_a_zone_at_different_times() -> None:
    return_times = []
    for rank in (0.0, 0.5, 0.9):
        router = router_of(rank=rank, a=10, b=10)
        run_calls(router, 20)
        run_calls(router, 6, "a")
        return_times.append(router.states.of("a").next_step_at)
    first, second, third = return_times
    assert second - first == SETTINGS.return_stagger // 2 and third > second


def test_extra_round_trips_follow_from_connect_times() -> None:
    router = router_of(a=2, b=2)
    for connect_time in (900, 1000, 5000):
        router.record_connection(100, connect_time)
        router.record_connection(200, connect_time + 16_000)
    assert router.extra_round_trips() == {"b": 16_000}
    assert router_of(a=1, b=1).extra_round_trips() == {"b": 0}  # nothing known yet


# ---- directives -------------------------------------------------------------------------------------------


class DirectivesFleet:
    """Members that receive one another's directives, except for those partitioned."""

    def __init__(self, count: int) -> None:
        self.now, self.wall = 0, 10**15
        self.partitioned: set[str] = set()
        names = [f"n{i}" for i in range(count)]
        self.members = {name: self.member(i, name, names) for i, name in enumerate(names)}

    def member(self, seed: int, name: str, names: list[str]) -> ZoneDirectives:
        others = [other for other in names if other != name]
        return ZoneDirectives(name, lambda: others, lambda: self.wall, Random(seed), lambda: self.now)

    def run(self, seconds: int) -> list[list[str]]:
        """The zones evacuated by directive at each member after so many seconds."""
        for _ in range(seconds):
            self.now, self.wall = self.now + SEC, self.wall + SEC
            for name, member in self.members.items():
                for outgoing in member.tick(self.now):
                    if not {name, outgoing.to} & self.partitioned:
                        receiver = self.members[cast(str, outgoing.to)]
                        receiver.received(cast(ZoneMessage, outgoing.message))
        return [sorted(member.remaining()) for member in self.members.values()]


def test_a_directive_reaches_all_members_lasts_its_duration_and_the_newest_wins() -> None:
    fleet = DirectivesFleet(5)
    fleet.partitioned = {"n4"}
    assert fleet.members["n0"].issue("a", 60 * SEC)
    assert fleet.run(4) == [["a"]] * 4 + [[]]
    fleet.partitioned = set()
    assert fleet.run(20) == [["a"]] * 5  # a member that missed it learns of it all the same
    fleet.members["n3"].issue("a", 0)
    assert fleet.run(6) == [[]] * 5
    fleet.members["n1"].issue("a", 5 * SEC)
    assert fleet.run(3) == [["a"]] * 5 and fleet.run(8) == [[]] * 5
    old = ZoneMessage(ZoneKind.DIRECTIVES, "n9", (ZoneDirective("a", 5, 10**17),))
    fleet.members["n2"].received(old)
    assert fleet.members["n2"].remaining() == {}
    for i in range(2 * MAX_DIRECTIVES):
        fleet.members["n0"].issue(f"z{i}", SEC)
    assert len(fleet.members["n0"].by_zone) == MAX_DIRECTIVES


def test_a_directive_overrides_the_evidence() -> None:
    router = router_of(a=10, b=10)
    run_calls(router, 10)
    router.apply_directives({"a": 60 * SEC})
    assert set(router.shares(router.next_evaluation_at)) == {"b"} and not router.allows(100)
    assert run_calls(router, 5) == {"b"}
    router.apply_directives({})
    assert router.states.of("a").status == ZoneStatus.RECOVERING
    assert 0 < router.shares(router.next_evaluation_at)["a"] < 0.1
    run_calls(router, 40)
    run_calls(router, 6, "a")  # evacuated by evidence: a directive's end does not undo that, a return does
    router.apply_directives({"a": SEC})
    router.apply_directives({})
    assert router.states.of("a").status == ZoneStatus.EVACUATED
    router.apply_directives({}, {"a"})
    assert router.states.of("a").status == ZoneStatus.RECOVERING
    router.apply_directives({"a": SEC, "b": SEC})
    assert set(router.shares(router.next_evaluation_at)) == {"a", "b"}  # all evacuated: as if none were


def test_directives_are_encoded_and_checked() -> None:
    codec = Codec([b"k" * 20], [ZoneWire()])
    message = ZoneMessage(ZoneKind.DIRECTIVES, "a", (ZoneDirective("x" * 64, 1, 2),) * MAX_DIRECTIVES)
    assert codec.decode(codec.encode(message, SEC), SEC) == message
    for invalid in (ZoneDirective("", 1, 2), ZoneDirective("x", -1, 2), ZoneDirective("x", 1, 1 << 62)):
        invalid_message = ZoneMessage(ZoneKind.DIRECTIVES, "a", (invalid,))
        assert codec.decode(codec.encode(invalid_message, SEC), SEC) is None


# ---- log lines ------------------------------------------------------------------------------------------


def test_each_log_line_is_on_the_on_call_page() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text()
    sources = (ROOT / "balancer" / "fleet" / "zone_routing").glob("*.py")
    found = {line for file in sources for line in LOG_LINE.findall(file.read_text())}
    lines = {re.sub(r"\{[^}]+\}", "N", line.replace("{zone}", "Z")) for line in found}
    assert len(lines) == 6 and not {line for line in lines if f"`{line}`" not in page}


# ---- the policy with shares -------------------------------------------------------------------------------


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
