"""Explorer of stepped wall clocks on whole fleet runtimes: each seed is a repeatable run.

python -m workbench.explore.clocks --seeds 1-1000 --jobs 4

Five processes, three of them voters, all request one lease, receive directives for a zone and take part in a
rolling replacement. `PROPERTIES` are checked from outside the processes, by true time.
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
from workbench.explore.clock_faults import FIRST_STEP_AT_US, STEP_INTERVAL_US, ClockStep, draw_clock_steps
from workbench.explore.runtime_net import SECOND_US, Machine, RuntimeNetwork

PROPERTIES = {
    "dead": "a process that keeps running is never considered dead",
    "believed": "10 s after a restart, all members consider the process alive in its new incarnation",
    "holders": "no two processes hold the lease at the same time",
    "token": "each new holder has a higher token than the one before",
    "lease": "the lease is held again within 10 s of each step",
    "directive": "a later directive overrides an earlier one, and each expires for all processes at its end",
    "replacement": "a rolling replacement ends each process once, and completes",
    "fault": "no component raises an exception",
}
PROCESS_COUNT, VOTER_COUNT = 5, 3
SAMPLE_INTERVAL_US = SECOND_US // 4
# Time after a start or a restart from which on a process is checked.
SETTLING_TIME_US = 6 * SECOND_US
REJOIN_LIMIT_US = 10 * SECOND_US
LEASE_LIMIT_US = 10 * SECOND_US
DIRECTIVE_PROPAGATION_LIMIT_US = 2 * SECOND_US
DIRECTIVES_START_US = FIRST_STEP_AT_US + 3 * STEP_INTERVAL_US + 2 * SECOND_US
REPLACEMENT_START_US = DIRECTIVES_START_US + 14 * SECOND_US
REPLACEMENT_LIMIT_US = 45 * SECOND_US
# Processes that the rolling replacement may take out of service at the same time.
MAX_UNAVAILABLE = 2
REPLACEMENT_DOWN_US = SECOND_US // 2
MAX_VIOLATIONS_PER_PROPERTY = 5


@dataclass
class Violation:
    """One observation of a property that did not hold."""

    at_us: int
    property_name: str
    details: str

    def __str__(self) -> str:
        """Return the violation as a line of a report."""
        return f"{self.at_us / SECOND_US:.2f} s: {self.property_name}: {self.details}"


@dataclass
class Trace:
    """Results of a run.

    Attributes:
        seed: The run's seed.
        steps: The steps of wall clocks.
        violations: The properties that did not hold, with the time.
        holders: How often the holder of the lease changed.
        incarnations: How many processes were started.
    """

    seed: int
    steps: list[ClockStep] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    holders: int = 0
    incarnations: int = 0

    def violated_properties(self) -> list[str]:
        """Return the names of the properties that did not hold, in the order of `PROPERTIES`."""
        violated = {violation.property_name for violation in self.violations}
        return [name for name in PROPERTIES if name in violated]


class Process:
    """The successive processes of one machine.

    Attributes:
        started_at_us: Start of the present incarnation, in microseconds of true time.
        replaced_incarnations: Incarnations that the rolling replacement has ended.
    """

    def __init__(self, fleet: ClockFleet, machine: Machine) -> None:
        self.fleet = fleet
        self.machine = machine
        self.name = machine.name
        self.incarnation = 0
        self.started_at_us = 0
        self.runtime: FleetRuntime | None = None
        self.replaced_incarnations: list[int] = []

    def start(self) -> None:
        """Start the next incarnation, which knows nothing of the earlier ones."""
        fleet = self.fleet
        self.incarnation += 1
        self.started_at_us = fleet.now
        fleet.trace.incarnations += 1
        seed = fleet.seed * 1000 + self.incarnation
        self.runtime = fleet.network.start(self.machine, VOTER_COUNT, seed, self.end_for_replacement)

    def stop(self, planned: bool) -> None:
        """End the process; a planned end announces it to the other members first."""
        runtime, self.runtime = self.runtime, None
        if runtime is not None and planned:
            runtime.leave()
        elif runtime is not None:
            runtime.close()

    def end_for_replacement(self) -> None:
        """End the process at the request of the rolling replacement, and start its successor later."""
        self.replaced_incarnations.append(self.incarnation)
        self.stop(planned=True)
        self.fleet.call_later(REPLACEMENT_DOWN_US, self.start)

    def is_settled(self) -> bool:
        """Return whether the process has run for the settling time."""
        return self.runtime is not None and self.fleet.now >= self.started_at_us + SETTLING_TIME_US

    def acquire_lease(self) -> int | None:
        """Request the lease through the HTTP page that scripts use, and return the token if it is held."""
        if self.runtime is None:
            return None
        _, body = self.runtime.pages.acquire_lease(b"duty=d&script=" + self.name.encode())
        answer = json.loads(body)
        return int(answer["token"]) if answer["held"] else None

    def send_directive(self, verb: str, duration_s: int) -> None:
        """Send an operator's directive for the zone through the HTTP page of this process."""
        if self.runtime is not None:
            self.runtime.pages.control_zone(f"do={verb}&zone=z0&for_s={duration_s}".encode())

    def has_active_directive(self) -> bool:
        """Return whether this process has a directive in force that evacuates the zone."""
        assert self.runtime is not None
        traffic = self.runtime.policy_adapter.zone_traffic
        return (
            traffic is not None
            and traffic.directives is not None
            and bool(traffic.directives.remaining_durations())
        )


