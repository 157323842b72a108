"""Membership in a large group: cost, joins, comparison of views, mixed versions, suspicion."""

import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random
from types import FrameType
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.fleet.membership.claims import Claim, Status
from balancer.fleet.membership.codec import HEADER, Codec
from balancer.fleet.membership.dissemination import Dissemination
from balancer.fleet.membership.failure_detector import Probe
from balancer.fleet.membership.keys import authentication_tag, key_id
from balancer.fleet.membership.messages import (
    Accusation,
    Accusations,
    DigestMessage,
    Kind,
    Message,
    OutgoingMessage,
    Page,
    Pull,
)
from balancer.fleet.membership.rate_limit import RateLimit
from balancer.fleet.membership.suspicion import Suspicion
from balancer.fleet.membership.swim import Swim
from balancer.fleet.membership.timers import Deadlines
from balancer.fleet.membership.timing import Timing
from balancer.fleet.membership.view import ALL_BUCKETS, BUCKETS
from workbench.explore.members import Net, measure_join_storm
from workbench.explore.virtual_network import GROUP_KEY

SEC = 1_000_000
TraceFunction = Callable[[FrameType, str, Any], Any]
A, S, D = Status.ALIVE, Status.SUSPECT, Status.DEAD
PEER = ("10.0.0.9", 1)


def member(number: int, names: str = "n") -> Claim:
    """Returns a claim that another member is alive."""
    return Claim(f"{names}{number}", ("10.0.0.9", number + 1), A, 1)


def group_of(count: int, name: str = "me", names: str = "n", first: int = 0) -> Swim:
    """Returns a member that knows `count` others and has no updates to disseminate."""
    swim = Swim(name, ("10.0.0.1", 1), 1, [], Random(1), SEC)
    for number in range(first, first + count):
        swim.accept(SEC, member(number, names))
        swim.updates.remove(f"{names}{number}")
    return swim


def pump(swims: list[Swim], sends: list[tuple[Swim, OutgoingMessage]], now: int) -> list[OutgoingMessage]:
    """Delivers messages and their answers until none is left; returns all."""
    by_address = {s.me.address: s for s in swims}
    delivered = []
    while sends:
        source, send = sends.pop(0)
        delivered.append(send)
        if (to := by_address.get(send.to)) is not None:
            sends += [(to, answer) for answer in to.receive(now, source.me.address, send.message)]
    return delivered


# ---- cost --------------------------------------------------------------------------------------------


def probe_of(swim: Swim) -> Probe:
    """Returns a member's present probe, which there must be."""
    assert swim.detector.probe is not None
    return swim.detector.probe


def opcodes(work: Callable[[], object]) -> int:
    """Returns the number of Python instructions that a call executes."""
    count = 0

    def trace(frame: FrameType, event: str, arg: object) -> TraceFunction:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


def tick_into(swim: Swim, now: int, sends: list[OutgoingMessage]) -> None:
    """Adds the messages of a tick to a list."""
    sends += swim.tick(now)


def test_cost_of_a_period_without_failures_does_not_grow_with_the_group() -> None:
    costs = []
    for count in (50, 800):
        swim = group_of(count)
        swim.tick(10 * SEC)  # the first shuffles a round of all
        swim.receive(10 * SEC, ("10.0.0.9", 1), Message(Kind.ACK, "n0", probe_of(swim).seq))
        digest = swim.view.digest()
        total = 0
        for period in range(12, 30):
            now = period * SEC
            sends: list[OutgoingMessage] = []
            total += opcodes(partial(tick_into, swim, now, sends))
            for send in sends:
                if send.message.kind == Kind.PING:
                    ack = Message(Kind.ACK, "n0", send.message.seq)
                    total += opcodes(partial(swim.receive, now, PEER, ack))
                if send.message.kind == Kind.DIGEST:
                    digest_ack = DigestMessage(Kind.DIGEST_ACK, "n0", digest)
                    total += opcodes(partial(swim.receive, now, send.to, digest_ack))
            ping = Message(Kind.PING, "n0", 1, "", (member(0),))
            total += opcodes(partial(swim.receive, now, PEER, ping))
            total += opcodes(swim.due)
        costs.append(total)
    assert costs[1] < 1.2 * costs[0]


def test_cost_of_a_datagram_does_not_grow_with_the_updates_pending() -> None:
    costs = []
    for waiting in (50, 800):
        swim = group_of(0)
        for number in range(waiting):
            swim.accept(SEC, member(number))
        ping = Message(Kind.PING, "n0", 1)
        costs.append(opcodes(partial(swim.receive, SEC, PEER, ping)))
    assert costs[1] < 1.2 * costs[0]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from("abcd"), st.integers(0, 20), st.booleans()), max_size=60))
