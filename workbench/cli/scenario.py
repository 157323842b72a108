"""`workbench scenario`: lists, draws and validates scenarios, and prints their schema."""

from __future__ import annotations

import json

import click
import msgspec

from workbench.cli.errors import InputError
from workbench.scenario.load import (
    ScenarioError,
    draw,
    load,
    parse_scenario,
    read_table,
    shipped_scenarios,
    to_toml,
)
from workbench.scenario.model import Scenario


@click.group()
def scenario() -> None:
    """List, draw and validate scenarios."""


@scenario.command("list")
def list_scenarios() -> None:
    """List the scenarios that ship with the workbench."""
    for name, title in shipped_scenarios().items():
        click.echo(f"{name:14} {title}")


@scenario.command()
@click.argument("file")
@click.option(
    "--seed", type=click.IntRange(0), default=None, help="Seed of the draw; by default the scenario's seed."
)
@click.option(
    "--set", "overrides", multiple=True, metavar="KEY=VALUE", help="Set a scenario key, given by its path."
)
def show(file: str, seed: int | None, overrides: tuple[str, ...]) -> None:
    """Print the day drawn from FILE by a seed, which is itself a valid scenario."""
    try:
        click.echo(to_toml(draw(load(file, list(overrides)), seed)), nl=False)
    except ScenarioError as e:
        raise InputError(str(e)) from None


@scenario.command()
@click.argument("files", nargs=-1, required=True)
def check(files: tuple[str, ...]) -> int:
    """Validate FILES and print one line for each error."""
    errors: list[str] = []
    for file in files:
        try:
            parse_scenario(read_table(file), file)
        except ScenarioError as e:
            errors.append(str(e))
    if errors:
        raise InputError("\n".join(errors))
    click.echo(f"{len(files)} sound")
    return 0


@scenario.command()
def schema() -> None:
    """Print the JSON Schema of a scenario."""
    click.echo(json.dumps(msgspec.json.schema(Scenario), indent=2))
