"""The operators' terms on answers: whatever was read gets one, and one that has begun its end or a cut."""

import asyncio
import socket

import pytest
from loopback import Bench, Server, always, call, play, until

from balancer.net.downstream import requests
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.net.upstream.exchange import SERVER_STALL_TIMEOUT_S

GUARD_OUT_OF_REACH_US = 5_000_000  # far beyond what a busy machine is late by, within the test's patience
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (MAX_BUFFERED_BYTES, bytes(MAX_BUFFERED_BYTES))


def test_a_crowd_cuts_short_no_last_answer_that_its_client_still_reads():
    """Failure prevented: room is made by ending connections in their order, and this one seems to be over."""

    async def scene():
        bench = await Bench(Server(always(ANSWER))).start()
        callers = bench.node.client_connections
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", bench.port))
        client.setblocking(False)
        await until(lambda: any(c.transport for c in callers.connections))
        (caller,) = callers.connections
        held = caller.transport.get_extra_info("socket")
        held.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(call(extra=b"Connection: close\r\n"))
        await until(lambda: bool(caller.finished_at))
        assert caller.has_unsent_data()
        assert not callers.evict_one()
        data = b""
        while more := await asyncio.get_running_loop().sock_recv(client, 1 << 20):
            data += more
        assert data.partition(b"\r\n\r\n")[2] == bytes(MAX_BUFFERED_BYTES)
        client.close()

    play(scene)


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 400000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n"]
)
def test_a_body_that_stops_while_its_answer_flows_ends_the_connection(framing):
    """Failure prevented: the attempt is given up, and the answer that has begun is neither ended nor cut."""

    async def scene():
        piece = bytes(2 * MAX_BUFFERED_BYTES)
        if b"chunked" in framing:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)

        async def early(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + piece)
            while await reader.read(65536):
                pass

        server = await asyncio.start_server(early, "127.0.0.1", 0)
        bench = await Bench(other := Server(), config={"known": None}).start()
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        bench.discovery.say(42, True, other.entry("early", addr=address))
        await until(lambda: bench.node.lifecycle.serving)
        client = await bench.client()
        client.send(call("offer", body=bytes(4 * MAX_BUFFERED_BYTES))[: -2 * MAX_BUFFERED_BYTES])
        requests = bench.node.requests
        await until(lambda: any(r.stream is not None for r in requests.pending.values()))
        (caller,) = bench.node.client_connections.connections
        caller.read_deadline.expires_at = 0.0
        caller.read_deadline.body_expires_at = 0.0
        caller.read_deadline.body_bytes = 0
        bench.node.client_connections.sweep()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await client.receive()
            await client.reader.readexactly(4 * MAX_BUFFERED_BYTES)
        await until(lambda: not requests.pending and not bench.node.client_connections.connections)
        client.writer.close()

    play(scene)


LONG_RESPONSE = bytes(4 * MAX_BUFFERED_BYTES)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_RESPONSE)
PAST_DEADLINE_US = 600_000  # more than the half second in which an answer that is late is only worth nothing


@pytest.mark.parametrize("klass", ["view", "invite", "offer"])
def test_a_long_response_goes_on_though_its_server_pauses_past_the_deadline(klass):
    """Failure prevented: a server that gives a long response slowly is taken for one that hangs."""

    async def scene():
        resume = asyncio.Event()

        async def pause(request, writer):
            writer.write(HEAD + LONG_RESPONSE[: 2 * MAX_BUFFERED_BYTES])
            await resume.wait()
            return LONG_RESPONSE[2 * MAX_BUFFERED_BYTES :]

        bench = await Bench(Server(pause)).start()
        client = await bench.client()
        client.send(call(klass, budget=200))
        requests = bench.node.requests
        await until(lambda: any(r.stream is not None for r in requests.pending.values()))
        (request,) = requests.pending.values()
        await until(lambda: bench.node.event_queue.now() > request.deadline + PAST_DEADLINE_US)
        assert request.client is not None and list(requests.pending.values()) == [request]
        resume.set()
        status, _, body = await client.receive()
        assert status == 200 and body == LONG_RESPONSE
        client.writer.close()

    play(scene)


@pytest.mark.parametrize("klass", ["view", "invite", "offer"])
def test_a_server_that_is_silent_in_a_long_response_frees_no_request_of_its_end(klass):
    async def scene():
        async def hang(request, writer):
            writer.write(HEAD + LONG_RESPONSE[: 2 * MAX_BUFFERED_BYTES])

        bench = await Bench(Server(hang)).start()
        client = await bench.client()
        client.send(call(klass))
        requests = bench.node.requests
        await until(lambda: any(r.stream is not None for r in requests.pending.values()))
        (request,) = requests.pending.values()
        exchange = request.exchange
        assert exchange is not None and exchange.connection is not None and exchange.timer is not None
        assert exchange.timer.when() <= bench.node.loop.time() + SERVER_STALL_TIMEOUT_S
        exchange.connection.last_progress_at -= SERVER_STALL_TIMEOUT_S  # as if it had been silent for so long
        exchange.check_progress(exchange.connection)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await client.receive()
        await until(lambda: not requests.pending and not bench.node.client_connections.connections)
        client.writer.close()

    play(scene)


@pytest.mark.parametrize("klass", ["view", "invite", "offer"])
@pytest.mark.parametrize("budget", [0, 1, 5, 20])
def test_a_request_with_very_little_time_gets_its_answer_where_servers_say_nothing(
    budget, klass, monkeypatch
):
    """Servers may drop it without a word; what it is told is never more than its time.

    The guard acts only where the policy has left a request open, however late the machine is.
    """
    monkeypatch.setattr(requests, "GUARD_DELAY_US", GUARD_OUT_OF_REACH_US)

    async def scene():
        bench = await Bench(*(servers := [Server(always(None)), Server(always(None))])).start()
        client = await bench.client()
        status, _, _ = await client.ask(call(klass, budget=budget))
        assert status in (502, 503, 504)
        told = [int(r.headers["x-budget-ms"]) for server in servers for r in server.requests]
        assert all(t <= budget for t in told) and (budget > 0 or not told)
        assert bench.node.requests.guarded == 0
        client.writer.close()
        await until(lambda: not bench.node.client_connections.connections)

    play(scene)
