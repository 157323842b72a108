"""Leases: voters, clients, votes on a disk, seeds on the virtual network, programs broken on purpose."""

from itertools import combinations
from random import Random

import pytest

from balancer.fleet.leases import vote_store
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.events import LeaseEvent, LeaseEventKind
from balancer.fleet.leases.messages import DenialReason, LeaseKind, LeaseMessage, LeaseWire
from balancer.fleet.leases.request import RequestStage
from balancer.fleet.leases.settings import (
    CLOCK_DRIFT_DIVISOR,
    Electorate,
    LeaseSettings,
    granted_duration,
    held_duration,
)
from balancer.fleet.leases.voter import Voter
from balancer.fleet.membership.codec import Codec
from workbench.explore.faults import Fault
from workbench.explore.lease_model import Bounds, Model
from workbench.explore.lease_network import LEASE_NAME, LeaseNetwork
from workbench.explore.leases import MUTANTS, explore, play, shrink

SEC = 1_000_000
SETTINGS = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC)
THREE = Electorate(("a", "b", "c"))
START = 100 * SEC
ABLE = START + granted_duration(SETTINGS.max_lease)  # when a voter that started then votes


def request(token, sender="x", incarnation=1, lease="d", seq=1, duration=SETTINGS.lease, of=THREE):
    return LeaseMessage(LeaseKind.REQUEST, sender, incarnation, lease, seq, token, of.digest, duration)


def release(token, sender="x", incarnation=1, lease="d"):
    return LeaseMessage(LeaseKind.RELEASE, sender, incarnation, lease, 1, token)


def voter(settings=SETTINGS, **more):
    return Voter("a", 1, [THREE], settings, START, **more)


def said(out):
    """Kind, reason and number of the one answer."""
    ((_, m),) = out
    return m.kind.name, m.reason.name, m.token


G, D = "GRANT", "DENY"


@pytest.mark.parametrize(
    "steps",  # microseconds after it may vote, what comes, what it says
    [
        [(-1, request(5), (D, "ABSTAINS", 0)), (0, request(5), (G, "NONE", 5))],
        [(0, request(5), (G, "NONE", 5)), (1, request(9, "y"), (D, "HELD", 5))],
        [
            (0, request(5), (G, "NONE", 5)),
            (granted_duration(SETTINGS.lease) - 1, request(9, "y"), (D, "HELD", 5)),
        ],
        [
            (0, request(5), (G, "NONE", 5)),
            (granted_duration(SETTINGS.lease), request(9, "y"), (G, "NONE", 9)),
        ],
        [(0, request(5), (G, "NONE", 5)), (granted_duration(SETTINGS.lease), request(5, "y"), (D, "OLD", 5))],
        [
            (0, request(5), (G, "NONE", 5)),
            (SEC, request(5), (G, "NONE", 5)),
            (2 * SEC, request(4), (D, "OLD", 5)),
        ],
        [(0, request(5), (G, "NONE", 5)), (1, request(6, incarnation=2), (D, "HELD", 5))],
        [(0, request(5), (G, "NONE", 5)), (1, release(5, "y"), None), (2, request(6, "y"), (D, "HELD", 5))],
        [(0, request(5), (G, "NONE", 5)), (1, release(5), None), (2, request(6, "y"), (G, "NONE", 6))],
        [(0, request(5), (G, "NONE", 5)), (1, release(5), None), (2, request(5), (D, "OLD", 5))],
        [(0, request(5), (G, "NONE", 5)), (1, release(4), None), (2, request(6, "y"), (D, "HELD", 5))],
        [(0, release(5), None), (1, request(5), (D, "OLD", 0)), (2, request(5, "y"), (G, "NONE", 5))],
        [(0, release(5), None), (1, request(6), (G, "NONE", 6)), (2, request(6), (G, "NONE", 6))],
        [(0, release(5), None), (1, request(5, incarnation=2), (G, "NONE", 5))],
        [(0, request(5), (G, "NONE", 5)), (1, release(7, "y"), None), (2, request(5), (G, "NONE", 5))]
        + [(granted_duration(SETTINGS.lease) + 2, request(7, "y"), (D, "OLD", 5))],
        [(0, request(5, of=Electorate(("a", "b", "x"))), (D, "ELECTORATE", 0))],
        [(0, request(5, duration=SETTINGS.max_lease + 1), (D, "LENGTH", 0))],
        [(0, request(5), (G, "NONE", 5)), (1, request(3, "y", lease="e"), (G, "NONE", 3))],
    ],
)
def test_what_a_voter_grants_and_denies(steps):
    v = voter()
    for at, message, answer in steps:
        out = v.received(ABLE + at, message)
        assert (said(out) if answer else out) == (answer or [])


