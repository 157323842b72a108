"""`balancerctl zone`: takes the fleet's calls out of a zone, and lets them return."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import click

from workbench.cli.errors import InputError
from workbench.emulator.management_client import ManagementError, get, parse_address, put

MAX_DIRECTIVE_S = 86_400
DEFAULT_DIRECTIVE_S = 1800


@click.command()
@click.argument("action", type=click.Choice(["leave", "return", "status"]))
@click.argument("zone_name", metavar="ZONE")
@click.option("--node", required=True, metavar="HOST:PORT", help="Of management, any member's.")
@click.option("--for", "length", type=click.IntRange(1, MAX_DIRECTIVE_S), default=DEFAULT_DIRECTIVE_S,
              show_default=True, help="Seconds.")  # fmt: skip
def zone(action: str, zone_name: str, node: str, length: int) -> int:
    """Take the fleet's calls out of ZONE, or let them return.

    For example: `balancerctl zone leave b --node 10.0.0.7:8001`. The directive overrides what nodes see of
    the zone, reaches all members, and expires by itself; a newer one replaces it. A zone returns by steps.
    `status` prints the zone's state at the node that is asked. Exits 1 where that node has no such zone.
    """
    try:
        table = zone_table(action, zone_name, node, length)
    except ManagementError as e:
        raise InputError(str(e)) from None
    found = table["zones"].get(zone_name)
    if found is None:
        known = ", ".join(table["zones"]) or "none"
        click.echo(f"zone {zone_name}: {node} has no server of it; known are {known}")
        return 1
    if action == "leave":
        click.echo(f"zone {zone_name}: to be left for {length} s")
    elif action == "return":
        click.echo(f"zone {zone_name}: may return, by steps")
    else:
        click.echo(status_line(zone_name, node, found))
    return 0


def zone_table(action: str, zone_name: str, node: str, length: int) -> dict[str, Any]:
    """The node's table of zones, after the directive where there is one. ManagementError, InputError."""
    address = parse_address(node)
    if action != "status":
        duration = f"&for_s={length}" if action == "leave" else ""
        return put(address, f"/fleet/zone?do={action}&zone={quote(zone_name, safe='')}{duration}")
    table = get(address, "/fleet").get("zones")
    if table is None:
        raise InputError(f"{node}: fleet.zones is not configured there")
    return dict(table)


def status_line(zone_name: str, node: str, found: dict[str, Any]) -> str:
    """One line on a zone's state and its share of the node's calls."""
    ordered = f", {found['ordered_s']:g} s still" if found["ordered_s"] else ""
    share = f"{100 * found['share']:.1f}% of the calls of {node}"
    return f"zone {zone_name}: {found['stand']}{ordered}, {share}"
