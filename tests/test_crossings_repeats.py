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

from brackenladder.interface import Outcome

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
            node.turns.origin += WINDOW * 1000
        for server in servers:
            server.handle = always(OK)
        late.up.set()
        status = (await client.receive())[0]
        kept = order == "up first" or klass == "view"
        assert (status, sum(len(s.requests) for s in servers)) == ((200, 2) if kept else (502, 1))
        assert outcomes == [Outcome.ERROR, Outcome.OK if kept else Outcome.NOT_SENT]
        assert not node.requests.open

    play(scene)
