"""Duties on a virtual network: clocks that drift, processes that pause and come back from nothing, datagrams
that are lost and late, cuts.

What is checked is seen from outside, on true time: no two processes hold a duty at one instant, a token rises
with each holder, and once the faults are over somebody holds it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from balancer.fleet.leases.client import Asker
from balancer.fleet.leases.messages import DutyMessage
from balancer.fleet.leases.settings import DutySettings, Electorate
from balancer.fleet.leases.voter import Out, Voter
from workbench.explore.faults import SEC, Fault, draw_faults
from workbench.simulator.heap import HeapClock

SETTINGS = DutySettings(lease=3 * SEC, longest=3 * SEC)
LENGTH = 45 * SEC
QUIET = 15 * SEC  # at the end no fault begins, and somebody must come to hold the duty
DELAY = 2_000
DUTY = "d"
EPOCH = 1_700_000_000_000  # milliseconds of Unix time at 0

Kinds = tuple[type[Asker], type[Voter]]


class Process:
    """One process over all its lives: a clock of its own, an asker, perhaps a voter."""

    def __init__(self, net: Net, name: str, wants: bool) -> None:
        self.net = net
        self.name = name
        self.wants = wants
        rng = net.rng
        self.rate = 1 + rng.choice((-0.01, 0.01, rng.uniform(-0.01, 0.01)))
        self.offset = rng.randrange(SEC, 10**9)
        self.step = 0  # milliseconds that its wall clock is off
        self.life = 0
        self.up = False
        self.pauses = 0
        self.backlog: deque[Callable[[], None]] = deque()
        self.armed = -1
        self.boot()

    def now(self) -> int:
        return self.offset + int(self.net.clock.now * self.rate)

    def wall(self) -> int:
        return EPOCH + self.net.clock.now // 1000 + self.step

    def boot(self) -> None:
        net = self.net
        self.life += 1
        self.up = True
        self.backlog.clear()
        asker, voter = net.kinds
        seed = net.rng.getrandbits(32)
        self.asker = asker(self.name, self.life, [net.list], SETTINGS, Random(seed), self.wall, self.told)
        lists = [net.list] if self.name in net.list.voters else []
        self.voter = voter(self.name, self.life, lists, SETTINGS, self.now())
        if net.clock.now == 0:
            self.voter.abstain_until = 0  # the group has stood for long as the run begins
            self.voter.recalled = dict.fromkeys(net.list.voters, 0)
        if self.wants:
            self.asker.want(self.now(), DUTY)
            self.act_later()
        self.wake()

    def told(self, what: str, duty: str, token: int) -> None:
        if what == "held":
            self.net.took_over(self, token)

    def kill(self) -> None:
        if (
            self.up
            and self.voter.lists
            and not self.voter.abstains(self.now())
            and not self.voter.recovered()
        ):
            self.net.blank = True
        self.up = False
        self.armed = -1

    def do(self, work: Callable[[], None]) -> None:
        """Now, or once the process runs again."""
        if not self.up:
            return
        if self.pauses:
            self.backlog.append(work)
        else:
            work()

    def resume(self) -> None:
        self.pauses -= 1
        while not self.pauses and self.backlog:
            self.backlog.popleft()()
        if not self.pauses:
            self.wake()

    def wake(self) -> None:
        """Ticks both parts, and comes back when one of them is due."""
        if not self.up or self.pauses:
            return
        now = self.now()
        self.net.carry(self, self.voter.tick(now))
        self.net.carry(self, self.asker.tick(now))
        self.arm()

    def arm(self) -> None:
        dues = [d for d in (self.voter.deadline(), self.asker.deadline()) if d is not None]
        if not dues:
            return
        at = max(self.net.clock.now + 100, int((min(dues) - self.offset) / self.rate) + 1)
        if self.armed < 0 or at < self.armed or self.armed <= self.net.clock.now:
            self.armed = at
            self.net.clock.call_at(at, self.alarm, (self.life, at))

    def alarm(self, what: tuple[int, int]) -> None:
        if what == (self.life, self.armed):
            self.armed = -1
            self.do(self.wake)

    def take(self, message: DutyMessage) -> None:
        self.do(lambda: self.taken(message))

    def taken(self, message: DutyMessage) -> None:
        now = self.now()
        self.net.carry(self, self.voter.received(now, message) + self.asker.received(now, message))
        self.arm()

    # ---- acts -------------------------------------------------------------------------------------------

    def act_later(self) -> None:
        at = self.net.clock.now + int(0.25 * SEC * (0.5 + self.net.acts.random()))
        self.net.clock.call_at(at, self.act, self.life)

    def act(self, life: int) -> None:
        if life == self.life and self.up:
            self.do(self.check)
            self.act_later()

    def check(self) -> None:
        """Looks whether it holds the duty; the act follows a moment later, which a pause may make long."""
        token = self.asker.holding(self.now(), DUTY)
        if token is not None:
            life = self.life
            self.net.clock.call_at(
                self.net.clock.now + self.net.acts.randrange(2_000),
                lambda _: self.do(lambda: self.net.act(self, life, token)),
                None,
            )


@dataclass
class Story:
    """What a run showed."""

    seed: int
    voters: int = 3
    holders: int = 0
    late_acts: int = 0  # refused by their receiver for an old token
    acts: int = 0
    gap: int = 0  # the longest time without a holder, of true time
    messages: int = 0
    broken: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)


class Net:
    """Processes of one run. Without `faults` they are drawn by the seed. `kinds`: the program's two parts, or
    others in their place."""

    def __init__(
        self,
        seed: int,
        kinds: Kinds = (Asker, Voter),
        faults: list[Fault] | None = None,
        voters: int = 0,
        askers: int = 0,
    ) -> None:
        self.clock = HeapClock(0)
        self.kinds = kinds
        self.rng, self.acts = Random(f"duties {seed}"), Random(f"acts {seed}")
        self.wire = Random(f"wire {seed}")
        count = voters or self.rng.choice((3, 3, 5))
        self.list = Electorate(tuple(f"v{i}" for i in range(count)))
        most = askers or self.rng.randint(1, 3)
        names = [*self.list.voters, *(f"a{i}" for i in range(most))]
        self.story = Story(seed, count)
        self.loss = 0.0
        self.late = 0
        self.cuts: list[tuple[set[str], str]] = []
        self.blank = self.stepped = False
        self.highest = 0  # token of a holder
        self.owner: tuple[str, int] = ("", 0)
        self.seen = 0  # token of an act that was taken
        self.since = 0
        self.processes: dict[str, Process] = {}
        for name in names:
            self.processes[name] = Process(
                self, name, name.startswith("a") or (not askers and self.rng.random() < 0.3)
            )
        drawn = draw_faults(Random(f"faults {seed}"), names, LENGTH - QUIET)
        self.story.faults = drawn if faults is None else faults
        for fault in self.story.faults:
            self.clock.call_at(fault.at, self.begin, fault)

    # ---- faults -----------------------------------------------------------------------------------------

    def begin(self, f: Fault) -> None:
        getattr(self, f"begin_{f.type}")(f)

    def end(self, f: Fault, call: Callable[[], None]) -> None:
        self.clock.call_at(f.at + f.length, lambda _: call(), None)

    def chosen(self, f: Fault) -> list[Process]:
        return [self.processes[n] for n in f.who]

    def begin_kill(self, f: Fault) -> None:
        killed = [p for p in self.chosen(f) if p.up]

        def back() -> None:
            for p in killed:
                if not p.up:
                    p.boot()

        for p in killed:
            p.kill()
        self.end(f, back)

    def begin_pause(self, f: Fault) -> None:
        paused = [p for p in self.chosen(f) if p.up]

        def resume() -> None:
            for p in paused:
                p.resume()

        for p in paused:
            p.pauses += 1
        self.end(f, resume)

    def begin_cut(self, f: Fault) -> None:
        cut = (set(f.who), f.way)
        self.cuts.append(cut)
        self.end(f, lambda: self.cuts.remove(cut))

    def begin_loss(self, f: Fault) -> None:
        self.loss = f.amount
        self.end(f, lambda: setattr(self, "loss", 0.0))

    def begin_late(self, f: Fault) -> None:
        self.late = int(f.amount)
        self.end(f, lambda: setattr(self, "late", 0))

    def begin_step(self, f: Fault) -> None:
        self.stepped = True
        for p in self.chosen(f):
            p.step += int(f.amount * 1000)

    def begin_leave(self, f: Fault) -> None:
        """A planned hand-over: who holds it gives it back, and wants it again later."""

        def again() -> None:
            for p in self.chosen(f):
                p.do(partial(self.again, p))

        for p in self.chosen(f):
            p.do(partial(self.give_back, p))
        self.end(f, again)

    def give_back(self, p: Process) -> None:
        self.carry(p, p.asker.drop_all(p.now()))

    def again(self, p: Process) -> None:
        if p.wants:
            p.asker.want(p.now(), DUTY)
            p.wake()

    # ---- messages ---------------------------------------------------------------------------------------

    def reaches(self, a: str, b: str) -> bool:
        for who, way in self.cuts:
            if (a in who) != (b in who) and way in ("both", "out" if a in who else "in"):
                return False
        return True

    def carry(self, source: Process, out: Out) -> None:
        for to, message in out:
            self.story.messages += 1
            if to == source.name:
                self.clock.call_at(self.clock.now + 1, self.arrive, (to, message))
                continue
            if not self.reaches(source.name, to) or self.wire.random() < self.loss:
                continue
            late = int(self.late * self.wire.random()) if self.late else 0
            at = self.clock.now + int(DELAY * (0.5 + self.wire.random())) + late
            self.clock.call_at(at, self.arrive, (to, message))

    def arrive(self, what: tuple[str, DutyMessage]) -> None:
        self.processes[what[0]].take(what[1])

    # ---- what is checked --------------------------------------------------------------------------------

    def broken(self, what: str) -> None:
        if len(self.story.broken) < 5:
            self.story.broken.append(f"{self.clock.now / 1e6:.3f} s: {what}")

    def took_over(self, p: Process, token: int) -> None:
        """A process has come to hold the duty."""
        self.story.holders += 1
        excused = self.forgot() and self.stepped
        owner = (p.name, p.life)
        if token <= self.highest and not excused:
            self.broken(f"{p.name} holds with token {token}, {self.owner[0]} held with {self.highest}")
        self.highest, self.owner = max(token, self.highest), owner

    def forgot(self) -> bool:
        """Whether a voter came back from nothing without hearing from enough others: a number may be
        forgotten, and wall clocks alone carry the rise."""
        return self.blank or any(
            p.up and p.voter.lists and not p.voter.abstains(p.now()) and not p.voter.recovered()
            for p in self.processes.values()
        )

    def act(self, p: Process, life: int, token: int) -> None:
        """The receiver of acts: it refuses a token that is lower than one it has seen."""
        self.story.acts += 1
        if token < self.seen:
            self.story.late_acts += 1
        self.seen = max(self.seen, token)

    def look(self) -> None:
        """At each instant at which anything happens."""
        holders = [
            p.name for p in self.processes.values() if p.up and p.asker.holding(p.now(), DUTY) is not None
        ]
        if len(holders) > 1:
            self.broken(f"{' and '.join(holders)} hold the duty at once")
        if holders:
            self.since = self.clock.now
        else:
            self.story.gap = max(self.story.gap, self.clock.now - self.since)

    def play(self) -> Story:
        clock = self.clock
        while clock.heap and clock.heap[0][0] <= LENGTH and not self.story.broken:
            clock.run(clock.heap[0][0])
            self.look()
        alive = [p for p in self.processes.values() if p.up and p.wants]
        if alive and LENGTH - self.since > QUIET // 2 and not self.story.broken:
            self.broken(f"nobody has held the duty for {(LENGTH - self.since) / 1e6:.1f} s after all faults")
        return self.story
