"""A voter: grants each lease to one process at a time, for a limited time.

Source: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency" (SOSP 1989), for grants that expire by themselves; the diskless form, in which a voter that has
restarted abstains until any grant that it may have made is over, is that of Trencseni, Gazso and Reinhardt,
"PaxosLease: Diskless Paxos for Leases" (2012). The token that rises with each holder is the sequencer of
Burrows, "The Chubby lock service for loosely-coupled distributed systems" (OSDI 2006).

Times are microseconds of this process's monotonic clock.
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
    """One process's vote in the electorates that name it.

    Args:
        name: Of this process.
        incarnation: Of this process.
        electorates: Lists of voters; those without this process are left out.
        settings: Times and bounds.
        now: The time at its start.
        floor: All tokens that it grants are above this.
        raise_ceiling: Called before a token beyond the ceiling is granted, in a deployment with a disk.
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
        self.ceiling = floor  # as it was raised last
        self.next_raise_at = now  # after a disk that failed
        self.abstains_until = now + granted_duration(settings.max_lease)
        self.leases: dict[str, GrantedLease] = {}
        self.recalled_tokens: dict[str, int] = {}  # the highest that each other voter knows
        self.next_recall_at = now
        self.counts: Counter[str] = Counter()

    # ---- time -------------------------------------------------------------------------------------------

    def abstains(self, now: int) -> bool:
        """Whether a grant of its last incarnation may still last."""
        return now < self.abstains_until

    def other_voters(self) -> list[str]:
        """Names of the other voters, in order."""
        return sorted({v for e in self.electorates.values() for v in e.voters} - {self.name})

    def has_recovered(self) -> bool:
        """Whether enough of the others have answered what they know.

        One of them at least was in any majority that this voter was in.
        """
        answered = self.recalled_tokens.keys()
        return all(len(answered & set(e.voters)) >= e.recall_quorum for e in self.electorates.values())

    def deadline(self) -> int | None:
        """When `tick` is due, or None where nothing is due by itself."""
        recalls = self.electorates and not self.has_recovered() and self.next_recall_at < self.abstains_until
        return self.next_recall_at if recalls else None

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """While it abstains, asks the others for the tokens that they know, until enough have answered."""
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

    # ---- messages ---------------------------------------------------------------------------------------

    def received(self, now: int, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Handles a message to this voter."""
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
        """Answers a restarted voter with the highest token, unless this voter abstains itself."""
        if self.abstains(now):
            return []
        token = max([self.floor, *(lease.highest_token for lease in self.leases.values())])
        answer = LeaseMessage(LeaseKind.RECALL_ANSWER, self.name, self.incarnation, token=token)
        return [AddressedMessage(message.sender, answer)]

    def on_request(self, now: int, request: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Grants or denies a request."""
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
        """Denies a lease that another process holds, and states when to request again.

        Failure prevented: a thousand clients come again at one instant, the end of the lease.
        """
        if len(lease.waiters) < self.settings.max_waiters:
            lease.waiters[request.sender] = request.seq
        lease.denials += 1
        wait = lease.expires_at - now + lease.denials * self.settings.retry_spacing
        return self.deny(request, DenialReason.HELD, lease.token, wait)

    def grant_if_higher(
        self, now: int, request: LeaseMessage, lease: GrantedLease
    ) -> list[OutgoingLeaseMessage]:
        """Grants a lease that no other process holds, if the token is high enough and the disk allows it."""
        holder = holder_of(request)
        if self.is_too_low(lease, request.token, holder):
            return self.deny(request, DenialReason.OLD, lease.highest_token)
        if not self.ceiling_covers(now, request.token):
            return self.deny(request, DenialReason.ABSTAINS, wait=self.next_raise_at - now)
        if self.is_too_low(lease, request.token, holder):  # by a floor that the disk did not give before
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
        """A denial. `token`: the highest that is known of the lease; `wait`: when to come again, if known."""
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
        """Ends a grant and notifies clients that were denied; a late request for the same token is denied.

        Failure prevented: a release overtakes its request, the grant to a process that is gone has to expire
        by itself, and nobody holds the lease meanwhile.
        """
        lease = self.find_or_add(now, release.lease)
        if lease is None:
            return []
        holder = holder_of(release)
        if lease.holder != holder:
            if release.token > lease.token:
                lease.note_early_release(holder, release.token, self.settings.max_waiters)
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
        """Notifies a denied client that a lease has been released."""
        return LeaseMessage(LeaseKind.AVAILABLE, self.name, self.incarnation, lease, seq, token)

    # ---- tokens -----------------------------------------------------------------------------------------

    def remember_token(self, request: LeaseMessage) -> None:
        """Grants nothing below the token of a request that came while this voter abstained.

        A client requests above all that it knows, so one client that runs on is enough where all
        voters forget. Failure prevented: all voters restart, and a client whose wall clock is slow comes to
        hold a lease under a token that every receiver refuses.
        """
        lease = self.leases.get(request.lease)
        if lease is None and len(self.leases) < self.settings.max_leases:
            lease = self.leases[request.lease] = GrantedLease(self.floor)
        if lease is not None:
            lease.released_token = max(lease.released_token, request.token - 1)

    def ceiling_covers(self, now: int, token: int) -> bool:
        """Whether the ceiling is at least a token, raised if it has to be and the disk allows it.

        Failure prevented: the disk fails, and a grant that is not on it is forgotten by the next incarnation.
        """
        if self.raise_ceiling is None or token <= self.ceiling:
            return True
        if now < self.next_raise_at:
            return False
        try:
            bounds = self.raise_ceiling(token)
        except CeilingUnavailableError:
            self.next_raise_at = now + self.settings.store_retry_interval
            self.counts["store_failed"] += 1
            return False
        self.floor = max(self.floor, bounds.floor)
        self.ceiling = bounds.ceiling
        return True

    def is_too_low(self, lease: GrantedLease, token: int, holder: Holder) -> bool:
        """Whether a token may not be granted to a holder.

        A token is granted to one holder alone, and none after a higher one or after its own release.
        """
        if token == lease.token and holder == lease.holder and token > lease.released_token:
            return False
        return token <= max(lease.highest_token, lease.early_releases.get(holder, 0), self.floor)

    # ---- memory -----------------------------------------------------------------------------------------

    def find_or_add(self, now: int, name: str) -> GrantedLease | None:
        """A lease by its name; None where it is new and there is no capacity for it.

        One that nobody holds gives way, and leaves its token as the floor of all that come after.
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
