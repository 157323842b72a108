"""`workbench losses`: where days lose their worth, by cause, class and second of the fault."""

from __future__ import annotations

import sys

import click
from rich.console import Console
from rich.table import Table

from workbench.baselines import POLICIES
from workbench.cli.errors import InputError
from workbench.experiment.losses import DayLosses, LossTask, play_all
from workbench.report.loss_tables import loss_tables
from workbench.report.losses import Breakdown
from workbench.scenario.load import ScenarioError, draw, load

WIDTH = 170  # of the tables where they do not go to a terminal


@click.command()
@click.argument("scenario")
@click.option("--seeds", type=click.IntRange(1), default=5, show_default=True, help="Days to play.")
@click.option("--first-seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first.")
@click.option(
    "--policy",
    "policies",
    type=click.Choice(list(POLICIES)),
    multiple=True,
    default=("module",),
    show_default=True,
    help="Who decides; given several times, each plays the same days.",
)
@click.option("--set", "overrides", multiple=True, metavar="KEY=VALUE", help="Override a key by its path.")
@click.option("--workers", type=click.IntRange(1), default=1, show_default=True, help="Processes that play.")
def losses(
    scenario: str,
    seeds: int,
    first_seed: int,
    policies: tuple[str, ...],
    overrides: tuple[str, ...],
    workers: int,
) -> int:
    """Attribute the worth that SCENARIO loses to causes.

    SCENARIO is a file or the name of one that ships (`workbench scenario list`). Exits 1 where a rule was
    broken, 2 on bad input.
    """
    try:
        loaded = load(scenario, list(overrides))
    except ScenarioError as error:
        raise InputError(str(error)) from None
    drawn = [draw(loaded, seed) for seed in range(first_seed, first_seed + seeds)]
    days = play_all([LossTask(day, policy) for policy in policies for day in drawn], workers)
    console = Console(width=None if sys.stdout.isatty() else WIDTH)
    console.print(day_table(days), highlight=False)
    by_policy = {policy: joined([day for day in days if day.policy == policy]) for policy in policies}
    names = [klass.name for klass in loaded.request_classes]
    for table in loss_tables(by_policy, names, [tier.name for tier in loaded.tier]):
        console.print()
        console.print(table, highlight=False)
    return 1 if any(day.broken_rules for day in days) else 0


def joined(days: list[DayLosses]) -> Breakdown:
    """Several days as one, their seconds counted from each day's first fault."""
    total = Breakdown()
    for day in days:
        total.add(day.losses, shift=-day.fault_second)
    return total


def day_table(days: list[DayLosses]) -> Table:
    """A line for each day that was played."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for head in ("policy", "seed", "goal", "lost, %", "broken rules"):
        table.add_column(head, justify="left" if head == "policy" else "right")
    for day in days:
        share = 100 * day.losses.lost / day.losses.requested
        table.add_row(day.policy, str(day.seed), f"{day.goal:.3f}", f"{share:.2f}", str(day.broken_rules))
    return table
