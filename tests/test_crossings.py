"""Two events that cross, on loopback sockets, in both orders: rows of docs/crossings.md name these tests."""

import asyncio
import json
import socket
from types import SimpleNamespace

import pytest
from loopback import (
    MOMENT,
    OK,
    Bench,
    Discovery,
    Server,
    always,
    call,
    gated,
    play,
    record_outcomes,
    settings,
    until,
)

from balancer.net import node as node_module
from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.policy.interface import Outcome

LONG = bytes(4 * MAX_BUFFERED_BYTES)
FLOWS = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG), LONG)


# ---- connections to servers -------------------------------------------------------------------------------


def test_a_client_takes_no_more_as_the_last_piece_of_its_answer_comes(monkeypatch):
    """Failure prevented: the connection goes back among the idle ones with its reading off, and is deaf."""

    async def scene():
        bench = await Bench(server := Server(always(FLOWS))).start()
        passed = 0
        piece = ClientConnection.write_stream

        def last_fills(caller, data):
            nonlocal passed
            piece(caller, data)
            passed += len(data)
            if passed == len(LONG):
                caller.pause_writing()  # as the transport does within this very write

        monkeypatch.setattr(ClientConnection, "write_stream", last_fills)
        client = await bench.client()
        assert (await client.ask(call()))[2] == LONG
        (caller,) = bench.node.client_connections.connections
        caller.resume_writing()
        server.handle = always(OK)
        assert (await client.ask(call("invite", budget=5000)))[0] == 200
        assert server.connections == 1

    play(scene)


