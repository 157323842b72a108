"""Long request bodies are streamed through the node in any framing, at the pace of their server."""

import pytest
from loopback import REJECTED, Bench, call, record_outcomes, run_scenario, wait_until
from streaming_support import LONG, RawServer, chunks, receive, upload

from balancer.policy.interface import Outcome


@pytest.mark.parametrize(
    "request_bytes",
    [
        upload(LONG, b"Content-Length: %d" % len(LONG)),
        upload(chunks(LONG, 7000, b";a=b", b"X-Call-Id: other\r\n"), b"Transfer-Encoding: chunked"),
        upload(chunks(LONG, 100_000), b"Transfer-Encoding: chunked"),
    ],
)
def test_long_body_forwarded_whole_and_next_request_served(request_bytes):
    async def scenario():
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        client.send(request_bytes + call("offer", body=b"next") + request_bytes)
        for _ in range(3):
            assert (await receive(client))[1] == b"ok"
        assert server.bodies == [LONG, b"next", LONG]
        assert all(b"other" not in head for head in server.heads)  # Trailers are not forwarded.
        assert bench.node.memory_budget.held_bytes == 0 and bench.node.counters.sends == 3
        assert not any(s.in_flight or s.uploads for s in bench.node.balancer.servers.values())

    run_scenario(scenario)


def test_short_chunked_body_is_buffered_and_retried():
    async def scenario():
        bench = await Bench(first := RawServer(REJECTED), second := RawServer(REJECTED)).start()
        client = await bench.client()
        client.send(upload(chunks(b"x" * 3000, 7), b"Transfer-Encoding: chunked"))
        assert (await receive(client))[0].startswith(b"HTTP/1.1 503 ")
        assert (first.bodies + second.bodies) == [b"x" * 3000] * 3  # The body could be retried.

    run_scenario(scenario)


def test_slow_server_pauses_reading_from_client():
    """A body must not accumulate in the process while its server is slow."""

    async def scenario():
        body = LONG * 32
        bench = await Bench(server := RawServer()).start()
        server.read.clear()
        node = bench.node
        client = await bench.client()
        client.send(upload(body, b"Content-Length: %d" % len(body)))
        await wait_until(lambda: bool(server.heads))
        (client_connection,) = node.client_connections.connections
        (request,) = node.requests.pending.values()
        await wait_until(
            lambda: client_connection.reading_paused and request.exchange.connection.is_write_blocked()
        )
        assert (
            request.exchange.connection.transport.get_write_buffer_size()
            <= 3 * node.memory_budget.chunk_bytes
        )
        assert client_connection.read_deadline.expires_at is None  # The client is not late.
        server.read.set()
        assert (await receive(client))[1] == b"ok"
        assert server.bodies[0] == body

    run_scenario(scenario)


def test_unsent_long_body_is_retried_on_another_server():
    async def scenario():
        bench = await Bench(unreachable := RawServer(), alive := RawServer()).start()
        unreachable.server.close()
        for _ in range(6):
            client = await bench.client()
            client.send(upload(LONG, b"Content-Length: %d" % len(LONG)))
            assert (await receive(client))[1] == b"ok"
        assert alive.bodies == [LONG] * 6

    run_scenario(scenario)


def test_broken_upload_gets_503_and_is_not_retried():
    """Half a body must not be sent to a second server, and the client must not wait for its whole budget."""

    async def scenario():
        bench = await Bench(RawServer(), RawServer()).start()
        for server in bench.servers:
            server.read.clear()
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(upload(LONG, b"Content-Length: %d" % (len(LONG) + 1)))
        await wait_until(lambda: any(s.heads for s in bench.servers))
        (request,) = bench.node.requests.pending.values()
        await wait_until(lambda: request.message.upload.has_discarded_data)
        next(s for s in bench.servers if s.heads).writers[0].transport.abort()
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in head and b"Connection: close" in head
        assert outcomes == [Outcome.CONNECT_FAILED]
        assert sum(len(s.heads) for s in bench.servers) == 1
        assert bench.node.counters.sends == 0

    run_scenario(scenario)


def test_disconnect_during_upload_ends_attempt():
    async def scenario():
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        client.send(upload(LONG, b"Content-Length: %d" % (2 * len(LONG))))
        await wait_until(lambda: bool(server.heads))
        client.writer.transport.abort()
        await wait_until(lambda: server.closed == 1 and not bench.node.requests.pending)
        assert not any(s.in_flight or s.uploads for s in bench.node.balancer.servers.values())

    run_scenario(scenario)


def test_deadline_starts_when_body_is_complete():
    """A client that needs longer for its upload than the request's budget must still get its response."""

    async def scenario():
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        data = upload(LONG, b"Content-Length: %d" % len(LONG)).replace(b"15000", b"600")
        client.send(data[:-1])
        await wait_until(lambda: bool(server.heads))
        (request,) = bench.node.requests.pending.values()
        start_us = bench.node.event_queue.now()
        await wait_until(lambda: bench.node.event_queue.now() > start_us + 800_000)
        assert request.deadline_timer is None
        client.send(data[-1:])
        assert (await receive(client))[1] == b"ok"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "data",
    [
        upload(b"ab", b"Content-Length: 2\r\nTransfer-Encoding: chunked"),
        upload(b"abc", b"Content-Length: 2\r\nContent-Length: 3"),
        upload(b"abc", b"Content-Length: two"),
        upload(b"abc", b"Content-Length: -3"),
        upload(b"zz\r\nabc\r\n0\r\n\r\n", b"Transfer-Encoding: chunked"),
        upload(b"2\r\nabc\r\n0\r\n\r\n", b"Transfer-Encoding: chunked"),
        upload(chunks(LONG, 9000)[:-5] + b"what?\r\n", b"Transfer-Encoding: chunked"),
    ],
)
def test_invalid_framing_gets_400_and_close(data):
    async def scenario():
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        client.send(data)
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 400 ") and b"Connection: close" in head
        assert await client.ended()
        assert not server.bodies
        await wait_until(lambda: not bench.node.requests.pending)

    run_scenario(scenario)
