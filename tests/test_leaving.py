"""Clients that disconnect while their request waits: no server gets the request, or any more of it.

The client's close has reached the node's socket before the step that could send the request. With the order
"disconnect seen", the event loop has noticed it by then; with the other orders it has not.
"""

import asyncio
import socket
import struct

import pytest
from loopback import (
    OK,
    REJECTED,
    Bench,
    DelayedConnectLoop,
    Server,
    call,
    respond_after,
    respond_with,
    run_scenario,
    wait_until,
)

from balancer.net.downstream import client_connection as client_connection_module
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.policy.gradient import GradientController
from balancer.policy.interface import Outcome

CLOSE_MODES = pytest.mark.parametrize("mode", ["fin", "rst"])
CANCEL_DISABLED = {"policy_limits": {"cancel": False}}
LATER_TIER = {"layers": ["front", "store"], "tier": 1}
SETTINGS_VARIANTS = pytest.mark.parametrize(
    "changes", [{}, CANCEL_DISABLED, LATER_TIER], ids=["default", "no cancel", "later tier"]
)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
    MAX_BUFFERED_BYTES,
    bytes(MAX_BUFFERED_BYTES),
)


class DisconnectingClient:
    """A client on a plain socket, which closes at once and not in a later iteration of the event loop."""

    def __init__(self, bench: Bench) -> None:
        self.socket = socket.create_connection(("127.0.0.1", bench.port))

    def close(self, mode: str) -> None:
        if mode == "rst":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


async def only_connection(bench: Bench):
    await wait_until(lambda: len(bench.node.client_connections.connections) == 1)
    return next(iter(bench.node.client_connections.connections))


async def blocked_client(bench: Bench, server: Server):
    """Return a client that does not read its responses, and its connection, to which writing is blocked."""
    client = DisconnectingClient(bench)
    connection = await only_connection(bench)
    while not connection.write_blocked:
        client.socket.sendall(call())
        sent = len(server.requests) + 1
        await wait_until(
            lambda sent=sent: len(server.requests) == sent and connection.current_request is None
        )
    return client, connection


async def assert_nothing_more_sent(bench: Bench, *sent: tuple[Server, int]) -> None:
    """Check that only these numbers of requests were sent, and that all resources are released."""
    node = bench.node
    await wait_until(lambda: not node.client_connections.connections and not node.requests.by_client)
    assert (await bench.request_once(call()))[0] == 200
    await wait_until(lambda: not node.client_connections.connections and not node.requests.pending)
    assert sum(len(s.requests) for s, _ in sent) == sum(n for _, n in sent) + 1
    assert node.descriptor_budget.clients == 0 and node.memory_budget.held_bytes == 0
    assert node.descriptor_budget.servers == sum(len(e.idle) for e in node.pool.endpoints.values())


@CLOSE_MODES
@SETTINGS_VARIANTS
@pytest.mark.parametrize("pipelined_count", [2, 20])
@pytest.mark.parametrize("order", ["disconnect seen", "response first", "sweep first"])
def test_disconnect_drops_pipelined_requests(mode, changes, pipelined_count, order):
    """The disconnect is seen before the first response, only after it, or by the periodic sweep."""

    async def scenario():
        release = asyncio.Event()
        bench = await Bench(server := Server(respond_after(release)), **changes).start()
        client = DisconnectingClient(bench)
        client.socket.sendall(call() * pipelined_count)
        await wait_until(lambda: len(server.requests) == 1)
        connection = await only_connection(bench)
        await wait_until(lambda: len(connection.pipelined) == pipelined_count - 1)
        client.close(mode)
        if order == "disconnect seen":
            await wait_until(lambda: connection.has_disconnected)
        elif order == "sweep first":
            bench.node.client_connections.sweep()
        release.set()
        await assert_nothing_more_sent(bench, (server, 1))

    run_scenario(scenario)


@CLOSE_MODES
def test_disconnect_behind_full_socket_drops_requests(mode):
    """The close is seen behind more bytes than the node buffers; no server gets the remaining requests."""

    async def scenario():
        release = asyncio.Event()
        bench = await Bench(server := Server(respond_after(release))).start()
        client = DisconnectingClient(bench)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, client.socket.sendall, call() * 50_000)
        connection = await only_connection(bench)
        await wait_until(lambda: len(server.requests) == 1)
        client.close(mode)
        await wait_until(lambda: connection.has_disconnected)
        release.set()
        await assert_nothing_more_sent(bench, (server, 1))

    run_scenario(scenario)


