"""`workbench emulate`: emulates a scenario's servers and discovery on loopback, for nodes started by hand."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click
import uvloop

from workbench.cli.errors import InputError
from workbench.emulator.address_block import AddressBlockError
from workbench.emulator.emulate import emulate as serve
from workbench.scenario.load import ScenarioError, draw, load


@click.command()
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), help="Seed of the draw; by default the scenario's seed.")
@click.option(
    "--seconds",
    type=click.FloatRange(0.1, 86_400),
    default=3600.0,
    help="Maximum duration in seconds; by default an hour.",
)
@click.option(
    "--set", "overrides", multiple=True, metavar="KEY=VALUE", help="Set a scenario key, given by its path."
)
def emulate(scenario: str, seed: int | None, seconds: float, overrides: tuple[str, ...]) -> int:
    """Emulate SCENARIO's servers and discovery on sockets, and print how to start its nodes.

    SCENARIO is a file or the name of a shipped scenario, such as `lab`; it must have exactly one tier. Its
    faults occur as planned. No requests are sent; use `workbench load` to send them.
    """
    try:
        drawn = draw(load(scenario, list(overrides)), seed)
    except ScenarioError as e:
        raise InputError(str(e)) from None
    tiers, mode = len(drawn.tier), drawn.discovery.mode
    if tiers != 1 or mode != "push":
        raise InputError(f"{scenario}: {tiers} tiers, discovery {mode}: must be one tier and push")
    with tempfile.TemporaryDirectory(prefix="emulate-") as folder:
        try:
            uvloop.run(serve(drawn, Path(folder), seconds, click.echo))
        except AddressBlockError as e:
            raise InputError(str(e)) from None
    return 0
