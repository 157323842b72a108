"""The operators' terms on requests: their last answer, their client's leaving, their deadline."""

import asyncio

import pytest
from loopback import MOMENT, Bench, Clock, Late, Server, always, call, play, settings, until

from balancer.net.downstream import client_connections as node_callers
from balancer.net.node import MAX_SHUTDOWN_DEADLINE_US, SHUTDOWN_GRACE_US
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES

KILLED = 0.7  # seconds beyond the longest deadline after which the process may be killed


def deadline_settings(seconds: float, **changes):
    """Settings whose classes have this deadline, in a deployment of no more than two attempts."""
    table = settings(policy_limits={"max_attempts": 2}, **changes)
    for request_class in table["classes"]:
        request_class["goal_time"] = request_class["hard_limit"] = int(seconds * MOMENT)
    return table


def hold_clocks(bench, monkeypatch):
    """Stops the clocks of the clients' connections and of the requests; both move as the test says."""
    node = bench.node
    clock = Clock(node.loop, node.loop.time())
    monkeypatch.setattr(node.client_connections, "loop", clock)
    start, origin = clock.now, node.event_queue.now()
    monkeypatch.setattr(node.event_queue, "now", lambda: origin + int((clock.now - start) * MOMENT))
    return clock


# ---- the process is killed soon after SIGTERM -----------------------------------------------------------

LONG_HEAD = call("offer").partition(b"Content-Length")[0] + b"Content-Length: %d\r\n\r\n" % (
    4 * MAX_BUFFERED_BYTES
)
UNFINISHED = {
    "nothing": b"",
    "half a head": call()[:40],
    "half a body": call("offer", body=bytes(1000))[:-500],
    "half a long body": LONG_HEAD + bytes(10),
}


READ_NO_FURTHER = pytest.param(
    12.0, LONG_HEAD + bytes(2 * MAX_BUFFERED_BYTES), id="12.0-half a long body, read no further"
)
CASES = [
    pytest.param(deadline, sent, id=f"{deadline}-{name}")
    for deadline in (0.05, 0.3, 3.0, 12.0)
    for name, sent in UNFINISHED.items()
]


@pytest.mark.parametrize(("deadline", "sent"), [*CASES, READ_NO_FURTHER])
def test_no_connection_is_open_for_a_request_as_an_ending_process_may_be_killed(sent, deadline, monkeypatch):
    """Failure prevented: a request comes on a connection that is still open, and the process is killed."""

    async def scene():
        # A process held up for 0.15 s included.
        assert SHUTDOWN_GRACE_US / MOMENT + node_callers.DRAIN_CHECK_S < KILLED - 0.15
        bench = await Bench(Server(), **deadline_settings(deadline)).start()
        bench.node.pool.loop = Late(asyncio.get_running_loop())  # no server takes a long body
        clock = hold_clocks(bench, monkeypatch)
        client = await bench.client()
        client.send(sent)
        callers = bench.node.client_connections
        await until(lambda: len(callers.connections) == 1)
        (caller,) = callers.connections
        await until(lambda: bool(caller.transport))
        if sent:
            await until(
                lambda: (
                    caller.partial is not None and (len(sent) < MAX_BUFFERED_BYTES or caller.reading_paused)
                )
            )
        drain = asyncio.create_task(bench.node.drain())
        await until(lambda: callers.is_draining)
        clock.now += min(deadline, MAX_SHUTDOWN_DEADLINE_US / MOMENT) + SHUTDOWN_GRACE_US / MOMENT
        if sent:
            status, headers, _ = await client.receive()
            assert (status, headers["connection"]) == (503, "close")
        assert await client.ended()
        client.writer.close()
        await asyncio.wait_for(drain, 20)
        assert bench.node.descriptor_budget.clients == 0 and bench.node.memory_budget.held_bytes == 0

    play(scene)


@pytest.mark.parametrize("deadline", [0.3, 3.0])
def test_a_new_connection_may_bring_its_request_until_the_last_answer_is_due(deadline, monkeypatch):
    """One read as the time is over is refused at once, with no attempt; one read before is attempted."""

    async def scene():
        bench = await Bench(server := Server(), **deadline_settings(deadline)).start()
        clock = hold_clocks(bench, monkeypatch)
        early, late = await bench.client(), await bench.client()
        callers = bench.node.client_connections
        await until(lambda: len(callers.connections) == 2 and all(c.transport for c in callers.connections))
        drain = asyncio.create_task(bench.node.drain())
        await until(lambda: callers.is_draining)
        clock.now += deadline + SHUTDOWN_GRACE_US / MOMENT - 0.05
        status, headers, _ = await early.ask(call("invite"))
        assert (status, headers["connection"], len(server.requests)) == (200, "close", 1)
        early.writer.close()
        monkeypatch.setattr(
            node_callers.ClientConnection, "close_without_request", lambda self: None, raising=False
        )
        clock.now += 0.06
        status, headers, _ = await late.ask(call("invite"))
        assert (status, headers["connection"], len(server.requests)) == (503, "close", 1)
        late.writer.close()
        await asyncio.wait_for(drain, 20)

    play(scene)


@pytest.mark.parametrize("effect", ["view", "invite", "offer"])
def test_a_request_that_may_last_longer_than_the_process_is_answered_before_its_end(effect, monkeypatch):
    """Failure prevented: its client waits for 12 s, the process is killed 3.7 s after SIGTERM."""

    async def scene():
        bench = await Bench(server := Server(always(None)), **deadline_settings(12.0)).start()
        client = await bench.client()
        client.send(call(effect, budget=12000))
        await until(lambda: len(server.requests) == 1)
        monkeypatch.setattr("balancer.net.node.MAX_SHUTDOWN_DEADLINE_US", MOMENT // 10)
        monkeypatch.setattr("balancer.net.node.SHUTDOWN_GRACE_US", 0)
        drain = asyncio.create_task(bench.node.drain())
        status, headers, _ = await asyncio.wait_for(client.receive(), 5)
        assert (status, headers["connection"]) == (504, "close")
        client.writer.close()
        await asyncio.wait_for(drain, 20)
        assert bench.node.requests.guarded == 0

    play(scene)
