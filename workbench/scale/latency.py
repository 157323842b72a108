"""Latency that a real node adds to a call, on loopback: `python -m workbench.scale.latency`.

Requests go through the node at a given rate, interleaved with requests directly to the stub server, so that
both see the same machine load. The load is open loop: requests are sent when they are due (with exponentially
distributed gaps), whatever became of earlier ones, and are timed from when they were due. The sender polls
before each request, since the timers of its event loop have a resolution of only about a millisecond.

The server's response carries the monotonic times at which the request was received and the response was sent,
so that both directions are known for each request: all processes run on one machine and read the same clock.
The node's own latency is not observed directly: it is the time through the node minus the time directly to
the server, quantile by quantile. Only requests on a quiet machine count: in each interval of some ten
requests, none of the three processes waited for a core for more than 30 us a request.
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
from workbench.scale.loopback import Testbed, Usage, process_usage, serve, start_testbed
from workbench.scale.quiet import RunQueueMonitor
from workbench.scale.target import MAX_CALL_DEPTH

MIN_US, MAX_US, SIGNIFICANT_DIGITS = 1, 10_000_000, 3
BUDGET_MS = 2000
# How long before a request is due the sender starts to poll.
POLL_LEAD_S = 0.002
# How long to wait for responses after the last request.
DRAIN_TIMEOUT_S = 2.0
WARM_UP_S = 3.0
MAX_DIRECT_REQUESTS_PER_S = 150.0
# Quantile that each hop must meet so that 99 in 100 calls of the greatest depth do.
HOP_QUANTILE_PERCENT = 100 * 0.99 ** (1 / MAX_CALL_DEPTH)
# Requests on a quiet machine below which a measurement does not count.
MIN_SAMPLES = 1000
# Mean number of requests in an interval that is judged quiet or not.
INTERVAL_REQUESTS = 10
# Longest wait for a core, a request, of each of the three processes on a quiet machine.
MAX_RUN_QUEUE_WAIT_NS = 30_000


# ---- the load -------------------------------------------------------------------------------------------


def histogram() -> Any:
    """Create an empty histogram of microseconds."""
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)


@dataclass(frozen=True)
class Sample:
    """Monotonic times of one answered request.

    The server received the request at `received_ns` and sent the response at `replied_ns`; the client had the
    whole response at `ended_ns`.
    """

    due_ns: int
    received_ns: int
    replied_ns: int
    ended_ns: int


@dataclass
class RequestStream:
    """The requests of a round on one path: through the node, or directly to the server."""

    samples: list[Sample] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    sent: int = 0

    def record(self, due_ns: int, reply: Response) -> None:
        """Record one response."""
        now = monotonic_ns()
        self.outcomes["served" if reply.status == 200 else f"status {reply.status}"] += 1
        if reply.status == 200:
            self.samples.append(Sample(due_ns, int(reply.body[:20]), int(reply.body[20:]), now))

    @property
    def unanswered(self) -> int:
        """The number of requests without a response so far."""
        return self.sent - sum(self.outcomes.values())


class DirectionTimes:
    """Microseconds that many samples took in each direction, and the sum of both for each request.

    The request direction lasts from the due time until the server has the request, the response direction
    from the server's response until the client has it.
    """

    def __init__(self, samples: list[Sample]) -> None:
        self.request_times, self.response_times = histogram(), histogram()
        self.total_us = [(s.received_ns - s.due_ns + s.ended_ns - s.replied_ns) // 1000 for s in samples]
        for s in samples:
            self.request_times.record_value(max(MIN_US, (s.received_ns - s.due_ns) // 1000))
            self.response_times.record_value(max(MIN_US, (s.ended_ns - s.replied_ns) // 1000))


@dataclass
class Round:
    """Both request streams over some seconds, and the resources that the node used meanwhile."""

    seconds: float
    before: Usage
    after: Usage
    through_node: RequestStream
    direct: RequestStream
    sender_lateness: Any
    run_queue_monitor: RunQueueMonitor

    def counted(self, stream: RequestStream) -> list[Sample]:
        """Return the samples during which the machine was quiet, from the due time to the response."""
        return [s for s in stream.samples if self.run_queue_monitor.is_quiet(s.due_ns, s.ended_ns)]


async def wait_until(due_ns: int) -> None:
    """Sleep for as long as the loop's timers are exact enough, then poll until the due time."""
    spare = (due_ns - monotonic_ns()) / 1e9 - POLL_LEAD_S
    if spare > 0:
        await asyncio.sleep(spare)
    while monotonic_ns() < due_ns:
        await asyncio.sleep(0)


