"""`workbench load`: open-loop requests to a node, and what became of them."""

from __future__ import annotations

import sys
from typing import Any

import click
import uvloop
from rich.console import Console
from rich.table import Table

from workbench.cli.errors import Bad
from workbench.emulator.load import PERCENTILES, Load, LoadError, LoadResult, parse_request_class

LATE = 50_000  # microseconds that the sender may be late in the median of ten thousand


@click.command()
@click.argument("url")
@click.option(
    "--rate", type=click.FloatRange(0.1, 20_000), default=100.0, show_default=True, help="A second."
)
@click.option("--seconds", type=click.FloatRange(0.1, 3600), default=10.0, help="So long; 10.")
@click.option(
    "--class",
    "classes",
    multiple=True,
    metavar="NAME:EFFECT:SHARE:BUDGET_MS",
    help="A class of requests; several share the load. By default tile-get:safe:1:1000.",
)
@click.option("--seed", type=click.IntRange(0), default=1, help="Of gaps and classes.")
def load(url: str, rate: float, seconds: float, classes: tuple[str, ...], seed: int) -> int:
    """Send requests to the node at URL, each when it is due, and print latencies from when they were due.

    Exits 1 where nothing was served, 2 on bad input.
    """
    try:
        work = Load(url, rate, seconds, [parse_request_class(c) for c in classes or ("tile-get",)], seed)
    except LoadError as e:
        raise Bad(str(e)) from None
    uvloop.run(work.run())
    Console(width=None if sys.stdout.isatty() else 150).print(report(work), highlight=False)
    late = work.sender_lateness.get_value_at_percentile(99.9)
    if late > LATE:
        click.echo(
            f"the sender itself was late by {late / 1000:.0f} ms in one of 1,000: not this machine's rate"
        )
    return 0 if any(r.outcomes["served"] for r in work.results.values()) else 1


def report(work: Load) -> Table:
    table = Table(box=None, pad_edge=False)
    table.add_column("class")
    for name in ("asked", "served %", *(f"p{p:g} ms" for p in PERCENTILES)):
        table.add_column(name, justify="right")
    table.add_column("others")
    for name, result in work.results.items():
        table.add_row(name, *cells(result))
    return table


def cells(result: LoadResult) -> list[str]:
    served = result.outcomes["served"]
    h: Any = result.latency
    others = ", ".join(f"{n} {a}" for a, n in result.outcomes.most_common() if a != "served")
    share = f"{100 * served / result.sent:.2f}" if result.sent else "-"
    return [
        str(result.sent),
        share,
        *(f"{h.get_value_at_percentile(p) / 1000:.1f}" for p in PERCENTILES),
        others,
    ]
