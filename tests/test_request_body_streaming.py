"""Long request bodies pass through the node in any framing, at the pace of their server."""

import pytest
from loopback import REJECTED, Bench, call, play, record_outcomes, until
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
def test_a_long_body_reaches_its_server_whole_and_the_next_request_follows(request_bytes):
    async def scene():
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        client.send(request_bytes + call("offer", body=b"next") + request_bytes)
        for _ in range(3):
            assert (await receive(client))[1] == b"ok"
        assert server.bodies == [LONG, b"next", LONG]
        assert all(b"other" not in head for head in server.heads)  # a trailer ends at this hop
        assert bench.node.memory_budget.held_bytes == 0 and bench.node.counters.sends == 3
        assert not any(s.in_flight or s.uploads for s in bench.node.balancer.servers.values())

    play(scene)


def test_a_short_body_in_chunks_is_taken_whole():
    async def scene():
        bench = await Bench(first := RawServer(REJECTED), second := RawServer(REJECTED)).start()
        client = await bench.client()
        client.send(upload(chunks(b"x" * 3000, 7), b"Transfer-Encoding: chunked"))
        assert (await receive(client))[0].startswith(b"HTTP/1.1 503 ")
        assert (first.bodies + second.bodies) == [b"x" * 3000] * 3  # it could be tried again

    play(scene)


def test_a_server_that_does_not_read_stops_its_client():
    """Failure prevented: a body piles up in the process while its server is slow."""

    async def scene():
        body = LONG * 32
        bench = await Bench(server := RawServer()).start()
        server.read.clear()
        node = bench.node
        client = await bench.client()
        client.send(upload(body, b"Content-Length: %d" % len(body)))
        await until(lambda: bool(server.heads))
        (client_connection,) = node.client_connections.connections
        (request,) = node.requests.pending.values()
        await until(
            lambda: client_connection.reading_paused and request.exchange.connection.is_write_blocked()
        )
        assert (
            request.exchange.connection.transport.get_write_buffer_size()
            <= 3 * node.memory_budget.chunk_bytes
        )
        assert client_connection.read_deadline.expires_at is None  # it is not the client that is late
        server.read.set()
        assert (await receive(client))[1] == b"ok"
        assert server.bodies[0] == body

    play(scene)


def test_a_body_that_has_gone_nowhere_yet_can_go_to_another_server():
    async def scene():
        bench = await Bench(dead := RawServer(), alive := RawServer()).start()
        dead.server.close()
        for _ in range(6):
            client = await bench.client()
            client.send(upload(LONG, b"Content-Length: %d" % len(LONG)))
            assert (await receive(client))[1] == b"ok"
        assert alive.bodies == [LONG] * 6

    play(scene)


def test_an_upload_that_breaks_is_refused_with_advice_and_goes_nowhere_else():
    """Failure prevented: half a body is sent to a second server, or the client waits for its whole time."""

    async def scene():
        bench = await Bench(RawServer(), RawServer()).start()
        for server in bench.servers:
            server.read.clear()
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(upload(LONG, b"Content-Length: %d" % (len(LONG) + 1)))
        await until(lambda: any(s.heads for s in bench.servers))
        (request,) = bench.node.requests.pending.values()
        await until(lambda: request.message.upload.has_discarded_data)
        next(s for s in bench.servers if s.heads).writers[0].transport.abort()
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in head and b"Connection: close" in head
        assert outcomes == [Outcome.CONNECT_FAILED]
        assert sum(len(s.heads) for s in bench.servers) == 1
        assert bench.node.counters.sends == 0

    play(scene)


def test_a_client_that_leaves_while_it_writes_ends_its_attempt():
    async def scene():
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        client.send(upload(LONG, b"Content-Length: %d" % (2 * len(LONG))))
        await until(lambda: bool(server.heads))
        client.writer.transport.abort()
        await until(lambda: server.closed == 1 and not bench.node.requests.pending)
        assert not any(s.in_flight or s.uploads for s in bench.node.balancer.servers.values())

    play(scene)


def test_the_time_of_a_request_begins_when_its_body_has_come():
    """Failure prevented: a client that needs longer to write than its request may take gets no answer."""

    async def scene():
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        data = upload(LONG, b"Content-Length: %d" % len(LONG)).replace(b"15000", b"600")
        client.send(data[:-1])
        await until(lambda: bool(server.heads))
        (request,) = bench.node.requests.pending.values()
        began = bench.node.event_queue.now()
        await until(lambda: bench.node.event_queue.now() > began + 800_000)
        assert request.guard is None
        client.send(data[-1:])
        assert (await receive(client))[1] == b"ok"

    play(scene)


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
def test_bad_framing_gets_400_and_a_close_and_reaches_no_server_whole(data):
    async def scene():
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        client.send(data)
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 400 ") and b"Connection: close" in head
        assert await client.ended()
        assert not server.bodies
        await until(lambda: not bench.node.requests.pending)

    play(scene)
