"""The membership protocol: SWIM with suspicion and incarnation numbers.

A state machine without sockets or clocks, whose caller passes in time and messages.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002); anti-entropy, which lets a partition heal, is common practice on top of it. In each
period one member is pinged, in shuffled rounds over all of them. If it doesn't acknowledge, it is pinged
again, and a few others are asked to ping it. If there is no ack by the period's end it becomes suspect, and
dead unless it refutes the suspicion in time. Updates are piggybacked on pings and acks, each a number of
times proportional to the logarithm of the group's size. Times are integer microseconds.

Without failures no operation iterates over all members: deadlines are in a heap (`timers.py`), updates in
buckets (`dissemination.py`), members in sorted lists (`view.py`); views are compared by digests
(`anti_entropy.py`).
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


FULL_VIEW_KINDS = (Kind.SYNC_ACK, Kind.PAGE)  # messages with the sender's complete view, new or not


class Swim:
    """One instance's membership in the group.

    Calls return the messages to send; `due` returns when to call `tick` next.

    Args:
        name: This instance's name.
        address: The address at which the others reach it.
        incarnation: Should be higher than that of an earlier process of this name; the start in Unix time
            is suitable. Otherwise this instance adopts a higher one once a member reports the earlier one.
        seeds: Configured peers, asked for the complete view at the start, and again while not known alive.
        rng: The source of all random decisions.
        now: The present time.
        timing: The protocol's parameters.
        publish: Called at each change of the view, with the change and the claim that caused it.
        first_seq: Where the `seq` of pings begins. Acks are proof of liveness if it is unpredictable.
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
        self.detector = FailureDetector(self.view, rng, now, self.timing, self.send, first_seq)
        self.updates = Dissemination()
        self.accusations = Dissemination()
        self.suspicions: dict[str, Suspicion] = {}
        self.deadlines = Deadlines()  # when suspicions end, and when members that are gone are forgotten
        self.anti_entropy = AntiEntropy(self.view, seeds, rng, now, self.timing, self.counts)

    # ---- the view --------------------------------------------------------------------------------------

    @property
    def me(self) -> Claim:
        """This instance's claim about itself."""
        return self.view.me

    @me.setter
    def me(self, claim: Claim) -> None:
        self.view.me = claim

    @property
    def members(self) -> dict[str, Member]:
        """The other members, by name; read-only."""
        return self.view.members

    @property
    def seeds(self) -> list[Address]:
        """The configured peers except this instance."""
        return self.anti_entropy.seeds

    def alive(self) -> list[str]:
        """Returns the names of the other members that are alive or suspect."""
        return self.view.living.copy()

    def status(self, name: str) -> Status | None:
        """Returns the status of a member; None if it is unknown or forgotten."""
        if name == self.me.name:
            return self.me.status
        member = self.members.get(name)
        return member.claim.status if member else None

    def scale(self) -> int:
        """Returns the binary logarithm of the group's size, rounded up; durations and spread depend on it."""
        return max(1, (len(self.members) + 1).bit_length())

    # ---- time ----------------------------------------------------------------------------------------

    def due(self) -> int:
        """Returns when `tick` is to be called next."""
        due = min(self.detector.due(), self.anti_entropy.due())
        deadline = self.deadlines.next()
        return due if deadline is None else min(due, deadline)

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Performs what is due.

        After a pause of several periods only one period begins, late, rather than many at once.
        """
        if self.me.status != Status.ALIVE:
            return []
        out: list[OutgoingMessage] = []
        for name in self.deadlines.pop_due(now):
            self.expire(now, name)
        out += self.detector.retry_if_due(now)
        if now >= self.detector.next_period:
            out += self.begin_period(now)
        return out + self.anti_entropy.tick(now)

    def expire(self, now: int, name: str) -> None:
        """Handles a deadline: the end of a suspicion that nobody refuted, or of a dead member's record."""
        claim = self.members[name].claim
        if claim.status == Status.SUSPECT:
            self.counts.died += 1
            self.accept(now, Claim(name, claim.address, Status.DEAD, claim.incarnation))
            return
        self.view.forget(name)
        self.updates.remove(name)
        self.publish(MembershipChange.FORGOTTEN, claim)

    def begin_period(self, now: int) -> list[OutgoingMessage]:
        """Suspects the present probe's target unless it has acknowledged, and pings the next member."""
        unreached = self.detector.end_probe()
        if unreached is not None:
            self.suspect(now, unreached)
        ping = self.detector.begin_period(now)
        return [] if ping is None else [ping, *self.accusations_for(ping.to)]

    # ---- messages ------------------------------------------------------------------------------------

    def receive(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """Processes a message that came from `source`, which any answer is sent to."""
        if self.me.status != Status.ALIVE or message.sender == self.me.name:
            return []
        self.counts.received += 1
        if isinstance(message, Accusations) and message.sender not in self.members:
            # Failure prevented: a process of another zone answers a challenge, and its zone's members are
            # added to this one's.
            return []
        for claim in message.claims:
            known = claim.name in self.members
            self.accept(now, claim)
            if not known and message.kind in FULL_VIEW_KINDS:
                # Failure prevented: after many simultaneous joins each member disseminates all of them for
                # minutes, though the others have received them in pages too.
                self.updates.remove(claim.name)
        return [*self.report_newer_incarnation(source, message), *self.answer(now, source, message)]

    def answer(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """Returns the answer to a message whose claims have been processed already."""
        if isinstance(message, Accusations):
            for accusation in message.accusations:
                self.accuse(now, accusation.claim, accusation.accusers)
        elif not isinstance(message, Message):
            return self.anti_entropy.receive(now, source, message)
        elif message.kind == Kind.PING:
            ack = self.send(source, Kind.ACK, message.seq, about=message.sender)
            return [ack, *self.accusations_for(source)]
        elif message.kind == Kind.PING_REQ:
            return self.detector.relay(now, source, message)
        elif message.kind == Kind.ACK:
            return self.detector.receive_ack(message)
        elif message.kind == Kind.SYNC:
            return self.anti_entropy.receive(now, source, message)
        return []

    def send(self, to: Address, kind: Kind, seq: int, target: str = "", about: str = "") -> OutgoingMessage:
        """Returns a message with piggybacked claims.

        Args:
            to: The receiver's address.
            kind: The kind of message.
            seq: Its number.
            target: The member that a PING_REQ is about.
            about: The receiver's name, if known: a claim that it isn't alive is included, so that it can
                refute it.
        """
        self.counts.sent += 1
        return AddressedMessage(to, Message(kind, self.me.name, seq, target, self.piggyback(target, about)))

    def piggyback(self, target: str, about: str) -> tuple[Claim, ...]:
        """Returns the claims to piggyback on a message: the least-sent ones, as many as fit."""
        claims = [self.me]
        member = self.members.get(about)
        if member is not None and member.claim.status != Status.ALIVE:
            claims.append(member.claim)
        remaining_bytes = claim_capacity(self.me.name, target) - sum(map(claim_size, claims))
        max_transmissions = ceil(self.timing.spread_factor * self.scale())
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
        """Applies a claim if it overrides the present one; refutes it if it is about this instance."""
        if claim.name == self.me.name:
            self.refute(claim)
            return
        known = self.members.get(claim.name)
        if known is not None and not overrides(claim, known.claim):
            return
        if known is None and claim.status >= Status.DEAD:
            # Failure prevented: claims about a member forgotten long ago circulate for ever.
            return
        self.view.put(claim, now)
        self.schedule(now, claim)
        self.updates.add(claim.name)
        if known is None or known.claim.status != claim.status:
            self.publish(MembershipChange.JOIN if known is None else CHANGES_BY_STATUS[claim.status], claim)
        if known is None:
            self.detector.add_target(claim.name)

    def refute(self, claim: Claim) -> None:
        """Overrides a claim that this instance is not alive, or that has a higher incarnation.

        A higher incarnation is that of an earlier process of this name, if the wall clock was stepped back
        between their starts. This process adopts the number just above it, so that the next one can go above
        this one's.
        """
        is_newer = claim.incarnation > self.me.incarnation
        if is_newer or (claim.status != Status.ALIVE and claim.incarnation == self.me.incarnation):
            self.counts.refuted += 1
            self.me = Claim(self.me.name, self.me.address, Status.ALIVE, claim.incarnation + 1)
            self.publish(MembershipChange.REFUTED, claim)

    def report_newer_incarnation(self, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """Reports the incarnation known of a sender, if it is higher than the one in its message.

        The sender then adopts a higher one at once. In answer to a SYNC, which a process begins with, the
        claim is at least a suspicion, since earlier versions refute nothing less.
        """
        own = message.claims[0] if message.claims else None
        known = self.members.get(message.sender)
        if own is None or known is None or own.name != message.sender:
            return []
        if own.incarnation >= known.claim.incarnation:
            return []
        self.counts.sent += 1
        reported = known.claim
        if message.kind == Kind.SYNC and reported.status == Status.ALIVE:
            reported = replace(reported, status=Status.SUSPECT)
        return [AddressedMessage(source, Message(Kind.ACK, self.me.name, 0, "", (self.me, reported)))]

    def schedule(self, now: int, claim: Claim) -> None:
        """Sets the deadline that goes with a member's new status."""
        self.suspicions.pop(claim.name, None)
        self.accusations.remove(claim.name)
        if claim.status == Status.ALIVE:
            self.deadlines.cancel(claim.name)
        elif claim.status == Status.SUSPECT:
            self.counts.suspected += 1
            self.suspicions[claim.name] = suspicion = self.suspicion(now)
            self.deadlines.set(claim.name, suspicion.deadline())
        else:
            self.deadlines.set(claim.name, now + self.timing.forget_after)

    def suspicion(self, now: int) -> Suspicion:
        """Returns a suspicion that begins now, with durations for the present size of the group."""
        maximum = int(self.timing.suspect_factor * self.scale() * self.timing.period)
        minimum = max(
            int(maximum * self.timing.suspect_min_share), self.timing.suspect_min_periods * self.timing.period
        )
        others = len(self.view.living) - 1  # that could confirm it: all but the suspect and the first accuser
        return Suspicion(now, maximum, minimum, min(self.timing.confirmations, others))

    def suspect(self, now: int, name: str) -> None:
        """Suspects a member that this instance's own probe has not reached."""
        member = self.members.get(name)
        if member is None or member.gone:
            return
        known = member.claim
        claim = Claim(name, known.address, Status.SUSPECT, known.incarnation)
        self.accept(now, claim)
        self.accuse(now, claim, (self.me.name,))

    def accuse(self, now: int, claim: Claim, accusers: Sequence[str]) -> None:
        """Adds members that support a suspicion; the more there are, the sooner it ends."""
        suspicion = self.suspicions.get(claim.name)
        if suspicion is None or self.members[claim.name].claim.incarnation != claim.incarnation:
            return
        if suspicion.accuse(accusers):
            self.deadlines.set(claim.name, suspicion.deadline())
            self.accusations.add(claim.name)

    def accusations_for(self, to: Address) -> list[OutgoingMessage]:
        """Returns a message with the suspicions that are still to be disseminated, if there are any."""
        accusations: list[Accusation] = []
        remaining_bytes = claim_capacity(self.me.name)
        max_transmissions = ceil(self.timing.spread_factor * self.scale())
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
        return [AddressedMessage(to, Accusations(self.me.name, tuple(accusations)))]

    def leave(self) -> list[OutgoingMessage]:
        """Announces to a few members, which inform the others, that this instance leaves.

        After this it neither sends nor receives anything.
        """
        self.me = Claim(self.me.name, self.me.address, Status.LEFT, self.me.incarnation)
        living = self.view.living
        chosen = self.rng.sample(living, min(self.timing.indirect_probes + 2, len(living)))
        return [self.send(self.members[n].claim.address, Kind.PING, 0) for n in chosen]
