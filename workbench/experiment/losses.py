"""Simulation of traced days and attribution of their losses, in parallel worker processes."""

from __future__ import annotations

import os
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context

from workbench.experiment.runner import initialize_worker
from workbench.model.network import fixed_float, fixed_int
from workbench.model.site import class_settings
from workbench.report.losses import AttributionRules, Breakdown, attribute_losses
from workbench.scenario.model import Scenario
from workbench.simulator.play import play


@dataclass(frozen=True)
class LossTask:
    """A day to simulate, with every range already drawn, and the policy that balances it."""

    day: Scenario
    policy: str


@dataclass(frozen=True)
class DayLosses:
    """The losses of one day under one policy.

    Attributes:
        policy: Name of the policy.
        seed: Seed of the day.
        goal: Goal of the run, 0 to 1.
        rule_violations: Number of rule violations.
        first_fault_second: Second of the day in which the first fault begins; 0 without faults.
        losses: Lost value by source.
    """

    policy: str
    seed: int
    goal: float
    rule_violations: int
    first_fault_second: int
    losses: Breakdown


def play_and_attribute(task: LossTask) -> DayLosses:
    """Play one day with tracing and attribute its losses.

    Raises:
        LossMismatchError: The attributed losses do not sum to the loss of the day.
    """
    day = task.day
    run = play(day, task.policy, trace=True)
    assert run.trace_log is not None, "a run with trace=True has a trace log"
    rules = AttributionRules(class_settings(day), fixed_int(day.nodes.max_attempts))
    account = run.result["account"]
    losses = attribute_losses(run.trace_log, rules, 1 - account["whole"], run.all_ended)
    violations = sum(run.result["rules"].values())
    return DayLosses(task.policy, day.seed, run.result["goal"], violations, first_fault_second(day), losses)


def first_fault_second(day: Scenario) -> int:
    """Return the second of the day in which its first fault begins, or 0 if it has no fault."""
    return int(min((fixed_float(fault.at_s) for fault in day.fault), default=0.0))


def play_and_attribute_all(tasks: Iterable[LossTask], workers: int) -> list[DayLosses]:
    """Play all days in `workers` processes; results are in the order of the tasks.

    Raises:
        LossMismatchError: The attributed losses of a day do not sum to its loss.
    """
    if workers == 1:
        return [play_and_attribute(task) for task in tasks]
    context = get_context("spawn")
    with ProcessPoolExecutor(workers, context, initialize_worker, (os.getpid(),)) as pool:
        return list(pool.map(play_and_attribute, tasks))
