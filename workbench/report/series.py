"""Data series of an experiment's report, computed from a store."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import numpy as np

from workbench.experiment.store import Row, Store

Array = np.ndarray[Any, Any]
# Number of causes of loss that are shown separately; the others are summed as `OTHER_CAUSES`.
MAX_CAUSES = 6
OTHER_CAUSES = "other"
MIN_SWEEP_POINTS = 3
# Names of variants that are used as the baseline by default, in order of preference.
DEFAULT_BASELINES = ("baseline", "before", "today")


class RunGroup(NamedTuple):
    """Key of the runs of one scenario and variant."""

    scenario: str
    variant: str


Goals = dict[RunGroup, Array]
LossShares = dict[RunGroup, dict[str, float]]


@dataclass(frozen=True)
class ExperimentDimensions:
    """Scenarios and variants of an experiment.

    Attributes:
        scenarios: Scenarios in alphabetical order.
        variants: The baseline, then the other variants in alphabetical order.
    """

    scenarios: list[str]
    variants: list[str]


@dataclass(frozen=True)
class Sweep:
    """Goals over the values of one numeric key.

    Attributes:
        key: The key that differs between the scenarios.
        goals: Goals by variant (and scenario, if there are several), then by the key's value.
    """

    key: str
    goals: dict[str, dict[float, Array]]


@dataclass
class ScenarioSeries:
    """Data series of one scenario, averaged over its seeds.

    Attributes:
        scenario: Name of the scenario.
        served: Served share of the requested value by second of the day, for each variant.
        latency: Percentiles of latency in milliseconds, for each variant.
        faults: Faults of one run.
        stats: Front nodes' statistics of one run; empty if there are none.
    """

    scenario: str
    served: dict[str, Array] = field(default_factory=dict)
    latency: dict[str, dict[str, float]] = field(default_factory=dict)
    faults: list[dict[str, Any]] = field(default_factory=list)
    stats: list[dict[str, Any]] = field(default_factory=list)


def experiment_dimensions(rows: list[Row], baseline: str = "") -> ExperimentDimensions:
    """Return the scenarios and variants of an experiment.

    Args:
        rows: Runs of the experiment.
        baseline: Name of the baseline; if there is no such variant, the first one of `DEFAULT_BASELINES`
            that exists is used.
    """
    scenarios = sorted({row.scenario for row in rows})
    variants = sorted({row.variant for row in rows})
    for name in (baseline, *DEFAULT_BASELINES):
        if name in variants:
            variants.remove(name)
            variants.insert(0, name)
            break
    return ExperimentDimensions(scenarios, variants)


def goals_by_group(rows: list[Row]) -> Goals:
    """Return the goals of each scenario and variant, in order of seed."""
    goals: dict[RunGroup, list[float]] = defaultdict(list)
    for row in sorted(rows, key=lambda row: row.seed):
        if row.goal is not None:
            goals[RunGroup(row.scenario, row.variant)].append(row.goal)
    return {group: np.array(values) for group, values in goals.items()}


def paired_differences(
    rows: list[Row], scenarios: list[str], baseline: str, candidate: str
) -> dict[str, Array]:
    """Return the candidate's goals minus the baseline's by scenario, for the seeds that both have run."""
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
    """Return the mean lost share of the requested value by cause and tier; small causes are combined."""
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
    """Return the mean share of each of the largest causes, and of all others combined."""
    shares: dict[str, float] = defaultdict(float)
    for label, share in sums.items():
        shares[label if label in largest else OTHER_CAUSES] += share / runs
    return dict(shares)


def scenario_series(store: Store, rows: list[Row], scenario: str, max_results: int) -> ScenarioSeries:
    """Return the data series of one scenario from the full results of its runs.

    Args:
        store: The store of the results.
        rows: Runs of the experiment.
        scenario: Name of the scenario.
        max_results: Maximum number of results to read for each variant.
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
    """Return each percentile of latency in milliseconds, averaged over the results."""
    latencies = [result["account"]["latency_ms"] for result in results]
    return {key: float(np.mean([latency.get(key, np.nan) for latency in latencies])) for key in latencies[0]}


def mean_served_share(results: list[dict[str, Any]]) -> Array:
    """Return the served share of the requested value by second of the day, over all results."""
    length = max(len(result["seconds"]) for result in results)
    served, requested = np.zeros(length), np.zeros(length)
    for result in results:
        for index, second in enumerate(result["seconds"]):
            served[index] += second["served_worth"]
            requested[index] += second["worth"]
    share: Array = served / np.maximum(requested, 1e-9)
    return share


def find_sweep(rows: list[Row]) -> Sweep | None:
    """Return the goals over a numeric key if the scenarios differ only in that key, otherwise None."""
    goals: dict[str, dict[float, list[float]]] = defaultdict(lambda: defaultdict(list))
    keys = set()
    sources = {row.task.source for row in rows}
    for row in rows:
        point = parse_sweep_point(row)
        if point is None or row.goal is None:
            return None
        keys.add(point.key)
        label = row.variant if len(sources) == 1 else f"{row.task.source}, {row.variant}"
        goals[label][point.value].append(row.goal)
    if len(keys) != 1 or len(next(iter(goals.values()))) < MIN_SWEEP_POINTS:
        return None
    arrays = {
        label: {value: np.array(values) for value, values in sorted(by_value.items())}
        for label, by_value in goals.items()
    }
    return Sweep(keys.pop(), arrays)


class SweepPoint(NamedTuple):
    """A numeric key and its value in one scenario."""

    key: str
    value: float


def parse_sweep_point(row: Row) -> SweepPoint | None:
    """Parse the grid value at the end of a scenario's name, as in `quiet[nodes.count=2]`.

    Returns None unless the name ends with exactly one key and a numeric value.
    """
    point = row.scenario.removeprefix(row.task.source)
    if not point.startswith("[") or "," in point:
        return None
    key, _, value = point[1:-1].partition("=")
    try:
        return SweepPoint(key, float(value))
    except ValueError:
        return None
