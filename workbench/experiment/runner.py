"""Runs a plan in worker processes; each result is stored as it arrives, and the same command resumes."""

from __future__ import annotations

import ctypes
import os
import signal
import traceback
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from multiprocessing import get_context
from time import monotonic
from typing import Any, NamedTuple

import msgspec
import numpy as np

from workbench.experiment.plan import MIN_PAIRS, Plan, list_tasks
from workbench.experiment.store import Row, Store
from workbench.experiment.task import Task
from workbench.simulator.play import play

TASKS_PER_WORKER = 2  # submitted at once: no worker waits for the next one, and few are lost
MAX_ROUNDS = 50
MIN_ADDED_SEEDS = 2
NORMAL_QUANTILE = 1.96  # of a two-sided 95% interval
STATS_SAMPLING_STEP = 2  # every second sample of a node's statistics is stored
PR_SET_PDEATHSIG = 1
PARENT_GONE = 1  # exit status of a worker whose parent has died

ProgressCallback = Callable[[int, int], None]  # completed tasks, all tasks


@dataclass
class Outcome:
    """What running a plan did."""

    completed: int = 0  # runs, failed ones included
    failed: int = 0
    already_stored: int = 0
    elapsed_s: float = 0.0
    cpu_s: float = 0.0  # processor time inside runs


class TaskResult(NamedTuple):
    """The result of a run, or the traceback of what it raised."""

    result: dict[str, Any] | None
    error: str | None


