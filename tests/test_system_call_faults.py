"""System calls that fail in the ways that Linux documents, at each place where the node depends on one.

The fault passes, the listener still takes connections, each request has its one answer, no core is spun.
"""

import asyncio
import os
import resource
import signal
import socket
from contextlib import contextmanager, suppress
from errno import ENOLCK, ENOSPC, errorcode
from types import SimpleNamespace

import pytest
import uvloop
from fleet_section import fleet_section, free_udp_port
from loopback import (
    Bench,
    Client,
    Server,
    call,
    gated,
    record_outcomes,
    until,
)
from system_call_faults import (
    ACCEPT,
    BOTH_LOOPS,
    BROKEN,
    CONNECT,
    CONNECT_HERE,
    CONNECT_THERE,
    SEND_DATAGRAM,
    SHORTAGES,
    Fault,
    Replaced,
    accepted_at,
    count_calls,
    fail_accepts,
    fail_connects,
    fail_reads,
    fail_socket_calls,
    is_uvloop,
    play_on,
    towards,
    with_each,
)

from balancer.fleet.membership.messages import Kind, Message
from balancer.net import node
from balancer.net.discovery import registry
from balancer.net.discovery.call import DiscoveryCall
from balancer.net.downstream import client_connections
from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.process import handover, listener, system_faults
from balancer.net.process.handover import Handover
from balancer.net.process.listener import Listener
from balancer.net.process.management import ManagementConnection
from balancer.net.upstream import exchange
from balancer.net.upstream.connection import Connection
from balancer.policy.interface import Outcome

OPERATED = {"management": "127.0.0.1:0"}
OPERATOR_CALL = b"GET /control/ready HTTP/1.1\r\nHost: m\r\n\r\n"


INTERVAL = 0.005  # seconds between two tries in these tests


@pytest.fixture(autouse=True)
def frequent_tries(monkeypatch) -> None:
    """What is tried again is tried again soon, so that many faults can be played."""
    for module in (listener, exchange, system_faults):
        monkeypatch.setattr(module, "RETRY_INTERVAL", INTERVAL)
    monkeypatch.setattr(registry, "PUSH_RETRY_S", INTERVAL)
    monkeypatch.setattr(node, "PEERS_RETRY_S", INTERVAL)


def most_tries(seconds: float) -> float:
    """So many tries in this time at most, by timers that round; a loop that only tries makes thousands."""
    return 2 * seconds / INTERVAL + 2


