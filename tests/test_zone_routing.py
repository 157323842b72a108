"""Zone routing: shares by strength and capacity, evacuation by evidence, and stepwise recovery."""

import re
from collections.abc import Collection, Mapping
from pathlib import Path
from random import Random
from typing import Any

import pytest
from support import SEC
from zone_routing_support import (
    BASELINE_LATENCY_US,
    SETTINGS,
    make_router,
    run_calls,
    servers_in,
    status_letters,
)

from balancer.fleet.zone_routing.failure_evidence import ZoneAssessment
from balancer.fleet.zone_routing.router import ListedServer, ZoneRouter
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.fleet.zone_routing.zone_states import ZoneStatus

ROOT = Path(__file__).parent.parent
LOG_LINE = re.compile(r'log_line\(\s*f?"([^"]+)"')


def rounded(shares: dict[str, float]) -> dict[str, float]:
    return {zone: round(share, 2) for zone, share in shares.items()}


# ---- Shares -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("counts", "ejected", "costs", "expected"),
    [
        ({"a": 10, "b": 10, "c": 10}, {}, {}, {"a": 1.0, "b": 0.0, "c": 0.0}),
        # The remaining servers of the home zone have enough capacity.
        ({"a": 10, "b": 10, "c": 10}, {"a": 2}, {}, {"a": 1.0, "b": 0.0, "c": 0.0}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 5}, {}, {"a": 0.84, "b": 0.08, "c": 0.08}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 5}, {"c": 2}, {"a": 0.84, "b": 0.16, "c": 0.0}),
        ({"a": 10, "b": 10, "c": 20}, {"a": 5}, {}, {"a": 0.6, "b": 0.05, "c": 0.35}),
        ({"a": 2, "b": 50}, {}, {}, {"a": 0.11, "b": 0.89}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 10}, {}, {"a": 0.0, "b": 0.5, "c": 0.5}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 10, "b": 5}, {}, {"a": 0.0, "b": 0.18, "c": 0.82}),
        # The home zone has no servers, or its configured name is wrong.
        ({"b": 10, "c": 10}, {}, {}, {"b": 0.5, "c": 0.5}),
        ({"a": 10}, {}, {}, {"a": 1.0}),
        # If all servers are ejected, the ejections are ignored.
        ({"a": 10, "b": 10}, {"a": 10, "b": 10}, {}, {"a": 0.5, "b": 0.5}),
    ],
)
def test_calls_stay_in_home_zone_and_spill_over_by_capacity(
    counts: dict[str, Any], ejected: dict[str, int], costs: dict[str, float], expected: dict[str, float]
) -> None:
    router = make_router(settings=ZoneSettings(costs=costs), **counts)
    for zone, count in ejected.items():
        for server in servers_in(router, zone)[:count]:
            router.set_ejected(server, True)
    shares = router.shares(0)
    assert rounded(shares) == expected and sum(shares.values()) == pytest.approx(1)
    assert next(iter(shares)) == ("a" if "a" in counts else "b")


class AllOrNothingRouter(ZoneRouter):
    """A deliberately faulty router that sends all calls to one zone."""

    def shares(self, now: int) -> dict[str, float]:
        shares = super().shares(now)
        first = max(shares, key=lambda zone: shares[zone])
        return {zone: float(zone == first) for zone in shares}


def largest_share_change(router: ZoneRouter) -> float:
    """Return the largest change of a share while the servers of zone a are ejected one by one."""
    largest, before = 0.0, router.shares(0)
    for server in servers_in(router, "a"):
        router.set_ejected(server, True)
        after = router.shares(0)
        largest = max(largest, *(abs(after[zone] - before[zone]) for zone in after))
        before = after
    return largest


def test_shares_change_gradually_with_number_of_servers() -> None:
    assert largest_share_change(make_router(a=60, b=60, c=60)) < 0.05
    assert largest_share_change(make_router(router_class=AllOrNothingRouter, a=60, b=60, c=60)) == 1.0


