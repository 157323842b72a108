"""Server and client connections whose system calls fail, transfer few bytes or are interrupted."""

import asyncio
import errno
import signal
import socket
import time
from typing import Any

import pytest
from loopback import Bench, Request, Server, call, record_outcomes, respond_after, wait_until
from retry_support import MANAGEMENT_CONFIG, max_retries
from system_call_faults import (
    BOTH_LOOPS,
    BROKEN_CONNECTION_ERRORS,
    LOCAL_CONNECT_ERRORS,
    REMOTE_CONNECT_ERRORS,
    Fault,
    LoopRunner,
    accepted_at,
    connected_to,
    fail_connects,
    fail_reads,
    fail_socket_calls,
    for_each_error,
    is_uvloop,
    run_scenario_on,
)

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.upstream.connection import Connection
from balancer.net.upstream.exchange import Exchange
from balancer.policy.interface import Outcome

pytestmark = pytest.mark.usefixtures("frequent_retries")

# ---- Connections to servers ----------------------------------------------------------------------


@BOTH_LOOPS
@pytest.mark.parametrize("request_class", ["view", "invite"])
@for_each_error(LOCAL_CONNECT_ERRORS)
def test_local_connect_shortage_is_retried_without_ejection(
    run: LoopRunner, request_class: str, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A brief local shortage must not use up all attempts or eject servers."""

    async def scenario() -> None:
        bench = await Bench(server_a := Server(), server_b := Server()).start()
        outcomes = record_outcomes(bench)
        fail_connects(monkeypatch, fault := Fault(error, times=4), server_a.port, server_b.port)
        assert (await bench.request_once(call(request_class)))[0] == 200
        assert fault.hit_count == 4 and outcomes == [Outcome.OK]
        assert len(server_a.requests + server_b.requests) == 1

    run_scenario_on(run, scenario)


@BOTH_LOOPS
@for_each_error(LOCAL_CONNECT_ERRORS)
def test_local_connect_shortage_until_deadline_returns_503(
    run: LoopRunner, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        bench = await Bench(server_a := Server(), server_b := Server()).start()
        outcomes = record_outcomes(bench)
        fail_connects(monkeypatch, fault := Fault(error), server_a.port, server_b.port)
        client = await bench.client()
        started_at = loop.time()
        status, headers, _ = await client.request(call("invite", budget=100))
        attempts = len(outcomes)
        assert (status, set(outcomes)) == (503, {Outcome.NOT_SENT}) and "retry-after" in headers
        assert fault.hit_count <= attempts * max_retries(loop.time() - started_at)
        assert bench.node.balancer.stats()["ejected"] == 0
        fault.deactivate()
        assert (await client.request(call("invite")))[0] == 200
        assert len(server_a.requests + server_b.requests) == 1 and bench.node.descriptor_budget.servers == 1

    run_scenario_on(run, scenario)


@BOTH_LOOPS
def test_process_held_up_before_attempt_keeps_the_policys_response(
    run: LoopRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a 504 of the node that overtakes the policy's 503 for a request that never ran.

    The process is held up for 40 ms between the time from which an attempt counts and the start of its timer.
    """

    async def scenario() -> None:
        bench = await Bench(server_a := Server(), server_b := Server()).start()
        fail_connects(monkeypatch, Fault(errno.EMFILE), server_a.port, server_b.port)

        def create_late(*args: Any) -> Exchange:
            time.sleep(0.04)
            return Exchange(*args)

        monkeypatch.setattr("balancer.net.downstream.attempts.Exchange", create_late)
        client = await bench.client()
        started_at = time.monotonic()
        status, _, _ = await client.request(call("invite", budget=100))
        assert status == 503 and bench.node.requests.overdue_count == 0
        assert time.monotonic() - started_at >= 0.09

    run_scenario_on(run, scenario)


@BOTH_LOOPS
@pytest.mark.parametrize("request_class", ["view", "invite"])
@for_each_error(REMOTE_CONNECT_ERRORS)
def test_remote_connect_failure_is_retried_on_another_server(
    run: LoopRunner, request_class: str, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request cannot have run, so one of any class is sent to another server at once."""

    async def scenario() -> None:
        bench = await Bench(server_a := Server(), server_b := Server()).start()
        outcomes = record_outcomes(bench)
        fail_connects(monkeypatch, Fault(error, times=1), server_a.port, server_b.port)
        client = await bench.client()
        assert (await client.request(call(request_class)))[0] == 200
        assert outcomes == [Outcome.CONNECT_FAILED, Outcome.OK]
        assert len(server_a.requests + server_b.requests) == 1

    run_scenario_on(run, scenario)


@BOTH_LOOPS
@pytest.mark.parametrize(("request_class", "status", "attempts"), [("view", 200, 2), ("invite", 502, 1)])
@for_each_error(BROKEN_CONNECTION_ERRORS)
def test_connection_failure_retries_only_safe_class(
    run: LoopRunner,
    request_class: str,
    status: int,
    attempts: int,
    error: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request may have run, so only a class that is safe to repeat is retried."""

    async def scenario() -> None:
        bench = await Bench(server_a := Server(), server_b := Server()).start()
        outcomes = record_outcomes(bench)
        fault = Fault(error, times=1)
        for server in (server_a, server_b):
            fail_reads(monkeypatch, Connection, fault, connected_to(server.port))
        client = await bench.client()
        assert (await client.request(call(request_class)))[0] == status
        assert outcomes == [Outcome.RESET, Outcome.OK][:attempts] and fault.hit_count == 1
        assert len(server_a.requests + server_b.requests) == attempts
        assert (await client.request(call(request_class)))[0] == 200
        assert bench.node.descriptor_budget.servers == sum(
            len(e.idle) for e in bench.node.pool.endpoints.values()
        )

    run_scenario_on(run, scenario)


@pytest.mark.parametrize("request_class", ["view", "invite"])
@for_each_error(BROKEN_CONNECTION_ERRORS)
def test_write_failure_is_retried_on_another_server(
    request_class: str, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No byte was sent, so the request cannot have run and is retried whatever its class.

    Only asyncio's loop is tested, because it writes with a Python call that can be patched.
    """

    async def scenario() -> None:
        bench = await Bench(server_a := Server(), server_b := Server()).start()
        outcomes = record_outcomes(bench)
        fault = Fault(error, times=1)
        for server in (server_a, server_b):
            fail_socket_calls(monkeypatch, "send", fault, connected_to(server.port))
        assert (await bench.request_once(call(request_class)))[0] == 200
        assert outcomes == [Outcome.CONNECT_FAILED, Outcome.OK]
        assert len(server_a.requests + server_b.requests) == 1

    run_scenario_on(asyncio.run, scenario)


@BOTH_LOOPS
@for_each_error(BROKEN_CONNECTION_ERRORS)
def test_broken_idle_connection_is_replaced(
    run: LoopRunner, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        bench = await Bench(server := Server()).start()
        fail_reads(monkeypatch, Connection, fault := Fault(error, times=0), connected_to(server.port))
        client = await bench.client()
        assert (await client.request(call("invite")))[0] == 200
        fault.activate(1)
        server.writers[0].write(b"x")
        await wait_until(lambda: fault.hit_count == 1 and bench.node.descriptor_budget.servers == 0)
        assert (await client.request(call("invite")))[0] == 200
        assert server.connections == 2 and len(server.requests) == 2

    run_scenario_on(run, scenario)


# ---- Connections of clients ----------------------------------------------------------------------


@BOTH_LOOPS
@for_each_error(BROKEN_CONNECTION_ERRORS)
def test_client_connection_failure_cancels_only_its_request(
    run: LoopRunner, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The attempt of the broken connection is canceled, and other clients are still answered."""

    async def scenario() -> None:
        release = asyncio.Event()
        bench = await Bench(server := Server(respond_after(release))).start()
        outcomes = record_outcomes(bench)
        fail_reads(monkeypatch, ClientConnection, fault := Fault(error, times=0), accepted_at(bench.port))
        broken, healthy = await bench.client(), await bench.client()
        broken.send(call())
        await wait_until(lambda: len(server.requests) == 1)
        healthy.send(call())
        await wait_until(lambda: len(server.requests) == 2)
        fault.activate(1)
        broken.send(b"G")
        await wait_until(lambda: fault.hit_count == 1 and len(bench.node.requests.pending) == 1)
        assert outcomes == [Outcome.CANCELLED]
        release.set()
        assert (await healthy.receive())[0] == 200
        await wait_until(lambda: bench.node.descriptor_budget.clients == 1)

    run_scenario_on(run, scenario)


@for_each_error(BROKEN_CONNECTION_ERRORS)
def test_client_write_failure_leaves_node_serving(error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """The node goes on serving after a failed write, also a new connection of the same client.

    Only asyncio's loop is tested, because it writes with a Python call that can be patched.
    """

    async def scenario() -> None:
        bench = await Bench(Server()).start()
        fault = Fault(error, times=1)
        client = await bench.client()
        fail_socket_calls(monkeypatch, "send", fault, accepted_at(bench.port))
        client.send(call())
        assert await client.ended() and fault.hit_count == 1
        await wait_until(
            lambda: bench.node.descriptor_budget.clients == 0 and not bench.node.requests.pending
        )
        assert (await bench.request_once(call()))[0] == 200

    run_scenario_on(asyncio.run, scenario)


# ---- Short reads and writes, interrupted waits ---------------------------------------------------


@BOTH_LOOPS
def test_short_reads_and_writes_preserve_bodies(run: LoopRunner, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each read returns one byte, and each write of asyncio's loop sends one."""
    body = bytes(range(256)) * 2

    async def echo(request: Request, writer: asyncio.StreamWriter) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(request.body), request.body)

    async def scenario() -> None:
        bench = await Bench(server := Server(echo)).start()
        bench.node.memory_budget.read_buffer = bytearray(1)
        if not is_uvloop():
            send = socket.socket.send
            monkeypatch.setattr(
                socket.socket, "send", lambda self, data, *flags: send(self, data[:1]), raising=False
            )
        status, _, answer = await bench.request_once(call("offer", body=body))
        assert (status, answer) == (200, body)
        assert [request.body for request in server.requests] == [body]

    run_scenario_on(run, scenario)


@BOTH_LOOPS
def test_interrupted_waits_leave_requests_unaffected(run: LoopRunner) -> None:
    """A signal arrives every millisecond, so that waits of the event loop return EINTR."""
    received_signals = []
    previous_handler = signal.signal(signal.SIGALRM, lambda number, frame: received_signals.append(number))

    async def scenario() -> None:
        bench = await Bench(server := Server(), config=MANAGEMENT_CONFIG).start()
        client = await bench.client()
        for _ in range(20):
            assert (await client.request(call("invite")))[0] == 200
            await asyncio.sleep(0.002)
        assert (await bench.request_once(call()))[0] == 200
        assert len(server.requests) == 21

    signal.setitimer(signal.ITIMER_REAL, 0.001, 0.001)
    try:
        run_scenario_on(run, scenario)
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)
    assert len(received_signals) > 10