def test_deadlines_expire_in_order_and_obsolete_ones_never(steps: list[tuple[str, int, bool]]) -> None:
    deadlines = Deadlines()
    expected: dict[str, int] = {}
    for name, at, set_it in steps:
        if set_it:
            deadlines.set(name, at)
            expected[name] = at
        else:
            deadlines.cancel(name)
            expected.pop(name, None)
        assert deadlines.next() == min(expected.values(), default=None)
    due = deadlines.pop_due(10)
    assert due == sorted((n for n, at in expected.items() if at <= 10), key=lambda n: (expected[n], n))
    assert deadlines.next() == min((at for at in expected.values() if at > 10), default=None)


def test_obsolete_deadlines_are_bounded() -> None:
    deadlines = Deadlines()
    deadlines.set("first", 0)
    for at in range(10_000):
        deadlines.set("n", at)
    assert len(deadlines.heap) < 100


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from("abcdef"), st.integers(0, 3)), max_size=60))
def test_updates_are_sent_least_sent_first_and_expire(steps: list[tuple[str, int]]) -> None:
    updates = Dissemination()
    times: dict[str, int] = {}
    for name, count in steps:
        updates.add(name)
        times[name] = 0
        chosen = updates.choose(count)
        assert len(chosen) == min(count, len(times))
        rest = [t for n, t in times.items() if n not in chosen]
        assert max((times[n] for n in chosen), default=0) <= min(rest, default=99)
        for sent in chosen:
            updates.record_sent(sent, 3)
            times[sent] += 1
            if times[sent] == 3:
                del times[sent]
    assert updates.transmissions == times


# ---- joining and comparing ---------------------------------------------------------------------------


def test_traffic_and_duration_of_simultaneous_joins_are_bounded() -> None:
    """The bound: a datagram for each SYNC received, 50 pages a second, and the few of normal operation."""
    found = measure_join_storm(standing=20, joining=250)
    assert found.joined_s <= 15
    assert found.busiest_member <= 250 + 50 + 50


def test_claims_learned_from_pages_are_not_disseminated_for_long() -> None:
    net = Net(100, 0.0, seed=1)
    net.until(net.complete, 30)
    net.run(10)
    assert (
        sum(len(s.updates.transmissions) for s in net.members.values()) < 1000
    )  # of 9,900 that were learned


def test_pages_beyond_the_rate_limit_are_requested_from_another_member() -> None:
    limit = RateLimit(per_second=10, burst=3)
    assert [limit.take(0) for _ in range(5)] == [True, True, True, False, False]
    assert sum(limit.take(at) for at in range(0, 2 * SEC, 1000)) == pytest.approx(20, abs=1)

    swim = group_of(100)
    pull = Pull("n0", 5, ALL_BUCKETS)
    pages = [swim.receive(SEC, ("10.0.0.9", 1), pull) for _ in range(80)]
    assert sum(map(len, pages)) == Timing().page_burst
    assert swim.counts.pages_refused == 80 - Timing().page_burst

    other = group_of(10, name="other", names="x")
    [request, _] = other.receive(SEC, ("10.0.0.8", 8), DigestMessage(Kind.DIGEST, "n0", (1,) * BUCKETS))[::-1]
    assert request.to == ("10.0.0.8", 8) and request.message.kind == Kind.PULL
    other.anti_entropy.next_sync = 99 * SEC
    again = [s for s in other.anti_entropy.tick(2 * SEC) if s.message.kind == Kind.PULL]
    assert len(again) == 1 and again[0].to[0] == "10.0.0.9"  # no page arrived: another member that it knows
    for attempt in range(3, 9):
        other.anti_entropy.tick(attempt * SEC)
    assert other.anti_entropy.transfer is None


def test_a_view_is_transferred_completely_in_datagrams_of_bounded_size() -> None:
    long = "m" * 59
    full = group_of(300, name="f" * 64, names=long)
    empty = Swim("e" * 64, ("10.0.0.2", 2), 1, [full.me.address], Random(2), SEC)
    delivered = pump([full, empty], [(empty, s) for s in empty.tick(SEC)], SEC)
    assert len(empty.alive()) == 301
    codec, other = Codec([GROUP_KEY]), Codec([GROUP_KEY])
    for send in delivered:  # nothing was left out for the datagram's sake
        data = codec.encode(send.message, SEC)
        assert len(data) <= 1200 and other.decode(data, SEC) == send.message
    answers = [s for s in delivered if s.message.kind == Kind.SYNC_ACK]
    assert 0 < len(answers) <= Timing().sync_ack_pages


def test_a_shortened_page_is_not_the_last() -> None:
    codec, other = Codec([GROUP_KEY]), Codec([GROUP_KEY])
    claims = tuple(member(i, names="m" * 60) for i in range(30))
    got = other.decode(codec.encode(Page("n1", 1, True, claims), SEC), SEC)
    assert isinstance(got, Page)
    assert 0 < len(got.claims) < 30 and got.claims == claims[: len(got.claims)] and not got.last


