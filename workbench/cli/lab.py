"""`workbench lab`: real processes of the node with faults between them, and the checkers' report."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn

from workbench.cli.errors import InputError, writable, write_atomically
from workbench.lab.checkers import check
from workbench.lab.ground_truth import GroundTruth
from workbench.lab.history import HistoryError, read
from workbench.lab.plan import Plan, PlanError, draw, scenario, shipped
from workbench.lab.timeline import report


@click.group()
def lab() -> None:
    """Run several processes of the node with faults between them."""


@lab.command("list")
def list_plans() -> None:
    """The plans that ship with the product."""
    for name, title in shipped().items():
        click.echo(f"{name:12} {title}")


@lab.command()
@click.argument("plan")
@click.option("--seed", type=click.IntRange(0), help="Of what the plan draws; by default its own.")
@click.option("--nodes", type=click.IntRange(1), help="Processes, in place of the plan's.")
@click.option("--keep", metavar="DIR", help="Keep the history and the nodes' configurations in a folder.")
@click.option("--earlier", metavar="REVISION", help="Of the nodes that are of an earlier one.")
@click.option("--alone", is_flag=True, help="Without the fleet: no process knows of another.")
def run(
    plan: str, seed: int | None, nodes: int | None, keep: str | None, earlier: str | None, alone: bool
) -> int:
    """Play PLAN, a file or the name of one that ships (`workbench lab list`).

    Exits 1 where a checker fails or the run was broken off, 2 on bad input, 3 where the machine was too late
    for the run to count, whatever the checkers say.
    """
    from workbench.emulator.address_block import AddressBlockError
    from workbench.lab.run import run as play  # the workbench's other commands do without its weight

    changes: dict[str, Any] = ({"nodes": nodes} if nodes else {}) | ({"fleet": False} if alone else {})
    changes |= {"earlier": earlier} if earlier else {}
    folder = folder_of(keep) if keep else None
    try:
        drawn = draw(plan, seed, changes)
        scenario(drawn)
        outcome = with_progress(drawn, lambda progress: play(drawn, folder, progress))
    except PlanError as e:
        raise InputError(str(e)) from None
    except (AddressBlockError, HistoryError) as e:
        raise InputError(str(e)) from None
    violated = show_report(outcome.events)
    if outcome.stopped:
        raise click.Abort
    if not outcome.counted and not outcome.failure:
        return 3
    return 1 if violated or outcome.failure else 0


@lab.command()
@click.argument("history")
@click.option("--plot", "plot_file", metavar="FILE.png", help="Draw it, a lane for each process.")
def show(history: str, plot_file: str | None) -> int:
    """The timeline of HISTORY, a file that `lab run --keep` left."""
    target = writable(plot_file) if plot_file else None
    events = events_of(history)
    show_report(events)
    if target is not None:
        from workbench.lab.timeline_plot import plot

        write_atomically(target, lambda path: plot(GroundTruth(events), path))
    return 0


@lab.command("check")
@click.argument("history")
def check_again(history: str) -> int:
    """Repeat the checkers over HISTORY. Exits 1 where one fails."""
    from workbench.lab.timeline import verdicts

    violations = check(events_of(history))
    console().print(verdicts(violations))
    return 1 if any(violations.values()) else 0


def folder_of(keep: str) -> Path:
    """Returns the folder of `--keep`, made if need be; one that holds a history is refused."""
    folder = Path(keep)
    if folder.exists() and not folder.is_dir():
        raise InputError(f"{keep}: is a file: a folder is wanted")
    if (folder / "history.jsonl").exists():
        raise InputError(f"{keep}: holds a history already: name another folder")
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as e:
        raise InputError(f"{keep}: cannot be made: {e.strerror}") from None
    return folder


def events_of(history: str) -> list[dict[str, Any]]:
    """Reads a history, given by its file or its folder."""
    path = Path(history)
    try:
        return read(str(path / "history.jsonl" if path.is_dir() else path))
    except HistoryError as e:
        raise InputError(str(e)) from None


def console() -> Console:
    """Returns the console of the report; its width is fixed where it is not a terminal."""
    return Console(width=None if sys.stdout.isatty() else 150)


def show_report(events: list[dict[str, Any]]) -> bool:
    """Prints the report of a run; returns whether a checker found a violation."""
    violations = check(events)
    console().print(report(GroundTruth(events), violations), highlight=False)
    return any(violations.values())


def with_progress(plan: Plan, play: Any) -> Any:
    """Runs `play` with a progress bar on a terminal; it gets a function to report progress by."""
    screen = Console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.fields[what]}"))
    with Progress(*columns, console=screen, transient=True, disable=not screen.is_terminal) as p:
        task = p.add_task(plan.title or "playing", total=1.0, what="")
        return play(lambda what, share: p.update(task, completed=share, what=what))
