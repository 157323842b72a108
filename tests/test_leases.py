"""A lease client among voters: acquire, renew, release; changes of the voters; messages on the wire."""

from collections.abc import Iterable, Sequence
from itertools import combinations
from random import Random
from typing import Self

import pytest
from lease_support import (
    ABLE,
    SEC,
    SETTINGS,
    START,
    THREE,
)

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.events import LeaseEvent, LeaseEventKind
from balancer.fleet.leases.messages import (
    DenialReason,
    LeaseKind,
    LeaseMessage,
    LeaseWire,
    OutgoingLeaseMessage,
)
from balancer.fleet.leases.request import RequestStage
from balancer.fleet.leases.settings import (
    Electorate,
    held_duration,
)
from balancer.fleet.leases.voter import Voter
from balancer.fleet.membership.codec import Codec


def event(kind: str, token: int) -> LeaseEvent:
    return LeaseEvent(LeaseEventKind(kind), "d", token)


class Table:
    """A client among voters, with no network between: `silent` voters hear nothing."""

    def __init__(
        self,
        lists: Sequence[Electorate] = (THREE,),
        voters: dict[str, Voter] | None = None,
        silent: Iterable[str] = (),
    ) -> None:
        self.now = ABLE
        self.events: list[LeaseEvent] = []
        self.client = LeaseClient("x", 1, list(lists), SETTINGS, Random(1), lambda: 1000, self.events.append)
        names = sorted({v for e in lists for v in e.voters})
        self.voters = voters or {n: Voter(n, 1, list(lists), SETTINGS, 0) for n in names}
        self.silent = set(silent)
        self.asked: list[str] = []

    def carry(self, out: list[OutgoingLeaseMessage], late: int = 0) -> None:
        while out:
            to, m = out.pop(0)
            self.asked.append(to)
            if to in self.silent:
                continue
            for _, answer in self.voters[to].received(self.now, m):
                if answer.kind != LeaseKind.AVAILABLE:
                    out += self.client.received(self.now + late, answer)

    def acquire(self) -> Self:
        self.client.acquire(self.now, "d")
        self.carry(self.client.tick(self.now))
        return self

    def run(self, seconds: float) -> Self:
        end = self.now + int(seconds * SEC)
        while (due := self.client.deadline()) is not None and due <= end:
            self.now = max(self.now, due)
            self.carry(self.client.tick(self.now))
        self.now = end
        return self

    def token(self) -> int | None:
        return self.client.held_token(self.now, "d")


def test_a_client_acquires_renews_and_releases() -> None:
    t = Table().acquire()
    assert t.token() == 1000 and len(t.asked) == 3 and t.events == [event("held", 1000)]
    assert t.run(60).token() == 1000 and t.events == [event("held", 1000)]
    t.carry(t.client.release(t.now, "d"))
    assert t.token() is None and t.events[-1] == event("released", 1000)
    assert t.acquire().token() == 1001


@pytest.mark.parametrize(("silent", "held"), [("a", True), ("b", True), ("ab", False), ("abc", False)])
def test_a_majority_of_the_list_is_needed_whoever_is_alive(silent: Iterable[str], held: bool) -> None:
    t = Table(silent=silent).acquire().run(20)
    assert (t.token() is not None) is held
    assert t.client.counts["failed"] > 0 or held


def test_a_lease_expires_without_a_majority_s_renewal() -> None:
    t = Table().acquire()
    t.silent = {"a", "b"}
    begun = t.now
    t.run(held_duration(SETTINGS.lease) / SEC - 0.001)
    assert t.token() == 1000
    t.now = begun + held_duration(SETTINGS.lease)
    assert t.token() is None  # by a look at the clock alone, before anything has ticked
    t.run(0.5)
    assert t.events[-1] == event("lost", 1000) and t.client.requests["d"].stage != RequestStage.HELD


def test_a_grant_later_than_the_lease_acquires_nothing() -> None:
    t = Table()
    t.client.acquire(t.now, "d")
    t.carry(t.client.tick(t.now), late=SETTINGS.lease)
    assert t.client.held_token(t.now + SETTINGS.lease, "d") is None and t.events == []


def test_two_lists_must_both_agree_while_the_voters_change() -> None:
    """Voters a, b, c become a, b, d: nobody holds what a majority of one list alone has granted."""
    new = Electorate(("a", "b", "d"))
    old = {n: Voter(n, 1, [THREE], SETTINGS, 0) for n in "abc"}
    both = {"a": Voter("a", 2, [THREE, new], SETTINGS, 0), "d": Voter("d", 1, [new], SETTINGS, 0)}
    for silent, held in (("", True), ("c", True), ("cd", True), ("bc", False), ("bd", False)):
        t = Table([THREE, new], old | both, silent).acquire().run(3)
        assert (t.token() is not None) is held, silent
        t.silent = set()
        t.carry(t.client.release_all(t.now))


def test_lists_that_may_stand_side_by_side_always_share_a_voter() -> None:
    """All nodes go from the old list to both, then from both to the new: at no time are there two majorities
    without a voter in common. From the old straight to the new there are."""
    new = Electorate(("a", "b", "d"))
    subsets = [set(c) for n in range(5) for c in combinations("abcd", n)]

    def disjoint(one: Sequence[Electorate], other: Sequence[Electorate]) -> bool:
        enough = [[s for s in subsets if all(e.has_majority(s) for e in lists)] for lists in (one, other)]
        return any(not x & y for x in enough[0] for y in enough[1])

    both = (THREE, new)
    assert not any(disjoint(*pair) for pair in (((THREE,), both), (both, both), (both, (new,))))
    assert disjoint((THREE,), (new,))


def test_two_hundred_leases_at_once() -> None:
    t = Table()
    for i in range(200):
        t.client.acquire(t.now, f"d{i}")
    t.carry(t.client.tick(t.now))
    t.run(30)
    assert all(t.client.held_token(t.now, f"d{i}") for i in range(200))
    first_voters = {request.first_voter % 3 for request in t.client.requests.values()}
    assert len(first_voters) == 3  # the first request is spread


def test_a_client_without_voters_is_refused() -> None:
    with pytest.raises(ValueError, match="no voters"):
        LeaseClient("x", 1, [], SETTINGS, Random(1), lambda: 0)


def test_lease_messages_on_the_wire() -> None:
    codec, plain = Codec([b"k" * 20], [LeaseWire()]), Codec([b"k" * 20])
    message = LeaseMessage(LeaseKind.DENY, "x", 7, "nightly", 3, 9, 12, 500, DenialReason.HELD)
    data = codec.encode(message, START)
    assert codec.decode(data, START) == message
    assert plain.decode(data, START) is None and plain.dropped == {"kind": 1}
    for bad in (LeaseMessage(LeaseKind.REQUEST, "x", -1), LeaseMessage(LeaseKind.REQUEST, "x", 1, "d" * 65)):
        assert codec.decode(codec.encode(bad, START), START) is None
    assert codec.dropped == {"form": 2}