def test_shares_sum_to_one_for_random_zone_states() -> None:
    rng = Random(7)
    for _ in range(500):
        counts: dict[str, Any] = {zone: rng.choice((0, 1, 2, 50)) for zone in "abcd"}
        router = make_router(settings=ZoneSettings(costs={"b": rng.random(), "d": 3}), **counts)
        for server in list(router.servers):
            router.set_ejected(server, rng.random() < 0.3)
        for zone in router.zones():
            router.states.get_or_create(zone).weight = rng.choice((0.0, 0.02, 0.5, 1.0))
            router.evidence.get_or_create(zone).performance = rng.choice((0.02, 0.7, 1.0))
        router.apply_directives({zone: SEC for zone in "abcd" if rng.random() < 0.2})
        router.is_isolated = rng.random() < 0.2
        shares = router.shares(0)
        if not router.servers:
            assert shares == {}
            continue
        assert sum(shares.values()) == pytest.approx(1) and min(shares.values()) >= 0
        usable = {zone for zone in router.zones() if router.states.takes_calls(zone)}
        assert set(shares) == usable or not any(router.strengths(0)[zone] for zone in usable)


def test_servers_in_slow_start_are_weighted_by_progress() -> None:
    router = make_router(a=10, b=10)
    router.update_servers(
        {
            number: ListedServer(server.zone, 10 * SEC if server.zone == "a" else 0)
            for number, server in router.servers.items()
        }
    )
    initial, halfway, final = (router.shares(at)["a"] for at in (0, 2 * SEC, 10 * SEC))
    assert round(initial, 2) == round(2 * 1.4 * 2 / 12, 2) and initial < halfway < final == 1.0


# ---- Evacuation and recovery ------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("home", "bad_zones", "fault", "expected"),
    [
        ("a", "", {}, "iii"),
        # The zone fails half of its calls, which also stands for a dead zone.
        ("a", "a", {}, "oii"),
        ("a", "a", {"failure_share": 0.3}, "oii"),
        ("a", "a", {"failure_share": 0.0, "slowdown": 6.0}, "oii"),
        ("a", "a", {"failure_share": 0.0, "slowdown": 2.0}, "iii"),
        ("a", "a", {"bad_servers": 1}, "iii"),
        # A bad release runs in all zones.
        ("a", "abc", {}, "iii"),
        # Zone b gets no calls from this node, so there is no evidence.
        ("a", "b", {}, "iii"),
    ],
)
def test_zone_is_evacuated_only_if_bad_as_a_whole(
    home: str, bad_zones: str, fault: dict[str, Any], expected: str
) -> None:
    router = make_router(home, a=10, b=10, c=10)
    run_calls(router, 20)
    for zone in "bc":
        router.evidence.get_or_create(zone).baseline_latency = BASELINE_LATENCY_US
    run_calls(router, 8, bad_zones, **fault)
    actual = status_letters(router)
    assert actual == expected or (bad_zones == "abc" and "o" not in actual), actual
    if "o" in expected:
        shares = router.shares(router.next_evaluation_at)
        assert "a" not in shares and not router.allows(100) and router.allows(200)


def test_consecutive_failures_trigger_immediate_evaluation() -> None:
    router = make_router(a=10, b=10, c=10)
    run_calls(router, 10)
    now = router.next_evaluation_at - 400_000
    count = SETTINGS.consecutive_failures
    must_evaluate = [router.record_outcome(now, 100 + i, False, 1000) for i in range(count)]
    assert must_evaluate == [False] * (count - 1) + [True] and router.tick(now)
    assert router.shares(now)["a"] < 0.1
    # A single success shows that the zone is reachable.
    router.record_outcome(now, 100, True, BASELINE_LATENCY_US)
    router.tick(router.next_evaluation_at)
    assert router.shares(router.next_evaluation_at)["a"] > 0.5


def test_no_remote_zone_is_evacuated_if_all_look_bad() -> None:
    """A partitioned node must not evacuate all other zones one after another."""
    # The home zone has little capacity, so the other zones get calls.
    router = make_router(a=4, b=10, c=10)
    run_calls(router, 20)
    assert sum(router.shares(router.next_evaluation_at)[zone] for zone in "bc") > 0.3
    run_calls(router, 4, "bc", failure_share=1.0, calls=400)
    remote = {router.states.get_or_create(zone).status for zone in "bc"}
    assert router.is_isolated and ZoneStatus.EVACUATED not in remote
    assert router.shares(router.next_evaluation_at)["a"] > 0.9
    # The links have recovered.
    run_calls(router, 20, calls=400)
    assert not router.is_isolated and router.shares(router.next_evaluation_at)["a"] < 0.8