class ClockFleet:
    """The processes of one run, and its checks.

    Args:
        seed: Seed of all random draws.
        steps: The steps of wall clocks; None to draw them by the seed.

    Attributes:
        highest_token: The highest token of a holder so far.
        last_held_at_us: The last time at which the lease was held.
    """

    def __init__(self, seed: int, steps: Sequence[ClockStep] | None = None) -> None:
        self.seed = seed
        self.network = RuntimeNetwork(seed, PROCESS_COUNT)
        self.trace = Trace(seed)
        self.processes = [Process(self, machine) for machine in self.network.machines]
        self.rng = Random(f"operators {seed}")
        self.highest_token = 0
        self._last_holder: tuple[str, int] = ("", 0)
        self.last_held_at_us = 0
        names = [p.name for p in self.processes]
        self.trace.steps = draw_clock_steps(seed, names) if steps is None else list(steps)

    @property
    def now(self) -> int:
        """True time in microseconds."""
        return self.network.clock.now

    def call_later(self, delay_us: int, call: object, *args: object) -> None:
        """Schedule a call after a delay of true time."""
        assert callable(call)
        self.network.clock.call_at(self.now + delay_us, lambda _: call(*args), None)

    def play(self, stop_at_first: bool = False) -> Trace:
        """Run the whole scenario: start, clock steps, directives, rolling replacement.

        Args:
            stop_at_first: Whether to end the run at the first violation.
        """
        for process in self.processes:
            self.call_later(self.rng.randrange(SECOND_US), process.start)
        for step in self.trace.steps:
            self.call_later(step.at, self.apply_step, step)
        self.schedule_directives()
        self.call_later(REPLACEMENT_START_US, self.begin_replacement)
        self.call_later(REPLACEMENT_START_US + REPLACEMENT_LIMIT_US, self.check_replacement)
        self.call_later(SAMPLE_INTERVAL_US, self.sample)
        while self.now <= REPLACEMENT_START_US + REPLACEMENT_LIMIT_US and not (
            stop_at_first and self.trace.violations
        ):
            self.network.clock.run(self.now + SAMPLE_INTERVAL_US)
            for fault in self.network.loop.faults[:1]:
                self.add_violation("fault", fault)
            self.network.loop.faults.clear()
        return self.trace

    def add_violation(self, name: str, details: str) -> None:
        """Record that a property does not hold, up to a number of violations of each property."""
        if (
            sum(violation.property_name == name for violation in self.trace.violations)
            < MAX_VIOLATIONS_PER_PROPERTY
        ):
            self.trace.violations.append(Violation(self.now, name, details))

    # ---- clock steps ------------------------------------------------------------------------------------

    def find_process(self, name: str) -> Process:
        """Return the process of a machine by its name."""
        return next(p for p in self.processes if p.name == name)

    def apply_step(self, step: ClockStep) -> None:
        """Step a wall clock while its process runs or between two incarnations, and schedule the checks."""
        process = self.find_process(step.machine)
        if step.restart == "none":
            process.machine.clocks.step_wall(step.step_s * SECOND_US)
        else:
            process.stop(planned=step.restart == "term")
            process.machine.clocks.step_wall(step.step_s * SECOND_US)
            self.call_later(step.down_us, process.start)
            self.call_later(
                step.down_us + REJOIN_LIMIT_US, self.check_rejoined, process, process.incarnation + 1
            )
        self.call_later(step.down_us + LEASE_LIMIT_US, self.check_lease, self.now + step.down_us)

    def check_rejoined(self, process: Process, incarnation: int) -> None:
        """Check that all other settled processes consider the new incarnation alive."""
        if process.runtime is None or process.incarnation != incarnation:
            return
        incarnation_stamp = process.runtime.membership.local_claim.incarnation
        for other in self.processes:
            if other is process or not other.is_settled():
                continue
            assert other.runtime is not None
            member = other.runtime.membership.members.get(process.name)
            if (
                member is None
                or member.claim.status != Status.ALIVE
                or member.claim.incarnation != incarnation_stamp
            ):
                belief = (
                    "unknown" if member is None else f"{member.claim.status.name} {member.claim.incarnation}"
                )
                self.add_violation(
                    "believed",
                    f"{other.name} considers {process.name} {belief}, its incarnation is {incarnation_stamp}",
                )

    def check_lease(self, since_us: int) -> None:
        """Check that some process has held the lease after a step."""
        if self.last_held_at_us <= since_us:
            self.add_violation(
                "lease", f"no process has held the lease since {self.last_held_at_us / SECOND_US:.2f} s"
            )

    # ---- directives and the rolling replacement ---------------------------------------------------------

    def schedule_directives(self) -> None:
        """Schedule a long directive, its revocation and a short directive, each at a random process."""
        schedule = (
            (0, "leave", 30, DIRECTIVE_PROPAGATION_LIMIT_US, True),
            (3, "return", 0, DIRECTIVE_PROPAGATION_LIMIT_US, False),
            (6, "leave", 4, DIRECTIVE_PROPAGATION_LIMIT_US, True),
            (6, "leave", 4, 4 * SECOND_US + DIRECTIVE_PROPAGATION_LIMIT_US, False),
        )
        sent_at: set[int] = set()
        for at_s, verb, duration_s, check_delay_us, is_evacuated in schedule:
            if at_s not in sent_at:
                sent_at.add(at_s)
                process = self.rng.choice(self.processes)
                self.call_later(
                    DIRECTIVES_START_US + at_s * SECOND_US, process.send_directive, verb, duration_s
                )
            self.call_later(
                DIRECTIVES_START_US + at_s * SECOND_US + check_delay_us,
                self.check_directive,
                verb,
                is_evacuated,
            )

    def check_directive(self, verb: str, is_evacuated: bool) -> None:
        """Check that all settled processes follow the last directive."""
        wrong = [
            p.name for p in self.processes if p.is_settled() and p.has_active_directive() != is_evacuated
        ]
        if wrong:
            self.add_violation(
                "directive",
                f"after {verb}, evacuated should be {is_evacuated}, which it is not at {', '.join(wrong)}",
            )

    def begin_replacement(self) -> None:
        """Begin the rolling replacement through the HTTP page of a random process."""
        process = self.rng.choice(self.processes)
        if process.runtime is not None:
            process.runtime.pages.control_rolling_update(f"do=begin&most={MAX_UNAVAILABLE}".encode())

    def check_replacement(self) -> None:
        """Check that the rolling replacement has ended each process exactly once."""
        ends = {p.name: len(p.replaced_incarnations) for p in self.processes}
        if any(count != 1 for count in ends.values()):
            self.add_violation(
                "replacement", ", ".join(f"{name} {count} times" for name, count in ends.items())
            )

    # ---- samples -------------------------------------------------------------------------------------

    def sample(self) -> None:
        """Check the holders of the lease and the deaths that members believe in."""
        held = [(p, token) for p in self.processes if (token := p.acquire_lease()) is not None]
        if len(held) > 1:
            self.add_violation("holders", " and ".join(p.name for p, _ in held))
        for process, token in held:
            self.last_held_at_us = self.now
            holder = (process.name, process.incarnation)
            if holder != self._last_holder:
                self.trace.holders += 1
                if token <= self.highest_token:
                    self.add_violation(
                        "token",
                        f"{process.name} holds token {token},"
                        f" {self._last_holder[0]} held {self.highest_token}",
                    )
            self._last_holder, self.highest_token = holder, max(token, self.highest_token)
        self.check_false_deaths()
        self.call_later(SAMPLE_INTERVAL_US, self.sample)

    def check_false_deaths(self) -> None:
        """Check that no settled process considers another settled process dead."""
        settled = [p for p in self.processes if p.is_settled()]
        for observer in settled:
            assert observer.runtime is not None
            for process in settled:
                status = observer.runtime.membership.status(process.name) if process is not observer else None
                if (
                    status in (Status.DEAD, Status.LEFT)
                    and self.now >= process.started_at_us + REJOIN_LIMIT_US
                ):
                    self.add_violation("dead", f"{observer.name} considers {process.name} {status.name}")


