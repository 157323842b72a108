"""Time that a real node adds to a call, on loopback: `python -m laurelspindle.scale.latency`.

Requests go through the node at a rate, and others straight to the stand-in server between them, so that both
meet the same machine. They go out when they are due (gaps drawn from an exponential distribution), whatever
became of those before, and are timed from when they were due. The sender polls before each, since the timers
of its event loop are as coarse as a millisecond.

The server's answer carries the monotonic times at which the request came and the answer left, so that both
ways are known for each request: all processes read one clock, since they share a machine. The node's own time
is not seen directly: it is the time through the node less the time straight to the server, quantile by
quantile. Rounds are short, and those count in which the machine had a core for each of the processes.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections import Counter
from dataclasses import dataclass, field
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
POLLED_S = 0.002  # before a request is due
DRAIN_S = 2.0  # after the last request
WARM_UP_S = 3.0
DIRECT_RATE = 150.0  # requests a second straight to the server, at the most
HOP_PERCENT = 100 * 0.99 ** (1 / DEEPEST_CALL)
MIN_SAMPLES = 1000  # of the rounds that count together
# Beyond either of these the machine had no core free for one of the processes: the round does not count.
MAX_DIRECT_P99_US = 800.0
MAX_RUN_QUEUE_US_A_CALL = 60.0


# ---- the load -------------------------------------------------------------------------------------------


def histogram() -> Any:
    return HdrHistogram(MIN_US, MAX_US, DIGITS)


@dataclass
class Stream:
    """What the requests of one round showed that took one way; times in microseconds."""

    request_way: Any = field(default_factory=histogram)  # from due until the server has the request
    answer_way: Any = field(default_factory=histogram)  # from the server's answer until the client has it
    both_ways: list[int] = field(default_factory=list)  # their sum, request by request
    outcomes: Counter[str] = field(default_factory=Counter)
    asked: int = 0

    def record(self, due: int, reply: Reply) -> None:
        """Takes one answer in."""
        now = monotonic_ns()
        self.outcomes["served" if reply.status == 200 else f"status {reply.status}"] += 1
        if reply.status != 200:
            return
        came, left = int(reply.body[:20]), int(reply.body[20:])
        self.request_way.record_value(max(MIN_US, (came - due) // 1000))
        self.answer_way.record_value(max(MIN_US, (now - left) // 1000))
        self.both_ways.append((came - due + now - left) // 1000)

    def add(self, other: Stream) -> None:
        """Takes another round's in."""
        self.request_way.add(other.request_way)
        self.answer_way.add(other.answer_way)
        self.both_ways += other.both_ways
        self.outcomes += other.outcomes
        self.asked += other.asked

    @property
    def open(self) -> int:
        return self.asked - sum(self.outcomes.values())


@dataclass
class Round:
    """Some seconds of both streams, and what the node used meanwhile."""

    through: Stream = field(default_factory=Stream)
    direct: Stream = field(default_factory=Stream)
    sender_late: Any = field(default_factory=histogram)
    seconds: float = 0.0
    cpu_ns: int = 0
    run_queue_ns: int = 0
    user_s: float = 0.0
    system_s: float = 0.0

    def used(self, before: Usage, after: Usage) -> None:
        """Adds what the node used between two looks."""
        self.cpu_ns += after.cpu_ns - before.cpu_ns
        self.run_queue_ns += after.run_queue_ns - before.run_queue_ns
        self.user_s += after.user_s - before.user_s
        self.system_s += after.system_s - before.system_s

    def add(self, other: Round) -> None:
        """Takes another round in."""
        self.through.add(other.through)
        self.direct.add(other.direct)
        self.sender_late.add(other.sender_late)
        self.seconds += other.seconds
        self.cpu_ns += other.cpu_ns
        self.run_queue_ns += other.run_queue_ns
        self.user_s += other.user_s
        self.system_s += other.system_s

    @property
    def run_queue_us_a_call(self) -> float:
        return self.run_queue_ns / 1000 / max(1, self.through.asked)

    @property
    def counts(self) -> bool:
        """Whether the machine had a core for each of the processes."""
        if not self.direct.both_ways or self.run_queue_us_a_call > MAX_RUN_QUEUE_US_A_CALL:
            return False
        return quantile(self.direct.both_ways, 99.0) <= MAX_DIRECT_P99_US


async def until(due: int) -> None:
    """Sleeps as far as the loop's timers are exact enough for, and polls for the rest."""
    spare = (due - monotonic_ns()) / 1e9 - POLLED_S
    if spare > 0:
        await asyncio.sleep(spare)
    while monotonic_ns() < due:
        await asyncio.sleep(0)


def ask(lines: Lines, stream: Stream, due: int, number: int) -> None:
    """Sends one request."""
    data = request_bytes("view", "safe", number & 0xFFFF, number, BUDGET_MS, b"%016x" % number)
    stream.asked += 1
    lines.ask(data, lambda reply: stream.record(due, reply))


