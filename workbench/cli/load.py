"""`workbench load`: sends open-loop requests to a node and prints their outcomes and latencies."""

from __future__ import annotations

import sys
from typing import Any

import click
import uvloop
from rich.console import Console
from rich.table import Table

from workbench.cli.errors import InputError
from workbench.emulator.load import PERCENTILES, Load, LoadError, LoadResult, parse_request_class

# The machine cannot sustain the rate if its sender is later than this at `SENDER_PERCENTILE`.
MAX_SENDER_LATENESS_US = 50_000
SENDER_PERCENTILE = 99.9


@click.command()
@click.argument("url")
@click.option(
    "--rate",
    type=click.FloatRange(0.1, 20_000),
    default=100.0,
    show_default=True,
    help="Requests per second.",
)
@click.option(
    "--seconds", type=click.FloatRange(0.1, 3600), default=10.0, help="Duration in seconds; by default 10."
)
@click.option(
    "--class",
    "classes",
    multiple=True,
    metavar="NAME:EFFECT:SHARE:BUDGET_MS",
    help="Class of requests; repeat it for several classes. By default tile-get:safe:1:1000.",
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    help="Seed of the gaps between requests and of their classes.",
)
def load(url: str, rate: float, seconds: float, classes: tuple[str, ...], seed: int) -> int:
    """Send open-loop requests to the node at URL, and print their latencies.

    Each request is sent when it is due, and its latency is measured from that time. Exits 1 if no request was
    served, 2 on bad input.
    """
    try:
        generator = Load(url, rate, seconds, [parse_request_class(c) for c in classes or ("tile-get",)], seed)
    except LoadError as e:
        raise InputError(str(e)) from None
    uvloop.run(generator.run())
    Console(width=None if sys.stdout.isatty() else 150).print(results_table(generator), highlight=False)
    lateness_us = generator.sender_lateness.get_value_at_percentile(SENDER_PERCENTILE)
    if lateness_us > MAX_SENDER_LATENESS_US:
        lateness = f"{lateness_us / 1000:.0f} ms"
        click.echo(
            f"1 in 1,000 requests was sent at least {lateness} late: the rate is too high for this machine"
        )
    return 0 if any(result.outcomes["served"] for result in generator.results.values()) else 1


def results_table(generator: Load) -> Table:
    """Return a table with a row for each request class: requests sent, share served, and latencies."""
    table = Table(box=None, pad_edge=False)
    table.add_column("class")
    for name in ("asked", "served %", *(f"p{p:g} ms" for p in PERCENTILES)):
        table.add_column(name, justify="right")
    table.add_column("others")
    for name, result in generator.results.items():
        table.add_row(name, *result_cells(result))
    return table


def result_cells(result: LoadResult) -> list[str]:
    """Return the cells of one request class after its name."""
    served = result.outcomes["served"]
    # The package hdrhistogram has no type annotations.
    latency: Any = result.latency
    other_outcomes = ", ".join(
        f"{count} {outcome}" for outcome, count in result.outcomes.most_common() if outcome != "served"
    )
    share = f"{100 * served / result.sent:.2f}" if result.sent else "-"
    return [
        str(result.sent),
        share,
        *(f"{latency.get_value_at_percentile(percentile) / 1000:.1f}" for percentile in PERCENTILES),
        other_outcomes,
    ]
