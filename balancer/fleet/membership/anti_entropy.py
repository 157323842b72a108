"""Anti-entropy: two members compare digests of their views, and fetch what differs page by page.

A new member asks its seeds with SYNC, which every version answers. A member of this version answers with a
few pages at once (SYNC_ACK) and its digest; the new member then pulls the rest, one page after the other,
from whoever answers. In calm a member sends its digest to one other each `sync_interval`, and equal digests end
it. Where they differ both sides pull the buckets that do, and the next comparisons follow sooner: after a
period, then after twice as long each time. Whoever doesn't answer a digest is asked again with SYNC: it may
be of an earlier version.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

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
from balancer.fleet.membership.view import ALL_BUCKETS, View, sort_key


@dataclass
class Transfer:
    """Pages being fetched: one request is out at a time."""

    source: Address
    buckets: int
    seq: int
    retry_at: int
    after: str = ""
    attempts: int = 1  # at the present page


@dataclass
class Comparison:
    """A digest that was sent and not answered yet."""

    to: Address
    seq: int
    fall_back_at: int


class AntiEntropy:
    """One instance's exchanges of its view with others. Calls return datagrams to send."""

    def __init__(
        self, view: View, seeds: Sequence[Address], rng: Random, now: int, timing: Timing, counts: Counts
    ) -> None:
        self.view = view
        self.seeds = [s for s in seeds if s != view.me.address]
        self.rng = rng
        self.timing = timing
        self.counts = counts
        self.next_sync = now
        self.wait = timing.period  # until the next comparison; doubles up to `sync_interval`
        self.transfer: Transfer | None = None
        self.comparison: Comparison | None = None
        self.limit = RateLimit(timing.pages_per_second, timing.page_burst)
        self.seq = rng.getrandbits(24)

    # ---- time ----------------------------------------------------------------------------------------

    def due(self) -> int:
        """When something is to be done next."""
        due = self.next_sync
        if self.transfer is not None:
            due = min(due, self.transfer.retry_at)
        if self.comparison is not None:
            due = min(due, self.comparison.fall_back_at)
        return due

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Does what is due."""
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
        """Compares views with one member, and asks a seed that isn't known alive: a cut may have healed."""
        # Failure prevented: all start at once, the seed's port is not open yet, and the group finds itself
        # only at the next exchange.
        alone = bool(self.seeds) and not self.view.living
        self.next_sync = now + self.jittered(self.wait)
        if not alone:
            self.wait = min(2 * self.wait, self.timing.sync_interval)
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
        return int(duration * (0.75 + 0.5 * self.rng.random()))

    def random_address(self) -> Address:
        return self.view.members[self.rng.choice(self.view.living)].claim.address

    # ---- messages ------------------------------------------------------------------------------------

    def receive(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """Answers a message of an exchange, whose claims have been taken in already."""
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
        """This instance and as many others as go into a datagram, from a random place on."""
        return self.send(to, Message(Kind.SYNC, self.view.me.name, 0, "", self.some_claims()))

    def some_claims(self) -> tuple[Claim, ...]:
        me = self.view.me
        after = self.rng.choice(self.view.order)[1] if self.view.order else ""
        return (me, *self.view.wrapping_page(after, self.room()))

    def room(self) -> int:
        """Bytes of a page for claims about others."""
        me = self.view.me
        return claim_capacity(me.name, me.name + me.address[0])

    def page(self, buckets: int, after: str) -> tuple[tuple[Claim, ...], bool]:
        """This instance's claim about itself, then a page of the others."""
        claims, last = self.view.page(buckets, after, self.room())
        return (self.view.me, *claims), last

    def answer_sync(self, now: int, source: Address) -> list[OutgoingMessage]:
        """A few pages in a form that every version reads, and the digest, by which this one pulls the rest.

        Beyond the limit one page alone goes out, as an earlier version has no other answer; the asker's next
        comparison brings the rest.
        """
        if not self.limit.take(now):
            return [self.sync_ack(source, self.some_claims())]
        out: list[OutgoingMessage] = []
        after = self.rng.choice(self.view.order)[1] if self.view.order else ""
        remaining = len(self.view.order)
        while True:
            claims, last = self.page(ALL_BUCKETS, after)
            out.append(self.sync_ack(source, claims))
            remaining -= len(claims) - 1
            after = "" if last else claims[-1].name
            if remaining <= 0 or len(out) == self.timing.sync_ack_pages or not self.limit.take(now):
                break
        out.append(self.digest(source, Kind.DIGEST_ACK))
        return out

    def sync_ack(self, to: Address, claims: tuple[Claim, ...]) -> OutgoingMessage:
        return self.send(to, Message(Kind.SYNC_ACK, self.view.me.name, 0, "", claims))

    def digest(self, to: Address, kind: Kind, seq: int = 0) -> OutgoingMessage:
        me = self.view.me
        return self.send(to, DigestMessage(kind, me.name, self.view.digest(), (me,), seq))

    def compare(self, now: int, source: Address, message: DigestMessage) -> list[OutgoingMessage]:
        """Answers a digest with this view's own, and pulls what differs."""
        out: list[OutgoingMessage] = []
        if message.kind == Kind.DIGEST:
            out.append(self.digest(source, Kind.DIGEST_ACK, message.seq))
        elif self.comparison is not None and self.comparison.seq == message.seq:
            self.comparison = None
        buckets = self.view.differing(message.digest)
        if not buckets:
            return out
        if self.wait == self.timing.sync_interval:
            self.wait = self.timing.period
            self.next_sync = min(self.next_sync, now + self.jittered(self.wait))
        if self.transfer is None:
            self.transfer = Transfer(source, buckets, 0, 0)
            out.append(self.pull(now, self.transfer))
        return out

    # ---- pages ---------------------------------------------------------------------------------------

    def pull(self, now: int, transfer: Transfer) -> OutgoingMessage:
        self.seq += 1
        transfer.seq = self.seq
        transfer.retry_at = now + self.jittered(self.timing.ack_timeout)
        pull = Pull(self.view.me.name, transfer.seq, transfer.buckets, transfer.after)
        return self.send(transfer.source, pull)

    def serve(self, now: int, source: Address, message: Pull) -> list[OutgoingMessage]:
        """A page, within the limit; beyond it the asker tries another member."""
        if not self.limit.take(now):
            self.counts.pages_refused += 1
            return []
        claims, last = self.page(message.buckets, message.after)
        return [self.send(source, Page(self.view.me.name, message.seq, last, claims))]

    def proceed(self, now: int, message: Page) -> list[OutgoingMessage]:
        """Asks for the next page."""
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
        """No page came: the same of another member, a few times."""
        if transfer.attempts >= self.timing.page_attempts:
            self.transfer = None
            return []
        transfer.attempts += 1
        if self.view.living:
            transfer.source = self.random_address()
        return [self.pull(now, transfer)]

    def send(self, to: Address, message: AnyMessage) -> OutgoingMessage:
        self.counts.sent += 1
        return OutgoingMessage(to, message)