async def some_tries() -> float:
    """Waits while a fault lasts; the seconds that it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    await until(lambda: loop.time() - began > 6 * INTERVAL)
    return loop.time() - began


# ---- listeners ------------------------------------------------------------------------------------------


PLACES = 3  # where a node listens: for clients, for clients on an inherited socket, for operators


def inherited_listener() -> dict[str, str]:
    """A listening socket as the process before has handed it on."""
    held = socket.socket()
    held.bind(("127.0.0.1", 0))
    held.listen(64)
    return {"inherited": str(held.detach()), "listen": "127.0.0.1:1"}


@BOTH_LOOPS
@with_each(ACCEPT)
def test_accepts_fail_while_the_node_serves(run, error, tmp_path, monkeypatch):
    """Failure prevented: a shortage lasts, the queue stays readable, and the loop only fails to accept."""

    passes = count_calls(monkeypatch, Listener, "accept")

    async def served(place, given, listener_of, request):
        bench = await Bench(Server(), config=given).start()
        taking = listener_of(bench.node)
        fail_accepts(taking, fault := Fault(error))
        port = taking.socket.getsockname()[1]
        clients = [await Client(port).open() for _ in range(3)]
        for client in clients:
            client.send(request)
        before = len(passes)
        seconds = await some_tries()
        assert fault.met and len(passes) - before <= PLACES * most_tries(seconds), place
        fault.passes()
        assert [(await client.receive())[0] for client in clients] == [200] * 3, place
        assert (await (await Client(port).open()).ask(request))[0] == 200, place

    async def scene():
        by_hand = inherited_listener() | {"folder": str(tmp_path)}
        await asyncio.gather(
            served("clients", {}, lambda n: n.client_connections.listener, call()),
            served("handover", by_hand, lambda n: n.client_connections.listener, call()),
            served("management", OPERATED, lambda n: n.management.listener, OPERATOR_CALL),
        )

    play_on(run, scene)


@BOTH_LOOPS
@with_each(ACCEPT)
def test_accepts_fail_as_the_node_stops_listening(run, error, monkeypatch):
    """Failure prevented: the last look at the queue fails, and who waits there is reset by the close."""
    monkeypatch.setattr(client_connections, "ACCEPT_AFTER_TERM_S", 2 * INTERVAL)

    async def scene():
        loop = asyncio.get_running_loop()
        passes = count_calls(monkeypatch, Listener, "accept")
        looks = count_calls(monkeypatch, Listener, "stop")
        bench = await Bench(Server()).start()
        crowd = bench.node.client_connections
        fail_accepts(crowd.listener, fault := Fault(error))
        began = loop.time()
        (waiting := await bench.client()).send(call())
        draining = asyncio.create_task(bench.node.drain())
        await until(lambda: len(looks) >= 2)
        assert len(passes) <= most_tries(loop.time() - began)
        assert crowd.listener.socket is not None and not draining.done()
        fault.passes()
        assert (await waiting.receive())[0] == 200
        waiting.writer.close()
        await draining
        assert crowd.listener.socket is None

    play_on(run, scene)


@BOTH_LOOPS
@with_each(SHORTAGES)
def test_a_node_starts_though_sockets_are_short(run, error, monkeypatch):
    """Failure prevented: the process ends with `cannot listen`, and its host is without a node."""

    async def scene():
        fault = Fault(error, times=3)
        monkeypatch.setattr(listener, "socket", Replaced(socket, socket=fault.before(socket.socket)))
        bench = await Bench(Server(), config=OPERATED).start()
        assert fault.met == 3
        assert (await bench.once(call()))[0] == 200

    play_on(run, scene)


def test_a_start_is_given_up_where_a_shortage_lasts(monkeypatch):
    monkeypatch.setattr(node, "LISTEN_TIMEOUT_S", 3 * INTERVAL)

    async def scene():
        fault = Fault(SHORTAGES[0])
        monkeypatch.setattr(listener, "socket", Replaced(socket, socket=fault.before(socket.socket)))
        with pytest.raises(OSError, match=os.strerror(SHORTAGES[0])):
            await Bench(Server()).start()
        assert fault.met > 1

    play_on(uvloop.run, scene)


@contextmanager
def no_descriptors():
    """This process can open nothing."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.open(os.devnull, os.O_RDONLY)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@BOTH_LOOPS
def test_the_process_really_has_no_descriptor_left(run):
    """Accepts and connects fail in the system itself, in uvloop's C code as well."""

    async def scene():
        loop = asyncio.get_running_loop()
        bench = await Bench(server := Server()).start()
        held = await bench.client()
        outside = socket.socket()
        outside.setblocking(False)
        outcomes = record_outcomes(bench)
        with no_descriptors():
            await loop.sock_connect(outside, ("127.0.0.1", bench.port))
            await loop.sock_sendall(outside, call())
            held.send(call())
            await some_tries()
            assert not server.requests and not outcomes
        assert (await held.receive())[0] == 200
        assert b"200 OK" in await loop.sock_recv(outside, 100)
        assert outcomes == [Outcome.OK] * 2 and bench.node.balancer.stats()["ejected"] == 0
        outside.close()

    play_on(run, scene)


# ---- connections to servers -------------------------------------------------------------------------------