def test_a_bounded_number_of_releases_that_overtook_their_requests_is_remembered():
    """The oldest give way: a request that is that late is granted, as to one that holds nothing any more."""
    v = voter()
    for i in range(SETTINGS.max_waiters + 1):
        assert v.received(ABLE, release(5, f"y{i}")) == []
    assert said(v.received(ABLE, request(5, "y1"))) == (D, "OLD", 0)
    assert said(v.received(ABLE, request(5, "y0"))) == (G, "NONE", 5)
    assert len(v.leases["d"].early_releases) == 0


def test_a_grant_outlasts_the_held_lease_though_both_clocks_drift():
    slow, fast = 1 - 1 / CLOCK_DRIFT_DIVISOR, 1 + 1 / CLOCK_DRIFT_DIVISOR
    for lease in (200_000, 3 * SEC, 600 * SEC):
        believed = held_duration(lease)
        assert believed / slow < granted_duration(lease) / fast
        assert believed / slow < granted_duration(lease) / slow and believed > 0.97 * lease


def test_denied_clients_are_notified_when_the_lease_becomes_available():
    v = voter()
    v.received(ABLE, request(5))
    for i in range(SETTINGS.max_waiters + 3):
        v.received(ABLE + 1, request(6, f"y{i}", seq=40 + i))
    free = v.received(ABLE + 2, release(5))
    assert [(to, m.kind.name, m.seq) for to, m in free] == [
        (f"y{i}", "AVAILABLE", 40 + i) for i in range(SETTINGS.max_waiters)
    ]


def test_a_voter_keeps_a_bounded_number_of_leases_and_an_evicted_one_leaves_its_token():
    """Failure prevented: made-up names of leases fill the memory, or a forgotten lease's token falls back."""
    v = voter(LeaseSettings(lease=3 * SEC, max_lease=10 * SEC, max_leases=3))
    for i in range(3):
        v.received(ABLE, request(50 + i, lease=f"d{i}"))
    assert said(v.received(ABLE + 1, request(99, lease="e")))[:2] == (D, "FULL")
    late = ABLE + granted_duration(SETTINGS.lease)
    assert said(v.received(late, request(50, "y", lease="e"))) == (D, "OLD", 50)
    assert said(v.received(late, request(51, "y", lease="e"))) == (G, "NONE", 51)
    assert len(v.leases) == 3


def test_a_restarted_voter_recalls_the_tokens_that_the_others_know():
    v, b, c = voter(), Voter("b", 1, [THREE], SETTINGS, 0), Voter("c", 1, [THREE], SETTINGS, 0)
    b.received(START, request(70))
    asked = v.tick(START)
    assert [(to, m.kind.name) for to, m in asked] == [("b", "RECALL"), ("c", "RECALL")]
    assert v.tick(START + 1) == [] and not v.has_recovered()
    for other in (b, c):
        for _, m in other.received(START + 1, asked[0][1]):
            v.received(START + 2, m)
    assert v.has_recovered() and v.deadline() is None
    assert said(v.received(ABLE, request(70, "y"))) == (D, "OLD", 70)
    assert said(v.received(ABLE, request(71, "y"))) == (G, "NONE", 71)


