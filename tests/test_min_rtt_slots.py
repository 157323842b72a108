"""minRTT recalculations: how many run simultaneously, and when a node starts without a slot."""

from random import Random

import pytest
from virtual_leases import SEC, LeaseTestbed

from balancer.fleet.min_rtt.decisions import MinRttSlots
from balancer.fleet.min_rtt.settings import MinRttSettings


def tier_of(count: int, share: float) -> LeaseTestbed[MinRttSlots]:
    t: LeaseTestbed[MinRttSlots] = LeaseTestbed(*(f"n{i}" for i in range(count)))
    settings = MinRttSettings(share)
    for i, name in enumerate(t.lease_clients):
        t.lease_users[name] = MinRttSlots(0, count, settings, t.lease_clients[name], Random(i))
    return t


def recalculate(
    t: LeaseTestbed[MinRttSlots], seconds: float, duration_s: float = 1.0
) -> tuple[list[tuple[str, int]], int]:
    """Let all nodes recalculate, with a query by the policy every 0.1 s.

    Returns:
        The names of the nodes with their start times, in order, and the greatest number of simultaneous
        recalculations.
    """
    started: list[tuple[str, int]] = []
    ends: dict[str, int] = {}
    greatest = 0
    for _ in range(int(seconds * 10)):
        for name, slots in t.lease_users.items():
            if name not in dict(started) and slots.may_start(t.now):
                started.append((name, t.now))
                ends[name] = t.now + int(duration_s * SEC)
            elif name in ends and t.now >= ends[name]:
                del ends[name]
                slots.finished()
        greatest = max(greatest, len(ends))
        t.run(0.1)
    return started, greatest


@pytest.mark.parametrize(("count", "share", "slots"), [(10, 0.2, 2), (10, 0.01, 1), (12, 0.5, 6)])
def test_slot_count_bounds_concurrent_recalculations(count: int, share: float, slots: int) -> None:
    """As many nodes recalculate simultaneously as there are slots, and every node gets a slot in time."""
    t = tier_of(count, share)
    assert t.lease_users["n0"].slot_count == slots
    started, greatest = recalculate(t, 25)
    assert greatest == slots and len(started) == count
    assert all(p.counts["without_a_place"] == 0 for p in t.lease_users.values())
    t.run(5)
    assert all(a.requests == {} for a in t.lease_clients.values())


def test_nodes_without_slot_recalculate_spread_over_time() -> None:
    t = tier_of(6, 0.2)
    t.unreachable = {"voters"}
    max_wait = MinRttSettings(0.2).max_wait / SEC
    assert recalculate(t, max_wait - 0.5) == ([], 0)
    started, _ = recalculate(t, max_wait * 0.6)
    times = sorted(at for _, at in started)
    assert len(times) == 6 and times[-1] - times[0] > 4 * SEC


def test_slot_is_released_after_max_duration_or_when_not_due() -> None:
    """A recalculation that does not end releases its slot, and one that is no longer due acquires none."""
    t = tier_of(2, 0.5)
    (one, other) = t.lease_users.values()
    while not one.may_start(t.now):
        t.run(0.1)
    assert one.token(t.now) is not None
    t.run(11)
    assert one.token(t.now) is None and one.view(t.now)["stage"] == "passes"
    other.may_start(t.now)
    t.run(1)
    assert t.lease_clients["n1"].requests
    t.run(3)
    assert t.lease_clients["n1"].requests == {}
