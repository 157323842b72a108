"""`workbench experiment`: two variants told apart."""

from __future__ import annotations

import json
import os
import re
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from workbench.cli.errors import Bad
from workbench.experiment.plan import Plan, PlanError, read_plan, tasks
from workbench.experiment.runner import Outcome, run_plan
from workbench.experiment.store import Row, Store, StoreError

STATUS = {"better": 0, "worse": 1, "not told apart": 3}
UNTIL = "Add seeds until the paired 95% interval of the goal is so narrow."
BASELINE = "One more variant, the module at a revision; compared with the last variant at the end."
UNITS = {"": 1, "s": 1, "m": 60, "h": 3600}


@click.group()
def experiment() -> None:
    """Experiments: variants x scenarios x seeds, run, stored and compared."""


def seconds(text: str) -> float:
    found = re.fullmatch(r"(\d+(?:\.\d+)?)([smh]?)", text)
    if not found:
        raise Bad(f"--budget {text}: must be a time such as 90s, 5m or 1h")
    return float(found[1]) * UNITS[found[2]]


def plan_at(file: str, baseline: str = "") -> Plan:
    try:
        return read_plan(file, baseline)
    except PlanError as e:
        raise Bad(str(e)) from None


def compare_rows(rows: list[Row], a: str, b: str) -> dict[str, Any]:
    from workbench.experiment.compare import compare  # scipy costs a second to load

    return compare(rows, a, b)


def store_of(file: str, folder: str) -> Path:
    return Path(folder) / f"{Path(file).stem}.sqlite"


@contextmanager
def usable_store() -> Iterator[None]:
    """What is wrong with a store ends the command with its one line. Bad."""
    try:
        yield
    except StoreError as e:
        raise Bad(str(e)) from None


@experiment.command()
@click.argument("file")
def check(file: str) -> int:
    """Find every fault of a plan."""
    plan = plan_at(file)
    click.echo(f"sound: {len(tasks(plan))} runs")
    return 0


@experiment.command()
@click.argument("file")
@click.option("--jobs", type=click.IntRange(1), default=os.cpu_count() or 1, help="Processes, one a core.")
@click.option("--store", "folder", default="found", help="Folder of the store, by default found/.")
@click.option("--until", type=click.FloatRange(0), default=0.0, help=UNTIL)
@click.option("--budget", default="0", help="Add seeds until so much time is up, as 5m.")
@click.option("--baseline", default="", metavar="REV", help=BASELINE)
def run(file: str, jobs: int, folder: str, until: float, budget: str, baseline: str) -> int:
    """Run a plan; the same command resumes it.

    With --baseline it exits 1 where a rule was broken or the last variant is worse.
    """
    plan = plan_at(file, baseline)
    path = store_of(file, folder)
    limit = seconds(budget)
    with usable_store():
        store = Store(path)
        out = with_progress(plan, store, jobs, until, limit)
        rows = store.rows(tasks(plan))
    share = out.busy / max(1e-9, out.seconds * jobs)
    click.echo(
        f"{path}: {out.made} runs made, {out.failed} failed, {out.kept} kept from before, "
        f"{out.seconds:.0f} s, {100 * share:.0f} % of {jobs} cores' time in runs"
    )
    broken = sum(r.broken for r in rows if r.variant == plan.variant[-1].name)
    if not baseline:
        return 1 if out.failed else 0
    found = compare_rows(rows, "baseline", plan.variant[-1].name)
    show(found)
    return 1 if out.failed or broken or found["all"]["verdict"] == "worse" else 0


def with_progress(plan: Plan, store: Store, jobs: int, until: float, budget: float) -> Outcome:
    console = Console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, transient=True, disable=not console.is_terminal) as p:
        bar = p.add_task(plan.title or "runs", total=None)
        return run_plan(
            plan, store, jobs, until, budget, lambda done, total: p.update(bar, completed=done, total=total)
        )


@experiment.command()
@click.argument("store")
@click.argument("a")
@click.argument("b")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def compare(store: str, a: str, b: str, as_json: bool) -> int:
    """Variant B of STORE against A. Exits 0 better, 1 worse, 3 not told apart."""
    with usable_store():
        rows = Store(Path(store), write=False).rows()
    names = sorted({r.variant for r in rows})
    for name in (a, b):
        if name not in names:
            raise Bad(f"{store}: no variant {name!r}: there are {', '.join(names) or 'none'}")
    found = compare_rows(rows, a, b)
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        show(found)
    return STATUS[found["all"]["verdict"]]


@experiment.command()
@click.argument("store")
@click.option("-o", "folder", required=True, metavar="DIR", help="Where the page and its numbers go.")
@click.option(
    "--against", default="", metavar="VARIANT", help="The variant that the others are held against."
)
def report(store: str, folder: str, against: str) -> int:
    """Draw STORE as one HTML page, with its numbers as CSV and JSON."""
    from workbench.report.page import report as draw  # drawing costs a second to load
    from workbench.report.page import write

    with usable_store():
        opened = Store(Path(store), write=False)
        variants = {r.variant for r in opened.rows()}
    if not variants:
        raise Bad(f"{store}: no run in it")
    if against and against not in variants:
        raise Bad(f"{store}: no variant {against!r}: there are {', '.join(sorted(variants))}")
    command = f"workbench experiment report {store} -o {folder}"
    with usable_store():
        files = draw(opened, command + (f" --against {against}" if against else ""), against)
    try:
        write(files, Path(folder))
    except OSError as e:
        raise Bad(f"{folder}: cannot be written: {e.strerror}") from None
    click.echo(f"{Path(folder) / 'index.html'}")
    return 0


def show(found: dict[str, Any]) -> None:
    console = Console(width=None if Console().is_terminal else 150)
    table = Table(box=None, pad_edge=False, header_style="bold", title=f"{found['b']} against {found['a']}")
    for head in (
        "scenario",
        found["a"],
        found["b"],
        "difference",
        "95 %",
        "p",
        "pairs",
        "up/down",
        "verdict",
        "moved",
    ):
        table.add_column(head)
    for e in [*found["scenarios"], found["all"]]:
        moves = ", ".join(
            f"{m['cause']} t{m['tier']} {100 * m['change']:+.1f}" for m in e.get("moved", [])[:2]
        )
        table.add_row(
            e["scenario"],
            f"{e.get('mean_a', 0):.3f}",
            f"{e.get('mean_b', 0):.3f}",
            f"{e['difference']:+.4f}",
            f"{e['low']:+.4f} {e['high']:+.4f}",
            f"{e['p']:.3f}",
            str(e["pairs"]),
            f"{e['ups']}/{e['downs']}",
            e["verdict"],
            moves,
        )
    console.print(table, highlight=False)
    for e in found["scenarios"]:
        for side in ("a", "b"):
            if e[f"broken_{side}"]:
                times = e[f"broken_{side}"]
                console.print(f"{e['scenario']}: {found[side]} broke rules {times} times", highlight=False)
        for w in e["worst"][:1]:
            line = f"worst of {e['scenario']}: {w['difference']:+.3f}  {w['command']}"
            console.print(line, highlight=False, soft_wrap=True)
    for f in found["failed"]:
        console.print(f"failed: {f['variant']} {f['scenario']} seed {f['seed']}", highlight=False)
