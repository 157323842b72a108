"""Connections that come up late: a fault of the model, off on every day that does not ask for it."""

from __future__ import annotations

import pytest

from balancer.policy.interface import Outcome
from workbench.baselines import POLICIES
from workbench.experiment.losses import LossTask, play_all
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

TICK = 1000
DAY = ["length_s=8", "servers=4", "fault[0].at_s=2", "fault[0].for_s=3"]
TIMEOUT = 150_000  # the day's connect time-out
DRAWS = range(0, 2**31, 2**31 // 4000)


def world_of(*overrides: str) -> tuple[World, HeapClock]:
    clock = HeapClock(CLOCK_START_US)
    day = draw(load("late-connections", [*DAY, "load.fraction=0.001", *overrides]), 1)
    return World(day, clock, Host(clock, TICK, POLICIES["random"].make)), clock


def dialled(latest: int, draw_: int) -> tuple[Server, AttemptTrace, list[int]]:
    """One attempt on a new connection, all of which are late: when it arrives at its server, and its end."""
    world, clock = world_of()
    node = world.nodes[0]
    assert isinstance(node, Node)
    server = world.tiers[0][0]
    server.late_connection_share, server.max_connection_delay = 1.0, latest
    arrived: list[int] = []
    server.arrive = lambda attempt: arrived.append(clock.now - CLOCK_START_US)  # type: ignore[method-assign]
    request = Request(0, draw_, 0, 0, CLOCK_START_US, 2_500_000, 6_000_000, 1.0)
    call = world.call(request, draw_, 0, CLOCK_START_US + 2_000_000, world.clients)
    call.in_flight = 1
    attempt = Attempt(call, 0, server, node, draw_, CLOCK_START_US)
    attempt.trace = AttemptTrace(0, CLOCK_START_US)
    attempt.connection = ConnectionPool(server)
    node.dial(attempt, 100, reachable=True)
    clock.run(CLOCK_START_US + 2_000_000)
    return server, attempt.trace, arrived


def test_a_connection_within_the_time_out_is_late_by_its_draw() -> None:
    server, trace, arrived = dialled(latest=100_000, draw_=7)
    late = server.connection_delay(7)
    handshake = int(200 * server.spec.handshake_rtts)
    assert 0 < late < 100_000
    assert arrived == [100 + handshake + late]
    assert server.connections == 1
    assert trace.dialled
    assert trace.outcome is None


def test_a_connection_beyond_the_time_out_fails_there_and_costs_its_server_nothing() -> None:
    """Failure prevented: a server's table fills with connections that nobody holds."""
    draw_ = next(d for d in DRAWS if dialled_delay(d) > TIMEOUT)
    server, trace, arrived = dialled(latest=1_500_000, draw_=draw_)
    assert trace.outcome == Outcome.CONNECT_FAILED
    assert trace.ended_at == CLOCK_START_US + TIMEOUT
    assert arrived == []
    assert server.connections == 0
    assert server.overhead == 0


def dialled_delay(draw_: int) -> int:
    server = world_of()[0].tiers[0][0]
    server.late_connection_share, server.max_connection_delay = 1.0, 1_500_000
    return server.connection_delay(draw_)


def test_the_share_and_the_bound_of_late_connections_hold() -> None:
    server = world_of()[0].tiers[0][0]
    assert not any(server.connection_delay(d) for d in DRAWS)
    server.late_connection_share, server.max_connection_delay = 0.33, 1_500_000
    late = [delay for d in DRAWS if (delay := server.connection_delay(d))]
    assert len(late) / len(DRAWS) == pytest.approx(0.33, abs=0.03)
    assert max(late) < 1_500_000
    assert sum(late) / len(late) == pytest.approx(750_000, rel=0.05)


@pytest.mark.parametrize(("part", "struck"), [(1.0, 4), (0.5, 2)])
def test_the_fault_strikes_its_part_of_the_servers_for_its_time(part: float, struck: int) -> None:
    world, clock = world_of(f"fault[0].part={part}", "fault[0].tier=0", "fault[0].late_ms=400")
    world.start()
    counts = []
    for second in (1, 3, 6):
        clock.run(CLOCK_START_US + second * 1_000_000)
        late = [s for tier in world.tiers for s in tier if s.late_connection_share]
        counts.append(len(late))
        assert all(
            (s.tier, s.late_connection_share, s.max_connection_delay) == (0, 0.33, 400_000) for s in late
        )
    assert counts == [0, struck, 0]


def test_late_connections_come_up_1500_ms_late_where_the_day_does_not_say() -> None:
    day = parse_scenario({"fault": [{"type": "late_connections", "at_s": 0, "part": 1.0}]})
    clock = HeapClock(CLOCK_START_US)
    world = World(draw(day), clock, Host(clock, TICK, POLICIES["random"].make))
    world.start()
    clock.run(CLOCK_START_US + 1)
    assert world.tiers[0][0].max_connection_delay == 1_500_000


@pytest.mark.parametrize("name", [n for n in shipped_scenarios() if n != "late-connections"])
def test_no_other_shipped_day_stores_the_key(name: str) -> None:
    """Failure prevented: a new key changes the digest of every stored day."""
    assert all("late_ms" not in fault for fault in to_table(load(name))["fault"])


def test_the_days_loss_has_connections_that_were_not_established() -> None:
    once = ["nodes.max_attempts=1", "clients.retries=0"]  # a failed connection is the request's end
    day = draw(load("late-connections", [*DAY, *once]), 1)
    (lost,) = play_all([LossTask(day, "random")], workers=1)
    assert lost.losses.by_cause()[LossCause.CONNECT] > 0


def test_the_day_repeats_and_differs_from_one_without_late_connections() -> None:
    day = draw(load("late-connections", DAY), 1)
    without = draw(load("late-connections", [*DAY, "fault[0].share=0"]), 1)
    goals = [play(d).result["account"] for d in (day, day, without)]
    assert goals[0] == goals[1] != goals[2]