def test_excess_pipelined_bytes_get_503_after_earlier_responses():
    """The first requests are served; then the client gets a 503 with Retry-After and a close."""

    async def scenario():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        release = asyncio.Event()
        server.handle = respond_after(release)
        client.send(call() * 5000)
        await wait_until(lambda: any(c.reading_stopped for c in bench.node.client_connections.connections))
        release.set()
        statuses = []
        while not statuses or statuses[-1] == 200:
            status, headers, _ = await client.receive()
            statuses.append(status)
        assert status == 503 and headers["connection"] == "close" and float(headers["retry-after"]) > 0
        assert len(server.requests) == len(statuses) - 1 >= client_connection_module.MAX_PIPELINED_REQUESTS
        client.writer.close()
        await wait_until(lambda: not bench.node.client_connections.connections)
        assert bench.node.memory_budget.held_bytes == 0

    run_scenario(scenario)


def test_half_close_of_unread_client_drops_pipelined_requests():
    """A client half-closes while responses are unsent: it gets them, and later requests are dropped."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(RESPONSE))).start()
        client, connection = await blocked_client(bench, server)
        client.socket.sendall(call() * 3)
        await wait_until(lambda: len(connection.pipelined) == 3)
        client.socket.shutdown(socket.SHUT_WR)
        await wait_until(lambda: connection.has_disconnected)
        count = len(server.requests)
        client.socket.setblocking(False)
        read = 0
        while data := await asyncio.get_running_loop().sock_recv(client.socket, 1 << 20):
            read += len(data)
        assert read == count * len(RESPONSE)
        client.socket.close()
        await assert_nothing_more_sent(bench, (server, count))

    run_scenario(scenario)


def test_half_closed_client_that_never_reads_is_closed(monkeypatch):
    """A transport that closes itself would wait forever for a client that reads nothing."""

    async def scenario():
        monkeypatch.setattr(client_connection_module, "UNREAD_TIMEOUT_S", 0.0)
        monkeypatch.setattr(client_connection_module, "LINGER_S", 0.0)
        bench = await Bench(server := Server(respond_with(RESPONSE))).start()
        client, connection = await blocked_client(bench, server)
        client.socket.shutdown(socket.SHUT_WR)
        await wait_until(lambda: not bench.node.client_connections.connections)
        assert bench.node.descriptor_budget.clients == 0 and bench.node.memory_budget.held_bytes == 0

    run_scenario(scenario)


@CLOSE_MODES
@SETTINGS_VARIANTS
@pytest.mark.parametrize("order", ["disconnect seen", "failure first"])
@pytest.mark.parametrize("failure", [Outcome.CONNECT_FAILED, Outcome.REJECTED, Outcome.TIMEOUT])
def test_disconnect_prevents_retry(mode, changes, order, failure):
    """The attempt fails after the client's close, before or after the event loop has seen the close."""

    async def scenario():
        release = asyncio.Event()
        server, other = Server(respond_after(release)), Server(respond_after(release))
        bench = await Bench(server, other, **changes).start()
        client = DisconnectingClient(bench)
        client.socket.sendall(call())
        await wait_until(lambda: len(server.requests) + len(other.requests) == 1)
        connection = await only_connection(bench)
        (request,) = bench.node.requests.pending.values()
        client.close(mode)
        if order == "disconnect seen":
            await wait_until(lambda: connection.has_disconnected)
        if request.exchange is not None:
            request.exchange.abort(failure)
        release.set()
        await assert_nothing_more_sent(bench, (server, 1), (other, 0))

    run_scenario(scenario)


@CLOSE_MODES
def test_disconnect_before_rejection_prevents_retry(mode):
    """The client disconnects before the first of two servers rejects its request."""

    async def scenario():
        release = asyncio.Event()

        async def full(request, writer):
            await release.wait()
            return REJECTED

        servers = [Server(full), Server(full)]
        bench = await Bench(*servers).start()
        client = DisconnectingClient(bench)
        client.socket.sendall(call())
        await wait_until(lambda: sum(len(s.requests) for s in servers) == 1)
        client.close(mode)
        release.set()
        await wait_until(
            lambda: not bench.node.client_connections.connections and not bench.node.requests.pending
        )
        for server in servers:
            server.handle = respond_with(OK)
        await assert_nothing_more_sent(bench, (servers[0], 1), (servers[1], 0))

    run_scenario(scenario)


@CLOSE_MODES
@SETTINGS_VARIANTS
@pytest.mark.parametrize("order", ["disconnect seen", "connect first"])
@pytest.mark.parametrize("class_name", ["view", "invite"])
def test_disconnect_during_server_connect_prevents_send(mode, changes, order, class_name):
    async def scenario():
        bench = await Bench(server := Server(), **changes).start()
        bench.node.pool.loop = late = DelayedConnectLoop(asyncio.get_running_loop())
        client = DisconnectingClient(bench)
        client.socket.sendall(call(class_name))
        await late.connect_requested.wait()
        connection = await only_connection(bench)
        client.close(mode)
        if order == "disconnect seen":
            await wait_until(lambda: connection.has_disconnected)
        late.connect_allowed.set()
        await assert_nothing_more_sent(bench, (server, 0))

    run_scenario(scenario)