@BOTH_LOOPS
@pytest.mark.parametrize("klass", ["view", "invite"])
@with_each(CONNECT_HERE)
def test_this_machine_cannot_connect_for_a_moment(run, klass, error, monkeypatch):
    """Failure prevented: a shortage uses up all attempts at once, and servers are ejected for it."""

    async def scene():
        bench = await Bench(one := Server(), two := Server()).start()
        outcomes = record_outcomes(bench)
        fail_connects(monkeypatch, fault := Fault(error, times=4), one.port, two.port)
        assert (await bench.once(call(klass)))[0] == 200
        assert fault.met == 4 and outcomes == [Outcome.OK]
        assert len(one.requests + two.requests) == 1

    play_on(run, scene)


@BOTH_LOOPS
@with_each(CONNECT_HERE)
def test_this_machine_cannot_connect_for_a_request_s_whole_time(run, error, monkeypatch):
    async def scene():
        loop = asyncio.get_running_loop()
        bench = await Bench(one := Server(), two := Server()).start()
        outcomes = record_outcomes(bench)
        fail_connects(monkeypatch, fault := Fault(error), one.port, two.port)
        client = await bench.client()
        began = loop.time()
        status, headers, _ = await client.ask(call("invite", budget=100))
        attempts = len(outcomes)
        assert (status, set(outcomes)) == (503, {Outcome.NOT_SENT}) and "retry-after" in headers
        assert fault.met <= attempts * most_tries(loop.time() - began)
        assert bench.node.balancer.stats()["ejected"] == 0
        fault.passes()
        assert (await client.ask(call("invite")))[0] == 200
        assert len(one.requests + two.requests) == 1 and bench.node.descriptor_budget.servers == 1

    play_on(run, scene)


@BOTH_LOOPS
@pytest.mark.parametrize("klass", ["view", "invite"])
@with_each(CONNECT_THERE)
def test_a_connect_fails_on_its_way(run, klass, error, monkeypatch):
    """It never ran, so a request of any class goes to another server at once."""

    async def scene():
        bench = await Bench(one := Server(), two := Server()).start()
        outcomes = record_outcomes(bench)
        fail_connects(monkeypatch, Fault(error, times=1), one.port, two.port)
        client = await bench.client()
        assert (await client.ask(call(klass)))[0] == 200
        assert outcomes == [Outcome.CONNECT_FAILED, Outcome.OK]
        assert len(one.requests + two.requests) == 1

    play_on(run, scene)


@BOTH_LOOPS
@pytest.mark.parametrize(("klass", "status", "attempts"), [("view", 200, 2), ("invite", 502, 1)])
@with_each(BROKEN)
def test_a_connection_breaks_under_a_request(run, klass, status, attempts, error, monkeypatch):
    """It may have run: only what is safe to repeat goes out again, and there is one answer."""

    async def scene():
        bench = await Bench(one := Server(), two := Server()).start()
        outcomes = record_outcomes(bench)
        fault = Fault(error, times=1)
        for server in (one, two):
            fail_reads(monkeypatch, Connection, fault, towards(server.port))
        client = await bench.client()
        assert (await client.ask(call(klass)))[0] == status
        assert outcomes == [Outcome.RESET, Outcome.OK][:attempts] and fault.met == 1
        assert len(one.requests + two.requests) == attempts
        assert (await client.ask(call(klass)))[0] == 200
        assert bench.node.descriptor_budget.servers == sum(
            len(e.idle) for e in bench.node.pool.endpoints.values()
        )

    play_on(run, scene)


@pytest.mark.parametrize("klass", ["view", "invite"])
@with_each(BROKEN)
def test_a_connection_breaks_as_a_request_is_written(klass, error, monkeypatch):
    """On asyncio's loop, where the write is a call of Python's; no byte has gone, so it never ran."""

    async def scene():
        bench = await Bench(one := Server(), two := Server()).start()
        outcomes = record_outcomes(bench)
        fault = Fault(error, times=1)
        for server in (one, two):
            fail_socket_calls(monkeypatch, "send", fault, towards(server.port))
        assert (await bench.once(call(klass)))[0] == 200
        assert outcomes == [Outcome.CONNECT_FAILED, Outcome.OK]
        assert len(one.requests + two.requests) == 1

    play_on(asyncio.run, scene)


