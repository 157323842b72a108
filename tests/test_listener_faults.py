"""Accepts and listening sockets whose system calls fail: in service, at the end and at the start.

The fault passes, the listener still accepts connections, each request has one response, no core spins.
"""

import asyncio
import os
import resource
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import cast

import pytest
import uvloop
from loopback import Bench, Client, Server, Table, call, record_outcomes, until
from retry_support import OPERATED, OPERATOR_CALL, RETRY_INTERVAL_S, max_retries, wait_for_retries
from system_call_faults import (
    ACCEPT,
    BOTH_LOOPS,
    SHORTAGES,
    Fault,
    Replaced,
    Run,
    count_calls,
    fail_accepts,
    play_on,
    with_each,
)

from balancer.net import node
from balancer.net.downstream import client_connections
from balancer.net.node import Node
from balancer.net.process import listener
from balancer.net.process.listener import Listener
from balancer.policy.interface import Outcome

pytestmark = pytest.mark.usefixtures("frequent_retries")

PLACES = 3  # where a node listens: for clients, for clients on an inherited socket, for operators


def inherited_listener() -> dict[str, str]:
    """A listening socket as the process before has handed it on."""
    held = socket.socket()
    held.bind(("127.0.0.1", 0))
    held.listen(64)
    return {"inherited": str(held.detach()), "listen": "127.0.0.1:1"}


@BOTH_LOOPS
@with_each(ACCEPT)
def test_accepts_fail_while_the_node_serves(
    run: Run, error: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure prevented: a shortage lasts, the queue stays readable, and the loop only fails to accept."""

    passes = count_calls(monkeypatch, Listener, "accept")

    async def served(
        place: str, given: Table, listener_of: Callable[[Node], Listener], request: bytes
    ) -> None:
        bench = await Bench(Server(), config=given).start()
        taking = listener_of(bench.node)
        fail_accepts(taking, fault := Fault(error))
        port = cast(socket.socket, taking.socket).getsockname()[1]
        clients = [await Client(port).open() for _ in range(3)]
        for client in clients:
            client.send(request)
        before = len(passes)
        seconds = await wait_for_retries()
        assert fault.met and len(passes) - before <= PLACES * max_retries(seconds), place
        fault.passes()
        assert [(await client.receive())[0] for client in clients] == [200] * 3, place
        assert (await (await Client(port).open()).ask(request))[0] == 200, place

    async def scene() -> None:
        by_hand = inherited_listener() | {"folder": str(tmp_path)}
        await asyncio.gather(
            served("clients", {}, lambda n: n.client_connections.listener, call()),
            served("handover", by_hand, lambda n: n.client_connections.listener, call()),
            served("management", OPERATED, lambda n: n.management.listener, OPERATOR_CALL),
        )

    play_on(run, scene)


@BOTH_LOOPS
@with_each(ACCEPT)
def test_accepts_fail_as_the_node_stops_listening(
    run: Run, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure prevented: the last look at the queue fails, and who waits there is reset by the close."""
    monkeypatch.setattr(client_connections, "ACCEPT_AFTER_TERM_S", 2 * RETRY_INTERVAL_S)

    async def scene() -> None:
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
        assert len(passes) <= max_retries(loop.time() - began)
        assert crowd.listener.socket is not None and not draining.done()
        fault.passes()
        assert (await waiting.receive())[0] == 200
        waiting.writer.close()
        await draining
        assert crowd.listener.socket is None

    play_on(run, scene)


@BOTH_LOOPS
@with_each(SHORTAGES)
def test_a_node_starts_though_sockets_are_short(
    run: Run, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure prevented: the process ends with `cannot listen`, and its host is without a node."""

    async def scene() -> None:
        fault = Fault(error, times=3)
        monkeypatch.setattr(listener, "socket", Replaced(socket, socket=fault.before(socket.socket)))
        bench = await Bench(Server(), config=OPERATED).start()
        assert fault.met == 3
        assert (await bench.once(call()))[0] == 200

    play_on(run, scene)


def test_a_start_is_given_up_where_a_shortage_lasts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node, "LISTEN_TIMEOUT_S", 3 * RETRY_INTERVAL_S)

    async def scene() -> None:
        fault = Fault(SHORTAGES[0])
        monkeypatch.setattr(listener, "socket", Replaced(socket, socket=fault.before(socket.socket)))
        with pytest.raises(OSError, match=os.strerror(SHORTAGES[0])):
            await Bench(Server()).start()
        assert fault.met > 1

    play_on(uvloop.run, scene)


@contextmanager
def no_descriptors() -> Iterator[None]:
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
def test_the_process_really_has_no_descriptor_left(run: Run) -> None:
    """Accepts and connects fail in the system itself, in uvloop's C code as well."""

    async def scene() -> None:
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
            await wait_for_retries()
            assert not server.requests and not outcomes
        assert (await held.receive())[0] == 200
        assert b"200 OK" in await loop.sock_recv(outside, 100)
        assert outcomes == [Outcome.OK] * 2 and bench.node.balancer.stats()["ejected"] == 0
        outside.close()

    play_on(run, scene)
