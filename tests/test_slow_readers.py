"""Clients that read long responses slowly: which ones lose their responses when the node lacks room."""

from __future__ import annotations

import asyncio
import contextlib
import errno
from collections.abc import AsyncIterator, Iterable

import pytest
from loopback import OK, Bench, Client, Server, call, run_scenario, wait_until
from slow_readers import (
    BY_CHUNKS,
    BY_LENGTH,
    GRANTED_READINGS,
    STOPPED_READINGS,
    Reading,
    SlowReader,
    long_response_server,
)

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.read_pace import FILL_S, MAX_ALLOWANCE_S, START_ALLOWANCE_S
from balancer.net.process import sockets

# Longer than the steps in which steady reading shows.
OBSERVED_S = 7.0
SMALL_LIMITS = {"limits": {"sockets": 96}}
PACE = GRANTED_READINGS["small_pieces"]
NEVER = STOPPED_READINGS["never"]


@contextlib.asynccontextmanager
async def slow_readers(bench: Bench, readings: Iterable[Reading]) -> AsyncIterator[list[SlowReader]]:
    """Start clients that read a long response, and wait until the node waits for each of them."""
    readers = [SlowReader(bench.port, reading) for reading in readings]
    for reader in readers:
        await reader.start()
    try:
        await wait_until(lambda: len(blocked_connections(bench)) >= len(readers))
        yield readers
    finally:
        for reader in readers:
            reader.close()


def blocked_connections(bench: Bench) -> list[ClientConnection]:
    """Return the connections whose clients the node waits for."""
    return [c for c in bench.node.client_connections.connections if c.write_blocked]


async def wait_until_proven(bench: Bench, count: int) -> None:
    """Wait until so many clients have read something while the node waited for them."""
    await wait_until(lambda: sum(c.writer.pace.has_read for c in blocked_connections(bench)) >= count)


