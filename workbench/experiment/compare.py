"""Statistical comparison of two variants, by scenario and overall.

A pair is two runs of the same scenario and seed, so both variants get the same random draws. A difference is
the candidate's goal minus the baseline's. Its 95% interval is a BCa bootstrap interval of the mean over the
pairs, or a percentile interval where BCa is undefined. The p-value comes from a sign-flip test: if the
variants were equivalent, each pair's difference would be equally likely to have the opposite sign. P-values
are corrected over the scenarios by Holm's method.

The verdict is "better" or "worse" if the corrected p-value is under 0.05, the interval excludes 0 and there
are at least five pairs; otherwise it is "not told apart". The overall result gives each scenario the same
weight: pairs are resampled within each scenario.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

import numpy as np
from msgspec import Struct, field

from workbench.experiment.plan import MIN_PAIRS
from workbench.experiment.statistics import (
    Array,
    Interval,
    bootstrap_interval,
    holm_correction,
    percentile_interval,
    resampled_means,
    sign_flip_p_value,
)
from workbench.experiment.store import Row

SIGNIFICANCE_LEVEL = 0.05
OVERALL = "over all"
MAX_WORST_SEEDS = 3
MAX_LOSS_CHANGES = 4
# Smaller changes of a loss, as a share of the requested value, are not reported.
MIN_LOSS_CHANGE_SHARE = 5e-4


class Verdict(StrEnum):
    """Outcome of a comparison; the values are stored in reports."""

    BETTER = "better"
    WORSE = "worse"
    INCONCLUSIVE = "not told apart"


class WorstSeed(Struct):
    """A seed on which the candidate scored lower than the baseline, and the command that replays it."""

    seed: int
    difference: float
    command: str


class LossChange(Struct):
    """Change of one cause's share of the requested value, from the baseline to the candidate."""

    cause: str
    tier: int
    change: float


class Result(Struct, kw_only=True):
    """Statistics of the candidate's goal minus the baseline's; JSON keys are those of stored reports."""

    scenario: str
    difference: float
    low: float
    high: float
    p_value: float = field(name="p")
    pairs: int
    increases: int = field(name="ups")
    decreases: int = field(name="downs")
    baseline_mean: float = field(name="mean_a", default=0.0)
    candidate_mean: float = field(name="mean_b", default=0.0)
    baseline_violations: int = field(name="broken_a", default=0)
    candidate_violations: int = field(name="broken_b", default=0)
    verdict: Verdict = Verdict.INCONCLUSIVE


class ScenarioResult(Result, kw_only=True):
    """The result of one scenario."""

    worst_seeds: list[WorstSeed] = field(name="worst")
    loss_changes: list[LossChange] = field(name="moved")


class FailedRun(Struct):
    """A run that raised an error and has no goal."""

    variant: str
    scenario: str
    seed: int


class Comparison(Struct):
    """Results of a candidate against a baseline; JSON keys are those of stored reports."""

    baseline: str = field(name="a")
    candidate: str = field(name="b")
    scenarios: list[ScenarioResult]
    overall: Result = field(name="all")
    failed_runs: list[FailedRun] = field(name="failed")

    def results(self) -> list[Result]:
        """Return the result of each scenario, then the overall one."""
        return [*self.scenarios, self.overall]


class Pair(NamedTuple):
    """Two runs of one scenario and seed."""

    baseline: Row
    candidate: Row

    @property
    def difference(self) -> float:
        """The candidate's goal minus the baseline's."""
        return float(self.candidate.goal or 0) - float(self.baseline.goal or 0)


def compare(rows: Sequence[Row], baseline: str, candidate: str) -> Comparison:
    """Compare two variants over all scenarios that both have run with the same seeds."""
    pairs_by_scenario = find_pairs(rows, baseline, candidate)
    results = [summarize_scenario(scenario, pairs) for scenario, pairs in pairs_by_scenario.items()]
    corrected = holm_correction([result.p_value for result in results])
    for result, p_value in zip(results, corrected, strict=True):
        result.p_value = p_value
        result.verdict = decide_verdict(result)
    groups = [goal_differences(pairs) for pairs in pairs_by_scenario.values()]
    failed = [row for row in rows if row.variant in (baseline, candidate) and row.error is not None]
    return Comparison(
        baseline=baseline,
        candidate=candidate,
        scenarios=results,
        overall=summarize_overall(groups, results),
        failed_runs=[FailedRun(row.variant, row.scenario, row.seed) for row in failed],
    )


