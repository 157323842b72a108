"""Events that cross on connections to servers, in both orders: what has run, and what is counted."""

import asyncio
import os
import socket
import struct

import pytest
import uvloop
from loopback import (
    MOMENT,
    OK,
    PATIENCE,
    REJECTED,
    Bench,
    Late,
    Server,
    always,
    call,
    play,
    record_outcomes,
    small_listener,
    small_sends,
    until,
)

from balancer.net.upstream.connection import Connection
from balancer.policy.interface import Outcome

LOOPS = pytest.mark.parametrize("run", [uvloop.run, asyncio.run], ids=["uvloop", "asyncio"])


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a server's side with a reset."""
    held = writer.get_extra_info("socket")
    held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def counted_once(bench: Bench) -> bool:
    """Whether the connections that are counted are those that stand idle."""
    idle = [c for e in bench.node.pool.endpoints.values() for c in e.idle]
    return bench.node.descriptor_budget.servers == len(idle) and all(c.is_counted for c in idle)


# ---- has it run? ----------------------------------------------------------------------------------


@LOOPS
@pytest.mark.parametrize("size", [0, 2000, 65536])
@pytest.mark.parametrize("taken", ["nothing", "a part", "all"])
@pytest.mark.parametrize("end", ["reset", "time-out", "given up"])
def test_never_ran_is_said_only_where_the_last_byte_has_not_gone(run, size, taken, end, monkeypatch):
    """The server takes nothing, a part or all of an unsafe request, and in that turn the attempt ends.

    Failure prevented: the last byte is with the system, the loop has not said so yet, and the request is sent
    again as one that never ran.
    """
    small_sends(monkeypatch)

    async def scene():
        listener = small_listener()
        bench = await Bench(whole := Server(), config={"known": None}).start()
        bench.discovery.say(42, True, whole.entry("half", addr=f"127.0.0.1:{listener.getsockname()[1]}"))
        await until(lambda: bench.node.lifecycle.serving)
        outcomes = record_outcomes(bench)
        client = await bench.client()
        data = call("invite", body=b"x" * size)
        client.send(data)
        connection, _ = await asyncio.get_running_loop().sock_accept(listener)
        connection.setblocking(False)
        await until(
            lambda: any(r.exchange and r.exchange.connection for r in bench.node.requests.pending.values())
        )
        (request,) = bench.node.requests.pending.values()
        exchange = request.exchange
        assert exchange is not None
        got = b""
        goal = {"nothing": 0, "a part": size // 2, "all": size + data.index(b"\r\n\r\n")}[taken]
        async with asyncio.timeout(PATIENCE):
            while len(got) < goal or taken == "all" and not whole_request(got, size):
                got += await asyncio.get_running_loop().sock_recv(connection, 65536)
        if end == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
        elif end == "time-out":
            exchange.on_timeout()
        else:
            exchange.abort(Outcome.CANCELLED)
        listener.close()
        await until(lambda: bool(outcomes))
        if outcomes[0] == Outcome.CONNECT_FAILED:
            if end != "reset":
                got += await rest_of(connection)
            assert not whole_request(got, size)
        if taken == "all":
            assert outcomes[0] in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED)
        if size == 65536 and taken != "all" and end != "given up":
            assert outcomes[0] == Outcome.CONNECT_FAILED
        connection.close()

    run(asyncio.wait_for(scene(), 3 * PATIENCE))


def whole_request(got: bytes, size: int) -> bool:
    head, end, body = got.partition(b"\r\n\r\n")
    return bool(end) and len(body) >= size


async def rest_of(connection: socket.socket) -> bytes:
    """What is still on its way on a connection that the node has ended."""
    rest = b""
    try:
        while data := await asyncio.get_running_loop().sock_recv(connection, 65536):
            rest += data
    except ConnectionError:
        pass
    return rest