@pytest.mark.parametrize("response", [BY_LENGTH, BY_CHUNKS], ids=["length", "chunks"])
def test_clients_at_the_granted_pace_keep_their_responses(
    response: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Responses read at 64 kB a second were cut off: the write buffer shows no progress for seconds."""

    async def scenario() -> None:
        bench = await Bench(long_response_server(response)).start()
        stream_limit = bench.node.requests.stream_limit
        # Each sweep lets all clients give way that have stalled.
        monkeypatch.setattr(stream_limit, "end_excess_unread", lambda: end_all_stalled(bench))
        async with slow_readers(bench, GRANTED_READINGS.values()) as readers:
            await asyncio.sleep(OBSERVED_S)
            assert not bench.node.events.closes
            assert all(r.read_bytes > 32_000 * (OBSERVED_S - 1) for r in readers)

    run_scenario(scenario)


def end_all_stalled(bench: Bench) -> None:
    """Let all clients give way that have stalled and do not read their responses."""
    stream_limit = bench.node.requests.stream_limit
    stream_limit.max_client_requests = 1 << 20
    while any(c.is_stalled(bench.node.loop.time()) for c in stream_limit.unread_clients()):
        assert bench.node.requests.end_unread()


def test_clients_that_stop_reading_give_way(monkeypatch: pytest.MonkeyPatch) -> None:
    """What slow clients are spared must not let stopped ones keep connections from others."""

    async def scenario() -> None:
        bench = await Bench(long_response_server()).start()
        stream_limit = bench.node.requests.stream_limit
        monkeypatch.setattr(stream_limit, "end_excess_unread", lambda: end_all_stalled(bench))
        started_at = bench.node.loop.time()
        async with slow_readers(bench, STOPPED_READINGS.values()):
            await wait_until(lambda: not blocked_connections(bench))
            assert bench.node.loop.time() - started_at < 1.0 + MAX_ALLOWANCE_S + 1.0

    run_scenario(scenario)


def test_responses_beyond_half_of_the_server_connections_are_kept() -> None:
    """Responses beyond half of the connections to servers were cut off, with room for all."""

    async def scenario() -> None:
        bench = await Bench(long_response_server(), config=SMALL_LIMITS).start()
        budget = bench.node.descriptor_budget
        count = budget.max_request_clients
        assert count > budget.max_servers() // 2
        async with slow_readers(bench, [PACE] * count):
            await asyncio.sleep(1.0)
            assert not bench.node.events.closes

    run_scenario(scenario)


def test_start_of_a_second_process_cuts_off_no_response_at_the_granted_pace() -> None:
    """The limits are halved then, and responses beyond the halved limit were cut off."""

    async def scenario() -> None:
        bench = await Bench(long_response_server(), config=SMALL_LIMITS).start()
        count = bench.node.descriptor_budget.max_servers() // 2 - 1
        async with slow_readers(bench, [PACE] * count):
            await wait_until_proven(bench, count)
            bench.node.on_shared(True)
            await asyncio.sleep(1.0)
            assert not bench.node.events.closes

    run_scenario(scenario)


class Crowd:
    """Clients that connect one after the other, send a part of a head and stay.

    Args:
        port: The node's port.
    """

    INTERVAL_S = 0.005
    HEAD_PART = b"GET /view HTTP/1.1\r\nHost: app\r\n"

    def __init__(self, port: int) -> None:
        self.port = port
        self.clients: list[Client] = []

    async def grow(self, seconds: float) -> None:
        """Add clients for this time."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            client = await Client(self.port).open()
            client.send(self.HEAD_PART)
            self.clients.append(client)
            await asyncio.sleep(self.INTERVAL_S)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.writer.transport.abort()


async def write_body_slowly(client: Client) -> int:
    """Send a request whose body comes at the granted pace, and return the status of its response."""
    head, body = call("offer", body=bytes(64_000)).split(b"\r\n\r\n")
    client.send(head + b"\r\n\r\n")
    for start in range(0, len(body), PACE.piece_bytes):
        client.send(body[start : start + PACE.piece_bytes])
        await asyncio.sleep(PACE.pause_s)
    return (await client.receive())[0]


def test_crowd_without_requests_cuts_off_no_response_at_the_granted_pace() -> None:
    """A crowd that never finished a head made the node cut off responses that were read, and kept itself."""

    async def scenario() -> None:
        server = long_response_server()
        bench = await Bench(server, config=SMALL_LIMITS).start()
        async with slow_readers(bench, [PACE] * 6):
            readers = set(blocked_connections(bench))
            crowd = Crowd(bench.port)
            await crowd.grow(2.0)
            crowd.close()
            assert readers <= bench.node.client_connections.connections
            assert bench.node.client_connections.counts["gave_way_headless"] > 50

    run_scenario(scenario)


def test_clients_that_stop_reading_give_way_to_a_crowd() -> None:
    """A client that reads nothing any more is closed before the clients that may be writing a head."""

    async def scenario() -> None:
        bench = await Bench(long_response_server(), config=SMALL_LIMITS).start()
        async with slow_readers(bench, [STOPPED_READINGS["never"]] * 6):
            readers = set(blocked_connections(bench))
            await wait_until(lambda: all(c.is_stalled(bench.node.loop.time()) for c in readers))
            crowd = Crowd(bench.port)
            await crowd.grow(1.0)
            crowd.close()
            assert not readers & bench.node.client_connections.connections

    run_scenario(scenario)


def test_crowd_without_requests_leaves_bodies_at_the_granted_pace_alone() -> None:
    """A client that paused in its body for a twentieth of a second was refused before one of the crowd."""

    async def scenario() -> None:
        bench = await Bench(Server(), config=SMALL_LIMITS).start()
        clients = [await bench.client() for _ in range(4)]
        crowd = Crowd(bench.port)
        writing = asyncio.gather(*(write_body_slowly(client) for client in clients))
        await crowd.grow(1.2)
        assert await writing == [200] * len(clients)
        crowd.close()
        assert bench.node.client_connections.counts["gave_way_headless"] > 50

    run_scenario(scenario)


def test_clients_that_may_not_read_give_way_beyond_the_clients_share() -> None:
    """Peers that never read must not hold the connections of others for as long as a client may take."""

    async def scenario() -> None:
        server = long_response_server()
        bench = await Bench(server, config=SMALL_LIMITS).start()
        share = bench.node.descriptor_budget.max_request_clients
        async with slow_readers(bench, [PACE] * 4):
            await wait_until_proven(bench, 4)
            honest = set(blocked_connections(bench))
            async with slow_readers(bench, [NEVER] * (share - 4)):
                await asyncio.sleep(FILL_S)
                assert len(blocked_connections(bench)) == share
                async with contextlib.AsyncExitStack() as others:
                    for _ in range(2):
                        reader = SlowReader(bench.port, NEVER)
                        await reader.start()
                        others.callback(reader.close)
                    await wait_until(lambda: bench.node.client_connections.events.closes["stalled"] >= 2)
                    server.answer = OK
                    assert (await bench.request_once(call()))[0] == 200
                    assert honest <= bench.node.client_connections.connections

    run_scenario(scenario)


def test_waiting_client_is_accepted_where_clients_may_have_stopped_reading() -> None:
    """At the limit nothing is accepted, and clients that never read kept others waiting for seconds."""

    async def scenario() -> None:
        server = long_response_server()
        bench = await Bench(server, config=SMALL_LIMITS).start()
        requests = bench.node.requests
        async with slow_readers(bench, [NEVER] * 6):
            server.read.clear()
            waiting_for_server = [await bench.client() for _ in range(3)]
            for client in waiting_for_server:
                client.send(call())
            await wait_until(lambda: len(requests.by_client) == 9)
            requests.stream_limit.max_client_requests = 8
            bench.node.descriptor_budget.max_clients = lambda: 9  # type: ignore[method-assign]
            started_at = bench.node.loop.time()
            bench.node.client_connections.listener.update()
            accepted = await bench.client()
            await wait_until(lambda: bench.node.events.closes["stalled"] > 0)
            assert bench.node.loop.time() - started_at < START_ALLOWANCE_S / 2
            accepted.writer.close()

    run_scenario(scenario)


def test_memory_relief_spares_responses_while_requests_can_be_refused() -> None:
    """A response at the granted pace was cut off for the bytes of requests, which lose nothing by a 503."""

    async def scenario() -> None:
        bench = await Bench(long_response_server()).start()
        async with slow_readers(bench, [PACE]):
            await wait_until_proven(bench, 1)
            (slow,) = blocked_connections(bench)
            budget = bench.node.memory_budget
            budget.max_held_bytes = budget.held_bytes + 20_000
            clients = [await bench.client() for _ in range(3)]
            for client in clients:
                client.send(call("offer", body=b"x" * 12_000)[:-1000])
            head = await asyncio.wait_for(first_head(clients), 5.0)
            assert head.startswith(b"HTTP/1.1 503 ")
            complete = await bench.client()
            complete.send(call("offer", body=b"x" * 30_000))
            assert (await complete.receive())[0] == 503
            assert slow in bench.node.client_connections.connections

    run_scenario(scenario)


async def first_head(clients: list[Client]) -> bytes:
    """Return the head of the first response that one of the clients gets."""
    tasks = [asyncio.ensure_future(c.reader.readuntil(b"\r\n\r\n")) for c in clients]
    done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    return done.pop().result()


def test_node_serves_where_the_system_does_not_tell_what_is_unacknowledged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A socket that does not know the request must not fail; the write buffer is the measure then."""

    def refuse(*arguments: object) -> bytes:
        raise OSError(errno.ENOTTY, "not supported")

    async def scenario() -> None:
        monkeypatch.setattr("balancer.net.process.sockets.fcntl.ioctl", refuse)
        bench = await Bench(long_response_server()).start()
        async with slow_readers(bench, [PACE, NEVER]):
            await asyncio.sleep(1.0)
            assert not bench.node.events.closes
            assert all(sockets.unacknowledged_bytes(c.transport) == 0 for c in blocked_connections(bench))

    run_scenario(scenario)