def test_views_that_differ_converge_both_ways_and_only_where_they_differ() -> None:
    one = group_of(200, name="one")
    two = group_of(200, name="two")
    two.me = replace(two.me, address=("10.0.0.2", 2))
    one.accept(SEC, two.me)
    two.accept(SEC, one.me)
    one.accept(SEC, Claim("only one knows", ("h", 1), A, 1))
    two.accept(SEC, Claim("only two knows", ("h", 2), A, 1))
    two.accept(SEC, replace(member(7), incarnation=5))
    one.accept(SEC, replace(member(8), status=D))
    digest = one.anti_entropy.digest(two.me.address, Kind.DIGEST)
    delivered = pump([one, two], [(one, digest)], SEC)
    assert one.view.digest() == two.view.digest() and one.alive() != []
    assert one.status("only two knows") == two.status("only one knows") == A
    assert one.members["n7"].claim.incarnation == 5 and two.status("n8") == D
    pages = [s.message for s in delivered if s.message.kind == Kind.PAGE]
    assert sum(len(page.claims) for page in pages) < 200  # of some 400, were all buckets sent
    again = pump([one, two], [(one, one.anti_entropy.digest(two.me.address, Kind.DIGEST))], SEC)
    assert [s.message.kind for s in again] == [Kind.DIGEST, Kind.DIGEST_ACK]


def test_one_datagram_holds_a_small_view_completely_wherever_it_begins() -> None:
    swim = group_of(15)
    for _ in range(10):
        claims = swim.anti_entropy.sync(("h", 1)).message.claims
        assert len(claims) == 16 and {c.name for c in claims} == {"me", *swim.alive()}


def test_an_answer_through_a_relay_ends_a_comparison() -> None:
    swim = group_of(15)
    sends = swim.anti_entropy.begin(SEC)
    relay = ("10.9.9.9", 9)
    swim.receive(
        SEC, relay, DigestMessage(Kind.DIGEST_ACK, "n1", swim.view.digest(), (), sends[0].message.seq)
    )
    swim.anti_entropy.next_sync = 9 * SEC
    assert swim.anti_entropy.tick(2 * SEC) == []  # no SYNC: it did answer


def test_a_suspicion_or_a_forgotten_member_makes_no_difference_between_views() -> None:
    swim = group_of(20)
    before = swim.view.digest()
    swim.accept(SEC, replace(member(3), status=S))
    assert swim.view.digest() == before
    swim.accept(SEC, replace(member(3), status=D))
    assert swim.view.digest() != before
    dead = swim.view.digest()
    swim.anti_entropy.next_sync = 999 * SEC
    swim.deadlines.set("n3", SEC)
    swim.tick(SEC)
    assert swim.status("n3") is None and swim.view.digest() == dead
    assert (3, "n3") not in swim.view.order and len(swim.view.order) == 19


def test_a_restarted_member_knows_all_and_is_known_in_its_new_incarnation() -> None:
    net = Net(60, 0.0, seed=4)
    net.until(net.complete, 30)
    net.kill(("10.0.0.1", 40))
    net.run(3)
    back = net.add(("10.0.0.1", 40), [("10.0.0.1", 1), ("10.0.0.1", 2)], incarnation=9)
    assert net.until(net.complete, 20) <= 5
    net.run(10)
    assert all(s.members["n40"].claim.incarnation >= 9 for s in net.members.values() if s is not back)
    net.run(40)
    assert net.false_deaths() == 0


# ---- faulty input ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("kind", "body"),
    [
        (Kind.DIGEST, ([1], [])),
        (Kind.DIGEST, ([1 << 32] * BUCKETS, [])),
        (Kind.DIGEST_ACK, "digest"),
        (Kind.PULL, (-1, "")),
        (Kind.PULL, (1 << BUCKETS, "")),
        (Kind.PULL, (1, "n" * 65)),
        (Kind.PAGE, (True, [["n", "h", 0, 0, 1]])),
        (Kind.PAGE, (1, [])),
        (Kind.ACCUSATIONS, [[["n", "h", 1, 0, 1], ["a"]]]),
        (Kind.ACCUSATIONS, [[["n", "h", 1, 1, 1], ["a" * 65]]]),
        (Kind.ACCUSATIONS, [[["n", "h", 1, 1, 1]]]),
    ],
)
def test_an_impossible_payload_is_counted_and_dropped(kind: Kind, body: object) -> None:
    codec = Codec([GROUP_KEY])
    signed = HEADER.pack(1, key_id(GROUP_KEY), SEC) + codec.encoder.encode((int(kind), "n1", 1, body))
    assert codec.decode(signed + authentication_tag(GROUP_KEY, signed), SEC) is None and codec.dropped == {
        "form": 1
    }


