"""`workbench simulate`: plays one day on the virtual clock."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from workbench.baselines import POLICIES, Policy
from workbench.baselines.revisions import RevisionError, full_revision, policy_of
from workbench.cli.errors import InputError as Bad
from workbench.cli.errors import writable
from workbench.cli.errors import write_atomically as write_whole
from workbench.report.tables import run_report
from workbench.scenario.load import ScenarioError, draw, load
from workbench.scenario.model import Scenario
from workbench.simulator.play import Run, play

POLICY_HELP = "Who decides: " + "; ".join(f"{n}, {p.description}" for n, p in POLICIES.items()) + "."


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
    changes = list(overrides)
    changes += [f"nodes.count={nodes}"] if nodes else []
    changes += [f"servers={servers}"] if servers else []
    targets = {name: writable(name) for name in (json_file, plot_file, log_file) if name}
    try:
        day = draw(load(scenario, changes), seed)
    except ScenarioError as e:
        raise Bad(str(e)) from None
    run = with_progress(day, decider(policy, revision, constants), -1 if follow is None else follow, changes)
    console = Console(width=None if sys.stdout.isatty() else 150)
    if run.steps:
        console.print("\n".join(run.steps), markup=False, highlight=False, soft_wrap=True)
    elif follow is not None:
        raise Bad(
            f"--follow {follow}: the day has {run.result['account']['requests']} requests, numbered from 0"
        )
    console.print(run_report(run.result, run.violations, profile), highlight=False)
    if json_file:
        write_whole(targets[json_file], lambda path: put_json(path, run))
    if log_file:
        write_whole(targets[log_file], lambda path: put_lines(path, run.log_lines))
    if plot_file:
        from workbench.report.plots import plot_run  # drawing costs a second to load

        write_whole(targets[plot_file], lambda path: plot_run(run.result, run.stats, path))
    return 1 if any(run.result["rules"].values()) else 0


def decider(policy: str, revision: str, constants: tuple[str, ...]) -> str | Policy:
    if not revision and not constants:
        return policy
    if policy != "module":
        raise Bad(f"--policy {policy}: --revision and --constant are the module's")
    try:
        pairs = [(name, float(value)) for name, _, value in (c.partition("=") for c in constants)]
        return policy_of(full_revision(revision) if revision else "", tuple(sorted(pairs)))
    except ValueError:
        raise Bad(f"--constant {' '.join(constants)}: must be NAME=VALUE, the value a number") from None
    except RevisionError as e:
        raise Bad(str(e)) from None


def with_progress(day: Scenario, policy: str | Policy, follow: int, changes: list[str]) -> Run:
    console = Console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.percentage:>3.0f}%"))
    with Progress(
        *columns, TimeRemainingColumn(), console=console, transient=True, disable=not console.is_terminal
    ) as p:
        task = p.add_task(day.title or "playing", total=1.0)
        return play(day, policy, follow, lambda share: p.update(task, completed=share), changes)


def put_json(path: Path, run: Run) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(run.result), indent=1))


def put_lines(path: Path, lines: list[str]) -> None:
    path.write_text("".join(f"{line}\n" for line in lines))
