"""Directives on zones where members' wall clocks differ or step, and beside processes of earlier versions."""

from random import Random

import pytest

from balancer.fleet.membership.codec import MAX_DATAGRAM_BYTES, Codec
from balancer.fleet.zone_routing.messages import MOST, Word, ZoneKind, ZoneMessage, ZoneWire
from balancer.fleet.zone_routing.orders import LONGEST, Orders

SEC = 1_000_000
HOUR = 3600 * SEC
UNIX = 1_700_000_000 * SEC
TRANSIT = 5_000  # microseconds
STEPS = [-3600, -5, 5, 3600]
BOUND = 2 * SEC  # from when a directive's span is over until it is over at each member


class EarlierOrders:
    """As it was in the version before: ends and versions by wall clocks that agree."""

    def __init__(self, name, alive, wall, rng, now):
        self.name, self.alive, self.wall, self.rng = name, alive, wall, rng
        self.words, self.fresh, self.next = {}, 0, now()

    def say(self, zone, length):
        wall, old = self.wall(), self.words.get(zone)
        version = max(wall, old.version + 1 if old is not None else 0)
        self.words[zone] = Word(zone, version, wall + min(length, LONGEST) if length else 0)
        self.fresh = 3

    def left(self):
        wall = self.wall()
        return {z: min(w.until - wall, LONGEST) for z, w in self.words.items() if w.until > wall}

    def returned(self):
        return {z for z, w in self.words.items() if not w.until}

    def tick(self, now):
        if not self.words or now < self.next:
            return []
        self.next = now + SEC
        wall = self.wall()
        self.words = {z: w for z, w in self.words.items() if max(w.until, w.version) + HOUR > wall}
        message = ZoneMessage(ZoneKind.ORDERS, self.name, tuple(w for _, w in sorted(self.words.items())))
        if self.fresh:
            self.fresh -= 1
            return [(name, message) for name in self.alive()]
        return [(self.rng.choice(list(self.alive())), message)]

    def received(self, message):
        for word in message.words:
            known = self.words.get(word.zone)
            if known is None or (word.version, word.until) > (known.version, known.until):
                self.words[word.zone] = word


