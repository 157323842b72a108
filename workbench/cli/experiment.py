"""`workbench experiment`: runs plans, compares their variants and draws reports."""

from __future__ import annotations

import json
import os
import re
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from workbench.cli.comparison import comparison_lines, comparison_table
from workbench.cli.errors import InputError
from workbench.experiment.plan import BASELINE_VARIANT, Plan, PlanError, list_tasks, read_plan
from workbench.experiment.runner import Outcome, run_plan
from workbench.experiment.store import Row, Store, StoreError

if TYPE_CHECKING:
    from workbench.experiment.compare import Comparison

EXIT_STATUSES = {"better": 0, "worse": 1, "not told apart": 3}
UNTIL_HELP = "Add seeds until the paired 95% interval of the goal is at most this wide."
BASELINE_HELP = "Add the policy module at a revision as the baseline of a comparison with the last variant."
SECONDS_PER_UNIT = {"": 1, "s": 1, "m": 60, "h": 3600}


@click.group()
def experiment() -> None:
    """Run, store and compare experiments: variants x scenarios x seeds."""


def parse_duration(text: str) -> float:
    """Return the seconds of a duration such as 90s, 5m or 1h.

    Raises:
        InputError: The text is not a duration.
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([smh]?)", text)
    if not match:
        raise InputError(f"--budget {text}: must be a time such as 90s, 5m or 1h")
    return float(match[1]) * SECONDS_PER_UNIT[match[2]]


def load_plan(file: str, baseline: str = "") -> Plan:
    """Read a plan file.

    Raises:
        InputError: The plan is not valid.
    """
    try:
        return read_plan(file, baseline)
    except PlanError as e:
        raise InputError(str(e)) from None


def compare_rows(rows: Sequence[Row], baseline: str, candidate: str) -> Comparison:
    """Compare two variants over the given runs."""
    # Imported here, as scipy takes a second to load.
    from workbench.experiment.compare import compare

    return compare(rows, baseline, candidate)


def store_path(file: str, folder: str) -> Path:
    """Return the path of the store of a plan file's results."""
    return Path(folder) / f"{Path(file).stem}.sqlite"


@contextmanager
def store_errors_as_input_errors() -> Iterator[None]:
    """Convert a StoreError to an InputError with the same message."""
    try:
        yield
    except StoreError as e:
        raise InputError(str(e)) from None


@experiment.command()
@click.argument("file")
def check(file: str) -> int:
    """Validate the plan FILE and list all its errors."""
    plan = load_plan(file)
    click.echo(f"sound: {len(list_tasks(plan))} runs")
    return 0


@experiment.command()
@click.argument("file")
@click.option(
    "--jobs",
    type=click.IntRange(1),
    default=os.cpu_count() or 1,
    help="Worker processes; by default one for each core.",
)
@click.option("--store", "folder", default="found", help="Folder of the store; by default found/.")
@click.option("--until", type=click.FloatRange(0), default=0.0, help=UNTIL_HELP)
@click.option("--budget", default="0", help="Add seeds until this much time has passed, such as 5m.")
@click.option("--baseline", default="", metavar="REV", help=BASELINE_HELP)
def run(file: str, jobs: int, folder: str, until: float, budget: str, baseline: str) -> int:
    """Run the plan FILE; the same command resumes an interrupted run.

    With --baseline, exits 1 if the last variant broke a rule or is worse than the baseline.
    """
    plan = load_plan(file, baseline)
    path = store_path(file, folder)
    budget_s = parse_duration(budget)
    with store_errors_as_input_errors():
        store = Store(path)
        outcome = run_with_progress(plan, store, jobs, until, budget_s)
        rows = store.rows(list_tasks(plan))
    click.echo(f"{path}: {outcome_text(outcome, jobs)}")
    if not baseline:
        return 1 if outcome.failed else 0
    candidate = plan.variants[-1].name
    violations = sum(row.rule_violations for row in rows if row.variant == candidate)
    comparison = compare_rows(rows, BASELINE_VARIANT, candidate)
    print_comparison(comparison)
    return 1 if outcome.failed or violations or comparison.overall.verdict == "worse" else 0


def outcome_text(outcome: Outcome, jobs: int) -> str:
    """Return a summary of the runs and of the processor time used, in one line."""
    share = outcome.cpu_s / max(1e-9, outcome.elapsed_s * jobs)
    return (
        f"{outcome.completed} runs made, {outcome.failed} failed, {outcome.already_stored} kept from before, "
        f"{outcome.elapsed_s:.0f} s, {100 * share:.0f} % of {jobs} cores' time in runs"
    )


def run_with_progress(plan: Plan, store: Store, jobs: int, until: float, budget_s: float) -> Outcome:
    """Run a plan, with a progress bar on a terminal."""
    console = Console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, transient=True, disable=not console.is_terminal) as progress:
        bar = progress.add_task(plan.title or "runs", total=None)

        def update(completed: int, total: int) -> None:
            progress.update(bar, completed=completed, total=total)

        return run_plan(plan, store, jobs, until, budget_s, update)


@experiment.command()
@click.argument("store")
@click.argument("a")
@click.argument("b")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def compare(store: str, a: str, b: str, as_json: bool) -> int:
    """Compare variant B of STORE with variant A.

    Exits 0 if B is better, 1 if it is worse, and 3 if they cannot be told apart.
    """
    with store_errors_as_input_errors():
        rows = Store(Path(store), write=False).rows()
    names = sorted({row.variant for row in rows})
    for name in (a, b):
        if name not in names:
            raise InputError(f"{store}: no variant {name!r}: there are {', '.join(names) or 'none'}")
    comparison = compare_rows(rows, a, b)
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(comparison), indent=1))
    else:
        print_comparison(comparison)
    return EXIT_STATUSES[comparison.overall.verdict]


@experiment.command()
@click.argument("store")
@click.option("-o", "folder", required=True, metavar="DIR", help="Output folder.")
@click.option(
    "--against", default="", metavar="VARIANT", help="Baseline variant that the others are compared with."
)
def report(store: str, folder: str, against: str) -> int:
    """Write a report of STORE as one HTML page, with its data as CSV and JSON."""
    # Imported here, as matplotlib takes a second to load.
    from workbench.report.page import build_report, write_report

    with store_errors_as_input_errors():
        opened_store = Store(Path(store), write=False)
        variants = {row.variant for row in opened_store.rows()}
    if not variants:
        raise InputError(f"{store}: the store has no runs")
    if against and against not in variants:
        raise InputError(f"{store}: no variant {against!r}: there are {', '.join(sorted(variants))}")
    command = f"workbench experiment report {store} -o {folder}"
    with store_errors_as_input_errors():
        files = build_report(opened_store, command + (f" --against {against}" if against else ""), against)
    try:
        write_report(files, Path(folder))
    except OSError as e:
        raise InputError(f"{folder}: cannot be written: {e.strerror}") from None
    click.echo(f"{Path(folder) / 'index.html'}")
    return 0


def print_comparison(comparison: Comparison) -> None:
    """Print a comparison as a table, followed by rule violations, worst seeds and failed runs."""
    console = Console(width=None if Console().is_terminal else 150)
    console.print(comparison_table(comparison), highlight=False)
    for line in comparison_lines(comparison):
        console.print(line, highlight=False, soft_wrap=True)
