"""`balancerctl members`: lists the members of a fleet as one node sees them."""

from __future__ import annotations

from typing import Any

import click

from workbench.cli.errors import InputError
from workbench.emulator.management_client import ManagementError, get, parse_address


@click.command()
@click.argument("node")
def members(node: str) -> int:
    """List the fleet's members as NODE sees them, one line for each.

    NODE is a management address, HOST:PORT. A line has the member's name, address, state, the age of that
    state, and the incarnation. Exits 1 if a member is not alive.
    """
    try:
        table = get(parse_address(node), "/fleet")
    except ManagementError as e:
        raise InputError(str(e)) from None
    for member in table["members"]:
        click.echo(member_line(member))
    return 0 if all(member["state"] == "alive" for member in table["members"]) else 1


def member_line(member: dict[str, Any]) -> str:
    """Format one member as a line of text."""
    age = f"for {member['age_s']:g} s"
    return (
        f"{member['name']} {member['address']} {member['state']} {age}, incarnation {member['incarnation']}"
    )
