"""Duties as a small model, explored to its end: `python -m workbench.explore.lease_model --help`.

Three voters, two askers, one restart of any of them, on a clock that goes in steps of half a lease. The
program's own asker and voter take messages in waves: all that have been sent come before any answer to them,
those to one process in every order. So often as the bounds allow, a message is lost, comes a wave later or a
step later, an asker sleeps over a step, a process is restarted; where and when is tried in every way. States
that were met before are not gone into again, so the exploration ends.

Sources: Lamport, "Specifying Systems" (2002), chapter 14, on explicit-state checking, here with the program's
transitions in a specification's place; Emmi, Qadeer and Rakamaric, "Delay-Bounded Scheduling" (POPL 2011),
for a deterministic order from which so many departures are tried.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations, permutations, product
from random import Random
from time import process_time
from typing import Any, NamedTuple

import click

from balancer.fleet.leases.client import Asker, Stage, Wanted
from balancer.fleet.leases.messages import DutyMessage
from balancer.fleet.leases.settings import DutySettings, Electorate
from balancer.fleet.leases.voter import Slot, Voter
from workbench.explore.leases import MUTANTS

STEP = 1_000_000
LEASE = 2 * STEP
SETTINGS = DutySettings(
    lease=LEASE, longest=LEASE, answer_within=STEP, jitter=0, backoff=STEP, backoff_most=STEP,
    recall_every=STEP, spacing=0,
)  # fmt: skip
DUTY = "d"
VOTERS = ("v0", "v1", "v2")
ASKERS = ("x", "y")
LIST = Electorate(VOTERS)
START = 100 * STEP


class Even(Random):
    """Draws nothing: the model has every order instead."""

    def random(self) -> float:
        return 0.0

    def getrandbits(self, k: int) -> int:
        return 0


EVEN = Even(0)


class VoterState(NamedTuple):
    life: int
    slot: tuple[Any, ...] | None
    floor: int
    abstain_until: int
    recalled: tuple[tuple[str, int], ...]
    next_recall: int


class AskerState(NamedTuple):
    life: int
    seq: int
    wanted: tuple[Any, ...]


Letter = tuple[str, DutyMessage]
Taken = tuple[Any, frozenset[Letter], tuple[int, ...]]  # a process after it, what it sent, tokens taken up


class State(NamedTuple):
    """All there is. `upsets`, `sleeps` and `restarts` are what may still happen."""

    voters: tuple[VoterState, ...]
    askers: tuple[AskerState, ...]
    sent: frozenset[Letter]  # come with the next wave...
    later: frozenset[Letter]  # ...or with the next step's first
    deaf: str  # who takes nothing in this step
    upsets: int
    sleeps: int
    restarts: int
    highest: int
    forgot: bool  # a voter votes again that has not heard from enough others


@dataclass(frozen=True)
class Bounds:
    """Of the model: `steps` of the clock, and how often what goes wrong may. An upset is a message that is
    lost or comes later."""

    steps: int = 8
    upsets: int = 1
    sleeps: int = 1
    restarts: int = 1


@dataclass
class Found:
    """What the exploration met."""

    states: int = 0
    waves: int = 0
    holders: int = 0  # times that an asker came to hold the duty
    hand_overs: int = 0  # ...another than the one before
    layers: tuple[int, ...] = ()
    broken: str = ""


class Model:
    """The transitions. `kind`: the program's asker and voter, or ones that are broken on purpose."""

    def __init__(self, mutant: str, bounds: Bounds) -> None:
        self.asker_kind, self.voter_kind = MUTANTS[mutant]
        self.bounds = bounds
        self.found = Found()
        self.held: list[int] = []  # tokens that were taken up in the transition at hand
        self.known: dict[Any, list[Taken]] = {}  # what messages do to a process, worked out once

    # ---- the program's objects and their states ---------------------------------------------------------

    def voter(self, name: str, s: VoterState) -> Voter:
        v = self.voter_kind(name, s.life, [LIST], SETTINGS, 0)
        v.floor, v.abstain_until, v.next_recall = s.floor, s.abstain_until, s.next_recall
        v.recalled = dict(s.recalled)
        if s.slot is not None:
            number, released, holder, until, waiters = s.slot
            v.slots[DUTY] = Slot(number, released, holder, until, dict(waiters))
        return v

    def voter_state(self, now: int, v: Voter) -> VoterState:
        slot = v.slots.get(DUTY)
        held = None
        if slot is not None:
            until = slot.until if slot.until > now else 0
            holder = slot.holder if until or slot.number > slot.released else ("", 0)
            held = (slot.number, slot.released, holder, until, tuple(sorted(slot.waiters.items())))
        abstain = v.abstain_until if v.abstain_until > now else 0
        due = v.next_recall if v.deadline() is not None else 0
        return VoterState(v.life, held, v.floor, abstain, tuple(sorted(v.recalled.items())), due)

    def asker(self, name: str, s: AskerState) -> Asker:
        tell = lambda what, duty, token: self.held.append(token) if what == "held" else None  # noqa: E731
        a = self.asker_kind(name, s.life, [LIST], SETTINGS, EVEN, lambda: 1, tell)
        a.seq = s.seq
        stage, at, seq, asked_at, number, seen, until, first, granted, denied = s.wanted
        a.wanted[DUTY] = Wanted(
            DUTY, LEASE, stage, at, seq, asked_at, number, seen, until, first, 0, 0, set(granted), set(denied)
        )  # fmt: skip
        return a

    def asker_state(self, a: Asker) -> AskerState:
        """What does not matter in a stage is left out, so that states which do the same are the same."""
        w = a.wanted[DUTY]
        if w.stage == Stage.WAITS:
            return AskerState(a.life, a.seq, (w.stage, w.at, 0, 0, 0, w.seen, 0, w.first, (), ()))
        until = w.until if w.stage == Stage.HELD else 0
        denied = tuple(sorted(w.denied)) if w.stage == Stage.ALL else ()
        round_ = (w.stage, w.at, w.seq, w.asked_at, w.number, w.seen, until, w.first)
        return AskerState(a.life, a.seq, (*round_, tuple(sorted(w.granted)), denied))

    # ---- transitions ------------------------------------------------------------------------------------

    def first(self) -> State:
        """Voters that have stood for long, and two that begin to want."""
        voter = VoterState(1, None, 0, 0, tuple((v, 0) for v in VOTERS), 0)
        wanted = (Stage.WAITS, START, 0, 0, 0, 0, 0, 0, (), ())
        b = self.bounds
        askers = tuple(AskerState(1, 0, wanted) for _ in ASKERS)
        none: frozenset[Letter] = frozenset()
        return State((voter,) * 3, askers, none, none, "", b.upsets, b.sleeps, b.restarts, 0, False)

    def wave(self, now: int, s: State) -> Iterator[State]:
        """All that was sent comes, but for what is lost or late; to each process in every order."""
        if s.deaf:
            waits = frozenset(x for x in s.sent if x[0] == s.deaf)
            s = s._replace(sent=s.sent - waits, later=s.later | waits)
        for count in range(min(s.upsets, len(s.sent)) + 1):
            for upset in combinations(sorted(s.sent, key=repr), count):
                for fates in product(("lost", "wave", "step"), repeat=count):
                    later = {x for x, fate in zip(upset, fates, strict=True) if fate == "step"}
                    stay = {x for x, fate in zip(upset, fates, strict=True) if fate == "wave"}
                    base = s._replace(later=s.later | later, upsets=s.upsets - count)
                    yield from self.taken(now, base, s.sent - set(upset), frozenset(stay))

    def taken(self, now: int, s: State, come: frozenset[Letter], stay: frozenset[Letter]) -> Iterator[State]:
        """The states after these messages: what each process may be, in every combination."""
        names = [n for n in (*VOTERS, *ASKERS) if any(to == n for to, _ in come)]
        ways = [self.ways(now, s, n, frozenset(x for x in come if x[0] == n)) for n in names]
        for way in product(*ways):
            voters, askers, sent = list(s.voters), list(s.askers), set(stay)
            highest = s.highest
            for name, (state, out, held) in zip(names, way, strict=True):
                if name in VOTERS:
                    voters[VOTERS.index(name)] = state
                else:
                    askers[ASKERS.index(name)] = state
                sent |= out
                for token in held:
                    highest = self.took_up(token, highest, s.forgot)
            yield s._replace(
                voters=tuple(voters), askers=tuple(askers), sent=frozenset(sent), highest=highest
            )

    def ways(self, now: int, s: State, name: str, come: frozenset[Letter]) -> list[Taken]:
        """What a process may be after these messages, by their order."""
        state: Any = s.voters[VOTERS.index(name)] if name in VOTERS else s.askers[ASKERS.index(name)]
        key = (now, name, state, come)
        if key not in self.known:
            orders = permutations(sorted(come, key=repr))
            self.known[key] = list({self.one_way(now, name, state, order) for order in orders})
        return self.known[key]

    def one_way(self, now: int, name: str, state: Any, order: tuple[Letter, ...]) -> Taken:
        sent: set[Letter] = set()
        self.held.clear()
        part: Any = self.voter(name, state) if name in VOTERS else self.asker(name, state)
        for _, message in order:
            sent |= self.useful(part.received(now, message))
        after = self.voter_state(now, part) if name in VOTERS else self.asker_state(part)
        return after, frozenset(sent), tuple(self.held)

    def took_up(self, token: int, highest: int, forgot: bool) -> int:
        """An asker has come to hold the duty; the highest token then."""
        self.found.holders += 1
        self.found.hand_overs += highest > 0
        if token <= highest and not forgot:
            self.found.broken = self.found.broken or f"token {token} after {highest}"
        return max(token, highest)

    def useful(self, out: list[tuple[str, DutyMessage]]) -> set[tuple[str, DutyMessage]]:
        return {(to, m) for to, m in out if to in VOTERS or to in ASKERS}

    def look(self, now: int, s: State) -> None:
        """No two hold the duty at this instant."""
        holding = [
            self.asker(n, a).holding(now, DUTY) is not None for n, a in zip(ASKERS, s.askers, strict=True)
        ]
        if all(holding):
            self.found.broken = self.found.broken or "both askers hold the duty"

    def advance(self, now: int, s: State) -> Iterator[State]:
        """The clock has gone on by a step: what was late comes, somebody may sleep on or be restarted."""
        base = s._replace(sent=s.later, later=frozenset(), deaf="")
        yield self.woken(now, base, None)
        if s.sleeps:
            for sleeper, name in enumerate(ASKERS):
                for deaf in ("", name):  # what has come is taken before what is due, or not yet
                    yield self.woken(now, base._replace(sleeps=s.sleeps - 1, deaf=deaf), sleeper)
        if s.restarts:
            for name in (*VOTERS, *ASKERS):
                yield self.woken(now, self.restarted(now, base, name), None)

    def restarted(self, now: int, s: State, name: str) -> State:
        """A process comes back from nothing; what was on its way to it still is."""
        s = s._replace(restarts=s.restarts - 1)
        if name in VOTERS:
            i = VOTERS.index(name)
            fresh = self.voter_state(now, self.voter_kind(name, 2, [LIST], SETTINGS, now))
            return s._replace(voters=(*s.voters[:i], fresh, *s.voters[i + 1 :]))
        i = ASKERS.index(name)
        wanted = (Stage.WAITS, now, 0, 0, 0, 0, 0, 0, (), ())
        return s._replace(askers=(*s.askers[:i], AskerState(2, 0, wanted), *s.askers[i + 1 :]))

    def woken(self, now: int, s: State, sleeper: int | None) -> State:
        """All do what is due now."""
        sent = set(s.sent)
        voters, askers = [], []
        forgot = s.forgot
        for name, state in zip(VOTERS, s.voters, strict=True):
            v = self.voter(name, state)
            sent |= self.useful(v.tick(now))
            forgot = forgot or not (v.abstains(now) or v.recovered())
            voters.append(self.voter_state(now, v))
        for i, (name, asker_state) in enumerate(zip(ASKERS, s.askers, strict=True)):
            if i == sleeper:
                askers.append(asker_state)
                continue
            a = self.asker(name, asker_state)
            sent |= self.useful(a.tick(now))
            askers.append(self.asker_state(a))
        return s._replace(voters=tuple(voters), askers=tuple(askers), sent=frozenset(sent), forgot=forgot)

    # ---- the exploration --------------------------------------------------------------------------------

    def explore(self, most: int) -> Found:
        """All states up to the last step, or up to the first broken rule. `most`: states at which it is given
        up; `broken` then says so."""
        found = self.found
        now = START
        layer = {self.woken(now, self.first(), None)}
        sizes = []
        for _ in range(self.bounds.steps):
            ended = self.step(now, layer, most)
            sizes.append(len(ended))
            if found.broken:
                break
            now += STEP
            self.known.clear()
            layer = {n for s in ended for n in self.advance(now, s)}
        found.layers = tuple(sizes)
        return found

    def step(self, now: int, layer: set[State], most: int) -> set[State]:
        """The states in which nothing is on its way any more."""
        met, todo, ended = set(layer), list(layer), set()
        while todo and not self.found.broken:
            s = todo.pop()
            self.look(now, s)
            if not s.sent:
                ended.add(s)
                continue
            self.found.waves += 1
            for after in self.wave(now, s):
                if after not in met:
                    met.add(after)
                    todo.append(after)
            if self.found.states + len(met) > most:
                self.found.broken = self.found.broken or f"given up at {most} states"
        self.found.states += len(met)
        return ended


@click.command()
@click.option("--steps", type=click.IntRange(1), default=8, help="Of half a lease each.")
@click.option("--upsets", type=click.IntRange(0), default=1, help="Messages that are lost or come later.")
@click.option("--sleeps", type=click.IntRange(0), default=1, help="Steps that an asker sleeps over.")
@click.option("--restarts", type=click.IntRange(0), default=1, help="Processes that come back from nothing.")
@click.option("--mutant", type=click.Choice(list(MUTANTS)), default="none")
@click.option("--most", type=int, default=20_000_000, help="States at which it is given up.")
def main(steps: int, upsets: int, sleeps: int, restarts: int, mutant: str, most: int) -> None:
    """Explore the model to its end. Exits 1 where a rule is broken, or where it was given up."""
    begun = process_time()
    found = Model(mutant, Bounds(steps, upsets, sleeps, restarts)).explore(most)
    click.echo(
        f"{found.states} states, {found.waves} waves, {found.holders} times held, "
        f"{found.hand_overs} of them after another, {process_time() - begun:.0f} s, by steps {found.layers}: "
        + (found.broken or "kept")
    )
    sys.exit(1 if found.broken else 0)


if __name__ == "__main__":
    main()
