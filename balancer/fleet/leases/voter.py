"""A voter, which grants each lease to one process at a time and for a limited duration.

Grants that expire by themselves follow Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for
Distributed File Cache Consistency" (SOSP 1989). The diskless form, in which a restarted voter abstains until
every grant that it may have made has expired, follows Trencseni, Gazso and Reinhardt, "PaxosLease: Diskless
Paxos for Leases" (2012). The token that rises with each holder is the sequencer of Burrows, "The Chubby lock
service for loosely-coupled distributed systems" (OSDI 2006).

All times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.leases.ceiling import CeilingUnavailableError, RaiseCeiling
from balancer.fleet.leases.granted_lease import GrantedLease, Holder, holder_of
from balancer.fleet.leases.messages import DenialReason, LeaseKind, LeaseMessage, OutgoingLeaseMessage
from balancer.fleet.leases.settings import Electorate, LeaseSettings, granted_duration


class Voter:
    """The voter of one process, for the electorates that contain it.

    Args:
        name: Name of this process.
        incarnation: Incarnation of this process.
        electorates: Lists of voters; lists without this process are ignored.
        settings: Times and limits of leases.
        now: Time at which the voter starts.
        floor: Token up to which nothing is granted.
        raise_ceiling: Called before a token above the ceiling, the highest token that may be granted without
            another disk write, is granted; None if votes are not stored.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        electorates: Sequence[Electorate],
        settings: LeaseSettings,
        now: int,
        floor: int = 0,
        raise_ceiling: RaiseCeiling | None = None,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.electorates = {e.digest: e for e in electorates if name in e.voters}
        self.settings = settings
        self.floor = floor
        self.raise_ceiling = raise_ceiling
        self.ceiling = floor  # Highest token that may be granted without another disk write.
        self.store_retry_at = now  # The vote store is not used before this time.
        self.abstains_until = now + granted_duration(settings.max_lease)
        self.leases: dict[str, GrantedLease] = {}
        self.recalled_tokens: dict[str, int] = {}  # Highest token that each other voter knows.
        self.next_recall_at = now
        self.counts: Counter[str] = Counter()

    # ---- Timers -----------------------------------------------------------------------------------------

    def abstains(self, now: int) -> bool:
        """Return whether this voter abstains, because grants of its last incarnation may not have expired."""
        return now < self.abstains_until

    def other_voters(self) -> list[str]:
        """Return the names of the other voters, sorted."""
        return sorted({v for e in self.electorates.values() for v in e.voters} - {self.name})

    def has_recovered(self) -> bool:
        """Return whether enough other voters of each electorate have reported their highest tokens.

        Their number is the recall quorum: any majority to which this voter belonged in an earlier incarnation
        includes at least one of the voters that have reported.
        """
        answered = self.recalled_tokens.keys()
        return all(len(answered & set(e.voters)) >= e.recall_quorum for e in self.electorates.values())

    def deadline(self) -> int | None:
        """Return when `tick` is due, or None if no further recall, a request for tokens, is to be sent."""
        recalls = self.electorates and not self.has_recovered() and self.next_recall_at < self.abstains_until
        return self.next_recall_at if recalls else None

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Ask the other voters for their highest tokens, while abstaining and until enough have answered."""
        due = self.deadline()
        if due is None or now < due:
            return []
        self.next_recall_at = now + self.settings.recall_interval
        message = LeaseMessage(LeaseKind.RECALL, self.name, self.incarnation)
        return [
            AddressedMessage(voter, message)
            for voter in self.other_voters()
            if voter not in self.recalled_tokens
        ]

    # ---- Messages ---------------------------------------------------------------------------------------

    def received(self, now: int, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Handle a message to this voter."""
        if not self.electorates:
            return []
        if message.kind == LeaseKind.REQUEST:
            return self.on_request(now, message)
        if message.kind == LeaseKind.RELEASE:
            return self.on_release(now, message)
        if message.kind == LeaseKind.RECALL:
            return self.on_recall(now, message)
        if message.kind == LeaseKind.RECALL_ANSWER and message.sender in self.other_voters():
            self.recalled_tokens[message.sender] = message.token
            self.floor = max(self.floor, message.token)
        return []

    def on_recall(self, now: int, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Answer a restarted voter with the highest known token, unless this voter itself abstains."""
        if self.abstains(now):
            return []
        token = max([self.floor, *(lease.highest_token for lease in self.leases.values())])
        answer = LeaseMessage(LeaseKind.RECALL_ANSWER, self.name, self.incarnation, token=token)
        return [AddressedMessage(message.sender, answer)]

    def on_request(self, now: int, request: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Grant or deny a client's request for a lease."""
        if request.electorate not in self.electorates:
            return self.deny(request, DenialReason.ELECTORATE)
        if self.abstains(now):
            self.remember_token(request)
            return self.deny(request, DenialReason.ABSTAINS, wait=self.abstains_until - now)
        if request.duration > self.settings.max_lease:
            return self.deny(request, DenialReason.LENGTH)
        lease = self.find_or_add(now, request.lease)
        if lease is None:
            return self.deny(request, DenialReason.FULL)
        if now < lease.expires_at and lease.holder != holder_of(request):
            return self.deny_held(now, request, lease)
        return self.grant_if_higher(now, request, lease)

    def deny_held(self, now: int, request: LeaseMessage, lease: GrantedLease) -> list[OutgoingLeaseMessage]:
        """Deny a lease that another process holds, and state when to request it again.

        Each further denied client is given a later time, so that a thousand waiting clients do not all
        request the lease at the instant of its expiry.
        """
        if len(lease.waiters) < self.settings.max_waiters:
            lease.waiters[request.sender] = request.seq
        lease.denials += 1
        wait = lease.expires_at - now + lease.denials * self.settings.retry_spacing
        return self.deny(request, DenialReason.HELD, lease.token, wait)

    def grant_if_higher(
        self, now: int, request: LeaseMessage, lease: GrantedLease
    ) -> list[OutgoingLeaseMessage]:
        """Grant a lease that no other process holds, if the token is high enough and could be stored."""
        holder = holder_of(request)
        if self.is_too_low(lease, request.token, holder):
            return self.deny(request, DenialReason.OLD, lease.highest_token)
        if not self.ensure_ceiling_covers(now, request.token):
            return self.deny(request, DenialReason.ABSTAINS, wait=self.store_retry_at - now)
        # Raising the ceiling may have read the vote store for the first time and so raised the floor, the
        # token up to which nothing is granted.
        if self.is_too_low(lease, request.token, holder):
            return self.deny(request, DenialReason.OLD, lease.highest_token)
        lease.grant(request.token, holder, now + granted_duration(request.duration))
        self.counts["granted"] += 1
        answer = LeaseMessage(
            LeaseKind.GRANT, self.name, self.incarnation, request.lease, request.seq, request.token
        )
        return [AddressedMessage(request.sender, answer)]

    def deny(
        self, request: LeaseMessage, reason: DenialReason, token: int = 0, wait: int = 0
    ) -> list[OutgoingLeaseMessage]:
        """Return the denial of a client's request, and count it.

        Args:
            request: The request to deny.
            reason: Reason of the denial.
            token: Highest known token of the lease.
            wait: Microseconds until the client may request the lease again; 0 if unknown.
        """
        self.counts[f"denied_{reason.name.lower()}"] += 1
        answer = LeaseMessage(
            LeaseKind.DENY,
            self.name,
            self.incarnation,
            request.lease,
            request.seq,
            max(token, self.floor),
            request.electorate,
            wait,
            reason,
        )
        return [AddressedMessage(request.sender, answer)]

    def on_release(self, now: int, release: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """End a grant and notify denied clients; a later request for the same token is denied.

        A release may overtake the request for the same token. Unless the release is remembered, the lease
        would be granted to a process that has ended, and be unavailable to all others until that grant
        expires.
        """
        lease = self.find_or_add(now, release.lease)
        if lease is None:
            return []
        holder = holder_of(release)
        if lease.holder != holder:
            if release.token > lease.token:
                lease.record_early_release(holder, release.token, self.settings.max_waiters)
            return []
        lease.released_token = max(lease.released_token, release.token)
        if release.token < lease.token:
            return []
        lease.expires_at = now
        waiters, lease.waiters = lease.waiters, {}
        return [
            AddressedMessage(name, self.available_message(release.lease, seq, lease.token))
            for name, seq in waiters.items()
        ]

    def available_message(self, lease: str, seq: int, token: int) -> LeaseMessage:
        """Return the notification to a denied client that a lease has been released."""
        return LeaseMessage(LeaseKind.AVAILABLE, self.name, self.incarnation, lease, seq, token)

    # ---- Tokens -----------------------------------------------------------------------------------------

    def remember_token(self, request: LeaseMessage) -> None:
        """Reject tokens below that of a request which arrives while this voter abstains.

        A client requests a token above all tokens that it knows. So if all voters restart, one client that
        keeps running is enough for tokens to rise further; otherwise a client with a slow wall clock could
        acquire a lease under a token that every receiver rejects as old.
        """
        lease = self.leases.get(request.lease)
        if lease is None and len(self.leases) < self.settings.max_leases:
            lease = self.leases[request.lease] = GrantedLease(self.floor)
        if lease is not None:
            lease.released_token = max(lease.released_token, request.token - 1)

    def ensure_ceiling_covers(self, now: int, token: int) -> bool:
        """Raise the ceiling to cover a token if necessary, and return whether it covers the token.

        The ceiling is the highest token that this voter may grant without another disk write.

        While the disk fails, tokens above the ceiling are not granted, because the next incarnation would
        not know of them.
        """
        if self.raise_ceiling is None or token <= self.ceiling:
            return True
        if now < self.store_retry_at:
            return False
        try:
            bounds = self.raise_ceiling(token)
        except CeilingUnavailableError:
            self.store_retry_at = now + self.settings.store_retry_interval
            self.counts["store_failed"] += 1
            return False
        self.floor = max(self.floor, bounds.floor)
        self.ceiling = bounds.ceiling
        return True

    def is_too_low(self, lease: GrantedLease, token: int, holder: Holder) -> bool:
        """Return whether a token is too low to be granted to a holder.

        Each token is granted to one holder only, and never after a higher token or after its release.
        """
        if token == lease.token and holder == lease.holder and token > lease.released_token:
            return False
        return token <= max(lease.highest_token, lease.early_releases.get(holder, 0), self.floor)

    # ---- Tracked leases ---------------------------------------------------------------------------------

    def find_or_add(self, now: int, name: str) -> GrantedLease | None:
        """Return the lease of a name, adding it if necessary; None if there is no capacity for it.

        At the limit of `max_leases`, the lease that expired first is evicted. The floor, the token up to
        which nothing is granted, then rises to the highest token of the evicted lease.
        """
        if name in self.leases:
            return self.leases[name]
        if len(self.leases) >= self.settings.max_leases:
            expired = [(lease.expires_at, n) for n, lease in self.leases.items() if lease.expires_at <= now]
            if not expired:
                return None
            evicted = self.leases.pop(min(expired)[1])
            self.floor = max(self.floor, evicted.highest_token)
            self.counts["evicted"] += 1
        lease = self.leases[name] = GrantedLease(self.floor)
        return lease
