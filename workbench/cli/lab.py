"""`workbench lab`: runs real node processes with injected faults, and reports the checkers' results."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn

from workbench.cli.errors import InputError, checked_output_path, write_atomically
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
    """List the plans that ship with the workbench."""
    for name, title in shipped().items():
        click.echo(f"{name:12} {title}")


@lab.command()
@click.argument("plan")
@click.option(
    "--seed", type=click.IntRange(0), help="Seed of the plan's random draws; by default the plan's seed."
)
@click.option("--nodes", type=click.IntRange(1), help="Number of processes; by default the plan's.")
@click.option(
    "--keep", metavar="DIR", help="Folder in which to keep the history and the nodes' configurations."
)
@click.option("--earlier", metavar="REVISION", help="Revision of the nodes that run an earlier version.")
@click.option("--alone", is_flag=True, help="Run without a fleet: no process knows the others.")
def run(
    plan: str, seed: int | None, nodes: int | None, keep: str | None, earlier: str | None, alone: bool
) -> int:
    """Run PLAN, a file or the name of a shipped plan (`workbench lab list`).

    Exits 1 if a checker fails or the run was aborted, 2 on bad input, and 3 if the machine was too late for
    the run to count, whatever the checkers say.
    """
    # Imported here, as other commands do not need these modules, which take long to load.
    from workbench.emulator.address_block import AddressBlockError
    from workbench.lab.run import run as play

    changes: dict[str, Any] = ({"nodes": nodes} if nodes else {}) | ({"fleet": False} if alone else {})
    changes |= {"earlier": earlier} if earlier else {}
    folder = history_folder(keep) if keep else None
    try:
        drawn = draw(plan, seed, changes)
        scenario(drawn)
        outcome = play_with_progress(drawn, lambda progress: play(drawn, folder, progress))
    except PlanError as e:
        raise InputError(str(e)) from None
    except (AddressBlockError, HistoryError) as e:
        raise InputError(str(e)) from None
    violated = print_report(outcome.events)
    if outcome.stopped:
        raise click.Abort
    if not outcome.counted and not outcome.failure:
        return 3
    return 1 if violated or outcome.failure else 0


@lab.command()
@click.argument("history")
@click.option(
    "--plot", "plot_file", metavar="FILE.png", help="Draw the timeline, with a lane for each process."
)
def show(history: str, plot_file: str | None) -> int:
    """Print the timeline of HISTORY, a file or folder written by `lab run --keep`."""
    target = checked_output_path(plot_file) if plot_file else None
    events = read_events(history)
    print_report(events)
    if target is not None:
        from workbench.lab.timeline_plot import plot

        write_atomically(target, lambda path: plot(GroundTruth(events), path))
    return 0


@lab.command("check")
@click.argument("history")
def check_again(history: str) -> int:
    """Run the checkers on HISTORY again. Exits 1 if one fails."""
    from workbench.lab.timeline import verdicts

    violations = check(read_events(history))
    console().print(verdicts(violations))
    return 1 if any(violations.values()) else 0


def history_folder(keep: str) -> Path:
    """Return the folder of `--keep`, created if it does not exist.

    Raises:
        InputError: The folder holds a history already or cannot be created.
    """
    folder = Path(keep)
    if folder.exists() and not folder.is_dir():
        raise InputError(f"{keep}: is a file: must be a folder")
    if (folder / "history.jsonl").exists():
        raise InputError(f"{keep}: holds a history already: must be another folder")
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as e:
        raise InputError(f"{keep}: cannot be made: {e.strerror}") from None
    return folder


def read_events(history: str) -> list[dict[str, Any]]:
    """Read a history from its file, or from the folder that holds it.

    Raises:
        InputError: The history cannot be read.
    """
    path = Path(history)
    try:
        return read(str(path / "history.jsonl" if path.is_dir() else path))
    except HistoryError as e:
        raise InputError(str(e)) from None


def console() -> Console:
    """Return the console of the report; the width is fixed if the output is not a terminal."""
    return Console(width=None if sys.stdout.isatty() else 150)


def print_report(events: list[dict[str, Any]]) -> bool:
    """Print the report of a run, and return whether a checker found a violation."""
    violations = check(events)
    console().print(report(GroundTruth(events), violations), highlight=False)
    return any(violations.values())


def play_with_progress(plan: Plan, play: Any) -> Any:
    """Return the result of `play`, which is called with a function that updates a progress bar."""
    screen = Console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.fields[what]}"))
    with Progress(*columns, console=screen, transient=True, disable=not screen.is_terminal) as progress:
        task = progress.add_task(plan.title or "playing", total=1.0, what="")
        return play(lambda what, share: progress.update(task, completed=share, what=what))
