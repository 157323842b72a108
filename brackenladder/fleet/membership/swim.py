"""Who is alive: SWIM with suspicion and incarnation numbers, as a state machine that is handed time and
messages.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002); a full exchange now and then, so that a cut heals, is common practice on top of it.
Each period a member is pinged, all in a shuffled round; where no ack comes, a few others are asked to ping
it; where none of them brings an ack by the period's end it is suspected, and dead once nobody, above all not
itself, has refuted that in time. News rides on pings and acks, each as often as some times the logarithm of
the group's size.

What overrides what: of two claims about a member the one with the higher incarnation holds; of the same
incarnation left over dead over suspect over alive. Only a member itself raises its incarnation. Times are
integer microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import ceil, log2
from random import Random

from brackenladder.fleet.membership.claims import Address, Claim, Status, overrides
from brackenladder.fleet.membership.messages import Kind, Message, Send
from brackenladder.fleet.membership.timing import Timing

__all__ = ["Address", "Claim", "Counts", "Kind", "Member", "Message", "Send", "Status", "Swim", "Timing"]


@dataclass
class Member:
    """What this instance holds true of another."""

    claim: Claim
    since: int  # of its present status
    due: int = 0  # while suspect: when it is dead

    @property
    def gone(self) -> bool:
        return self.claim.status >= Status.DEAD


@dataclass
class Probe:
    """The ping of this period."""

    target: str
    seq: int
    ask_at: int
    asked: bool = False
    acked: bool = False


@dataclass
class Counts:
    """What has happened, for an operator's figures."""

    sent: int = 0
    received: int = 0
    suspected: int = 0
    refuted: int = 0
    died: int = 0


def unpublished(what: str, claim: Claim) -> None:
    """The default subscriber: ignores the change."""


