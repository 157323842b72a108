"""Time that a real node adds to a call, on loopback: `python -m laurelspindle.scale.latency`.

Half of the rounds go through the node, half straight to the server. Requests go out when they are due (gaps
drawn from an exponential distribution), whatever became of those before, and are timed from when they were
due. The sender polls instead of sleeping, since the timers of its event loop are as coarse as a millisecond;
it needs a core of its own.

The server's answer carries the monotonic times at which the request came and the answer left, so that both
ways are known for each request: all processes read one clock, since they share a machine. The node's own time
is not seen directly: it is the time through the node less the time straight to the server.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from time import monotonic_ns
from typing import Any

import click
import msgspec
import numpy as np
import uvloop
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from laurelspindle.live.http import Lines, Reply, request_bytes
from laurelspindle.scale.loopback import Bench, Usage, bench, serve, usage
from laurelspindle.scale.target import DEEPEST_CALL

MIN_US, MAX_US, DIGITS = 1, 10_000_000, 3
BUDGET_MS = 2000
DRAIN_S = 2.0  # after the last request


# ---- the load -------------------------------------------------------------------------------------------


def histogram() -> Any:
    return HdrHistogram(MIN_US, MAX_US, DIGITS)


@dataclass
class Round:
    """What one round of requests showed; times in microseconds."""

    total: Any = field(default_factory=histogram)  # from due to the answer
    request_way: Any = field(default_factory=histogram)  # from due until the server has the request
    answer_way: Any = field(default_factory=histogram)  # from the server's answer until the client has it
    sender_late: Any = field(default_factory=histogram)
    samples: list[int] = field(default_factory=list)  # both ways together
    outcomes: Counter[str] = field(default_factory=Counter)

    def record(self, due: int, reply: Reply) -> None:
        """Takes one answer in."""
        now = monotonic_ns()
        self.outcomes["served" if reply.status == 200 else f"status {reply.status}"] += 1
        if reply.status != 200:
            return
        came, left = int(reply.body[:20]), int(reply.body[20:])
        both = (came - due) + (now - left)
        self.total.record_value(max(MIN_US, (now - due) // 1000))
        self.request_way.record_value(max(MIN_US, (came - due) // 1000))
        self.answer_way.record_value(max(MIN_US, (now - left) // 1000))
        self.samples.append(both // 1000)


async def play(address: tuple[str, int], rate: float, seconds: float, rng: Random) -> Round:
    """One round of open-loop load at an address."""
    loop = asyncio.get_running_loop()
    lines = Lines(loop, *address)
    found = Round()
    asked = 0
    begun = monotonic_ns()
    due = begun + int(rng.expovariate(rate) * 1e9)
    while due < begun + int(seconds * 1e9):
        while monotonic_ns() < due:
            await asyncio.sleep(0)
        asked += 1
        number = rng.getrandbits(63)
        data = request_bytes("view", "safe", number & 0xFFFF, number, BUDGET_MS, b"%016x" % number)
        found.sender_late.record_value(max(MIN_US, (monotonic_ns() - due) // 1000))
        lines.ask(data, lambda reply, due=due: found.record(due, reply))  # type: ignore[misc]
        due += int(rng.expovariate(rate) * 1e9)
    ends = loop.time() + DRAIN_S
    while sum(found.outcomes.values()) < asked and loop.time() < ends:
        await asyncio.sleep(0)
    missing = asked - sum(found.outcomes.values())
    if missing:
        found.outcomes["no answer"] += missing
    lines.close()
    return found


# ---- figures --------------------------------------------------------------------------------------------

HOP_PERCENT = 100 * 0.99 ** (1 / DEEPEST_CALL)
# Beyond either of these the machine had no core free for one of the processes: the round does not count.
MAX_DIRECT_P99_US = 800.0
MAX_RUN_QUEUE_US_A_CALL = 60.0


@dataclass
class Repeat:
    """One pair of rounds at a rate: through the node and straight to the server."""

    rate: float
    repeat: int
    added_p50_us: float
    added_p99_us: float
    to_server_p50_us: float
    to_server_p99_us: float
    to_client_p50_us: float
    to_client_p99_us: float
    direct_p50_us: float
    direct_p99_us: float
    sender_late_p99_us: float
    node_cpu_us_a_call: float
    node_run_queue_us_a_call: float
    node_core_share: float
    node_system_share: float  # of its processor time, in the kernel
    node_resident_mb: float
    served: int
    others: dict[str, int]
    load_average: float
    hop_p99888_us: float  # the quantile that each of nine hops needs for 99 in 100 of the whole chain
    chain_p50_us: float
    chain_p99_us: float
    counts: bool  # false: the machine was the limit


def quantile(values: list[int], percent: float) -> float:
    return float(np.percentile(np.array(values), percent)) if values else float("nan")


def difference(through: Any, direct: Any, percent: float) -> float:
    """Difference of two quantiles, not the quantile of a difference."""
    return float(through.get_value_at_percentile(percent) - direct.get_value_at_percentile(percent))


async def measure_rate(
    stand: Bench, rate: float, seconds: float, repeats: int, warm_up: float, seed: int
) -> list[Repeat]:
    """Repeats of a rate, each through the node and direct, after a warm-up that does not count."""
    rng = Random(seed)
    await play(stand.address(True), rate, warm_up, rng)
    await play(stand.address(False), rate, min(1.0, warm_up), rng)
    found = []
    for repeat in range(repeats):
        before = usage(stand.node.pid)
        begun = monotonic_ns()
        through = await play(stand.address(True), rate, seconds, rng)
        passed = monotonic_ns() - begun
        after = usage(stand.node.pid)
        direct = await play(stand.address(False), rate, seconds, rng)
        calls = sum(through.outcomes.values())
        cpu = after.cpu_ns - before.cpu_ns
        run_queue = (after.run_queue_ns - before.run_queue_ns) / 1000 / calls
        direct_median = quantile(direct.samples, 50.0)
        direct_p99 = quantile(direct.samples, 99.0)
        added = [int(s - direct_median) for s in through.samples]
        found.append(
            Repeat(
                rate=rate,
                repeat=repeat,
                added_p50_us=quantile(through.samples, 50.0) - direct_median,
                added_p99_us=quantile(through.samples, 99.0) - direct_p99,
                to_server_p50_us=difference(through.request_way, direct.request_way, 50.0),
                to_server_p99_us=difference(through.request_way, direct.request_way, 99.0),
                to_client_p50_us=difference(through.answer_way, direct.answer_way, 50.0),
                to_client_p99_us=difference(through.answer_way, direct.answer_way, 99.0),
                direct_p50_us=direct_median,
                direct_p99_us=direct_p99,
                sender_late_p99_us=float(through.sender_late.get_value_at_percentile(99.0)),
                node_cpu_us_a_call=cpu / 1000 / calls,
                node_run_queue_us_a_call=run_queue,
                node_core_share=cpu / passed,
                node_system_share=system_share(before, after),
                node_resident_mb=after.resident_bytes / (1 << 20),
                served=through.outcomes["served"],
                others={k: n for k, n in through.outcomes.items() if k != "served"},
                load_average=os.getloadavg()[0],
                hop_p99888_us=quantile(through.samples, HOP_PERCENT) - direct_median,
                chain_p50_us=chain(added, DEEPEST_CALL, 50.0),
                chain_p99_us=chain(added, DEEPEST_CALL, 99.0),
                counts=run_queue <= MAX_RUN_QUEUE_US_A_CALL and direct_p99 <= MAX_DIRECT_P99_US,
            )
        )
    return found


def system_share(before: Usage, after: Usage) -> float:
    """Part of the processor time between two looks that was spent in the kernel."""
    user, system = after.user_s - before.user_s, after.system_s - before.system_s
    return system / (user + system) if user + system else 0.0


def chain(samples_us: list[int], hops: int, percent: float) -> float:
    """A quantile of the sum of so many independent draws, by convolution of the measured distribution."""
    width = 10  # microseconds of a bin
    top = int(np.percentile(samples_us, 99.99)) + width
    clipped = np.clip(np.array(samples_us), 0, top)
    one = np.bincount(clipped // width).astype(float)
    one /= one.sum()
    whole = np.ones(1)
    for _ in range(hops):
        whole = np.convolve(whole, one)
    cumulated = np.cumsum(whole)
    index = int(np.searchsorted(cumulated, percent / 100))
    return float((index + hops / 2) * width)


async def idle(stand: Bench, seconds: float) -> dict[str, float]:
    """Processor time and memory of a node that nobody calls."""
    await asyncio.sleep(1.0)
    before = usage(stand.node.pid)
    await asyncio.sleep(seconds)
    after = usage(stand.node.pid)
    return {
        "cpu_us_a_second": (after.cpu_ns - before.cpu_ns) / 1000 / seconds,
        "resident_mb": after.resident_bytes / (1 << 20),
    }


# ---- the command ----------------------------------------------------------------------------------------


async def run_rates(
    rates: tuple[float, ...], seconds: float, repeats: int, seed: int, fleet: bool, profile: Path | None
) -> None:
    async with bench(fleet, profile) as stand:
        for rate in rates:
            for row in await measure_rate(stand, rate, seconds, repeats, 3.0, seed):
                click.echo(msgspec.json.encode(row).decode())


async def run_idle(seconds: float, repeats: int, fleet: bool) -> None:
    for repeat in range(repeats):
        async with bench(fleet) as stand:
            row = {"repeat": repeat, "fleet": fleet, **await idle(stand, seconds)}
            click.echo(json.dumps(row))


@click.command()
@click.option("--rate", "rates", type=click.FloatRange(1, 5000), multiple=True, default=(150.0,))
@click.option("--seconds", type=click.FloatRange(0.5, 60), default=10.0, help="Of each round.")
@click.option("--repeats", type=click.IntRange(1, 20), default=3, help="Pairs of rounds at each rate.")
@click.option("--seed", type=click.IntRange(0), default=1)
@click.option("--fleet", is_flag=True, help="The node has a fleet section, and no peers.")
@click.option("--idle", "only_idle", is_flag=True, help="No calls: processor time and memory alone.")
@click.option("--profile", type=click.Path(path_type=Path), help="Run the node under cProfile, into a file.")
@click.option("--serve", "address", hidden=True, help="Be the stand-in server at HOST:PORT.")
def main(
    rates: tuple[float, ...],
    seconds: float,
    repeats: int,
    seed: int,
    fleet: bool,
    only_idle: bool,
    profile: Path | None,
    address: str | None,
) -> None:
    """Measure the time that a node adds to a call, and print a JSON line for each pair of rounds."""
    if address:
        host, _, port = address.rpartition(":")
        uvloop.run(serve(host, int(port)))
    elif only_idle:
        uvloop.run(run_idle(seconds, repeats, fleet))
    else:
        uvloop.run(run_rates(rates, seconds, repeats, seed, fleet, profile))


if __name__ == "__main__":
    main()
