"""`workbench simulate`: simulates one day on the virtual clock."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from workbench.baselines import POLICIES, PolicyFactory
from workbench.baselines.revisions import RevisionError, full_revision, load_policy_factory
from workbench.cli.errors import InputError, checked_output_path, write_atomically
from workbench.report.tables import run_report
from workbench.scenario.load import ScenarioError, draw, load
from workbench.scenario.model import Scenario
from workbench.simulator.play import Run, play

# Index of the followed request if none is followed.
NO_FOLLOWED_REQUEST = -1
# Width of the report if the output is not a terminal.
OUTPUT_WIDTH_COLUMNS = 150
POLICY_HELP = (
    "Load-balancing policy: "
    + "; ".join(f"{name}, {policy.description}" for name, policy in POLICIES.items())
    + "."
)


@dataclass(frozen=True)
class OutputFiles:
    """Paths of the files to which a run is written; None for a file that was not requested."""

    json: Path | None
    plot: Path | None
    log: Path | None

    @classmethod
    def from_names(cls, json: str | None, plot: str | None, log: str | None) -> OutputFiles:
        """Check the names given as options and return their paths.

        Raises:
            InputError: A file cannot be written.
        """
        return cls(*(checked_output_path(name) if name else None for name in (json, plot, log)))


@click.command()
@click.argument("scenario")
@click.option(
    "--seed", type=click.IntRange(0), default=None, help="Seed of the draw; by default the scenario's seed."
)
@click.option("--policy", type=click.Choice(list(POLICIES)), default="module", help=POLICY_HELP)
@click.option(
    "--revision", default="", metavar="REV", help="Use the policy module from a revision of the repository."
)
@click.option(
    "--constant",
    "constants",
    multiple=True,
    metavar="NAME=VALUE",
    help="Change a constant of the policy module.",
)
@click.option("--nodes", type=click.IntRange(1), help="Number of front nodes; by default the scenario's.")
@click.option(
    "--servers",
    type=click.IntRange(1),
    help="Servers of the first tier; the other tiers keep their ratio to it.",
)
@click.option(
    "--set", "overrides", multiple=True, metavar="KEY=VALUE", help="Set a scenario key, given by its path."
)
@click.option("--json", "json_file", metavar="FILE", help="Write the result as JSON.")
@click.option("--plot", "plot_file", metavar="FILE.png", help="Plot the day.")
@click.option(
    "--follow",
    type=click.IntRange(0),
    metavar="ID",
    help="Print the trace of one request, given by its number from 0.",
)
@click.option(
    "--profile",
    is_flag=True,
    help="Print the shares of processor time of the policy module and of the simulation.",
)
@click.option("--log", "log_file", metavar="FILE", help="Write the log lines of the front nodes.")
def simulate(
    scenario: str,
    seed: int | None,
    policy: str,
    revision: str,
    constants: tuple[str, ...],
    nodes: int | None,
    servers: int | None,
    overrides: tuple[str, ...],
    json_file: str | None,
    plot_file: str | None,
    follow: int | None,
    profile: bool,
    log_file: str | None,
) -> int:
    """Simulate one day of SCENARIO, a file or the name of a shipped scenario (`workbench scenario list`).

    Exits 1 if a rule was broken, 2 on bad input.
    """
    changes = scenario_changes(overrides, nodes, servers)
    outputs = OutputFiles.from_names(json_file, plot_file, log_file)
    try:
        day = draw(load(scenario, changes), seed)
    except ScenarioError as error:
        raise InputError(str(error)) from None
    followed = NO_FOLLOWED_REQUEST if follow is None else follow
    run = play_with_progress(day, chosen_policy(policy, revision, constants), followed, changes)
    print_run(run, follow, profile)
    write_outputs(run, outputs)
    return 1 if any(run.result["rules"].values()) else 0


def scenario_changes(overrides: tuple[str, ...], nodes: int | None, servers: int | None) -> list[str]:
    """Return the overrides of scenario keys that the options request, in the order in which they apply."""
    changes = list(overrides)
    if nodes:
        changes.append(f"nodes.count={nodes}")
    if servers:
        changes.append(f"servers={servers}")
    return changes


def chosen_policy(policy: str, revision: str, constants: tuple[str, ...]) -> str | PolicyFactory:
    """Return the selected policy: its name, or the module at a revision or with changed constants.

    Raises:
        InputError: The options are not compatible, or the revision or constant does not exist.
    """
    if not revision and not constants:
        return policy
    if policy != "module":
        raise InputError(f"--policy {policy}: --revision and --constant apply only to the policy module")
    try:
        values = sorted(parse_constant(constant) for constant in constants)
        return load_policy_factory(full_revision(revision) if revision else "", tuple(values))
    except ValueError:
        raise InputError(
            f"--constant {' '.join(constants)}: must be NAME=VALUE, the value a number"
        ) from None
    except RevisionError as error:
        raise InputError(str(error)) from None


def parse_constant(text: str) -> tuple[str, float]:
    """Parse the name and the value of a constant from NAME=VALUE.

    Raises:
        ValueError: The value is not a number.
    """
    name, _, value = text.partition("=")
    return name, float(value)


def play_with_progress(day: Scenario, policy: str | PolicyFactory, follow: int, changes: list[str]) -> Run:
    """Play a day, with a progress bar if standard error is a terminal.

    Args:
        day: The scenario with every range already drawn.
        policy: The load-balancing policy.
        follow: Index of the request to trace, or `NO_FOLLOWED_REQUEST`.
        changes: Overrides of scenario keys, which are stored with the result.
    """
    console = Console(stderr=True)
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.percentage:>3.0f}%"),
        TimeRemainingColumn(),
    )
    with Progress(*columns, console=console, transient=True, disable=not console.is_terminal) as progress:
        task = progress.add_task(day.title or "playing", total=1.0)
        return play(day, policy, follow, lambda share: progress.update(task, completed=share), changes)


def print_run(run: Run, follow: int | None, profile: bool) -> None:
    """Print the trace of the followed request, then the report of the run.

    Raises:
        InputError: The day has no request with that number.
    """
    console = Console(width=None if sys.stdout.isatty() else OUTPUT_WIDTH_COLUMNS)
    if run.steps:
        console.print("\n".join(run.steps), markup=False, highlight=False, soft_wrap=True)
    elif follow is not None:
        requests = run.result["account"]["requests"]
        raise InputError(f"--follow {follow}: the day has {requests} requests, numbered from 0")
    console.print(run_report(run.result, run.violations, profile), highlight=False)


def write_outputs(run: Run, outputs: OutputFiles) -> None:
    """Write the requested files, each completely or not at all.

    Raises:
        InputError: A file cannot be written.
    """
    if outputs.json:
        write_atomically(outputs.json, lambda path: write_json(path, run))
    if outputs.log:
        write_atomically(outputs.log, lambda path: write_lines(path, run.log_lines))
    if outputs.plot:
        # Imported here, as matplotlib takes a second to load.
        from workbench.report.plots import plot_run

        write_atomically(outputs.plot, lambda path: plot_run(run.result, run.stats, path))


def write_json(path: Path, run: Run) -> None:
    """Write a run's result as indented JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(run.result), indent=1))


def write_lines(path: Path, lines: list[str]) -> None:
    """Write lines of text, each with a line feed at its end."""
    path.write_text("".join(f"{line}\n" for line in lines))