class NeverIsolatedRouter(ZoneRouter):
    """A deliberately faulty router that never detects its own isolation."""

    def check_isolation(self, assessments: Mapping[str, ZoneAssessment], bad: Collection[str]) -> None:
        self.is_isolated = False


def test_remote_zones_are_evacuated_without_isolation_check() -> None:
    router = make_router(router_class=NeverIsolatedRouter, a=4, b=10, c=10)
    run_calls(router, 20, calls=400)
    run_calls(router, 6, "bc", failure_share=1.0, calls=400)
    assert ZoneStatus.EVACUATED in {router.states.get_or_create(zone).status for zone in "bc"}


@pytest.mark.parametrize("failure_share", [0.5, 1.0])
def test_zone_recovers_in_steps_with_growing_evacuation_time(failure_share: float) -> None:
    router = make_router(a=10, b=10, c=10)
    run_calls(router, 20)
    run_calls(router, 6, "a", failure_share=failure_share)
    assert status_letters(router)[0] == "o"
    shares = []
    for _ in range(60):
        run_calls(router, 1)
        shares.append(router.shares(router.next_evaluation_at).get("a", 0.0))
    rising = [share for share in shares if share > 0]
    assert shares.count(0.0) >= 6 and rising[0] < 0.05 and rising[-1] == 1.0
    is_stepwise = all(later <= 2.1 * earlier for earlier, later in zip(rising, rising[1:], strict=False))
    assert is_stepwise and status_letters(router)[0] == "i"
    run_calls(router, 6, "a", failure_share=failure_share)
    state = router.states.get_or_create("a")
    expected_time = SETTINGS.evacuation_backoff * SETTINGS.evacuation_time
    assert status_letters(router)[0] == "o" and state.evacuation_time == expected_time
    # While the zone stays bad, its weight remains low in each recovery and evacuations last longer.
    for _ in range(40):
        called = run_calls(router, 2, "a", failure_share=failure_share)
        assert "a" not in called or state.weight <= 4 * SETTINGS.initial_weight
    assert state.evacuation_time >= 4 * SETTINGS.evacuation_time


def test_remote_zone_without_calls_recovers_eventually() -> None:
    router = make_router(a=10, b=10, c=10)
    router.apply_directives({"b": SEC})
    router.apply_directives({})
    assert router.states.get_or_create("b").status == ZoneStatus.RECOVERING
    assert (
        "b" not in run_calls(router, 60) and router.states.get_or_create("b").status == ZoneStatus.RECOVERING
    )
    run_calls(router, 40)
    assert router.states.get_or_create("b").status == ZoneStatus.IN_SERVICE


def test_no_second_zone_is_evacuated_while_one_is_lost() -> None:
    router = make_router(a=10, b=10, c=10)
    run_calls(router, 20)
    router.update_servers({number: server for number, server in router.servers.items() if server.zone != "c"})
    run_calls(router, 8, "a")
    assert router.states.get_or_create("a").status == ZoneStatus.IN_SERVICE


def test_nodes_return_to_a_zone_at_different_times() -> None:
    return_times = []
    for rank in (0.0, 0.5, 0.9):
        router = make_router(rank=rank, a=10, b=10)
        run_calls(router, 20)
        run_calls(router, 6, "a")
        return_times.append(router.states.get_or_create("a").next_step_at)
    first, second, third = return_times
    assert second - first == SETTINGS.return_stagger // 2 and third > second


def test_extra_round_trips_are_derived_from_connect_times() -> None:
    router = make_router(a=2, b=2)
    for connect_time in (900, 1000, 5000):
        router.record_connection(100, connect_time)
        router.record_connection(200, connect_time + 16_000)
    assert router.extra_round_trips() == {"b": 16_000}
    # Without any connect times the extra round trip is 0.
    assert make_router(a=1, b=1).extra_round_trips() == {"b": 0}


# ---- Log lines ------------------------------------------------------------------------------------------


def test_each_log_line_is_documented_on_on_call_page() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text()
    sources = (ROOT / "balancer" / "fleet" / "zone_routing").glob("*.py")
    found = {line for file in sources for line in LOG_LINE.findall(file.read_text())}
    lines = {re.sub(r"\{[^}]+\}", "N", line.replace("{zone}", "Z")) for line in found}
    assert len(lines) == 6 and not {line for line in lines if f"`{line}`" not in page}