class Fleet:
    """Members on one true time, each with a wall clock that is off by a step and a monotonic one of its own.
    Messages go through the codec and take `TRANSIT`."""

    def __init__(self, count, earlier=()):
        self.true = 100 * SEC
        self.steps = [0] * count
        self.cut = set()
        self.kinds = [EarlierOrders if i in earlier else Orders for i in range(count)]
        self.members = [None] * count
        self.codec = Codec([b"k" * 20], [ZoneWire()])
        for i in range(count):
            self.restart(i)

    def restart(self, i):
        others = [f"n{j}" for j in range(len(self.kinds)) if j != i]
        self.members[i] = self.kinds[i](
            f"n{i}",
            lambda: others,
            lambda: UNIX + self.true + self.steps[i] * SEC,
            Random(i),
            lambda: self.true + i * 1000 * SEC,
        )

    def run(self, seconds, every=SEC // 2):
        for _ in range(int(seconds * SEC / every)):
            self.true += every - TRANSIT
            sent = [
                (i, int(to[1:]), message)
                for i, member in enumerate(self.members)
                for to, message in member.tick(self.true + i * 1000 * SEC)
            ]
            self.true += TRANSIT
            for i, to, message in sent:
                if not {i, to} & self.cut:
                    self.members[to].received(self.read(message))
        return self

    def read(self, message):
        """Through the wire; whether wall clocks agree is the codec's matter."""
        data = self.codec.encode(message, UNIX)
        assert len(data) <= MAX_DATAGRAM_BYTES
        stamp = self.codec.last_stamp
        read = self.codec.decode(data, stamp)
        assert read == message
        return read

    def skip(self, seconds):
        """Time goes on, and the wire is dead."""
        self.cut = set(range(len(self.members)))
        self.run(seconds, every=10 * SEC)
        self.cut = set()
        return self

    def left(self):
        return ["".join(sorted(m.left())) for m in self.members]

    def seconds_left(self):
        return [round(m.left().get("a", 0) / SEC) for m in self.members]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("who", [0, 1], ids=["the-operator-s", "another"])
def test_a_span_is_real_time_at_each_member_whatever_its_wall_clock(step, when, who):
    fleet = Fleet(4)
    if when == "before":
        fleet.steps[who] = step
    fleet.members[0].say("a", 60 * SEC)
    fleet.run(10)
    assert fleet.seconds_left() == [50] * 4
    fleet.steps[who] = step
    assert fleet.run(49).left() == ["a"] * 4
    assert fleet.run(1 + BOUND / SEC).left() == [""] * 4


@pytest.mark.parametrize("step", STEPS)
def test_a_member_that_restarts_with_a_stepped_clock_hears_what_is_left(step):
    fleet = Fleet(4)
    fleet.members[0].say("a", 60 * SEC)
    fleet.run(10)
    fleet.steps[0] = step
    fleet.restart(0)
    assert fleet.run(20).seconds_left() == [30] * 4
    assert fleet.run(30 + BOUND / SEC).left() == [""] * 4


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("restart", [False, True], ids=["running", "restarting"])
def test_what_is_said_later_wins_wherever_the_one_before_was_seen(step, restart):
    """First where the clock is wrong, then where it is right, and the other way round."""
    for first, second in ((0, 1), (1, 0)):
        fleet = Fleet(4)
        fleet.steps[0] = step
        for lengths in ((600 * SEC, 0), (0, 600 * SEC), (600 * SEC, 300 * SEC)):
            fleet.members[first].say("a", lengths[0])
            fleet.run(6)
            if restart:
                fleet.restart(0)
                fleet.run(20)
            fleet.members[second].say("a", lengths[1])
            fleet.run(20)
            assert fleet.seconds_left() == [max(0, lengths[1] // SEC - 20)] * 4


@pytest.mark.parametrize("step", STEPS)
def test_a_step_under_a_running_member_leaves_the_order_of_what_it_says(step):
    fleet = Fleet(3)
    fleet.members[0].say("a", 600 * SEC)
    fleet.run(5)
    fleet.steps = [step] * 3
    fleet.members[0].say("a", 0)
    assert fleet.run(5).left() == [""] * 3
    fleet.steps = [0] * 3
    fleet.members[1].say("a", 600 * SEC)
    assert fleet.run(5).left() == ["a"] * 3


def test_two_that_have_not_heard_of_one_another_go_by_time_above_a_fast_clock():
    """After a directive an hour ahead, later ones of two members that are cut off have their order still."""
    fleet = Fleet(3)
    fleet.steps[0] = 3600
    fleet.members[0].say("a", 600 * SEC)
    fleet.run(5)
    fleet.cut = {1}
    fleet.members[1].say("a", 900 * SEC)
    fleet.run(2)
    fleet.members[2].say("a", 0)
    fleet.cut = set()
    assert fleet.run(20).left() == [""] * 3


def test_what_was_taken_back_stays_so_when_a_member_comes_back_from_a_long_cut():
    """Failure prevented: an hour after a return all forget it, and a member spreads the one before."""
    fleet = Fleet(4)
    fleet.members[0].say("a", LONGEST)
    fleet.run(5)
    fleet.cut = {3}
    fleet.members[1].say("a", 0)
    fleet.run(5).skip(3 * 3600)
    assert fleet.run(60).left() == [""] * 4
    assert all(m.returned() == {"a"} for m in fleet.members)


def test_what_is_over_is_told_for_an_hour_and_kept_while_there_is_room():
    fleet = Fleet(2)
    for i in range(MOST):
        fleet.members[0].say(f"z{i:02}", (i + 10) * SEC)
    fleet.run(5)
    assert not fleet.members[0].say("b", SEC)
    fleet.run(30).skip(3600 + 30)
    fleet.run(1)
    assert all(m.deadline() is None for m in fleet.members)
    assert fleet.members[0].say("b", SEC) and "z00" not in fleet.members[0].directives
    assert len(fleet.members[0].directives) == MOST


def test_a_return_that_goes_round_dies_out_though_members_join():
    """A joiner takes on how old it is, and does not begin its hour anew."""
    fleet = Fleet(3)
    fleet.members[0].say("a", 0)
    fleet.run(5)
    for i in range(6):
        fleet.run(1200, every=10 * SEC)
        fleet.restart(i % 3)
    fleet.run(60)
    assert all(m.deadline() is None for m in fleet.members)


def test_a_clock_before_1970_says_what_can_be_sent():
    fleet = Fleet(3)
    fleet.steps[0] = -2 * UNIX // SEC
    fleet.members[0].say("a", 60 * SEC)
    assert fleet.run(5).seconds_left() == [55] * 3
    fleet.run(100)
    assert fleet.left() == [""] * 3


# ---- beside processes of the version before ---------------------------------------------------------------


@pytest.mark.parametrize("earlier", [(0,), (1,), (0, 1), (0, 2, 3)])
def test_both_versions_side_by_side(earlier):
    """With wall clocks that agree, as the version before needs them."""
    fleet = Fleet(4, earlier)
    for speaker in range(4):
        fleet.members[speaker].say("a", 60 * SEC)
        assert fleet.run(10).seconds_left() == [50] * 4
        fleet.members[3 - speaker].say("a", 0)
        assert fleet.run(10).left() == [""] * 4
    fleet.members[0].say("a", 60 * SEC)
    fleet.run(59)
    assert fleet.left() == ["a"] * 4
    assert fleet.run(1 + BOUND / SEC).left() == [""] * 4


@pytest.mark.parametrize("step", STEPS)
def test_what_an_earlier_version_passes_on_gives_way_to_a_better_measure(step):
    """Member 3's clock is off: it hears the end from an earlier one, then from one that sends its clock."""
    fleet = Fleet(4, earlier=(1,))
    fleet.steps[3] = step
    fleet.members[0].say("a", 600 * SEC)
    word = Word("a", fleet.members[0].directives["a"].version, UNIX + fleet.true + 600 * SEC)
    fleet.members[3].received(ZoneMessage(ZoneKind.ORDERS, "n1", (word,)))
    assert fleet.seconds_left()[3] == 600 - step if step < 600 else fleet.seconds_left()[3] == 0
    fleet.run(10)
    assert fleet.seconds_left()[3] == 590
