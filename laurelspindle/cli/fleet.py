"""`laurelspindle fleet`: what operators and scripts ask of a fleet, through a node's management page."""

from __future__ import annotations

import click

from laurelspindle.cli.errors import Bad
from laurelspindle.live.load import LoadError, target


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
    from laurelspindle.live.holding import Hold

    if not 0 < len(name) <= 64:
        raise Bad(f"{name}: a duty's name has 1 to 64 characters")
    try:
        addresses = [target(n) for n in nodes]
    except LoadError as e:
        raise Bad(str(e)) from None
    return Hold(name, addresses, wait, list(command), lambda text: click.echo(text, err=True)).run()
