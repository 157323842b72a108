"""Membership by zone, as a state machine that is handed time and messages.

The members of a zone form a SWIM group of their own. The first few of them by rendezvous hashing are the
zone's gateways. A gateway exchanges its zone's summary with one gateway of each other zone now and then;
every member asks a gateway of its zone for what it has that is younger. A gateway that does not answer counts
as silent, and the next member in the order takes its place. Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from balancer.fleet.membership.rate_limit import RateLimit
from balancer.fleet.membership.swim import Address, Claim
from balancer.fleet.zone_membership.gateways import Rendezvous
from balancer.fleet.zone_membership.messages import (
    MAX_GATEWAYS,
    FederationKind,
    FederationMessage,
    Gateway,
    Refresh,
    Summary,
    Version,
    ZoneState,
    batches,
    check_facts,
)
from balancer.fleet.zone_membership.records import Event, Freshness, Records
from balancer.fleet.zone_membership.settings import MAX_GROUP, FederationTiming, ZoneMembershipSettings

Out = list[tuple[Address, FederationMessage]]


class GroupMember(Protocol):
    """What is used of a member."""

    @property
    def claim(self) -> Claim:
        """What it last said of itself, its address above all."""


class Group(Protocol):
    """What is used of the zone's SWIM group."""

    @property
    def me(self) -> Claim:
        """This node."""

    @property
    def members(self) -> Mapping[str, GroupMember]:
        """The others, gone ones included."""

    def alive(self) -> list[str]:
        """The names of the others that are held alive."""


@dataclass(frozen=True)
class PendingAsk:
    """A question to a gateway of the own zone."""

    gateway: str
    seq: int
    due: int  # when it counts as unanswered


def ignore(event: Event) -> None:
    """Where nobody wants to know."""