# ---- clients -----------------------------------------------------------------------------------------------


def event(kind, token):
    return LeaseEvent(LeaseEventKind(kind), "d", token)


class Table:
    """A client among voters, with no network between: `silent` voters hear nothing."""

    def __init__(self, lists=(THREE,), voters=None, silent=()):
        self.now = ABLE
        self.events = []
        self.client = LeaseClient("x", 1, list(lists), SETTINGS, Random(1), lambda: 1000, self.events.append)
        names = sorted({v for e in lists for v in e.voters})
        self.voters = voters or {n: Voter(n, 1, list(lists), SETTINGS, 0) for n in names}
        self.silent = set(silent)
        self.asked = []

    def carry(self, out, late=0):
        while out:
            to, m = out.pop(0)
            self.asked.append(to)
            if to in self.silent:
                continue
            for _, answer in self.voters[to].received(self.now, m):
                if answer.kind != LeaseKind.AVAILABLE:
                    out += self.client.received(self.now + late, answer)

    def acquire(self):
        self.client.acquire(self.now, "d")
        self.carry(self.client.tick(self.now))
        return self

    def run(self, seconds):
        end = self.now + int(seconds * SEC)
        while (due := self.client.deadline()) is not None and due <= end:
            self.now = max(self.now, due)
            self.carry(self.client.tick(self.now))
        self.now = end
        return self

    def token(self):
        return self.client.held_token(self.now, "d")


def test_a_client_acquires_renews_and_releases():
    t = Table().acquire()
    assert t.token() == 1000 and len(t.asked) == 3 and t.events == [event("held", 1000)]
    assert t.run(60).token() == 1000 and t.events == [event("held", 1000)]
    t.carry(t.client.release(t.now, "d"))
    assert t.token() is None and t.events[-1] == event("released", 1000)
    assert t.acquire().token() == 1001


@pytest.mark.parametrize(("silent", "held"), [("a", True), ("b", True), ("ab", False), ("abc", False)])
def test_a_majority_of_the_list_is_needed_whoever_is_alive(silent, held):
    t = Table(silent=silent).acquire().run(20)
    assert (t.token() is not None) is held
    assert t.client.counts["failed"] > 0 or held


def test_a_lease_expires_without_a_majority_s_renewal():
    t = Table().acquire()
    t.silent = {"a", "b"}
    begun = t.now
    t.run(held_duration(SETTINGS.lease) / SEC - 0.001)
    assert t.token() == 1000
    t.now = begun + held_duration(SETTINGS.lease)
    assert t.token() is None  # by a look at the clock alone, before anything has ticked
    t.run(0.5)
    assert t.events[-1] == event("lost", 1000) and t.client.requests["d"].stage != RequestStage.HELD


def test_a_grant_later_than_the_lease_acquires_nothing():
    t = Table()
    t.client.acquire(t.now, "d")
    t.carry(t.client.tick(t.now), late=SETTINGS.lease)
    assert t.client.held_token(t.now + SETTINGS.lease, "d") is None and t.events == []


def test_two_lists_must_both_agree_while_the_voters_change():
    """Voters a, b, c become a, b, d: nobody holds what a majority of one list alone has granted."""
    new = Electorate(("a", "b", "d"))
    old = {n: Voter(n, 1, [THREE], SETTINGS, 0) for n in "abc"}
    both = {"a": Voter("a", 2, [THREE, new], SETTINGS, 0), "d": Voter("d", 1, [new], SETTINGS, 0)}
    for silent, held in (("", True), ("c", True), ("cd", True), ("bc", False), ("bd", False)):
        t = Table([THREE, new], old | both, silent).acquire().run(3)
        assert (t.token() is not None) is held, silent
        t.silent = set()
        t.carry(t.client.release_all(t.now))


