"""The operators' terms on bad clients: who stops in the middle of a request gets an error in time."""

import pytest
from loopback import Bench, Clock, Server, call, play, until

from balancer.net.downstream.read_deadline import HEAD_TIMEOUT_S

OWED = 3.0  # seconds from its connecting in which a bad client gets its error
SWEEP = HEAD_TIMEOUT_S / 8
OFFER = call("offer", body=bytes(20_000))
HALVES = {
    "a byte": OFFER[:1],
    "the first line": OFFER[:20],
    "the head": OFFER[: -len(bytes(20_000))],
    "some of the body": OFFER[:-18_000],
    "most of the body": OFFER[:-1],
}


@pytest.mark.parametrize("sent", HALVES.values(), ids=list(HALVES))
@pytest.mark.parametrize("at", [0.0, 1.0, 1.9, 2.15])
def test_a_client_that_stops_in_a_request_and_stays_gets_an_error_in_time(
    at: float, sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It connects, sends a part so long after, and says nothing more."""

    async def scene() -> None:
        bench = await Bench(Server()).start()
        callers = bench.node.client_connections
        clock = Clock(bench.node.loop, bench.node.loop.time())
        monkeypatch.setattr(callers, "loop", clock)
        connected = clock.now
        client = await bench.client()
        await until(lambda: any(c.transport for c in callers.connections))
        (caller,) = callers.connections
        clock.now += at
        client.send(sent)
        await until(lambda: caller.partial is not None and (len(sent) < 9000 or caller.partial.body != b""))
        received = len(sent) - len(HALVES["the head"])
        await until(lambda: caller.partial is None or len(caller.partial.body) >= received)
        while not caller.reading_stopped and clock.now < connected + 2 * OWED:
            clock.now += SWEEP
            callers.sweep()
        assert clock.now < connected + OWED
        status, headers, _ = await client.receive()
        assert (status, headers["connection"]) == (408, "close")
        assert await client.ended()
        client.writer.close()

    play(scene)


def test_a_body_that_still_comes_as_it_is_due_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """It comes in pieces, up to twice the time that a head may take."""

    async def scene() -> None:
        bench = await Bench(server := Server()).start()
        callers = bench.node.client_connections
        clock = Clock(bench.node.loop, bench.node.loop.time())
        monkeypatch.setattr(callers, "loop", clock)
        client = await bench.client()
        await until(lambda: any(c.transport for c in callers.connections))
        (caller,) = callers.connections
        clock.now += 1.5
        client.send(HALVES["the head"])
        await until(lambda: caller.partial is not None and not caller.parser.head_incomplete)
        for count in range(1, 13):
            clock.now += 0.15
            client.send(bytes(100))
            await until(
                lambda size=100 * count: caller.partial is not None and len(caller.partial.body) == size
            )
            callers.sweep()
        client.send(bytes(20_000 - 1200))
        assert (await client.receive())[0] == 200
        assert len(server.requests) == 1
        client.writer.close()

    play(scene)
