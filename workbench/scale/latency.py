"""Time that a real node adds to a call, on loopback: `python -m workbench.scale.latency`.

Requests go through the node at a rate, and others straight to the stand-in server between them, so that both
meet the same machine. They go out when they are due (gaps drawn from an exponential distribution), whatever
became of those before, and are timed from when they were due. The sender polls before each, since the timers
of its event loop are as coarse as a millisecond.

The server's answer carries the monotonic times at which the request came and the answer left, so that both
ways are known for each request: all processes read one clock, since they share a machine. The node's own time
is not seen directly: it is the time through the node less the time straight to the server, quantile by
quantile. Requests count that met a quiet machine: in each stretch of some ten requests, none of the three
processes waited for a core for over 30 us a request.
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

from workbench.emulator.http import ConnectionPool, Response, encode_request
from workbench.scale.loopback import Bench, Usage, bench, serve, usage
from workbench.scale.quiet import QuietWatch
from workbench.scale.target import DEEPEST_CALL

MIN_US, MAX_US, DIGITS = 1, 10_000_000, 3
BUDGET_MS = 2000
POLLED_S = 0.002  # before a request is due
DRAIN_S = 2.0  # after the last request
WARM_UP_S = 3.0
DIRECT_RATE = 150.0  # requests a second straight to the server, at the most
HOP_PERCENT = 100 * 0.99 ** (1 / DEEPEST_CALL)
MIN_SAMPLES = 1000  # that have to count
STRETCH_REQUESTS = 10  # that the machine is judged by together
ALLOWED_WAIT_NS = 30_000  # for a core, a request, of each of the three processes


# ---- the load -------------------------------------------------------------------------------------------


def histogram() -> Any:
    return HdrHistogram(MIN_US, MAX_US, DIGITS)


@dataclass(frozen=True)
class Sample:
    """One answered request, in monotonic nanoseconds."""

    due: int
    came: int  # to the server
    left: int  # the server
    ended: int


@dataclass
class Stream:
    """The requests of a round that took one way."""

    samples: list[Sample] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    asked: int = 0

    def record(self, due: int, reply: Response) -> None:
        """Takes one answer in."""
        now = monotonic_ns()
        self.outcomes["served" if reply.status == 200 else f"status {reply.status}"] += 1
        if reply.status == 200:
            self.samples.append(Sample(due, int(reply.body[:20]), int(reply.body[20:]), now))

    @property
    def open(self) -> int:
        return self.asked - sum(self.outcomes.values())


class Times:
    """Microseconds of many samples: from due until the server has the request, from the server's answer until
    the client has it, and the sum of both, request by request."""

    def __init__(self, samples: list[Sample]) -> None:
        self.request_way, self.answer_way = histogram(), histogram()
        self.both_ways = [(s.came - s.due + s.ended - s.left) // 1000 for s in samples]
        for s in samples:
            self.request_way.record_value(max(MIN_US, (s.came - s.due) // 1000))
            self.answer_way.record_value(max(MIN_US, (s.ended - s.left) // 1000))


@dataclass
class Round:
    """Some seconds of both streams, and what the node used meanwhile."""

    seconds: float
    before: Usage
    after: Usage
    through: Stream
    direct: Stream
    sender_late: Any
    watch: QuietWatch

    def counted(self, stream: Stream) -> list[Sample]:
        """The samples for which the machine was quiet from due to the answer."""
        return [s for s in stream.samples if self.watch.quiet(s.due, s.ended)]


async def until(due: int) -> None:
    """Sleeps as far as the loop's timers are exact enough for, and polls for the rest."""
    spare = (due - monotonic_ns()) / 1e9 - POLLED_S
    if spare > 0:
        await asyncio.sleep(spare)
    while monotonic_ns() < due:
        await asyncio.sleep(0)


def ask(lines: ConnectionPool, stream: Stream, due: int, number: int) -> None:
    """Sends one request."""
    data = encode_request("view", "safe", number & 0xFFFF, number, BUDGET_MS, b"%016x" % number)
    stream.asked += 1
    lines.send(data, lambda reply: stream.record(due, reply))