def test_lists_that_may_stand_side_by_side_always_share_a_voter():
    """All nodes go from the old list to both, then from both to the new: at no time are there two majorities
    without a voter in common. From the old straight to the new there are."""
    new = Electorate(("a", "b", "d"))
    subsets = [set(c) for n in range(5) for c in combinations("abcd", n)]

    def disjoint(one, other):
        enough = [[s for s in subsets if all(e.has_majority(s) for e in lists)] for lists in (one, other)]
        return any(not x & y for x in enough[0] for y in enough[1])

    both = (THREE, new)
    assert not any(disjoint(*pair) for pair in (((THREE,), both), (both, both), (both, (new,))))
    assert disjoint((THREE,), (new,))


def test_two_hundred_leases_at_once():
    t = Table()
    for i in range(200):
        t.client.acquire(t.now, f"d{i}")
    t.carry(t.client.tick(t.now))
    t.run(30)
    assert all(t.client.held_token(t.now, f"d{i}") for i in range(200))
    first_voters = {request.first_voter % 3 for request in t.client.requests.values()}
    assert len(first_voters) == 3  # the first request is spread


def test_a_client_without_voters_is_refused():
    with pytest.raises(ValueError, match="no voters"):
        LeaseClient("x", 1, [], SETTINGS, Random(1), lambda: 0)


def test_lease_messages_on_the_wire():
    codec, plain = Codec([b"k" * 20], [LeaseWire()]), Codec([b"k" * 20])
    message = LeaseMessage(LeaseKind.DENY, "x", 7, "nightly", 3, 9, 12, 500, DenialReason.HELD)
    data = codec.encode(message, START)
    assert codec.decode(data, START) == message
    assert plain.decode(data, START) is None and plain.dropped == {"kind": 1}
    for bad in (LeaseMessage(LeaseKind.REQUEST, "x", -1), LeaseMessage(LeaseKind.REQUEST, "x", 1, "d" * 65)):
        assert codec.decode(codec.encode(bad, START), START) is None
    assert codec.dropped == {"form": 2}


# ---- votes on a disk -------------------------------------------------------------------------------------


def test_a_voter_with_a_disk_grants_nothing_below_its_last_life(tmp_path):
    path = tmp_path / "a.votes"
    saved = []

    def raise_ceiling(number):
        saved.append(number)
        return vote_store.VoteStore(path, "a", print).raise_ceiling(number)

    v = voter(floor=vote_store.load(path, "a"), raise_ceiling=raise_ceiling)
    for i in range(100):
        v.received(ABLE + i, request(500 + i))
    assert saved == [500]  # ahead, so that not every grant waits for the disk
    again = voter(floor=vote_store.load(path, "a"), raise_ceiling=raise_ceiling)
    assert said(again.received(ABLE, request(600, "y"))) == (D, "OLD", 500 + vote_store.CEILING_MARGIN)
    assert said(again.received(ABLE, request(501 + vote_store.CEILING_MARGIN, "y")))[0] == G


@pytest.mark.parametrize(
    ("change", "part"),
    [
        (lambda d: d[:-9], "torn or changed"),
        (lambda d: d.replace(b"500", b"900"), "torn or changed"),
        (lambda d: b"", "torn or changed"),
        (lambda d: b"\x00" * 80, "torn or changed"),
        (lambda d: b"a poem\n" + vote_store.checksum(b"a poem"), "not a file of votes"),
    ],
)
def test_torn_and_foreign_files_are_named_and_not_trusted(tmp_path, change, part):
    path = tmp_path / "a.votes"
    vote_store.save(path, "a", 500)
    assert vote_store.load(path, "a") == 500
    with pytest.raises(vote_store.VoteStoreError, match="the votes of a, not of b"):
        vote_store.load(path, "b")
    path.write_bytes(change(path.read_bytes()))
    with pytest.raises(vote_store.VoteStoreError, match=part):
        vote_store.load(path, "a")


