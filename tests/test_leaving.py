"""Clients that leave while their request waits, on loopback sockets: nothing of it goes to a server any more.

The client's end is in the node's socket before the step that could send the request on. Whether the event
loop has seen it by then differs: `seen` waits until it has, the other orders never give it a turn.
"""

import asyncio
import socket
import struct

import pytest
from loopback import OK, REJECTED, Bench, Late, Server, always, call, gated, play, until

from balancer.net.downstream import client_connection as node_caller
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.policy.gradient import GradientController
from balancer.policy.interface import Outcome

HOW = pytest.mark.parametrize("how", ["fin", "rst"])
FORBIDDEN = {"policy_limits": {"cancel": False}}
LATER = {"layers": ["front", "store"], "tier": 1}
EVERYWHERE = pytest.mark.parametrize(
    "where", [{}, FORBIDDEN, LATER], ids=["usual", "no cancel", "later tier"]
)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (MAX_BUFFERED_BYTES, bytes(MAX_BUFFERED_BYTES))


class Leaver:
    """A client on a plain socket, which ends when it is told and not a turn of the loop later."""

    def __init__(self, bench: Bench) -> None:
        self.socket = socket.create_connection(("127.0.0.1", bench.port))

    def go(self, how: str) -> None:
        if how == "rst":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


async def only_caller(bench: Bench):
    await until(lambda: len(bench.node.client_connections.connections) == 1)
    return next(iter(bench.node.client_connections.connections))


async def full_client(bench: Bench, server: Server):
    """A client that reads nothing, and of whose answers no more can be written."""
    client = Leaver(bench)
    caller = await only_caller(bench)
    while not caller.write_blocked:
        client.socket.sendall(call())
        sent = len(server.requests) + 1
        await until(lambda sent=sent: len(server.requests) == sent and caller.current is None)
    return client, caller


async def nothing_came(bench: Bench, *sent: tuple[Server, int]) -> None:
    """So many requests came, one more of a client that stays does, and nothing is left over."""
    node = bench.node
    await until(lambda: not node.client_connections.connections and not node.requests.by_client)
    assert (await bench.once(call()))[0] == 200
    await until(lambda: not node.client_connections.connections and not node.requests.pending)
    assert sum(len(s.requests) for s, _ in sent) == sum(n for _, n in sent) + 1
    assert node.descriptor_budget.clients == 0 and node.memory_budget.held_bytes == 0
    assert node.descriptor_budget.servers == sum(len(e.idle) for e in node.pool.endpoints.values())


@HOW
@EVERYWHERE
@pytest.mark.parametrize("ahead", [2, 20])
@pytest.mark.parametrize("order", ["seen", "answer first", "sweep first"])
def test_behind_others_on_its_connection(how, where, ahead, order):
    """Up to its answer the loop has not seen the end, or it has, or the sweep comes in between."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(server := Server(gated(release)), **where).start()
        client = Leaver(bench)
        client.socket.sendall(call() * ahead)
        await until(lambda: len(server.requests) == 1)
        caller = await only_caller(bench)
        await until(lambda: len(caller.pipelined) == ahead - 1)
        client.go(how)
        if order == "seen":
            await until(lambda: caller.is_gone)
        elif order == "sweep first":
            bench.node.client_connections.sweep()
        release.set()
        await nothing_came(bench, (server, 1))

    play(scene)


@HOW
def test_behind_more_than_the_socket_holds(how):
    """Failure prevented: the end stands behind bytes that nobody reads, and what was left is sent on."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(server := Server(gated(release))).start()
        client = Leaver(bench)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, client.socket.sendall, call() * 50_000)
        caller = await only_caller(bench)
        await until(lambda: len(server.requests) == 1)
        client.go(how)
        await until(lambda: caller.is_gone)
        release.set()
        await nothing_came(bench, (server, 1))

    play(scene)