def find_pairs(rows: Sequence[Row], baseline: str, candidate: str) -> dict[str, list[Pair]]:
    """Return the pairs in which both runs have a goal, by scenario name and in order of seed."""
    runs: dict[tuple[str, int], dict[str, Row]] = defaultdict(dict)
    for row in rows:
        if row.variant in (baseline, candidate) and row.goal is not None:
            runs[row.scenario, row.seed][row.variant] = row
    pairs: dict[str, list[Pair]] = defaultdict(list)
    for (scenario, _), by_variant in sorted(runs.items(), key=lambda item: item[0]):
        if len(by_variant) == 2:
            pairs[scenario].append(Pair(by_variant[baseline], by_variant[candidate]))
    return pairs


def goal_differences(pairs: Sequence[Pair]) -> Array:
    """Return each pair's difference, in the order of the pairs."""
    return np.array([pair.difference for pair in pairs])


def summarize_scenario(scenario: str, pairs: Sequence[Pair]) -> ScenarioResult:
    """Return the result of one scenario, without a verdict and with an uncorrected p-value."""
    differences = goal_differences(pairs)
    interval = bootstrap_interval(differences)
    return ScenarioResult(
        scenario=scenario,
        difference=float(differences.mean()),
        low=interval.low,
        high=interval.high,
        p_value=sign_flip_p_value([differences]),
        pairs=len(differences),
        increases=int(np.sum(differences > 0)),
        decreases=int(np.sum(differences < 0)),
        baseline_mean=float(np.mean([pair.baseline.goal for pair in pairs])),
        candidate_mean=float(np.mean([pair.candidate.goal for pair in pairs])),
        baseline_violations=sum(pair.baseline.rule_violations for pair in pairs),
        candidate_violations=sum(pair.candidate.rule_violations for pair in pairs),
        worst_seeds=find_worst_seeds(pairs),
        loss_changes=largest_loss_changes(pairs),
    )


def summarize_overall(groups: Sequence[Array], results: Sequence[Result]) -> Result:
    """Return the result over all scenarios, each with the same weight."""
    differences = np.concatenate(groups) if groups else np.array([])
    interval = bootstrap_overall_interval(groups)
    overall = Result(
        scenario=OVERALL,
        difference=mean_or_zero([float(group.mean()) for group in groups]),
        low=interval.low,
        high=interval.high,
        p_value=sign_flip_p_value(groups),
        pairs=len(differences),
        increases=int(np.sum(differences > 0)),
        decreases=int(np.sum(differences < 0)),
        baseline_mean=mean_or_zero([result.baseline_mean for result in results]),
        candidate_mean=mean_or_zero([result.candidate_mean for result in results]),
        baseline_violations=sum(result.baseline_violations for result in results),
        candidate_violations=sum(result.candidate_violations for result in results),
    )
    overall.verdict = decide_verdict(overall)
    return overall


def bootstrap_overall_interval(groups: Sequence[Array]) -> Interval:
    """Return the 95% percentile interval of the mean of the groups' resampled means."""
    if not groups:
        return Interval(0.0, 0.0)
    means = np.mean([resampled_means(group, seed) for seed, group in enumerate(groups)], axis=0)
    return percentile_interval(means)


def mean_or_zero(values: Sequence[float]) -> float:
    """Return the mean of the values, or 0 if there are none."""
    return float(np.mean(values)) if values else 0.0


def decide_verdict(result: Result) -> Verdict:
    """Apply the decision rule to a result whose p-value is corrected."""
    if result.pairs < MIN_PAIRS or result.p_value >= SIGNIFICANCE_LEVEL:
        return Verdict.INCONCLUSIVE
    if result.low <= 0 <= result.high:
        return Verdict.INCONCLUSIVE
    return Verdict.BETTER if result.difference > 0 else Verdict.WORSE


def find_worst_seeds(pairs: Sequence[Pair]) -> list[WorstSeed]:
    """Return the seeds with the largest decreases, and the commands that replay them."""
    differences = goal_differences(pairs)
    worst = []
    for index in np.argsort(differences)[:MAX_WORST_SEEDS]:
        if differences[index] < 0:
            row = pairs[int(index)].candidate
            worst.append(WorstSeed(row.seed, float(differences[index]), row.task.command()))
    return worst


def largest_loss_changes(pairs: Sequence[Pair]) -> list[LossChange]:
    """Return the causes of loss, by tier, whose mean share of the requested value changed most."""
    changes: dict[tuple[str, int], float] = defaultdict(float)
    for pair in pairs:
        for row, sign in ((pair.baseline, -1), (pair.candidate, 1)):
            for loss in row.losses:
                changes[loss.cause, loss.tier] += sign * loss.share / len(pairs)
    largest = sorted(changes.items(), key=lambda item: (-abs(item[1]), item[0]))[:MAX_LOSS_CHANGES]
    return [
        LossChange(cause, tier, change)
        for (cause, tier), change in largest
        if abs(change) > MIN_LOSS_CHANGE_SHARE
    ]