@BOTH_LOOPS
@with_each(BROKEN)
def test_an_idle_connection_breaks(run, error, monkeypatch):
    async def scene():
        bench = await Bench(server := Server()).start()
        fail_reads(monkeypatch, Connection, fault := Fault(error, times=0), towards(server.port))
        client = await bench.client()
        assert (await client.ask(call("invite")))[0] == 200
        fault.comes(1)
        server.writers[0].write(b"x")
        await until(lambda: fault.met == 1 and bench.node.descriptor_budget.servers == 0)
        assert (await client.ask(call("invite")))[0] == 200
        assert server.connections == 2 and len(server.requests) == 2

    play_on(run, scene)


# ---- connections of clients ---------------------------------------------------------------------------


@BOTH_LOOPS
@with_each(BROKEN)
def test_a_client_s_connection_breaks_under_its_request(run, error, monkeypatch):
    """Its attempt is given up, and the other clients' requests are answered."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(server := Server(gated(release))).start()
        outcomes = record_outcomes(bench)
        fail_reads(monkeypatch, ClientConnection, fault := Fault(error, times=0), accepted_at(bench.port))
        broken, well = await bench.client(), await bench.client()
        broken.send(call())
        await until(lambda: len(server.requests) == 1)
        well.send(call())
        await until(lambda: len(server.requests) == 2)
        fault.comes(1)
        broken.send(b"G")
        await until(lambda: fault.met == 1 and len(bench.node.requests.pending) == 1)
        assert outcomes == [Outcome.CANCELLED]
        release.set()
        assert (await well.receive())[0] == 200
        await until(lambda: bench.node.descriptor_budget.clients == 1)

    play_on(run, scene)


@with_each(BROKEN)
def test_a_client_s_connection_breaks_as_its_answer_is_written(error, monkeypatch):
    """On asyncio's loop; the node goes on, for this client's next connection too."""

    async def scene():
        bench = await Bench(Server()).start()
        fault = Fault(error, times=1)
        client = await bench.client()
        fail_socket_calls(monkeypatch, "send", fault, accepted_at(bench.port))
        client.send(call())
        assert await client.ended() and fault.met == 1
        await until(lambda: bench.node.descriptor_budget.clients == 0 and not bench.node.requests.pending)
        assert (await bench.once(call()))[0] == 200

    play_on(asyncio.run, scene)


# ---- short reads and writes, interrupted waits ----------------------------------------------------------


@BOTH_LOOPS
def test_reads_and_writes_are_short(run, monkeypatch):
    """Each read brings a byte or two, and each write of asyncio's loop takes one."""
    body = bytes(range(256)) * 2

    async def echo(request, writer):
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(request.body), request.body)

    async def scene():
        bench = await Bench(server := Server(echo)).start()
        bench.node.memory_budget.read_buffer = bytearray(1)
        if not is_uvloop():
            send = socket.socket.send
            monkeypatch.setattr(
                socket.socket, "send", lambda self, data, *flags: send(self, data[:1]), raising=False
            )
        status, _, answer = await bench.once(call("offer", body=body))
        assert (status, answer) == (200, body)
        assert [request.body for request in server.requests] == [body]

    play_on(run, scene)


