"""`balancerctl update`: controls a rolling update of all processes of a fleet."""

from __future__ import annotations

import click

from workbench.cli.errors import InputError
from workbench.emulator.management_client import ManagementError, follow_update, parse_address, put

MAX_UNAVAILABLE_PROCESSES = 1000


@click.command()
@click.argument("action", type=click.Choice(["begin", "watch", "pause", "resume", "stop"]))
@click.argument("node")
@click.option("--max-unavailable", "--most", type=click.IntRange(1, MAX_UNAVAILABLE_PROCESSES), default=1,
              show_default=True, help="Maximum number of processes out of service at a time.")  # fmt: skip
def update(action: str, node: str, max_unavailable: int) -> int:
    """Replace all processes of a fleet, a few at a time.

    For example: `balancerctl update begin 10.0.0.7:8001 --max-unavailable 2`. NODE is the management address
    of any member. The holder of the lease `replace` leads the update: it asks processes to shut down as by
    SIGTERM, and the platform starts their replacements. `watch` prints progress until the update ends, and
    exits 1 if it was stopped.
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
