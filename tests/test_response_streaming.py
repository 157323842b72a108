"""Streaming of long responses: framings, flow control, timeouts and size limits."""

import asyncio

import pytest
from loopback import OK, Bench, Server, call, record_outcomes, respond_with, run_scenario, wait_until
from streaming_support import HEAD, LONG, RawServer, chunks, receive, upload

from balancer.net.upstream import exchange as node_exchange
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.policy.interface import Outcome


@pytest.mark.parametrize(
    ("response", "close"),
    [
        (HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG, False),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 3000, b";x=1", b"X-T: 1\r\n"), False),
        (HEAD + b"\r\n" + LONG, True),
        (HEAD + b"\r\nshort, to the connection's end", True),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG[:MAX_BUFFERED_BYTES], 100), False),
        (b"HTTP/1.1 103 Early Hints\r\nX-Rejected: 1\r\n\r\n" + OK, False),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(b"ok", 1, b"", b"X-Rejected: 1\r\n"), False),
    ],
)  # fmt: skip
def test_response_in_any_framing_reaches_client_unchanged(response, close):
    async def scenario():
        bench = await Bench(RawServer(response, close)).start()
        client = await bench.client()
        expected = LONG if LONG in response else None
        for _ in range(3):
            client.send(call(extra=b"Connection: keep-alive\r\n"))
            head, body = await receive(client)
            assert head.startswith(b"HTTP/1.1 200 ") and (expected is None or body == expected)
            assert body and b"chunked" not in body
        assert bench.node.memory_budget.held_bytes == 0 and not bench.node.requests.pending
        assert bench.node.counters.finished[0] == {"answered": 3, "deferred": 0, "errored": 0}

    run_scenario(scenario)


def test_http_1_0_client_gets_long_response_until_close():
    async def scenario():
        response = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 5000)
        bench = await Bench(RawServer(response)).start()
        client = await bench.client()
        client.send(call().replace(b"HTTP/1.1", b"HTTP/1.0"))
        head, body = await receive(client)
        assert b"chunked" not in head and body == LONG

    run_scenario(scenario)


def test_slow_client_pauses_only_its_own_server_connection():
    """Reading from the server must stop while the client is slow, or the response fills the memory.

    Requests of other clients are still answered meanwhile.
    """

    async def scenario():
        total = 24 * len(LONG)

        async def send_long_response(request, writer):
            if request.target.startswith("/invite"):
                return OK
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % total)
            for _ in range(24):
                writer.write(LONG)
                await writer.drain()
            return None

        bench = await Bench(Server(send_long_response)).start()
        node = bench.node
        slow = await bench.client()
        slow.writer.transport.pause_reading()
        slow.send(call())
        await wait_until(lambda: any(r.stream for r in node.requests.pending.values()))
        (request,) = node.requests.pending.values()
        await wait_until(lambda: request.exchange.connection.reading_paused)
        (client_connection,) = (
            c for c in node.client_connections.connections if c.current_request is not None
        )
        assert client_connection.transport.get_write_buffer_size() <= 3 * node.memory_budget.chunk_bytes
        assert (await bench.request_once(call("invite")))[0] == 200
        slow.writer.transport.resume_reading()
        async with asyncio.timeout(60):
            await slow.reader.readuntil(b"\r\n\r\n")
            assert len(await slow.reader.readexactly(total)) == total

    run_scenario(scenario)


def test_streamed_response_may_outlast_request_deadline(monkeypatch):
    """A response in transfer must not be ended by the attempt timeout, the deadline or the guard timer."""

    async def scenario():
        release = asyncio.Event()

        async def send_in_two_parts(request, writer):
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:100])
            await release.wait()
            return LONG[100:]

        bench = await Bench(Server(send_in_two_parts)).start()
        client = await bench.client()
        client.send(call(budget=300))
        await wait_until(lambda: any(r.stream for r in bench.node.requests.pending.values()))
        (request,) = bench.node.requests.pending.values()
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert await client.reader.readexactly(100) == LONG[:100]  # The first part is not held back.
        await wait_until(lambda: bench.node.event_queue.now() > request.deadline + 100_000)
        release.set()
        assert head and await client.reader.readexactly(len(LONG) - 100) == LONG[100:]
        await wait_until(lambda: not bench.node.requests.pending)
        assert bench.node.requests.overdue_count == 0

    run_scenario(scenario)