async def play(stand: Bench, rate: float, seconds: float, rng: Random) -> Round:
    """One round: requests through the node at a rate, and others straight to the server between them."""
    loop = asyncio.get_running_loop()
    ways = [Lines(loop, *stand.address(through)) for through in (True, False)]
    rates = (rate, min(rate, DIRECT_RATE))
    found = Round(seconds=seconds)
    streams = (found.through, found.direct)
    before = usage(stand.node.pid)
    due = monotonic_ns()
    ends = due + int(seconds * 1e9)
    while (due := due + int(rng.expovariate(sum(rates)) * 1e9)) < ends:
        await until(due)
        found.sender_late.record_value(max(MIN_US, (monotonic_ns() - due) // 1000))
        way = 0 if rng.random() < rate / sum(rates) else 1
        ask(ways[way], streams[way], due, rng.getrandbits(63))
    last = loop.time() + DRAIN_S
    while any(s.open for s in streams) and loop.time() < last:
        await asyncio.sleep(POLLED_S)
    found.used(before, usage(stand.node.pid))
    for stream in streams:
        stream.outcomes["no answer"] += stream.open
    for lines in ways:
        lines.close()
    return found


# ---- figures --------------------------------------------------------------------------------------------


@dataclass
class Figures:
    """What the counted rounds of one sitting at a rate showed together."""

    rate: float
    repeat: int
    counts: bool  # false: the machine was the limit in nearly all rounds; all of them are in the figures then
    rounds: int
    rounds_counted: int
    served: int
    others: dict[str, int]
    load_average: float
    added_p50_us: float
    added_p99_us: float
    to_server_p50_us: float
    to_server_p99_us: float
    to_client_p50_us: float
    to_client_p99_us: float
    direct_p50_us: float
    direct_p99_us: float
    sender_late_p99_us: float
    hop_p99888_us: float  # the quantile that each of nine hops needs for 99 in 100 of the whole chain
    chain_p50_us: float
    chain_p99_us: float
    node_cpu_us_a_call: float
    node_run_queue_us_a_call: float
    node_core_share: float
    node_system_share: float  # of its processor time, in the kernel


def quantile(values: list[int], percent: float) -> float:
    return float(np.percentile(np.array(values), percent))


def difference(through: Any, direct: Any, percent: float) -> float:
    """Difference of two quantiles, not the quantile of a difference."""
    return float(through.get_value_at_percentile(percent) - direct.get_value_at_percentile(percent))


def figures(rate: float, repeat: int, rounds: list[Round]) -> Figures:
    """The rounds that count taken together; all of them where too few do."""
    counted = [r for r in rounds if r.counts]
    enough = sum(len(r.through.both_ways) for r in counted) >= MIN_SAMPLES
    whole = Round()
    for one in counted if enough else rounds:
        whole.add(one)
    through, direct = whole.through, whole.direct
    direct_median = quantile(direct.both_ways, 50.0)
    added = [int(sample - direct_median) for sample in through.both_ways]
    ticks = whole.user_s + whole.system_s
    return Figures(
        rate=rate,
        repeat=repeat,
        counts=enough,
        rounds=len(rounds),
        rounds_counted=len(counted),
        served=through.outcomes["served"],
        others={k: n for k, n in through.outcomes.items() if k != "served" and n},
        load_average=os.getloadavg()[0],
        added_p50_us=quantile(added, 50.0),
        added_p99_us=quantile(through.both_ways, 99.0) - quantile(direct.both_ways, 99.0),
        to_server_p50_us=difference(through.request_way, direct.request_way, 50.0),
        to_server_p99_us=difference(through.request_way, direct.request_way, 99.0),
        to_client_p50_us=difference(through.answer_way, direct.answer_way, 50.0),
        to_client_p99_us=difference(through.answer_way, direct.answer_way, 99.0),
        direct_p50_us=direct_median,
        direct_p99_us=quantile(direct.both_ways, 99.0),
        sender_late_p99_us=float(whole.sender_late.get_value_at_percentile(99.0)),
        hop_p99888_us=quantile(added, HOP_PERCENT),
        chain_p50_us=chain(added, DEEPEST_CALL, 50.0),
        chain_p99_us=chain(added, DEEPEST_CALL, 99.0),
        node_cpu_us_a_call=whole.cpu_ns / 1000 / through.asked,
        node_run_queue_us_a_call=whole.run_queue_us_a_call,
        node_core_share=whole.cpu_ns / 1e9 / whole.seconds,
        node_system_share=whole.system_s / ticks if ticks else 0.0,
    )


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


async def run_rates(rates: tuple[float, ...], seconds: float, rounds: int, seed: int, fleet: bool) -> None:
    async with bench(fleet) as stand:
        for rate in rates:
            rng = Random(seed)
            await play(stand, rate, WARM_UP_S, rng)
            played = [await play(stand, rate, seconds, rng) for _ in range(rounds)]
            click.echo(msgspec.json.encode(figures(rate, seed, played)).decode())


async def run_idle(seconds: float, repeats: int, fleet: bool) -> None:
    for repeat in range(repeats):
        async with bench(fleet) as stand:
            row = {"repeat": repeat, "fleet": fleet, **await idle(stand, seconds)}
            click.echo(json.dumps(row))


@click.command()
@click.option("--rate", "rates", type=click.FloatRange(1, 5000), multiple=True, default=(150.0,))
@click.option("--seconds", type=click.FloatRange(0.5, 60), default=3.0, show_default=True, help="Of a round.")
@click.option(
    "--repeats",
    type=click.IntRange(1, 60),
    default=18,
    show_default=True,
    help="Rounds; of --idle, processes.",
)
@click.option("--seed", type=click.IntRange(0), default=1)
@click.option("--fleet", is_flag=True, help="The node has a fleet section, and no peers.")
@click.option("--idle", "only_idle", is_flag=True, help="No calls: processor time and memory alone.")
@click.option("--serve", "address", hidden=True, help="Be the stand-in server at HOST:PORT.")
def main(
    rates: tuple[float, ...],
    seconds: float,
    repeats: int,
    seed: int,
    fleet: bool,
    only_idle: bool,
    address: str | None,
) -> None:
    """Measure the time that a node adds to a call, and print a JSON line for each rate."""
    if address:
        host, _, port = address.rpartition(":")
        uvloop.run(serve(host, int(port)))
    elif only_idle:
        uvloop.run(run_idle(seconds, repeats, fleet))
    else:
        uvloop.run(run_rates(rates, seconds, repeats, seed, fleet))


if __name__ == "__main__":
    main()
