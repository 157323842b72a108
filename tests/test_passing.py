"""Long answers and bodies on loopback sockets: passed on unchanged, with bounded memory, in every form."""

import asyncio
import socket

import pytest
from loopback import OK, Bench, Client, Clock, Server, always, call, gated, play, record_outcomes, until

from balancer.net.downstream.client_connection import LINGER_S
from balancer.net.downstream.client_eviction import eviction_priority
from balancer.net.downstream.read_deadline import HEAD_TIMEOUT_S
from balancer.net.process.memory_budget import MAX_CHUNK_BYTES, MIN_CHUNK_BYTES, MIN_HELD_BYTES, MemoryBudget
from balancer.net.upstream import exchange as node_exchange
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.policy.interface import Outcome

LONG = bytes(range(256)) * 4096  # 1 MiB
FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"


def chunks(data: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    return b"".join(b"%x%b\r\n%b\r\n" % (len(p), extension, p) for p in parts) + b"0\r\n" + trailer + b"\r\n"


class Raw(Server):
    """A server that takes each whole request, in whichever framing, and gives the bytes of `answer`."""

    def __init__(self, answer: bytes = OK, close: bool = False) -> None:
        super().__init__()
        self.answer = answer
        self.close = close
        self.bodies: list[bytes] = []
        self.heads: list[bytes] = []
        self.read = asyncio.Event()
        self.read.set()  # bodies are read at once

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                await self.read.wait()
                self.bodies.append(await body_of(head, reader))
                writer.write(self.answer)
                await writer.drain()
                if self.close:
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()


async def body_of(head: bytes, reader: asyncio.StreamReader) -> bytes:
    lines = [line.lower() for line in head.split(b"\r\n")]
    if b"transfer-encoding: chunked" in lines:
        whole = b""
        while size := int((await reader.readline()).partition(b";")[0], 16):
            whole += (await reader.readexactly(size + 2))[:-2]
        while (await reader.readline()) != b"\r\n":
            pass
        return whole
    lengths = [line[16:] for line in lines if line.startswith(b"content-length: ")]
    return await reader.readexactly(int(lengths[0])) if lengths else b""


async def receive(client: Client) -> tuple[bytes, bytes]:
    """An answer's head and its body, in whichever framing."""
    async with asyncio.timeout(20):
        head = await client.reader.readuntil(b"\r\n\r\n")
        if b"content-length" in head.lower() or b"chunked" in head.lower():
            return head, await body_of(head, client.reader)
        return head, await client.reader.read()


def upload(body: bytes, framing: bytes, extra: bytes = b"") -> bytes:
    """A keyed request with a body in the framing given."""
    head = call("offer").partition(b"Content-Length")[0]
    return head + extra + framing + b"\r\n\r\n" + body


# ---- answers -----------------------------------------------------------------------------------------


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
        bench = await Bench(Raw(answer, close)).start()
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
        bench = await Bench(Raw(answer)).start()
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
        (caller,) = (c for c in node.client_connections.connections if c.current is not None)
        assert caller.transport.get_write_buffer_size() <= 3 * node.memory_budget.chunk_bytes
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
        bench = await Bench(Raw(half[: len(LONG) // 2], close=True)).start()
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
        bench = await Bench(server := Raw(endless)).start()
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


# ---- bodies ------------------------------------------------------------------------------------------


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
        bench = await Bench(server := Raw()).start()
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
        bench = await Bench(first := Raw(FULL), second := Raw(FULL)).start()
        client = await bench.client()
        client.send(upload(chunks(b"x" * 3000, 7), b"Transfer-Encoding: chunked"))
        assert (await receive(client))[0].startswith(b"HTTP/1.1 503 ")
        assert (first.bodies + second.bodies) == [b"x" * 3000] * 3  # it could be tried again

    play(scene)


def test_a_server_that_does_not_read_stops_its_client():
    """Failure prevented: a body piles up in the process while its server is slow."""

    async def scene():
        body = LONG * 32
        bench = await Bench(server := Raw()).start()
        server.read.clear()
        node = bench.node
        client = await bench.client()
        client.send(upload(body, b"Content-Length: %d" % len(body)))
        await until(lambda: bool(server.heads))
        (caller,) = node.client_connections.connections
        (request,) = node.requests.pending.values()
        await until(lambda: caller.reading_paused and request.exchange.connection.is_write_blocked())
        assert (
            request.exchange.connection.transport.get_write_buffer_size()
            <= 3 * node.memory_budget.chunk_bytes
        )
        assert caller.read_deadline.expires_at is None  # it is not the client that is late
        server.read.set()
        assert (await receive(client))[1] == b"ok"
        assert server.bodies[0] == body

    play(scene)


def test_a_body_that_has_gone_nowhere_yet_can_go_to_another_server():
    async def scene():
        bench = await Bench(dead := Raw(), alive := Raw()).start()
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
        bench = await Bench(Raw(), Raw()).start()
        for server in bench.servers:
            server.read.clear()
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(upload(LONG, b"Content-Length: %d" % (len(LONG) + 1)))
        await until(lambda: any(s.heads for s in bench.servers))
        (request,) = bench.node.requests.pending.values()
        await until(lambda: request.message.upload.is_discarded)
        next(s for s in bench.servers if s.heads).writers[0].transport.abort()
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in head and b"Connection: close" in head
        assert outcomes == [Outcome.CONNECT_FAILED]
        assert sum(len(s.heads) for s in bench.servers) == 1
        assert bench.node.counters.sends == 0

    play(scene)


def test_a_client_that_leaves_while_it_writes_ends_its_attempt():
    async def scene():
        bench = await Bench(server := Raw()).start()
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
        bench = await Bench(server := Raw()).start()
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
        bench = await Bench(server := Raw()).start()
        client = await bench.client()
        client.send(data)
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 400 ") and b"Connection: close" in head
        assert await client.ended()
        assert not server.bodies
        await until(lambda: not bench.node.requests.pending)

    play(scene)


# ---- the client's time -------------------------------------------------------------------------------


def test_a_client_that_waits_for_the_word_gets_it_when_there_is_a_server():
    async def scene():
        bench = await Bench(server := Raw()).start()
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
        head, _ = await receive(client)  # the answer, and no word before it
        assert head.startswith(b"HTTP/1.1 404 ")

    play(scene)


def test_the_word_does_not_come_before_an_earlier_answer():
    async def scene():
        release = asyncio.Event()

        bench = await Bench(server := Server(gated(release))).start()
        client = await bench.client()
        head, _, rest = upload(b"x", b"Content-Length: 1", b"Expect: 100-continue\r\n").partition(b"\r\n\r\n")
        client.send(call() + head + b"\r\n\r\n")
        await until(lambda: len(server.requests) == 1)
        release.set()
        assert (await client.receive())[2] == b"ok"
        assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        client.send(rest)
        assert (await client.receive())[2] == b"ok"

    play(scene)


def test_a_body_must_get_on_and_one_that_does_is_kept(monkeypatch):
    """Failure prevented: a slow client is cut off though it writes, or a silent one holds a server."""

    async def scene():
        bench = await Bench(server := Raw()).start()
        callers = bench.node.client_connections
        client = await bench.client()
        data = upload(LONG, b"Content-Length: %d" % (2 * len(LONG)))
        client.send(data)
        await until(lambda: bool(callers.connections) and bool(server.heads))
        (caller,) = callers.connections
        (request,) = bench.node.requests.pending.values()
        await until(
            lambda: (
                caller.read_deadline.expires_at is not None
                and not caller.unparsed
                and not caller.reading_paused
            )
        )
        caller.read_deadline.body_bytes, now = len(LONG), bench.node.loop.time()
        monkeypatch.setattr(callers, "loop", Clock(bench.node.loop, now + HEAD_TIMEOUT_S + 1))
        callers.sweep()
        assert not caller.reading_stopped and caller.read_deadline.body_bytes == 0
        monkeypatch.setattr(callers, "loop", Clock(bench.node.loop, now + 2 * HEAD_TIMEOUT_S + 2))
        callers.sweep()
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 408 ") and await client.ended()
        await until(lambda: server.closed == 1 and not bench.node.requests.pending)
        assert request.client is None and not server.bodies

    play(scene)


def test_a_client_that_reads_its_last_answer_slowly_gets_all_of_it(monkeypatch):
    """Failure prevented: the connection is ended while a part of the answer is still in the process."""
    monkeypatch.setattr("balancer.net.downstream.client_connection.LINGER_S", 0.0)

    async def scene():
        body = LONG * 16
        answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
        bench = await Bench(Raw(answer)).start()
        client = await bench.client()
        client.writer.transport.pause_reading()
        client.send(call(extra=b"Connection: close\r\n"))
        await until(lambda: any(r.stream for r in bench.node.requests.pending.values()))
        (caller,) = bench.node.client_connections.connections
        await until(lambda: caller.write_blocked)
        client.writer.transport.resume_reading()
        assert (await receive(client))[1] == body

    play(scene)


def test_a_cut_connection_without_an_end_of_its_own_is_reset():
    """Failure prevented: to a client that knows no chunks the end of a broken answer looks whole."""

    async def scene():
        half = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 9000)[: len(LONG) // 2]
        bench = await Bench(Raw(half, close=True)).start()
        with socket.create_connection(("127.0.0.1", bench.port)) as plain:
            plain.setblocking(False)
            plain.send(call().replace(b"HTTP/1.1", b"HTTP/1.0"))
            loop = asyncio.get_running_loop()
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(20):
                    while await loop.sock_recv(plain, 65536):
                        pass

    play(scene)


def test_a_client_that_is_refused_while_it_writes_may_finish_writing(monkeypatch):
    """Failure prevented: it is cut off before it has looked for an answer."""

    async def scene():
        bench = await Bench().start()  # no servers: every request is refused
        callers = bench.node.client_connections
        client = await bench.client()
        data = upload(LONG, b"Content-Length: %d" % len(LONG))
        client.send(data[:100_000])
        await until(lambda: any(c.finished_at for c in callers.connections))
        (caller,) = callers.connections
        monkeypatch.setattr(callers, "loop", Clock(bench.node.loop, caller.last_active_at + 0.9 * LINGER_S))
        caller.linger(caller.finished_at, 0)
        assert not caller.transport.is_closing()
        head, _ = await receive(client)
        assert head.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in head
        assert eviction_priority(caller, callers.loop.time()) == (0, caller.finished_at)  # it gives way first
        monkeypatch.setattr(callers, "loop", Clock(bench.node.loop, caller.last_active_at + 1.1 * LINGER_S))
        caller.linger(caller.finished_at, 0)
        assert caller.transport.is_closing()

    play(scene)


# ---- room --------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("memory", "sockets"), [(16, 64), (32, 256), (80, 384), (192, 1024)])
def test_what_may_be_held_follows_from_the_limits(memory, sockets):
    memory_budget = MemoryBudget(memory << 20, sockets)
    assert MIN_HELD_BYTES <= memory_budget.max_held_bytes <= max(MIN_HELD_BYTES, memory << 18)
    assert MIN_CHUNK_BYTES <= memory_budget.chunk_bytes <= MAX_CHUNK_BYTES
    assert memory_budget.chunk_bytes * sockets <= max(memory_budget.max_held_bytes, MIN_CHUNK_BYTES * sockets)