@pytest.mark.parametrize("framing", [b"Content-Length: %d" % len(LONG), b"Transfer-Encoding: chunked"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_truncated_response_is_visible_to_client(framing, version):
    """A client must be able to tell a truncated response from a complete one."""

    async def scenario():
        half = HEAD + framing + b"\r\n\r\n" + (chunks(LONG, 9000) if b"chunked" in framing else LONG)
        bench = await Bench(RawServer(half[: len(LONG) // 2], close=True)).start()
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(call().replace(b"HTTP/1.1", b"HTTP/" + version))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError, ValueError)):
            await receive(client)
        assert outcomes == [Outcome.RESET]
        assert bench.node.counters.finished[0]["errored"] == 1
        await wait_until(lambda: not bench.node.requests.pending)

    run_scenario(scenario)


def test_stalled_server_response_is_aborted(monkeypatch):
    monkeypatch.setattr(node_exchange, "SERVER_STALL_TIMEOUT_S", 0.0)

    async def scenario():
        silent = HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:100]
        bench = await Bench(Server(respond_with(silent))).start()
        client = await bench.client()
        client.send(call())
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await receive(client)

    run_scenario(scenario)


def test_client_disconnect_during_stream_cancels_attempt():
    async def scenario():
        half = HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:100]
        bench = await Bench(server := Server(respond_with(half))).start()
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(call())
        await client.reader.readuntil(b"\r\n\r\n")
        client.writer.close()
        await wait_until(lambda: server.closed == 1 and not bench.node.requests.pending)
        assert outcomes == [Outcome.CANCELLED]
        assert not any(s.in_flight for s in bench.node.balancer.servers.values())
        assert not bench.node.balancer.streaming

    run_scenario(scenario)


def test_long_error_response_fails_attempt():
    async def scenario():
        large = b"HTTP/1.1 500 Oops\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG
        bench = await Bench(Server(respond_with(large))).start()
        assert (await bench.request_once(call("invite")))[0] == 502

    run_scenario(scenario)


def test_oversized_content_length_fails_before_streaming():
    """A corrupt length must fail the attempt before any byte is passed on, so that a retry can succeed."""

    async def scenario():
        oversized = HEAD + b"Content-Length: 3000000000\r\n\r\n" + LONG[:10000]
        bench = await Bench(Server(respond_with(oversized, OK))).start()
        outcomes = record_outcomes(bench)
        assert (await bench.request_once(call()))[2] == b"ok"
        assert outcomes == [Outcome.ERROR, Outcome.OK]

    run_scenario(scenario)


def test_endless_chunked_bodies_are_cut_at_size_limit(monkeypatch):
    """Endless chunked bodies must not occupy a server, a client and their connections forever."""
    for module in ("downstream.request_parser", "upstream.connection"):
        monkeypatch.setattr(f"balancer.net.{module}.MAX_BODY_BYTES", 200_000)

    async def scenario():
        endless = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 9000)[:-5]
        bench = await Bench(server := RawServer(endless)).start()
        client = await bench.client()
        client.send(call())
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError, ValueError)):
            await receive(client)
        client = await bench.client()
        client.send(upload(chunks(LONG, 9000), b"Transfer-Encoding: chunked"))
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 413 ")
        await wait_until(lambda: not bench.node.requests.pending)
        assert len(server.bodies) == 1  # Only the request without a body reached the server.

    run_scenario(scenario)


def test_response_is_streamed_when_buffer_memory_is_full():
    async def scenario():
        body = LONG[:30000]
        response = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
        bench = await Bench(server := Server(respond_with(response[:20000]))).start()
        bench.node.memory_budget.max_held_bytes = 10000
        client = await bench.client()
        client.send(call())
        await wait_until(lambda: any(r.stream for r in bench.node.requests.pending.values()))
        server.writers[0].write(response[20000:])
        assert (await receive(client))[1] == body

    run_scenario(scenario)
