"""Zones: shares by strength and room, leaving by evidence, return by steps, an operator's words."""

from dataclasses import replace
from random import Random

import pytest
from support import KEYED, SAFE, SEC, balancer, end

from balancer.fleet.membership.codec import Codec
from balancer.fleet.zone_routing.decisions import Listed, Stand, Zones
from balancer.fleet.zone_routing.messages import MOST, Word, ZoneKind, ZoneMessage, ZoneWire
from balancer.fleet.zone_routing.orders import Orders
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.policy.interface import Group, ListKind, Outcome, ServerEntry

SET = ZoneSettings()


def zones(home="a", settings=SET, place=0.0, **counts):
    """A part at `home`; servers of each zone are numbered on from 100, 200, 300."""
    z = Zones(home, settings, 10 * SEC, 0.2, 0, lambda: place, lambda text: None)
    first = {zone: 100 * (i + 1) for i, zone in enumerate("abcdef")}
    z.listed({first[zone] + i: Listed(zone, 0) for zone, n in counts.items() for i in range(n)})
    return z


def near(shares, wanted):
    return {k: round(v, 2) for k, v in shares.items()} == wanted


@pytest.mark.parametrize(
    ("counts", "aside", "costs", "wanted"),
    [
        ({"a": 10, "b": 10, "c": 10}, {}, {}, {"a": 1.0, "b": 0.0, "c": 0.0}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 2}, {}, {"a": 1.0, "b": 0.0, "c": 0.0}),  # within the room
        ({"a": 10, "b": 10, "c": 10}, {"a": 5}, {}, {"a": 0.84, "b": 0.08, "c": 0.08}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 5}, {"c": 2}, {"a": 0.84, "b": 0.16, "c": 0.0}),
        ({"a": 10, "b": 10, "c": 20}, {"a": 5}, {}, {"a": 0.6, "b": 0.05, "c": 0.35}),
        ({"a": 2, "b": 50}, {}, {}, {"a": 0.11, "b": 0.89}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 10}, {}, {"a": 0.0, "b": 0.5, "c": 0.5}),
        ({"a": 10, "b": 10, "c": 10}, {"a": 10, "b": 5}, {}, {"a": 0.0, "b": 0.18, "c": 0.82}),
        ({"b": 10, "c": 10}, {}, {}, {"b": 0.5, "c": 0.5}),  # the own zone has none, or a wrong name
        ({"a": 10}, {}, {}, {"a": 1.0}),
        ({"a": 10, "b": 10}, {"a": 10, "b": 10}, {}, {"a": 0.5, "b": 0.5}),  # all aside: as if none were
    ],
)
def test_near_first_and_spill_by_room(counts, aside, costs, wanted):
    z = zones(settings=ZoneSettings(costs=costs), **counts)
    for zone, n in aside.items():
        for server in [s for s, x in z.servers.items() if x.zone == zone][:n]:
            z.set_aside(server, True)
    shares = z.shares(0)
    assert near(shares, wanted) and sum(shares.values()) == pytest.approx(1)
    assert next(iter(shares)) == ("a" if "a" in counts else "b")


class Cliff(Zones):
    """Broken on purpose: the own zone has all or nothing."""

    def shares(self, now):
        shares = super().shares(now)
        return {z: float(z == max(shares, key=shares.get)) for z in shares}


def steepest(z):
    """The most that a share moves as one of a zone's sixty servers after the other is set aside."""
    most, before = 0.0, z.shares(0)
    for server in [s for s in z.servers if s < 200]:
        z.set_aside(server, True)
        after = z.shares(0)
        most = max(most, *(abs(after[k] - before[k]) for k in after))
        before = after
    return most


def test_spill_is_a_fraction_and_never_a_cliff():
    assert steepest(zones(a=60, b=60, c=60)) < 0.05
    z = zones(a=60, b=60, c=60)
    z.__class__ = Cliff
    assert steepest(z) == 1.0


def test_shares_add_up_whatever_is_set_aside_left_or_lost():
    rng = Random(7)
    for _ in range(500):
        counts = {zone: rng.choice((0, 1, 2, 50)) for zone in "abcd"}
        z = zones(settings=ZoneSettings(costs={"b": rng.random(), "d": 3}), **counts)
        for server in list(z.servers):
            z.set_aside(server, rng.random() < 0.3)
        for zone in z.present():
            z.course(zone).part = rng.choice((0.0, 0.02, 0.5, 1.0))
            z.evidence.of(zone).pace = rng.choice((0.02, 0.7, 1.0))
        z.ordered({zone: SEC for zone in "abcd" if rng.random() < 0.2})
        z.isolated = rng.random() < 0.2
        shares = z.shares(0)
        if not z.servers:
            assert shares == {}
            continue
        assert sum(shares.values()) == pytest.approx(1) and min(shares.values()) >= 0
        able = {zone for zone in z.present() if z.able(zone)}
        assert set(shares) == able or not any(z.strength(0)[zone] for zone in able)


