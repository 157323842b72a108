"""The operators' terms for requests while a node shuts down: their responses and deadlines."""

import asyncio

import pytest
from loopback import (
    SECOND_US,
    Bench,
    DelayedConnectLoop,
    FakeTimeLoop,
    Server,
    call,
    respond_with,
    run_scenario,
    settings,
    wait_until,
)

from balancer.net.downstream import client_connections as connections_module
from balancer.net.node import MAX_SHUTDOWN_DEADLINE_US, SHUTDOWN_GRACE_US
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES

# Time beyond the longest deadline after which the process may be killed.
KILL_DELAY_S = 0.7


def deadline_settings(seconds: float, **changes):
    """Return settings whose classes have this deadline, with at most two attempts per request."""
    table = settings(policy_limits={"max_attempts": 2}, **changes)
    for request_class in table["classes"]:
        request_class["goal_time"] = request_class["hard_limit"] = int(seconds * SECOND_US)
    return table


def freeze_clocks(bench, monkeypatch):
    """Stop the clocks of the client connections and of the requests; return the clock that moves both."""
    node = bench.node
    clock = FakeTimeLoop(node.loop, node.loop.time())
    monkeypatch.setattr(node.client_connections, "loop", clock)
    start, origin = clock.now, node.event_queue.now()
    monkeypatch.setattr(node.event_queue, "now", lambda: origin + int((clock.now - start) * SECOND_US))
    return clock


# ---- the process is killed after SIGTERM -----------------------------------------------------------

LONG_HEAD = call("offer").partition(b"Content-Length")[0] + b"Content-Length: %d\r\n\r\n" % (
    4 * MAX_BUFFERED_BYTES
)
UNFINISHED_REQUESTS = {
    "nothing": b"",
    "half a head": call()[:40],
    "half a body": call("offer", body=bytes(1000))[:-500],
    "half a long body": LONG_HEAD + bytes(10),
}


READING_PAUSED = pytest.param(
    12.0, LONG_HEAD + bytes(2 * MAX_BUFFERED_BYTES), id="12.0-half a long body, read no further"
)
CASES = [
    pytest.param(deadline, sent, id=f"{deadline}-{name}")
    for deadline in (0.05, 0.3, 3.0, 12.0)
    for name, sent in UNFINISHED_REQUESTS.items()
]


@pytest.mark.parametrize(("deadline", "sent"), [*CASES, READING_PAUSED])
def test_incomplete_requests_rejected_before_shutdown_kill(sent, deadline, monkeypatch):
    """All connections are closed in time: a request on one that is open at the kill would get no response."""

    async def scenario():
        # The process may be delayed by up to 0.15 s.
        assert SHUTDOWN_GRACE_US / SECOND_US + connections_module.DRAIN_CHECK_INTERVAL_S < KILL_DELAY_S - 0.15
        bench = await Bench(Server(), **deadline_settings(deadline)).start()
        bench.node.pool.loop = DelayedConnectLoop(
            asyncio.get_running_loop()
        )  # No server receives a long body.
        clock = freeze_clocks(bench, monkeypatch)
        client = await bench.client()
        client.send(sent)
        client_connections = bench.node.client_connections
        await wait_until(lambda: len(client_connections.connections) == 1)
        (connection,) = client_connections.connections
        await wait_until(lambda: bool(connection.transport))
        if sent:
            await wait_until(
                lambda: (
                    connection.partial_request is not None
                    and (len(sent) < MAX_BUFFERED_BYTES or connection.reading_paused)
                )
            )
        drain = asyncio.create_task(bench.node.drain())
        await wait_until(lambda: client_connections.is_draining)
        clock.now += min(deadline, MAX_SHUTDOWN_DEADLINE_US / SECOND_US) + SHUTDOWN_GRACE_US / SECOND_US
        if sent:
            status, headers, _ = await client.receive()
            assert (status, headers["connection"]) == (503, "close")
        assert await client.ended()
        client.writer.close()
        await asyncio.wait_for(drain, 20)
        assert bench.node.descriptor_budget.clients == 0 and bench.node.memory_budget.held_bytes == 0

    run_scenario(scenario)


@pytest.mark.parametrize("deadline", [0.3, 3.0])
def test_requests_accepted_until_last_response_is_due(deadline, monkeypatch):
    """A request that is read before the last response is due is attempted; a later one is rejected."""

    async def scenario():
        bench = await Bench(server := Server(), **deadline_settings(deadline)).start()
        clock = freeze_clocks(bench, monkeypatch)
        early, late = await bench.client(), await bench.client()
        client_connections = bench.node.client_connections
        await wait_until(
            lambda: (
                len(client_connections.connections) == 2
                and all(c.transport for c in client_connections.connections)
            )
        )
        drain = asyncio.create_task(bench.node.drain())
        await wait_until(lambda: client_connections.is_draining)
        clock.now += deadline + SHUTDOWN_GRACE_US / SECOND_US - 0.05
        status, headers, _ = await early.request(call("invite"))
        assert (status, headers["connection"], len(server.requests)) == (200, "close", 1)
        early.writer.close()
        monkeypatch.setattr(
            connections_module.ClientConnection, "close_without_request", lambda self: None, raising=False
        )
        clock.now += 0.06
        status, headers, _ = await late.request(call("invite"))
        assert (status, headers["connection"], len(server.requests)) == (503, "close", 1)
        late.writer.close()
        await asyncio.wait_for(drain, 20)

    run_scenario(scenario)


@pytest.mark.parametrize("effect", ["view", "invite", "offer"])
def test_long_request_gets_504_before_shutdown_kill(effect, monkeypatch):
    """A request whose deadline is 12 s away gets a response, as the process is killed 3.7 s after SIGTERM."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(None)), **deadline_settings(12.0)).start()
        client = await bench.client()
        client.send(call(effect, budget=12000))
        await wait_until(lambda: len(server.requests) == 1)
        monkeypatch.setattr("balancer.net.node.MAX_SHUTDOWN_DEADLINE_US", SECOND_US // 10)
        monkeypatch.setattr("balancer.net.node.SHUTDOWN_GRACE_US", 0)
        drain = asyncio.create_task(bench.node.drain())
        status, headers, _ = await asyncio.wait_for(client.receive(), 5)
        assert (status, headers["connection"]) == (504, "close")
        client.writer.close()
        await asyncio.wait_for(drain, 20)
        assert bench.node.requests.overdue_count == 0

    run_scenario(scenario)
