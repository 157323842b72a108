"""`workbench scenario`: lists, draws, checks and describes scenarios."""

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
    """Scenarios: show a day drawn from one, check files, list what ships."""


@scenario.command("list")
def list_scenarios() -> None:
    """The scenarios that ship with the product."""
    for name, title in shipped_scenarios().items():
        click.echo(f"{name:14} {title}")


@scenario.command()
@click.argument("file")
@click.option("--seed", type=click.IntRange(0), default=None, help="Of the draw; by default the file's own.")
@click.option("--set", "overrides", multiple=True, metavar="KEY=VALUE", help="Override a key by its path.")
def show(file: str, seed: int | None, overrides: tuple[str, ...]) -> None:
    """Print the day that a seed draws from FILE. It is itself a scenario."""
    try:
        click.echo(to_toml(draw(load(file, list(overrides)), seed)), nl=False)
    except ScenarioError as e:
        raise InputError(str(e)) from None


@scenario.command()
@click.argument("files", nargs=-1, required=True)
def check(files: tuple[str, ...]) -> int:
    """Find every fault in FILES, each on a line."""
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