@pytest.mark.parametrize("count", [2, 7])
def test_exchanges_that_begin_in_one_turn_share_what_room_there_is(count):
    """Failure prevented: each finds the last free place, and all of them open a connection."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(Server(gated(release)), Server(gated(release))).start()
        pool = bench.node.pool
        outcomes = record_outcomes(bench)
        pool.descriptor_budget.resize(40, 40)
        pool.descriptor_budget.servers += pool.descriptor_budget.max_servers() - 1  # one place is left
        clients = [await bench.client() for _ in range(count)]
        await until(
            lambda: len([c for c in bench.node.client_connections.connections if c.transport]) == count
        )
        for caller in list(bench.node.client_connections.connections):
            data = call("view")
            bench.node.memory_budget.read_buffer[: len(data)] = data
            caller.buffer_updated(len(data))
        assert pool.descriptor_budget.servers <= pool.descriptor_budget.max_servers()
        release.set()
        for client in clients:
            await client.receive()
        assert Outcome.CONNECT_FAILED in outcomes and pool.opened_count == 1

    play(scene)


# ---- lists ------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("part", [0, 1, 40, -1], ids=["empty", "a byte", "a part", "all but a byte"])
@pytest.mark.parametrize("signals", [1, 2])
def test_a_configuration_half_written_at_the_signal_is_read_once_it_is_whole(tmp_path, part, signals, capsys):
    """Failure prevented: no second signal comes, and the node asks an address that is given up for good."""

    async def scene():
        bench = await Bench(Server()).start()
        await (second := Discovery()).start()
        file = tmp_path / "config.json"
        whole = json.dumps({"name": "n0", "discovery": f"127.0.0.1:{second.port}"})
        file.write_text(whole[:part])
        for _ in range(signals):
            bench.node.reload({"LB_CONFIG": str(file)})
        assert bench.node.reloading is not None and not second.connections
        file.write_text(whole)
        bench.node.discovery.watch(True)
        await until(lambda: bool(second.requests))
        assert bench.node.reloading is None

    play(scene)
    lines = [line for line in capsys.readouterr().err.splitlines() if " reload" in line]
    assert len(lines) == signals + 1 and "will be read again" in lines[0]


def test_a_configuration_that_stays_unreadable_is_given_up_with_a_line(tmp_path, monkeypatch, capsys):
    async def scene():
        monkeypatch.setattr(node_module, "RELOAD_RETRY_S", 0.0)
        bench = await Bench(Server()).start()
        address = bench.node.discovery.address
        bench.node.reload({"LB_CONFIG": str(tmp_path / "none.json")})
        await until(lambda: bench.node.reloading is None)
        assert bench.node.discovery.address == address

    play(scene)
    lines = [line for line in capsys.readouterr().err.splitlines() if " reload" in line]
    assert len(lines) == 2 and lines[1].endswith("given up")


async def served(bench: Bench) -> set[str]:
    """The names of the servers that the node takes for ready, by who answers."""
    return {f"s{i}" for i, s in enumerate(bench.servers) if any(
        e.ready and e.port == s.port for e in bench.node.pool.endpoints.values())}  # fmt: skip


@pytest.mark.parametrize("full", [True, False])
@pytest.mark.parametrize("between", [True, False])
def test_an_answer_older_than_the_list_in_hand_brings_nobody_back(full, between, capsys):
    """Both orders: the old answer after the newer one, once, and once more after a good one in between."""

    async def scene():
        bench = await Bench(gone := Server(), stays := Server(), discovery="push").start()
        told = bench.discovery
        told.say(50, True, stays.entry("s1"))
        told.say(45, full, gone.entry("s0"), stays.entry("s1"))
        if between:
            told.say(51, False)
            told.say(45, full, gone.entry("s0"), stays.entry("s1"))
        told.say(52, False)
        await until(lambda: bench.node.discovery.version == 52)
        assert await served(bench) == {"s1"}
        await until(lambda: len(told.requests) == 4 + 2 * between)
        assert bench.node.discovery.fetch_call is None

    play(scene)
    lines = [line for line in capsys.readouterr().err.splitlines() if "older than the list" in line]
    assert len(lines) == 1 + between


def test_a_discovery_that_began_its_versions_anew_is_believed_at_the_second_answer():
    """Failure prevented: its changes are dropped as old for as long as its versions are lower."""

    async def scene():
        bench = await Bench(Server(), stays := Server(), discovery="push").start()
        told = bench.discovery
        told.say(50, True, *(s.entry(f"s{i}") for i, s in enumerate(bench.servers)))
        told.say(2, True, stays.entry("s1"))
        told.say(2, True, stays.entry("s1"))
        await until(lambda: bench.node.discovery.version == 2)
        assert await served(bench) == {"s1"}

    play(scene)


@pytest.mark.parametrize("order", ["whole list first", "a change first"])
def test_a_discovery_anew_that_tells_changes_alone_is_asked_for_the_whole_list(order):
    """The watch's next answer and the whole list cross: whichever comes first, the last word is the newer."""

    async def scene():
        bench = await Bench(Server(), stays := Server(), discovery="push").start()
        told, node = bench.discovery, bench.node
        told.say(50, True, *(s.entry(f"s{i}") for i, s in enumerate(bench.servers)))
        told.say(2, False)
        told.say(2, False)
        await until(lambda: node.discovery.fetch_call is not None and node.discovery.watch_call is not None)
        whole = json.dumps({"version": 2, "full": True, "servers": [stays.entry("s1")]}).encode()
        change = json.dumps({"version": 3, "full": False, "servers": []}).encode()
        fetching, watching = node.discovery.fetch_call, node.discovery.watch_call
        assert fetching is not None and watching is not None
        if order == "a change first":
            node.discovery.on_watch_response(watching, change)
            node.discovery.on_fetch_response(fetching, whole)
            node.discovery.on_watch_response(node.discovery.watch_call, change)
        else:
            node.discovery.on_fetch_response(fetching, whole)
            node.discovery.on_watch_response(watching, change)
        assert await served(bench) == {"s1"} and node.discovery.version == 3

    play(scene)


# ---- ends -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("read", [True, False], ids=["half read", "in the socket"])
@pytest.mark.parametrize("leaving", [True, False])
def test_the_last_answer_is_written_as_the_next_request_has_begun_to_come(read, leaving):
    """Failure prevented: the node leaves, and a request that its client has written is thrown away."""

    async def scene():
        bench = await Bench(server := Server(always(None))).start()
        node = bench.node
        client = socket.create_connection(("127.0.0.1", bench.port))
        client.setblocking(False)
        client.send(call())
        await until(lambda: len(server.requests) == 1)
        (request,) = node.requests.pending.values()
        caller = request.client
        assert caller is not None
        if leaving:
            drain = asyncio.create_task(node.drain())
            await until(lambda: node.client_connections.is_draining)
        half = len(call()) // 2
        client.send(call()[:half])
        if read:
            await until(lambda: caller.partial is not None)
        node.requests.respond(request.id, 504)
        server.handle = always(OK)
        client.send(call()[half:])
        answers = b""
        loop = asyncio.get_running_loop()
        while answers.count(b"HTTP/1.1 ") < 2:
            more = await loop.sock_recv(client, 9999)
            assert more, "the connection ended with a request unanswered"
            answers += more
        first, _, second = answers.partition(b"HTTP/1.1 200")
        assert b"Connection: close" not in first and (b"Connection: close" in second) == leaving
        client.close()
        if leaving:
            await asyncio.wait_for(drain, 20)

    play(scene)


