"""Runs one scenario on the virtual clock and returns its results."""

from __future__ import annotations

import gc
import platform
import resource
import subprocess
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from time import process_time
from typing import Any

import workbench
from workbench.baselines import POLICIES, Policy
from workbench.model.call import Request
from workbench.model.network import fixed_float
from workbench.model.site import CLOCK_START_US, World
from workbench.model.trace import TraceLog
from workbench.scenario.load import digest, to_table
from workbench.scenario.model import Scenario
from workbench.simulator.heap import HeapClock
from workbench.simulator.host import Host

PROGRESS_INTERVAL_US = 1_000_000
MAX_TAIL_US = 30_000_000  # maximum time that a run goes on after the last arrival
STATS_INTERVAL_US = 250_000  # between two samples of the nodes' statistics, for plots
SAMPLED_NODES = 8
COLLECTION_THRESHOLD = 200_000  # objects between two runs of the garbage collector

Progress = Callable[[float], None]


@dataclass
class Run:
    """A finished run. `result` is what a result file holds, with the figures of `Accounts.summary`."""

    result: dict[str, Any]
    steps: list[str] = field(default_factory=list)  # of the request that is followed
    log_lines: list[str] = field(default_factory=list)  # of the front's nodes
    violations: list[str] = field(default_factory=list)  # descriptions of the first ones
    stats: list[dict[str, Any]] = field(default_factory=list)  # of the front's nodes over time, for plots
    trace_log: TraceLog | None = None  # if the run was traced
    all_ended: bool = True  # whether all requests have ended


def play(
    day: Scenario,
    policy: str | Policy = "module",
    follow: int = -1,
    progress: Progress | None = None,
    overrides: list[str] | None = None,
    trace: bool = False,
) -> Run:
    """Runs a scenario to its end and returns its results.

    Args:
        day: The scenario, its ranges drawn.
        policy: The name of a policy, or a factory of policies.
        follow: The number of a request whose steps are recorded; -1 for none.
        progress: Receives the share of the scenario that has passed, each second.
        overrides: The settings that were overridden, for the result.
        trace: Whether the traces of lost requests are kept.
    """
    name = policy if isinstance(policy, str) else getattr(policy, "__name__", "given")
    make = POLICIES[policy].make if isinstance(policy, str) else policy
    clock = HeapClock(CLOCK_START_US)
    host = Host(clock, max(1, int(fixed_float(day.nodes.tick_ms) * 1000)), make)
    world = World(day, clock, host)
    run = Run({})
    observe(world, clock, run, follow, trace)
    begun = process_time()
    with rare_collection():
        run_to_end(world, clock, run, progress)
    cpu_s = process_time() - begun
    run.all_ended = world.finished()
    run.violations = world.referee.violations
    run.log_lines = [line for node in world.nodes for line in getattr(node, "log_lines", ())]
    run.result = {
        "made": provenance(day, name, overrides or []),
        **outcome(world),
        "day": to_table(day),
        "speed": speed(world, clock, cpu_s, host.ticker.policy_ns / 1e9),
    }
    return run


def observe(world: World, clock: HeapClock, run: Run, follow: int, trace: bool) -> None:
    """Sets up the traces of lost requests and of the request that is followed, as far as they are wanted."""
    if trace:
        run.trace_log = world.trace_log = TraceLog()
    if follow >= 0:
        world.followed_request = follow
        world.on_step = step_recorder(run.steps, clock)


def outcome(world: World) -> dict[str, Any]:
    """Returns the figures by which a run is judged, as result files have them."""
    account = world.accounts.summary()
    return {
        "goal": account["goal"],
        "rules": world.referee.counts,
        "account": account,
        "table": world.accounts.table(),
        "seconds": world.accounts.table(PROGRESS_INTERVAL_US),
    }


def speed(world: World, clock: HeapClock, cpu_s: float, policy_s: float) -> dict[str, Any]:
    """Returns what the run cost, as result files have it."""
    calls = sum(world.accounts.calls)
    return {
        "calls": calls,
        "cpu_s": cpu_s,
        "cpu_us_a_call": cpu_s * 1e6 / max(1, calls),
        "module_share": min(1.0, policy_s / max(cpu_s, 1e-9)),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "events": clock.handled,
    }


@contextmanager
def rare_collection() -> Iterator[None]:
    """Makes the garbage collector run rarely: calls are freed by their reference counts."""
    thresholds = gc.get_threshold()
    gc.collect()
    gc.set_threshold(COLLECTION_THRESHOLD, 20, 20)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)


def run_to_end(world: World, clock: HeapClock, run: Run, progress: Progress | None) -> None:
    """Runs the scenario until its time is over and all requests have ended."""
    world.start()
    clock.call_at(clock.now, sampler(world, clock, run), None)
    last = world.begin_at + world.length
    at = clock.now
    while at < last or (not world.finished() and at < last + MAX_TAIL_US):
        at += PROGRESS_INTERVAL_US
        clock.run(at)
        if progress is not None:
            progress(min(1.0, (at - world.begin_at) / world.length))


def sampler(world: World, clock: HeapClock, run: Run) -> Callable[[Any], None]:
    """Returns a call that samples the policies' own statistics, for plots only."""

    def sample(_: Any) -> None:
        for i, node in enumerate(world.nodes[:SAMPLED_NODES]):
            stats = getattr(getattr(node, "module", None), "stats", None)
            if stats is not None:
                run.stats.append({"at_s": (clock.now - world.begin_at) / 1e6, "node": i, **stats()})
        if clock.now < world.begin_at + world.length:
            clock.call_at(clock.now + STATS_INTERVAL_US, sample, None)

    return sample


def step_recorder(steps: list[str], clock: HeapClock) -> Callable[[Request, str, str], None]:
    """Returns a call that records a step of a request as a line of text."""

    def record(request: Request, who: str, what: str) -> None:
        steps.append(f"{(clock.now - request.due) / 1000:10.2f} ms  {who:24} {what}")

    return record


def provenance(day: Scenario, policy: str, overrides: list[str]) -> dict[str, Any]:
    """Returns how a result was made: enough to repeat it."""
    return {
        "product": workbench.__version__,
        "python": platform.python_version(),
        "revision": revision(),
        "digest": digest(day),
        "seed": day.seed,
        "policy": policy,
        "overrides": overrides,
    }


def revision() -> str:
    """Returns the repository's revision, with a + if files differ from it; empty if there is none."""
    try:
        out = subprocess.run(
            ["git", "describe", "--always", "--dirty=+", "--abbrev=12", "--exclude=*"],
            cwd=Path(__file__).parent,
            capture_output=True,
            text=True,
            timeout=10,
        )
    except (OSError, subprocess.TimeoutExpired):
        return ""
    return out.stdout.strip() if out.returncode == 0 else ""
