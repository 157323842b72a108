"""`workbench losses`: attributes the lost value of days to causes, by class and second of the fault."""

from __future__ import annotations

import sys

import click
from rich.console import Console
from rich.table import Table

from workbench.baselines import POLICIES
from workbench.cli.errors import InputError
from workbench.experiment.losses import DayLosses, LossTask, play_and_attribute_all
from workbench.report.loss_tables import loss_tables
from workbench.report.losses import Breakdown
from workbench.scenario.load import ScenarioError, draw, load

# Width of the tables if the output is not a terminal.
OUTPUT_WIDTH_COLUMNS = 170


@click.command()
@click.argument("scenario")
@click.option(
    "--seeds",
    type=click.IntRange(1),
    default=5,
    show_default=True,
    help="Number of days to play, one for each seed.",
)
@click.option(
    "--first-seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first day."
)
@click.option(
    "--policy",
    "policies",
    type=click.Choice(list(POLICIES)),
    multiple=True,
    default=("module",),
    show_default=True,
    help="Load-balancing policy; repeat it to play the same days with several.",
)
@click.option(
    "--set", "overrides", multiple=True, metavar="KEY=VALUE", help="Set a scenario key, given by its path."
)
@click.option("--workers", type=click.IntRange(1), default=1, show_default=True, help="Worker processes.")
def losses(
    scenario: str,
    seeds: int,
    first_seed: int,
    policies: tuple[str, ...],
    overrides: tuple[str, ...],
    workers: int,
) -> int:
    """Attribute the value lost in SCENARIO to causes.

    SCENARIO is a file or the name of a shipped scenario (`workbench scenario list`). Exits 1 if a rule was
    broken, 2 on bad input.
    """
    try:
        loaded = load(scenario, list(overrides))
    except ScenarioError as error:
        raise InputError(str(error)) from None
    drawn = [draw(loaded, seed) for seed in range(first_seed, first_seed + seeds)]
    days = play_and_attribute_all([LossTask(day, policy) for policy in policies for day in drawn], workers)
    console = Console(width=None if sys.stdout.isatty() else OUTPUT_WIDTH_COLUMNS)
    console.print(day_table(days), highlight=False)
    by_policy = {
        policy: combined_losses([day for day in days if day.policy == policy]) for policy in policies
    }
    class_names = [request_class.name for request_class in loaded.request_classes]
    for table in loss_tables(by_policy, class_names, [tier.name for tier in loaded.tier]):
        console.print()
        console.print(table, highlight=False)
    return 1 if any(day.rule_violations for day in days) else 0


def combined_losses(days: list[DayLosses]) -> Breakdown:
    """Return the sum of the losses of all days, with seconds counted from each day's first fault."""
    total = Breakdown()
    for day in days:
        total.add(day.losses, shift=-day.first_fault_second)
    return total


def day_table(days: list[DayLosses]) -> Table:
    """Return a table with a row for each day: policy, seed, goal, lost share and broken rules."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for heading in ("policy", "seed", "goal", "lost, %", "broken rules"):
        table.add_column(heading, justify="left" if heading == "policy" else "right")
    for day in days:
        share = 100 * day.losses.lost / day.losses.requested
        table.add_row(day.policy, str(day.seed), f"{day.goal:.3f}", f"{share:.2f}", str(day.rule_violations))
    return table
