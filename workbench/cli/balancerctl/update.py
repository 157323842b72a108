"""`balancerctl update`: a rolling update of all processes of a fleet."""

from __future__ import annotations

import click

from workbench.cli.errors import InputError
from workbench.emulator.management_client import ManagementError, follow_update, parse_address, put

MAX_UNAVAILABLE = 1000  # processes


@click.command()
@click.argument("action", type=click.Choice(["begin", "watch", "pause", "resume", "stop"]))
@click.argument("node")
@click.option("--max-unavailable", "--most", type=click.IntRange(1, MAX_UNAVAILABLE), default=1,
              show_default=True, help="Processes out of service at a time.")  # fmt: skip
def update(action: str, node: str, max_unavailable: int) -> int:
    """Replace all processes of a fleet, a few at a time.

    For example: `balancerctl update begin 10.0.0.7:8001 --max-unavailable 2`. NODE is any member's management
    address. The holder of the lease `replace` leads the update; a process is told to end as by SIGTERM, and
    the platform starts the next one. `watch` follows until it is over. Exits 1 where the update was stopped.
    """
    try:
        address = parse_address(node)
        if action == "watch":
            table = follow_update(address, click.echo)
        else:
            table = put(address, f"/fleet/replace?do={action}&most={max_unavailable}")
    except ManagementError as e:
        raise InputError(str(e)) from None
    click.echo(f"replacement {table['state']}")
    return 1 if action == "watch" and table["state"] == "stopped" else 0
