"""Terminal tables of lost value: by cause and policy, by class, and by second of the fault."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from rich.table import Table

from workbench.report.losses import Breakdown, LossCause, LossSource

# Losses below this share of the requested value are not shown.
MIN_SHOWN_SHARE = 5e-5
MAX_CAUSES_PER_SECOND = 3
SECONDS_BEFORE_FAULT = 3
SECONDS_AFTER_FAULT = 30


def loss_tables(
    by_policy: Mapping[str, Breakdown], classes: Sequence[str], tiers: Sequence[str]
) -> list[Table]:
    """Return all tables of losses.

    Args:
        by_policy: Losses of each policy, with seconds counted from the first fault.
        classes: The names of the request classes.
        tiers: The names of the tiers.
    """
    tables = [cause_table(by_policy, tiers)]
    for policy, losses in by_policy.items():
        tables.append(class_table(policy, losses, classes))
        tables.append(second_table(policy, losses))
    return tables


def table_without_lines(*headings: str) -> Table:
    """Return an empty table without borders; all columns but the first are right-aligned."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for index, heading in enumerate(headings):
        table.add_column(heading, justify="right" if index else "left")
    return table


def percent(part: float, whole: float) -> str:
    """Return a share formatted in percent, or "-" if the whole is 0."""
    return f"{100 * part / whole:.2f}" if whole else "-"


def source_text(source: LossSource, tiers: Sequence[str]) -> str:
    """Return the label of a loss source: its cause, its tier and, for a denied retry, the failure before."""
    after = f" after {source.trigger}" if source.trigger is not None else ""
    return f"{source.cause}{after} ({tiers[source.tier]})"


def cause_table(by_policy: Mapping[str, Breakdown], tiers: Sequence[str]) -> Table:
    """Return the losses by cause and tier, with a column for each policy."""
    table = table_without_lines("lost, % of the worth asked for", *by_policy)
    shares: Counter[LossSource] = Counter()
    for losses in by_policy.values():
        for source, value in losses.by_source.items():
            shares[source] += value / losses.requested  # type: ignore[assignment]
    for source, share in shares.most_common():
        if share >= MIN_SHOWN_SHARE:
            cells = [percent(losses.by_source[source], losses.requested) for losses in by_policy.values()]
            table.add_row(source_text(source, tiers), *cells)
    totals = [percent(losses.lost, losses.requested) for losses in by_policy.values()]
    table.add_row("all causes", *totals)
    return table


def class_table(policy: str, losses: Breakdown, classes: Sequence[str]) -> Table:
    """Return one policy's losses by class, as shares of the class's requested value."""
    causes = [cause for cause, _ in losses.by_cause().most_common()]
    table = table_without_lines(f"{policy}: lost, % of the class's worth", "all", *causes)
    for request_class, requested in sorted(losses.requested_by_class.items()):
        values = [losses.by_class[request_class, cause] for cause in causes]
        cells = [percent(value, requested) for value in values]
        table.add_row(classes[request_class], percent(sum(values), requested), *cells)
    return table


def second_table(policy: str, losses: Breakdown) -> Table:
    """Return one policy's losses around the first fault, by the second in which requests were due."""
    table = table_without_lines(f"{policy}: second of the fault", "lost, % of the second's worth")
    table.add_column("largest causes")
    for second in range(-SECONDS_BEFORE_FAULT, SECONDS_AFTER_FAULT):
        requested = losses.requested_by_second[second]
        by_cause = Counter({cause: losses.by_second[second, cause] for cause in LossCause})
        lost = sum(by_cause.values())
        if requested and lost >= MIN_SHOWN_SHARE * requested:
            table.add_row(str(second), percent(lost, requested), largest_causes(by_cause, requested))
    return table


def largest_causes(by_cause: Counter[LossCause], requested: float) -> str:
    """Return a list of the largest causes of a second's losses, with their shares in percent."""
    largest = by_cause.most_common(MAX_CAUSES_PER_SECOND)
    return ", ".join(f"{cause} {percent(value, requested)}" for cause, value in largest if value)
