"""`workbench experiment`: runs plans and compares their variants."""

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
UNTIL_HELP = "Add seeds until the paired 95% interval of the goal is so narrow."
BASELINE_HELP = "One more variant, the module at a revision; compared with the last variant at the end."
SECONDS_PER_UNIT = {"": 1, "s": 1, "m": 60, "h": 3600}


@click.group()
def experiment() -> None:
    """Experiments: variants x scenarios x seeds, run, stored and compared."""


def parse_duration(text: str) -> float:
    """Returns the seconds of a duration such as 90s, 5m or 1h.

    Raises:
        InputError: The text is no duration.
    """
    found = re.fullmatch(r"(\d+(?:\.\d+)?)([smh]?)", text)
    if not found:
        raise InputError(f"--budget {text}: must be a time such as 90s, 5m or 1h")
    return float(found[1]) * SECONDS_PER_UNIT[found[2]]


def load_plan(file: str, baseline: str = "") -> Plan:
    """Reads a plan file.

    Raises:
        InputError: The plan is not valid.
    """
    try:
        return read_plan(file, baseline)
    except PlanError as e:
        raise InputError(str(e)) from None


def compare_rows(rows: Sequence[Row], baseline: str, candidate: str) -> Comparison:
    """Compares two variants."""
    from workbench.experiment.compare import compare  # scipy takes a second to load

    return compare(rows, baseline, candidate)


def store_path(file: str, folder: str) -> Path:
    """Returns where the results of a plan file are stored."""
    return Path(folder) / f"{Path(file).stem}.sqlite"


@contextmanager
def store_errors_as_input_errors() -> Iterator[None]:
    """Raises a StoreError as an InputError with the same line."""
    try:
        yield
    except StoreError as e:
        raise InputError(str(e)) from None


@experiment.command()
@click.argument("file")
def check(file: str) -> int:
    """Find every fault of a plan."""
    plan = load_plan(file)
    click.echo(f"sound: {len(list_tasks(plan))} runs")
    return 0


@experiment.command()
@click.argument("file")
@click.option("--jobs", type=click.IntRange(1), default=os.cpu_count() or 1, help="Processes, one a core.")
@click.option("--store", "folder", default="found", help="Folder of the store, by default found/.")
@click.option("--until", type=click.FloatRange(0), default=0.0, help=UNTIL_HELP)
@click.option("--budget", default="0", help="Add seeds until so much time is up, as 5m.")
@click.option("--baseline", default="", metavar="REV", help=BASELINE_HELP)
def run(file: str, jobs: int, folder: str, until: float, budget: str, baseline: str) -> int:
    """Run a plan; the same command resumes it.

    With --baseline it exits 1 where a rule was broken or the last variant is worse.
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
    """Returns one line on the runs made and the use of the cores."""
    share = outcome.cpu_s / max(1e-9, outcome.elapsed_s * jobs)
    return (
        f"{outcome.completed} runs made, {outcome.failed} failed, {outcome.already_stored} kept from before, "
        f"{outcome.elapsed_s:.0f} s, {100 * share:.0f} % of {jobs} cores' time in runs"
    )


def run_with_progress(plan: Plan, store: Store, jobs: int, until: float, budget_s: float) -> Outcome:
    """Runs a plan, with a progress bar on a terminal."""
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
    """Variant B of STORE against A. Exits 0 better, 1 worse, 3 not told apart."""
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
@click.option("-o", "folder", required=True, metavar="DIR", help="Where the page and its numbers go.")
@click.option(
    "--against", default="", metavar="VARIANT", help="The variant that the others are held against."
)
def report(store: str, folder: str, against: str) -> int:
    """Draw STORE as one HTML page, with its numbers as CSV and JSON."""
    from workbench.report.page import report as draw  # matplotlib takes a second to load
    from workbench.report.page import write

    with store_errors_as_input_errors():
        opened = Store(Path(store), write=False)
        variants = {row.variant for row in opened.rows()}
    if not variants:
        raise InputError(f"{store}: no run in it")
    if against and against not in variants:
        raise InputError(f"{store}: no variant {against!r}: there are {', '.join(sorted(variants))}")
    command = f"workbench experiment report {store} -o {folder}"
    with store_errors_as_input_errors():
        files = draw(opened, command + (f" --against {against}" if against else ""), against)
    try:
        write(files, Path(folder))
    except OSError as e:
        raise InputError(f"{folder}: cannot be written: {e.strerror}") from None
    click.echo(f"{Path(folder) / 'index.html'}")
    return 0


def print_comparison(comparison: Comparison) -> None:
    """Prints a comparison as a table, then rule violations, the worst seeds and failed runs."""
    console = Console(width=None if Console().is_terminal else 150)
    console.print(comparison_table(comparison), highlight=False)
    for line in comparison_lines(comparison):
        console.print(line, highlight=False, soft_wrap=True)
