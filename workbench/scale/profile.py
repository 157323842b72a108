"""Profile of a node's processor time by module: `python -m workbench.scale.profile`.

The node runs under cProfile while requests arrive at a rate. cProfile sees only Python functions: the cost of
the event loop, the parser and the kernel is the processor time of the process minus that of the Python
functions. The profiler adds a cost to each call, so the shares overstate code of many small functions.
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
from workbench.scale.loopback import process_usage, start_testbed

PACKAGES = ("balancer", "asyncio")
# The event loop's C code, the kernel, and waiting, which cProfile cannot tell apart.
EVENT_LOOP_FILE = "asyncio/runners.py"
NON_PYTHON = "event loop, parser, kernel (not Python)"
BUILT_IN = "~"


@dataclass(frozen=True)
class Profile:
    """Processor seconds by module, function calls, and the requests served meanwhile."""

    seconds: dict[str, float]
    calls: int
    served: int

    def rows(self) -> list[tuple[str, float, float]]:
        """Return each module's share of the processor time and microseconds a request, largest first."""
        total_s = sum(self.seconds.values())
        requests = max(1, self.served)
        largest_first = sorted(self.seconds.items(), key=lambda item: -item[1])
        return [(name, s / total_s, 1e6 * s / requests) for name, s in largest_first]


def module_of(file: str) -> str:
    """Return a short name of the module that a function's file belongs to."""
    if file == BUILT_IN:
        return "built-in functions"
    parts = Path(file).parts
    for package in PACKAGES:
        if package in parts:
            return "/".join(parts[parts.index(package) :])
    return "other Python"


def read_profile(file: Path, served: int, cpu_s: float) -> Profile:
    """Read a file that cProfile wrote; `cpu_s` is the processor time of the whole process."""
    stats: Any = pstats.Stats(str(file))
    seconds: defaultdict[str, float] = defaultdict(float)
    calls = 0
    for (path, _, _), (_, count, own_s, _, _) in stats.stats.items():
        module = module_of(path)
        if module != EVENT_LOOP_FILE:
            seconds[module] += own_s
            calls += count
    seconds[NON_PYTHON] = max(0.0, cpu_s - sum(seconds.values()))
    return Profile(seconds, calls, served)


async def profile_node(rate: float, seconds: float, seed: int) -> Profile:
    """Profile a node under load."""
    with tempfile.TemporaryDirectory(prefix="profile-") as folder:
        file = Path(folder) / "node.prof"
        async with start_testbed(profile=file) as testbed:
            host, port = testbed.address(through_node=True)
            load = Load(
                f"http://{host}:{port}", rate, seconds, [parse_request_class("view:safe:1:2000")], seed
            )
            await load.run()
            cpu_s = process_usage(testbed.node.pid).cpu_ns / 1e9
        return read_profile(file, load.results["view"].outcomes["served"], cpu_s)


@click.command()
@click.option("--rate", type=click.FloatRange(1, 2000), default=300.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 60), default=10.0, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--top", type=click.IntRange(1), default=20, show_default=True, help="Modules to print.")
def main(rate: float, seconds: float, seed: int, top: int) -> None:
    """Profile a node that gets RATE requests a second and print the largest shares by module."""
    found = uvloop.run(profile_node(rate, seconds, seed))
    click.echo(
        f"{found.served} requests served, {found.calls / max(1, found.served):.0f} function calls each"
    )
    for name, share, microseconds in found.rows()[:top]:
        click.echo(f"{100 * share:5.1f}%  {microseconds:6.1f} us  {name}")


if __name__ == "__main__":
    main()
