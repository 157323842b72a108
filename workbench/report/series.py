"""Numbers of an experiment's report, read from a store before anything is drawn."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import numpy as np

from workbench.experiment.store import Row, Store

Array = np.ndarray[Any, Any]
MAX_CAUSES = 6  # shown one by one
OTHER_CAUSES = "other"
MIN_SWEEP_POINTS = 3
USUAL_BASELINES = ("baseline", "before", "today")  # by preference


class RunGroup(NamedTuple):
    """The runs of one scenario by one variant."""

    scenario: str
    variant: str


Goals = dict[RunGroup, Array]
LossShares = dict[RunGroup, dict[str, float]]


@dataclass(frozen=True)
class ComparedAxes:
    """What an experiment compares.

    Attributes:
        scenarios: In alphabetical order.
        variants: The baseline first, the others in alphabetical order.
    """

    scenarios: list[str]
    variants: list[str]


@dataclass(frozen=True)
class Sweep:
    """Goals over the values of one numeric key.

    Attributes:
        key: The key that differs between the scenarios.
        goals: By variant (and scenario, where there are several), then by the key's value.
    """

    key: str
    goals: dict[str, dict[float, Array]]


@dataclass
class ScenarioSeries:
    """Figures of one scenario, means over its seeds.

    Attributes:
        scenario: Its name.
        served: By variant, the share of the requested value that was served, by second of the day.
        latency: By variant, percentiles of latency in milliseconds.
        faults: The faults of one run.
        stats: The front nodes' statistics of one run; empty where there are none.
    """

    scenario: str
    served: dict[str, Array] = field(default_factory=dict)
    latency: dict[str, dict[str, float]] = field(default_factory=dict)
    faults: list[dict[str, Any]] = field(default_factory=list)
    stats: list[dict[str, Any]] = field(default_factory=list)


def compared_axes(rows: list[Row], baseline: str = "") -> ComparedAxes:
    """Returns the scenarios and variants of an experiment.

    Args:
        rows: The experiment's runs.
        baseline: The variant that comes first; if it is not there, the first of `USUAL_BASELINES` that is.
    """
    scenarios = sorted({row.scenario for row in rows})
    variants = sorted({row.variant for row in rows})
    for name in (baseline, *USUAL_BASELINES):
        if name in variants:
            variants.remove(name)
            variants.insert(0, name)
            break
    return ComparedAxes(scenarios, variants)


def goals_by_group(rows: list[Row]) -> Goals:
    """Returns the goals of each scenario and variant, in order of seed."""
    goals: dict[RunGroup, list[float]] = defaultdict(list)
    for row in sorted(rows, key=lambda row: row.seed):
        if row.goal is not None:
            goals[RunGroup(row.scenario, row.variant)].append(row.goal)
    return {group: np.array(values) for group, values in goals.items()}


def paired_differences(
    rows: list[Row], scenarios: list[str], baseline: str, candidate: str
) -> dict[str, Array]:
    """Returns the candidate's goals less the baseline's, by scenario, over the seeds that both have."""
    by_seed = {(row.scenario, row.variant, row.seed): row.goal for row in rows if row.goal is not None}
    differences: dict[str, Array] = {}
    for scenario in scenarios:
        seeds = sorted(seed for name, variant, seed in by_seed if name == scenario and variant == candidate)
        common = [seed for seed in seeds if (scenario, baseline, seed) in by_seed]
        if common:
            differences[scenario] = np.array(
                [by_seed[scenario, candidate, seed] - by_seed[scenario, baseline, seed] for seed in common]
            )
    return differences


def mean_loss_shares(rows: list[Row]) -> LossShares:
    """Returns the mean share of the requested value that each cause and tier took, small causes together."""
    sums: dict[RunGroup, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    runs: dict[RunGroup, int] = defaultdict(int)
    totals: dict[str, float] = defaultdict(float)
    for row in rows:
        if row.goal is None:
            continue
        group = RunGroup(row.scenario, row.variant)
        runs[group] += 1
        for loss in row.losses:
            label = f"{loss.cause}, tier {loss.tier}"
            sums[group][label] += loss.share
            totals[label] += loss.share
    largest = set(sorted(totals, key=lambda label: -totals[label])[:MAX_CAUSES])
    return {group: mean_shares(by_cause, runs[group], largest) for group, by_cause in sums.items()}


def mean_shares(sums: Mapping[str, float], runs: int, largest: set[str]) -> dict[str, float]:
    """Returns each cause's mean over the runs; those that are not among the largest count together."""
    shares: dict[str, float] = defaultdict(float)
    for label, share in sums.items():
        shares[label if label in largest else OTHER_CAUSES] += share / runs
    return dict(shares)


def scenario_series(store: Store, rows: list[Row], scenario: str, max_results: int) -> ScenarioSeries:
    """Returns the figures of one scenario from the full results of its runs.

    Args:
        store: Holds the results.
        rows: The experiment's runs.
        scenario: The scenario's name.
        max_results: How many results of each variant are read.
    """
    by_variant: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for row in rows:
        if row.scenario != scenario or row.goal is None:
            continue
        results = by_variant[row.variant]
        if len(results) < max_results:
            results.append(store.result(row.task))
    series = ScenarioSeries(scenario)
    for variant, results in by_variant.items():
        series.served[variant] = mean_served_share(results)
        series.latency[variant] = mean_latency(results)
        series.faults = results[0]["day"]["fault"]
        series.stats = results[0].get("stats", [])
    return series


def mean_latency(results: list[dict[str, Any]]) -> dict[str, float]:
    """Returns the mean over the results of each percentile of latency, in milliseconds."""
    latencies = [result["account"]["latency_ms"] for result in results]
    return {key: float(np.mean([latency.get(key, np.nan) for latency in latencies])) for key in latencies[0]}


def mean_served_share(results: list[dict[str, Any]]) -> Array:
    """Returns the share of the requested value that was served, by second, over all results."""
    length = max(len(result["seconds"]) for result in results)
    served, requested = np.zeros(length), np.zeros(length)
    for result in results:
        for index, second in enumerate(result["seconds"]):
            served[index] += second["served_worth"]
            requested[index] += second["worth"]
    share: Array = served / np.maximum(requested, 1e-9)
    return share


def find_sweep(rows: list[Row]) -> Sweep | None:
    """Returns the goals over one numeric key, where the scenarios differ in that key alone."""
    goals: dict[str, dict[float, list[float]]] = defaultdict(lambda: defaultdict(list))
    keys = set()
    sources = {row.task.source for row in rows}
    for row in rows:
        point = sweep_point(row)
        if point is None or row.goal is None:
            return None
        keys.add(point.key)
        label = row.variant if len(sources) == 1 else f"{row.task.source}, {row.variant}"
        goals[label][point.value].append(row.goal)
    if len(keys) != 1 or len(next(iter(goals.values()))) < MIN_SWEEP_POINTS:
        return None
    arrays = {
        label: {value: np.array(found) for value, found in sorted(by_value.items())}
        for label, by_value in goals.items()
    }
    return Sweep(keys.pop(), arrays)


class SweepPoint(NamedTuple):
    """A numeric key and its value in one scenario."""

    key: str
    value: float


def sweep_point(row: Row) -> SweepPoint | None:
    """Returns the point that a scenario's name ends in, as in `quiet[nodes.count=2]`, if it has one."""
    point = row.scenario.removeprefix(row.task.source)
    if not point.startswith("[") or "," in point:
        return None
    key, _, value = point[1:-1].partition("=")
    try:
        return SweepPoint(key, float(value))
    except ValueError:
        return None
