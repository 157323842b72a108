"""Slow start in a zone's strength where the wall clock, by which discovery's starts are read, is off."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import cast

import pytest
from support import BASE

from balancer.fleet.config import FleetConfig
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.fleet.zone_routing.traffic import ZoneTraffic
from balancer.policy.interface import ListKind, ServerEntry, State

SEC = 1_000_000
SLOW_START = 10 * SEC
NODE_START = 100 * SEC  # by the true clock
UNIX = 1_700_000_000 * SEC  # at zero of the true clock
STEPS = [-3600, -5, 5, 3600]


class Node:
    """A node whose wall clock is off by `step` seconds; discovery's starts are Unix time."""

    def __init__(self, step: int) -> None:
        self.step = step * SEC
        self.time = NODE_START
        self.traffic = ZoneTraffic(
            config=cast(FleetConfig, SimpleNamespace(name="n", zone="a")),
            zone_settings=ZoneSettings(),
            settings=replace(BASE, slow_start_time=SLOW_START, slow_start_share=0.2),
            now=lambda: self.time,
            wall=self.wall,
            schedule=lambda: None,
            log_line=lambda line: None,
            publish=lambda shares, round_trips: None,
        )
        self.traffic.open(tuple, Random(1))

    def wall(self) -> int:
        return UNIX + self.time + self.step

    def receive_list(self, *entries: ServerEntry, kind: ListKind = ListKind.CHANGES) -> None:
        self.traffic.server_list(self.wall(), kind, entries, {"a": 0, "b": 1})

    def strength(self) -> float:
        """Strength of zone b, which has one server: 0.2 when its slow start begins, 1 when it is over."""
        assert self.traffic.router is not None
        return round(self.traffic.router.strengths(self.time)["b"], 3)


def started(at: int) -> ServerEntry:
    return ServerEntry(1, zone=1, ready_at=UNIX + at)


@pytest.mark.parametrize("step", STEPS)
def test_no_server_counts_as_starting_for_longer_than_a_slow_start(step: int) -> None:
    node = Node(step)
    node.receive_list(started(node.time), kind=ListKind.FULL)
    for _ in range(5):  # a list that comes again does not begin the slow start anew
        node.time += SLOW_START // 5
        node.receive_list(started(NODE_START), kind=ListKind.FULL)
    assert node.strength() == 1.0


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.CHANGES])
@pytest.mark.parametrize("step", STEPS)
def test_a_witnessed_start_counts_from_when_the_node_learned_of_it(step: int, kind: ListKind) -> None:
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


def test_a_server_that_a_full_list_lacks_is_forgotten() -> None:
    node = Node(0)
    node.receive_list(*(ServerEntry(i, zone=1, ready_at=UNIX) for i in range(1, 100)), kind=ListKind.FULL)
    node.receive_list(ServerEntry(1, zone=1, ready_at=UNIX), kind=ListKind.FULL)
    assert len(node.traffic.starts.by_server) == 1
