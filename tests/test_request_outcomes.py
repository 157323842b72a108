"""The outcomes of attempts on loopback sockets, and the responses that clients get for them."""

import asyncio
import os
import socket
import time
from types import SimpleNamespace

import pytest
from loopback import (
    OK,
    REJECTED,
    SECOND_US,
    SERVER_ERROR,
    UNAVAILABLE,
    Bench,
    Server,
    call,
    limit_send_buffers,
    record_outcomes,
    respond_with,
    run_scenario,
    small_buffer_listener,
    wait_until,
)
from unaccepting_listener import unaccepting_port

from balancer.net.upstream.connection import Connection
from balancer.net.upstream.exchange import Exchange
from balancer.policy.interface import Outcome

# ---- outcomes ----------------------------------------------------------------------------------------


def test_unsafe_request_retried_after_refused_connection():
    async def scenario():
        bench = await Bench(unreachable := Server(), alive := Server()).start()
        unreachable.server.close()
        for _ in range(6):
            assert (await bench.request_once(call("invite")))[0] == 200
        assert len(alive.requests) == 6

    run_scenario(scenario)


def test_unaccepted_connect_fails_at_connect_timeout():
    """A machine that is cut off does not respond, and must not cost a request its whole budget."""

    async def scenario():
        with unaccepting_port() as port:
            limits = {"connect_timeout": SECOND_US // 5}
            bench = await Bench(silent := Server(), alive := Server(), policy_limits=limits).start()
            silent.port = port
            bench.discovery.send_list(43, False, silent.entry("s0"))
            await wait_until(lambda: len(bench.discovery.requests) == 2)
            outcomes = []
            original_outcome = bench.node.balancer.outcome

            def outcome(now, request, number, server, outcome, *rest):
                outcomes.append(outcome)
                original_outcome(now, request, number, server, outcome, *rest)

            bench.node.balancer.outcome = outcome
            while Outcome.CONNECT_FAILED not in outcomes:
                # The request cannot have run, so it is retried.
                assert (await bench.request_once(call("invite")))[0] == 200
            assert set(outcomes) == {Outcome.CONNECT_FAILED, Outcome.OK}
            assert len(alive.requests) == outcomes.count(Outcome.OK)
            endpoints = bench.node.pool.endpoints.values()
            idle = sum(len(e.idle) for e in endpoints)
            assert bench.node.descriptor_budget.servers == idle  # Failed connects are released.

    run_scenario(scenario)


def test_unsafe_request_retried_after_rejection():
    async def scenario():
        bench = await Bench(Server(respond_with(REJECTED)), Server(respond_with(REJECTED))).start()
        status, headers, _ = await bench.request_once(call("invite"))
        assert status == 503 and float(headers["retry-after"]) > 0
        assert sum(len(s.requests) for s in bench.servers) == 3

    run_scenario(scenario)


@pytest.mark.parametrize("response", [UNAVAILABLE, SERVER_ERROR])
def test_unsafe_request_that_may_have_run_is_not_retried(response):
    """A 503 of a later tier, without the X-Rejected header, must not be taken for proof that nothing ran."""

    async def scenario():
        bench = await Bench(Server(respond_with(response)), Server(respond_with(response))).start()
        status = (await bench.request_once(call("invite")))[0]
        assert status not in (200, 429, 503)
        assert sum(len(s.requests) for s in bench.servers) == 1

    run_scenario(scenario)


def test_connection_reset_after_request_gets_502():
    async def scenario():
        async def reset_connection(request, writer):
            raise ConnectionResetError

        bench = await Bench(Server(reset_connection), Server(reset_connection)).start()
        assert (await bench.request_once(call("invite")))[0] == 502
        assert sum(len(s.requests) for s in bench.servers) == 1

    run_scenario(scenario)


def test_connection_lost_before_last_byte_is_connect_failed(monkeypatch):
    """A large request that the server received only in part must not fail as if it had run."""
    limit_send_buffers(monkeypatch)

    async def scenario():
        listener = small_buffer_listener()
        bench = await Bench(server := Server(), config={"known": None}).start()
        entry = server.entry("half", addr=f"127.0.0.1:{listener.getsockname()[1]}")
        bench.discovery.send_list(42, True, entry)
        await wait_until(lambda: bench.node.lifecycle.is_serving)
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(call("invite", body=b"x" * 65536))
        connection, _ = await asyncio.get_running_loop().sock_accept(listener)
        await wait_until(
            lambda: any(r.exchange and r.exchange.connection for r in bench.node.requests.pending.values())
        )
        listener.close()
        connection.close()
        assert (await client.receive())[0] == 503
        assert outcomes[0] == Outcome.CONNECT_FAILED

    run_scenario(scenario)


def test_attempt_timeout_closes_server_connection():
    """On a reused connection, a late response would be taken for the response to another request."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(None, OK))).start()
        start = time.monotonic()
        assert (await bench.request_once(call("invite", budget=1000)))[0] == 502
        assert time.monotonic() - start >= 0.9
        await wait_until(lambda: server.closed == 1)
        assert bench.node.requests.overdue_count == 0
        assert (await bench.request_once(call("invite")))[0] == 200 and server.connections == 2

    run_scenario(scenario)


def test_client_disconnect_cancels_only_its_attempt():
    async def scenario():
        bench = await Bench(server := Server(respond_with(None))).start()
        leaving, staying = await bench.client(), await bench.client()
        leaving.send(call("invite"))
        staying.send(call("invite"))
        await wait_until(lambda: len(server.requests) == 2)
        leaving.writer.close()
        await wait_until(lambda: server.closed == 1)
        assert len(bench.node.requests.pending) == 1 and server.connections == 2

    run_scenario(scenario)


def test_connection_closed_by_server_is_not_reused():
    async def scenario():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        assert (await client.request(call("invite")))[0] == 200

        async def respond_and_close(request, writer):
            return OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")

        server.handle = respond_and_close
        for _ in range(3):
            assert (await client.request(call("invite")))[0] == 200
        assert server.connections == 3

    run_scenario(scenario)


def test_unread_server_close_prevents_connection_reuse():
    """A close that waits in the socket is seen before the connection is used.

    An unsafe request written to such a connection would count as one that may have run.
    """

    async def scenario():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        assert (await client.request(call("invite")))[0] == 200
        (endpoint,) = bench.node.pool.endpoints.values()
        (idle,) = endpoint.idle
        (writer,) = server.writers
        with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as duplicate:
            duplicate.shutdown(socket.SHUT_WR)  # From here on, the node's event loop does not run.
            assert bench.node.pool.acquire(endpoint) is None
        assert (await client.request(call("invite")))[0] == 200

    run_scenario(scenario)


def test_connection_lost_before_write_is_connect_failed():
    """A server at its connection limit accepts a connection and closes it at once.

    The write then fails; the attempt must end, and not count at its timeout as one that may have run.
    """

    async def scenario():
        bench = await Bench(server := Server()).start()
        pool, (endpoint,) = bench.node.pool, bench.node.pool.endpoints.values()
        loop = asyncio.get_running_loop()
        connection = Connection(pool, endpoint)
        await loop.create_connection(lambda: connection, "127.0.0.1", server.port)
        connection_lost = loop.create_future()
        connection.pool = SimpleNamespace(
            on_connection_lost=connection_lost.set_result, memory_budget=pool.memory_budget
        )
        connection.close()
        await connection_lost
        outcomes = []
        sent = asyncio.Event()
        exchange = Exchange(
            pool, endpoint, call, lambda outcome, response: outcomes.append(outcome), sent.set
        )
        exchange.send(connection)
        assert outcomes == [Outcome.CONNECT_FAILED] and not sent.is_set()

    run_scenario(scenario)


def test_rejection_without_servers_has_retry_after():
    """A request that no server can get is rejected at once, not near its deadline."""

    async def scenario():
        bench = await Bench().start()
        status, headers, _ = await bench.request_once(call(budget=19000))
        assert status == 503 and float(headers["retry-after"]) > 0

    run_scenario(scenario)


def test_every_rejection_has_retry_after():
    """A client that is rejected without a delay would retry at once."""

    async def scenario():
        # The setting `retry_after` applies to the simulated clients only.
        limits = {"retry_after": False, "max_open": 1}
        bench = await Bench(server := Server(respond_with(None)), policy_limits=limits).start()
        (first := await bench.client()).send(call())
        await wait_until(lambda: len(server.requests) == 1)
        assert float((await bench.request_once(call()))[1]["retry-after"]) > 0  # The node rejects it.
        first.writer.close()
        await wait_until(lambda: not bench.node.requests.pending)
        bench.node.balancer.controller.in_flight = 1000
        status, headers, _ = await bench.request_once(call())  # The policy rejects it.
        assert status == 503 and float(headers["retry-after"]) > 0

    run_scenario(scenario)


def test_request_without_budget_is_not_sent():
    async def scenario():
        bench = await Bench(server := Server()).start()
        assert (await bench.request_once(call("invite", budget=0)))[0] == 503
        assert not server.requests

    run_scenario(scenario)


# ---- failures of the policy ---------------------------------------------------------------------------


def test_request_left_open_by_policy_gets_504():
    async def scenario():
        bench = await Bench(Server()).start()
        bench.node.balancer.request = lambda *args: None
        assert (await bench.request_once(call(budget=50)))[0] == 504
        assert bench.node.requests.overdue_count == 1

    run_scenario(scenario)


def test_exception_in_node_gets_500_for_that_request():
    """An exception that reached the event loop would close the connection without a response."""

    async def scenario():
        bench = await Bench(Server()).start()
        bench.node.requests.validator.classes = None
        client = await bench.client()
        assert (await client.request(call()))[0] == 500
        bench.node.requests.validator.classes = {b"view": 0}
        assert (await client.request(call()))[0] == 200

    run_scenario(scenario)


def test_exception_in_policy_gets_500_for_that_request():
    async def scenario():
        bench = await Bench(Server()).start()
        original_request = bench.node.balancer.request

        def raise_error(*args):
            raise RuntimeError("boom")

        bench.node.balancer.request = raise_error
        assert (await bench.request_once(call()))[0] == 500
        bench.node.balancer.request = original_request
        assert (await bench.request_once(call()))[0] == 200

    run_scenario(scenario)
