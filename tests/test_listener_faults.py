"""Accepts and listening sockets whose system calls fail: while serving, at shutdown and at startup.

After the fault the listener accepts connections again and each request gets one response. Until then the
event loop does not spin.
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
from loopback import Bench, Client, ConfigTable, Server, call, record_outcomes, wait_until
from retry_support import (
    CONTROL_READY_REQUEST,
    MANAGEMENT_CONFIG,
    RETRY_INTERVAL_S,
    max_retries,
    wait_for_retries,
)
from system_call_faults import (
    ACCEPT_ERRORS,
    BOTH_LOOPS,
    RESOURCE_SHORTAGE_ERRORS,
    Fault,
    LoopRunner,
    ModuleProxy,
    count_calls,
    fail_accepts,
    for_each_error,
    run_scenario_on,
)

from balancer.net import node
from balancer.net.downstream import client_connections
from balancer.net.node import Node
from balancer.net.process import listener
from balancer.net.process.listener import Listener
from balancer.policy.interface import Outcome

pytestmark = pytest.mark.usefixtures("frequent_retries")

LISTENER_COUNT = 3  # Listeners for clients, for clients on an inherited socket, and for operators.


def inherited_listener() -> dict[str, str]:
    """Return the configuration of a node that inherits a listening socket."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    return {"inherited": str(listener.detach()), "listen": "127.0.0.1:1"}


@BOTH_LOOPS
@for_each_error(ACCEPT_ERRORS)
def test_failing_accepts_while_serving_are_retried_slowly(
    run: LoopRunner, error: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """During a shortage the socket stays readable; without a back-off the loop would spin."""

    accept_calls = count_calls(monkeypatch, Listener, "accept")

    async def check_listener(
        name: str, config: ConfigTable, get_listener: Callable[[Node], Listener], request: bytes
    ) -> None:
        bench = await Bench(Server(), config=config).start()
        node_listener = get_listener(bench.node)
        fail_accepts(node_listener, fault := Fault(error))
        port = cast(socket.socket, node_listener.socket).getsockname()[1]
        clients = [await Client(port).open() for _ in range(3)]
        for client in clients:
            client.send(request)
        calls_before = len(accept_calls)
        seconds = await wait_for_retries()
        assert fault.hit_count and len(accept_calls) - calls_before <= LISTENER_COUNT * max_retries(
            seconds
        ), name
        fault.deactivate()
        assert [(await client.receive())[0] for client in clients] == [200] * 3, name
        assert (await (await Client(port).open()).request(request))[0] == 200, name

    async def scenario() -> None:
        with_inherited = inherited_listener() | {"folder": str(tmp_path)}
        await asyncio.gather(
            check_listener("clients", {}, lambda n: n.client_connections.listener, call()),
            check_listener("handover", with_inherited, lambda n: n.client_connections.listener, call()),
            check_listener(
                "management", MANAGEMENT_CONFIG, lambda n: n.management.listener, CONTROL_READY_REQUEST
            ),
        )

    run_scenario_on(run, scenario)


@BOTH_LOOPS
@for_each_error(ACCEPT_ERRORS)
def test_failing_accepts_at_shutdown_reset_no_client(
    run: LoopRunner, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """When the last accept fails, the socket stays open: closing it would reset the waiting clients."""
    monkeypatch.setattr(client_connections, "ACCEPT_AFTER_TERM_S", 2 * RETRY_INTERVAL_S)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        accept_calls = count_calls(monkeypatch, Listener, "accept")
        stop_calls = count_calls(monkeypatch, Listener, "stop")
        bench = await Bench(Server()).start()
        connections = bench.node.client_connections
        fail_accepts(connections.listener, fault := Fault(error))
        started_at = loop.time()
        (waiting := await bench.client()).send(call())
        draining = asyncio.create_task(bench.node.drain())
        await wait_until(lambda: len(stop_calls) >= 2)
        assert len(accept_calls) <= max_retries(loop.time() - started_at)
        assert connections.listener.socket is not None and not draining.done()
        fault.deactivate()
        assert (await waiting.receive())[0] == 200
        waiting.writer.close()
        await draining
        assert connections.listener.socket is None

    run_scenario_on(run, scenario)


@BOTH_LOOPS
@for_each_error(RESOURCE_SHORTAGE_ERRORS)
def test_startup_retries_shortage_of_sockets(
    run: LoopRunner, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A shortage that lasts for a moment does not end the process with `cannot listen`."""

    async def scenario() -> None:
        fault = Fault(error, times=3)
        monkeypatch.setattr(listener, "socket", ModuleProxy(socket, socket=fault.wrap(socket.socket)))
        bench = await Bench(Server(), config=MANAGEMENT_CONFIG).start()
        assert fault.hit_count == 3
        assert (await bench.request_once(call()))[0] == 200

    run_scenario_on(run, scenario)


def test_startup_fails_if_shortage_outlasts_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node, "LISTEN_TIMEOUT_S", 3 * RETRY_INTERVAL_S)

    async def scenario() -> None:
        fault = Fault(RESOURCE_SHORTAGE_ERRORS[0])
        monkeypatch.setattr(listener, "socket", ModuleProxy(socket, socket=fault.wrap(socket.socket)))
        with pytest.raises(OSError, match=os.strerror(RESOURCE_SHORTAGE_ERRORS[0])):
            await Bench(Server()).start()
        assert fault.hit_count > 1

    run_scenario_on(uvloop.run, scenario)


@contextmanager
def no_descriptors() -> Iterator[None]:
    """Set the limit on descriptors so that this process cannot open any."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.open(os.devnull, os.O_RDONLY)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@BOTH_LOOPS
def test_process_without_free_descriptors_recovers(run: LoopRunner) -> None:
    """Accepts and connects fail in the kernel itself, also those of uvloop's C code."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        bench = await Bench(server := Server()).start()
        connected_client = await bench.client()
        waiting_client = socket.socket()
        waiting_client.setblocking(False)
        outcomes = record_outcomes(bench)
        with no_descriptors():
            await loop.sock_connect(waiting_client, ("127.0.0.1", bench.port))
            await loop.sock_sendall(waiting_client, call())
            connected_client.send(call())
            await wait_for_retries()
            assert not server.requests and not outcomes
        assert (await connected_client.receive())[0] == 200
        assert b"200 OK" in await loop.sock_recv(waiting_client, 100)
        assert outcomes == [Outcome.OK] * 2 and bench.node.balancer.stats()["ejected"] == 0
        waiting_client.close()

    run_scenario_on(run, scenario)
