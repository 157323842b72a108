"""Explores stepped wall clocks on whole fleet runtimes: seeds by the thousand, each a run that repeats.

python -m workbench.explore.clocks --seeds 1-1000 --jobs 4

Five processes, three of them voters, with one lease that all want, directives for a zone and a rolling
replacement. What is checked is seen from outside, on true time; the properties are `PROPERTIES`.
"""

from __future__ import annotations

import json
import multiprocessing
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import click

from balancer.fleet.membership.swim import Status
from balancer.fleet.runtime import FleetRuntime
from workbench.explore.clock_faults import APART, FIRST_AT, ClockStep, draw_clock_steps
from workbench.explore.runtime_net import SECOND, Machine, RuntimeNetwork

PROPERTIES = {
    "dead": "a process that runs on is never held dead",
    "believed": "a process that came back is held alive in its new incarnation, by all, 10 s later",
    "holders": "no two processes hold the lease at one instant",
    "token": "a token rises with each holder",
    "lease": "the lease is held again within 10 s of each step",
    "directive": "a later directive wins, and each is over for all when its time is",
    "replacement": "a rolling replacement ends each process once, and gets to the end",
    "fault": "no component fails",
}
COUNT, VOTERS = 5, 3
SAMPLE_INTERVAL = SECOND // 4
SETTLED = 6 * SECOND  # from the start, or from a restart, until a process counts as one that runs on
BELIEVED_WITHIN = 10 * SECOND
LEASE_WITHIN = 10 * SECOND
KNOWN_WITHIN = 2 * SECOND  # of a directive
DIRECTIVES_AT = FIRST_AT + 3 * APART + 2 * SECOND
REPLACEMENT_AT = DIRECTIVES_AT + 14 * SECOND
REPLACED_WITHIN = 45 * SECOND
AT_ONCE = 2  # processes that the replacement takes out
REPLACED_DOWN = SECOND // 2
MAX_REPEATED = 5  # violations of one property that a trace keeps


@dataclass
class Violation:
    """One property that did not hold."""

    at: int
    property: str
    what: str

    def __str__(self) -> str:
        """Returns the violation as a line of a report."""
        return f"{self.at / SECOND:.2f} s: {self.property}: {self.what}"


@dataclass
class Trace:
    """What a run showed."""

    seed: int
    steps: list[ClockStep] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    holders: int = 0
    incarnations: int = 0

    def properties(self) -> list[str]:
        """The names of those that did not hold, in the order of `PROPERTIES`."""
        found = {b.property for b in self.violations}
        return [name for name in PROPERTIES if name in found]


class Process:
    """One machine's processes, one after the other."""

    def __init__(self, fleet: ClockFleet, machine: Machine) -> None:
        self.fleet = fleet
        self.machine = machine
        self.name = machine.name
        self.incarnation = 0
        self.since = 0  # when the present incarnation began
        self.runtime: FleetRuntime | None = None
        self.replaced: list[int] = []  # incarnations that the replacement has ended

    def start(self) -> None:
        """Starts the next incarnation, without knowledge."""
        fleet = self.fleet
        self.incarnation += 1
        self.since = fleet.now
        fleet.trace.incarnations += 1
        seed = fleet.seed * 1000 + self.incarnation
        self.runtime = fleet.network.start(self.machine, VOTERS, seed, self.end)

    def stop(self, planned: bool) -> None:
        """Ends its process, with a farewell to the others or without."""
        runtime, self.runtime = self.runtime, None
        if runtime is not None and planned:
            runtime.leave()
        elif runtime is not None:
            runtime.close()

    def end(self) -> None:
        """The rolling replacement has its process end; another comes in its place."""
        self.replaced.append(self.incarnation)
        self.stop(planned=True)
        self.fleet.later(REPLACED_DOWN, self.start)

    def runs_on(self) -> bool:
        """Whether its process has run for a while."""
        return self.runtime is not None and self.fleet.now >= self.since + SETTLED

    def token(self) -> int | None:
        """Asks for the lease as a script does; the token, if it is held."""
        if self.runtime is None:
            return None
        _, body = self.runtime.pages.acquire_lease(b"duty=d&script=" + self.name.encode())
        answer = json.loads(body)
        return int(answer["token"]) if answer["held"] else None

    def order(self, verb: str, seconds: int) -> None:
        """An operator's directive for the zone, through this process's page."""
        if self.runtime is not None:
            self.runtime.pages.control_zone(f"do={verb}&zone=z0&for_s={seconds}".encode())

    def obeys(self) -> bool:
        """Whether it holds the zone left by directive."""
        assert self.runtime is not None
        traffic = self.runtime.policy_adapter.zone_traffic
        return (
            traffic is not None
            and traffic.directives is not None
            and bool(traffic.directives.remaining_durations())
        )


