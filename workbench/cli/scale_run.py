"""`workbench scale run`: measures the cost of a group of many hollow members and some real nodes."""

from __future__ import annotations

import os
import shlex
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich.console import Console

from workbench.cli.errors import InputError, writable, write_atomically

if TYPE_CHECKING:  # imported in functions, as other commands do not need these modules
    from workbench.scale.measurements import Figure, RunInfo
    from workbench.scale.plan import Plan
    from workbench.scale.run import Outcome

UNKNOWN_COMMIT = "unknown"
SIMULATED_ADDRESS_BLOCK = "127.100.100"
EXIT_NOT_COUNTED = 3  # the machine was the limit


@click.command("run")
@click.option("--plan", "plan_source", default="calm", metavar="FILE", help="Or the name of one that ships.")
@click.option("--hollow", type=int, help="Hollow members, in place of the plan's.")
@click.option("--real", type=int, help="Real nodes beside them.")
@click.option("--zones", type=int, help="Zones that the members are spread over.")
@click.option("--regions", type=int, help="Regions that the zones are spread over.")
@click.option("--seed", type=int, help="Of what the run draws.")
@click.option("--seconds", type=float, help="Of calm that are measured, before any fault.")
@click.option("--period-ms", type=int, help="Of membership's probes.")
@click.option("--join-s", type=float, help="That the members have to find one another.")
@click.option("--agree-s", type=float, help="That they have to agree after the last fault.")
@click.option("--workers", type=int, help="Processes for the hollow members; 0: by the machine's cores.")
@click.option("--membership", help="flat, or zone: members know those of their own zone.")
@click.option("--start", help="together: each knows the seeds; known: each begins with the whole group.")
@click.option("--simulate", is_flag=True, help="Also play it on the virtual network, and say the difference.")
@click.option("--out", metavar="FILE", help="Write the figures as JSON.")
@click.option("--list", "list_plans", is_flag=True, help="Name the plans that ship, and end.")
def run(
    plan_source: str, simulate: bool, out: str | None, list_plans: bool, **changes: int | float | str | None
) -> int:
    """Measure a group of hollow members and real nodes at one size.

    Exits 1 where a check fails or the run was broken off, 2 on bad input, 3 where the machine was the limit:
    such a run is not counted, whatever the checks say.
    """
    from workbench.scale.measurements import encoded, rows, table

    if list_plans:
        print_shipped_plans()
        return 0
    target = writable(out) if out else None
    given = {key: value for key, value in changes.items() if value is not None}
    screen = Console(stderr=True)
    plan = load_plan(plan_source, given, simulate)
    outcome = run_group(plan, screen)
    figures = outcome.figures
    if simulate and not outcome.trouble:
        figures += simulated_figures(plan, screen)
    measured = rows(figures, outcome.members, run_info(plan.seed), outcome.counted)
    Console(width=None if sys.stdout.isatty() else 150).print(table(measured))
    if target is not None:
        write_atomically(target, lambda path: write(path, encoded(measured)))
    return report_verdict(outcome)


def print_shipped_plans() -> None:
    """Prints the names and titles of the plans that ship."""
    from workbench.scale.plan import shipped

    for name, title in shipped().items():
        click.echo(f"{name:12} {title}")


def load_plan(source: str, changes: dict[str, Any], simulate: bool) -> Plan:
    """Reads a plan with some of its keys replaced.

    Raises:
        InputError: The plan is not valid, or cannot be simulated though that is asked for.
    """
    from workbench.scale.plan import PlanError, read_plan

    try:
        plan = read_plan(source, changes)
    except PlanError as e:
        raise InputError(str(e)) from None
    if simulate and plan.membership != "flat":
        raise InputError(f"--simulate: {plan.membership}: must be left out: only flat is simulated")
    return plan


def run_group(plan: Plan, screen: Console) -> Outcome:
    """Runs the group, with its progress on the screen.

    Raises:
        InputError: The plan does not fit this machine.
        click.Abort: The user has stopped the run.
    """
    from workbench.emulator.address_block import AddressBlockError
    from workbench.scale.plan import PlanError
    from workbench.scale.run import run as play

    try:
        with screen.status("starting") as status:
            outcome = play(plan, status.update)
    except (PlanError, AddressBlockError) as e:
        raise InputError(str(e)) from None
    if outcome.stopped:
        raise click.Abort
    return outcome


def simulated_figures(plan: Plan, screen: Console) -> list[Figure]:
    """Returns the figures of the same plan on the virtual network."""
    from workbench.scale.plan import group_of
    from workbench.scale.simulated import simulate

    with screen.status("simulating"):
        return simulate(plan, group_of(plan, SIMULATED_ADDRESS_BLOCK))


def report_verdict(outcome: Outcome) -> int:
    """Prints the results of the checks and returns the exit status."""
    for check in outcome.checks:
        click.echo(f"{check.name}: {'failed' if check.failures else 'holds'}")
        for line in check.failures:
            click.echo(f"  {line}")
    if outcome.trouble:
        click.echo(f"broken off: {outcome.trouble}")
    for line in outcome.limits:
        click.echo(f"the machine was the limit: {line}")
    if not outcome.counted:
        click.echo("not counted")
        return EXIT_NOT_COUNTED
    click.echo("passed" if outcome.passed else "failed")
    return 0 if outcome.passed else 1


def write(path: Path, data: bytes) -> None:
    """Writes a file."""
    path.write_bytes(data)


def run_info(seed: int) -> RunInfo:
    """Returns the command, commit and machine that the figures come from."""
    from workbench.baselines.revisions import RevisionError, full_revision
    from workbench.scale.measurements import RunInfo

    try:
        commit = full_revision("HEAD")
    except RevisionError:
        commit = UNKNOWN_COMMIT
    command = shlex.join(["workbench", *sys.argv[1:]])
    return RunInfo(command, seed, commit, len(os.sched_getaffinity(0)))
