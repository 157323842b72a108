"""Who is alive: SWIM with suspicion and incarnation numbers, as a state machine that is handed time and
messages.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002); anti-entropy, so that a partition heals, is common practice on top of it. Each period a
member is pinged, all in a shuffled round; where no ack comes, it is pinged again, and a few others are asked
to ping it; where none brings an ack by the period's end it is suspected, and dead once nobody, above all not
itself, has refuted that in time. Updates ride on pings and acks, each as often as some times the logarithm of
the group's size. Times are integer microseconds.

No operation walks all members in calm: deadlines are in a heap (`timers.py`), updates in buckets
(`dissemination.py`), members in sorted lists (`view.py`); views are compared by digests (`anti_entropy.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from math import ceil
from random import Random

from balancer.fleet.membership.anti_entropy import AntiEntropy
from balancer.fleet.membership.claims import Address, Claim, Status, overrides
from balancer.fleet.membership.counts import Counts
from balancer.fleet.membership.dissemination import Dissemination
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


FULL_VIEW_KINDS = (Kind.SYNC_ACK, Kind.PAGE)  # kinds that carry what the sender holds, new or not


@dataclass
class Probe:
    """The ping of this period."""

    target: str
    seq: int
    retry_at: int
    retries: int = 0
    acked: bool = False


@dataclass
class Relay:
    """A ping on another's behalf: whom its ack goes to."""

    to: Address
    seq: int
    until: int


def ignore_change(what: str, claim: Claim) -> None:
    """The default subscriber: ignores the change."""


