"""A lease client: acquires leases by a majority's grant, renews them, releases them.

It asks one voter first, the same for all clients of a lease while that one answers, so that two that request
at the same instant meet there and not half-way; safety rests on the majority alone. A lease counts from the
request and not from the answer, since a grant is at least as young as its request is old. Sources as in
`voter.py`.

Times are microseconds of this process's monotonic clock; `unix_clock` gives milliseconds of Unix time,
advanced from the process's start by the monotonic clock, for tokens that rise even where all voters have
forgotten.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from random import Random

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.leases.events import LeaseEvent, LeaseEventKind, LeaseListener, ignore_event
from balancer.fleet.leases.messages import DenialReason, LeaseKind, LeaseMessage, OutgoingLeaseMessage
from balancer.fleet.leases.request import LeaseRequest, RequestStage
from balancer.fleet.leases.settings import Electorate, LeaseSettings, held_duration

SEQ_BITS = 24  # of the random number that a process's rounds are counted from
MAX_BACKOFF_DOUBLINGS = 8
RENEWALS_IN_A_LEASE = 3  # a lease is renewed at a third of its duration...
RENEWAL_RETRIES_IN_A_LEASE = 6  # ...and a renewal without an answer is repeated after a sixth


class LeaseClient:
    """All leases that one process holds or requests.

    Args:
        name: Of this process.
        incarnation: Of this process.
        electorates: The voters; while they are being changed, the list before and the one to come. Each
            list must grant a lease by a majority.
        settings: Times and bounds.
        rng: For jitter and backoff.
        unix_clock: Milliseconds of Unix time, see above.
        notify: Hears of each lease that is acquired, released or lost.

    Raises:
        ValueError: There are no voters.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        electorates: Sequence[Electorate],
        settings: LeaseSettings,
        rng: Random,
        unix_clock: Callable[[], int],
        notify: LeaseListener = ignore_event,
    ) -> None:
        if not electorates:
            raise ValueError("no voters: nobody could grant a lease")
        self.name = name
        self.incarnation = incarnation
        self.electorates = list(electorates)
        self.voters = sorted({v for e in electorates for v in e.voters})  # in one order everywhere
        self.settings = settings
        self.rng = rng
        self.unix_clock = unix_clock
        self.notify = notify
        self.requests: dict[str, LeaseRequest] = {}
        self.seq = rng.getrandbits(SEQ_BITS)
        self.past_tokens: dict[str, int] = {}  # highest tokens of leases that are not requested any more
        self.counts: Counter[str] = Counter()

    # ---- what the process asks for ----------------------------------------------------------------------

    def acquire(self, now: int, lease: str, duration: int = 0) -> None:
        """Requests a lease from now on, and holds it as long as it can.

        Args:
            now: The time.
            lease: Its name.
            duration: Another than the usual one, at most what voters grant; a longer lease is renewed less
                often.
        """
        if lease in self.requests:
            return
        self.requests[lease] = LeaseRequest(
            lease,
            duration or self.settings.lease,
            due_at=now,
            highest_token=self.past_tokens.pop(lease, 0),
            first_voter=first_voter_index(lease),
        )

    def release(self, now: int, lease: str) -> list[OutgoingLeaseMessage]:
        """Releases a lease, or stops requesting it. It is not held from here on."""
        request = self.abandon(lease)
        if request is None:
            return []
        if request.stage == RequestStage.HELD:
            self.notify(LeaseEvent(LeaseEventKind.RELEASED, lease, request.token))
        return self.release_messages(request) if request.stage != RequestStage.WAITING else []

    def abandon(self, lease: str) -> LeaseRequest | None:
        """Stops requesting and renewing a lease, and leaves what was granted to expire.

        Returns:
            The request as it stood, if there was one.
        """
        request = self.requests.pop(lease, None)
        if request is not None:
            self.past_tokens[lease] = max(request.highest_token, request.token)
        return request

    def release_all(self, now: int) -> list[OutgoingLeaseMessage]:
        """Releases all leases, before a planned end."""
        return [outgoing for lease in list(self.requests) for outgoing in self.release(now, lease)]

    def held_token(self, now: int, lease: str) -> int | None:
        """The token of a lease that this process holds now, or None.

        To be asked for right before each action, and sent with it: the process may pause between the two, and
        whoever receives the action refuses an old token.
        """
        request = self.requests.get(lease)
        if request is None or request.stage != RequestStage.HELD or now >= request.expires_at:
            return None
        return request.token

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self) -> int | None:
        """When `tick` is due, or None if nothing is."""
        return min((request.next_action_at for request in self.requests.values()), default=None)

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Does what is due."""
        outgoing: list[OutgoingLeaseMessage] = []
        for request in list(self.requests.values()):
            if request.stage == RequestStage.HELD and now >= request.expires_at:
                self.expire(now, request)
            if now >= request.due_at:
                outgoing += self.advance(now, request)
        return outgoing

    def advance(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """The next step of a request whose time has come."""
        if request.stage == RequestStage.WAITING:
            return self.request_from_first(now, request)
        if request.stage == RequestStage.FIRST_VOTER:  # it did not answer
            return self.request_from_next(now, request)
        if request.stage == RequestStage.ALL_VOTERS:
            return self.fail_round(now, request)
        return self.renew(now, request)

    def expire(self, now: int, request: LeaseRequest) -> None:
        """A lease has run out without a majority's renewal."""
        self.notify(LeaseEvent(LeaseEventKind.LOST, request.lease, request.token))
        request.stage = RequestStage.WAITING
        request.observe_token(request.token)
        request.due_at = now + int(self.settings.jitter * self.rng.random())

    # ---- rounds -----------------------------------------------------------------------------------------

    def begin_round(self, now: int, request: LeaseRequest) -> None:
        """Starts a round under a sequence number of its own."""
        self.seq += 1
        request.begin_round(now, self.seq)

    def next_token(self, request: LeaseRequest) -> int:
        """Above all that is known, and above what may have been forgotten."""
        return max(request.highest_token + 1, self.unix_clock())

    def request_from_first(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """Begins a round with one voter."""
        self.begin_round(now, request)
        request.token = self.next_token(request)
        request.stage = RequestStage.FIRST_VOTER
        request.due_at = now + self.settings.answer_timeout
        return self.request_messages(request, [self.voters[request.first_voter % len(self.voters)]])

    def request_from_next(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """Turns to the next voter, as the one before is silent or cannot vote, until all have been asked."""
        request.first_voter += 1
        tried_all = (request.first_voter - first_voter_index(request.lease)) % len(self.voters) == 0
        if tried_all:
            return self.fail_round(now, request)
        return self.request_from_first(now, request)

    def request_from_all(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """Goes on with the other voters, once the first has granted."""
        request.stage = RequestStage.ALL_VOTERS
        request.due_at = now + self.settings.answer_timeout
        return self.request_messages(request, [v for v in self.voters if v not in request.granted_by])

    def renew(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """Requests the same token in a new round; one that fails is repeated until the lease expires."""
        self.begin_round(now, request)
        request.due_at = now + request.duration // RENEWAL_RETRIES_IN_A_LEASE
        return self.request_messages(request, self.voters)

    def request_messages(self, request: LeaseRequest, voters: Iterable[str]) -> list[OutgoingLeaseMessage]:
        """A request to each voter, for each of the electorates that it votes in."""
        return [
            AddressedMessage(voter, self.request_message(request, electorate))
            for voter in voters
            for electorate in self.electorates
            if voter in electorate.voters
        ]

    def request_message(self, request: LeaseRequest, electorate: Electorate) -> LeaseMessage:
        """The request to voters of one electorate."""
        return LeaseMessage(
            LeaseKind.REQUEST,
            self.name,
            self.incarnation,
            request.lease,
            request.seq,
            request.token,
            electorate.digest,
            request.duration,
        )

    def fail_round(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """A round has failed: what was granted is released, and the next round waits for the backoff."""
        outgoing = self.release_messages(request)
        request.stage = RequestStage.WAITING
        request.first_voter = first_voter_index(request.lease)
        request.observe_token(request.token)
        doublings = min(request.failures, MAX_BACKOFF_DOUBLINGS)
        backoff = min(self.settings.backoff << doublings, self.settings.max_backoff)
        request.failures += 1
        request.due_at = now + int(backoff * (0.5 + self.rng.random()))
        self.counts["failed"] += 1
        return outgoing

    def release_messages(self, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """A release to each voter."""
        message = LeaseMessage(
            LeaseKind.RELEASE,
            self.name,
            self.incarnation,
            request.lease,
            request.seq,
            request.token,
        )
        return [AddressedMessage(voter, message) for voter in self.voters]

    # ---- answers ----------------------------------------------------------------------------------------

    def received(self, now: int, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Handles a voter's message."""
        request = self.requests.get(message.lease)
        if request is None:
            return []
        if message.kind == LeaseKind.AVAILABLE:
            return self.on_available(now, request, message)
        if message.seq != request.seq or request.stage == RequestStage.WAITING:
            return []
        if message.kind == LeaseKind.GRANT and message.token == request.token:
            return self.on_grant(now, request, message.sender)
        if message.kind == LeaseKind.DENY:
            return self.on_denial(now, request, message)
        return []

    def on_available(
        self, now: int, request: LeaseRequest, message: LeaseMessage
    ) -> list[OutgoingLeaseMessage]:
        """A lease that was denied before has been released."""
        request.observe_token(message.token)
        if request.stage != RequestStage.WAITING:
            return []
        request.due_at = now
        return self.tick(now)

    def on_grant(self, now: int, request: LeaseRequest, voter: str) -> list[OutgoingLeaseMessage]:
        """A voter has granted the current round."""
        request.granted_by.add(voter)
        if request.stage == RequestStage.FIRST_VOTER:
            outgoing = self.request_from_all(now, request)
            if outgoing:
                return outgoing
        self.conclude_if_granted(now, request)
        return []

    def is_granted(self, request: LeaseRequest) -> bool:
        """Whether a majority of each complete list has granted the round."""
        return all(electorate.has_majority(request.granted_by) for electorate in self.electorates)

    def counted_from(self, request: LeaseRequest, now: int) -> int:
        """When the lease begins for its holder: each grant is at least as young as this."""
        return request.requested_at

    def conclude_if_granted(self, now: int, request: LeaseRequest) -> None:
        """Holds the lease, or prolongs it, if a majority has granted it in time."""
        expires_at = self.counted_from(request, now) + held_duration(request.duration)
        if not self.is_granted(request) or expires_at <= now:
            return
        was_held = request.stage == RequestStage.HELD
        request.stage = RequestStage.HELD
        request.expires_at = max(expires_at, request.expires_at if was_held else 0)
        request.due_at = max(now, request.requested_at + request.duration // RENEWALS_IN_A_LEASE)
        request.failures = 0
        if not was_held:
            self.notify(LeaseEvent(LeaseEventKind.HELD, request.lease, request.token))

    def on_denial(self, now: int, request: LeaseRequest, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """A voter has denied the current round."""
        request.observe_token(message.token)
        if message.reason != DenialReason.ELECTORATE or message.sender not in request.granted_by:
            request.denied_by.add(message.sender)
        self.counts[f"denied_{message.reason.name.lower()}"] += 1
        if request.stage == RequestStage.FIRST_VOTER:
            return self.on_first_denial(now, request, message)
        if request.stage == RequestStage.ALL_VOTERS and not self.can_be_granted(request):
            return self.fail_round(now, request)
        return []

    def on_first_denial(
        self, now: int, request: LeaseRequest, message: LeaseMessage
    ) -> list[OutgoingLeaseMessage]:
        """The voter that was asked first has denied: turns to the next one, or waits."""
        if message.reason in (DenialReason.ABSTAINS, DenialReason.ELECTORATE):
            return self.request_from_next(now, request)
        request.stage = RequestStage.WAITING
        wait = self.settings.backoff
        if message.reason == DenialReason.HELD:
            wait = min(message.duration, self.settings.max_lease)
            request.held_elsewhere_until = now + wait
        request.due_at = now + wait + int(self.settings.jitter * self.rng.random())
        return []

    def can_be_granted(self, request: LeaseRequest) -> bool:
        """Whether the voters that have not denied could still be a majority."""
        denied_by = request.denied_by - request.granted_by
        return all(e.has_majority(set(e.voters) - denied_by) for e in self.electorates)


def first_voter_index(lease: str) -> int:
    """Where among the voters a lease is requested first: spread over them, the same at every client."""
    return hashlib.blake2b(lease.encode(errors="surrogatepass"), digest_size=2).digest()[0]
