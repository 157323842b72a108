"""Races on connections to servers, in both orders: which requests may have run, and the accounting."""

import asyncio
import os
import socket
import struct

import pytest
import uvloop
from loopback import (
    OK,
    REJECTED,
    SECOND_US,
    TIMEOUT_S,
    Bench,
    DelayedConnectLoop,
    Server,
    call,
    limit_send_buffers,
    record_outcomes,
    respond_with,
    run_scenario,
    small_buffer_listener,
    wait_until,
)

from balancer.net.upstream.connection import Connection
from balancer.policy.interface import Outcome

LOOPS = pytest.mark.parametrize("run", [uvloop.run, asyncio.run], ids=["uvloop", "asyncio"])


def reset(writer: asyncio.StreamWriter) -> None:
    """Close the server's side of a connection with a reset."""
    server_socket = writer.get_extra_info("socket")
    server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def only_idle_connections_counted(bench: Bench) -> bool:
    """Return whether exactly the idle connections are counted in the descriptor budget."""
    idle = [c for e in bench.node.pool.endpoints.values() for c in e.idle]
    return bench.node.descriptor_budget.servers == len(idle) and all(c.is_counted for c in idle)


# ---- Whether a request may have run --------------------------------------------------------------


@LOOPS
@pytest.mark.parametrize("size", [0, 2000, 65536])
@pytest.mark.parametrize("received", ["nothing", "part", "all"])
@pytest.mark.parametrize("end", ["reset", "timeout", "abort"])
def test_attempt_counts_as_not_run_only_before_its_last_byte(run, size, received, end, monkeypatch):
    """The attempt ends after the server has received nothing, a part or all of an unsafe request.

    Once the kernel has the last byte, the request may have run, even if the event loop has not reported the
    write yet; sending it again could run it twice.
    """
    limit_send_buffers(monkeypatch)

    async def scenario():
        listener = small_buffer_listener()
        bench = await Bench(lister := Server(), config={"known": None}).start()
        bench.discovery.send_list(
            42, True, lister.entry("half", addr=f"127.0.0.1:{listener.getsockname()[1]}")
        )
        await wait_until(lambda: bench.node.lifecycle.is_serving)
        outcomes = record_outcomes(bench)
        client = await bench.client()
        data = call("invite", body=b"x" * size)
        client.send(data)
        connection, _ = await asyncio.get_running_loop().sock_accept(listener)
        connection.setblocking(False)
        await wait_until(
            lambda: any(r.exchange and r.exchange.connection for r in bench.node.requests.pending.values())
        )
        (request,) = bench.node.requests.pending.values()
        exchange = request.exchange
        assert exchange is not None
        received_data = b""
        goal = {"nothing": 0, "part": size // 2, "all": size + data.index(b"\r\n\r\n")}[received]
        async with asyncio.timeout(TIMEOUT_S):
            while (
                len(received_data) < goal
                or received == "all"
                and not is_complete_request(received_data, size)
            ):
                received_data += await asyncio.get_running_loop().sock_recv(connection, 65536)
        if end == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
        elif end == "timeout":
            exchange.on_timeout()
        else:
            exchange.abort(Outcome.CANCELLED)
        listener.close()
        await wait_until(lambda: bool(outcomes))
        if outcomes[0] == Outcome.CONNECT_FAILED:
            if end != "reset":
                received_data += await read_rest(connection)
            assert not is_complete_request(received_data, size)
        if received == "all":
            assert outcomes[0] in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED)
        if size == 65536 and received != "all" and end != "abort":
            assert outcomes[0] == Outcome.CONNECT_FAILED
        connection.close()

    run(asyncio.wait_for(scenario(), 3 * TIMEOUT_S))


def is_complete_request(data: bytes, size: int) -> bool:
    head, end, body = data.partition(b"\r\n\r\n")
    return bool(end) and len(body) >= size


async def read_rest(connection: socket.socket) -> bytes:
    """Read the remaining data of a connection that the node has closed."""
    rest = b""
    try:
        while data := await asyncio.get_running_loop().sock_recv(connection, 65536):
            rest += data
    except ConnectionError:
        pass
    return rest