async def play(stand: Bench, rate: float, seconds: float, rng: Random) -> Round:
    """One round: requests through the node at a rate, and others straight to the server between them."""
    loop = asyncio.get_running_loop()
    ways = [ConnectionPool(loop, *stand.address(through)) for through in (True, False)]
    rates = (rate, min(rate, DIRECT_RATE))
    streams = (Stream(), Stream())
    late = histogram()
    before = usage(stand.node.pid)
    due = monotonic_ns()
    length = int(STRETCH_REQUESTS / sum(rates) * 1e9)
    pids = (stand.node.pid, stand.server.pid, os.getpid())
    watch = QuietWatch(pids, due, length, STRETCH_REQUESTS * ALLOWED_WAIT_NS)
    ends = due + int(seconds * 1e9)
    while (due := due + int(rng.expovariate(sum(rates)) * 1e9)) < ends:
        await until(due)
        late.record_value(max(MIN_US, (monotonic_ns() - due) // 1000))
        way = 0 if rng.random() < rate / sum(rates) else 1
        ask(ways[way], streams[way], due, rng.getrandbits(63))
        watch.look(monotonic_ns())
    last = loop.time() + DRAIN_S
    while any(s.open for s in streams) and loop.time() < last:
        await asyncio.sleep(POLLED_S)
    watch.end(monotonic_ns())
    for stream in streams:
        stream.outcomes["no answer"] += stream.open
    for lines in ways:
        lines.close()
    return Round(seconds, before, usage(stand.node.pid), *streams, late, watch)


# ---- figures --------------------------------------------------------------------------------------------


@dataclass
class Figures:
    """What the rounds of one sitting at a rate showed together."""

    rate: float
    repeat: int
    counts: bool  # false: too few requests met a quiet machine; all of them are in the figures then
    served: int
    counted: int  # of them, those that met a quiet machine
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
    node_cpu_us_a_call: float  # of all requests
    node_run_queue_us_a_call: float
    node_core_share: float
    node_system_share: float  # of its processor time, in the kernel


def quantile(values: list[int], percent: float) -> float:
    return float(np.percentile(np.array(values), percent))


def difference(through: Any, direct: Any, percent: float) -> float:
    """Difference of two quantiles, not the quantile of a difference."""
    return float(through.get_value_at_percentile(percent) - direct.get_value_at_percentile(percent))


def figures(rate: float, repeat: int, rounds: list[Round]) -> Figures:
    """The requests that count taken together; all of them where too few do."""
    counted = [s for r in rounds for s in r.counted(r.through)]
    enough = len(counted) >= MIN_SAMPLES
    through = Times(counted if enough else [s for r in rounds for s in r.through.samples])
    direct = Times([s for r in rounds for s in (r.counted(r.direct) if enough else r.direct.samples)])
    direct_median = quantile(direct.both_ways, 50.0)
    added = [int(sample - direct_median) for sample in through.both_ways]
    asked = sum(r.through.asked for r in rounds)
    cpu_ns = sum(r.after.cpu_ns - r.before.cpu_ns for r in rounds)
    run_queue_ns = sum(r.after.run_queue_ns - r.before.run_queue_ns for r in rounds)
    user_s = sum(r.after.user_s - r.before.user_s for r in rounds)
    system_s = sum(r.after.system_s - r.before.system_s for r in rounds)
    outcomes = sum((r.through.outcomes for r in rounds), Counter[str]())
    return Figures(
        rate=rate,
        repeat=repeat,
        counts=enough,
        served=outcomes.pop("served", 0),
        counted=len(counted),
        others=dict(outcomes),
        load_average=os.getloadavg()[0],
        added_p50_us=quantile(added, 50.0),
        added_p99_us=quantile(through.both_ways, 99.0) - quantile(direct.both_ways, 99.0),
        to_server_p50_us=difference(through.request_way, direct.request_way, 50.0),
        to_server_p99_us=difference(through.request_way, direct.request_way, 99.0),
        to_client_p50_us=difference(through.answer_way, direct.answer_way, 50.0),
        to_client_p99_us=difference(through.answer_way, direct.answer_way, 99.0),
        direct_p50_us=direct_median,
        direct_p99_us=quantile(direct.both_ways, 99.0),
        sender_late_p99_us=max(float(r.sender_late.get_value_at_percentile(99.0)) for r in rounds),
        hop_p99888_us=quantile(added, HOP_PERCENT),
        chain_p50_us=chain(added, DEEPEST_CALL, 50.0),
        chain_p99_us=chain(added, DEEPEST_CALL, 99.0),
        node_cpu_us_a_call=cpu_ns / 1000 / asked,
        node_run_queue_us_a_call=run_queue_ns / 1000 / asked,
        node_core_share=cpu_ns / 1e9 / sum(r.seconds for r in rounds),
        node_system_share=system_s / (user_s + system_s) if user_s + system_s else 0.0,
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