@pytest.mark.parametrize("how", ["fin", "reset", "half closed", "bytes"])
@pytest.mark.parametrize("order", ["before the look", "after the look"])
def test_a_server_ends_an_idle_connection_as_it_is_used_again(how, order, monkeypatch):
    """Seen before the write it is passed over; after it nobody can know, and nothing is repeated."""

    async def scene():
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        bench = await Bench(lister := Server(), config={"known": None}).start()
        bench.discovery.say(42, True, lister.entry("s", addr=f"127.0.0.1:{listener.getsockname()[1]}"))
        await until(lambda: bench.node.lifecycle.serving)
        heads = 0

        async def serve() -> socket.socket:
            nonlocal heads
            connection, _ = await loop.sock_accept(listener)
            while not (await loop.sock_recv(connection, 65536)).endswith(b"\r\n\r\n"):
                pass
            heads += 1
            await loop.sock_sendall(connection, OK)
            return connection

        serving = asyncio.ensure_future(serve())
        assert (await bench.once(call("invite")))[0] == 200
        connection = await serving
        await until(lambda: counted_once(bench) and bench.node.descriptor_budget.servers == 1)

        def end() -> None:
            if how == "bytes":
                connection.send(OK)
            elif how == "half closed":
                connection.shutdown(socket.SHUT_WR)
            else:
                on = struct.pack("ii", how == "reset", 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, on)
                connection.close()

        look = Connection.has_unread_data

        def looked(connection: Connection) -> bool:
            if order == "before the look":
                end()
            seen = look(connection)
            if order == "after the look":
                end()
            return seen

        monkeypatch.setattr(Connection, "has_unread_data", looked)
        outcomes = record_outcomes(bench)
        serving = asyncio.ensure_future(serve())
        status = (await bench.once(call("invite")))[0]
        if order == "before the look":
            assert (status, outcomes, heads) == (200, [Outcome.OK], 2)
        elif how == "bytes":  # they cannot be told from an answer
            assert (status, outcomes, heads) == (200, [Outcome.OK], 1)
        elif how == "reset":  # the write itself says so, and it goes on at another connection
            assert (status, outcomes, heads) == (200, [Outcome.CONNECT_FAILED, Outcome.OK], 2)
        else:
            assert (status, outcomes, heads) == (502, [Outcome.RESET], 1)
        serving.cancel()

    play(scene)


@pytest.mark.parametrize("end", ["fin", "reset", "nothing"])
def test_a_refusal_with_its_mark_and_the_connection_s_end_come_together(end):
    """It never ran, whatever becomes of the connection: it goes to another server."""

    async def scene():
        async def full(request, writer):
            writer.write(REJECTED)
            if end == "fin":
                writer.write_eof()
            elif end == "reset":
                reset(writer)
            return None

        bench = await Bench(Server(full), Server(full)).start()
        outcomes = record_outcomes(bench)
        await bench.once(call("invite"))
        assert outcomes[:2] == [Outcome.REJECTED, Outcome.REJECTED]
        await until(lambda: counted_once(bench))

    play(scene)


@pytest.mark.parametrize("framing", [b"Content-Length: 2\r\n\r\nok", b"\r\nok"], ids=["length", "end"])
def test_a_whole_answer_and_the_connection_s_end_come_in_one_segment(framing):
    async def scene():
        async def last(request, writer):
            held = writer.get_extra_info("socket")
            with socket.socket(fileno=os.dup(held.fileno())) as raw:
                raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
                raw.send(b"HTTP/1.1 200 OK\r\n" + framing)
                raw.shutdown(socket.SHUT_WR)
            return None

        bench = await Bench(server := Server(last)).start()
        for count in (1, 2):
            status, _, body = await bench.once(call("invite"))
            assert (status, body, server.connections) == (200, b"ok", count)
        await until(lambda: bench.node.descriptor_budget.servers == 0)

    play(scene)


# ---- connections that come up ---------------------------------------------------------------------


class Crossed(Late):
    """A loop on which something happens in the very turn in which a connection has come up."""

    def __init__(self, loop, then):
        super().__init__(loop)
        self.then = then

    async def create_connection(self, *args):
        made = await self.loop.create_connection(*args)
        self.then()
        return made


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.CONNECT_FAILED])
def test_an_attempt_ends_in_the_turn_in_which_its_connection_came_up(outcome):
    async def scene():
        bench = await Bench(server := Server(), policy_limits={"max_attempts": 1}).start()
        requests = bench.node.requests

        def then() -> None:
            (request,) = requests.pending.values()
            if request.exchange is not None:
                request.exchange.abort(outcome)

        bench.node.pool.loop = Crossed(asyncio.get_running_loop(), then)
        asked = asyncio.ensure_future(bench.once(call("invite")))
        await until(lambda: server.connections == 1 and not requests.by_client or asked.done())
        bench.node.pool.loop = asyncio.get_running_loop()
        assert (await bench.once(call("invite")))[0] == 200
        assert len(server.requests) == 1
        await until(lambda: counted_once(bench))
        asked.cancel()

    play(scene)


def test_the_connect_time_out_comes_as_the_connection_is_up():
    """Failure prevented: the transport is forgotten open, and its descriptor is counted no more."""

    async def scene():
        bench = await Bench(server := Server()).start()

        def then() -> None:
            raise TimeoutError

        bench.node.pool.loop = Crossed(asyncio.get_running_loop(), then)
        outcomes = record_outcomes(bench)
        await bench.once(call("invite"))
        assert set(outcomes) == {Outcome.CONNECT_FAILED}
        await until(lambda: server.closed == server.connections == len(outcomes))
        assert bench.node.descriptor_budget.servers == 0 and not server.requests

    play(scene)


