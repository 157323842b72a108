"""`workbench scale run`: measures the cost of a group of many hollow members and some real nodes."""

from __future__ import annotations

import os
import shlex
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich.console import Console

from workbench.cli.errors import InputError, checked_output_path, write_atomically

# At run time these modules are imported in functions, as other commands do not need them.
if TYPE_CHECKING:
    from workbench.scale.measurements import Figure, RunInfo
    from workbench.scale.plan import Plan
    from workbench.scale.run import Outcome

UNKNOWN_COMMIT = "unknown"
SIMULATED_ADDRESS_BLOCK = "127.100.100"
# Exit status of a run that was limited by the machine.
EXIT_NOT_COUNTED = 3


@click.command("run")
@click.option(
    "--plan", "plan_source", default="calm", metavar="FILE", help="Plan file, or the name of a shipped plan."
)
@click.option("--hollow", type=int, help="Number of hollow members; by default the plan's.")
@click.option("--real", type=int, help="Number of real nodes in the same group.")
@click.option("--zones", type=int, help="Number of zones over which the members are spread.")
@click.option("--regions", type=int, help="Number of regions over which the zones are spread.")
@click.option("--seed", type=int, help="Seed of the run's random draws.")
@click.option("--seconds", type=float, help="Seconds to measure before any fault.")
@click.option("--period-ms", type=int, help="Period of the membership probes, in milliseconds.")
@click.option("--join-s", type=float, help="Seconds that the members have to find one another.")
@click.option("--agree-s", type=float, help="Seconds that the members have to agree after the last fault.")
@click.option(
    "--workers", type=int, help="Processes for the hollow members; 0 selects by the number of cores."
)
@click.option("--membership", help="flat: members know all others; zone: members know those in their zone.")
@click.option("--start", help="together: members know only the seeds; known: members know the whole group.")
@click.option(
    "--simulate", is_flag=True, help="Also simulate the plan on the virtual network, for comparison."
)
@click.option("--out", metavar="FILE", help="Write the figures as JSON.")
@click.option("--list", "list_plans", is_flag=True, help="List the shipped plans and exit.")
def run(
    plan_source: str, simulate: bool, out: str | None, list_plans: bool, **changes: int | float | str | None
) -> int:
    """Measure a group of hollow members and real nodes at one size.

    Exits 1 if a check fails or the run was aborted, 2 on bad input, and 3 if the machine was the limit: such
    a run is not counted, whatever the checks say.
    """
    from workbench.scale.measurements import build_rows, encode_rows, format_table

    if list_plans:
        print_shipped_plans()
        return 0
    target = checked_output_path(out) if out else None
    overrides = {key: value for key, value in changes.items() if value is not None}
    screen = Console(stderr=True)
    plan = load_plan(plan_source, overrides, simulate)
    outcome = run_group(plan, screen)
    figures = outcome.figures
    if simulate and not outcome.abort_reason:
        figures += simulated_figures(plan, screen)
    measured = build_rows(figures, outcome.members, run_info(plan.seed), outcome.counted)
    Console(width=None if sys.stdout.isatty() else 150).print(format_table(measured))
    if target is not None:
        write_atomically(target, lambda path: write(path, encode_rows(measured)))
    return report_verdict(outcome)


def print_shipped_plans() -> None:
    """Print the names and titles of the plans that ship."""
    from workbench.scale.plan import shipped_plans

    for name, title in shipped_plans().items():
        click.echo(f"{name:12} {title}")


def load_plan(source: str, changes: dict[str, Any], simulate: bool) -> Plan:
    """Read a plan with some of its keys replaced.

    Raises:
        InputError: The plan is not valid, or `simulate` is set and it cannot be simulated.
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
    """Run the group of a plan, and show its progress on the screen.

    Raises:
        InputError: The plan does not fit this machine.
        click.Abort: The user stopped the run.
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
    """Simulate the plan on the virtual network and return its figures."""
    from workbench.scale.plan import build_group
    from workbench.scale.simulated import simulate

    with screen.status("simulating"):
        return simulate(plan, build_group(plan, SIMULATED_ADDRESS_BLOCK))


def report_verdict(outcome: Outcome) -> int:
    """Print the results of the checks, and return the exit status."""
    for check in outcome.checks:
        click.echo(f"{check.name}: {'failed' if check.failures else 'holds'}")
        for line in check.failures:
            click.echo(f"  {line}")
    if outcome.abort_reason:
        click.echo(f"broken off: {outcome.abort_reason}")
    for line in outcome.limits:
        click.echo(f"the machine was the limit: {line}")
    if not outcome.counted:
        click.echo("not counted")
        return EXIT_NOT_COUNTED
    click.echo("passed" if outcome.passed else "failed")
    return 0 if outcome.passed else 1


def write(path: Path, data: bytes) -> None:
    """Write the data to a file."""
    path.write_bytes(data)


def run_info(seed: int) -> RunInfo:
    """Return the command, seed, commit and number of cores that produced the figures."""
    from workbench.baselines.revisions import RevisionError, full_revision
    from workbench.scale.measurements import RunInfo

    try:
        commit = full_revision("HEAD")
    except RevisionError:
        commit = UNKNOWN_COMMIT
    command = shlex.join(["workbench", *sys.argv[1:]])
    return RunInfo(command, seed, commit, len(os.sched_getaffinity(0)))