@BOTH_LOOPS
def test_waits_are_interrupted(run):
    """A signal comes every millisecond, so that waits of the loop return EINTR all the time."""
    came = []
    before = signal.signal(signal.SIGALRM, lambda number, frame: came.append(number))

    async def scene():
        bench = await Bench(server := Server(), config=OPERATED).start()
        client = await bench.client()
        for _ in range(20):
            assert (await client.ask(call("invite")))[0] == 200
            await asyncio.sleep(0.002)
        assert (await bench.once(call()))[0] == 200
        assert len(server.requests) == 21

    signal.setitimer(signal.ITIMER_REAL, 0.001, 0.001)
    try:
        play_on(run, scene)
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)
    assert len(came) > 10


# ---- discovery ------------------------------------------------------------------------------------------


@BOTH_LOOPS
@with_each(CONNECT)
def test_discovery_cannot_be_reached_for_a_moment(run, error, monkeypatch):
    """The list in hand serves, calls for a new one are few, and it comes when the fault has passed."""

    async def scene():
        loop = asyncio.get_running_loop()
        bench = await Bench(server := Server(), discovery="push").start()
        await until(lambda: bool(bench.discovery.requests))
        fail_connects(monkeypatch, fault := Fault(error), bench.discovery.port)
        began = loop.time()
        bench.discovery.answers.put_nowait(None)
        assert (await bench.once(call()))[0] == 200
        await until(lambda: fault.met > 0)
        await some_tries()
        # A watch is opened anew after half to one and a half of its interval.
        assert fault.met <= 2 * most_tries(loop.time() - began)
        fault.passes()
        bench.discovery.say(42, True, server.entry("s0"))
        await until(lambda: bench.node.discovery.version == 42)

    play_on(run, scene)


@BOTH_LOOPS
@with_each(BROKEN)
def test_the_connection_to_discovery_breaks(run, error, monkeypatch):
    async def scene():
        bench = Bench(server := Server(), discovery="push")
        fault = Fault(error, times=0)
        fail_reads(monkeypatch, DiscoveryCall, fault, lambda s, *_: towards(bench.discovery.port)(s))
        await bench.start()
        await until(lambda: bool(bench.discovery.requests))
        fault.comes(1)
        bench.discovery.say(42, True, server.entry("s0"))
        bench.discovery.say(43, True, server.entry("s0"))
        await until(lambda: bench.node.discovery.version == 43)
        assert fault.met == 1 and bench.discovery.connections == 2
        assert (await bench.once(call()))[0] == 200

    play_on(run, scene)


# ---- management -------------------------------------------------------------------------------------------


@BOTH_LOOPS
@with_each(BROKEN)
def test_an_operator_s_connection_breaks(run, error, monkeypatch):
    async def scene():
        bench = await Bench(Server(), config=OPERATED).start()
        management = bench.node.management
        port = management.listener.socket.getsockname()[1]
        fail_reads(monkeypatch, ManagementConnection, fault := Fault(error, times=1), accepted_at(port))
        (broken := await Client(port).open()).send(OPERATOR_CALL)
        await until(lambda: fault.met == 1 and management.open_connections == 0)
        assert (await (await Client(port).open()).ask(OPERATOR_CALL))[0] == 200
        assert (await bench.once(call()))[0] == 200
        broken.writer.close()

    play_on(run, scene)


# ---- datagrams ------------------------------------------------------------------------------------------


def datagram_socket() -> socket.socket:
    """A peer."""
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.bind(("127.0.0.1", 0))
    made.setblocking(False)
    return made


def spelled(address: tuple[str, int]) -> str:
    """An address as configurations have it."""
    return f"{address[0]}:{address[1]}"


def fail_datagram_sockets(monkeypatch, fault):
    """New sockets for datagrams meet the fault."""
    loop = asyncio.get_running_loop()
    opened = loop.create_datagram_endpoint

    async def create_datagram_endpoint(*args, **options):
        fault.strike()
        return await opened(*args, **options)

    monkeypatch.setattr(loop, "create_datagram_endpoint", create_datagram_endpoint)