def test_an_attempt_is_given_up_before_its_connection_s_task_has_run():
    """Failure prevented: what was counted as it was asked for is never given back."""

    async def scene():
        bench = await Bench(Server(), policy_limits={"max_attempts": 1}).start()
        client = await bench.client()
        await until(lambda: all(c.transport for c in bench.node.client_connections.connections))
        (caller,) = bench.node.client_connections.connections
        data = call()
        bench.node.memory_budget.read_buffer[: len(data)] = data
        caller.buffer_updated(len(data))
        (request,) = bench.node.requests.pending.values()
        assert request.exchange is not None and bench.node.descriptor_budget.servers == 1
        request.exchange.abort(Outcome.TIMEOUT)
        await client.receive()
        await until(lambda: bench.node.descriptor_budget.servers == 0)

    play(scene)


@pytest.mark.parametrize("news", ["restarted", "draining", "gone", "left out", "drained and back"])
@pytest.mark.parametrize("order", ["news first", "up first"])
def test_a_server_changes_while_a_connection_to_it_comes_up(news, order):
    """No byte goes to the process that was, unless it was written before the news."""

    async def scene():
        bench = await Bench(server := Server(), other := Server(), discovery="push").start()
        bench.discovery.say(42, True, server.entry("s0"))
        await until(lambda: len(bench.discovery.requests) == 2)
        bench.node.pool.loop = late = Late(asyncio.get_running_loop())
        asked = asyncio.ensure_future(bench.once(call("invite")))
        await late.asked.wait()
        if order == "up first":
            late.up.set()
            await until(lambda: len(server.requests) == 1)
        lines = [other.entry("s1")]
        if news == "restarted":
            lines.append(server.entry("s0", started_ms=1))
        elif news in ("draining", "gone"):
            lines.append(server.entry("s0", news))
        elif news == "drained and back":
            bench.discovery.say(43, False, server.entry("s0", "draining"))
            lines.append(server.entry("s0"))
        bench.discovery.say(44, news == "left out", *lines)
        await until(lambda: bench.node.discovery.version == 44)
        late.up.set()
        assert (await asked)[0] == 200
        if order == "news first" and news in ("draining", "gone", "left out"):
            assert not server.requests and len(other.requests) == 1
        if order == "news first" and news == "restarted" and server.requests:
            assert server.connections == 2  # the one to the old process carried nothing
        assert len(server.requests) + len(other.requests) == 1
        await until(lambda: counted_once(bench))

    play(scene)


def test_a_server_goes_as_a_retry_to_it_is_chosen():
    """The news comes within the event that chooses: the retry is told as never sent, and goes elsewhere."""

    async def scene():
        servers = [Server(always(REJECTED)), Server(always(REJECTED)), Server()]
        bench = await Bench(*servers, policy_limits={"max_attempts": 6, "connect_timeout": MOMENT}).start()
        node = bench.node
        send = node.balancer.actions.send

        def gone_first(request, server, timeout):
            if node.requests.pending[request].attempts == 1:
                node.pool.endpoints[server].retire()
            send(request, server, timeout)

        node.send = gone_first
        outcomes = record_outcomes(bench)
        await bench.once(call("invite"))
        assert Outcome.RESET not in outcomes
        if len(outcomes) > 1:
            assert outcomes[1] == Outcome.NOT_SENT

    play(scene)


# ---- what never ends -------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("before", "again"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Load-Report: ", b"x" * 4096),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 512),
        (b"", b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" * 128),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: ", b"x" * 4096),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", b"x" * 4096),
    ],
    ids=["line", "lines", "interim", "trailer", "extension"],
)
def test_an_answer_that_never_ends_fails_before_it_fills_the_memory(before, again):
    """Failure prevented: the parser keeps a line until it ends, and the process is killed for its memory."""

    async def scene():
        sent = 0

        async def endless(request, writer):
            nonlocal sent
            writer.write(before)
            while not writer.transport.is_closing():
                writer.write(again)
                sent += len(again)
                await writer.drain()
            return None

        bench = await Bench(Server(endless), policy_limits={"max_attempts": 1}).start()
        outcomes = record_outcomes(bench)
        assert (await bench.once(call("invite")))[0] == 502
        assert outcomes == [Outcome.RESET]
        await until(lambda: bench.node.descriptor_budget.servers == 0)
        assert bench.node.memory_budget.held_bytes == 0 and not bench.node.requests.pending

    play(scene)


@pytest.mark.parametrize(
    "data",
    [
        call().partition(b"X-Call-Id")[0] + b"X-Call-Id: " + b"x" * (1 << 20),
        call("offer").partition(b"Content-Length")[0]
        + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: "
        + b"x" * (1 << 20),
        call("offer").partition(b"Content-Length")[0]
        + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        + b"2;x="
        + b"x" * (1 << 20),
    ],
    ids=["head", "trailer", "extension"],
)
def test_a_request_that_never_ends_is_refused_and_reaches_no_server(data):
    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        client.send(data)
        status, headers, _ = await client.receive()
        assert status == 431 and headers["connection"] == "close"
        client.writer.close()
        await until(lambda: not bench.node.client_connections.connections)
        assert not server.requests and bench.node.memory_budget.held_bytes == 0

    play(scene)