def play(seed: int, steps: Sequence[ClockStep] | None = None) -> Trace:
    """Run the scenario of a seed."""
    return ClockFleet(seed, steps).play()


def explore(first: int, last: int, jobs: int) -> list[Trace]:
    """Run a range of seeds in some worker processes, and return all traces."""
    if jobs == 1:
        return [play(seed) for seed in range(first, last + 1)]
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        return pool.map(play, range(first, last + 1), chunksize=4)


@click.command()
@click.option("--seeds", default="1-100", help="FIRST-LAST.")
@click.option("--jobs", type=click.IntRange(1), default=1)
def main(seeds: str, jobs: int) -> None:
    """Explore stepped wall clocks; exit with 1 if a property did not hold."""
    first, _, last = seeds.partition("-")
    traces = explore(int(first), int(last or first), jobs)
    failed = [trace for trace in traces if trace.violations]
    counts = Counter(name for trace in failed for name in trace.violated_properties())
    incarnations, holders = (
        sum(trace.incarnations for trace in traces),
        sum(trace.holders for trace in traces),
    )
    click.echo(
        f"{len(traces)} seeds, {incarnations} incarnations, {holders} holders,"
        f" {len(failed)} seeds with violations"
    )
    for name, meaning in PROPERTIES.items():
        click.echo(f"{counts[name]:6} {name}: {meaning}")
    for failed_trace in failed[:5]:
        click.echo(f"seed {failed_trace.seed}:")
        for line in (*failed_trace.steps, *failed_trace.violations):
            click.echo(f"    {line}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