class ClockFleet:
    """One run. Without `steps` they are drawn by the seed."""

    def __init__(self, seed: int, steps: Sequence[ClockStep] | None = None) -> None:
        self.seed = seed
        self.network = RuntimeNetwork(seed, COUNT)
        self.trace = Trace(seed)
        self.processes = [Process(self, machine) for machine in self.network.machines]
        self.rng = Random(f"operators {seed}")
        self.highest = 0  # token of a holder
        self._last_holder: tuple[str, int] = ("", 0)
        self.held_at = 0  # when the lease was held last
        names = [p.name for p in self.processes]
        self.trace.steps = draw_clock_steps(seed, names) if steps is None else list(steps)

    @property
    def now(self) -> int:
        """True time."""
        return self.network.clock.now

    def later(self, span: int, call: object, *args: object) -> None:
        """Calls after a span of true time."""
        assert callable(call)
        self.network.clock.call_at(self.now + span, lambda _: call(*args), None)

    def play(self, stop_at_first: bool = False) -> Trace:
        """Plays the whole run: start, steps, directives, replacement.

        Args:
            stop_at_first: Whether to end the run at the first violation.
        """
        for process in self.processes:
            self.later(self.rng.randrange(SECOND), process.start)
        for step in self.trace.steps:
            self.later(step.at, self.begin, step)
        self.plan_directives()
        self.later(REPLACEMENT_AT, self.begin_replacement)
        self.later(REPLACEMENT_AT + REPLACED_WITHIN, self.check_replacement)
        self.later(SAMPLE_INTERVAL, self.sample)
        while self.now <= REPLACEMENT_AT + REPLACED_WITHIN and not (stop_at_first and self.trace.violations):
            self.network.clock.run(self.now + SAMPLE_INTERVAL)
            for fault in self.network.loop.faults[:1]:
                self.add_violation("fault", fault)
            self.network.loop.faults.clear()
        return self.trace

    def add_violation(self, name: str, what: str) -> None:
        """Records that a property does not hold."""
        if sum(b.property == name for b in self.trace.violations) < MAX_REPEATED:
            self.trace.violations.append(Violation(self.now, name, what))

    # ---- steps ------------------------------------------------------------------------------------------

    def process(self, name: str) -> Process:
        """By its machine's name."""
        return next(p for p in self.processes if p.name == name)

    def begin(self, step: ClockStep) -> None:
        """A wall clock steps, under a running process or between two incarnations."""
        process = self.process(step.machine)
        if step.restart == "none":
            process.machine.clocks.step_wall(step.step_s * SECOND)
        else:
            process.stop(planned=step.restart == "term")
            process.machine.clocks.step_wall(step.step_s * SECOND)
            self.later(step.down, process.start)
            self.later(step.down + BELIEVED_WITHIN, self.check_believed, process, process.incarnation + 1)
        self.later(step.down + LEASE_WITHIN, self.check_lease, self.now + step.down)

    def check_believed(self, process: Process, incarnation: int) -> None:
        """Checks that all others hold the new incarnation alive."""
        if process.runtime is None or process.incarnation != incarnation:
            return
        own = process.runtime.membership.local_claim.incarnation
        for other in self.processes:
            if other is process or not other.runs_on():
                continue
            assert other.runtime is not None
            held = other.runtime.membership.members.get(process.name)
            if held is None or held.claim.status != Status.ALIVE or held.claim.incarnation != own:
                said = "unknown" if held is None else f"{held.claim.status.name} {held.claim.incarnation}"
                self.add_violation("believed", f"{other.name} holds {process.name} {said}, its own is {own}")

    def check_lease(self, since: int) -> None:
        """Somebody has held the lease after a step."""
        if self.held_at <= since:
            self.add_violation("lease", f"nobody has held it since {self.held_at / SECOND:.2f} s")

    # ---- directives and the replacement -----------------------------------------------------------------

    def plan_directives(self) -> None:
        """One for long, one that takes it back, a short one that ends by itself; each through any process."""
        plan = (
            (0, "leave", 30, KNOWN_WITHIN, True),
            (3, "return", 0, KNOWN_WITHIN, False),
            (6, "leave", 4, KNOWN_WITHIN, True),
            (6, "leave", 4, 4 * SECOND + KNOWN_WITHIN, False),
        )
        given: set[int] = set()
        for at, verb, seconds, within, left in plan:
            if at not in given:
                given.add(at)
                process = self.rng.choice(self.processes)
                self.later(DIRECTIVES_AT + at * SECOND, process.order, verb, seconds)
            self.later(DIRECTIVES_AT + at * SECOND + within, self.check_directive, verb, left)

    def check_directive(self, verb: str, left: bool) -> None:
        """All go by the last directive."""
        wrong = [p.name for p in self.processes if p.runs_on() and p.obeys() != left]
        if wrong:
            self.add_violation(
                "directive", f"the last is {verb}, left should be {left}: not so at {', '.join(wrong)}"
            )

    def begin_replacement(self) -> None:
        """An operator begins it, through any process's page."""
        process = self.rng.choice(self.processes)
        if process.runtime is not None:
            process.runtime.pages.control_rolling_update(f"do=begin&most={AT_ONCE}".encode())

    def check_replacement(self) -> None:
        """Each process was ended once."""
        ends = {p.name: len(p.replaced) for p in self.processes}
        if any(count != 1 for count in ends.values()):
            self.add_violation(
                "replacement", ", ".join(f"{name} {count} times" for name, count in ends.items())
            )

    # ---- samples -------------------------------------------------------------------------------------

    def sample(self) -> None:
        """Who holds the lease, and who is held dead."""
        held = [(p, token) for p in self.processes if (token := p.token()) is not None]
        if len(held) > 1:
            self.add_violation("holders", " and ".join(p.name for p, _ in held))
        for process, token in held:
            self.held_at = self.now
            holder = (process.name, process.incarnation)
            if holder != self._last_holder:
                self.trace.holders += 1
                if token <= self.highest:
                    self.add_violation(
                        "token", f"{process.name} holds {token}, {self._last_holder[0]} held {self.highest}"
                    )
            self._last_holder, self.highest = holder, max(token, self.highest)
        self.check_dead()
        self.later(SAMPLE_INTERVAL, self.sample)

    def check_dead(self) -> None:
        """Nobody who runs on is held dead by one who runs on."""
        steady = [p for p in self.processes if p.runs_on()]
        for by in steady:
            assert by.runtime is not None
            for process in steady:
                status = by.runtime.membership.status(process.name) if process is not by else None
                if status in (Status.DEAD, Status.LEFT) and self.now >= process.since + BELIEVED_WITHIN:
                    self.add_violation("dead", f"{by.name} holds {process.name} {status.name}")


