"""Where a node's processor time goes, by module: `python -m workbench.scale.profile`.

The node runs under cProfile while requests come at a rate. cProfile sees Python functions alone: what the
event loop, the parser and the kernel take is the process's own processor time less theirs. The profiler makes
each Python function dearer than it is, so the shares lean towards code of many small functions.
"""

from __future__ import annotations

import pstats
import tempfile
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import uvloop

from workbench.emulator.load import Load, parse_request_class
from workbench.scale.loopback import bench, usage

PACKAGES = ("balancer", "asyncio")
LOOP = (
    "asyncio/runners.py"  # the event loop's C code, the kernel, and waiting, which cProfile cannot tell apart
)
REST = "event loop, parser, kernel (not Python)"
BUILT_IN = "~"


@dataclass(frozen=True)
class Profile:
    """Seconds by module, function calls, and the requests served meanwhile."""

    seconds: dict[str, float]
    calls: int
    served: int

    def rows(self) -> list[tuple[str, float, float]]:
        """Modules, their share of the processor time, and microseconds a request; the largest first."""
        whole = sum(self.seconds.values())
        requests = max(1, self.served)
        largest_first = sorted(self.seconds.items(), key=lambda item: -item[1])
        return [(name, s / whole, 1e6 * s / requests) for name, s in largest_first]


def module_of(file: str) -> str:
    """A short name for where a function stands."""
    if file == BUILT_IN:
        return "built-in functions"
    parts = Path(file).parts
    for package in PACKAGES:
        if package in parts:
            return "/".join(parts[parts.index(package) :])
    return "other Python"


def read(file: Path, served: int, cpu_s: float) -> Profile:
    """The profile in a file that cProfile wrote; `cpu_s`: all that the process used."""
    stats: Any = pstats.Stats(str(file))
    seconds: defaultdict[str, float] = defaultdict(float)
    calls = 0
    for (path, _, _), (_, count, own, _, _) in stats.stats.items():
        module = module_of(path)
        if module != LOOP:
            seconds[module] += own
            calls += count
    seconds[REST] = max(0.0, cpu_s - sum(seconds.values()))
    return Profile(seconds, calls, served)


async def profiled(rate: float, seconds: float, seed: int) -> Profile:
    """Profiles a node under load."""
    with tempfile.TemporaryDirectory(prefix="profile-") as folder:
        file = Path(folder) / "node.prof"
        async with bench(profile=file) as stand:
            host, port = stand.address(through_node=True)
            load = Load(
                f"http://{host}:{port}", rate, seconds, [parse_request_class("view:safe:1:2000")], seed
            )
            await load.run()
            cpu_s = usage(stand.node.pid).cpu_ns / 1e9
        return read(file, load.results["view"].outcomes["served"], cpu_s)


@click.command()
@click.option("--rate", type=click.FloatRange(1, 2000), default=300.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 60), default=10.0, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--top", type=click.IntRange(1), default=20, show_default=True, help="Modules to print.")
def main(rate: float, seconds: float, seed: int, top: int) -> None:
    """Profile a node that gets RATE requests a second and print the largest shares by module."""
    found = uvloop.run(profiled(rate, seconds, seed))
    click.echo(
        f"{found.served} requests served, {found.calls / max(1, found.served):.0f} function calls each"
    )
    for name, share, microseconds in found.rows()[:top]:
        click.echo(f"{100 * share:5.1f}%  {microseconds:6.1f} us  {name}")


if __name__ == "__main__":
    main()
