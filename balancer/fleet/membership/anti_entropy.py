"""Anti-entropy: two members compare digests of their views, and fetch what differs page by page.

A new member sends SYNC to its seeds, which every version answers. A member of this version answers with a few
pages at once (SYNC_ACK) and its digest; the new member then pulls the remaining pages one by one from any
member that answers. While views agree, a member sends its digest to one other each `sync_interval`. If two
digests differ, both sides pull the buckets concerned, and the next comparisons follow sooner: after a period,
then after twice the time each. A member that doesn't answer a digest is sent a SYNC: it may be of an earlier
version.
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
        source: The member that the present page is requested from.
        buckets: The buckets to fetch, as a bit mask.
        seq: Number of the present request.
        retry_at: When the request is repeated.
        after: The member that the present page follows.
        attempts: Requests for the present page.
    """

    source: Address
    buckets: int
    seq: int
    retry_at: int
    after: str = ""
    attempts: int = 1


@dataclass
class Comparison:
    """A digest that was sent and not answered yet; at `fall_back_at` it is replaced by a SYNC."""

    to: Address
    seq: int
    fall_back_at: int


class AntiEntropy:
    """One instance's exchanges of its view with others; calls return the messages to send.

    Args:
        view: The instance's view; claims received are applied to it by the caller.
        seeds: Addresses of the configured peers.
        rng: The source of all random decisions.
        now: The present time.
        timing: The protocol's parameters.
        counts: Counters to update.
    """

    def __init__(
        self, view: View, seeds: Sequence[Address], rng: Random, now: int, timing: Timing, counts: Counts
    ) -> None:
        self.view = view
        self.seeds = [s for s in seeds if s != view.me.address]
        self.rng = rng
        self.timing = timing
        self.counts = counts
        self.next_sync = now
        self.backoff = timing.period  # between comparisons; doubles up to `sync_interval`
        self.transfer: Transfer | None = None
        self.comparison: Comparison | None = None
        self.limit = RateLimit(timing.pages_per_second, timing.page_burst)
        self.seq = rng.getrandbits(24)

    # ---- time ----------------------------------------------------------------------------------------

    def due(self) -> int:
        """Returns when `tick` is to be called next."""
        due = self.next_sync
        if self.transfer is not None:
            due = min(due, self.transfer.retry_at)
        if self.comparison is not None:
            due = min(due, self.comparison.fall_back_at)
        return due

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Performs what is due."""
        out: list[OutgoingMessage] = []
        if self.transfer is not None and now >= self.transfer.retry_at:
            out += self.retry(now, self.transfer)
        if self.comparison is not None and now >= self.comparison.fall_back_at:
            out.append(self.sync(self.comparison.to))
            self.comparison = None
        if now >= self.next_sync:
            out += self.begin(now)
        return out

    def begin(self, now: int) -> list[OutgoingMessage]:
        """Begins a comparison with one member, and sends SYNC to a seed that isn't known alive.

        The latter reunites the group after a partition.
        """
        # Failure prevented: all start at once, the seed's port is not open yet, and the group only forms at
        # the next comparison.
        alone = bool(self.seeds) and not self.view.living
        self.next_sync = now + self.jittered(self.backoff)
        if not alone:
            self.backoff = min(2 * self.backoff, self.timing.sync_interval)
        unknown = [s for s in self.seeds if s not in self.view.by_address]
        if len(unknown) > 1 and self.view.living:
            unknown = [self.rng.choice(unknown)]
        out = [self.sync(to) for to in unknown]
        if self.view.living:
            self.seq += 1
            to = self.random_address()
            self.comparison = Comparison(to, self.seq, now + self.timing.ack_timeout)
            out.append(self.digest(to, Kind.DIGEST, self.seq))
        return out

    def jittered(self, duration: int) -> int:
        """Returns a duration varied at random by up to a quarter."""
        return int(duration * (0.75 + 0.5 * self.rng.random()))

    def random_address(self) -> Address:
        """Returns the address of a random living member."""
        return self.view.members[self.rng.choice(self.view.living)].claim.address

    # ---- messages ------------------------------------------------------------------------------------

    def receive(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """Answers a message of an exchange, whose claims have been processed already."""
        if isinstance(message, DigestMessage):
            return self.compare(now, source, message)
        if isinstance(message, Pull):
            return self.serve(now, source, message)
        if isinstance(message, Page):
            return self.proceed(now, message)
        if message.kind == Kind.SYNC:
            return self.answer_sync(now, source)
        return []

    def sync(self, to: Address) -> OutgoingMessage:
        """Returns a SYNC with this instance and as many others as fit, from a random one on."""
        return self.send(to, Message(Kind.SYNC, self.view.me.name, 0, "", self.some_claims()))

    def some_claims(self) -> tuple[Claim, ...]:
        """Returns this instance's claim and a page of the others, from a random one on."""
        me = self.view.me
        after = self.rng.choice(self.view.order)[1] if self.view.order else ""
        return (me, *self.view.wrapping_page(after, self.page_capacity()))

    def page_capacity(self) -> int:
        """Returns the bytes that a page has for claims about others."""
        me = self.view.me
        return claim_capacity(me.name, me.name + me.address[0])

    def page(self, buckets: int, after: str) -> ClaimPage:
        """Returns this instance's claim about itself, then a page of the others."""
        others = self.view.page(buckets, after, self.page_capacity())
        return ClaimPage([self.view.me, *others.claims], others.is_last)

    def answer_sync(self, now: int, source: Address) -> list[OutgoingMessage]:
        """Returns a few pages in a form that every version reads, and the digest, to pull the rest by.

        Beyond the rate limit it returns one page alone, since an earlier version has no other answer; the
        requester's next comparison yields the rest.
        """
        if not self.limit.take(now):
            return [self.sync_ack(source, self.some_claims())]
        out: list[OutgoingMessage] = []
        after = self.rng.choice(self.view.order)[1] if self.view.order else ""
        remaining = len(self.view.order)
        while True:
            page = self.page(ALL_BUCKETS, after)
            out.append(self.sync_ack(source, tuple(page.claims)))
            remaining -= len(page.claims) - 1
            after = "" if page.is_last else page.claims[-1].name
            if remaining <= 0 or len(out) == self.timing.sync_ack_pages or not self.limit.take(now):
                break
        out.append(self.digest(source, Kind.DIGEST_ACK))
        return out

    def sync_ack(self, to: Address, claims: tuple[Claim, ...]) -> OutgoingMessage:
        """Returns a SYNC_ACK with these claims."""
        return self.send(to, Message(Kind.SYNC_ACK, self.view.me.name, 0, "", claims))

    def digest(self, to: Address, kind: Kind, seq: int = 0) -> OutgoingMessage:
        """Returns a DIGEST or DIGEST_ACK."""
        me = self.view.me
        return self.send(to, DigestMessage(kind, me.name, self.view.digest(), (me,), seq))

    def compare(self, now: int, source: Address, message: DigestMessage) -> list[OutgoingMessage]:
        """Answers a digest with this view's own, and begins a transfer of the buckets that differ."""
        out: list[OutgoingMessage] = []
        if message.kind == Kind.DIGEST:
            out.append(self.digest(source, Kind.DIGEST_ACK, message.seq))
        elif self.comparison is not None and self.comparison.seq == message.seq:
            self.comparison = None
        buckets = self.view.differing(message.digest)
        if not buckets:
            return out
        if self.backoff == self.timing.sync_interval:
            self.backoff = self.timing.period
            self.next_sync = min(self.next_sync, now + self.jittered(self.backoff))
        if self.transfer is None:
            self.transfer = Transfer(source, buckets, 0, 0)
            out.append(self.pull(now, self.transfer))
        return out

    # ---- pages ---------------------------------------------------------------------------------------

    def pull(self, now: int, transfer: Transfer) -> OutgoingMessage:
        """Returns a request for the transfer's present page."""
        self.seq += 1
        transfer.seq = self.seq
        transfer.retry_at = now + self.jittered(self.timing.ack_timeout)
        pull = Pull(self.view.me.name, transfer.seq, transfer.buckets, transfer.after)
        return self.send(transfer.source, pull)

    def serve(self, now: int, source: Address, message: Pull) -> list[OutgoingMessage]:
        """Returns the page requested; beyond the rate limit nothing, so that the requester asks another."""
        if not self.limit.take(now):
            self.counts.pages_refused += 1
            return []
        page = self.page(message.buckets, message.after)
        reply = Page(self.view.me.name, message.seq, page.is_last, tuple(page.claims))
        return [self.send(source, reply)]

    def proceed(self, now: int, message: Page) -> list[OutgoingMessage]:
        """Requests the page that follows this one, or ends the transfer."""
        transfer = self.transfer
        if transfer is None or message.seq != transfer.seq:
            return []
        after = message.claims[-1].name if len(message.claims) > 1 else transfer.after
        # Failure prevented: a faulty member's pages lead back to the start, and the transfer never ends.
        if message.last or sort_key(after) <= sort_key(transfer.after):
            self.transfer = None
            return []
        transfer.after = after
        transfer.attempts = 1
        return [self.pull(now, transfer)]

    def retry(self, now: int, transfer: Transfer) -> list[OutgoingMessage]:
        """Requests a missing page from another member, or abandons the transfer after several attempts."""
        if transfer.attempts >= self.timing.page_attempts:
            self.transfer = None
            return []
        transfer.attempts += 1
        if self.view.living:
            transfer.source = self.random_address()
        return [self.pull(now, transfer)]

    def send(self, to: Address, message: AnyMessage) -> OutgoingMessage:
        """Counts a message and returns it with its receiver."""
        self.counts.sent += 1
        return AddressedMessage(to, message)
