"""Tables of losses on a terminal: by cause and policy, by class, by second of the fault."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from rich.console import Group
from rich.table import Table

from workbench.report.losses import Blame, Breakdown, LossCause

LEAST_SHARE = 5e-5  # of the worth asked for: smaller losses are not shown
CAUSES_SHOWN = 3
SECONDS_BEFORE = 3  # seconds shown before the first fault
SECONDS_AFTER = 30


def loss_tables(
    by_policy: Mapping[str, Breakdown], classes: Sequence[str], tiers: Sequence[str]
) -> list[Table | Group]:
    """All tables; the seconds of each breakdown count from the first fault."""
    parts: list[Table | Group] = [cause_table(by_policy, tiers)]
    for policy, losses in by_policy.items():
        parts.append(class_table(policy, losses, classes))
        parts.append(second_table(policy, losses))
    return parts


def plain_table(*heads: str) -> Table:
    """A table without lines, the figures to the right."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for index, head in enumerate(heads):
        table.add_column(head, justify="right" if index else "left")
    return table


def percent(part: float, whole: float) -> str:
    """A share of worth, as text."""
    return f"{100 * part / whole:.2f}" if whole else "-"


def blame_text(blame: Blame, tiers: Sequence[str]) -> str:
    """A cause with its tier and, for a denied retry, the failure before it."""
    after = f" after {blame.trigger}" if blame.trigger is not None else ""
    return f"{blame.cause}{after} ({tiers[blame.tier]})"


def cause_table(by_policy: Mapping[str, Breakdown], tiers: Sequence[str]) -> Table:
    """Losses by cause, a column for each policy."""
    table = plain_table("lost, % of the worth asked for", *by_policy)
    shares: Counter[Blame] = Counter()
    for losses in by_policy.values():
        for blame, worth in losses.by_blame.items():
            shares[blame] += worth / losses.asked  # type: ignore[assignment]
    for blame, share in shares.most_common():
        if share >= LEAST_SHARE:
            cells = [percent(losses.by_blame[blame], losses.asked) for losses in by_policy.values()]
            table.add_row(blame_text(blame, tiers), *cells)
    totals = [percent(losses.lost, losses.asked) for losses in by_policy.values()]
    table.add_row("all causes", *totals)
    return table


def class_table(policy: str, losses: Breakdown, classes: Sequence[str]) -> Table:
    """One policy's losses by class, as shares of what the class asked for."""
    causes = [cause for cause, _ in losses.by_cause().most_common()]
    table = plain_table(f"{policy}: lost, % of the class's worth", "all", *causes)
    for klass, asked in sorted(losses.asked_by_class.items()):
        worths = [losses.by_class[klass, cause] for cause in causes]
        table.add_row(classes[klass], percent(sum(worths), asked), *(percent(w, asked) for w in worths))
    return table


def second_table(policy: str, losses: Breakdown) -> Table:
    """One policy's losses by the second in which they were asked for, from the first fault on."""
    table = plain_table(f"{policy}: second of the fault", "lost, % of the second's worth")
    table.add_column("most of it")
    for second in range(-SECONDS_BEFORE, SECONDS_AFTER):
        asked = losses.asked_by_second[second]
        causes = Counter({cause: losses.by_second[second, cause] for cause in LossCause})
        lost = sum(causes.values())
        if asked and lost >= LEAST_SHARE * asked:
            top = (
                f"{cause} {percent(worth, asked)}"
                for cause, worth in causes.most_common(CAUSES_SHOWN)
                if worth
            )
            table.add_row(str(second), percent(lost, asked), ", ".join(top))
    return table
