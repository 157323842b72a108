"""Events that cross between a request's attempts, in both orders: what may run twice, and what must not."""

import asyncio

import pytest
from loopback import (
    MOMENT,
    OK,
    Bench,
    Late,
    Server,
    always,
    call,
    play,
    record_outcomes,
    settings,
    until,
)

from balancer.policy.interface import Outcome

FAILED = b"HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
WINDOW = MOMENT


@pytest.mark.parametrize("klass", ["view", "offer"])
@pytest.mark.parametrize("order", ["up first", "window first"])
def test_a_repeat_s_window_ends_while_its_connection_comes_up(klass, order):
    """A keyed repeat runs a second time once the servers have forgotten its key; a safe one may."""

    async def scene():
        release = asyncio.Event()

        async def fail(request, writer):
            await release.wait()
            return FAILED

        servers = [Server(fail), Server(fail)]
        classes = [c | {"window": WINDOW} for c in settings()["classes"]]
        bench = await Bench(*servers, classes=classes).start()
        node = bench.node
        outcomes = record_outcomes(bench)
        client = await bench.client()
        client.send(call(klass))
        await until(lambda: sum(len(s.requests) for s in servers) == 1)
        node.pool.loop = late = Late(asyncio.get_running_loop())
        release.set()
        await late.asked.wait()
        if order == "window first":
            node.event_queue.origin += WINDOW * 1000
        for server in servers:
            server.handle = always(OK)
        late.up.set()
        status = (await client.receive())[0]
        kept = order == "up first" or klass == "view"
        assert (status, sum(len(s.requests) for s in servers)) == ((200, 2) if kept else (502, 1))
        assert outcomes == [Outcome.ERROR, Outcome.OK if kept else Outcome.NOT_SENT]
        assert not node.requests.pending

    play(scene)


@pytest.mark.parametrize("order", ["as the next request is out", "before it"])
def test_a_second_answer_comes_late_on_the_connection_used_last(order):
    """It seems to be the next request's answer on that connection: a rested one, if any, carries that."""

    async def scene():
        turns = [asyncio.Event() for _ in range(3)]

        async def handle(request, writer):
            number = len(server.requests)
            await turns[number - 1].wait()
            return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % number

        bench = await Bench(server := Server(handle)).start()
        clients = [await bench.client() for _ in turns]
        (endpoint,) = bench.node.pool.endpoints.values()
        for number, client in enumerate(clients[:2]):
            client.send(call())
            await until(lambda count=number + 1: len(server.requests) == count)
        for turn, client in zip(turns[:2], clients, strict=False):
            turn.set()
            await client.receive()
            rested, *fresh = endpoint.idle
            rested.idle_since -= 1
        late = server.writers[1]
        if order == "before it":
            late.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
            await until(lambda: endpoint.idle == [rested])
        clients[2].send(call())
        await until(lambda: len(server.requests) == 3)
        if order != "before it":
            assert endpoint.idle == fresh
            late.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
            await until(lambda: not endpoint.idle)
        turns[2].set()
        assert (await clients[2].receive())[2] == b"3"

    play(scene)
