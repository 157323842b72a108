"""Long responses pass through the node in any framing, at the pace of their client."""

import asyncio

import pytest
from loopback import OK, Bench, Server, always, call, play, record_outcomes, until
from streaming_support import HEAD, LONG, RawServer, chunks, receive, upload

from balancer.net.upstream import exchange as node_exchange
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.policy.interface import Outcome


@pytest.mark.parametrize(
    ("answer", "close"),
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
def test_an_answer_in_any_form_reaches_the_client_unchanged(answer, close):
    async def scene():
        bench = await Bench(RawServer(answer, close)).start()
        client = await bench.client()
        expected = LONG if LONG in answer else None
        for _ in range(3):
            client.send(call(extra=b"Connection: keep-alive\r\n"))
            head, body = await receive(client)
            assert head.startswith(b"HTTP/1.1 200 ") and (expected is None or body == expected)
            assert body and b"chunked" not in body
        assert bench.node.memory_budget.held_bytes == 0 and not bench.node.requests.pending
        assert bench.node.counters.finished[0] == {"answered": 3, "deferred": 0, "errored": 0}

    play(scene)


def test_a_client_that_knows_no_chunks_gets_a_long_answer_to_the_connection_s_end():
    async def scene():
        answer = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 5000)
        bench = await Bench(RawServer(answer)).start()
        client = await bench.client()
        client.send(call().replace(b"HTTP/1.1", b"HTTP/1.0"))
        head, body = await receive(client)
        assert b"chunked" not in head and body == LONG

    play(scene)


def test_a_client_that_does_not_read_stops_its_server_and_nobody_else():
    """Failure prevented: the rest of a long answer piles up in the process while its client is slow."""

    async def scene():
        total = 24 * len(LONG)

        async def flood(request, writer):
            if request.target.startswith("/invite"):
                return OK
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % total)
            for _ in range(24):
                writer.write(LONG)
                await writer.drain()
            return None

        bench = await Bench(Server(flood)).start()
        node = bench.node
        slow = await bench.client()
        slow.writer.transport.pause_reading()
        slow.send(call())
        await until(lambda: any(r.stream for r in node.requests.pending.values()))
        (request,) = node.requests.pending.values()
        await until(lambda: request.exchange.connection.reading_paused)
        (client_connection,) = (c for c in node.client_connections.connections if c.current is not None)
        assert client_connection.transport.get_write_buffer_size() <= 3 * node.memory_budget.chunk_bytes
        assert (await bench.once(call("invite")))[0] == 200
        slow.writer.transport.resume_reading()
        async with asyncio.timeout(60):
            await slow.reader.readuntil(b"\r\n\r\n")
            assert len(await slow.reader.readexactly(total)) == total

    play(scene)


def test_an_answer_that_flows_outlives_the_request_s_time(monkeypatch):
    """Failure prevented: a time-out, the cut or the guard ends an answer that is on its way."""

    async def scene():
        release = asyncio.Event()

        async def halves(request, writer):
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:100])
            await release.wait()
            return LONG[100:]

        bench = await Bench(Server(halves)).start()
        client = await bench.client()
        client.send(call(budget=300))
        await until(lambda: any(r.stream for r in bench.node.requests.pending.values()))
        (request,) = bench.node.requests.pending.values()
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert await client.reader.readexactly(100) == LONG[:100]  # not held back for the rest
        await until(lambda: bench.node.event_queue.now() > request.deadline + 100_000)
        release.set()
        assert head and await client.reader.readexactly(len(LONG) - 100) == LONG[100:]
        await until(lambda: not bench.node.requests.pending)
        assert bench.node.requests.guarded == 0

    play(scene)


@pytest.mark.parametrize("framing", [b"Content-Length: %d" % len(LONG), b"Transfer-Encoding: chunked"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_an_answer_that_breaks_off_is_seen_as_broken(framing, version):
    """Failure prevented: a client takes half an answer for the whole."""

    async def scene():
        half = HEAD + framing + b"\r\n\r\n" + (chunks(LONG, 9000) if b"chunked" in framing else LONG)
        bench = await Bench(RawServer(half[: len(LONG) // 2], close=True)).start()
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(call().replace(b"HTTP/1.1", b"HTTP/" + version))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError, ValueError)):
            await receive(client)
        assert outcomes == [Outcome.RESET]
        assert bench.node.counters.finished[0]["errored"] == 1
        await until(lambda: not bench.node.requests.pending)

    play(scene)


def test_a_server_that_falls_silent_under_way_is_given_up(monkeypatch):
    monkeypatch.setattr(node_exchange, "SERVER_SILENCE_S", 0.0)

    async def scene():
        silent = HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:100]
        bench = await Bench(Server(always(silent))).start()
        client = await bench.client()
        client.send(call())
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await receive(client)

    play(scene)


def test_a_client_that_leaves_under_way_ends_its_attempt():
    async def scene():
        half = HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG[:100]
        bench = await Bench(server := Server(always(half))).start()
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(call())
        await client.reader.readuntil(b"\r\n\r\n")
        client.writer.close()
        await until(lambda: server.closed == 1 and not bench.node.requests.pending)
        assert outcomes == [Outcome.CANCELLED]
        assert not any(s.in_flight for s in bench.node.balancer.servers.values())
        assert not bench.node.balancer.streaming

    play(scene)


def test_a_long_answer_that_is_no_success_fails_the_attempt():
    async def scene():
        large = b"HTTP/1.1 500 Oops\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG
        bench = await Bench(Server(always(large))).start()
        assert (await bench.once(call("invite")))[0] == 502

    play(scene)


def test_an_answer_that_says_it_is_longer_than_any_fails_before_a_byte_is_passed_on():
    """Failure prevented: a spoilt length makes a client take a part for an answer, where another attempt
    would have served it."""

    async def scene():
        spoilt = HEAD + b"Content-Length: 3000000000\r\n\r\n" + LONG[:10000]
        bench = await Bench(Server(always(spoilt, OK))).start()
        outcomes = record_outcomes(bench)
        assert (await bench.once(call()))[2] == b"ok"
        assert outcomes == [Outcome.ERROR, Outcome.OK]

    play(scene)


def test_what_grows_longer_than_any_is_cut(monkeypatch):
    """Failure prevented: chunks without end keep a server, a client and their connections for good."""
    for module in ("downstream.request_parser", "upstream.connection"):
        monkeypatch.setattr(f"balancer.net.{module}.MAX_BODY_BYTES", 200_000)

    async def scene():
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
        await until(lambda: not bench.node.requests.pending)
        assert len(server.bodies) == 1  # the first request's, which had none

    play(scene)


def test_an_answer_for_which_there_is_no_room_flows_instead():
    async def scene():
        body = LONG[:30000]
        answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
        bench = await Bench(server := Server(always(answer[:20000]))).start()
        bench.node.memory_budget.max_held_bytes = 10000
        client = await bench.client()
        client.send(call())
        await until(lambda: any(r.stream for r in bench.node.requests.pending.values()))
        server.writers[0].write(answer[20000:])
        assert (await receive(client))[1] == body

    play(scene)
