"""The membership protocol: SWIM with suspicion and incarnation numbers.

The protocol is a state machine without sockets or clocks, whose caller passes in time and messages.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002); anti-entropy, which lets a partition heal, is a common extension. In each period one
member is pinged, in shuffled rounds over all members. If it doesn't acknowledge the ping, it is pinged again,
and a few other members are asked to ping it. If there is no ack by the end of the period the member becomes
suspect, and then dead unless it refutes the suspicion in time. Updates are piggybacked on pings and acks,
each a number of times proportional to the logarithm of the group's size. Times are integer microseconds.

Without failures no operation iterates over all members: deadlines are in a heap (`timers.py`), updates in
lists by transmission count (`dissemination.py`) and members in sorted lists (`view.py`), and views are
compared by digests (`anti_entropy.py`).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from math import ceil
from random import Random

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.membership.anti_entropy import AntiEntropy
from balancer.fleet.membership.changes import (
    CHANGES_BY_STATUS,
    ChangeSubscriber,
    MembershipChange,
    ignore_change,
)
from balancer.fleet.membership.claims import Address, Claim, Status, overrides
from balancer.fleet.membership.counts import Counts
from balancer.fleet.membership.dissemination import Dissemination
from balancer.fleet.membership.failure_detector import FailureDetector
from balancer.fleet.membership.messages import (
    Accusation,
    Accusations,
    AnyMessage,
    Kind,
    Message,
    OutgoingMessage,
    claim_capacity,
)
from balancer.fleet.membership.suspicion import Suspicion
from balancer.fleet.membership.timers import Deadlines
from balancer.fleet.membership.timing import Timing
from balancer.fleet.membership.view import Member, View, claim_size

__all__ = [
    "Address",
    "Claim",
    "Counts",
    "Kind",
    "Member",
    "Message",
    "OutgoingMessage",
    "Status",
    "Swim",
    "Timing",
]


# Messages with claims from the sender's complete view, whether they are recent or not.
FULL_VIEW_KINDS = (Kind.SYNC_ACK, Kind.PAGE)


class Swim:
    """One instance's membership in the group.

    Methods return the messages to send; `due` returns the time at which to call `tick` next.

    Args:
        name: This instance's name.
        address: The address at which other members reach this instance.
        incarnation: Initial incarnation of this instance, which should be higher than that of an earlier
            process of this name; the start time in Unix time is suitable. If it is lower, this instance
            adopts a higher one once a member reports that of the earlier process.
        seeds: Configured peers, which are asked for the complete view at the start, and again while they
            aren't known to be alive.
        rng: Random number generator for all random decisions.
        now: The current time.
        timing: The protocol's parameters.
        publish: Subscriber that is called at each change of the view, with the change and the claim that
            caused it.
        first_seq: Initial sequence number of pings; acks are proof of liveness if it is unpredictable.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        incarnation: int,
        seeds: Sequence[Address],
        rng: Random,
        now: int,
        timing: Timing | None = None,
        publish: ChangeSubscriber = ignore_change,
        first_seq: int | None = None,
    ) -> None:
        self.publish = publish
        self.rng = rng
        self.timing = timing or Timing()
        self.counts = Counts()
        self.view = View(Claim(name, address, Status.ALIVE, incarnation))
        self.failure_detector = FailureDetector(self.view, rng, now, self.timing, self.compose, first_seq)
        self.updates = Dissemination()
        self.accusations = Dissemination()
        self.suspicions: dict[str, Suspicion] = {}
        # The times at which suspicions end, and at which members that are dead or have left are forgotten.
        self.deadlines = Deadlines()
        self.anti_entropy = AntiEntropy(self.view, seeds, rng, now, self.timing, self.counts)

    # ---- the view --------------------------------------------------------------------------------------

    @property
    def local_claim(self) -> Claim:
        """This instance's claim about itself."""
        return self.view.local_claim

    @local_claim.setter
    def local_claim(self, claim: Claim) -> None:
        self.view.local_claim = claim

    @property
    def members(self) -> dict[str, Member]:
        """The other members by name; callers must not change the dictionary."""
        return self.view.members

    @property
    def seeds(self) -> list[Address]:
        """The addresses of the configured peers other than this instance."""
        return self.anti_entropy.seeds

    def alive(self) -> list[str]:
        """Return the names of the other members that are alive or suspect."""
        return self.view.living_names.copy()

    def status(self, name: str) -> Status | None:
        """Return the status of a member; None if the member is unknown or forgotten."""
        if name == self.local_claim.name:
            return self.local_claim.status
        member = self.members.get(name)
        return member.claim.status if member else None

    def log_group_size(self) -> int:
        """Return the binary logarithm of the group's size, rounded up.

        The durations of suspicions and the number of transmissions of an update are proportional to it.
        """
        return max(1, (len(self.members) + 1).bit_length())

    # ---- time ----------------------------------------------------------------------------------------

    def due(self) -> int:
        """Return the time at which `tick` is to be called next."""
        due = min(self.failure_detector.due(), self.anti_entropy.due())
        deadline = self.deadlines.next()
        return due if deadline is None else min(due, deadline)

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Handle the members' deadlines, retries of pings, probes and comparisons of views that are due.

        After a pause of several periods only a single period begins, instead of one for each period missed.
        """
        if self.local_claim.status != Status.ALIVE:
            return []
        outgoing: list[OutgoingMessage] = []
        for name in self.deadlines.pop_due(now):
            self.expire(now, name)
        outgoing += self.failure_detector.retry_if_due(now)
        if now >= self.failure_detector.next_period_at:
            outgoing += self.begin_period(now)
        return outgoing + self.anti_entropy.tick(now)

    def expire(self, now: int, name: str) -> None:
        """Handle a deadline: declare an unrefuted suspect dead, or forget a dead or departed member."""
        claim = self.members[name].claim
        if claim.status == Status.SUSPECT:
            self.counts.died += 1
            self.accept(now, Claim(name, claim.address, Status.DEAD, claim.incarnation))
            return
        self.view.forget(name)
        self.updates.remove(name)
        self.publish(MembershipChange.FORGOTTEN, claim)

    def begin_period(self, now: int) -> list[OutgoingMessage]:
        """Suspect the current probe's target if it has not acknowledged, and ping the next member."""
        unreachable = self.failure_detector.end_probe()
        if unreachable is not None:
            self.suspect(now, unreachable)
        ping = self.failure_detector.begin_period(now)
        return [] if ping is None else [ping, *self.accusations_for(ping.to)]

    # ---- messages ------------------------------------------------------------------------------------

    def receive(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """Process a message received from `source`, and return the answers."""
        if self.local_claim.status != Status.ALIVE or message.sender == self.local_claim.name:
            return []
        self.counts.received += 1
        if isinstance(message, Accusations) and message.sender not in self.members:
            # The sender may be a process of another zone that answers a challenge. Its claims would add the
            # members of that zone to this group.
            return []
        for claim in message.claims:
            is_known = claim.name in self.members
            self.accept(now, claim)
            if not is_known and message.kind in FULL_VIEW_KINDS:
                # The other members get these claims in pages too. If they were disseminated as well, updates
                # about all new members would circulate for minutes after many simultaneous joins.
                self.updates.remove(claim.name)
        return [*self.report_newer_incarnation(source, message), *self.answer(now, source, message)]

    def answer(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """Return the answer to a message whose claims have been accepted already."""
        if isinstance(message, Accusations):
            for accusation in message.accusations:
                self.accuse(now, accusation.claim, accusation.accusers)
        elif not isinstance(message, Message):
            return self.anti_entropy.receive(now, source, message)
        elif message.kind == Kind.PING:
            ack = self.compose(source, Kind.ACK, message.seq, about=message.sender)
            return [ack, *self.accusations_for(source)]
        elif message.kind == Kind.PING_REQ:
            return self.failure_detector.relay(now, source, message)
        elif message.kind == Kind.ACK:
            return self.failure_detector.receive_ack(message)
        elif message.kind == Kind.SYNC:
            return self.anti_entropy.receive(now, source, message)
        return []

    def compose(
        self, to: Address, kind: Kind, seq: int, target: str = "", about: str = ""
    ) -> OutgoingMessage:
        """Return a message with piggybacked claims.

        Args:
            to: The receiver's address.
            kind: The kind of message.
            seq: The message's sequence number.
            target: Name of the member that a PING_REQ asks to ping.
            about: The receiver's name, if known. If this instance's claim about the receiver isn't that it is
                alive, that claim is included, so that the receiver can refute it.
        """
        self.counts.sent += 1
        return AddressedMessage(
            to, Message(kind, self.local_claim.name, seq, target, self.piggyback(target, about))
        )

    def piggyback(self, target: str, about: str) -> tuple[Claim, ...]:
        """Return the claims to piggyback on a message: as many as fit, the least-sent ones first."""
        claims = [self.local_claim]
        member = self.members.get(about)
        if member is not None and member.claim.status != Status.ALIVE:
            claims.append(member.claim)
        remaining_bytes = claim_capacity(self.local_claim.name, target) - sum(map(claim_size, claims))
        max_transmissions = ceil(self.timing.spread_factor * self.log_group_size())
        for name in self.updates.choose(self.timing.claims_per_message - len(claims)):
            claim = self.members[name].claim
            remaining_bytes -= claim_size(claim)
            if remaining_bytes < 0:
                break
            if name != about:
                claims.append(claim)
            self.updates.record_sent(name, max_transmissions)
        return tuple(claims)

    # ---- claims --------------------------------------------------------------------------------------

    def accept(self, now: int, claim: Claim) -> None:
        """Apply a claim about a member if it overrides the current one; handle a claim about this instance.

        A claim about this instance is refuted unless it agrees with the instance's own claim or is outdated.
        """
        if claim.name == self.local_claim.name:
            self.refute(claim)
            return
        previous = self.members.get(claim.name)
        if previous is not None and not overrides(claim, previous.claim):
            return
        if previous is None and claim.status >= Status.DEAD:
            # Otherwise claims about a member that was forgotten long ago would circulate for ever.
            return
        self.view.put(claim, now)
        self.schedule(now, claim)
        self.updates.add(claim.name)
        if previous is None or previous.claim.status != claim.status:
            self.publish(
                MembershipChange.JOIN if previous is None else CHANGES_BY_STATUS[claim.status], claim
            )
        if previous is None:
            self.failure_detector.add_target(claim.name)

    def refute(self, claim: Claim) -> None:
        """Override a claim that this instance isn't alive, or that has a higher incarnation.

        A higher incarnation is that of an earlier process of this name, if the wall clock was stepped back
        between the starts of the two processes. This process adopts the next higher number and not a much
        higher one, so that the next process of this name can exceed it.
        """
        is_newer = claim.incarnation > self.local_claim.incarnation
        if is_newer or (claim.status != Status.ALIVE and claim.incarnation == self.local_claim.incarnation):
            self.counts.refuted += 1
            self.local_claim = Claim(
                self.local_claim.name, self.local_claim.address, Status.ALIVE, claim.incarnation + 1
            )
            self.publish(MembershipChange.REFUTED, claim)

    def report_newer_incarnation(self, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """Report the sender's incarnation in this instance's view if it is higher than in the message.

        The sender then adopts a higher incarnation at once. In answer to a SYNC, which is the first message
        of a process, the claim is at least a suspicion, because earlier versions refute only claims that they
        aren't alive.
        """
        sender_claim = message.claims[0] if message.claims else None
        member = self.members.get(message.sender)
        if sender_claim is None or member is None or sender_claim.name != message.sender:
            return []
        if sender_claim.incarnation >= member.claim.incarnation:
            return []
        self.counts.sent += 1
        reported = member.claim
        if message.kind == Kind.SYNC and reported.status == Status.ALIVE:
            reported = replace(reported, status=Status.SUSPECT)
        return [
            AddressedMessage(
                source, Message(Kind.ACK, self.local_claim.name, 0, "", (self.local_claim, reported))
            )
        ]

    def schedule(self, now: int, claim: Claim) -> None:
        """Set or cancel a member's deadline according to its new status; begin a suspicion of a suspect."""
        self.suspicions.pop(claim.name, None)
        self.accusations.remove(claim.name)
        if claim.status == Status.ALIVE:
            self.deadlines.cancel(claim.name)
        elif claim.status == Status.SUSPECT:
            self.counts.suspected += 1
            self.suspicions[claim.name] = suspicion = self.new_suspicion(now)
            self.deadlines.set(claim.name, suspicion.deadline())
        else:
            self.deadlines.set(claim.name, now + self.timing.forget_after)

    def new_suspicion(self, now: int) -> Suspicion:
        """Return a suspicion that begins now, with durations for the current size of the group."""
        max_duration = int(self.timing.suspect_factor * self.log_group_size() * self.timing.period)
        min_duration = max(
            int(max_duration * self.timing.suspect_min_share),
            self.timing.suspect_min_periods * self.timing.period,
        )
        # All living members except the suspect and the first accuser can confirm the suspicion.
        possible_confirmations = len(self.view.living_names) - 1
        return Suspicion(
            now, max_duration, min_duration, min(self.timing.confirmations, possible_confirmations)
        )

    def suspect(self, now: int, name: str) -> None:
        """Suspect a member that has not acknowledged this instance's probe."""
        member = self.members.get(name)
        if member is None or member.is_dead_or_left:
            return
        current = member.claim
        claim = Claim(name, current.address, Status.SUSPECT, current.incarnation)
        self.accept(now, claim)
        self.accuse(now, claim, (self.local_claim.name,))

    def accuse(self, now: int, claim: Claim, accusers: Sequence[str]) -> None:
        """Add members that confirm a suspicion, which shortens its duration."""
        suspicion = self.suspicions.get(claim.name)
        if suspicion is None or self.members[claim.name].claim.incarnation != claim.incarnation:
            return
        if suspicion.accuse(accusers):
            self.deadlines.set(claim.name, suspicion.deadline())
            self.accusations.add(claim.name)

    def accusations_for(self, to: Address) -> list[OutgoingMessage]:
        """Return a message with the suspicions that are still to be disseminated, if there are any."""
        accusations: list[Accusation] = []
        remaining_bytes = claim_capacity(self.local_claim.name)
        max_transmissions = ceil(self.timing.spread_factor * self.log_group_size())
        for name in self.accusations.choose(self.timing.claims_per_message):
            claim, accusers = self.members[name].claim, tuple(self.suspicions[name].accusers)
            remaining_bytes -= claim_size(claim) + sum(len(a.encode()) + 2 for a in accusers) + 2
            if remaining_bytes < 0:
                break
            accusations.append(Accusation(claim, accusers))
            self.accusations.record_sent(name, max_transmissions)
        if not accusations:
            return []
        self.counts.sent += 1
        return [AddressedMessage(to, Accusations(self.local_claim.name, tuple(accusations)))]

    def leave(self) -> list[OutgoingMessage]:
        """Announce to a few members, which inform the others, that this instance leaves the group.

        Afterwards `tick` and `receive` do nothing.
        """
        self.local_claim = Claim(
            self.local_claim.name, self.local_claim.address, Status.LEFT, self.local_claim.incarnation
        )
        living_names = self.view.living_names
        receivers = self.rng.sample(living_names, min(self.timing.indirect_probes + 2, len(living_names)))
        return [self.compose(self.members[n].claim.address, Kind.PING, 0) for n in receivers]
