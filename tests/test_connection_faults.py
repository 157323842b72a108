"""Connections to servers and of clients whose system calls fail, are short or are interrupted."""

import asyncio
import signal
import socket

import pytest
from loopback import Bench, Request, Server, call, gated, record_outcomes, until
from retry_support import OPERATED, max_retries
from system_call_faults import (
    BOTH_LOOPS,
    BROKEN,
    CONNECT_HERE,
    CONNECT_THERE,
    Fault,
    Run,
    accepted_at,
    fail_connects,
    fail_reads,
    fail_socket_calls,
    is_uvloop,
    play_on,
    towards,
    with_each,
)

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.upstream.connection import Connection
from balancer.policy.interface import Outcome

pytestmark = pytest.mark.usefixtures("frequent_retries")

# ---- connections to servers -------------------------------------------------------------------------------


@BOTH_LOOPS
@pytest.mark.parametrize("klass", ["view", "invite"])
@with_each(CONNECT_HERE)
def test_this_machine_cannot_connect_for_a_moment(
    run: Run, klass: str, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure prevented: a shortage uses up all attempts at once, and servers are ejected for it."""

    async def scene() -> None:
        bench = await Bench(one := Server(), two := Server()).start()
        outcomes = record_outcomes(bench)
        fail_connects(monkeypatch, fault := Fault(error, times=4), one.port, two.port)
        assert (await bench.once(call(klass)))[0] == 200
        assert fault.met == 4 and outcomes == [Outcome.OK]
        assert len(one.requests + two.requests) == 1

    play_on(run, scene)


@BOTH_LOOPS
@with_each(CONNECT_HERE)
def test_this_machine_cannot_connect_for_a_request_s_whole_time(
    run: Run, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        bench = await Bench(one := Server(), two := Server()).start()
        outcomes = record_outcomes(bench)
        fail_connects(monkeypatch, fault := Fault(error), one.port, two.port)
        client = await bench.client()
        began = loop.time()
        status, headers, _ = await client.ask(call("invite", budget=100))
        attempts = len(outcomes)
        assert (status, set(outcomes)) == (503, {Outcome.NOT_SENT}) and "retry-after" in headers
        assert fault.met <= attempts * max_retries(loop.time() - began)
        assert bench.node.balancer.stats()["ejected"] == 0
        fault.passes()
        assert (await client.ask(call("invite")))[0] == 200
        assert len(one.requests + two.requests) == 1 and bench.node.descriptor_budget.servers == 1

    play_on(run, scene)


@BOTH_LOOPS
@pytest.mark.parametrize("klass", ["view", "invite"])
@with_each(CONNECT_THERE)
def test_a_connect_fails_on_its_way(
    run: Run, klass: str, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It never ran, so a request of any class goes to another server at once."""

    async def scene() -> None:
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
def test_a_connection_breaks_under_a_request(
    run: Run, klass: str, status: int, attempts: int, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may have run: only what is safe to repeat goes out again, and there is one answer."""

    async def scene() -> None:
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
def test_a_connection_breaks_as_a_request_is_written(
    klass: str, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On asyncio's loop, where the write is a call of Python's; no byte has gone, so it never ran."""

    async def scene() -> None:
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
def test_an_idle_connection_breaks(run: Run, error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
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
def test_a_client_s_connection_breaks_under_its_request(
    run: Run, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its attempt is given up, and the other clients' requests are answered."""

    async def scene() -> None:
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
def test_a_client_s_connection_breaks_as_its_answer_is_written(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On asyncio's loop; the node goes on, for this client's next connection too."""

    async def scene() -> None:
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
def test_reads_and_writes_are_short(run: Run, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each read brings a byte or two, and each write of asyncio's loop takes one."""
    body = bytes(range(256)) * 2

    async def echo(request: Request, writer: asyncio.StreamWriter) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(request.body), request.body)

    async def scene() -> None:
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
def test_waits_are_interrupted(run: Run) -> None:
    """A signal comes every millisecond, so that waits of the loop return EINTR all the time."""
    came = []
    before = signal.signal(signal.SIGALRM, lambda number, frame: came.append(number))

    async def scene() -> None:
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