def test_cold_servers_count_by_their_warmth():
    z = zones(a=10, b=10)
    z.listed({s: Listed(x.zone, 10 * SEC if x.zone == "a" else 0) for s, x in z.servers.items()})
    cold, half, warm = (z.shares(at)["a"] for at in (0, 2 * SEC, 10 * SEC))
    assert round(cold, 2) == round(2 * 1.4 * 2 / 12, 2) and cold < half < warm == 1.0


# ---- evidence ---------------------------------------------------------------------------------------------


def play(z, seconds, bad=None, calls=40, share=0.5, slow=1.0, servers=None):
    """So many seconds of calls by the shares, a tick each half second. In the zones of `bad` a part fails and
    takes so many times as long, at the `servers` first ones or at all. Zones that were called."""
    now, called, rng = z.next, set(), Random(1)
    for _ in range(int(seconds * 2)):
        shares = z.shares(now)
        for _ in range(calls // 2):
            zone = rng.choices([*shares], [*shares.values()])[0]
            alike = [s for s, x in z.servers.items() if x.zone == zone]
            i = rng.randrange(len(alike))
            hit = zone in (bad or ()) and (servers is None or i < servers)
            called.add(zone)
            z.ended(now, alike[i], not (hit and rng.random() < share), int(50_000 * (slow if hit else 1)))
        now = z.next
        z.tick(now)
    return called


def stands(z):
    return "".join(z.course(zone).stand.value[0] for zone in sorted(z.courses))


@pytest.mark.parametrize(
    ("home", "bad", "more", "stand"),
    [
        ("a", "", {}, "iii"),
        ("a", "a", {}, "oii"),  # dead, or failing half of its calls
        ("a", "a", {"share": 0.3}, "oii"),
        ("a", "a", {"share": 0.0, "slow": 6.0}, "oii"),
        ("a", "a", {"share": 0.0, "slow": 2.0}, "iii"),
        ("a", "a", {"servers": 1}, "iii"),  # one bad server
        ("a", "abc", {}, "iii"),  # a bad release everywhere
        ("a", "b", {}, "iii"),  # not called from here: no word on it
    ],
)
def test_a_zone_is_left_by_evidence_of_the_zone_as_a_whole(home, bad, more, stand):
    z = zones(home, a=10, b=10, c=10)
    play(z, 20)  # what is usual
    z.evidence.of("b").usual = z.evidence.of("c").usual = 50_000
    play(z, 8, bad, **more)
    got = stands(z)
    assert got == stand or (bad == "abc" and "o" not in got), got
    if "o" in stand:
        assert "a" not in z.shares(z.next) and not z.allows(100) and z.allows(200)


def test_a_dead_zone_is_seen_after_some_calls_and_not_at_the_next_look():
    z = zones("a", a=10, b=10, c=10)
    play(z, 10)
    now = z.next - 400_000
    looks = [z.ended(now, 100 + i, False, 1000) for i in range(SET.row)]
    assert looks == [False] * (SET.row - 1) + [True] and z.tick(now)
    assert z.shares(now)["a"] < 0.1
    z.ended(now, 100, True, 50_000)  # one answer: it was not the zone
    z.tick(z.next)
    assert z.shares(z.next)["a"] > 0.5


def test_if_all_far_zones_look_bad_the_fault_is_near():
    """Failure prevented: a node that is cut off declares all other zones dead, one after the other."""
    z = zones("a", a=4, b=10, c=10)  # home bears little, so the others are called
    play(z, 20)
    assert sum(z.shares(z.next)[zone] for zone in "bc") > 0.3
    play(z, 4, "bc", share=1.0, calls=400)
    assert z.isolated and z.course("b").stand != Stand.OUT and z.course("c").stand != Stand.OUT
    assert z.shares(z.next)["a"] > 0.9
    play(z, 20, calls=400)  # the links are back
    assert not z.isolated and z.shares(z.next)["a"] < 0.8


class Sure(Zones):
    """Broken on purpose: evidence of others without a look at itself."""

    def look_around(self, verdicts, bad):
        self.isolated = False


def test_without_a_look_at_itself_a_node_leaves_all_others():
    z = zones("a", a=4, b=10, c=10)
    z.__class__ = Sure
    play(z, 20, calls=400)
    play(z, 6, "bc", share=1.0, calls=400)
    assert Stand.OUT in (z.course("b").stand, z.course("c").stand)


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_a_zone_returns_by_steps_and_later_each_time(share):
    z = zones("a", a=10, b=10, c=10)
    play(z, 20)
    play(z, 6, "a", share=share)
    assert stands(z)[0] == "o"
    parts = []
    for _ in range(60):
        play(z, 1)
        parts.append(z.shares(z.next).get("a", 0.0))
    rising = [p for p in parts if p > 0]
    assert parts.count(0.0) >= 6 and rising[0] < 0.05 and rising[-1] == 1.0
    assert all(b <= 2.1 * a for a, b in zip(rising, rising[1:], strict=False)) and stands(z)[0] == "i"
    play(z, 6, "a", share=share)
    assert stands(z)[0] == "o" and z.course("a").hold == SET.longer * SET.hold
    for _ in range(40):  # it stays bad: each trial is small, and the next one later
        called = play(z, 2, "a", share=share)
        assert "a" not in called or z.course("a").part <= 4 * SET.first
    assert z.course("a").hold >= 4 * SET.hold


def test_a_far_zone_that_nobody_calls_is_whole_again_in_time():
    z = zones("a", a=10, b=10, c=10)
    z.ordered({"b": SEC})
    z.ordered({})
    assert z.course("b").stand == Stand.RETURNING
    assert "b" not in play(z, 60) and z.course("b").stand == Stand.RETURNING
    play(z, 40)
    assert z.course("b").stand == Stand.IN


def test_no_second_zone_is_left_while_one_is_lost():
    z = zones("a", a=10, b=10, c=10)
    play(z, 20)
    z.listed({s: x for s, x in z.servers.items() if x.zone != "c"})
    play(z, 8, "a")
    assert z.course("a").stand == Stand.IN


def test_nodes_do_not_return_together():
    times = []
    for place in (0.0, 0.5, 0.9):
        z = zones("a", place=place, a=10, b=10)
        play(z, 20)
        play(z, 6, "a")
        times.append(z.course("a").at)
    assert times[1] - times[0] == SET.stagger // 2 and times[2] > times[1]


def test_a_way_that_is_longer_is_known_by_connections():
    z = zones("a", a=2, b=2)
    for took in (900, 1000, 5000):
        z.connected(100, took)
        z.connected(200, took + 16_000)
    assert z.trips() == {"b": 16_000}
    assert zones("a", a=1, b=1).trips() == {"b": 0}  # nothing known yet


# ---- an operator's words ----------------------------------------------------------------------------------


class Group_:
    """Members that hear one another, but for those cut off."""

    def __init__(self, count):
        self.now, self.wall, self.cut = 0, 10**15, set()
        self.parts = {}
        for i in range(count):
            name = f"n{i}"
            others = [f"n{j}" for j in range(count) if j != i]
            self.parts[name] = Orders(
                name, lambda o=others: o, lambda: self.wall, Random(i), lambda: self.now
            )

    def run(self, seconds):
        for _ in range(seconds):
            self.now, self.wall = self.now + SEC, self.wall + SEC
            for name, part in self.parts.items():
                for to, m in part.tick(self.now):
                    if name not in self.cut and to not in self.cut:
                        self.parts[to].received(m)
        return [sorted(p.left()) for p in self.parts.values()]


def test_an_operator_s_word_reaches_all_holds_its_time_and_the_newest_wins():
    g = Group_(5)
    g.cut = {"n4"}
    assert g.parts["n0"].say("a", 60 * SEC)
    assert g.run(4) == [["a"]] * 4 + [[]]
    g.cut = set()
    assert g.run(20) == [["a"]] * 5  # who missed it hears of it all the same
    g.parts["n3"].say("a", 0)
    assert g.run(6) == [[]] * 5
    g.parts["n1"].say("a", 5 * SEC)
    assert g.run(3) == [["a"]] * 5 and g.run(8) == [[]] * 5
    old = ZoneMessage(ZoneKind.ORDERS, "n9", (Word("a", 5, 10**17),))
    g.parts["n2"].received(old)
    assert g.parts["n2"].left() == {}
    for i in range(2 * MOST):
        g.parts["n0"].say(f"z{i}", SEC)
    assert len(g.parts["n0"].directives) == MOST


def test_an_operator_goes_before_evidence():
    z = zones("a", a=10, b=10)
    play(z, 10)
    z.ordered({"a": 60 * SEC})
    assert set(z.shares(z.next)) == {"b"} and not z.allows(100)
    assert play(z, 5) == {"b"}
    z.ordered({})
    assert z.course("a").stand == Stand.RETURNING and 0 < z.shares(z.next)["a"] < 0.1
    play(z, 40)
    play(z, 6, "a")  # left by evidence: the end of an order does not bring it back, an operator does
    z.ordered({"a": SEC})
    z.ordered({})
    assert z.course("a").stand == Stand.OUT
    z.ordered({}, {"a"})
    assert z.course("a").stand == Stand.RETURNING
    z.ordered({"a": SEC, "b": SEC})
    assert set(z.shares(z.next)) == {"a", "b"}  # all left: as if none were


def test_words_on_the_wire():
    codec = Codec([b"k" * 20], [ZoneWire()])
    message = ZoneMessage(ZoneKind.ORDERS, "a", (Word("x" * 64, 1, 2),) * MOST)
    assert codec.decode(codec.encode(message, SEC), SEC) == message
    for bad in (Word("", 1, 2), Word("x", -1, 2), Word("x", 1, 1 << 62)):
        assert codec.decode(codec.encode(ZoneMessage(ZoneKind.ORDERS, "a", (bad,)), SEC), SEC) is None


# ---- the module's side ------------------------------------------------------------------------------------


def spread(shares, trips=None, **changes):
    node, rec = balancer([ServerEntry(i, zone=i % 3, cell=i) for i in range(1, 31)], **changes)
    node.zone_shares(1, shares, trips or {})
    return node, rec


def served(node, rec, count, outcome=lambda server: Outcome.OK, klass=0, latency=lambda server: 10_000):
    """Servers by the order in which attempts went to them, a request each 20 ms."""
    out, now = [], 1000
    for i in range(count):
        now += 20_000
        node.request(now, i, klass, 0, 3 * SEC, False)
        actions, attempt = rec.take("send", "reject", "fail"), 0
        while actions and actions[0][0] == "send":
            server = actions[0][2]
            out.append(server)
            took = latency(server)
            now += took
            actions = end(node, rec, now, i, attempt, server, outcome(server), took)
            attempt += 1
    return out


def test_calls_go_to_the_zones_by_their_shares():
    zones_ = [s % 3 for s in served(*spread({0: 0.7, 1: 0.3, 2: 0.0}), 600)]
    assert 2 not in zones_ and 0.25 < zones_.count(1) / 600 < 0.35
    node, rec = balancer([ServerEntry(i, zone=i % 3, cell=i) for i in range(1, 31)])
    assert {s % 3 for s in served(node, rec, 200)} == {0, 1, 2}  # without a word, as ever


def test_a_repeat_leaves_a_zone_that_failed_but_never_for_one_that_is_left():
    lost = lambda server: Outcome.CONNECT_FAILED if server % 3 == 0 else Outcome.OK  # noqa: E731
    order = [s % 3 for s in served(*spread({0: 1.0, 1: 0.0}), 40, lost)]
    assert order[:2] == [0, 1] and 2 not in order


def test_a_keyed_request_that_may_have_run_stays_in_its_group():

    zoned = replace(KEYED, group=Group.ZONE, window=3 * SEC)
    reset = lambda server: Outcome.RESET if server % 3 == 0 else Outcome.OK  # noqa: E731
    node, rec = spread({0: 1.0, 1: 0.0}, classes=(SAFE, zoned))
    for i in range(10):
        node.request(1000 + i, i, 1, 0, 3 * SEC, False)
        first = rec.take("send")[0][2]
        again = end(node, rec, 2000 + i, i, 0, first, reset(first))
        assert all(a[0] != "send" or a[2] % 3 == first % 3 for a in again)


def limit_with(trips):
    """The controller after three in ten calls have gone to a zone that is 15 ms away."""
    node, rec = spread({0: 0.7, 1: 0.3}, trips)
    way = lambda server: 20_000 + (15_000 if server % 3 == 1 else 0)  # noqa: E731
    served(node, rec, 1500, latency=way)
    return node.controller


def test_a_far_call_s_way_does_not_enter_the_near_min_rtt():
    """Failure prevented: the way is taken for queueing, the limit follows what goes far and not the load."""
    with_, without = limit_with({1: 15_000}), limit_with({})
    assert max(with_.min_rtt) == 20_000 and max(without.min_rtt) == 35_000
    assert with_.sample_rtt < without.sample_rtt


def test_lists_without_the_own_zone_or_with_new_ones_do_no_harm():
    node, rec = spread({0: 1.0, 7: 0.0})  # a zone that no server has
    assert served(node, rec, 20)
    node.server_list(SEC, ListKind.FULL, [ServerEntry(i, zone=5) for i in range(40, 44)])
    assert served(node, rec, 3) == []  # nobody in a zone that may be called, until the shares follow
    node.zone_shares(2 * SEC, {5: 1.0}, {})
    assert set(served(node, rec, 10)) <= set(range(40, 44))