class Swim:
    """One instance's part in the group. Every call may return datagrams to send; `due` says when to `tick`
    next.

    `incarnation` must be higher than that of the instance's last life: its start in Unix seconds serves.
    `seeds` are the configured peers, asked for the whole state at the start and again as long as they are
    not known alive. `publish` is called at each change of what is held true: what it is ("join", "alive",
    "suspect", "dead", "left", "refuted", "forgotten") and the claim.
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
        publish: Callable[[str, Claim], None] = unpublished,
    ) -> None:
        self.publish = publish
        self.me = Claim(name, address, Status.ALIVE, incarnation)
        self.seeds = [s for s in seeds if s != address]
        self.rng = rng
        self.timing = timing or Timing()
        self.members: dict[str, Member] = {}
        self.round: list[str] = []
        self.probe: Probe | None = None
        self.next_period = now + int(self.timing.period * rng.random())
        self.next_sync = now
        self.seq = rng.getrandbits(24)
        self.helping: dict[int, tuple[Address, int, int]] = {}  # our seq: who asked, their seq, until when
        self.news: dict[str, int] = {}  # whose claims still ride along, and how often they have
        self.counts = Counts()

    # ---- what is known -------------------------------------------------------------------------------

    def alive(self) -> list[str]:
        """The other members held alive or suspect, by name."""
        return sorted(n for n, m in self.members.items() if not m.gone)

    def status(self, name: str) -> Status | None:
        """What is held true of a member; None of one never heard of or forgotten."""
        if name == self.me.name:
            return self.me.status
        member = self.members.get(name)
        return member.claim.status if member else None

    def scale(self) -> int:
        """The logarithm that suspicion and spread go by."""
        return max(1, ceil(log2(len(self.members) + 2)))

    # ---- time ----------------------------------------------------------------------------------------

    def due(self) -> int:
        """When something is to be done next."""
        times = [self.next_period, self.next_sync]
        if self.probe is not None and not self.probe.asked and not self.probe.acked:
            times.append(self.probe.ask_at)
        times += [m.due for m in self.members.values() if m.claim.status == Status.SUSPECT]
        return min(times)

    def tick(self, now: int) -> list[Send]:
        """Does what is due. A clock that has leapt ahead makes one period late, not many at once."""
        if self.me.status != Status.ALIVE:
            return []
        out: list[Send] = []
        for name, m in list(self.members.items()):
            if m.claim.status == Status.SUSPECT and now >= m.due:
                self.counts.died += 1
                self.accept(now, Claim(name, m.claim.address, Status.DEAD, m.claim.incarnation))
            elif m.gone and now >= m.since + self.timing.forget_after:
                del self.members[name]
                self.news.pop(name, None)
                self.publish("forgotten", m.claim)
        probe = self.probe
        if probe is not None and not probe.asked and not probe.acked and now >= probe.ask_at:
            probe.asked = True
            out += self.ask_others(probe)
        if now >= self.next_period:
            out += self.begin_period(now)
        if now >= self.next_sync:
            # Failure prevented: all start at once, the seed's port is not open yet, and the group finds
            # itself only at the next exchange.
            alone = bool(self.seeds) and not self.alive()
            wait = self.timing.period if alone else self.timing.sync_every
            self.next_sync = now + int(wait * (0.75 + 0.5 * self.rng.random()))
            out += self.begin_sync()
        return out

    def begin_period(self, now: int) -> list[Send]:
        probe, self.probe = self.probe, None
        if probe is not None and not probe.acked:
            self.suspect(now, probe.target)
        self.next_period = max(self.next_period + self.timing.period, now + self.timing.period // 2)
        self.helping = {seq: h for seq, h in self.helping.items() if h[2] > now}
        target = self.next_target()
        if target is None:
            return []
        self.seq += 1
        self.probe = Probe(target, self.seq, now + self.timing.ack_within)
        return [self.send(self.members[target].claim.address, Kind.PING, self.seq, about=target)]

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

    def ask_others(self, probe: Probe) -> list[Send]:
        others = [n for n in self.alive() if n != probe.target]
        chosen = self.rng.sample(others, min(self.timing.helpers, len(others)))
        return [
            self.send(self.members[n].claim.address, Kind.PING_REQ, probe.seq, probe.target) for n in chosen
        ]

    def begin_sync(self) -> list[Send]:
        """A whole exchange with one member, and with a seed that is not known alive: a cut may have
        healed."""
        known = {m.claim.address for m in self.members.values() if not m.gone}
        targets = [s for s in self.seeds if s not in known]
        if len(targets) > 1 and known:
            targets = [self.rng.choice(targets)]
        names = self.alive()
        if names:
            targets.append(self.members[self.rng.choice(names)].claim.address)
        return [self.send_all(to, Kind.SYNC) for to in targets]

    # ---- messages ------------------------------------------------------------------------------------

    def receive(self, now: int, source: Address, message: Message) -> list[Send]:
        """Takes a message in. `source` is where it came from; an answer goes there."""
        if self.me.status != Status.ALIVE or message.sender == self.me.name:
            return []
        self.counts.received += 1
        out: list[Send] = []
        for claim in message.claims:
            self.accept(now, claim)
        if message.kind == Kind.PING:
            out.append(self.send(source, Kind.ACK, message.seq, about=message.sender))
        elif message.kind == Kind.PING_REQ:
            target = self.members.get(message.target)
            if target is not None:
                self.seq += 1
                self.helping[self.seq] = (source, message.seq, now + self.timing.period)
                out.append(self.send(target.claim.address, Kind.PING, self.seq, about=message.target))
        elif message.kind == Kind.ACK:
            out += self.acked(message)
        elif message.kind == Kind.SYNC:
            out.append(self.send_all(source, Kind.SYNC_ACK))
        return out

    def acked(self, message: Message) -> list[Send]:
        probe = self.probe
        if probe is not None and message.seq == probe.seq:
            # Failure prevented: a helper's ack comes under its own name, and nobody else's ack may stand for
            # the target's: the seq is ours alone, and a helper passes on only what the target has acked.
            probe.acked = True
            return []
        asked = self.helping.pop(message.seq, None)
        if asked is None:
            return []
        to, seq, _ = asked
        return [self.send(to, Kind.ACK, seq)]

    def send(self, to: Address, kind: Kind, seq: int, target: str = "", about: str = "") -> Send:
        """A message with the news that has ridden least, and what is held of whom it goes to, if that is
        bad."""
        self.counts.sent += 1
        return Send(to, Message(kind, self.me.name, seq, target, self.riding(about)))

    def riding(self, about: str) -> tuple[Claim, ...]:
        claims = [self.me]
        member = self.members.get(about)
        if member is not None and member.claim.status != Status.ALIVE:
            claims.append(member.claim)  # it may refute that at once
        most = ceil(self.timing.spread_factor * self.scale())
        for name, times in sorted(self.news.items(), key=lambda item: item[1]):
            if len(claims) >= self.timing.claims_a_message:
                break
            if name != about and name in self.members:
                claims.append(self.members[name].claim)
            if times + 1 >= most:
                del self.news[name]
            else:
                self.news[name] = times + 1
        return tuple(claims)

    def send_all(self, to: Address, kind: Kind) -> Send:
        """As much as a datagram holds, drawn at random where it does not hold all: some exchanges bring the
        rest."""
        self.counts.sent += 1
        claims = [m.claim for _, m in sorted(self.members.items())]
        most = self.timing.claims_a_sync - 1
        if len(claims) > most:
            claims = self.rng.sample(claims, most)
        return Send(to, Message(kind, self.me.name, 0, "", (self.me, *claims)))

    # ---- claims --------------------------------------------------------------------------------------

    def accept(self, now: int, claim: Claim) -> None:
        """Holds a claim true if it overrides what is held; refutes one about this instance."""
        if claim.name == self.me.name:
            if claim.status != Status.ALIVE and claim.incarnation >= self.me.incarnation:
                # Failure prevented: an earlier life's death is told of this one.
                self.counts.refuted += 1
                self.me = Claim(self.me.name, self.me.address, Status.ALIVE, claim.incarnation + 1)
                self.publish("refuted", claim)
            return
        held = self.members.get(claim.name)
        if held is not None and not overrides(claim, held.claim):
            return
        if held is None and claim.status >= Status.DEAD:
            # Failure prevented: news of a member long forgotten goes round for ever.
            return
        due = now + int(self.timing.suspect_factor * self.scale() * self.timing.period)
        if claim.status == Status.SUSPECT:
            self.counts.suspected += 1
        self.members[claim.name] = Member(claim, now, due)
        if held is None or held.claim.status != claim.status:
            self.publish("join" if held is None else claim.status.name.lower(), claim)
        self.news[claim.name] = 0
        if held is None and self.round:
            self.round.insert(int(self.rng.random() * (len(self.round) + 1)), claim.name)

    def suspect(self, now: int, name: str) -> None:
        member = self.members.get(name)
        if member is not None and member.claim.status == Status.ALIVE:
            c = member.claim
            self.accept(now, Claim(name, c.address, Status.SUSPECT, c.incarnation))

    def leave(self) -> list[Send]:
        """SIGTERM: tells a few members, who tell the others. Nothing is sent or heard after this."""
        self.me = Claim(self.me.name, self.me.address, Status.LEFT, self.me.incarnation)
        names = self.alive()
        chosen = self.rng.sample(names, min(self.timing.helpers + 2, len(names)))
        return [self.send(self.members[n].claim.address, Kind.PING, 0) for n in chosen]
