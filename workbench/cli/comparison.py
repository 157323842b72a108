"""Terminal output of a comparison of two variants."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from rich.table import Table

if TYPE_CHECKING:
    from workbench.experiment.compare import Comparison, LossChange, Result, ScenarioResult

LOSS_CHANGES_SHOWN = 2
WORST_SEEDS_SHOWN = 1


def comparison_table(comparison: Comparison) -> Table:
    """Return a table with a row for each scenario and a row for the overall result."""
    title = f"{comparison.candidate} against {comparison.baseline}"
    table = Table(box=None, pad_edge=False, header_style="bold", title=title)
    variants = (comparison.baseline, comparison.candidate)
    for heading in ("scenario", *variants, "difference", "95 %", "p", "pairs", "up/down", "verdict", "moved"):
        table.add_column(heading)
    for result in comparison.scenarios:
        table.add_row(*result_cells(result), loss_changes_text(result.loss_changes))
    table.add_row(*result_cells(comparison.overall), "")
    return table


def result_cells(result: Result) -> list[str]:
    """Return the cells that rows of scenarios and the row of the overall result have in common."""
    return [
        result.scenario,
        f"{result.baseline_mean:.3f}",
        f"{result.candidate_mean:.3f}",
        f"{result.difference:+.4f}",
        f"{result.low:+.4f} {result.high:+.4f}",
        f"{result.p_value:.3f}",
        str(result.pairs),
        f"{result.increases}/{result.decreases}",
        result.verdict.value,
    ]


def loss_changes_text(changes: list[LossChange]) -> str:
    """Return the largest changes of loss by cause and tier, in percent."""
    return ", ".join(
        f"{change.cause} t{change.tier} {100 * change.change:+.1f}" for change in changes[:LOSS_CHANGES_SHOWN]
    )


def comparison_lines(comparison: Comparison) -> Iterator[str]:
    """Yield a line for each rule violation and worst seed by scenario, then for each failed run."""
    for result in comparison.scenarios:
        yield from violation_lines(comparison, result)
        for worst in result.worst_seeds[:WORST_SEEDS_SHOWN]:
            yield f"worst of {result.scenario}: {worst.difference:+.3f}  {worst.command}"
    for run in comparison.failed_runs:
        yield f"failed: {run.variant} {run.scenario} seed {run.seed}"


def violation_lines(comparison: Comparison, result: ScenarioResult) -> Iterator[str]:
    """Yield a line for each variant that broke rules in a scenario."""
    counts = {
        comparison.baseline: result.baseline_violations,
        comparison.candidate: result.candidate_violations,
    }
    for variant, violations in counts.items():
        if violations:
            yield f"{result.scenario}: {variant} broke rules {violations} times"
