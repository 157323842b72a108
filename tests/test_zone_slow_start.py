"""How cold a zone's servers count where the wall clock, by which discovery's starts are read, is off."""

from random import Random
from types import SimpleNamespace

import pytest

from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.fleet.zone_routing.traffic import ZoneTraffic
from balancer.policy.interface import ListKind, ServerEntry, State

SEC = 1_000_000
COLD = 10 * SEC
UNIX = 1_700_000_000 * SEC
STEPS = [-3600, -5, 5, 3600]


class Node:
    """A node whose wall clock was off by `step` seconds as it started; discovery's starts are Unix time."""

    def __init__(self, step):
        self.step = step * SEC
        self.time = 100 * SEC
        self.traffic = ZoneTraffic(
            SimpleNamespace(name="n", zone="a"),
            ZoneSettings(),
            SimpleNamespace(slow_start_time=COLD, slow_start_share=0.2),
            lambda: self.time,
            lambda: UNIX + self.time + self.step,
            lambda: None,
            lambda line: None,
            lambda shares, round_trips: None,
        )
        self.traffic.open(tuple, Random(1))

    def hear(self, *entries, kind=ListKind.CHANGES):
        clock = UNIX + self.time + self.step
        self.traffic.server_list(clock, kind, entries, {"a": 0, "b": 1})

    def warmth(self):
        """Strength of zone b, of one server: 0.2 cold, 1 warm."""
        return round(self.traffic.zones.strength(self.time)["b"], 3)


def started(at, state=State.READY):
    return ServerEntry(1, state, zone=1, ready_at=UNIX + at)


@pytest.mark.parametrize("step", STEPS)
def test_no_server_counts_as_cold_for_longer_than_a_slow_start(step):
    node = Node(step)
    node.hear(started(node.time), kind=ListKind.FULL)
    for _ in range(5):  # a list that comes again does not begin it anew
        node.time += COLD // 5
        node.hear(started(100 * SEC), kind=ListKind.FULL)
    assert node.warmth() == 1.0


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.CHANGES])
@pytest.mark.parametrize("step", STEPS)
def test_a_start_that_is_seen_counts_from_when_it_was_seen(step, kind):
    node = Node(step)
    node.hear(ServerEntry(1, zone=1), ServerEntry(2), kind=ListKind.FULL)
    assert node.warmth() == 1.0
    node.hear(ServerEntry(1, State.DRAINING, zone=1), ServerEntry(2), kind=kind)
    node.time += 60 * SEC
    node.hear(started(node.time), ServerEntry(2), kind=kind)
    assert node.warmth() == 0.2
    node.time += COLD // 2
    node.hear(started(160 * SEC), ServerEntry(2), kind=kind)
    assert node.warmth() == 0.6
    node.time += COLD // 2
    assert node.warmth() == 1.0


def test_a_server_that_is_gone_from_a_whole_list_is_forgotten():
    node = Node(0)
    node.hear(*(ServerEntry(i, zone=1, ready_at=UNIX) for i in range(1, 100)), kind=ListKind.FULL)
    node.hear(ServerEntry(1, zone=1, ready_at=UNIX), kind=ListKind.FULL)
    assert len(node.traffic.starts) == 1