def test_one_who_stays_and_sends_too_much_ahead_is_refused_in_turn():
    """What it sent first is served, then it is told when to come back, and the connection ends."""

    async def scene():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        release = asyncio.Event()
        server.handle = gated(release)
        client.send(call() * 5000)
        await until(lambda: any(c.reading_stopped for c in bench.node.client_connections.connections))
        release.set()
        statuses = []
        while not statuses or statuses[-1] == 200:
            status, headers, _ = await client.receive()
            statuses.append(status)
        assert status == 503 and headers["connection"] == "close" and float(headers["retry-after"]) > 0
        assert len(server.requests) == len(statuses) - 1 >= node_caller.MAX_PIPELINED_REQUESTS
        client.writer.close()
        await until(lambda: not bench.node.client_connections.connections)
        assert bench.node.memory_budget.held_bytes == 0

    play(scene)


def test_sent_ahead_by_one_who_does_not_read_and_ends():
    """The end comes while answers wait to be written: they are written, and the rest goes nowhere."""

    async def scene():
        bench = await Bench(server := Server(always(ANSWER))).start()
        client, caller = await full_client(bench, server)
        client.socket.sendall(call() * 3)
        await until(lambda: len(caller.pipelined) == 3)
        client.socket.shutdown(socket.SHUT_WR)
        await until(lambda: caller.is_gone)
        count = len(server.requests)
        client.socket.setblocking(False)
        read = 0
        while data := await asyncio.get_running_loop().sock_recv(client.socket, 1 << 20):
            read += len(data)
        assert read == count * len(ANSWER)
        client.socket.close()
        await nothing_came(bench, (server, count))

    play(scene)


def test_one_who_ends_and_never_reads_gives_its_descriptor_back(monkeypatch):
    """Failure prevented: a transport that closes itself waits for such a client without end."""

    async def scene():
        monkeypatch.setattr(node_caller, "UNREAD_TIMEOUT_S", 0.0)
        monkeypatch.setattr(node_caller, "LINGER_S", 0.0)
        bench = await Bench(server := Server(always(ANSWER))).start()
        client, caller = await full_client(bench, server)
        client.socket.shutdown(socket.SHUT_WR)
        await until(lambda: not bench.node.client_connections.connections)
        assert bench.node.descriptor_budget.clients == 0 and bench.node.memory_budget.held_bytes == 0

    play(scene)


@HOW
@EVERYWHERE
@pytest.mark.parametrize("order", ["seen", "failure first"])
@pytest.mark.parametrize("failure", [Outcome.CONNECT_FAILED, Outcome.REJECTED, Outcome.TIMEOUT])
def test_for_a_retry(how, where, order, failure):
    """The attempt fails after the client's end, in the same turn of the loop or after it was seen."""

    async def scene():
        release = asyncio.Event()
        server, other = Server(gated(release)), Server(gated(release))
        bench = await Bench(server, other, **where).start()
        client = Leaver(bench)
        client.socket.sendall(call())
        await until(lambda: len(server.requests) + len(other.requests) == 1)
        caller = await only_caller(bench)
        (request,) = bench.node.requests.pending.values()
        client.go(how)
        if order == "seen":
            await until(lambda: caller.is_gone)
        if request.exchange is not None:
            request.exchange.abort(failure)
        release.set()
        await nothing_came(bench, (server, 1), (other, 0))

    play(scene)


@HOW
def test_refused_by_every_member(how):
    """Every server turns it away; the client leaves before the last of them does."""

    async def scene():
        release = asyncio.Event()

        async def full(request, writer):
            await release.wait()
            return REJECTED

        servers = [Server(full), Server(full)]
        bench = await Bench(*servers).start()
        client = Leaver(bench)
        client.socket.sendall(call())
        await until(lambda: sum(len(s.requests) for s in servers) == 1)
        client.go(how)
        release.set()
        await until(lambda: not bench.node.client_connections.connections and not bench.node.requests.pending)
        for server in servers:
            server.handle = always(OK)
        await nothing_came(bench, (servers[0], 1), (servers[1], 0))

    play(scene)


@HOW
@EVERYWHERE
@pytest.mark.parametrize("order", ["seen", "up first"])
@pytest.mark.parametrize("klass", ["view", "invite"])
def test_for_a_connection_that_comes_up_late(how, where, order, klass):
    async def scene():
        bench = await Bench(server := Server(), **where).start()
        bench.node.pool.loop = late = Late(asyncio.get_running_loop())
        client = Leaver(bench)
        client.socket.sendall(call(klass))
        await late.asked.wait()
        caller = await only_caller(bench)
        client.go(how)
        if order == "seen":
            await until(lambda: caller.is_gone)
        late.up.set()
        await nothing_came(bench, (server, 0))

    play(scene)


