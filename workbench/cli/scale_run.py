"""`workbench scale run`: many hollow members and some real nodes in one group, and what each costs."""

from __future__ import annotations

import os
import shlex
import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console

from workbench.cli.errors import Bad, writable, write_whole

NO_COMMIT = "unknown"


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
    from workbench.emulator.address_block import (
        AddressBlockError,  # the workbench's other commands do without its weight
    )
    from workbench.scale.measurements import encoded, rows, table
    from workbench.scale.plan import PlanError, group_of, read_plan, shipped
    from workbench.scale.run import run as play

    if list_plans:
        for name, title in shipped().items():
            click.echo(f"{name:12} {title}")
        return 0
    target = writable(out) if out else None
    given: dict[str, Any] = {key: value for key, value in changes.items() if value is not None}
    screen = Console(stderr=True)
    try:
        plan = read_plan(plan_source, given)
        if simulate and plan.membership != "flat":
            raise PlanError(f"--simulate: {plan.membership}: must be left out: only flat is simulated")
        with screen.status("starting") as status:
            outcome = play(plan, status.update)
    except (PlanError, AddressBlockError) as e:
        raise Bad(str(e)) from None
    if outcome.stopped:
        raise click.Abort
    figures = outcome.figures
    if simulate and not outcome.trouble:
        from workbench.scale.simulated import simulate as in_simulation

        with screen.status("simulating"):
            figures += in_simulation(plan, group_of(plan, "127.100.100"))
    found = rows(figures, outcome.members, run_info(plan.seed), outcome.counted)
    Console(width=None if sys.stdout.isatty() else 150).print(table(found))
    if target is not None:
        write_whole(target, lambda path: write(path, encoded(found)))
    return verdict(outcome)


def verdict(outcome: Any) -> int:
    """Says what came of the checks, and gives the exit status."""
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
        return 3
    click.echo("passed" if outcome.passed else "failed")
    return 0 if outcome.passed else 1


def write(path: Path, data: bytes) -> None:
    path.write_bytes(data)


def run_info(seed: int) -> Any:
    """Where the figures come from."""
    from workbench.baselines.revisions import RevisionError, full_revision
    from workbench.scale.measurements import RunInfo

    try:
        commit = full_revision("HEAD")
    except RevisionError:
        commit = NO_COMMIT
    command = shlex.join(["workbench", *sys.argv[1:]])
    return RunInfo(command, seed, commit, len(os.sched_getaffinity(0)))