def send_request(connections: ConnectionPool, stream: RequestStream, due_ns: int, number: int) -> None:
    """Send one request."""
    data = encode_request("view", "safe", number & 0xFFFF, number, BUDGET_MS, b"%016x" % number)
    stream.sent += 1
    connections.send(data, lambda reply: stream.record(due_ns, reply))


async def run_round(testbed: Testbed, rate: float, seconds: float, rng: Random) -> Round:
    """Run one round of requests through the node, interleaved with requests directly to the server."""
    loop = asyncio.get_running_loop()
    connection_pools = [
        ConnectionPool(loop, *testbed.address(through_node)) for through_node in (True, False)
    ]
    rates = (rate, min(rate, MAX_DIRECT_REQUESTS_PER_S))
    streams = (RequestStream(), RequestStream())
    lateness = histogram()
    before = process_usage(testbed.node.pid)
    due_ns = monotonic_ns()
    interval_ns = int(INTERVAL_REQUESTS / sum(rates) * 1e9)
    pids = (testbed.node.pid, testbed.server.pid, os.getpid())
    run_queue_monitor = RunQueueMonitor(pids, due_ns, interval_ns, INTERVAL_REQUESTS * MAX_RUN_QUEUE_WAIT_NS)
    end_ns = due_ns + int(seconds * 1e9)
    while (due_ns := due_ns + int(rng.expovariate(sum(rates)) * 1e9)) < end_ns:
        await wait_until(due_ns)
        lateness.record_value(max(MIN_US, (monotonic_ns() - due_ns) // 1000))
        path_index = 0 if rng.random() < rate / sum(rates) else 1
        send_request(connection_pools[path_index], streams[path_index], due_ns, rng.getrandbits(63))
        run_queue_monitor.update(monotonic_ns())
    last = loop.time() + DRAIN_TIMEOUT_S
    while any(s.unanswered for s in streams) and loop.time() < last:
        await asyncio.sleep(POLL_LEAD_S)
    run_queue_monitor.end_interval(monotonic_ns())
    for stream in streams:
        stream.outcomes["no answer"] += stream.unanswered
    for connections in connection_pools:
        connections.close()
    return Round(seconds, before, process_usage(testbed.node.pid), *streams, lateness, run_queue_monitor)


# ---- results --------------------------------------------------------------------------------------------


@dataclass
class Figures:
    """The combined results of all rounds at one rate.

    `counts` is false if too few requests met a quiet machine; the figures are then those of all requests.
    `counted` is the number of served requests that met a quiet machine. `hop_p99888_us` is the quantile that
    each of nine hops must meet for 99 in 100 of the whole chain. The processor time is that of all requests.
    """

    rate: float
    repeat: int
    counts: bool
    served: int
    counted: int
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
    hop_p99888_us: float
    chain_p50_us: float
    chain_p99_us: float
    node_cpu_us_a_call: float
    node_run_queue_us_a_call: float
    node_core_share: float
    node_system_share: float  # Share of the node's processor time in the kernel


def quantile(values: list[int], percent: float) -> float:
    """Return a quantile of some values."""
    return float(np.percentile(np.array(values), percent))


def difference(through_node: Any, direct: Any, percent: float) -> float:
    """Return the difference of two quantiles, which is not the quantile of the difference."""
    return float(through_node.get_value_at_percentile(percent) - direct.get_value_at_percentile(percent))


def combine_rounds(rate: float, repeat: int, rounds: list[Round]) -> Figures:
    """Combine the requests that count, or all requests if too few count."""
    counted = [s for r in rounds for s in r.counted(r.through_node)]
    is_sufficient = len(counted) >= MIN_SAMPLES
    through_node = DirectionTimes(
        counted if is_sufficient else [s for r in rounds for s in r.through_node.samples]
    )
    direct = DirectionTimes(
        [s for r in rounds for s in (r.counted(r.direct) if is_sufficient else r.direct.samples)]
    )
    direct_median = quantile(direct.total_us, 50.0)
    added = [int(sample - direct_median) for sample in through_node.total_us]
    sent = sum(r.through_node.sent for r in rounds)
    cpu_ns = sum(r.after.cpu_ns - r.before.cpu_ns for r in rounds)
    run_queue_ns = sum(r.after.run_queue_ns - r.before.run_queue_ns for r in rounds)
    user_s = sum(r.after.user_s - r.before.user_s for r in rounds)
    system_s = sum(r.after.system_s - r.before.system_s for r in rounds)
    outcomes = sum((r.through_node.outcomes for r in rounds), Counter[str]())
    return Figures(
        rate=rate,
        repeat=repeat,
        counts=is_sufficient,
        served=outcomes.pop("served", 0),
        counted=len(counted),
        others=dict(outcomes),
        load_average=os.getloadavg()[0],
        added_p50_us=quantile(added, 50.0),
        added_p99_us=quantile(through_node.total_us, 99.0) - quantile(direct.total_us, 99.0),
        to_server_p50_us=difference(through_node.request_times, direct.request_times, 50.0),
        to_server_p99_us=difference(through_node.request_times, direct.request_times, 99.0),
        to_client_p50_us=difference(through_node.response_times, direct.response_times, 50.0),
        to_client_p99_us=difference(through_node.response_times, direct.response_times, 99.0),
        direct_p50_us=direct_median,
        direct_p99_us=quantile(direct.total_us, 99.0),
        sender_late_p99_us=max(float(r.sender_lateness.get_value_at_percentile(99.0)) for r in rounds),
        hop_p99888_us=quantile(added, HOP_QUANTILE_PERCENT),
        chain_p50_us=chain_quantile(added, MAX_CALL_DEPTH, 50.0),
        chain_p99_us=chain_quantile(added, MAX_CALL_DEPTH, 99.0),
        node_cpu_us_a_call=cpu_ns / 1000 / sent,
        node_run_queue_us_a_call=run_queue_ns / 1000 / sent,
        node_core_share=cpu_ns / 1e9 / sum(r.seconds for r in rounds),
        node_system_share=system_s / (user_s + system_s) if user_s + system_s else 0.0,
    )


def chain_quantile(samples_us: list[int], hops: int, percent: float) -> float:
    """Return a quantile of the sum over independent hops, by convolution of the measured distribution."""
    bin_width_us = 10
    top = int(np.percentile(samples_us, 99.99)) + bin_width_us
    clipped = np.clip(np.array(samples_us), 0, top)
    hop_distribution = np.bincount(clipped // bin_width_us).astype(float)
    hop_distribution /= hop_distribution.sum()
    sum_distribution = np.ones(1)
    for _ in range(hops):
        sum_distribution = np.convolve(sum_distribution, hop_distribution)
    cumulative = np.cumsum(sum_distribution)
    index = int(np.searchsorted(cumulative, percent / 100))
    return float((index + hops / 2) * bin_width_us)


async def measure_idle(testbed: Testbed, seconds: float) -> dict[str, float]:
    """Measure processor time and memory of a node without requests."""
    await asyncio.sleep(1.0)
    before = process_usage(testbed.node.pid)
    await asyncio.sleep(seconds)
    after = process_usage(testbed.node.pid)
    return {
        "cpu_us_a_second": (after.cpu_ns - before.cpu_ns) / 1000 / seconds,
        "resident_mb": after.resident_bytes / (1 << 20),
    }


# ---- the command ----------------------------------------------------------------------------------------


async def run_rates(rates: tuple[float, ...], seconds: float, rounds: int, seed: int, fleet: bool) -> None:
    """Measure each rate after a warm-up round and print a JSON line for it."""
    async with start_testbed(fleet) as testbed:
        for rate in rates:
            rng = Random(seed)
            await run_round(testbed, rate, WARM_UP_S, rng)
            results = [await run_round(testbed, rate, seconds, rng) for _ in range(rounds)]
            click.echo(msgspec.json.encode(combine_rounds(rate, seed, results)).decode())


async def run_idle(seconds: float, repeats: int, fleet: bool) -> None:
    """Measure new idle nodes one after the other and print a JSON line for each."""
    for repeat in range(repeats):
        async with start_testbed(fleet) as testbed:
            row = {"repeat": repeat, "fleet": fleet, **await measure_idle(testbed, seconds)}
            click.echo(json.dumps(row))


@click.command()
@click.option("--rate", "rates", type=click.FloatRange(1, 5000), multiple=True, default=(150.0,))
@click.option(
    "--seconds", type=click.FloatRange(0.5, 60), default=3.0, show_default=True, help="Length of a round."
)
@click.option(
    "--repeats",
    type=click.IntRange(1, 60),
    default=18,
    show_default=True,
    help="Rounds; with --idle, node processes.",
)
@click.option("--seed", type=click.IntRange(0), default=1)
@click.option("--fleet", is_flag=True, help="Give the node a fleet section without peers.")
@click.option(
    "--idle", "only_idle", is_flag=True, help="Measure only processor time and memory, without calls."
)
@click.option("--serve", "address", hidden=True, help="Run as the stub server at HOST:PORT.")
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
