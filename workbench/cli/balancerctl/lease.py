"""`balancerctl lease`: runs a command while this machine holds a lease."""

from __future__ import annotations

import click

from workbench.cli.errors import InputError
from workbench.emulator.management_client import ManagementError, parse_address

MAX_LEASE_NAME_LENGTH = 64
DEFAULT_WAIT_S = 60.0


@click.group()
def lease() -> None:
    """Hold a lease of the fleet."""


@lease.command(context_settings={"ignore_unknown_options": True})
@click.argument("name")
@click.option("--node", "nodes", multiple=True, required=True, metavar="HOST:PORT",
              help="Management address; repeat it to try others if one does not respond.")  # fmt: skip
@click.option("--wait", type=click.FloatRange(0), default=DEFAULT_WAIT_S, show_default=True,
              help="Seconds to wait for the lease.")  # fmt: skip
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
def hold(name: str, nodes: tuple[str, ...], wait: float, command: tuple[str, ...]) -> int:
    """Run COMMAND while the lease NAME is held.

    For example: `balancerctl lease hold nightly --node 127.0.0.1:8001 -- ./nightly.sh`. The environment
    variable FLEET_TOKEN holds the fencing token, which the systems that the command modifies should check.
    Before the lease expires, the command gets SIGTERM, then SIGKILL if it does not exit. Exits with the
    command's status, with 75 if the lease was not acquired in time, or with 76 if it was lost and the command
    was ended.
    """
    from workbench.emulator.lease_command import LeaseCommand

    if not 0 < len(name) <= MAX_LEASE_NAME_LENGTH:
        raise InputError(f"{name}: a lease's name has 1 to {MAX_LEASE_NAME_LENGTH} characters")
    try:
        addresses = [parse_address(node) for node in nodes]
    except ManagementError as e:
        raise InputError(str(e)) from None
    return LeaseCommand(name, addresses, wait, list(command), lambda text: click.echo(text, err=True)).run()
