"""`workbench fleet`: what operators and scripts ask of a fleet, through a node's management page."""

from __future__ import annotations

from urllib.parse import quote

import click

from workbench.cli.errors import Bad
from workbench.emulator.pages import PageError, address_of, follow, get, put


@click.group()
def fleet() -> None:
    """Ask a fleet of nodes, through the management address of any of them."""


@fleet.command(context_settings={"ignore_unknown_options": True})
@click.argument("name")
@click.option("--node", "nodes", multiple=True, required=True, metavar="HOST:PORT", help="Of management; the "
              "next is tried where one does not answer.")  # fmt: skip
@click.option("--wait", type=click.FloatRange(0), default=60.0, help="Seconds to wait for the duty; 60.")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
def hold(name: str, nodes: tuple[str, ...], wait: float, command: tuple[str, ...]) -> int:
    """Run COMMAND while the duty NAME is held: `fleet hold nightly --node 127.0.0.1:8001 -- ./nightly.sh`.

    The command finds its token in FLEET_TOKEN, for whoever receives its acts to check. Before the lease is
    over it gets SIGTERM, and SIGKILL if it stays. Exits with the command's status, 75 where the duty was not
    to be had in time, 76 where it was lost and the command was ended.
    """
    from workbench.emulator.holding import Hold

    if not 0 < len(name) <= 64:
        raise Bad(f"{name}: a duty's name has 1 to 64 characters")
    try:
        addresses = [address_of(n) for n in nodes]
    except PageError as e:
        raise Bad(str(e)) from None
    return Hold(name, addresses, wait, list(command), lambda text: click.echo(text, err=True)).run()


@fleet.command()
@click.argument("act", type=click.Choice(["begin", "watch", "pause", "resume", "stop"]))
@click.argument("node")
@click.option("--most", type=click.IntRange(1, 1000), default=1, help="Processes out at a time; 1.")
def replace(act: str, node: str, most: int) -> int:
    """Replace all processes of a fleet, at most K at a time: `fleet replace begin 10.0.0.7:8001 --most 2`.

    NODE is any member's management address. Whoever holds the duty `replace` leads; a process is told to end
    as by SIGTERM, and the platform starts the next one. `watch` follows until it is over. Exits 1 where a
    plan was stopped.
    """
    try:
        address = address_of(node)
        if act != "watch":
            table = put(address, f"/fleet/replace?do={act}&most={most}")
        else:
            table = follow(address, click.echo)
    except PageError as e:
        raise Bad(str(e)) from None
    click.echo(f"replacement {table['state']}")
    return 1 if act == "watch" and table["state"] == "stopped" else 0


@fleet.command()
@click.argument("act", type=click.Choice(["leave", "return", "status"]))
@click.argument("zone")
@click.option("--node", required=True, metavar="HOST:PORT", help="Of management, any member's.")
@click.option("--for", "length", type=click.IntRange(1, 86_400), default=1800, help="Seconds; 1800.")
def zone(act: str, zone: str, node: str, length: int) -> int:
    """Take the fleet's calls out of ZONE, or let them return: `fleet zone leave b --node 10.0.0.7:8001`.

    The word goes before what nodes see of the zone, reaches all members, and ends by itself; a newer one
    takes its place. A zone returns by steps. `status` tells how the zone stands with the node that is asked.
    Exits 1 where that node has no such zone.
    """
    try:
        address = address_of(node)
        if act == "status":
            table = get(address, "/fleet").get("zones")
            if table is None:
                raise Bad(f"{node}: fleet.zones is not configured there")
        else:
            more = f"&for_s={length}" if act == "leave" else ""
            table = put(address, f"/fleet/zone?do={act}&zone={quote(zone, safe='')}{more}")
    except PageError as e:
        raise Bad(str(e)) from None
    found = table["zones"].get(zone)
    if found is None:
        known = ", ".join(table["zones"]) or "none"
        click.echo(f"zone {zone}: {node} has no server of it; known are {known}")
        return 1
    if act == "leave":
        click.echo(f"zone {zone}: to be left for {length} s")
    elif act == "return":
        click.echo(f"zone {zone}: may return, by steps")
    else:
        ordered = f", {found['ordered_s']:g} s still" if found["ordered_s"] else ""
        share = f"{100 * found['share']:.1f}% of the calls of {node}"
        click.echo(f"zone {zone}: {found['stand']}{ordered}, {share}")
    return 0
