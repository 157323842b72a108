"""A lease client, which acquires leases by grants of a majority of voters, renews them and releases them.

A client requests a lease from one voter first, and from the others once that voter has granted it. As long
as the first voter answers, it is the same for all clients of a lease, so that of two simultaneous requests
one is denied at once, rather than each being granted by some of the voters. That a lease has at most one
holder depends on the majority alone, not on this order. The duration of a lease is counted from the client's
request, not from the answer: a voter counts from the arrival of the request, so its grant ends later.
`voter.py` names the sources.

All times are microseconds of this process's monotonic clock. `unix_clock` returns milliseconds of Unix time,
read at the process's start and advanced by the monotonic clock. The token of a lease, a number that is higher
for each new holder, is taken from `unix_clock` so that tokens rise even after all voters have lost their
state.
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

# Size of the random number from which the sequence numbers of rounds start; in a round, a client requests a
# lease from the voters.
INITIAL_SEQ_BITS = 24
MAX_BACKOFF_DOUBLINGS = 8
RENEWALS_PER_LEASE = 3  # A lease is renewed after a third of its duration.
RENEWAL_RETRIES_PER_LEASE = 6  # An unanswered renewal is repeated after a sixth of the duration.


class LeaseClient:
    """The leases that one process holds or requests.

    Args:
        name: Name of this process.
        incarnation: Incarnation of this process.
        electorates: Lists of voters; while the voters are being changed, the old and the new list. A
            majority of each list must grant a lease.
        settings: Times and limits of leases.
        rng: Random numbers for jitter and backoff.
        unix_clock: Returns milliseconds of Unix time that the monotonic clock advances; tokens are taken from
            it.
        notify: Called for each lease that is acquired, released or lost.

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
            raise ValueError("no voters are configured to grant leases")
        self.name = name
        self.incarnation = incarnation
        self.electorates = list(electorates)
        # The voters are sorted so that one index selects the same voter on all clients.
        self.voters = sorted({v for e in electorates for v in e.voters})
        self.settings = settings
        self.rng = rng
        self.unix_clock = unix_clock
        self.notify = notify
        self.requests: dict[str, LeaseRequest] = {}
        self.seq = rng.getrandbits(INITIAL_SEQ_BITS)
        self.past_tokens: dict[str, int] = {}  # Highest tokens of leases that are no longer requested.
        self.counts: Counter[str] = Counter()

    # ---- Acquire and release ----------------------------------------------------------------------------

    def acquire(self, now: int, lease: str, duration: int = 0) -> None:
        """Start to request a lease; once acquired, it is renewed until it is released or lost.

        A lease that is lost is requested again.

        Args:
            now: The current time.
            lease: Name of the lease.
            duration: Duration to request, at most the longest that voters grant; 0 for the configured
                duration. A longer lease is renewed less often.
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
        """Release a lease that this process holds, or stop requesting one that it does not hold yet."""
        request = self.abandon(lease)
        if request is None:
            return []
        if request.stage == RequestStage.HELD:
            self.notify(LeaseEvent(LeaseEventKind.RELEASED, lease, request.token))
        return self.release_messages(request) if request.stage != RequestStage.WAITING else []

    def abandon(self, lease: str) -> LeaseRequest | None:
        """Stop requesting and renewing a lease, and let the voters' grants of it expire.

        Returns:
            The abandoned request, or None if the lease was not requested.
        """
        request = self.requests.pop(lease, None)
        if request is not None:
            self.past_tokens[lease] = max(request.highest_token, request.token)
        return request

    def release_all(self, now: int) -> list[OutgoingLeaseMessage]:
        """Release all leases, before the process shuts down."""
        return [outgoing for lease in list(self.requests) for outgoing in self.release(now, lease)]

    def held_token(self, now: int, lease: str) -> int | None:
        """Return the token of a lease if this process holds it now, otherwise None.

        Callers read the token immediately before each action that needs the lease and send the token along.
        Since the process may pause between the check and the action, the receiver has to reject old tokens.
        """
        request = self.requests.get(lease)
        if request is None or request.stage != RequestStage.HELD or now >= request.expires_at:
            return None
        return request.token

    # ---- Timers -----------------------------------------------------------------------------------------

    def deadline(self) -> int | None:
        """Return when `tick` is due, or None if nothing is due."""
        return min((request.next_action_at for request in self.requests.values()), default=None)

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Expire leases, and advance requests whose next step is due."""
        outgoing: list[OutgoingLeaseMessage] = []
        for request in list(self.requests.values()):
            if request.stage == RequestStage.HELD and now >= request.expires_at:
                self.expire(now, request)
            if now >= request.due_at:
                outgoing += self.advance(now, request)
        return outgoing

    def advance(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """Take the next step of a request that is due."""
        if request.stage == RequestStage.WAITING:
            return self.request_from_first(now, request)
        if request.stage == RequestStage.FIRST_VOTER:  # The first voter has not answered in time.
            return self.request_from_next(now, request)
        if request.stage == RequestStage.ALL_VOTERS:
            return self.fail_round(now, request)
        return self.renew(now, request)

    def expire(self, now: int, request: LeaseRequest) -> None:
        """Report a lease that no majority has renewed as lost, and request it again after a short delay."""
        self.notify(LeaseEvent(LeaseEventKind.LOST, request.lease, request.token))
        request.stage = RequestStage.WAITING
        request.observe_token(request.token)
        request.due_at = now + int(self.settings.jitter * self.rng.random())

    # ---- Rounds of requests -----------------------------------------------------------------------------

    def begin_round(self, now: int, request: LeaseRequest) -> None:
        """Start a round of requests for a lease, with a new sequence number."""
        self.seq += 1
        request.begin_round(now, self.seq)

    def next_token(self, request: LeaseRequest) -> int:
        """Return a token for a request, above all known tokens and those that voters may have forgotten.

        Unix time normally exceeds the tokens that were granted before the voters lost their state.
        """
        return max(request.highest_token + 1, self.unix_clock())

    def request_from_first(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """Start a round with a request to one voter."""
        self.begin_round(now, request)
        request.token = self.next_token(request)
        request.stage = RequestStage.FIRST_VOTER
        request.due_at = now + self.settings.answer_timeout
        return self.request_messages(request, [self.voters[request.first_voter % len(self.voters)]])

    def request_from_next(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """Ask the next voter, since the last one is silent or cannot vote; fail once all were asked."""
        request.first_voter += 1
        tried_all = (request.first_voter - first_voter_index(request.lease)) % len(self.voters) == 0
        if tried_all:
            return self.fail_round(now, request)
        return self.request_from_first(now, request)

    def request_from_all(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """Request the lease from the other voters, after the first one has granted it."""
        request.stage = RequestStage.ALL_VOTERS
        request.due_at = now + self.settings.answer_timeout
        return self.request_messages(request, [v for v in self.voters if v not in request.granted_by])

    def renew(self, now: int, request: LeaseRequest) -> list[OutgoingLeaseMessage]:
        """Request a held lease again under its token; repeat a failed renewal until the lease expires."""
        self.begin_round(now, request)
        request.due_at = now + request.duration // RENEWAL_RETRIES_PER_LEASE
        return self.request_messages(request, self.voters)

    def request_messages(self, request: LeaseRequest, voters: Iterable[str]) -> list[OutgoingLeaseMessage]:
        """Return a request to each voter for each electorate, or list of voters, that contains the voter."""
        return [
            AddressedMessage(voter, self.request_message(request, electorate))
            for voter in voters
            for electorate in self.electorates
            if voter in electorate.voters
        ]

    def request_message(self, request: LeaseRequest, electorate: Electorate) -> LeaseMessage:
        """Return the request to the voters of one electorate."""
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
        """End a round without a majority: release its grants, and schedule the next one after the backoff."""
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
        """Return messages that tell each voter that this process no longer holds or requests a lease."""
        message = LeaseMessage(
            LeaseKind.RELEASE,
            self.name,
            self.incarnation,
            request.lease,
            request.seq,
            request.token,
        )
        return [AddressedMessage(voter, message) for voter in self.voters]

    # ---- Messages from voters ---------------------------------------------------------------------------

    def received(self, now: int, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Handle a message from a voter."""
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
        """Handle the notification that a lease which was denied before has been released."""
        request.observe_token(message.token)
        if request.stage != RequestStage.WAITING:
            return []
        request.due_at = now
        return self.tick(now)

    def on_grant(self, now: int, request: LeaseRequest, voter: str) -> list[OutgoingLeaseMessage]:
        """Handle a voter's grant in the current round."""
        request.granted_by.add(voter)
        if request.stage == RequestStage.FIRST_VOTER:
            outgoing = self.request_from_all(now, request)
            if outgoing:
                return outgoing
        self.hold_if_granted(now, request)
        return []

    def is_granted(self, request: LeaseRequest) -> bool:
        """Return whether a majority of each electorate has granted the lease in the current round.

        Voters that are down count as members of their electorate.
        """
        return all(electorate.has_majority(request.granted_by) for electorate in self.electorates)

    def lease_start(self, request: LeaseRequest, now: int) -> int:
        """Return the start of the lease for its holder, which precedes the start of each voter's grant."""
        return request.requested_at

    def hold_if_granted(self, now: int, request: LeaseRequest) -> None:
        """Hold or extend the lease if a majority has granted it and the granted time has not yet passed."""
        expires_at = self.lease_start(request, now) + held_duration(request.duration)
        if not self.is_granted(request) or expires_at <= now:
            return
        was_held = request.stage == RequestStage.HELD
        request.stage = RequestStage.HELD
        request.expires_at = max(expires_at, request.expires_at if was_held else 0)
        request.due_at = max(now, request.requested_at + request.duration // RENEWALS_PER_LEASE)
        request.failures = 0
        if not was_held:
            self.notify(LeaseEvent(LeaseEventKind.HELD, request.lease, request.token))

    def on_denial(self, now: int, request: LeaseRequest, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Handle a voter's denial in the current round."""
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
        """Handle a denial by the first voter.

        If that voter cannot vote because it abstains or is not in the electorate, the next voter is asked. If
        another process holds the lease, it is requested again after the time that the denial states, and
        otherwise after the backoff.
        """
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
        """Return whether the voters that have not denied the lease in this round are still a majority."""
        denied_by = request.denied_by - request.granted_by
        return all(e.has_majority(set(e.voters) - denied_by) for e in self.electorates)


def first_voter_index(lease: str) -> int:
    """Return a number that selects the first voter of a lease; all clients compute the same one.

    A hash of the name spreads the leases over the voters.
    """
    return hashlib.blake2b(lease.encode(errors="surrogatepass"), digest_size=2).digest()[0]
