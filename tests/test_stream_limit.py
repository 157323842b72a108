"""Clients that stall in a body or a response, and the connections that they hold meanwhile."""

from __future__ import annotations

import asyncio

import pytest
from loopback import Bench, Client, Server, call, run_scenario, wait_until
from streaming_support import LONG, RawServer, receive, upload

from balancer.net.downstream import client_connection, read_pace
from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.read_deadline import HEAD_TIMEOUT_S

HALF_UPLOAD = upload(LONG[:100_000], b"Content-Length: %d" % len(LONG))
HALF_BODY = call("offer", body=b"x" * 100)[:-50]
SMALL_LIMITS = {"limits": {"sockets": 96}}


async def open_halves(bench: Bench, data: bytes, count: int) -> list[Client]:
    """Return clients that have each sent this part of a request, which the node has read."""
    clients = []
    for _ in range(count):
        client = await bench.client()
        client.send(data)
        clients.append(client)
    connections = bench.node.client_connections.connections
    await wait_until(
        lambda: sum(c.parser.is_reading_body() and not c.reading_paused for c in connections) == count
    )
    return clients


def has_stalled_for(connection: ClientConnection, seconds: float) -> bool:
    """Return whether a client has stalled for so long that its system's buffers have filled up."""
    now = connection.connections.loop.time()
    since = connection.stalled_since(now)
    return since is not None and now - since > seconds


def test_stalled_uploads_leave_server_connections_to_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Uploads that stopped held all connections to servers, and other requests failed for 3 s."""
    monkeypatch.setattr(client_connection, "STALL_S", 0.0)

    async def scenario() -> None:
        bench = await Bench(RawServer(), config=SMALL_LIMITS).start()
        max_uploads = bench.node.descriptor_budget.max_servers() // 2
        clients = await open_halves(bench, HALF_UPLOAD, max_uploads)
        assert bench.node.descriptor_budget.servers <= max_uploads
        assert (await bench.request_once(call()))[0] == 200
        newest = await bench.client()
        newest.send(upload(LONG, b"Content-Length: %d" % len(LONG)))
        assert (await receive(newest))[1] == b"ok"  # The longest stalled one has given way.
        head, _ = await receive(clients[0])
        assert head.startswith(b"HTTP/1.1 503 ") and await clients[0].ended()

    run_scenario(scenario)


def test_uploads_beyond_the_limit_are_rejected_while_none_has_stalled() -> None:
    async def scenario() -> None:
        bench = await Bench(RawServer(), config=SMALL_LIMITS).start()
        clients = await open_halves(bench, HALF_UPLOAD, bench.node.descriptor_budget.max_servers() // 2)
        for connection in bench.node.client_connections.connections:
            connection.last_active_at += 1000
        client = await bench.client()
        client.send(upload(LONG, b"Content-Length: %d" % len(LONG)))
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in head
        (rejected,) = [c for c in bench.node.client_connections.connections if c.finished_at]
        assert rejected.parser.partial_request is None  # What was read of the body is discarded.
        assert bench.node.events.refusals == {"uploads": 1}
        assert all(not client.reader.at_eof() for client in clients)

    run_scenario(scenario)


def test_unread_streams_give_way_when_no_server_connection_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that read nothing of long responses must not keep others from the servers."""
    monkeypatch.setattr(read_pace, "MAX_ALLOWANCE_S", 0.0)

    async def scenario() -> None:
        body = bytes(8 << 20)
        server = RawServer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        bench = await Bench(server).start()
        bench.node.descriptor_budget.max_servers = lambda: 1  # type: ignore[method-assign]
        reader, writer = await asyncio.open_connection("127.0.0.1", bench.port, limit=1024)
        writer.write(call())
        connections = bench.node.client_connections.connections
        await wait_until(lambda: any(c.write_blocked for c in connections))
        (connection,) = connections
        await wait_until(lambda: has_stalled_for(connection, read_pace.FILL_S))
        server.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        assert (await bench.request_once(call()))[0] == 200
        with pytest.raises(asyncio.IncompleteReadError):
            await reader.readexactly(len(body))
        writer.close()

    run_scenario(scenario)


def test_stalled_body_is_evicted_before_idle_client() -> None:
    """Clients that stop within short bodies must not push idle ones out and keep new ones from connecting."""

    async def scenario() -> None:
        bench = await Bench(Server()).start()
        idle = await bench.client()
        assert (await idle.request(call()))[0] == 200
        (stalled,) = await open_halves(bench, HALF_BODY, 1)
        client_connections = bench.node.client_connections
        (connection,) = [c for c in client_connections.connections if c.partial_request]
        assert not connection.is_stalled(connection.last_active_at)
        connection.last_active_at -= 1
        assert client_connections.evict_one(linger=True)
        assert (await stalled.receive())[0] == 503 and await stalled.ended()
        assert client_connections.counts == {"gave_way_stalled": 1}
        assert (await idle.request(call()))[0] == 200

    run_scenario(scenario)


def test_waiting_client_is_accepted_once_others_have_stalled() -> None:
    """At the limit nothing is accepted, so a new client waited until a stopped one was late."""

    async def scenario() -> None:
        bench = await Bench(Server(), config=SMALL_LIMITS).start()
        client_connections = bench.node.client_connections
        clients = []
        while client_connections.has_capacity():
            client = await bench.client()
            client.send(HALF_BODY)
            clients.append(client)
            await wait_until(lambda: bench.node.descriptor_budget.clients == len(clients))
        waiting = await bench.client()
        started_at = bench.node.loop.time()
        assert (await waiting.request(call()))[0] == 200
        assert bench.node.loop.time() - started_at < HEAD_TIMEOUT_S / 2
        assert client_connections.counts["gave_way_stalled"] > 0

    run_scenario(scenario)


def test_rejected_client_that_sends_on_is_evicted_at_the_limit() -> None:
    """Clients that had their error and kept sending held the connections that others waited for."""

    async def scenario() -> None:
        bench = await Bench(Server()).start()
        client_connections = bench.node.client_connections
        client = await bench.client()
        client.send(b"wrong\r\n\r\n")
        assert (await client.receive())[0] == 400
        (connection,) = client_connections.connections
        bench.node.descriptor_budget.max_clients = lambda: 8  # type: ignore[method-assign]
        bench.node.descriptor_budget.clients += 7  # The others are simulated.
        client.send(b"more")  # The node's event loop does not run before the next line.
        assert connection.has_unread_data()
        client_connections.evict_stalled()
        assert connection in client_connections.connections  # The client may still read its error.
        connection.finished_at -= 1
        client_connections.evict_stalled()
        assert connection not in client_connections.connections
        bench.node.descriptor_budget.clients -= 7

    run_scenario(scenario)
