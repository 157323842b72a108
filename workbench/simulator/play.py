"""Plays one day on the virtual clock, and says what came of it."""

from __future__ import annotations

import gc
import platform
import resource
import subprocess
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from time import process_time
from typing import Any

import workbench
from workbench.baselines import POLICIES, Policy
from workbench.model.call import Request
from workbench.model.network import fixed_float
from workbench.model.site import BEGIN, World
from workbench.model.trace import TraceLog
from workbench.scenario.load import digest, to_table
from workbench.scenario.model import Scenario
from workbench.simulator.heap import HeapClock
from workbench.simulator.host import Host

STEP = 1_000_000  # progress is told each second of the day
TAIL = 30_000_000  # after the last arrival, a day runs on for so long at most
SAMPLE = 250_000  # nodes' figures are kept so often, for the plot alone
COLLECT = 200_000  # objects between two looks of the collector: calls free themselves

Progress = Callable[[float], None]


@dataclass
class Run:
    """A day that was played. `result` is what a result file holds; figures as `Accounts.summary` has them."""

    result: dict[str, Any]
    story: list[str] = field(default_factory=list)  # of the request that was followed
    journal: list[str] = field(default_factory=list)  # the modules' own log lines
    broken: list[str] = field(default_factory=list)  # the first broken rules, told one by one
    stats: list[dict[str, Any]] = field(default_factory=list)  # front nodes' figures over time, for plots
    trace_log: TraceLog | None = None  # of a day that was traced
    all_ended: bool = True  # whether each request had ended with the day


def play(
    day: Scenario,
    policy: str | Policy = "module",
    follow: int = -1,
    progress: Progress | None = None,
    overrides: list[str] | None = None,
    trace: bool = False,
) -> Run:
    """Plays `day`, which has no ranges, by a policy's name or factory.

    Args:
        day: The scenario, its ranges drawn.
        policy: Who decides.
        follow: The number of a request whose story is told.
        progress: Told the share of the day that is played, each second.
        overrides: What the result says of how the day was made.
        trace: Whether the traces of lost requests are kept.
    """
    named = policy if isinstance(policy, str) else getattr(policy, "__name__", "given")
    make = POLICIES[policy].make if isinstance(policy, str) else policy
    clock = HeapClock(BEGIN)
    tick = max(1, int(fixed_float(day.nodes.tick_ms) * 1000))
    host = Host(clock, tick, make)
    world = World(day, clock, host)
    run = Run({})
    if trace:
        run.trace_log = world.trace_log = TraceLog()
    if follow >= 0:
        world.followed_request = follow
        world.on_step = teller(run.story, clock)
    thresholds = gc.get_threshold()
    gc.collect()
    gc.set_threshold(COLLECT, 20, 20)
    begun = process_time()
    try:
        turn(world, clock, run, progress)
    finally:
        gc.set_threshold(*thresholds)
    cpu = process_time() - begun
    account = world.accounts.summary()
    run.all_ended = world.finished()
    calls = sum(world.accounts.calls)
    module = host.ticker.module_ns / 1e9
    run.broken = world.referee.violations
    run.journal = [line for node in world.nodes for line in getattr(node, "journal", ())]
    run.result = {
        "made": made(day, named, overrides or []),
        "goal": account["goal"],
        "rules": world.referee.counts,
        "account": account,
        "table": world.accounts.table(),
        "seconds": world.accounts.table(STEP),
        "day": to_table(day),
        "speed": {
            "calls": calls,
            "cpu_s": cpu,
            "cpu_us_a_call": cpu * 1e6 / max(1, calls),
            "module_share": min(1.0, module / max(cpu, 1e-9)),
            "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
            "events": clock.handled,
        },
    }
    return run


def turn(world: World, clock: HeapClock, run: Run, progress: Progress | None) -> None:
    """Runs the day to its end: all requests ended, and all troubles begun."""
    world.start()
    clock.call_at(clock.now, sampler(world, clock, run), None)
    last = world.begin + world.length
    at = clock.now
    while at < last or (not world.finished() and at < last + TAIL):
        at += STEP
        clock.run(at)
        if progress is not None:
            progress(min(1.0, (at - world.begin) / world.length))


def sampler(world: World, clock: HeapClock, run: Run) -> Callable[[Any], None]:
    """Keeps the modules' own statistics for the plot. Judging never looks at them."""

    def sample(_: Any) -> None:
        for i, node in enumerate(world.nodes[:8]):
            stats = getattr(getattr(node, "module", None), "stats", None)
            if stats is not None:
                run.stats.append({"at_s": (clock.now - world.begin) / 1e6, "node": i, **stats()})
        if clock.now < world.begin + world.length:
            clock.call_at(clock.now + SAMPLE, sample, None)

    return sample


def teller(story: list[str], clock: HeapClock) -> Callable[[Request, str, str], None]:
    def tell(request: Request, who: str, what: str) -> None:
        story.append(f"{(clock.now - request.due) / 1000:10.2f} ms  {who:24} {what}")

    return tell


def made(day: Scenario, policy: str, overrides: list[str]) -> dict[str, Any]:
    """What made a result: enough to repeat it."""
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
    """The repository's revision, with a + where files differ from it; empty where there is none."""
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
