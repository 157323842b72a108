"""Anti-entropy: two members compare digests of their views and fetch the differing buckets page by page.

A bucket is one of the groups into which members are divided by a hash of their names. The digest of a view
has one number for each bucket, and a page is a datagram of claims about members.

A new member sends a SYNC to its seeds, which every version answers. A member of this version answers with a
few pages at once (SYNC_ACK) and its digest; the new member then pulls the remaining pages one by one from any
member that answers. While views agree, a member sends its digest to one random member each `sync_interval`.
If two digests differ, both sides pull the differing buckets, and the interval between comparisons drops to
one period, the time between two probes, then doubles after each comparison. A member that doesn't answer a
digest is sent a SYNC, because it may run an earlier version.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.membership.claims import Address, Claim
from balancer.fleet.membership.counts import Counts
from balancer.fleet.membership.messages import (
    AnyMessage,
    DigestMessage,
    Kind,
    Message,
    OutgoingMessage,
    Page,
    Pull,
    claim_capacity,
)
from balancer.fleet.membership.rate_limit import RateLimit
from balancer.fleet.membership.timing import Timing
from balancer.fleet.membership.view import ALL_BUCKETS, ClaimPage, View, sort_key


@dataclass
class Transfer:
    """A transfer of pages, with one request in flight.

    Attributes:
        source: Address of the member that the current page is requested from.
        buckets: The buckets to fetch, as a bit mask.
        seq: Sequence number of the current request.
        retry_at: Time at which the request is repeated.
        start_after: Name of the member after which the current page starts.
        attempts: Number of requests sent for the current page.
    """

    source: Address
    buckets: int
    seq: int
    retry_at: int
    start_after: str = ""
    attempts: int = 1


@dataclass
class Comparison:
    """A digest that was sent and has not been answered; at `fall_back_at` a SYNC is sent instead."""

    peer: Address
    seq: int
    fall_back_at: int


class AntiEntropy:
    """One instance's exchanges of its view with other members.

    Methods return the messages to send. Times are integer microseconds.

    Args:
        view: The instance's view. The caller applies the claims of received messages to it.
        seeds: Addresses of the configured peers.
        rng: Random number generator for all random decisions.
        now: The current time.
        timing: The protocol's parameters.
        counts: Counters to update.
    """

    def __init__(
        self, view: View, seeds: Sequence[Address], rng: Random, now: int, timing: Timing, counts: Counts
    ) -> None:
        self.view = view
        self.seeds = [s for s in seeds if s != view.local_claim.address]
        self.rng = rng
        self.timing = timing
        self.counts = counts
        self.next_sync_at = now
        # The time until the next comparison of views; it doubles after each one, up to `sync_interval`.
        self.comparison_interval = timing.period
        self.transfer: Transfer | None = None
        self.comparison: Comparison | None = None
        self.page_rate_limit = RateLimit(timing.pages_per_second, timing.page_burst)
        self.seq = rng.getrandbits(24)

    # ---- time ----------------------------------------------------------------------------------------

    def due(self) -> int:
        """Return the time at which `tick` is to be called next."""
        due = self.next_sync_at
        if self.transfer is not None:
            due = min(due, self.transfer.retry_at)
        if self.comparison is not None:
            due = min(due, self.comparison.fall_back_at)
        return due

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Repeat page requests, send a SYNC after an unanswered digest, and compare views, as far as due."""
        outgoing: list[OutgoingMessage] = []
        if self.transfer is not None and now >= self.transfer.retry_at:
            outgoing += self.retry_page(now, self.transfer)
        if self.comparison is not None and now >= self.comparison.fall_back_at:
            outgoing.append(self.sync_message(self.comparison.peer))
            self.comparison = None
        if now >= self.next_sync_at:
            outgoing += self.begin_comparison(now)
        return outgoing

    def begin_comparison(self, now: int) -> list[OutgoingMessage]:
        """Begin a comparison with a random member, and send a SYNC to a seed that isn't known to be alive.

        The SYNC reunites the group after a partition.
        """
        # An isolated instance keeps the interval of one period: when all instances start at once, the seeds'
        # ports may not be open yet, and the group would otherwise form only after a longer interval.
        is_isolated = bool(self.seeds) and not self.view.living_names
        self.next_sync_at = now + self.add_jitter(self.comparison_interval)
        if not is_isolated:
            self.comparison_interval = min(2 * self.comparison_interval, self.timing.sync_interval)
        unknown_seeds = [s for s in self.seeds if s not in self.view.names_by_address]
        if len(unknown_seeds) > 1 and self.view.living_names:
            unknown_seeds = [self.rng.choice(unknown_seeds)]
        outgoing = [self.sync_message(seed) for seed in unknown_seeds]
        if self.view.living_names:
            self.seq += 1
            peer = self.random_address()
            self.comparison = Comparison(peer, self.seq, now + self.timing.ack_timeout)
            outgoing.append(self.digest_message(peer, Kind.DIGEST, self.seq))
        return outgoing

    def add_jitter(self, duration: int) -> int:
        """Return a duration that is changed at random by up to a quarter in either direction."""
        return int(duration * (0.75 + 0.5 * self.rng.random()))

    def random_address(self) -> Address:
        """Return the address of a random living member."""
        return self.view.members[self.rng.choice(self.view.living_names)].claim.address

    # ---- messages ------------------------------------------------------------------------------------

    def receive(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """Return the answer to another member's digest, page request, page or SYNC.

        The caller has already applied the claims in the message to the view.
        """
        if isinstance(message, DigestMessage):
            return self.receive_digest(now, source, message)
        if isinstance(message, Pull):
            return self.answer_pull(now, source, message)
        if isinstance(message, Page):
            return self.receive_page(now, message)
        if message.kind == Kind.SYNC:
            return self.answer_sync(now, source)
        return []

    def sync_message(self, to: Address) -> OutgoingMessage:
        """Return a SYNC with this instance's claim and as many others as fit, starting at a random member."""
        return self.outgoing_message(
            to, Message(Kind.SYNC, self.view.local_claim.name, 0, "", self.random_page_claims())
        )

    def random_page_claims(self) -> tuple[Claim, ...]:
        """Return this instance's claim and a page of the others, starting at a random member."""
        local_claim = self.view.local_claim
        start_after = self.rng.choice(self.view.sorted_keys)[1] if self.view.sorted_keys else ""
        return (local_claim, *self.view.wrapping_page(start_after, self.page_capacity()))

    def page_capacity(self) -> int:
        """Return the number of bytes available in a page for claims about other members."""
        local_claim = self.view.local_claim
        return claim_capacity(local_claim.name, local_claim.name + local_claim.address[0])

    def claim_page(self, buckets: int, start_after: str) -> ClaimPage:
        """Return this instance's claim about itself, followed by a page of claims about others."""
        others = self.view.page(buckets, start_after, self.page_capacity())
        return ClaimPage([self.view.local_claim, *others.claims], others.is_last)

    def answer_sync(self, now: int, source: Address) -> list[OutgoingMessage]:
        """Return a few pages in the encoding that every version reads, and the digest, for pulling the rest.

        Above the rate limit of pages, the answer is a single page: an earlier version has no other source of
        claims, and the requester gets the rest through its next comparison.
        """
        if not self.page_rate_limit.take(now):
            return [self.sync_ack_message(source, self.random_page_claims())]
        outgoing: list[OutgoingMessage] = []
        start_after = self.rng.choice(self.view.sorted_keys)[1] if self.view.sorted_keys else ""
        remaining = len(self.view.sorted_keys)
        while True:
            page = self.claim_page(ALL_BUCKETS, start_after)
            outgoing.append(self.sync_ack_message(source, tuple(page.claims)))
            remaining -= len(page.claims) - 1
            start_after = "" if page.is_last else page.claims[-1].name
            if (
                remaining <= 0
                or len(outgoing) == self.timing.sync_ack_pages
                or not self.page_rate_limit.take(now)
            ):
                break
        outgoing.append(self.digest_message(source, Kind.DIGEST_ACK))
        return outgoing

    def sync_ack_message(self, to: Address, claims: tuple[Claim, ...]) -> OutgoingMessage:
        """Return a SYNC_ACK that contains the claims."""
        return self.outgoing_message(to, Message(Kind.SYNC_ACK, self.view.local_claim.name, 0, "", claims))

    def digest_message(self, to: Address, kind: Kind, seq: int = 0) -> OutgoingMessage:
        """Return a DIGEST or DIGEST_ACK with the digest of this instance's view."""
        local_claim = self.view.local_claim
        return self.outgoing_message(
            to, DigestMessage(kind, local_claim.name, self.view.digest(), (local_claim,), seq)
        )

    def receive_digest(self, now: int, source: Address, message: DigestMessage) -> list[OutgoingMessage]:
        """Compare a received digest with this view's, and begin a transfer of the buckets that differ.

        A DIGEST is answered with this view's digest; a DIGEST_ACK is not answered.
        """
        outgoing: list[OutgoingMessage] = []
        if message.kind == Kind.DIGEST:
            outgoing.append(self.digest_message(source, Kind.DIGEST_ACK, message.seq))
        elif self.comparison is not None and self.comparison.seq == message.seq:
            self.comparison = None
        buckets = self.view.differing_buckets(message.digest)
        if not buckets:
            return outgoing
        if self.comparison_interval == self.timing.sync_interval:
            self.comparison_interval = self.timing.period
            self.next_sync_at = min(self.next_sync_at, now + self.add_jitter(self.comparison_interval))
        if self.transfer is None:
            self.transfer = Transfer(source, buckets, 0, 0)
            outgoing.append(self.request_page(now, self.transfer))
        return outgoing

    # ---- pages ---------------------------------------------------------------------------------------

    def request_page(self, now: int, transfer: Transfer) -> OutgoingMessage:
        """Return a request for the current page of a transfer."""
        self.seq += 1
        transfer.seq = self.seq
        transfer.retry_at = now + self.add_jitter(self.timing.ack_timeout)
        request = Pull(self.view.local_claim.name, transfer.seq, transfer.buckets, transfer.start_after)
        return self.outgoing_message(transfer.source, request)

    def answer_pull(self, now: int, source: Address, message: Pull) -> list[OutgoingMessage]:
        """Return the page of claims that a PULL requests.

        Above the rate limit of pages, the request is ignored, and the requester then asks another member.
        """
        if not self.page_rate_limit.take(now):
            self.counts.pages_refused += 1
            return []
        page = self.claim_page(message.buckets, message.start_after)
        reply = Page(self.view.local_claim.name, message.seq, page.is_last, tuple(page.claims))
        return [self.outgoing_message(source, reply)]

    def receive_page(self, now: int, message: Page) -> list[OutgoingMessage]:
        """Request the page that follows the received one, or end the transfer after the last page."""
        transfer = self.transfer
        if transfer is None or message.seq != transfer.seq:
            return []
        start_after = message.claims[-1].name if len(message.claims) > 1 else transfer.start_after
        # Names must ascend from page to page: a faulty member whose pages lead back to the start would
        # otherwise keep the transfer running for ever.
        if message.is_last or sort_key(start_after) <= sort_key(transfer.start_after):
            self.transfer = None
            return []
        transfer.start_after = start_after
        transfer.attempts = 1
        return [self.request_page(now, transfer)]

    def retry_page(self, now: int, transfer: Transfer) -> list[OutgoingMessage]:
        """Request a missing page from another member; after `page_attempts` requests abandon the transfer."""
        if transfer.attempts >= self.timing.page_attempts:
            self.transfer = None
            return []
        transfer.attempts += 1
        if self.view.living_names:
            transfer.source = self.random_address()
        return [self.request_page(now, transfer)]

    def outgoing_message(self, to: Address, message: AnyMessage) -> OutgoingMessage:
        """Return a message with its receiver's address, and count it as sent."""
        self.counts.sent += 1
        return AddressedMessage(to, message)
