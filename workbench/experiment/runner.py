"""Runs a plan: one process a core, results written one by one, resumed by the same command."""

from __future__ import annotations

import ctypes
import os
import signal
import traceback
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from multiprocessing import get_context
from time import monotonic
from typing import Any

import msgspec
import numpy as np

from workbench.experiment.plan import LEAST_PAIRS, Plan, Task, tasks
from workbench.experiment.store import Store
from workbench.simulator.play import play

AHEAD = 2  # tasks handed out for each worker: none waits for the next, few are lost
MOST_ROUNDS = 50
PR_SET_PDEATHSIG = 1
PARENT_GONE = 1  # exit status of a worker whose parent has died

Report = Callable[[int, int], None]


@dataclass
class Outcome:
    """What a run of a plan did."""

    made: int = 0
    failed: int = 0
    kept: int = 0  # in the store before
    seconds: float = 0.0
    busy: float = 0.0  # processor seconds inside runs


def begin_worker(parent: int) -> None:
    """A worker ends with its parent, however that ends; Ctrl-C is the parent's to handle.

    `parent`: process id of the parent. Failure prevented: the parent is killed before the kernel has been
    told to end the worker with it, and the worker waits for tasks for ever.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    except (OSError, AttributeError):
        return  # not Linux: a worker whose parent is killed ends with its run
    if os.getppid() != parent:
        os._exit(PARENT_GONE)


def run_task(task: Task) -> tuple[dict[str, Any] | None, str | None]:
    """A run's result, or the traceback of what it raised."""
    try:
        run = play(task.day(), task.decider(), overrides=list(task.overrides))
        run.result["made"].update(policy=task.policy, variant=task.variant, module=task.revision)
        run.result["made"]["constants"] = dict(task.constants)
        run.result["stats"] = run.stats[::2]
        return run.result, None
    except Exception:
        return None, traceback.format_exc()


def run_plan(
    plan: Plan,
    store: Store,
    jobs: int,
    until: float = 0.0,
    budget: float = 0.0,
    report: Report = lambda done, total: None,
) -> Outcome:
    """Makes what the store lacks. `until`: seeds are added until each variant's paired 95% interval against
    the first is so narrow; `budget`: seconds, after which nothing new begins (without `until`, seeds are
    added until then). StoreError."""
    begun = monotonic()
    ends = begun + budget if budget else float("inf")
    out = Outcome()
    rounds = 0
    while True:
        wanted = tasks(plan)
        done = store.done()
        missing = [t for t in wanted if t.key not in done]
        if rounds == 0:
            out.kept = len(wanted) - len(missing)
        execute(missing, store, jobs, ends, out, report, len(wanted))
        rounds += 1
        if rounds >= MOST_ROUNDS or monotonic() >= ends or not (until or budget):
            break
        if until and width(plan, store) <= until:
            break
        plan = msgspec.structs.replace(plan, seeds=plan.seeds + max(2, plan.seeds // 2))
    out.seconds = monotonic() - begun
    return out


def execute(
    missing: list[Task], store: Store, jobs: int, ends: float, out: Outcome, report: Report, total: int
) -> None:
    if not missing:
        return
    context = get_context(
        "spawn"
    )  # our own children: a fork server would outlive us, and its workers with it
    before = total - len(missing)
    made = 0
    with ProcessPoolExecutor(jobs, context, begin_worker, (os.getpid(),)) as pool:
        todo: Iterator[Task] = iter(missing)
        open_: dict[Future[tuple[dict[str, Any] | None, str | None]], Task] = {}
        try:
            while True:
                while len(open_) < jobs * AHEAD and monotonic() < ends:
                    task = next(todo, None)
                    if task is None:
                        break
                    open_[pool.submit(run_task, task)] = task
                if not open_:
                    return
                for future in wait(open_, return_when=FIRST_COMPLETED).done:
                    task = open_.pop(future)
                    result, error = future.result()
                    store.put(task, result, error)
                    made += 1
                    out.made += 1
                    out.failed += error is not None
                    out.busy += result["speed"]["cpu_s"] if result else 0.0
                    report(before + made, total)
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            for process in list((pool._processes or {}).values()):
                process.kill()  # runs under way are repeated when the plan is resumed
            raise


def width(plan: Plan, store: Store) -> float:
    """The widest paired 95% interval, over all scenarios, of a variant against the first."""
    goals: dict[str, dict[tuple[str, int], float]] = {}
    for row in store.rows(tasks(plan)):
        if row.goal is not None:
            goals.setdefault(row.variant, {})[row.scenario, row.seed] = row.goal
    names = [v.name for v in plan.variant]
    first = goals.get(names[0], {})
    widest = 0.0
    for name in names[1:]:
        other = goals.get(name, {})
        differences = np.array([other[k] - first[k] for k in sorted(first.keys() & other.keys())])
        if len(differences) < LEAST_PAIRS:
            return float("inf")
        widest = max(widest, 2 * 1.96 * float(differences.std(ddof=1)) / len(differences) ** 0.5)
    return widest
