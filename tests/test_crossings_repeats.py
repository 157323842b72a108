"""Races between the attempts of a request, in both orders: which requests may run twice."""

import asyncio

import pytest
from loopback import (
    OK,
    SECOND_US,
    Bench,
    DelayedConnectLoop,
    Server,
    call,
    record_outcomes,
    respond_with,
    run_scenario,
    settings,
    wait_until,
)

from balancer.policy.interface import Outcome

ERROR_RESPONSE = b"HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
WINDOW_US = SECOND_US


@pytest.mark.parametrize("request_class", ["view", "offer"])
@pytest.mark.parametrize("order", ["connect first", "expiry first"])
def test_idempotency_window_expiry_during_retry_connect(request_class, order):
    """A retry after the window must not be sent if it relies on an idempotency key.

    The servers have forgotten the key by then and would run the request a second time. A request of a safe
    class may run twice.
    """

    async def scenario():
        release = asyncio.Event()

        async def fail(request, writer):
            await release.wait()
            return ERROR_RESPONSE

        servers = [Server(fail), Server(fail)]
        classes = [c | {"window": WINDOW_US} for c in settings()["classes"]]
        bench = await Bench(*servers, classes=classes).start()
        node = bench.node
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(call(request_class))
        await wait_until(lambda: sum(len(s.requests) for s in servers) == 1)
        node.pool.loop = late = DelayedConnectLoop(asyncio.get_running_loop())
        release.set()
        await late.connect_requested.wait()
        if order == "expiry first":
            node.event_queue.origin += WINDOW_US * 1000
        for server in servers:
            server.handle = respond_with(OK)
        late.connect_allowed.set()
        status = (await client.receive())[0]
        is_sent = order == "connect first" or request_class == "view"
        assert (status, sum(len(s.requests) for s in servers)) == ((200, 2) if is_sent else (502, 1))
        assert outcomes == [Outcome.ERROR, Outcome.OK if is_sent else Outcome.NOT_SENT]
        assert not node.requests.pending

    run_scenario(scenario)


@pytest.mark.parametrize("order", ["after next request", "before next request"])
def test_late_duplicate_response_is_not_given_to_next_request(order):
    """A late duplicate response would be taken for the response to the next request on its connection.

    The next request is therefore sent on a connection that has been idle for some time, if there is one.
    """

    async def scenario():
        releases = [asyncio.Event() for _ in range(3)]

        async def handle(request, writer):
            number = len(server.requests)
            await releases[number - 1].wait()
            return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % number

        bench = await Bench(server := Server(handle)).start()
        clients = [await bench.client() for _ in releases]
        (endpoint,) = bench.node.pool.endpoints.values()
        for number, client in enumerate(clients[:2]):
            client.send(call())
            await wait_until(lambda count=number + 1: len(server.requests) == count)
        for release, client in zip(releases[:2], clients, strict=False):
            release.set()
            await client.receive()
            settled, *recently_used = endpoint.idle
            settled.idle_since -= 1
        late = server.writers[1]
        if order == "before next request":
            late.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
            await wait_until(lambda: endpoint.idle == [settled])
        clients[2].send(call())
        await wait_until(lambda: len(server.requests) == 3)
        if order != "before next request":
            assert endpoint.idle == recently_used
            late.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
            await wait_until(lambda: not endpoint.idle)
        releases[2].set()
        assert (await clients[2].receive())[2] == b"3"

    run_scenario(scenario)