@HOW
@pytest.mark.parametrize("order", ["seen", "room first"])
def test_at_the_limit_of_a_later_tier(how, order, monkeypatch):
    """There the module holds it until there is room under the limit."""

    async def scene():
        bench = await Bench(server := Server(), **LATER).start()
        balancer = bench.node.balancer
        assert (await bench.once(call()))[0] == 200
        await until(lambda: not bench.node.client_connections.connections)
        admits = GradientController.admits
        monkeypatch.setattr(GradientController, "admits", lambda self, now, spare: False)
        client = Leaver(bench)
        client.socket.sendall(call())
        await until(lambda: len(balancer.lifecycle.queue) == 1)
        caller = await only_caller(bench)
        client.go(how)
        if order == "seen":
            await until(lambda: caller.is_gone)
        monkeypatch.setattr(GradientController, "admits", admits)
        balancer.lifecycle.serve_queue(bench.node.event_queue.now())
        await nothing_came(bench, (server, 1))

    play(scene)


@HOW
def test_for_room_among_connections(how):
    """It waits in the listener's queue while there is no room, and its client leaves there."""

    async def scene():
        bench = await Bench(server := Server()).start()
        listener = bench.node.client_connections.listener
        room, listener.has_capacity = listener.has_capacity, lambda: False
        listener.update()
        client = Leaver(bench)
        client.socket.sendall(call())
        client.go(how)
        listener.has_capacity = room
        listener.update()
        await nothing_came(bench, (server, 0))

    play(scene)


@HOW
@pytest.mark.parametrize(
    ("order", "size"),
    [
        ("seen", 10),
        ("seen", MAX_BUFFERED_BYTES),
        ("up first", 10),
        ("up first", MAX_BUFFERED_BYTES),
        ("up first", 4 * MAX_BUFFERED_BYTES),
    ],
)
def test_for_its_own_body(how, order, size):
    """A part of the body has come; of a long one so much that nothing more is read before a server takes it.

    Of the longest the end stands behind bytes that the socket has no room for: it is seen as they are read.
    """

    async def scene():
        bench = await Bench(server := Server()).start()
        bench.node.pool.loop = late = Late(asyncio.get_running_loop())
        client = Leaver(bench)
        head = call("offer").partition(b"Content-Length")[0]
        client.socket.sendall(head + b"Content-Length: %d\r\n\r\n" % (size + 1) + bytes(size))
        caller = await only_caller(bench)
        await until(lambda: caller.partial is not None)
        if size >= MAX_BUFFERED_BYTES:
            await late.asked.wait()
            await until(lambda: caller.reading_paused)
        client.go(how)
        if order == "seen":
            bench.node.client_connections.sweep()
            await until(lambda: caller.is_gone)
        late.up.set()
        await nothing_came(bench, (server, 0))

    play(scene)


@HOW
def test_in_the_turn_in_which_its_answer_comes(how):
    """Its own answer is written or not, but what waits behind it goes nowhere."""

    async def scene():
        bench = await Bench(server := Server(always(None))).start()
        client = Leaver(bench)
        client.socket.sendall(call() * 2)
        await until(lambda: len(server.requests) == 1)
        caller = await only_caller(bench)
        await until(lambda: len(caller.pipelined) == 1)
        (request,) = bench.node.requests.pending.values()
        client.go(how)
        bench.node.requests.respond(request.id, 504)  # as its guard does
        assert request.exchange is not None
        request.exchange.abort(Outcome.TIMEOUT)
        server.handle = always(OK)
        await nothing_came(bench, (server, 1))

    play(scene)


def test_one_who_stays_is_served_in_full_behind_others():
    """The look at the socket takes nobody who stays for one who has left."""

    async def scene():
        bench = await Bench(server := Server(), config={"limits": {"sockets": 1024}}).start()
        client = await bench.client()
        client.send(call() * 20)
        for _ in range(20):
            assert (await client.receive())[0] == 200
        assert len(server.requests) == 20
        client.writer.close()
        await until(lambda: not bench.node.client_connections.connections)

    play(scene)