@CLOSE_MODES
@pytest.mark.parametrize("order", ["disconnect seen", "capacity first"])
def test_disconnect_while_queued_at_later_tier_prevents_send(mode, order, monkeypatch):
    """At a later tier, the policy queues the request until its concurrency limit admits it."""

    async def scenario():
        bench = await Bench(server := Server(), **LATER_TIER).start()
        balancer = bench.node.balancer
        assert (await bench.request_once(call()))[0] == 200
        await wait_until(lambda: not bench.node.client_connections.connections)
        admits = GradientController.admits
        monkeypatch.setattr(GradientController, "admits", lambda self, now, spare: False)
        client = DisconnectingClient(bench)
        client.socket.sendall(call())
        await wait_until(lambda: len(balancer.lifecycle.queue) == 1)
        connection = await only_connection(bench)
        client.close(mode)
        if order == "disconnect seen":
            await wait_until(lambda: connection.has_disconnected)
        monkeypatch.setattr(GradientController, "admits", admits)
        balancer.lifecycle.serve_queue(bench.node.event_queue.now())
        await assert_nothing_more_sent(bench, (server, 1))

    run_scenario(scenario)


@CLOSE_MODES
def test_disconnect_in_accept_queue_prevents_send(mode):
    """The connection waits in the listener's queue for capacity when its client closes it."""

    async def scenario():
        bench = await Bench(server := Server()).start()
        listener = bench.node.client_connections.listener
        has_capacity, listener.has_capacity = listener.has_capacity, lambda: False
        listener.update()
        client = DisconnectingClient(bench)
        client.socket.sendall(call())
        client.close(mode)
        listener.has_capacity = has_capacity
        listener.update()
        await assert_nothing_more_sent(bench, (server, 0))

    run_scenario(scenario)


@CLOSE_MODES
@pytest.mark.parametrize(
    ("order", "size"),
    [
        ("disconnect seen", 10),
        ("disconnect seen", MAX_BUFFERED_BYTES),
        ("connect first", 10),
        ("connect first", MAX_BUFFERED_BYTES),
        ("connect first", 4 * MAX_BUFFERED_BYTES),
    ],
)
def test_disconnect_during_own_body_prevents_send(mode, order, size):
    """The client disconnects within its request's body.

    Reading a long body pauses until a server receives it. Of the longest body, more is sent than the socket
    buffers, so that the close is seen only when the rest is read.
    """

    async def scenario():
        bench = await Bench(server := Server()).start()
        bench.node.pool.loop = late = DelayedConnectLoop(asyncio.get_running_loop())
        client = DisconnectingClient(bench)
        head = call("offer").partition(b"Content-Length")[0]
        client.socket.sendall(head + b"Content-Length: %d\r\n\r\n" % (size + 1) + bytes(size))
        connection = await only_connection(bench)
        await wait_until(lambda: connection.partial_request is not None)
        if size >= MAX_BUFFERED_BYTES:
            await late.connect_requested.wait()
            await wait_until(lambda: connection.reading_paused)
        client.close(mode)
        if order == "disconnect seen":
            bench.node.client_connections.sweep()
            await wait_until(lambda: connection.has_disconnected)
        late.connect_allowed.set()
        await assert_nothing_more_sent(bench, (server, 0))

    run_scenario(scenario)


@CLOSE_MODES
def test_disconnect_as_response_arrives_drops_pipelined_request(mode):
    """Whether or not the response is written, the request that is pipelined behind it is not sent."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(None))).start()
        client = DisconnectingClient(bench)
        client.socket.sendall(call() * 2)
        await wait_until(lambda: len(server.requests) == 1)
        connection = await only_connection(bench)
        await wait_until(lambda: len(connection.pipelined) == 1)
        (request,) = bench.node.requests.pending.values()
        client.close(mode)
        bench.node.requests.respond(request.id, 504)  # The deadline timer responds in the same way.
        assert request.exchange is not None
        request.exchange.abort(Outcome.TIMEOUT)
        server.handle = respond_with(OK)
        await assert_nothing_more_sent(bench, (server, 1))

    run_scenario(scenario)


def test_connected_client_gets_all_pipelined_responses():
    """The check of the socket does not mistake a connected client for one that has disconnected."""

    async def scenario():
        bench = await Bench(server := Server(), config={"limits": {"sockets": 1024}}).start()
        client = await bench.client()
        client.send(call() * 20)
        for _ in range(20):
            assert (await client.receive())[0] == 200
        assert len(server.requests) == 20
        client.writer.close()
        await wait_until(lambda: not bench.node.client_connections.connections)

    run_scenario(scenario)
