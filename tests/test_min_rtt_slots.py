"""minRTT recalculations: how many nodes are in one at once, and when a node goes ahead without a slot."""

from random import Random

import pytest
from virtual_leases import SEC, Table

from balancer.fleet.min_rtt.decisions import Remeasure, RemeasureSettings


def passing(count, share):
    t = Table(*(f"n{i}" for i in range(count)))
    settings = RemeasureSettings(share)
    for i, name in enumerate(t.askers):
        t.parts[name] = Remeasure(0, count, settings, t.askers[name], Random(i))
    return t


def passes_of(t, seconds, length=1.0):
    """All nodes are due for a pass; the module asks each 0.1 s. Begins in order, the most at once."""
    begun, on, most = [], {}, 0
    for _ in range(int(seconds * 10)):
        for name, p in t.parts.items():
            if name not in dict(begun) and p.may(t.now):
                begun.append((name, t.now))
                on[name] = t.now + int(length * SEC)
            elif name in on and t.now >= on[name]:
                del on[name]
                p.passed(t.now)
        most = max(most, len(on))
        t.run(0.1)
    return begun, most


@pytest.mark.parametrize(("count", "share", "places"), [(10, 0.2, 2), (10, 0.01, 1), (12, 0.5, 6)])
def test_so_many_at_most_are_in_a_pass_and_all_get_theirs(count, share, places):
    t = passing(count, share)
    assert t.parts["n0"].places == places
    begun, most = passes_of(t, 25)
    assert most == places and len(begun) == count
    assert all(p.counts["without_a_place"] == 0 for p in t.parts.values())
    t.run(5)
    assert all(a.wanted == {} for a in t.askers.values())


def test_who_gets_no_place_passes_anyway_but_not_all_at_once():
    t = passing(6, 0.2)
    t.unreachable = {"voters"}
    bound = RemeasureSettings(0.2).bound / SEC
    assert passes_of(t, bound - 0.5) == ([], 0)
    begun, _ = passes_of(t, bound * 0.6)
    times = sorted(at for _, at in begun)
    assert len(times) == 6 and times[-1] - times[0] > 4 * SEC


def test_a_pass_without_end_gives_its_place_back_and_one_not_due_any_more_asks_no_longer():
    t = passing(2, 0.5)
    (one, other) = t.parts.values()
    while not one.may(t.now):
        t.run(0.1)
    assert one.token(t.now) is not None
    t.run(11)
    assert one.token(t.now) is None and one.view(t.now)["stage"] == "passes"
    other.may(t.now)
    t.run(1)
    assert t.askers["n1"].wanted
    t.run(3)
    assert t.askers["n1"].wanted == {}