class Federation:
    """One node's part. Every call may return messages to send; `deadline` says when to `tick` next."""

    def __init__(
        self,
        zone: str,
        region: str,
        group: Group,
        settings: ZoneMembershipSettings,
        timing: FederationTiming,
        rng: Random,
        now: int,
        notify: Callable[[Event], None] = ignore,
    ) -> None:
        self.zone = zone
        self.region = region
        self.group = group
        self.zone_seeds = settings.zone_seeds
        self.timing = timing
        self.rng = rng
        self.notify = notify
        self.records = Records(zone, timing.stale_after, timing.lost_after, notify)
        self.rendezvous = Rendezvous(zone)
        self.counts = self.records.counts
        self.facts: dict[str, str] = {}
        self.is_gateway = False
        self.next_exchange = now + timing.settle + int(timing.exchange_every * rng.random())
        self.next_ask = now + int(timing.answer_within * rng.random())
        self.pending: PendingAsk | None = None
        self.unanswered: dict[str, int] = {}  # asks in a row, by gateway of the own zone
        self.silent: dict[str, int] = {}  # until when, by gateway of the own zone
        self.exchanges_unanswered: dict[str, int] = {}  # in a row, by zone
        self.turn = rng.getrandbits(8)  # which of a zone's gateways is next
        self.seq = rng.getrandbits(24)
        self.counter = 0
        self.own: Summary | None = None
        self.own_made = now
        self.answer_limit = RateLimit(timing.answers_a_second, burst=timing.answers_a_second)

    # ---- facts ----------------------------------------------------------------------------------------

    def set_fact(self, key: str, value: str) -> None:
        """A fact that goes out with this zone's summary while this node is a gateway. ValueError."""
        facts = self.facts | {key: value}
        check_facts(facts.items())
        self.facts = facts
        self.own = None

    # ---- the own zone ---------------------------------------------------------------------------------

    def gateways(self, now: int) -> list[str]:
        """The names that come first of those held alive, this node included, without the silent ones."""
        self.silent = {name: until for name, until in self.silent.items() if until > now}
        names = [*self.group.alive(), self.group.me.name]
        if len(self.rendezvous.scores) > 2 * len(names):
            self.rendezvous.keep_only(names)
        return self.rendezvous.first((n for n in names if n not in self.silent), self.timing.gateways)

    def own_summary(self, now: int) -> Summary:
        """This node's statement on its zone, made anew once the last one has some age."""
        if self.own is None or now - self.own_made >= self.timing.remake_after:
            me = self.group.me
            names = [*self.group.alive(), me.name]
            gateways = tuple(Gateway(n, self.address(n)) for n in self.gateways(now)[:MAX_GATEWAYS])
            digest = self.rendezvous.digest(names)
            facts = tuple(sorted(self.facts.items()))
            state = ZoneState(self.zone, self.region, len(names), digest, gateways, facts)
            self.counter += 1
            self.own = Summary(state, Version(me.name, me.incarnation, self.counter), 0)
            self.own_made = now
        return Summary(self.own.state, self.own.version, now - self.own_made)

    def address(self, name: str) -> Address:
        me = self.group.me
        return me.address if name == me.name else self.group.members[name].claim.address

    # ---- time -----------------------------------------------------------------------------------------

    def deadline(self) -> int:
        """When something is to be done next."""
        ask = self.next_ask if self.pending is None else self.pending.due
        bound = self.records.deadline()
        return min(ask, self.next_exchange, self.next_exchange if bound is None else bound)

    def tick(self, now: int) -> Out:
        """Does what is due."""
        self.records.tick(now)
        out: Out = []
        if self.pending is not None and now >= self.pending.due:
            self.give_up(now, self.pending)
        if self.pending is None and now >= self.next_ask:
            out += self.ask(now)
        if now >= self.next_exchange:
            self.next_exchange = now + self.jittered(self.timing.exchange_every)
            out += self.exchange(now)
        return out

    def jittered(self, interval: int) -> int:
        return int(interval * (0.9 + 0.2 * self.rng.random()))

    # ---- members ask their gateways -------------------------------------------------------------------

    def ask(self, now: int) -> Out:
        """Asks one of the zone's gateways; the one that has not answered last is asked once more."""
        me = self.group.me.name
        gateways = [name for name in self.gateways(now) if name != me]
        if not gateways:
            self.next_ask = now + self.timing.answer_within
            return []
        again = [name for name in gateways if self.unanswered.get(name)]
        gateway = again[0] if again else self.rng.choice(gateways)
        self.seq += 1
        self.pending = PendingAsk(gateway, self.seq, now + self.timing.answer_within)
        return [(self.address(gateway), self.ask_message(now))]

    def ask_message(self, now: int) -> FederationMessage:
        known = self.records.known(now)
        return FederationMessage(
            FederationKind.ZONE_QUERY, self.group.me.name, self.zone, self.seq, known=known
        )

    def give_up(self, now: int, pending: PendingAsk) -> None:
        """No answer came: after some in a row the gateway counts as silent."""
        self.pending = None
        self.next_ask = now
        asks = self.unanswered.get(pending.gateway, 0) + 1
        self.unanswered[pending.gateway] = asks
        if asks >= self.timing.asks_unanswered:
            del self.unanswered[pending.gateway]
            self.silent[pending.gateway] = now + self.timing.silent_for
            self.counts["silent_gateways"] += 1

    def answered(self, now: int, message: FederationMessage) -> None:
        if self.pending is None or message.seq != self.pending.seq:
            return
        self.unanswered.pop(self.pending.gateway, None)
        self.pending = None
        # Failure prevented: a node that starts is told of nothing by one that has started with it, and knows
        # no other zone for a whole interval.
        wait = self.timing.ask_every if self.records.zones else self.timing.answer_within
        self.next_ask = now + self.jittered(wait)

    # ---- gateways exchange with gateways --------------------------------------------------------------

    def exchange(self, now: int) -> Out:
        """A gateway sends its zone's summary to one gateway of each other zone, and asks one for all it has:
        two zones that do not reach each other hear of each other by a third."""
        self.is_gateway = self.group.me.name in self.gateways(now)
        if not self.is_gateway:
            return []
        self.turn += 1
        self.seq += 1
        summaries = (self.own_summary(now),)
        out: Out = []
        for zone in sorted({*self.records.zones, *self.zone_seeds} - {self.zone}):
            to = self.target(zone)
            if to is None:
                continue
            self.exchanges_unanswered[zone] = self.exchanges_unanswered.get(zone, 0) + 1
            message = FederationMessage(
                FederationKind.ZONE_EXCHANGE, self.group.me.name, self.zone, self.seq, summaries
            )
            out.append((to, message))
        if out:
            out.append((self.rng.choice(out)[0], self.ask_message(now)))
        return out

    def target(self, zone: str) -> Address | None:
        """The next gateway of a zone; its seeds too while its gateways are not known or none answers."""
        record = self.records.zones.get(zone)
        addresses = [g.address for g in record.state.gateways] if record is not None else []
        if self.exchanges_unanswered.get(zone, 0) >= len(addresses):
            addresses += [a for a in self.zone_seeds.get(zone, ()) if a not in addresses]
        return addresses[self.turn % len(addresses)] if addresses else None

    # ---- messages -------------------------------------------------------------------------------------

    def received(self, now: int, source: Address, message: FederationMessage) -> Out:
        """Takes a message in. `source` is where it came from; an answer goes there."""
        if message.sender == self.group.me.name:
            return []
        self.silent.pop(message.sender, None)
        if message.zone != self.zone and message.sender in self.group.members:
            self.counts["members_of_other_zones"] += 1  # seeds of one zone's group are of another's
        self.take_in(now, message)
        if message.kind == FederationKind.ZONE_QUERY:
            return self.answer(now, source, message)
        if message.kind == FederationKind.ZONE_EXCHANGE:
            return self.exchange_back(now, source, message)
        if message.kind == FederationKind.ZONE_EXCHANGE_ACK:
            self.exchanges_unanswered.pop(message.zone, None)
        elif message.kind == FederationKind.ZONE_RESPONSE:
            self.answered(now, message)
        return []

    def take_in(self, now: int, message: FederationMessage) -> None:
        for summary in message.summaries:
            self.records.accept(now, summary)
        for refresh in message.refreshes:
            self.records.refresh(now, refresh)

    def exchange_back(self, now: int, source: Address, message: FederationMessage) -> Out:
        """Answers with this zone's summary, gateway or not: the asker learns from it who the gateways are."""
        if message.zone == self.zone or not self.may_answer(now):
            return []
        summaries = (self.own_summary(now),)
        me = self.group.me.name
        return [
            (
                source,
                FederationMessage(FederationKind.ZONE_EXCHANGE_ACK, me, self.zone, message.seq, summaries),
            )
        ]

    def answer(self, now: int, source: Address, message: FederationMessage) -> Out:
        """Answers with what is younger here, and at least with an empty message."""
        if not self.may_answer(now):
            return []
        summaries, refreshes = self.records.younger(now, message.known, self.timing.remake_after)
        summaries = [s for s in summaries if s.state.zone != message.zone]
        refreshes = [r for r in refreshes if r.zone != message.zone]
        if message.zone != self.zone:
            summaries.append(self.own_summary(now))
        answers: list[FederationMessage] = []
        if refreshes or not summaries:
            answers.append(self.answer_message(message, refreshes=tuple(refreshes)))
        for batch in batches(summaries):
            answers.append(self.answer_message(message, summaries=batch))
        return [(source, answer) for answer in answers]

    def answer_message(
        self,
        question: FederationMessage,
        summaries: tuple[Summary, ...] = (),
        refreshes: tuple[Refresh, ...] = (),
    ) -> FederationMessage:
        me = self.group.me.name
        return FederationMessage(
            FederationKind.ZONE_RESPONSE, me, self.zone, question.seq, summaries, refreshes
        )

    def may_answer(self, now: int) -> bool:
        """Whether the answers of this second are not used up.

        Failure prevented: a whole zone that starts at once takes a gateway's processor.
        """
        if self.answer_limit.take(now):
            return True
        self.counts["answers_refused"] += 1
        return False

    # ---- what operators see ---------------------------------------------------------------------------

    def zones_known(self) -> Sequence[str]:
        """The other zones whose summaries are held and not lost."""
        return sorted(z for z, r in self.records.zones.items() if r.freshness != Freshness.LOST)

    def view(self, now: int) -> dict[str, Any]:
        """The page's part: ages in seconds."""
        size = len(self.group.alive()) + 1
        zones = {
            zone: {
                "region": r.state.region,
                "size": r.state.size,
                "age_s": round(r.age(now) / 1e6, 3),
                "state": r.freshness.name.lower(),
                "stale": r.freshness != Freshness.FRESH,
                "gateways": [g.name for g in r.state.gateways],
                "origin": r.version.origin,
                "facts": dict(r.state.facts),
            }
            for zone, r in sorted(self.records.zones.items())
        }
        return {
            "zone": self.zone,
            "size": size,
            "too_large": size > MAX_GROUP,
            "gateway": self.is_gateway,
            "gateways": self.gateways(now),
            "zones": zones,
            "counts": dict(self.counts),
        }