@pytest.mark.parametrize("ending", ["fin", "reset", "half closed", "data"])
@pytest.mark.parametrize("order", ["before check", "after check"])
def test_server_closing_idle_connection_during_reuse(ending, order, monkeypatch):
    """A connection that has ended before the check is skipped; after it, the request may have run.

    A request that may have run is not repeated, unless a reset makes the write itself fail.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        bench = await Bench(lister := Server(), config={"known": None}).start()
        bench.discovery.send_list(42, True, lister.entry("s", addr=f"127.0.0.1:{listener.getsockname()[1]}"))
        await wait_until(lambda: bench.node.lifecycle.is_serving)
        request_count = 0

        async def serve() -> socket.socket:
            nonlocal request_count
            connection, _ = await loop.sock_accept(listener)
            while not (await loop.sock_recv(connection, 65536)).endswith(b"\r\n\r\n"):
                pass
            request_count += 1
            await loop.sock_sendall(connection, OK)
            return connection

        server_task = asyncio.ensure_future(serve())
        assert (await bench.request_once(call("invite")))[0] == 200
        connection = await server_task
        await wait_until(
            lambda: only_idle_connections_counted(bench) and bench.node.descriptor_budget.servers == 1
        )

        def end() -> None:
            if ending == "data":
                connection.send(OK)
            elif ending == "half closed":
                connection.shutdown(socket.SHUT_WR)
            else:
                linger = struct.pack("ii", ending == "reset", 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                connection.close()

        has_unread_data = Connection.has_unread_data

        def check_with_end(connection: Connection) -> bool:
            if order == "before check":
                end()
            result = has_unread_data(connection)
            if order == "after check":
                end()
            return result

        monkeypatch.setattr(Connection, "has_unread_data", check_with_end)
        outcomes = record_outcomes(bench)
        server_task = asyncio.ensure_future(serve())
        status = (await bench.request_once(call("invite")))[0]
        if order == "before check":
            assert (status, outcomes, request_count) == (200, [Outcome.OK], 2)
        elif ending == "data":  # It cannot be distinguished from a response.
            assert (status, outcomes, request_count) == (200, [Outcome.OK], 1)
        elif ending == "reset":  # The write fails, so the request is retried on another connection.
            assert (status, outcomes, request_count) == (200, [Outcome.CONNECT_FAILED, Outcome.OK], 2)
        else:
            assert (status, outcomes, request_count) == (502, [Outcome.RESET], 1)
        server_task.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize("end", ["fin", "reset", "nothing"])
def test_marked_rejection_with_connection_end_is_retried(end):
    """A marked rejection means that the request did not run, even if the connection ends with it."""

    async def scenario():
        async def reject(request, writer):
            writer.write(REJECTED)
            if end == "fin":
                writer.write_eof()
            elif end == "reset":
                reset(writer)
            return None

        bench = await Bench(Server(reject), Server(reject)).start()
        outcomes = record_outcomes(bench)
        await bench.request_once(call("invite"))
        assert outcomes[:2] == [Outcome.REJECTED, Outcome.REJECTED]
        await wait_until(lambda: only_idle_connections_counted(bench))

    run_scenario(scenario)


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 2\r\n\r\nok", b"\r\nok"], ids=["length", "until close"]
)
def test_response_and_connection_end_in_one_segment_are_ok(framing):
    async def scenario():
        async def respond_and_close(request, writer):
            server_socket = writer.get_extra_info("socket")
            with socket.socket(fileno=os.dup(server_socket.fileno())) as raw:
                raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
                raw.send(b"HTTP/1.1 200 OK\r\n" + framing)
                raw.shutdown(socket.SHUT_WR)
            return None

        bench = await Bench(server := Server(respond_and_close)).start()
        for count in (1, 2):
            status, _, body = await bench.request_once(call("invite"))
            assert (status, body, server.connections) == (200, b"ok", count)
        await wait_until(lambda: bench.node.descriptor_budget.servers == 0)

    run_scenario(scenario)


# ---- Connections that are being opened -----------------------------------------------------------


class CallbackOnConnect(DelayedConnectLoop):
    """A loop that calls a function in the iteration in which a connection has been established."""

    def __init__(self, loop, on_connect):
        super().__init__(loop)
        self.on_connect = on_connect

    async def create_connection(self, *args):
        result = await self.loop.create_connection(*args)
        self.on_connect()
        return result


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.CONNECT_FAILED])
def test_attempt_abort_as_its_connection_opens_sends_nothing(outcome):
    async def scenario():
        bench = await Bench(server := Server(), policy_limits={"max_attempts": 1}).start()
        requests = bench.node.requests

        def on_connect() -> None:
            (request,) = requests.pending.values()
            if request.exchange is not None:
                request.exchange.abort(outcome)

        bench.node.pool.loop = CallbackOnConnect(asyncio.get_running_loop(), on_connect)
        response_task = asyncio.ensure_future(bench.request_once(call("invite")))
        await wait_until(lambda: server.connections == 1 and not requests.by_client or response_task.done())
        bench.node.pool.loop = asyncio.get_running_loop()
        assert (await bench.request_once(call("invite")))[0] == 200
        assert len(server.requests) == 1
        await wait_until(lambda: only_idle_connections_counted(bench))
        response_task.cancel()

    run_scenario(scenario)


def test_connect_timeout_as_connection_opens_closes_it():
    """The transport must not stay open without being counted in the descriptor budget."""

    async def scenario():
        bench = await Bench(server := Server()).start()

        def on_connect() -> None:
            raise TimeoutError

        bench.node.pool.loop = CallbackOnConnect(asyncio.get_running_loop(), on_connect)
        outcomes = record_outcomes(bench)
        await bench.request_once(call("invite"))
        assert set(outcomes) == {Outcome.CONNECT_FAILED}
        await wait_until(lambda: server.closed == server.connections == len(outcomes))
        assert bench.node.descriptor_budget.servers == 0 and not server.requests

    run_scenario(scenario)


def test_attempt_abort_before_connect_task_runs_is_uncounted():
    """A connection is counted before its task runs, and must be uncounted if the task never runs."""

    async def scenario():
        bench = await Bench(Server(), policy_limits={"max_attempts": 1}).start()
        client = await bench.client()
        await wait_until(lambda: all(c.transport for c in bench.node.client_connections.connections))
        (client_connection,) = bench.node.client_connections.connections
        data = call()
        bench.node.memory_budget.read_buffer[: len(data)] = data
        client_connection.buffer_updated(len(data))
        (request,) = bench.node.requests.pending.values()
        assert request.exchange is not None and bench.node.descriptor_budget.servers == 1
        request.exchange.abort(Outcome.TIMEOUT)
        await client.receive()
        await wait_until(lambda: bench.node.descriptor_budget.servers == 0)

    run_scenario(scenario)


@pytest.mark.parametrize("change", ["restarted", "draining", "gone", "unlisted", "drained and back"])
@pytest.mark.parametrize("order", ["change first", "connect first"])
def test_server_change_during_connect_prevents_stale_send(change, order):
    """Nothing is sent to the previous process of a server after the change is known."""

    async def scenario():
        bench = await Bench(server := Server(), other := Server(), discovery="push").start()
        bench.discovery.send_list(42, True, server.entry("s0"))
        await wait_until(lambda: len(bench.discovery.requests) == 2)
        bench.node.pool.loop = late = DelayedConnectLoop(asyncio.get_running_loop())
        response_task = asyncio.ensure_future(bench.request_once(call("invite")))
        await late.connect_requested.wait()
        if order == "connect first":
            late.connect_allowed.set()
            await wait_until(lambda: len(server.requests) == 1)
        lines = [other.entry("s1")]
        if change == "restarted":
            lines.append(server.entry("s0", started_ms=1))
        elif change in ("draining", "gone"):
            lines.append(server.entry("s0", change))
        elif change == "drained and back":
            bench.discovery.send_list(43, False, server.entry("s0", "draining"))
            lines.append(server.entry("s0"))
        bench.discovery.send_list(44, change == "unlisted", *lines)
        await wait_until(lambda: bench.node.discovery.version == 44)
        late.connect_allowed.set()
        assert (await response_task)[0] == 200
        if order == "change first" and change in ("draining", "gone", "unlisted"):
            assert not server.requests and len(other.requests) == 1
        if order == "change first" and change == "restarted" and server.requests:
            assert server.connections == 2  # The connection to the old process carried nothing.
        assert len(server.requests) + len(other.requests) == 1
        await wait_until(lambda: only_idle_connections_counted(bench))

    run_scenario(scenario)


def test_server_removed_as_retry_is_chosen_reports_not_sent():
    """The server is removed within the event that chooses it, so the retry is reported as not sent."""

    async def scenario():
        servers = [Server(respond_with(REJECTED)), Server(respond_with(REJECTED)), Server()]
        bench = await Bench(*servers, policy_limits={"max_attempts": 6, "connect_timeout": SECOND_US}).start()
        node = bench.node
        send = node.balancer.actions.send

        def retire_and_send(request, server, timeout):
            if node.requests.pending[request].attempts == 1:
                node.pool.endpoints[server].retire()
            send(request, server, timeout)

        node.send = retire_and_send
        outcomes = record_outcomes(bench)
        await bench.request_once(call("invite"))
        assert Outcome.RESET not in outcomes
        if len(outcomes) > 1:
            assert outcomes[1] == Outcome.NOT_SENT

    run_scenario(scenario)


# ---- Endless messages ----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("prefix", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Load-Report: ", b"x" * 4096),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 512),
        (b"", b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" * 128),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: ", b"x" * 4096),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", b"x" * 4096),
    ],
    ids=["endless header", "endless head", "interim", "trailer", "extension"],
)
def test_endless_response_fails_before_memory_fills(prefix, repeated):
    """The parser buffers a line until its end, so an endless line would exhaust the memory."""

    async def scenario():
        sent = 0

        async def endless(request, writer):
            nonlocal sent
            writer.write(prefix)
            while not writer.transport.is_closing():
                writer.write(repeated)
                sent += len(repeated)
                await writer.drain()
            return None

        bench = await Bench(Server(endless), policy_limits={"max_attempts": 1}).start()
        outcomes = record_outcomes(bench)
        assert (await bench.request_once(call("invite")))[0] == 502
        assert outcomes == [Outcome.RESET]
        await wait_until(lambda: bench.node.descriptor_budget.servers == 0)
        assert bench.node.memory_budget.held_bytes == 0 and not bench.node.requests.pending

    run_scenario(scenario)


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
def test_endless_request_is_rejected_and_reaches_no_server(data):
    async def scenario():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        client.send(data)
        status, headers, _ = await client.receive()
        assert status == 431 and headers["connection"] == "close"
        client.writer.close()
        await wait_until(lambda: not bench.node.client_connections.connections)
        assert not server.requests and bench.node.memory_budget.held_bytes == 0

    run_scenario(scenario)
