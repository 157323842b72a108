"""A lease client and its voters: acquire, renew, release, changes of the electorate, and message encoding."""

from collections.abc import Iterable, Sequence
from itertools import combinations
from random import Random
from typing import Self

import pytest
from lease_support import (
    ABSTENTION_END,
    SEC,
    SETTINGS,
    START,
    THREE_VOTERS,
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


class ClientWithVoters:
    """A lease client and its voters, without a network; `silent` voters receive no messages."""

    def __init__(
        self,
        lists: Sequence[Electorate] = (THREE_VOTERS,),
        voters: dict[str, Voter] | None = None,
        silent: Iterable[str] = (),
    ) -> None:
        self.now = ABSTENTION_END
        self.events: list[LeaseEvent] = []
        self.client = LeaseClient("x", 1, list(lists), SETTINGS, Random(1), lambda: 1000, self.events.append)
        names = sorted({v for e in lists for v in e.voters})
        self.voters = voters or {n: Voter(n, 1, list(lists), SETTINGS, 0) for n in names}
        self.silent = set(silent)
        self.recipients: list[str] = []

    def deliver(self, outgoing: list[OutgoingLeaseMessage], answer_delay: int = 0) -> None:
        while outgoing:
            to, m = outgoing.pop(0)
            self.recipients.append(to)
            if to in self.silent:
                continue
            for _, answer in self.voters[to].received(self.now, m):
                if answer.kind != LeaseKind.AVAILABLE:
                    outgoing += self.client.received(self.now + answer_delay, answer)

    def acquire(self) -> Self:
        self.client.acquire(self.now, "d")
        self.deliver(self.client.tick(self.now))
        return self

    def run(self, seconds: float) -> Self:
        end = self.now + int(seconds * SEC)
        while (due := self.client.deadline()) is not None and due <= end:
            self.now = max(self.now, due)
            self.deliver(self.client.tick(self.now))
        self.now = end
        return self

    def token(self) -> int | None:
        return self.client.held_token(self.now, "d")


def test_client_acquires_renews_and_releases_lease() -> None:
    t = ClientWithVoters().acquire()
    assert t.token() == 1000 and len(t.recipients) == 3 and t.events == [event("held", 1000)]
    assert t.run(60).token() == 1000 and t.events == [event("held", 1000)]
    t.deliver(t.client.release(t.now, "d"))
    assert t.token() is None and t.events[-1] == event("released", 1000)
    assert t.acquire().token() == 1001


@pytest.mark.parametrize(("silent", "held"), [("a", True), ("b", True), ("ab", False), ("abc", False)])
def test_lease_needs_majority_of_all_configured_voters(silent: Iterable[str], held: bool) -> None:
    t = ClientWithVoters(silent=silent).acquire().run(20)
    assert (t.token() is not None) is held
    assert t.client.counts["failed"] > 0 or held


def test_lease_expires_without_renewal_by_majority() -> None:
    t = ClientWithVoters().acquire()
    t.silent = {"a", "b"}
    acquired_at = t.now
    t.run(held_duration(SETTINGS.lease) / SEC - 0.001)
    assert t.token() == 1000
    t.now = acquired_at + held_duration(SETTINGS.lease)
    assert t.token() is None  # The token expires by the clock, without a tick.
    t.run(0.5)
    assert t.events[-1] == event("lost", 1000) and t.client.requests["d"].stage != RequestStage.HELD


def test_grant_received_after_lease_duration_is_ignored() -> None:
    t = ClientWithVoters()
    t.client.acquire(t.now, "d")
    t.deliver(t.client.tick(t.now), answer_delay=SETTINGS.lease)
    assert t.client.held_token(t.now + SETTINGS.lease, "d") is None and t.events == []


def test_both_electorates_must_grant_during_voter_change() -> None:
    """While voters a, b, c are replaced by a, b, d, grants by a majority of only one list are not enough."""
    new = Electorate(("a", "b", "d"))
    old = {n: Voter(n, 1, [THREE_VOTERS], SETTINGS, 0) for n in "abc"}
    both = {"a": Voter("a", 2, [THREE_VOTERS, new], SETTINGS, 0), "d": Voter("d", 1, [new], SETTINGS, 0)}
    for silent, held in (("", True), ("c", True), ("cd", True), ("bc", False), ("bd", False)):
        t = ClientWithVoters([THREE_VOTERS, new], old | both, silent).acquire().run(3)
        assert (t.token() is not None) is held, silent
        t.silent = set()
        t.deliver(t.client.release_all(t.now))


def test_majorities_of_concurrent_electorates_share_a_voter() -> None:
    """Nodes change from the old electorate to both, and then to the new one.

    Majorities of two successive configurations always share a voter, so that two processes cannot hold a
    lease at once. A direct change from the old to the new electorate would allow disjoint majorities.
    """
    new = Electorate(("a", "b", "d"))
    subsets = [set(c) for n in range(5) for c in combinations("abcd", n)]

    def disjoint(one: Sequence[Electorate], other: Sequence[Electorate]) -> bool:
        majorities = [[s for s in subsets if all(e.has_majority(s) for e in lists)] for lists in (one, other)]
        return any(not x & y for x in majorities[0] for y in majorities[1])

    both = (THREE_VOTERS, new)
    assert not any(disjoint(*pair) for pair in (((THREE_VOTERS,), both), (both, both), (both, (new,))))
    assert disjoint((THREE_VOTERS,), (new,))


def test_client_holds_two_hundred_leases_at_once() -> None:
    t = ClientWithVoters()
    for i in range(200):
        t.client.acquire(t.now, f"d{i}")
    t.deliver(t.client.tick(t.now))
    t.run(30)
    assert all(t.client.held_token(t.now, f"d{i}") for i in range(200))
    first_voters = {request.first_voter % 3 for request in t.client.requests.values()}
    assert len(first_voters) == 3  # The first requests are spread over the voters.


def test_client_without_voters_raises_value_error() -> None:
    with pytest.raises(ValueError, match="no voters"):
        LeaseClient("x", 1, [], SETTINGS, Random(1), lambda: 0)


def test_lease_messages_round_trip_and_range_checks() -> None:
    codec, plain = Codec([b"k" * 20], [LeaseWire()]), Codec([b"k" * 20])
    message = LeaseMessage(LeaseKind.DENY, "x", 7, "nightly", 3, 9, 12, 500, DenialReason.HELD)
    data = codec.encode(message, START)
    assert codec.decode(data, START) == message
    assert plain.decode(data, START) is None and plain.dropped == {"kind": 1}
    for bad in (LeaseMessage(LeaseKind.REQUEST, "x", -1), LeaseMessage(LeaseKind.REQUEST, "x", 1, "d" * 65)):
        assert codec.decode(codec.encode(bad, START), START) is None
    assert codec.dropped == {"form": 2}
