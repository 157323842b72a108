"""An asker: wants duties, holds them by a majority's promise, renews them, gives them back.

It asks one voter first, the same for all askers of a duty while that one answers, so that two that ask at the
same instant meet there and not half-way; safety rests on the majority alone. What it holds counts from the
question and not from the answer, since a promise is at least as young as its question is old. Sources as in
`voter.py`.

Times are microseconds of this process's monotonic clock; `wall` gives milliseconds of Unix time, carried
on from the process's start by the monotonic clock, for numbers that rise even where all voters have
forgotten.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from balancer.fleet.leases.messages import DutyKind, DutyMessage, Reason
from balancer.fleet.leases.settings import DutySettings, Electorate, counted
from balancer.fleet.leases.voter import Out

Tell = Callable[[str, str, int], None]


def untold(what: str, duty: str, token: int) -> None:
    """Where nobody wants to know."""


class Stage(Enum):
    """Where a wanted duty stands."""

    WAITS = "waits"  # until `at`
    FIRST = "asks one"
    ALL = "asks all"
    HELD = "held"


@dataclass
class Wanted:
    """One duty that this process wants."""

    duty: str
    lease: int
    stage: Stage = Stage.WAITS
    at: int = 0  # when something is due
    seq: int = 0  # of the round; answers to others do not count
    asked_at: int = 0  # when the round's first question went out
    number: int = 0
    seen: int = 0  # the highest number heard of
    until: int = 0  # held so long
    first: int = 0  # place of the voter that is asked first
    fails: int = 0
    elsewhere: int = 0  # until when a voter said that another holds it
    granted: set[str] = field(default_factory=set)
    denied: set[str] = field(default_factory=set)


class Asker:
    """All duties of one process. `lists`: while the voters are being changed, the list before and the one to
    come; each must agree."""

    def __init__(
        self,
        name: str,
        life: int,
        lists: Sequence[Electorate],
        settings: DutySettings,
        rng: Random,
        wall: Callable[[], int],
        tell: Tell = untold,
    ) -> None:
        if not lists:
            raise ValueError("no voters: nobody could grant a duty")
        self.name = name
        self.life = life
        self.lists = list(lists)
        self.voters = sorted({v for e in lists for v in e.voters})  # in one order everywhere
        self.settings = settings
        self.rng = rng
        self.wall = wall
        self.tell = tell
        self.wanted: dict[str, Wanted] = {}
        self.seq = rng.getrandbits(24)
        self.seen: dict[str, int] = {}  # numbers of duties that are not wanted any more
        self.counts: Counter[str] = Counter()

    # ---- what the process says and asks -----------------------------------------------------------------

    def want(self, now: int, duty: str, lease: int = 0) -> None:
        """Asks for a duty from now on, and holds it as long as it can. `lease`: another than is usual, no
        longer than voters promise: one that is seldom in a hurry is renewed less often."""
        if duty not in self.wanted:
            lease, seen = lease or self.settings.lease, self.seen.pop(duty, 0)
            self.wanted[duty] = Wanted(duty, lease, at=now, seen=seen, first=place(duty))

    def drop(self, now: int, duty: str) -> Out:
        """Gives a duty back, or stops asking. It is not held from here on."""
        w = self.abandon(duty)
        if w is None:
            return []
        if w.stage == Stage.HELD:
            self.tell("released", duty, w.number)
        return self.give_back(w) if w.stage != Stage.WAITS else []

    def abandon(self, duty: str) -> Wanted | None:
        """Stops asking and renewing, and leaves what was promised to lapse. How the duty stood, if it was
        wanted."""
        w = self.wanted.pop(duty, None)
        if w is not None:
            self.seen[duty] = max(w.seen, w.number)
        return w

    def drop_all(self, now: int) -> Out:
        """A planned end: all is given back."""
        return [sent for duty in list(self.wanted) for sent in self.drop(now, duty)]

    def holding(self, now: int, duty: str) -> int | None:
        """The token of a duty that this process holds now. It is asked for right before each act, and goes
        with the act: a pause may fall between the two, and whoever receives the act refuses an old one."""
        w = self.wanted.get(duty)
        return w.number if w is not None and w.stage == Stage.HELD and now < w.until else None

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self) -> int | None:
        """When to `tick` next."""
        return min((self.due(w) for w in self.wanted.values()), default=None)

    def due(self, w: Wanted) -> int:
        return min(w.at, w.until) if w.stage == Stage.HELD else w.at

    def tick(self, now: int) -> Out:
        """Does what is due."""
        out: Out = []
        for w in list(self.wanted.values()):
            if w.stage == Stage.HELD and now >= w.until:
                self.lose(now, w)
            if now < w.at:
                continue
            if w.stage == Stage.WAITS:
                out += self.ask_first(now, w)
            elif w.stage == Stage.FIRST:  # no answer
                out += self.ask_next(now, w)
            elif w.stage == Stage.ALL:
                out += self.fail(now, w)
            elif w.stage == Stage.HELD:
                out += self.renew(now, w)
        return out

    def lose(self, now: int, w: Wanted) -> None:
        """Its time ran out with no majority's word."""
        self.tell("lost", w.duty, w.number)
        w.stage = Stage.WAITS
        w.seen = max(w.seen, w.number)
        w.at = now + int(self.settings.jitter * self.rng.random())

    # ---- rounds -----------------------------------------------------------------------------------------

    def begin(self, now: int, w: Wanted) -> None:
        self.seq += 1
        w.seq, w.asked_at = self.seq, now
        w.granted, w.denied = set(), set()

    def next_number(self, w: Wanted) -> int:
        """Above all that was heard of, and above what may have been forgotten."""
        return max(w.seen + 1, self.wall())

    def ask_first(self, now: int, w: Wanted) -> Out:
        self.begin(now, w)
        w.number = self.next_number(w)
        w.stage, w.at = Stage.FIRST, now + self.settings.answer_within
        return self.ask(w, [self.voters[w.first % len(self.voters)]])

    def ask_next(self, now: int, w: Wanted) -> Out:
        """The one that was asked first is silent or cannot vote: the next, until all have been tried."""
        w.first += 1
        if w.first % len(self.voters) == place(w.duty) % len(self.voters):
            return self.fail(now, w)
        return self.ask_first(now, w)

    def ask_all(self, now: int, w: Wanted) -> Out:
        w.stage, w.at = Stage.ALL, now + self.settings.answer_within
        return self.ask(w, [v for v in self.voters if v not in w.granted])

    def renew(self, now: int, w: Wanted) -> Out:
        """The same number, in a round of its own; missed, it is tried again until the time is out."""
        self.begin(now, w)
        w.at = now + w.lease // 6
        return self.ask(w, self.voters)

    def ask(self, w: Wanted, voters: list[str]) -> Out:
        """A question to each, for each of the lists that it votes in."""
        return [
            (
                v,
                DutyMessage(
                    DutyKind.ASK,
                    self.name,
                    self.life,
                    w.duty,
                    w.seq,
                    w.number,
                    e.digest,
                    w.lease,
                ),
            )
            for v in voters
            for e in self.lists
            if v in e.voters
        ]

    def fail(self, now: int, w: Wanted) -> Out:
        """A round that came to nothing: what was granted is given back, and the next one waits a while."""
        out = self.give_back(w)
        w.stage = Stage.WAITS
        w.first = place(w.duty)
        w.seen = max(w.seen, w.number)
        most = min(self.settings.backoff << min(w.fails, 8), self.settings.backoff_most)
        w.fails += 1
        w.at = now + int(most * (0.5 + self.rng.random()))
        self.counts["failed"] += 1
        return out

    def give_back(self, w: Wanted) -> Out:
        message = DutyMessage(DutyKind.RELEASE, self.name, self.life, w.duty, w.seq, w.number)
        return [(v, message) for v in self.voters]

    # ---- answers ----------------------------------------------------------------------------------------

    def received(self, now: int, m: DutyMessage) -> Out:
        """Takes in a voter's answer."""
        w = self.wanted.get(m.duty)
        if w is None:
            return []
        if m.kind == DutyKind.FREE:
            w.seen = max(w.seen, m.number)
            if w.stage == Stage.WAITS:
                w.at = now
                return self.tick(now)
            return []
        if m.seq != w.seq or w.stage == Stage.WAITS:
            return []
        if m.kind == DutyKind.GRANT and m.number == w.number:
            return self.was_granted(now, w, m.sender)
        if m.kind == DutyKind.DENY:
            return self.was_denied(now, w, m)
        return []

    def was_granted(self, now: int, w: Wanted, voter: str) -> Out:
        w.granted.add(voter)
        if w.stage == Stage.FIRST:
            out = self.ask_all(now, w)
            return out if out else self.decide(now, w)
        return self.decide(now, w)

    def enough(self, w: Wanted) -> bool:
        """A majority of each whole list."""
        return all(e.agrees(w.granted) for e in self.lists)

    def counted_from(self, w: Wanted, now: int) -> int:
        """The promise is at least as young as this."""
        return w.asked_at

    def decide(self, now: int, w: Wanted) -> Out:
        until = self.counted_from(w, now) + counted(w.lease)
        if not self.enough(w) or until <= now:
            return []
        fresh = w.stage != Stage.HELD
        w.stage, w.until = Stage.HELD, max(until, w.until if not fresh else 0)
        w.at = max(now, w.asked_at + w.lease // 3)
        w.fails = 0
        if fresh:
            self.tell("held", w.duty, w.number)
        return []

    def was_denied(self, now: int, w: Wanted, m: DutyMessage) -> Out:
        w.seen = max(w.seen, m.number)
        if m.reason != Reason.ELECTORATE or m.sender not in w.granted:
            w.denied.add(m.sender)
        self.counts[f"denied_{m.reason.name.lower()}"] += 1
        if w.stage == Stage.FIRST:
            if m.reason in (Reason.ABSTAINS, Reason.ELECTORATE):
                return self.ask_next(now, w)
            w.stage = Stage.WAITS
            held = m.reason == Reason.HELD
            wait = min(m.wait, self.settings.longest) if held else self.settings.backoff
            if held:
                w.elsewhere = now + wait
            w.at = now + wait + int(self.settings.jitter * self.rng.random())
            return []
        if w.stage == Stage.ALL and not self.possible(w):
            return self.fail(now, w)
        return []

    def possible(self, w: Wanted) -> bool:
        """Whether those that have not denied could still be a majority."""
        return all(e.agrees(set(e.voters) - (w.denied - w.granted)) for e in self.lists)


def place(duty: str) -> int:
    """Where among the voters a duty is asked for first: spread over them, the same at every asker."""
    return hashlib.blake2b(duty.encode(errors="surrogatepass"), digest_size=2).digest()[0]
