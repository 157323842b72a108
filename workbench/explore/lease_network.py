"""Leases on a virtual network: clocks that drift, processes that pause and come back from nothing, datagrams
that are lost or delayed, partitions.

What is checked is seen from outside, on true time: no two processes hold a lease at one instant, a token
rises with each holder, and once the faults are over somebody holds it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.events import LeaseEvent, LeaseEventKind
from balancer.fleet.leases.messages import LeaseMessage, OutgoingLeaseMessage
from balancer.fleet.leases.settings import Electorate, LeaseSettings
from balancer.fleet.leases.voter import Voter
from workbench.explore.faults import SEC, Fault, draw_faults
from workbench.simulator.heap import HeapClock

SETTINGS = LeaseSettings(lease=3 * SEC, max_lease=3 * SEC)
LENGTH = 45 * SEC
QUIET = 15 * SEC  # at the end no fault begins, and somebody must come to hold the lease
DELAY = 2_000
LEASE_NAME = "d"
EPOCH = 1_700_000_000_000  # milliseconds of Unix time at 0

Implementation = tuple[type[LeaseClient], type[Voter]]


class Process:
    """One process over all its incarnations: a clock of its own, a client, perhaps a voter."""

    def __init__(self, network: LeaseNetwork, name: str, requests_lease: bool) -> None:
        self.network = network
        self.name = name
        self.requests_lease = requests_lease
        rng = network.rng
        self.rate = 1 + rng.choice((-0.01, 0.01, rng.uniform(-0.01, 0.01)))
        self.offset = rng.randrange(SEC, 10**9)
        self.step = 0  # milliseconds that its wall clock is off
        self.incarnation = 0
        self.up = False
        self.pauses = 0
        self.backlog: deque[Callable[[], None]] = deque()
        self.scheduled_at = -1
        self.boot()

    def now(self) -> int:
        return self.offset + int(self.network.clock.now * self.rate)

    def wall(self) -> int:
        return EPOCH + self.network.clock.now // 1000 + self.step

    def boot(self) -> None:
        network = self.network
        self.incarnation += 1
        self.up = True
        self.backlog.clear()
        client, voter = network.implementation
        seed = network.rng.getrandbits(32)
        self.client = client(
            self.name,
            self.incarnation,
            [network.electorate],
            SETTINGS,
            Random(seed),
            self.wall,
            self.on_lease_event,
        )
        lists = [network.electorate] if self.name in network.electorate.voters else []
        self.voter = voter(self.name, self.incarnation, lists, SETTINGS, self.now())
        if network.clock.now == 0:
            self.voter.abstains_until = 0  # the group has stood for long as the run begins
            self.voter.recalled_tokens = dict.fromkeys(network.electorate.voters, 0)
        if self.requests_lease:
            self.client.acquire(self.now(), LEASE_NAME)
            self.act_later()
        self.on_timer()

    def on_lease_event(self, event: LeaseEvent) -> None:
        if event.kind == LeaseEventKind.HELD:
            self.network.on_acquired(self, event.token)

    def kill(self) -> None:
        if (
            self.up
            and self.voter.electorates
            and not self.voter.abstains(self.now())
            and not self.voter.has_recovered()
        ):
            self.network.memory_lost = True
        self.up = False
        self.scheduled_at = -1

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
            self.on_timer()

    def on_timer(self) -> None:
        """Ticks both parts, and comes back when one of them is due."""
        if not self.up or self.pauses:
            return
        now = self.now()
        self.network.send(self, self.voter.tick(now))
        self.network.send(self, self.client.tick(now))
        self.schedule()

    def schedule(self) -> None:
        dues = [d for d in (self.voter.deadline(), self.client.deadline()) if d is not None]
        if not dues:
            return
        at = max(self.network.clock.now + 100, int((min(dues) - self.offset) / self.rate) + 1)
        if self.scheduled_at < 0 or at < self.scheduled_at or self.scheduled_at <= self.network.clock.now:
            self.scheduled_at = at
            self.network.clock.call_at(at, self.timer_fired, (self.incarnation, at))

    def timer_fired(self, timer: tuple[int, int]) -> None:
        if timer == (self.incarnation, self.scheduled_at):
            self.scheduled_at = -1
            self.do(self.on_timer)

    def deliver(self, message: LeaseMessage) -> None:
        self.do(lambda: self.handle(message))

    def handle(self, message: LeaseMessage) -> None:
        now = self.now()
        self.network.send(self, self.voter.received(now, message) + self.client.received(now, message))
        self.schedule()

    # ---- acts -------------------------------------------------------------------------------------------

    def act_later(self) -> None:
        at = self.network.clock.now + int(0.25 * SEC * (0.5 + self.network.acts.random()))
        self.network.clock.call_at(at, self.act, self.incarnation)

    def act(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.up:
            self.do(self.check)
            self.act_later()

    def check(self) -> None:
        """Looks whether it holds the lease; the act follows a moment later, which a pause may make long."""
        token = self.client.held_token(self.now(), LEASE_NAME)
        if token is not None:
            incarnation = self.incarnation
            self.network.clock.call_at(
                self.network.clock.now + self.network.acts.randrange(2_000),
                lambda _: self.do(lambda: self.network.act(self, incarnation, token)),
                None,
            )


@dataclass
class Trace:
    """What a run showed."""

    seed: int
    voters: int = 3
    holders: int = 0
    late_acts: int = 0  # refused by their receiver for an old token
    acts: int = 0
    gap: int = 0  # the longest time without a holder, of true time
    messages: int = 0
    violations: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)


class LeaseNetwork:
    """Processes of one run. Without `faults` they are drawn by the seed. `implementation`: the
    program's client and voter, or others in their place."""

    def __init__(
        self,
        seed: int,
        implementation: Implementation = (LeaseClient, Voter),
        faults: list[Fault] | None = None,
        voters: int = 0,
        clients: int = 0,
    ) -> None:
        self.clock = HeapClock(0)
        self.implementation = implementation
        self.rng, self.acts = Random(f"duties {seed}"), Random(f"acts {seed}")
        self.wire = Random(f"wire {seed}")
        count = voters or self.rng.choice((3, 3, 5))
        self.electorate = Electorate(tuple(f"v{i}" for i in range(count)))
        count_of_clients = clients or self.rng.randint(1, 3)
        names = [*self.electorate.voters, *(f"a{i}" for i in range(count_of_clients))]
        self.trace = Trace(seed, count)
        self.loss = 0.0
        self.max_delay = 0
        self.partitions: list[tuple[set[str], str]] = []
        self.memory_lost = self.stepped = False
        self.highest = 0  # token of a holder
        self.last_holder: tuple[str, int] = ("", 0)
        self.seen = 0  # token of an act that was taken
        self.since = 0
        self.processes: dict[str, Process] = {}
        for name in names:
            self.processes[name] = Process(
                self, name, name.startswith("a") or (not clients and self.rng.random() < 0.3)
            )
        drawn = draw_faults(Random(f"faults {seed}"), names, LENGTH - QUIET)
        self.trace.faults = drawn if faults is None else faults
        for fault in self.trace.faults:
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
        partition = (set(f.who), f.way)
        self.partitions.append(partition)
        self.end(f, lambda: self.partitions.remove(partition))

    def begin_loss(self, f: Fault) -> None:
        self.loss = f.amount
        self.end(f, lambda: setattr(self, "loss", 0.0))

    def begin_late(self, f: Fault) -> None:
        self.max_delay = int(f.amount)
        self.end(f, lambda: setattr(self, "max_delay", 0))

    def begin_step(self, f: Fault) -> None:
        self.stepped = True
        for p in self.chosen(f):
            p.step += int(f.amount * 1000)

    def begin_leave(self, f: Fault) -> None:
        """A planned handover: the holder releases the lease, and requests it again later."""

        def again() -> None:
            for p in self.chosen(f):
                p.do(partial(self.acquire_again, p))

        for p in self.chosen(f):
            p.do(partial(self.release_all, p))
        self.end(f, again)

    def release_all(self, process: Process) -> None:
        self.send(process, process.client.release_all(process.now()))

    def acquire_again(self, process: Process) -> None:
        if process.requests_lease:
            process.client.acquire(process.now(), LEASE_NAME)
            process.on_timer()

    # ---- messages ---------------------------------------------------------------------------------------

    def reaches(self, a: str, b: str) -> bool:
        for who, way in self.partitions:
            if (a in who) != (b in who) and way in ("both", "out" if a in who else "in"):
                return False
        return True

    def send(self, source: Process, outgoing: list[OutgoingLeaseMessage]) -> None:
        for to, message in outgoing:
            self.trace.messages += 1
            if to == source.name:
                self.clock.call_at(self.clock.now + 1, self.arrive, (to, message))
                continue
            if not self.reaches(source.name, to) or self.wire.random() < self.loss:
                continue
            late = int(self.max_delay * self.wire.random()) if self.max_delay else 0
            at = self.clock.now + int(DELAY * (0.5 + self.wire.random())) + late
            self.clock.call_at(at, self.arrive, (to, message))

    def arrive(self, what: tuple[str, LeaseMessage]) -> None:
        self.processes[what[0]].deliver(what[1])

    # ---- what is checked --------------------------------------------------------------------------------

    def violated(self, what: str) -> None:
        if len(self.trace.violations) < 5:
            self.trace.violations.append(f"{self.clock.now / 1e6:.3f} s: {what}")

    def on_acquired(self, process: Process, token: int) -> None:
        """A process has come to hold the lease."""
        self.trace.holders += 1
        excused = self.forgot() and self.stepped
        holder = (process.name, process.incarnation)
        if token <= self.highest and not excused:
            self.violated(
                f"{process.name} holds with token {token}, {self.last_holder[0]} held with {self.highest}"
            )
        self.highest, self.last_holder = max(token, self.highest), holder

    def forgot(self) -> bool:
        """Whether a voter came back from nothing without hearing from enough others: a number may be
        forgotten, and wall clocks alone carry the rise."""
        return self.memory_lost or any(
            p.up and p.voter.electorates and not p.voter.abstains(p.now()) and not p.voter.has_recovered()
            for p in self.processes.values()
        )

    def act(self, process: Process, incarnation: int, token: int) -> None:
        """The receiver of acts: it refuses a token that is lower than one it has seen."""
        self.trace.acts += 1
        if token < self.seen:
            self.trace.late_acts += 1
        self.seen = max(self.seen, token)

    def sample(self) -> None:
        """At each instant at which anything happens."""
        holders = [
            p.name
            for p in self.processes.values()
            if p.up and p.client.held_token(p.now(), LEASE_NAME) is not None
        ]
        if len(holders) > 1:
            self.violated(f"{' and '.join(holders)} hold the lease at once")
        if holders:
            self.since = self.clock.now
        else:
            self.trace.gap = max(self.trace.gap, self.clock.now - self.since)

    def play(self) -> Trace:
        clock = self.clock
        while clock.heap and clock.heap[0][0] <= LENGTH and not self.trace.violations:
            clock.run(clock.heap[0][0])
            self.sample()
        alive = [p for p in self.processes.values() if p.up and p.requests_lease]
        if alive and LENGTH - self.since > QUIET // 2 and not self.trace.violations:
            self.violated(
                f"nobody has held the lease for {(LENGTH - self.since) / 1e6:.1f} s after all faults"
            )
        return self.trace