def begin_worker(parent: int) -> None:
    """Ties a worker to its parent: it ends with it, however that ends; Ctrl-C is handled by the parent.

    Failure prevented: the parent is killed before the kernel has been told to end the worker with it, and
    the worker waits for tasks for ever.

    Args:
        parent: Process id of the parent.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    except (OSError, AttributeError):
        return  # not Linux: a worker whose parent is killed ends with its run
    if os.getppid() != parent:
        os._exit(PARENT_GONE)


def run_task(task: Task) -> TaskResult:
    """Makes one run; what it raises becomes its error."""
    try:
        return TaskResult(simulate_task(task), None)
    except Exception:
        return TaskResult(None, traceback.format_exc())


def simulate_task(task: Task) -> dict[str, Any]:
    """Returns the result of one run, as it is stored."""
    run = play(task.draw_scenario(), task.resolve_policy(), overrides=list(task.overrides))
    run.result["made"].update(policy=task.policy, variant=task.variant, module=task.revision)
    run.result["made"]["constants"] = dict(task.constants)
    run.result["stats"] = run.stats[::STATS_SAMPLING_STEP]
    return run.result


def run_plan(
    plan: Plan,
    store: Store,
    jobs: int,
    target_width: float = 0.0,
    budget_s: float = 0.0,
    on_progress: ProgressCallback = lambda completed, total: None,
) -> Outcome:
    """Makes the runs of a plan that the store lacks.

    Args:
        plan: The plan.
        store: Where results are read and written.
        jobs: Worker processes.
        target_width: If over 0, seeds are added until the paired 95% interval of each variant against the
            first one is as narrow.
        budget_s: If over 0, no run begins after this time; without `target_width`, seeds are added until
            then.
        on_progress: Called after each run.

    Raises:
        StoreError: The store cannot be read or written.
    """
    started = monotonic()
    deadline = started + budget_s if budget_s else float("inf")
    outcome = Outcome()
    executor = TaskExecutor(store, jobs, deadline, outcome, on_progress)
    for round_number in range(MAX_ROUNDS):
        tasks = list_tasks(plan)
        missing = missing_tasks(tasks, store)
        if round_number == 0:
            outcome.already_stored = len(tasks) - len(missing)
        executor.execute(missing, len(tasks))
        finished = monotonic() >= deadline or not (target_width or budget_s)
        if finished or (target_width and widest_interval(plan, store) <= target_width):
            break
        plan = msgspec.structs.replace(plan, seeds=plan.seeds + max(MIN_ADDED_SEEDS, plan.seeds // 2))
    outcome.elapsed_s = monotonic() - started
    return outcome


def missing_tasks(tasks: Sequence[Task], store: Store) -> list[Task]:
    """Returns the tasks without a successful run in the store."""
    completed = store.completed_keys()
    return [task for task in tasks if task.key not in completed]


class TaskExecutor:
    """Runs tasks in worker processes and stores their results.

    Args:
        store: Where results are written.
        jobs: Worker processes.
        deadline: Monotonic time after which no task is submitted.
        outcome: Counters that are updated after each run.
        on_progress: Called after each run.
    """

    def __init__(
        self, store: Store, jobs: int, deadline: float, outcome: Outcome, on_progress: ProgressCallback
    ) -> None:
        self.store = store
        self.jobs = jobs
        self.deadline = deadline
        self.outcome = outcome
        self.on_progress = on_progress
        self.pending: dict[Future[TaskResult], Task] = {}

    def execute(self, tasks: Sequence[Task], total: int) -> None:
        """Runs tasks until none is left or the deadline is over.

        Args:
            tasks: The tasks to run.
            total: All tasks of the plan, of which the others are completed.

        Raises:
            StoreError: A result cannot be stored.
        """
        if not tasks:
            return
        context = get_context("spawn")  # a fork server and its workers would outlive this process
        completed = total - len(tasks)
        with ProcessPoolExecutor(self.jobs, context, begin_worker, (os.getpid(),)) as pool:
            remaining = iter(tasks)
            try:
                while self.submit_tasks(pool, remaining):
                    for future in wait(self.pending, return_when=FIRST_COMPLETED).done:
                        self.store_result(self.pending.pop(future), future.result())
                        completed += 1
                        self.on_progress(completed, total)
            except BaseException:
                kill_workers(pool)
                raise

    def submit_tasks(self, pool: ProcessPoolExecutor, remaining: Iterator[Task]) -> bool:
        """Submits tasks up to the limit for each worker; whether any is pending."""
        while len(self.pending) < self.jobs * TASKS_PER_WORKER and monotonic() < self.deadline:
            task = next(remaining, None)
            if task is None:
                break
            self.pending[pool.submit(run_task, task)] = task
        return bool(self.pending)

    def store_result(self, task: Task, task_result: TaskResult) -> None:
        """Stores one result and counts it."""
        result, error = task_result
        self.store.put(task, result, error)
        self.outcome.completed += 1
        self.outcome.failed += error is not None
        self.outcome.cpu_s += result["speed"]["cpu_s"] if result else 0.0


def kill_workers(pool: ProcessPoolExecutor) -> None:
    """Ends the workers at once; their runs are repeated when the plan is resumed."""
    pool.shutdown(wait=False, cancel_futures=True)
    for process in list((pool._processes or {}).values()):
        process.kill()


def widest_interval(plan: Plan, store: Store) -> float:
    """Returns the width of the widest paired 95% interval of a variant against the first one.

    Pairs of all scenarios are taken together; infinity where a variant has fewer than `MIN_PAIRS`.
    """
    goals = goals_by_variant(store.rows(list_tasks(plan)))
    names = [variant.name for variant in plan.variants]
    reference = goals.get(names[0], {})
    widest = 0.0
    for name in names[1:]:
        others = goals.get(name, {})
        keys = sorted(reference.keys() & others.keys())
        if len(keys) < MIN_PAIRS:
            return float("inf")
        differences = np.array([others[key] - reference[key] for key in keys])
        standard_error = float(differences.std(ddof=1)) / len(differences) ** 0.5
        widest = max(widest, 2 * NORMAL_QUANTILE * standard_error)
    return widest


def goals_by_variant(rows: Sequence[Row]) -> dict[str, dict[tuple[str, int], float]]:
    """Returns the goals of runs that have one, by variant, then by scenario and seed."""
    goals: dict[str, dict[tuple[str, int], float]] = {}
    for row in rows:
        if row.goal is not None:
            goals.setdefault(row.variant, {})[row.scenario, row.seed] = row.goal
    return goals