def test_a_listener_that_ends_without_room_keeps_its_queue(monkeypatch):
    """Failure prevented: at SIGTERM all room is taken, and who waits in the queue is reset by the close."""

    async def scene():
        monkeypatch.setattr("balancer.net.downstream.client_connections.ACCEPT_AFTER_TERM_S", 0.0)
        bench = await Bench(Server()).start()
        listener = bench.node.client_connections.listener
        room, listener.has_capacity = listener.has_capacity, lambda: False
        listener.update()
        client = await bench.client()  # the system has taken it, the node has not
        client.send(call())
        drain = asyncio.create_task(bench.node.drain())
        await until(lambda: bench.node.client_connections.is_draining)
        listener.stop()
        listener.has_capacity = room
        assert (await client.receive())[0] == 200
        assert await client.ended()
        client.writer.close()
        await asyncio.wait_for(drain, 20)
        assert listener.socket is None

    play(scene)


@pytest.mark.parametrize("waited", [0.0, 30.0])
def test_the_time_of_a_request_runs_while_it_waits_behind_another(waited):
    """Failure prevented: it is given its whole time as its turn comes, and is answered after its client's."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(server := Server(gated(release))).start()
        client = await bench.client()
        client.send(call() + call(budget=15000))
        await until(lambda: any(c.pipelined for c in bench.node.client_connections.connections))
        (caller,) = bench.node.client_connections.connections
        caller.pipelined[0].received_at -= waited
        release.set()
        assert (await client.receive())[0] == 200
        status = (await client.receive())[0]
        assert (status, len(server.requests)) == ((200, 2) if waited == 0 else (503, 1))

    play(scene)


@pytest.mark.parametrize("order", ["whole first", "end first"])
def test_a_long_body_comes_whole_as_the_node_is_told_to_end(order):
    """Failure prevented: its time begins with its last byte, and lasts beyond the process's."""

    async def scene():
        bench = await Bench(server := Server(always(None))).start()
        node = bench.node
        client = await bench.client()
        size = 2 * MAX_BUFFERED_BYTES
        data = call("offer", budget=600_000).partition(b"Content-Length")[0]
        client.send(data + b"Content-Length: %d\r\n\r\n" % size + bytes(size - 1))
        await until(
            lambda: any(
                r.message.upload and r.message.upload.is_discarded for r in node.requests.pending.values()
            )
        )
        (request,) = node.requests.pending.values()
        if order == "whole first":
            client.send(b"x")
            await until(lambda: len(server.requests) == 1 and request.guard is not None)
        drain = asyncio.create_task(node.drain())
        await until(lambda: node.requests.last_answer is not None)
        if order == "end first":
            client.send(b"x")
            await until(lambda: len(server.requests) == 1 and request.guard is not None)
            assert node.requests.last_answer is not None and request.deadline <= node.requests.last_answer
        client.writer.transport.abort()
        await asyncio.wait_for(drain, 20)

    play(scene)


BAD = {
    "cut": b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{",
    "spoilt": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}}",
    "of another service": b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"leader": 1}',
    "no answer": b"SSH-2.0-OpenSSH\r\n\r\n",
    "a failure": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "twice": OK + OK,
}


