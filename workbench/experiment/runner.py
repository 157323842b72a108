"""Execution of a plan in worker processes.

Each result is stored as it arrives, so an interrupted plan is resumed by running it again.
"""

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

# A second task keeps each worker busy; few tasks are lost if the run is interrupted.
MAX_PENDING_TASKS_PER_WORKER = 2
MAX_ROUNDS = 50
MIN_ADDED_SEEDS = 2
# Quantile of the standard normal distribution for a two-sided 95% interval.
NORMAL_QUANTILE = 1.96
# Every second sample of a node's statistics is stored.
STATS_SAMPLING_STEP = 2
# Option of Linux's `prctl` that sets the signal sent to a process when its parent dies.
PR_SET_PDEATHSIG = 1
EXIT_PARENT_DIED = 1

# Called with the number of completed tasks and the number of all tasks.
ProgressCallback = Callable[[int, int], None]


@dataclass
class Outcome:
    """Counters of one execution of a plan.

    Attributes:
        completed: Runs that were made, including failed ones.
        failed: Runs that raised an error.
        already_stored: Runs that the store had before.
        elapsed_s: Elapsed time in seconds.
        cpu_s: Processor time spent inside runs, in seconds.
    """

    completed: int = 0
    failed: int = 0
    already_stored: int = 0
    elapsed_s: float = 0.0
    cpu_s: float = 0.0


class TaskResult(NamedTuple):
    """The result of a run, or the traceback of the exception that it raised."""

    result: dict[str, Any] | None
    error: str | None


def initialize_worker(parent: int) -> None:
    """Tie the lifetime of a worker to that of its parent, and leave Ctrl-C to the parent.

    The kernel kills the worker when the parent dies. A parent that died before this was requested is detected
    by the parent's id; otherwise the worker would wait for tasks forever.

    Args:
        parent: Process id of the parent.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    except (OSError, AttributeError):
        # Not Linux: a worker whose parent is killed ends after its current run.
        return
    if os.getppid() != parent:
        os._exit(EXIT_PARENT_DIED)


def run_task(task: Task) -> TaskResult:
    """Make one run; an exception becomes the error of the result."""
    try:
        return TaskResult(simulate_task(task), None)
    except Exception:
        return TaskResult(None, traceback.format_exc())


def simulate_task(task: Task) -> dict[str, Any]:
    """Simulate one run and return its result with the fields that the store adds."""
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
    """Make the runs of a plan that the store does not have yet.

    Args:
        plan: The plan.
        store: Where results are read and written.
        jobs: Number of worker processes.
        target_width: If over 0, seeds are added until the paired 95% interval of each variant's goal against
            the first variant's is at most this wide.
        budget_s: If over 0, no run starts after this many seconds; without `target_width`, seeds are added
            until then.
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
    """Return the tasks without a successful run in the store."""
    completed = store.completed_keys()
    return [task for task in tasks if task.key not in completed]


class TaskExecutor:
    """Executor of tasks in worker processes, which stores each result as it arrives.

    Args:
        store: Where results are written.
        jobs: Number of worker processes.
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
        """Run tasks until none is left or the deadline has passed.

        Args:
            tasks: The tasks to run.
            total: Number of all tasks of the plan; those that are not in `tasks` are completed.

        Raises:
            StoreError: A result cannot be stored.
        """
        if not tasks:
            return
        # With "forkserver", the fork server and its workers would outlive this process.
        context = get_context("spawn")
        completed = total - len(tasks)
        with ProcessPoolExecutor(self.jobs, context, initialize_worker, (os.getpid(),)) as pool:
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
        """Submit tasks up to the limit for each worker, and return whether any is pending."""
        while len(self.pending) < self.jobs * MAX_PENDING_TASKS_PER_WORKER and monotonic() < self.deadline:
            task = next(remaining, None)
            if task is None:
                break
            self.pending[pool.submit(run_task, task)] = task
        return bool(self.pending)

    def store_result(self, task: Task, task_result: TaskResult) -> None:
        """Store one result and count it."""
        result, error = task_result
        self.store.put(task, result, error)
        self.outcome.completed += 1
        self.outcome.failed += error is not None
        self.outcome.cpu_s += result["speed"]["cpu_s"] if result else 0.0


def kill_workers(pool: ProcessPoolExecutor) -> None:
    """Kill the workers immediately; their runs are repeated when the plan is resumed."""
    pool.shutdown(wait=False, cancel_futures=True)
    for process in list((pool._processes or {}).values()):
        process.kill()


def widest_interval(plan: Plan, store: Store) -> float:
    """Return the width of the widest paired 95% interval of a variant's goal against the first variant's.

    Pairs of all scenarios are pooled. The width is infinite if a variant has fewer than `MIN_PAIRS` pairs.
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
    """Return the goals of successful runs by variant, then by scenario and seed."""
    goals: dict[str, dict[tuple[str, int], float]] = {}
    for row in rows:
        if row.goal is not None:
            goals.setdefault(row.variant, {})[row.scenario, row.seed] = row.goal
    return goals
