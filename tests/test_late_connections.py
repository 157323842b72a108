"""Tests of late connections, a fault of the model that only scenarios with that fault have."""

from __future__ import annotations

import pytest

from balancer.policy.interface import Outcome
from workbench.baselines import POLICIES
from workbench.experiment.losses import LossTask, play_and_attribute_all
from workbench.model.call import Attempt, Request
from workbench.model.server import Server
from workbench.model.site import CLOCK_START_US, World
from workbench.model.trace import AttemptTrace
from workbench.report.losses import LossCause
from workbench.scenario.load import draw, load, parse_scenario, shipped_scenarios, to_table
from workbench.simulator.connections import ConnectionPool
from workbench.simulator.heap import HeapClock
from workbench.simulator.host import Host
from workbench.simulator.node import Node
from workbench.simulator.play import play

TICK_US = 1000
OVERRIDES = ["length_s=8", "servers=4", "fault[0].at_s=2", "fault[0].for_s=3"]
CONNECT_TIMEOUT_US = 150_000
DRAWS = range(0, 2**31, 2**31 // 4000)


def make_world(*overrides: str) -> tuple[World, HeapClock]:
    clock = HeapClock(CLOCK_START_US)
    scenario = draw(load("late-connections", [*OVERRIDES, "load.fraction=0.001", *overrides]), 1)
    return World(scenario, clock, Host(clock, TICK_US, POLICIES["random"].make)), clock


def dial_late_connection(max_delay: int, draw_: int) -> tuple[Server, AttemptTrace, list[int]]:
    """Send an attempt on a late connection; return its server, its trace and its arrivals at the server."""
    world, clock = make_world()
    node = world.nodes[0]
    assert isinstance(node, Node)
    server = world.tiers[0][0]
    server.late_connection_share, server.max_connection_delay = 1.0, max_delay
    arrivals: list[int] = []
    server.arrive = lambda attempt: arrivals.append(clock.now - CLOCK_START_US)  # type: ignore[method-assign]
    request = Request(0, draw_, 0, 0, CLOCK_START_US, 2_500_000, 6_000_000, 1.0)
    call = world.call(request, draw_, 0, CLOCK_START_US + 2_000_000, world.clients)
    call.in_flight = 1
    attempt = Attempt(call, 0, server, node, draw_, CLOCK_START_US)
    attempt.trace = AttemptTrace(0, CLOCK_START_US)
    attempt.connection = ConnectionPool(server)
    node.dial(attempt, 100, reachable=True)
    clock.run(CLOCK_START_US + 2_000_000)
    return server, attempt.trace, arrivals


def test_connection_within_timeout_is_late_by_its_drawn_delay() -> None:
    server, trace, arrivals = dial_late_connection(max_delay=100_000, draw_=7)
    delay = server.connection_delay(7)
    handshake = int(200 * server.spec.handshake_rtts)
    assert 0 < delay < 100_000
    assert arrivals == [100 + handshake + delay]
    assert server.connections == 1
    assert trace.dialled
    assert trace.outcome is None


def test_connection_beyond_timeout_fails_at_no_cost_to_server() -> None:
    """An abandoned connection does not count at its server; otherwise it would fill the connection table."""
    draw_ = next(d for d in DRAWS if drawn_delay(d) > CONNECT_TIMEOUT_US)
    server, trace, arrivals = dial_late_connection(max_delay=1_500_000, draw_=draw_)
    assert trace.outcome == Outcome.CONNECT_FAILED
    assert trace.ended_at == CLOCK_START_US + CONNECT_TIMEOUT_US
    assert arrivals == []
    assert server.connections == 0
    assert server.overhead == 0


def drawn_delay(draw_: int) -> int:
    server = make_world()[0].tiers[0][0]
    server.late_connection_share, server.max_connection_delay = 1.0, 1_500_000
    return server.connection_delay(draw_)


def test_late_connections_have_the_given_share_and_max_delay() -> None:
    server = make_world()[0].tiers[0][0]
    assert not any(server.connection_delay(d) for d in DRAWS)
    server.late_connection_share, server.max_connection_delay = 0.33, 1_500_000
    delays = [delay for d in DRAWS if (delay := server.connection_delay(d))]
    assert len(delays) / len(DRAWS) == pytest.approx(0.33, abs=0.03)
    assert max(delays) < 1_500_000
    assert sum(delays) / len(delays) == pytest.approx(750_000, rel=0.05)


@pytest.mark.parametrize(("part", "affected"), [(1.0, 4), (0.5, 2)])
def test_fault_affects_its_part_of_servers_for_its_duration(part: float, affected: int) -> None:
    world, clock = make_world(f"fault[0].part={part}", "fault[0].tier=0", "fault[0].late_ms=400")
    world.start()
    counts = []
    for second in (1, 3, 6):
        clock.run(CLOCK_START_US + second * 1_000_000)
        late_servers = [s for tier in world.tiers for s in tier if s.late_connection_share]
        counts.append(len(late_servers))
        assert all(
            (s.tier, s.late_connection_share, s.max_connection_delay) == (0, 0.33, 400_000)
            for s in late_servers
        )
    assert counts == [0, affected, 0]


def test_max_delay_of_late_connections_is_1500_ms_by_default() -> None:
    scenario = parse_scenario({"fault": [{"type": "late_connections", "at_s": 0, "part": 1.0}]})
    clock = HeapClock(CLOCK_START_US)
    world = World(draw(scenario), clock, Host(clock, TICK_US, POLICIES["random"].make))
    world.start()
    clock.run(CLOCK_START_US + 1)
    assert world.tiers[0][0].max_connection_delay == 1_500_000


@pytest.mark.parametrize("name", [n for n in shipped_scenarios() if n != "late-connections"])
def test_other_shipped_scenarios_do_not_store_late_ms(name: str) -> None:
    """A key that every scenario stored would change the digests of all stored scenarios."""
    assert all("late_ms" not in fault for fault in to_table(load(name))["fault"])


def test_losses_include_connections_that_were_not_established() -> None:
    """Without retries, a connection that is not established ends its request."""
    no_retries = ["nodes.max_attempts=1", "clients.retries=0"]
    scenario = draw(load("late-connections", [*OVERRIDES, *no_retries]), 1)
    (lost,) = play_and_attribute_all([LossTask(scenario, "random")], workers=1)
    assert lost.losses.by_cause()[LossCause.CONNECT] > 0


def test_run_is_reproducible_and_differs_without_the_fault() -> None:
    scenario = draw(load("late-connections", OVERRIDES), 1)
    without_fault = draw(load("late-connections", [*OVERRIDES, "fault[0].share=0"]), 1)
    accounts = [play(s).result["account"] for s in (scenario, scenario, without_fault)]
    assert accounts[0] == accounts[1] != accounts[2]