@pytest.mark.parametrize("answer", BAD.values(), ids=list(BAD))
@pytest.mark.parametrize("at", ["once", "byte by byte"])
def test_a_bad_answer_to_a_watch_leaves_the_list_and_is_asked_for_again(answer, at, capsys):
    async def scene():
        bench = await Bench(server := Server(), discovery="push").start()
        told, node = bench.discovery, bench.node
        told.say(50, True, server.entry("s0"))
        await until(lambda: node.discovery.version == 50 and len(told.requests) == 2)
        watch = node.discovery.watch_call
        assert watch is not None
        for data in [answer] if at == "once" else [answer[i : i + 1] for i in range(len(answer))]:
            if not watch.ended:
                watch.data_received(data)
        if not watch.ended:  # the rest never comes: its time runs out
            watch.fail()
        watch.data_received(answer)  # and comes late
        assert watch.transport is None and node.discovery.version == 50 and await served(bench) == {"s0"}
        await until(lambda: len(told.requests) == 3)
        assert told.requests[-1].target.startswith("/v1/endpoints?since=50&")
        told.answers.put_nowait(None)  # what the call that is over was waiting for
        told.say(51, True, server.entry("s0", "draining"))
        await until(lambda: node.discovery.version == 51)
        assert await served(bench) == set()

    play(scene)
    lines = [
        line for line in capsys.readouterr().err.splitlines() if "discovery:" in line or "failed" in line
    ]
    assert 1 <= len([line for line in lines if "failed" in line]) <= 2


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("watch", ["out", "connecting", "between two"])
def test_discovery_moves_while_a_watch_is_out_or_coming_up(watch, times):
    """The old address's answer, coming after all, tells nothing; one watch is out at the new one."""

    async def scene():
        bench = await Bench(server := Server(), discovery="push").start()
        told, discovery = bench.discovery, bench.node.discovery
        await (second := Discovery()).start()
        if watch != "connecting":
            await until(lambda: len(told.requests) == 1)
        old = discovery.watch_call
        assert old is not None
        if watch == "between two":
            discovery.watch(False)
        for _ in range(times):
            discovery.change_address(("127.0.0.1", second.port))
        listing = json.dumps({"version": 99, "full": True, "servers": []}).encode()
        old.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(listing), listing))
        discovery.watch(True)
        await until(lambda: len(second.requests) >= 1)
        assert discovery.version == 41
        second.answers.put_nowait(None) if times == 2 and len(second.requests) == 2 else None
        second.say(60, False, server.entry("s0", "draining"))
        await until(lambda: discovery.version == 60)
        assert await served(bench) == set()

    play(scene)


@pytest.mark.parametrize("order", ["failure first", "move first"])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_discovery_moves_as_the_watch_has_failed(mode, order):
    """The new address is asked at once, and not when the wait is over that the old one's silence began."""

    async def scene():
        bench = await Bench(server := Server(), discovery=mode).start()
        node, told, timers = bench.node, bench.discovery, []
        node.set_timer = lambda delay, token: timers.append(token)
        node.server_registry.loop = SimpleNamespace(call_later=lambda delay, *call: timers.append(call))
        await (second := Discovery()).start()
        await until(lambda: len(told.requests) == 1)
        there = ("127.0.0.1", second.port)
        if order == "move first":
            node.discovery.change_address(there)
            told.answers.put_nowait(None)
            await until(lambda: told.closed == 1)
        else:
            told.answers.put_nowait(None)
            await until(lambda: len(timers) == 1)
            node.discovery.change_address(there)
        await until(lambda: len(second.requests) == 1)
        second.say(60, False, server.entry("s0", "draining"))
        await until(lambda: node.discovery.version == 60 and len(second.requests) == 2)
        assert await served(bench) == set() and second.connections == 1
        node.discovery.watch(True)  # what the old one's failure had left for later
        second.say(61, False)
        await until(lambda: len(second.requests) == 3)
        assert second.connections == 1 and len(timers) == (order == "failure first")

    play(scene)


def test_a_discovery_that_is_down_is_asked_often_enough_whatever_the_settings_allow():
    """Failure prevented: it is back and a server drains, and the node still waits out its last failure."""

    async def scene():
        rules = settings()["rules"] | {"ask_within": 100 * MOMENT}
        bench = await Bench(Server(), discovery="ask", rules=rules).start()
        node, told, waits = bench.node, bench.discovery, []
        node.set_timer = lambda delay, token: waits.append(delay)
        for failures in range(1, 9):
            told.answers.put_nowait(None)
            await until(lambda count=failures: len(waits) == count)
            node.discovery.watch(True)
        # The page allows 6 s of silence, of which a silent watch takes two.
        assert max(waits) <= 1.5 * MOMENT and waits[-1] > waits[0]

    play(scene)
