"""Slow start in a zone's strength if the wall clock, to which discovery's start times refer, is wrong."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import cast

import pytest
from support import BASE_SETTINGS

from balancer.fleet.config import FleetConfig
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.fleet.zone_routing.traffic import ZoneTraffic
from balancer.policy.interface import ListKind, ServerEntry, State

SEC = 1_000_000
SLOW_START = 10 * SEC
# Start of the node by the true clock.
NODE_START = 100 * SEC
# Unix time at zero of the true clock.
UNIX = 1_700_000_000 * SEC
CLOCK_STEPS_S = [-3600, -5, 5, 3600]


class Node:
    """A node whose wall clock is wrong by `step` seconds; discovery's start times are Unix time."""

    def __init__(self, step: int) -> None:
        self.step = step * SEC
        self.time = NODE_START
        self.traffic = ZoneTraffic(
            config=cast(FleetConfig, SimpleNamespace(name="n", zone="a")),
            zone_settings=ZoneSettings(),
            settings=replace(BASE_SETTINGS, slow_start_time=SLOW_START, slow_start_share=0.2),
            now=lambda: self.time,
            wall_clock=self.wall_clock,
            schedule=lambda: None,
            log_line=lambda line: None,
            publish=lambda shares, round_trips: None,
        )
        self.traffic.open(tuple, Random(1))

    def wall_clock(self) -> int:
        return UNIX + self.time + self.step

    def receive_list(self, *entries: ServerEntry, kind: ListKind = ListKind.CHANGES) -> None:
        self.traffic.server_list(self.wall_clock(), kind, entries, {"a": 0, "b": 1})

    def strength(self) -> float:
        """Return the strength of zone b with its one server: 0.2 at the start of slow start, 1 at its end."""
        assert self.traffic.router is not None
        return round(self.traffic.router.strengths(self.time)["b"], 3)


def started(at: int) -> ServerEntry:
    return ServerEntry(1, zone=1, ready_at=UNIX + at)


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
def test_slow_start_never_exceeds_its_configured_duration(step: int) -> None:
    node = Node(step)
    node.receive_list(started(node.time), kind=ListKind.FULL)
    # Receiving the same list again does not restart the slow start.
    for _ in range(5):
        node.time += SLOW_START // 5
        node.receive_list(started(NODE_START), kind=ListKind.FULL)
    assert node.strength() == 1.0


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.CHANGES])
@pytest.mark.parametrize("step", CLOCK_STEPS_S)
def test_observed_restart_counts_from_when_node_learned_of_it(step: int, kind: ListKind) -> None:
    node = Node(step)
    node.receive_list(ServerEntry(1, zone=1), ServerEntry(2), kind=ListKind.FULL)
    assert node.strength() == 1.0
    node.receive_list(ServerEntry(1, State.DRAINING, zone=1), ServerEntry(2), kind=kind)
    node.time += 60 * SEC
    server_start = node.time
    node.receive_list(started(server_start), ServerEntry(2), kind=kind)
    assert node.strength() == 0.2
    node.time += SLOW_START // 2
    node.receive_list(started(server_start), ServerEntry(2), kind=kind)
    assert node.strength() == 0.6
    node.time += SLOW_START // 2
    assert node.strength() == 1.0


def test_server_missing_from_full_list_is_removed() -> None:
    node = Node(0)
    node.receive_list(*(ServerEntry(i, zone=1, ready_at=UNIX) for i in range(1, 100)), kind=ListKind.FULL)
    node.receive_list(ServerEntry(1, zone=1, ready_at=UNIX), kind=ListKind.FULL)
    assert len(node.traffic.starts.by_server) == 1