class Swim:
    """One instance's part in the group. Every call may return datagrams to send; `due` says when to `tick`
    next.

    `incarnation` should be higher than that of the instance's last life: its start in Unix time serves. If
    it is not, the instance goes above it as soon as anyone tells it of that life.
    `seeds` are the configured peers, asked for the whole state at the start and again as long as they are
    not known alive. `publish` is called at each change of what is held true: what it is ("join", "alive",
    "suspect", "dead", "left", "refuted", "forgotten") and the claim. `first_seq`: where the `seq` of pings
    begins; acks that come back are proof of liveness if nobody foresees it.
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
        publish: Callable[[str, Claim], None] = ignore_change,
        first_seq: int | None = None,
    ) -> None:
        self.publish = publish
        self.rng = rng
        self.timing = timing or Timing()
        self.counts = Counts()
        self.view = View(Claim(name, address, Status.ALIVE, incarnation))
        self.round: list[str] = []
        self.probe: Probe | None = None
        self.next_period = now + int(self.timing.period * rng.random())
        self.seq = rng.getrandbits(24) if first_seq is None else first_seq
        self.relays: dict[int, Relay] = {}  # by the seq of our ping
        self.updates = Dissemination()
        self.accusations = Dissemination()
        self.suspicions: dict[str, Suspicion] = {}
        self.deadlines = Deadlines()  # suspicions' ends, and when the gone are forgotten
        self.anti_entropy = AntiEntropy(self.view, seeds, rng, now, self.timing, self.counts)

    # ---- what is known -------------------------------------------------------------------------------

    @property
    def me(self) -> Claim:
        """This instance's claim about itself."""
        return self.view.me

    @me.setter
    def me(self, claim: Claim) -> None:
        self.view.me = claim

    @property
    def members(self) -> dict[str, Member]:
        """The other members, by name; to be read only."""
        return self.view.members

    @property
    def seeds(self) -> list[Address]:
        """The configured peers, without this instance."""
        return self.anti_entropy.seeds

    def alive(self) -> list[str]:
        """The other members held alive or suspect, by name."""
        return self.view.living.copy()

    def status(self, name: str) -> Status | None:
        """What is held true of a member; None of one never heard of or forgotten."""
        if name == self.me.name:
            return self.me.status
        member = self.members.get(name)
        return member.claim.status if member else None

    def scale(self) -> int:
        """The logarithm, to base 2 and rounded up, that suspicion and spread go by."""
        return max(1, (len(self.members) + 1).bit_length())

    # ---- time ----------------------------------------------------------------------------------------

    def due(self) -> int:
        """When something is to be done next."""
        due = min(self.next_period, self.anti_entropy.due())
        if self.probe is not None and self.may_retry(self.probe):
            due = min(due, self.probe.retry_at)
        deadline = self.deadlines.next()
        return due if deadline is None else min(due, deadline)

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Does what is due. A clock that has leapt ahead makes one period late, not many at once."""
        if self.me.status != Status.ALIVE:
            return []
        out: list[OutgoingMessage] = []
        for name in self.deadlines.pop_due(now):
            self.expire(now, name)
        probe = self.probe
        if probe is not None and self.may_retry(probe) and now >= probe.retry_at:
            out += self.retry(now, probe)
        if now >= self.next_period:
            out += self.begin_period(now)
        return out + self.anti_entropy.tick(now)

    def expire(self, now: int, name: str) -> None:
        """A suspicion has not been refuted in time, or a gone member was kept long enough."""
        claim = self.members[name].claim
        if claim.status == Status.SUSPECT:
            self.counts.died += 1
            self.accept(now, Claim(name, claim.address, Status.DEAD, claim.incarnation))
            return
        self.view.forget(name)
        self.updates.remove(name)
        self.publish("forgotten", claim)

    def begin_period(self, now: int) -> list[OutgoingMessage]:
        probe, self.probe = self.probe, None
        if probe is not None and not probe.acked:
            self.suspect(now, probe.target)
        self.next_period = max(self.next_period + self.timing.period, now + self.timing.period // 2)
        self.relays = {seq: relay for seq, relay in self.relays.items() if relay.until > now}
        target = self.next_target()
        if target is None:
            return []
        self.seq += 1
        self.probe = Probe(target, self.seq, now + self.timing.ack_timeout)
        to = self.members[target].claim.address
        return [self.send(to, Kind.PING, self.seq, about=target), *self.accusations_for(to)]

    def next_target(self) -> str | None:
        """All members in a shuffled round, so that each is pinged within two rounds."""
        while True:
            if not self.round:
                self.round = self.alive()
                self.rng.shuffle(self.round)
                if not self.round:
                    return None
            name = self.round.pop()
            member = self.members.get(name)
            if member is not None and not member.gone:
                return name

    def may_retry(self, probe: Probe) -> bool:
        return not probe.acked and probe.retries < self.timing.retries

    def retry(self, now: int, probe: Probe) -> list[OutgoingMessage]:
        """No ack yet: the target is pinged again, the first time by others too.

        Failure prevented: where three datagrams in ten are lost, one probe in five fails, and the claims and
        refutations that follow crowd out each other.
        """
        probe.retries += 1
        probe.retry_at = now + self.timing.ack_timeout
        member = self.members.get(probe.target)
        if member is None or member.gone:
            return []
        ping = self.send(member.claim.address, Kind.PING, probe.seq, about=probe.target)
        return [ping] if probe.retries > 1 else [ping, *self.ping_indirectly(probe)]

    def ping_indirectly(self, probe: Probe) -> list[OutgoingMessage]:
        """Some random members are asked to ping the probe's target."""
        living = self.view.living
        drawn = self.rng.sample(living, min(self.timing.indirect_probes + 1, len(living)))
        chosen = [name for name in drawn if name != probe.target][: self.timing.indirect_probes]
        return [
            self.send(self.members[n].claim.address, Kind.PING_REQ, probe.seq, probe.target) for n in chosen
        ]

    # ---- messages ------------------------------------------------------------------------------------

    def receive(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """Takes a message in. `source` is where it came from; an answer goes there."""
        if self.me.status != Status.ALIVE or message.sender == self.me.name:
            return []
        self.counts.received += 1
        if isinstance(message, Accusations) and message.sender not in self.members:
            # Failure prevented: a process of another zone answers a challenge, and its zone's members are
            # taken for this one's.
            return []
        for claim in message.claims:
            known = claim.name in self.members
            self.accept(now, claim)
            if not known and message.kind in FULL_VIEW_KINDS:
                # Failure prevented: after a storm of joins each member passes all of them on for minutes,
                # though the others have them from pages too.
                self.updates.remove(claim.name)
        return [*self.report_newer_incarnation(source, message), *self.answer(now, source, message)]

    def answer(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """What a message asks for, after its claims have been taken in."""
        if isinstance(message, Accusations):
            for accusation in message.accusations:
                self.accuse(now, accusation.claim, accusation.accusers)
        elif not isinstance(message, Message):
            return self.anti_entropy.receive(now, source, message)
        elif message.kind == Kind.PING:
            ack = self.send(source, Kind.ACK, message.seq, about=message.sender)
            return [ack, *self.accusations_for(source)]
        elif message.kind == Kind.PING_REQ:
            return self.relay(now, source, message)
        elif message.kind == Kind.ACK:
            return self.acked(message)
        elif message.kind == Kind.SYNC:
            return self.anti_entropy.receive(now, source, message)
        return []

    def relay(self, now: int, source: Address, message: Message) -> list[OutgoingMessage]:
        """Pings a member on another's behalf."""
        target = self.members.get(message.target)
        if target is None:
            return []
        self.seq += 1
        self.relays[self.seq] = Relay(source, message.seq, now + self.timing.period)
        return [self.send(target.claim.address, Kind.PING, self.seq, about=message.target)]

    def acked(self, message: Message) -> list[OutgoingMessage]:
        probe = self.probe
        if probe is not None and message.seq == probe.seq:
            # Failure prevented: a helper's ack comes under its own name, and nobody else's ack may stand for
            # the target's: the seq is ours alone, and a helper passes on only what the target has acked.
            probe.acked = True
            return []
        relay = self.relays.pop(message.seq, None)
        return [self.send(relay.to, Kind.ACK, relay.seq)] if relay is not None else []

    def send(self, to: Address, kind: Kind, seq: int, target: str = "", about: str = "") -> OutgoingMessage:
        """A message with the updates that have been sent least, and what is held of whom it goes to, if that
        is bad."""
        self.counts.sent += 1
        return OutgoingMessage(to, Message(kind, self.me.name, seq, target, self.piggyback(target, about)))

    def piggyback(self, target: str, about: str) -> tuple[Claim, ...]:
        """The claims that ride on a message: as many as go into its datagram."""
        claims = [self.me]
        member = self.members.get(about)
        if member is not None and member.claim.status != Status.ALIVE:
            claims.append(member.claim)  # it may refute that at once
        room = claim_capacity(self.me.name, target) - sum(map(claim_size, claims))
        maximum = ceil(self.timing.spread_factor * self.scale())
        for name in self.updates.choose(self.timing.claims_per_message - len(claims)):
            claim = self.members[name].claim
            room -= claim_size(claim)
            if room < 0:
                break
            if name != about:
                claims.append(claim)
            self.updates.sent(name, maximum)
        return tuple(claims)

    # ---- claims --------------------------------------------------------------------------------------

    def accept(self, now: int, claim: Claim) -> None:
        """Holds a claim true if it overrides what is held; refutes one about this instance."""
        if claim.name == self.me.name:
            self.refute(claim)
            return
        held = self.members.get(claim.name)
        if held is not None and not overrides(claim, held.claim):
            return
        if held is None and claim.status >= Status.DEAD:
            # Failure prevented: news of a member long forgotten goes round for ever.
            return
        self.view.put(claim, now)
        self.schedule(now, claim)
        self.updates.add(claim.name)
        if held is None or held.claim.status != claim.status:
            self.publish("join" if held is None else claim.status.name.lower(), claim)
        if held is None and self.round:
            self.round.insert(int(self.rng.random() * (len(self.round) + 1)), claim.name)

    def refute(self, claim: Claim) -> None:
        """Overrides a claim that this instance is not alive, or that is of an earlier life.

        An earlier life's claim, be it that it is alive, may have a higher incarnation than this life began
        with: the wall clock was stepped back in between. This life goes just above it, so that the next one
        can go above this.
        """
        earlier_life = claim.incarnation > self.me.incarnation
        if earlier_life or (claim.status != Status.ALIVE and claim.incarnation == self.me.incarnation):
            self.counts.refuted += 1
            self.me = Claim(self.me.name, self.me.address, Status.ALIVE, claim.incarnation + 1)
            self.publish("refuted", claim)

    def report_newer_incarnation(self, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        """What is held of the sender, if that is newer than its message says: it may take a higher
        incarnation at once.

        To a SYNC, which a life begins with, the claim is at least a suspicion: versions before this refute
        only that.
        """
        own = message.claims[0] if message.claims else None
        held = self.members.get(message.sender)
        if own is None or held is None or own.name != message.sender:
            return []
        if own.incarnation >= held.claim.incarnation:
            return []
        self.counts.sent += 1
        told = held.claim
        if message.kind == Kind.SYNC and told.status == Status.ALIVE:
            told = replace(told, status=Status.SUSPECT)
        return [OutgoingMessage(source, Message(Kind.ACK, self.me.name, 0, "", (self.me, told)))]

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
        """One that begins now, in a group of the present size."""
        maximum = int(self.timing.suspect_factor * self.scale() * self.timing.period)
        minimum = max(
            int(maximum * self.timing.suspect_min_share), self.timing.suspect_min_periods * self.timing.period
        )
        others = len(self.view.living) - 1  # who could confirm: all but the suspect and the first accuser
        return Suspicion(now, maximum, minimum, min(self.timing.confirmations, others))

    def suspect(self, now: int, name: str) -> None:
        """This instance's own probe of a member has failed."""
        member = self.members.get(name)
        if member is None or member.gone:
            return
        held = member.claim
        claim = Claim(name, held.address, Status.SUSPECT, held.incarnation)
        self.accept(now, claim)
        self.accuse(now, claim, (self.me.name,))

    def accuse(self, now: int, claim: Claim, accusers: Sequence[str]) -> None:
        """Counts the members that support a suspicion, which ends sooner the more there are."""
        suspicion = self.suspicions.get(claim.name)
        if suspicion is None or self.members[claim.name].claim.incarnation != claim.incarnation:
            return
        if suspicion.accuse(accusers):
            self.deadlines.set(claim.name, suspicion.deadline())
            self.accusations.add(claim.name)

    def accusations_for(self, to: Address) -> list[OutgoingMessage]:
        """The suspicions whose accusers are still to be passed on; none in calm."""
        accusations: list[Accusation] = []
        room = claim_capacity(self.me.name)
        maximum = ceil(self.timing.spread_factor * self.scale())
        for name in self.accusations.choose(self.timing.claims_per_message):
            claim, accusers = self.members[name].claim, tuple(self.suspicions[name].accusers)
            room -= claim_size(claim) + sum(len(a.encode()) + 2 for a in accusers) + 2
            if room < 0:
                break
            accusations.append(Accusation(claim, accusers))
            self.accusations.sent(name, maximum)
        if not accusations:
            return []
        self.counts.sent += 1
        return [OutgoingMessage(to, Accusations(self.me.name, tuple(accusations)))]

    def leave(self) -> list[OutgoingMessage]:
        """SIGTERM: tells a few members, who tell the others. Nothing is sent or heard after this."""
        self.me = Claim(self.me.name, self.me.address, Status.LEFT, self.me.incarnation)
        living = self.view.living
        chosen = self.rng.sample(living, min(self.timing.indirect_probes + 2, len(living)))
        return [self.send(self.members[n].claim.address, Kind.PING, 0) for n in chosen]
