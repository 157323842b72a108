"""`workbench simulate`: plays one day on the virtual clock."""

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
from workbench.cli.errors import InputError, writable, write_atomically
from workbench.report.tables import run_report
from workbench.scenario.load import ScenarioError, draw, load
from workbench.scenario.model import Scenario
from workbench.simulator.play import Run, play

NOT_FOLLOWED = -1  # as the index of the followed request
WIDTH = 150  # of the output where it does not go to a terminal
POLICY_HELP = (
    "Who decides: " + "; ".join(f"{name}, {policy.description}" for name, policy in POLICIES.items()) + "."
)


@dataclass(frozen=True)
class OutputFiles:
    """The files that a run is written to, each only if it is wanted."""

    json: Path | None
    plot: Path | None
    log: Path | None

    @classmethod
    def from_names(cls, json: str | None, plot: str | None, log: str | None) -> OutputFiles:
        """Returns the files of these names.

        Raises:
            InputError: A file cannot be written.
        """
        return cls(*(writable(name) if name else None for name in (json, plot, log)))


@click.command()
@click.argument("scenario")
@click.option(
    "--seed", type=click.IntRange(0), default=None, help="Of the day's draw; by default the scenario's own."
)
@click.option("--policy", type=click.Choice(list(POLICIES)), default="module", help=POLICY_HELP)
@click.option(
    "--revision", default="", metavar="REV", help="The module as a revision of the repository has it."
)
@click.option(
    "--constant", "constants", multiple=True, metavar="NAME=VALUE", help="A figure of the module's."
)
@click.option("--nodes", type=click.IntRange(1), help="Front nodes, in place of the scenario's.")
@click.option(
    "--servers", type=click.IntRange(1), help="Servers of the first tier; the others keep their ratio."
)
@click.option("--set", "overrides", multiple=True, metavar="KEY=VALUE", help="Override a key by its path.")
@click.option("--json", "json_file", metavar="FILE", help="Write the result as JSON.")
@click.option("--plot", "plot_file", metavar="FILE.png", help="Draw the day.")
@click.option(
    "--follow", type=click.IntRange(0), metavar="ID", help="Tell one request's story (its number, from 0)."
)
@click.option("--profile", is_flag=True, help="Print the module's and the world's shares of the time.")
@click.option("--log", "log_file", metavar="FILE", help="Write the front nodes' own log lines.")
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
    """Play one day of SCENARIO, a file or the name of one that ships (`workbench scenario list`).

    Exits 1 where a rule was broken, 2 on bad input.
    """
    changes = scenario_changes(overrides, nodes, servers)
    outputs = OutputFiles.from_names(json_file, plot_file, log_file)
    try:
        day = draw(load(scenario, changes), seed)
    except ScenarioError as error:
        raise InputError(str(error)) from None
    followed = NOT_FOLLOWED if follow is None else follow
    run = play_with_progress(day, chosen_policy(policy, revision, constants), followed, changes)
    print_run(run, follow, profile)
    write_outputs(run, outputs)
    return 1 if any(run.result["rules"].values()) else 0


def scenario_changes(overrides: tuple[str, ...], nodes: int | None, servers: int | None) -> list[str]:
    """Returns the changes to the scenario's keys that the options ask for, in the order of their effect."""
    changes = list(overrides)
    if nodes:
        changes.append(f"nodes.count={nodes}")
    if servers:
        changes.append(f"servers={servers}")
    return changes


def chosen_policy(policy: str, revision: str, constants: tuple[str, ...]) -> str | PolicyFactory:
    """Returns the policy that the options choose: by its name, or the module at a revision or with constants.

    Raises:
        InputError: The options do not fit together, or there is no such revision or constant.
    """
    if not revision and not constants:
        return policy
    if policy != "module":
        raise InputError(f"--policy {policy}: --revision and --constant are the module's")
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
    """Returns the name and the value of a constant from NAME=VALUE.

    Raises:
        ValueError: The value is not a number.
    """
    name, _, value = text.partition("=")
    return name, float(value)


def play_with_progress(day: Scenario, policy: str | PolicyFactory, follow: int, changes: list[str]) -> Run:
    """Plays a day, with a progress bar if standard error is a terminal.

    Args:
        day: Its ranges are drawn.
        policy: Who decides.
        follow: The index of the request that is traced, or `NOT_FOLLOWED`.
        changes: The changes to the scenario's keys, kept with the result.
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
    """Prints the trace of the request that was followed, then the run's report.

    Raises:
        InputError: The day has no such request.
    """
    console = Console(width=None if sys.stdout.isatty() else WIDTH)
    if run.steps:
        console.print("\n".join(run.steps), markup=False, highlight=False, soft_wrap=True)
    elif follow is not None:
        requests = run.result["account"]["requests"]
        raise InputError(f"--follow {follow}: the day has {requests} requests, numbered from 0")
    console.print(run_report(run.result, run.violations, profile), highlight=False)


def write_outputs(run: Run, outputs: OutputFiles) -> None:
    """Writes the files that are wanted, each complete or not at all.

    Raises:
        InputError: A file cannot be written.
    """
    if outputs.json:
        write_atomically(outputs.json, lambda path: write_json(path, run))
    if outputs.log:
        write_atomically(outputs.log, lambda path: write_lines(path, run.log_lines))
    if outputs.plot:
        from workbench.report.plots import plot_run  # matplotlib takes a second to load

        write_atomically(outputs.plot, lambda path: plot_run(run.result, run.stats, path))


def write_json(path: Path, run: Run) -> None:
    """Writes a run's result as indented JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(run.result), indent=1))


def write_lines(path: Path, lines: list[str]) -> None:
    """Writes lines of text."""
    path.write_text("".join(f"{line}\n" for line in lines))