@BOTH_LOOPS
@with_each(SHORTAGES)
def test_datagram_sockets_are_short_as_a_node_starts_and_as_it_takes_a_port_over(
    run, error, tmp_path, monkeypatch
):
    """Failure prevented: the node does not start, or never has the port that the process before let go."""
    given = {
        "fleet": fleet_section(tmp_path, listen=f"127.0.0.1:{free_udp_port()}"),
        "peer_listen": "127.0.0.1:0",
    }

    async def scene():
        loop = asyncio.get_running_loop()
        fail_datagram_sockets(monkeypatch, fault := Fault(error))
        began = loop.time()
        bench = await Bench(Server(), config=given | {"peers": []}).start()
        peers, fleet = bench.node.peers, bench.node.fleet
        assert (await bench.once(call()))[0] == 200
        assert fault.met <= 2 * most_tries(loop.time() - began)
        fault.passes()
        await until(lambda: peers.transport is not None and fleet.transport is not None)
        for times in (1, 2):  # another process comes and goes; the ports are let go and taken again
            peers.close(), fleet.close()
            fault.left, fault.met = times, 0
            bench.node.share(False)
            await until(lambda: peers.transport is not None and fleet.transport is not None)
            assert fault.met == times
        fleet.close()

    play_on(run, scene)


@BOTH_LOOPS
@with_each(SEND_DATAGRAM)
def test_datagrams_cannot_be_sent_or_received_for_a_moment(run, error, tmp_path, monkeypatch):
    """uvloop's loop hands such errors to `error_received`, which is where they are played on it."""

    async def scene():
        loop = asyncio.get_running_loop()
        peer, member = datagram_socket(), datagram_socket()
        names = [spelled(peer.getsockname())]
        given = {"peer_listen": "127.0.0.1:0", "peers": names}
        fleet_port = free_udp_port()
        seeds = [spelled(member.getsockname())]
        given["fleet"] = fleet_section(
            tmp_path, listen=f"127.0.0.1:{fleet_port}", seeds=seeds, period_ms=60_000
        )
        bench = await Bench(Server(), config=given).start()
        peers, fleet = bench.node.peers, bench.node.fleet
        ping = Message(Kind.PING, "n0")
        lines = []
        monkeypatch.setattr(peers.log, "write", lines.append)
        heard = []
        bench.node.balancer.peer_message = lambda now, number, data: heard.append(data)
        fault, unread = Fault(error, times=100), Fault(error, times=0)
        peers_port = peers.transport.get_extra_info("sockname")[1]
        before = loop.time()
        if is_uvloop():
            for protocol in (peers, fleet):
                for _ in range(100):
                    protocol.error_received(OSError(error, os.strerror(error)))
        else:
            ours = (peers_port, fleet_port)
            for name, met in (("sendto", fault), ("recvfrom", unread)):
                fail_socket_calls(monkeypatch, name, met, lambda s, *_: s.getsockname()[1] in ours)
            for _ in range(100):
                peers.send(0, b"lost")
            assert fault.met == 100
            fault.comes(1)
            fleet.transmit(ping, member.getsockname())
            assert fault.met == 101
            for port in ours:
                unread.comes(3)
                peer.sendto(b"late", ("127.0.0.1", port))
                await until(lambda: unread.left == 0)
            await until(lambda: heard == [b"late"])
            heard.clear()
        assert len(lines) <= 5 * (loop.time() - before + 2)
        assert (await bench.once(call()))[0] == 200
        peers.send(0, b"told")
        assert await asyncio.wait_for(loop.sock_recv(peer, 100), 20) == b"told"
        peer.sendto(b"news", ("127.0.0.1", peers_port))
        await until(lambda: heard == [b"news"])
        with suppress(BlockingIOError):  # what the fleet sent before
            while True:
                member.recv(2000)
        fleet.transmit(ping, member.getsockname())
        assert await asyncio.wait_for(loop.sock_recv(member, 2000), 20)
        assert fleet.events["unreachable"] >= (100 if is_uvloop() else 4)
        peer.close(), member.close()
        fleet.close()

    play_on(run, scene)


