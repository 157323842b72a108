"""Time limits for a client's uploads and its last response, and the memory that they may use."""

import asyncio
import socket

import pytest
from loopback import Bench, FakeTimeLoop, Server, call, respond_after, run_scenario, wait_until
from streaming_support import HEAD, LONG, RawServer, chunks, receive, upload

from balancer.net.downstream.client_connection import LINGER_S
from balancer.net.downstream.client_eviction import eviction_priority
from balancer.net.downstream.read_deadline import HEAD_TIMEOUT_S
from balancer.net.process.memory_budget import MAX_CHUNK_BYTES, MIN_CHUNK_BYTES, MIN_HELD_BYTES, MemoryBudget

# ---- time limits ------------------------------------------------------------------------------------


def test_100_continue_sent_before_each_valid_body():
    async def scenario():
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        for body in (LONG, b"short"):
            head, _, rest = upload(
                body, b"Content-Length: %d" % len(body), b"Expect: 100-continue\r\n"
            ).partition(b"\r\n\r\n")
            client.send(head + b"\r\n\r\n")
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            client.send(rest)
            assert (await receive(client))[1] == b"ok"
        assert server.bodies == [LONG, b"short"]
        client.send(head.replace(b"/offer", b"/nothing").replace(b": 5", b": 99999") + b"\r\n\r\n")
        head, _ = await receive(client)  # No 100 Continue precedes the response.
        assert head.startswith(b"HTTP/1.1 404 ")

    run_scenario(scenario)


def test_100_continue_follows_earlier_response():
    async def scenario():
        release = asyncio.Event()

        bench = await Bench(server := Server(respond_after(release))).start()
        client = await bench.client()
        head, _, rest = upload(b"x", b"Content-Length: 1", b"Expect: 100-continue\r\n").partition(b"\r\n\r\n")
        client.send(call() + head + b"\r\n\r\n")
        await wait_until(lambda: len(server.requests) == 1)
        release.set()
        assert (await client.receive())[2] == b"ok"
        assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        client.send(rest)
        assert (await client.receive())[2] == b"ok"

    run_scenario(scenario)


def test_body_without_progress_in_a_period_gets_408(monkeypatch):
    """A slow client that makes progress is kept; one that makes none must not occupy a server."""

    async def scenario():
        bench = await Bench(server := RawServer()).start()
        client_connections = bench.node.client_connections
        client = await bench.client()
        data = upload(LONG, b"Content-Length: %d" % (2 * len(LONG)))
        client.send(data)
        await wait_until(lambda: bool(client_connections.connections) and bool(server.heads))
        (client_connection,) = client_connections.connections
        (request,) = bench.node.requests.pending.values()
        await wait_until(
            lambda: (
                client_connection.read_deadline.expires_at is not None
                and not client_connection.unparsed
                and not client_connection.reading_paused
            )
        )
        client_connection.read_deadline.body_bytes, now = len(LONG), bench.node.loop.time()
        client_connection.last_active_at = now + HEAD_TIMEOUT_S  # The progress is made by then.
        monkeypatch.setattr(
            client_connections, "loop", FakeTimeLoop(bench.node.loop, now + HEAD_TIMEOUT_S + 1)
        )
        client_connections.sweep()
        assert not client_connection.reading_stopped and client_connection.read_deadline.body_bytes == 0
        monkeypatch.setattr(
            client_connections, "loop", FakeTimeLoop(bench.node.loop, now + 2 * HEAD_TIMEOUT_S + 2)
        )
        client_connections.sweep()
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 408 ") and await client.ended()
        await wait_until(lambda: server.closed == 1 and not bench.node.requests.pending)
        assert request.client is None and not server.bodies

    run_scenario(scenario)


def test_slow_reader_gets_complete_last_response(monkeypatch):
    """The connection must not be closed while part of the response is still in the process."""
    monkeypatch.setattr("balancer.net.downstream.client_connection.LINGER_S", 0.0)

    async def scenario():
        body = LONG * 16
        response = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
        bench = await Bench(RawServer(response)).start()
        client = await bench.client()
        client.writer.transport.pause_reading()
        client.send(call(extra=b"Connection: close\r\n"))
        await wait_until(lambda: any(r.stream for r in bench.node.requests.pending.values()))
        (client_connection,) = bench.node.client_connections.connections
        await wait_until(lambda: client_connection.write_blocked)
        client.writer.transport.resume_reading()
        assert (await receive(client))[1] == body

    run_scenario(scenario)


def test_aborted_http_1_0_response_resets_connection():
    """An HTTP/1.0 client would take an orderly close for the end of a complete response."""

    async def scenario():
        partial_response = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 9000)[: len(LONG) // 2]
        bench = await Bench(RawServer(partial_response, close=True)).start()
        with socket.create_connection(("127.0.0.1", bench.port)) as client_socket:
            client_socket.setblocking(False)
            client_socket.send(call().replace(b"HTTP/1.1", b"HTTP/1.0"))
            loop = asyncio.get_running_loop()
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(20):
                    while await loop.sock_recv(client_socket, 65536):
                        pass

    run_scenario(scenario)


def test_rejected_client_may_finish_its_upload(monkeypatch):
    """The client must not be disconnected before it has looked for a response."""

    async def scenario():
        bench = await Bench().start()  # Without servers, every request is rejected.
        client_connections = bench.node.client_connections
        client = await bench.client()
        data = upload(LONG, b"Content-Length: %d" % len(LONG))
        client.send(data[:100_000])
        await wait_until(lambda: any(c.finished_at for c in client_connections.connections))
        (client_connection,) = client_connections.connections
        monkeypatch.setattr(
            client_connections,
            "loop",
            FakeTimeLoop(bench.node.loop, client_connection.last_active_at + 0.9 * LINGER_S),
        )
        client_connection.linger(client_connection.finished_at, 0)
        assert not client_connection.transport.is_closing()
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in head
        assert eviction_priority(client_connection, client_connections.loop.time()) == (
            0,
            client_connection.finished_at,
        )  # The connection is evicted first.
        monkeypatch.setattr(
            client_connections,
            "loop",
            FakeTimeLoop(bench.node.loop, client_connection.last_active_at + 1.1 * LINGER_S),
        )
        client_connection.linger(client_connection.finished_at, 0)
        assert client_connection.transport.is_closing()

    run_scenario(scenario)


# ---- memory ------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("memory", "sockets"), [(16, 64), (32, 256), (80, 384), (192, 1024)])
def test_memory_budget_follows_from_limits(memory, sockets):
    memory_budget = MemoryBudget(memory << 20, sockets)
    assert MIN_HELD_BYTES <= memory_budget.max_held_bytes <= max(MIN_HELD_BYTES, memory << 18)
    assert MIN_CHUNK_BYTES <= memory_budget.chunk_bytes <= MAX_CHUNK_BYTES
    assert memory_budget.chunk_bytes * sockets <= max(memory_budget.max_held_bytes, MIN_CHUNK_BYTES * sockets)