# ---- the virtual network --------------------------------------------------------------------------------


def test_seeds_with_all_faults_violate_nothing_and_repeat():
    sums, broken = explore(226, 375, "none", 1)  # among them one in which an act comes too late
    assert not broken, broken[0]
    assert sums["holders"] > 250 and sums["late_acts"] > 0
    assert play(7) == play(7) and play(7) != play(8)


@pytest.mark.parametrize("clients", [2, 8])
def test_clients_that_request_at_one_instant_soon_have_a_holder(clients):
    for seed in range(20):
        net = LeaseNetwork(seed, faults=[], voters=3, clients=clients)
        net.clock.run(SEC)
        holders = [p for p in net.processes.values() if p.client.held_token(p.now(), LEASE_NAME)]
        assert len(holders) == 1 and net.trace.holders == 1


ALL = ("v0", "v1", "v2", "a0", "a1")


def test_when_all_forget_at_once_the_token_rises_as_far_as_wall_clocks_do():
    """Voters alone: whoever asked before remembers. All processes: Unix time carries the rise, if it does not
    step back; then the next holder's acts are refused until its tokens are up again."""
    back = Fault("step", 9 * SEC, SEC, ALL, amount=-3600.0)
    for who, steps, refused in ((ALL[:3], [back], False), (ALL, [], False), (ALL, [back], True)):
        net = LeaseNetwork(3, faults=[*steps, Fault("kill", 10 * SEC, SEC // 10, who)], voters=3, clients=2)
        trace = net.play()
        assert not trace.violations and trace.holders >= 2
        assert net.forgot() and (trace.late_acts > 50) is refused


def test_when_voters_come_back_one_after_another_the_token_rises_whatever_wall_clocks_do():
    back = Fault("step", 5 * SEC, SEC, ("a0", "a1"), amount=-3600.0)
    one_by_one = [Fault("kill", (6 + 4 * i) * SEC, SEC // 10, (f"v{i}",)) for i in range(3)]
    for seed in range(5):
        net = LeaseNetwork(seed, faults=[back, *one_by_one], voters=3, clients=2)
        trace = net.play()
        assert not trace.violations and trace.late_acts == 0 and not net.memory_lost


@pytest.mark.parametrize(
    ("mutant", "seed"),  # the first seed that shows it
    [
        ("from-answer", 190),
        ("no-abstaining", 3),
        ("majority-of-living", 3),
        ("token-not-raised", 1),
        ("no-look-at-clock", 9),
    ],
)
def test_a_program_broken_on_purpose_is_caught_and_shrunk(mutant, seed):
    assert set(MUTANTS) == {"none", "from-answer", "no-abstaining", "majority-of-living"} | {
        "token-not-raised",
        "no-look-at-clock",
    }
    trace = shrink(seed, mutant)
    assert trace.violations and len(trace.faults) <= 3
    assert not play(seed, "none", trace.faults).violations


@pytest.mark.parametrize(
    ("mutant", "bounds", "broken"),
    [
        ("none", (8, 0, 1, 1), ""),
        ("none", (5, 1, 0, 1), ""),
        ("from-answer", (5, 1, 3, 0), "both clients hold the lease"),
        ("no-look-at-clock", (5, 0, 3, 0), "both clients hold the lease"),
        ("no-abstaining", (5, 1, 1, 1), "both clients hold the lease"),
        ("token-not-raised", (4, 0, 0, 1), "token 1 after 1"),
    ],
)
def test_a_small_model_is_explored_to_its_end(mutant, bounds, broken):
    """Steps, upsets, sleeps, restarts; the last mutant, a majority of the living, takes 20 s by hand."""
    findings = Model(mutant, Bounds(*bounds)).explore(400_000)
    assert findings.violation == broken
    assert findings.handovers > 0 and (broken or len(findings.layers) == bounds[0])