# ---- handover --------------------------------------------------------------------------------------------


def process(folder, shares):
    """One process's side of the agreement."""
    log = SimpleNamespace(line=lambda text: None)
    return Handover(asyncio.get_running_loop(), str(folder), shares.append, log)


@BOTH_LOOPS
@pytest.mark.parametrize(
    ("name", "error"),
    [(n, e) for n in ("open", "rename", "flock") for e in (*SHORTAGES, ENOLCK)[: 5 if n == "flock" else 4]],
    ids=lambda value: errorcode.get(value, value),
)
def test_a_process_joins_though_the_system_is_short(run, name, error, tmp_path, monkeypatch):
    """Failure prevented: a fault of a moment leaves the process with half of the limits for good."""

    async def scene():
        shares = []
        module = handover.fcntl if name == "flock" else os
        fault = Fault(error, times=2)
        faulty = Replaced(module, **{name: fault.before(getattr(module, name))})
        monkeypatch.setattr(handover, module.__name__, faulty)
        one = process(tmp_path, shares)
        await one.start(lambda: True)
        assert fault.met == 2 and shares == [] and not one.shared
        assert os.listdir(tmp_path) == [one.name]
        one.close()

    play_on(run, scene)


def test_a_process_that_cannot_join_for_long_keeps_to_half_until_it_can(tmp_path, monkeypatch):
    monkeypatch.setattr(handover, "SHRINK_TIMEOUT_S", 3 * INTERVAL)

    async def scene():
        shares = []
        fault = Fault(SHORTAGES[0])
        monkeypatch.setattr(handover, "os", Replaced(os, open=fault.before(os.open)))
        one = process(tmp_path, shares)
        await one.start(lambda: True)
        assert shares == [True] and one.shared
        fault.passes()
        await until(lambda: shares == [True, False])
        one.close()

    play_on(uvloop.run, scene)


@BOTH_LOOPS
@pytest.mark.parametrize(
    ("name", "error"),
    [(n, e) for n in ("listdir", "open", "flock") for e in (*SHORTAGES, ENOLCK)[: 5 if n == "flock" else 4]],
    ids=lambda value: errorcode.get(value, value),
)
def test_a_look_that_fails_is_no_sign_of_being_alone(run, name, error, tmp_path, monkeypatch):
    """Failure prevented: both processes take the whole of the limits while the system is short."""
    monkeypatch.setattr(handover, "POLL_INTERVAL_S", 0.005)

    async def scene():
        shares = [], []
        elder, younger = process(tmp_path, shares[0]), process(tmp_path, shares[1])
        await elder.start(lambda: True)
        await younger.start(lambda: True)
        await until(lambda: elder.shared and younger.shared and elder.is_older)
        module = handover.fcntl if name == "flock" else os
        fault = Fault(error)
        faulty = Replaced(module, **{name: fault.before(getattr(module, name))})
        monkeypatch.setattr(handover, module.__name__, faulty)
        await until(lambda: fault.met >= 6)
        assert shares == ([True], [True]) and elder.is_older
        fault.passes()
        elder.close()
        await until(lambda: shares[1] == [True, False])
        younger.close()

    play_on(run, scene)


@with_each((*SHORTAGES, ENOSPC))
def test_an_elder_says_later_that_it_fits(error, tmp_path, monkeypatch):
    monkeypatch.setattr(handover, "POLL_INTERVAL_S", 0.005)

    async def scene():
        elder, younger = process(tmp_path, []), process(tmp_path, [])
        await elder.start(lambda: True)
        fault = Fault(error, times=3)
        monkeypatch.setattr(handover, "os", Replaced(os, pwrite=fault.before(os.pwrite)))
        await younger.start(lambda: True)
        assert fault.met == 3 and elder.fit_reported
        elder.close(), younger.close()

    play_on(uvloop.run, scene)
