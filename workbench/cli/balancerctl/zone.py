"""`balancerctl zone`: moves the fleet's traffic out of a zone, and lets it return."""

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
@click.option("--node", required=True, metavar="HOST:PORT", help="Management address of any member.")
@click.option("--for", "length", type=click.IntRange(1, MAX_DIRECTIVE_S), default=DEFAULT_DIRECTIVE_S,
              show_default=True, help="Duration of the directive in seconds.")  # fmt: skip
def zone(action: str, zone_name: str, node: str, length: int) -> int:
    """Evacuate the fleet's traffic from ZONE, or let it return.

    For example: `balancerctl zone leave b --node 10.0.0.7:8001`. The directive overrides what nodes observe
    of the zone, reaches all members, and expires by itself; a newer directive replaces it. Traffic returns to
    a zone in steps. `status` prints the zone's state as NODE sees it. Exits 1 if that node knows no server in
    the zone.
    """
    try:
        table = zone_table(action, zone_name, node, length)
    except ManagementError as e:
        raise InputError(str(e)) from None
    zone_state = table["zones"].get(zone_name)
    if zone_state is None:
        known_zones = ", ".join(table["zones"]) or "none"
        click.echo(f"zone {zone_name}: {node} has no server in it; known zones are {known_zones}")
        return 1
    if action == "leave":
        click.echo(f"zone {zone_name}: to be left for {length} s")
    elif action == "return":
        click.echo(f"zone {zone_name}: may return, by steps")
    else:
        click.echo(status_line(zone_name, node, zone_state))
    return 0


def zone_table(action: str, zone_name: str, node: str, length: int) -> dict[str, Any]:
    """Send the directive, if the action is one, and return the node's table of zones.

    Raises:
        ManagementError: The node does not respond, or rejects the directive.
        InputError: Zone routing is not configured at the node.
    """
    address = parse_address(node)
    if action != "status":
        duration = f"&for_s={length}" if action == "leave" else ""
        return put(address, f"/fleet/zone?do={action}&zone={quote(zone_name, safe='')}{duration}")
    table = get(address, "/fleet").get("zones")
    if table is None:
        raise InputError(f"{node}: fleet.zones is not configured there")
    return dict(table)


def status_line(zone_name: str, node: str, zone_state: dict[str, Any]) -> str:
    """Format a zone's state and its share of the node's calls as a line of text."""
    remaining = f", {zone_state['ordered_s']:g} s still" if zone_state["ordered_s"] else ""
    share = f"{100 * zone_state['share']:.1f}% of the calls of {node}"
    return f"zone {zone_name}: {zone_state['stand']}{remaining}, {share}"
