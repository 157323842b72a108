"""Plays days with tracing on and breaks their losses down, several at once in processes of their own."""

from __future__ import annotations

import os
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context

from workbench.experiment.runner import begin_worker
from workbench.model.network import fixed_float, fixed_int
from workbench.model.site import class_settings
from workbench.report.losses import AttributionRules, Breakdown, breakdown
from workbench.scenario.model import Scenario
from workbench.simulator.play import play


@dataclass(frozen=True)
class LossTask:
    """One day to play: its ranges are drawn, its seed is set."""

    day: Scenario
    policy: str


@dataclass(frozen=True)
class DayLosses:
    """What one day lost."""

    policy: str
    seed: int
    goal: float
    broken_rules: int
    fault_second: int
    losses: Breakdown


def play_losses(task: LossTask) -> DayLosses:
    """Plays one day and attributes its losses. LossMismatchError."""
    day = task.day
    run = play(day, task.policy, trace=True)
    assert run.trace_log is not None, "the day was traced"
    rules = AttributionRules(class_settings(day), fixed_int(day.nodes.max_attempts))
    account = run.result["account"]
    losses = breakdown(run.trace_log, rules, 1 - account["whole"], run.all_ended)
    broken = sum(run.result["rules"].values())
    return DayLosses(task.policy, day.seed, run.result["goal"], broken, fault_second(day), losses)


def fault_second(day: Scenario) -> int:
    """The second of the day in which its first fault begins; 0 where it has none."""
    return int(min((fixed_float(fault.at_s) for fault in day.fault), default=0.0))


def play_all(tasks: Iterable[LossTask], workers: int) -> list[DayLosses]:
    """Plays all days, in the order given."""
    if workers == 1:
        return [play_losses(task) for task in tasks]
    context = get_context("spawn")
    with ProcessPoolExecutor(workers, context, begin_worker, (os.getpid(),)) as pool:
        return list(pool.map(play_losses, tasks))