def test_unrequested_and_endless_pages_end() -> None:
    swim = group_of(10)
    swim.anti_entropy.next_sync = 99 * SEC
    liar = ("10.0.0.8", 8)
    unrequested = Page("liar", 7, False, (member(1), Claim("x", ("h", 1), A, 1)))
    assert swim.receive(SEC, liar, unrequested) == [] and swim.status("x") == A
    sends = swim.receive(SEC, liar, DigestMessage(Kind.DIGEST_ACK, "liar", (1,) * BUCKETS))
    for asked in range(50):
        if not sends:
            break
        seq = sends[0].message.seq
        sends = swim.receive(SEC, liar, Page("liar", seq, False, (member(1), member(asked % 2))))
    assert asked < 4 and swim.anti_entropy.transfer is None


# ---- suspicion ---------------------------------------------------------------------------------------


def test_a_suspicion_shortens_with_distinct_members_and_not_below_the_minimum() -> None:
    suspicion = Suspicion(since=100, maximum=1000, minimum=350, confirmations=3)
    assert suspicion.deadline() == 1100
    assert suspicion.accuse(["a"]) and suspicion.deadline() == 1100  # the first supports, confirms nothing
    assert not suspicion.accuse(["a", "a"])
    deadlines = []
    for name in "bcd":
        assert suspicion.accuse([name])
        deadlines.append(suspicion.deadline())
    assert deadlines == [775, 584, 450]
    assert not suspicion.accuse(["e", "f"]) and suspicion.deadline() == 450
    alone = Suspicion(since=0, maximum=1000, minimum=350, confirmations=0)
    alone.accuse(["a", "b"])
    assert alone.deadline() == 1000  # nobody could have confirmed it


def test_a_suspicion_in_a_small_group_lasts_some_periods_however_many_confirm() -> None:
    ends = []
    for count in (5, 250):
        swim = group_of(count)
        accusation = Accusation(replace(member(3), status=S), ("n0", "n1", "n2", "n4"))
        swim.receive(SEC, ("h", 1), Accusations("n1", (accusation,)))
        ends.append(swim.deadlines.at["n3"] - SEC)
    assert ends == [6 * SEC, 8 * SEC]  # a quarter of 12 s would be 3


def test_only_suspicions_of_the_present_incarnation_are_confirmed() -> None:
    swim = group_of(30)
    swim.receive(
        SEC, ("h", 1), Message(Kind.ACK, "n1", 0, "", (replace(member(3), status=S, incarnation=2),))
    )
    unconfirmed = swim.suspicions["n3"].deadline()
    past = Accusation(replace(member(3), status=S), ("a", "b", "c", "d"))
    swim.receive(SEC, ("h", 1), Accusations("n1", (past,)))
    assert swim.suspicions["n3"].deadline() == unconfirmed
    present = replace(past, claim=replace(past.claim, incarnation=2))
    swim.receive(SEC, ("h", 1), Accusations("n1", (present,)))
    assert swim.deadlines.at["n3"] < unconfirmed
    swim.accept(SEC, replace(member(3), incarnation=3))
    assert "n3" not in swim.suspicions and "n3" not in swim.deadlines.at
    assert swim.accusations.transmissions == {}


def test_a_death_is_detected_in_half_the_duration_of_an_unconfirmed_suspicion() -> None:
    net = Net(40, 0.0, seed=8)
    net.until(net.complete, 30)
    net.run(5)
    longest = Timing().suspect_factor * next(iter(net.members.values())).scale()
    gone = net.kill(("10.0.0.1", 40))
    assert net.until(lambda: net.knows_gone(gone), 60) < 0.5 * longest


def test_a_probe_is_sent_again_before_its_target_is_suspected() -> None:
    swim = group_of(10)
    swim.anti_entropy.next_sync = 99 * SEC
    swim.detector.next_period = 3 * SEC
    swim.tick(3 * SEC)
    probe = probe_of(swim)
    sent = [Counter(s.message.kind for s in swim.tick(3 * SEC + at)) for at in (300_000, 600_000, 900_000)]
    assert sent == [{Kind.PING: 1, Kind.PING_REQ: 3}, {Kind.PING: 1}, {}]
    assert swim.status(probe.target) == A
    swim.tick(4 * SEC)
    assert swim.status(probe.target) == S


def test_ten_percent_loss_causes_few_suspicions() -> None:
    """The version before (076cb15) counted 318 in this run."""
    net = Net(40, 0.1, seed=1)
    net.until(net.complete, 60)
    net.run(30)
    assert net.total("suspected") < 50


def test_thirty_percent_loss_causes_no_false_death() -> None:
    """The version before (076cb15) held living members dead 3 times in this run."""
    net = Net(80, 0.3, seed=3)
    net.until(net.complete, 60)
    net.run(30)
    assert net.total("died") == 0