def play(seed: int, steps: Sequence[ClockStep] | None = None) -> Trace:
    """One run by its seed."""
    return ClockFleet(seed, steps).play()


def explore(first: int, last: int, jobs: int) -> list[Trace]:
    """Plays seeds, all of them."""
    if jobs == 1:
        return [play(seed) for seed in range(first, last + 1)]
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        return pool.map(play, range(first, last + 1), chunksize=4)


@click.command()
@click.option("--seeds", default="1-100", help="FIRST-LAST.")
@click.option("--jobs", type=click.IntRange(1), default=1)
def main(seeds: str, jobs: int) -> None:
    """Explore stepped wall clocks. Exits 1 where a property did not hold."""
    first, _, last = seeds.partition("-")
    traces = explore(int(first), int(last or first), jobs)
    broken = [s for s in traces if s.violations]
    counts = Counter(name for s in broken for name in s.properties())
    incarnations, holders = sum(s.incarnations for s in traces), sum(s.holders for s in traces)
    click.echo(
        f"{len(traces)} seeds, {incarnations} incarnations, {holders} holders, {len(broken)} seeds broken"
    )
    for name, meaning in PROPERTIES.items():
        click.echo(f"{counts[name]:6} {name}: {meaning}")
    for trace in broken[:5]:
        click.echo(f"seed {trace.seed}:")
        for line in (*trace.steps, *trace.violations):
            click.echo(f"    {line}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
