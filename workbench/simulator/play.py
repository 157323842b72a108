"""Runs a scenario on the virtual clock and returns its results."""

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
from workbench.baselines import POLICIES, PolicyFactory
from workbench.model.call import Request
from workbench.model.network import fixed_float
from workbench.model.site import CLOCK_START_US, World
from workbench.model.trace import TraceLog
from workbench.scenario.load import digest, to_table
from workbench.scenario.model import Scenario
from workbench.simulator.heap import HeapClock
from workbench.simulator.host import Host

PROGRESS_INTERVAL_US = 1_000_000
# The maximum time that a run continues after the last arrival.
MAX_DRAIN_TIME_US = 30_000_000
STATS_INTERVAL_US = 250_000
MAX_SAMPLED_NODES = 8
# The net number of object allocations that triggers a garbage collection.
COLLECTION_THRESHOLD_OBJECTS = 200_000

Progress = Callable[[float], None]


@dataclass
class Run:
    """A finished run.

    Attributes:
        result: The content of a result file, with the figures of `Accounts.summary`.
        steps: The steps of the followed request, one line each.
        log_lines: The log lines of the front nodes.
        violations: Descriptions of the first violations of the rules.
        stats: Samples of the policies' statistics at the front nodes, for plots.
        trace_log: The traces of lost requests, or None if the run was not traced.
        all_ended: Whether all requests have ended.
    """

    result: dict[str, Any]
    steps: list[str] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    stats: list[dict[str, Any]] = field(default_factory=list)
    trace_log: TraceLog | None = None
    all_ended: bool = True


def play(
    scenario: Scenario,
    policy: str | PolicyFactory = "module",
    follow: int = -1,
    progress: Progress | None = None,
    overrides: list[str] | None = None,
    trace: bool = False,
) -> Run:
    """Run a scenario to its end and return its results.

    Args:
        scenario: The scenario, with values drawn from its ranges.
        policy: The name of a policy, or a policy factory.
        follow: The index of a request whose steps are recorded; -1 for none.
        progress: Called once per simulated second with the elapsed share of the scenario.
        overrides: The overrides of the scenario's settings, which are recorded in the result.
        trace: Whether to keep the traces of lost requests.
    """
    name = policy if isinstance(policy, str) else getattr(policy, "__name__", "given")
    policy_factory = POLICIES[policy].make if isinstance(policy, str) else policy
    clock = HeapClock(CLOCK_START_US)
    host = Host(clock, max(1, int(fixed_float(scenario.nodes.tick_ms) * 1000)), policy_factory)
    world = World(scenario, clock, host)
    run = Run({})
    set_up_tracing(world, clock, run, follow, trace)
    started_cpu_s = process_time()
    with infrequent_garbage_collection():
        run_to_end(world, clock, run, progress)
    cpu_s = process_time() - started_cpu_s
    run.all_ended = world.finished()
    run.violations = world.referee.violations
    run.log_lines = [line for node in world.nodes for line in getattr(node, "log_lines", ())]
    run.result = {
        "made": provenance(scenario, name, overrides or []),
        **result_figures(world),
        "day": to_table(scenario),
        "speed": run_cost(world, clock, cpu_s, host.ticker.policy_time_ns / 1e9),
    }
    return run


def set_up_tracing(world: World, clock: HeapClock, run: Run, follow: int, trace: bool) -> None:
    """Set up the requested traces: those of lost requests and the steps of the followed request."""
    if trace:
        run.trace_log = world.trace_log = TraceLog()
    if follow >= 0:
        world.followed_request = follow
        world.on_step = step_recorder(run.steps, clock)


def result_figures(world: World) -> dict[str, Any]:
    """Return the figures that runs are compared by, in the format of result files."""
    summary = world.accounts.summary()
    return {
        "goal": summary["goal"],
        "rules": world.referee.counts,
        "account": summary,
        "table": world.accounts.table(),
        "seconds": world.accounts.table(PROGRESS_INTERVAL_US),
    }


def run_cost(world: World, clock: HeapClock, cpu_s: float, policy_s: float) -> dict[str, Any]:
    """Return the CPU time, memory and events of the run, in the format of result files."""
    calls = sum(world.accounts.calls)
    return {
        "calls": calls,
        "cpu_s": cpu_s,
        "cpu_us_a_call": cpu_s * 1e6 / max(1, calls),
        "module_share": min(1.0, policy_s / max(cpu_s, 1e-9)),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "events": clock.events_handled,
    }


@contextmanager
def infrequent_garbage_collection() -> Iterator[None]:
    """Make the garbage collector run rarely, as reference counting frees finished calls already."""
    thresholds = gc.get_threshold()
    gc.collect()
    gc.set_threshold(COLLECTION_THRESHOLD_OBJECTS, 20, 20)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)


def run_to_end(world: World, clock: HeapClock, run: Run, progress: Progress | None) -> None:
    """Run the scenario until its end, and then until all requests have ended or the drain time is over."""
    world.start()
    clock.call_at(clock.now, stats_sampler(world, clock, run), None)
    end = world.begin_at + world.length
    at = clock.now
    while at < end or (not world.finished() and at < end + MAX_DRAIN_TIME_US):
        at += PROGRESS_INTERVAL_US
        clock.run(at)
        if progress is not None:
            progress(min(1.0, (at - world.begin_at) / world.length))


def stats_sampler(world: World, clock: HeapClock, run: Run) -> Callable[[Any], None]:
    """Return a callback that samples the policies' statistics, which only plots use."""

    def sample(_: Any) -> None:
        for index, node in enumerate(world.nodes[:MAX_SAMPLED_NODES]):
            stats = getattr(getattr(node, "active_policy", None), "stats", None)
            if stats is not None:
                run.stats.append({"at_s": (clock.now - world.begin_at) / 1e6, "node": index, **stats()})
        if clock.now < world.begin_at + world.length:
            clock.call_at(clock.now + STATS_INTERVAL_US, sample, None)

    return sample


def step_recorder(steps: list[str], clock: HeapClock) -> Callable[[Request, str, str], None]:
    """Return a callback that records a step of a request as a line of text."""

    def record(request: Request, who: str, what: str) -> None:
        steps.append(f"{(clock.now - request.due) / 1000:10.2f} ms  {who:24} {what}")

    return record


def provenance(scenario: Scenario, policy: str, overrides: list[str]) -> dict[str, Any]:
    """Return the versions and inputs that a result was made with, which suffice to reproduce it."""
    return {
        "product": workbench.__version__,
        "python": platform.python_version(),
        "revision": revision(),
        "digest": digest(scenario),
        "seed": scenario.seed,
        "policy": policy,
        "overrides": overrides,
    }


def revision() -> str:
    """Return the repository's revision, with a "+" if files differ from it; "" if there is no repository."""
    try:
        completed = subprocess.run(
            ["git", "describe", "--always", "--dirty=+", "--abbrev=12", "--exclude=*"],
            cwd=Path(__file__).parent,
            capture_output=True,
            text=True,
            timeout=10,
        )
    except (OSError, subprocess.TimeoutExpired):
        return ""
    return completed.stdout.strip() if completed.returncode == 0 else ""
