"""Which clients give way when buffered bytes exceed the limit, and which are served all the same."""

from __future__ import annotations

import asyncio

from loopback import Bench, Client, Server, call, respond_after, respond_with, run_scenario, wait_until

from balancer.net.downstream.client_connection import STALL_S, ClientConnection

LIMIT_BYTES = 100_000


def half_body(size: int) -> bytes:
    """Return a request of which `size` bytes of the body have been sent, and some are missing."""
    return call("offer", body=b"x" * (size + 1000))[:-1000]


async def open_half(bench: Bench, size: int) -> tuple[Client, ClientConnection]:
    """Return a client that has sent a part of a body, and its connection."""
    before = set(bench.node.client_connections.connections)
    client = await bench.client()
    client.send(half_body(size))
    connections = bench.node.client_connections.connections
    await wait_until(lambda: any(c.parser.partial_bytes() > size for c in connections - before))
    (connection,) = connections - before
    return client, connection


def test_client_that_holds_most_gives_way_first() -> None:
    async def scenario() -> None:
        bench = await Bench(Server()).start()
        bench.node.memory_budget.max_held_bytes = LIMIT_BYTES
        small, _ = await open_half(bench, 20_000)
        large, _ = await open_half(bench, 50_000)
        newest = await bench.client()
        newest.send(half_body(40_000))
        status, headers, _ = await large.receive()
        assert status == 503 and float(headers["retry-after"]) > 0 and await large.ended()
        for client in (small, newest):
            client.send(b"x" * 1000)
            assert (await client.receive())[0] == 200
        assert bench.node.events.refusals == {"gave_way": 1}
        assert bench.node.memory_budget.peak_bytes <= LIMIT_BYTES + bench.node.memory_budget.chunk_bytes

    run_scenario(scenario)


def test_stalled_client_gives_way_before_larger_active_one() -> None:
    async def scenario() -> None:
        bench = await Bench(Server()).start()
        bench.node.memory_budget.max_held_bytes = LIMIT_BYTES
        stalled, connection = await open_half(bench, 20_000)
        connection.last_active_at -= STALL_S
        active, _ = await open_half(bench, 50_000)
        newest = await bench.client()
        newest.send(half_body(40_000))
        assert (await stalled.receive())[0] == 503
        active.send(b"x" * 1000)
        assert (await active.receive())[0] == 200

    run_scenario(scenario)


def test_complete_requests_are_served_beside_partial_ones() -> None:
    """A small request was refused because others had filled the budget with parts of requests."""

    async def scenario() -> None:
        release = asyncio.Event()
        bench = await Bench(server := Server(respond_after(release))).start()
        bench.node.memory_budget.max_held_bytes = LIMIT_BYTES
        (waiting := await bench.client()).send(call("offer", body=b"x" * 30_000))
        await wait_until(lambda: len(server.requests) == 1)
        for _ in range(10):
            await open_half(bench, 30_000)
        (small := await bench.client()).send(call())
        await wait_until(lambda: len(server.requests) == 2)
        release.set()
        assert (await waiting.receive())[0] == 200 and (await small.receive())[0] == 200

    run_scenario(scenario)


def test_client_that_waits_for_its_response_has_not_stalled() -> None:
    """Requests that wait behind one in flight are not the client's delay."""

    async def scenario() -> None:
        bench = await Bench(Server(respond_with(None))).start()
        client = await bench.client()
        client.send(call() * 3)
        connections = bench.node.client_connections.connections
        await wait_until(lambda: any(len(c.pipelined) == 2 for c in connections))
        (connection,) = connections
        assert connection.reclaimable_bytes() > 0
        assert not connection.is_stalled(connection.last_active_at + 100)

    run_scenario(scenario)
