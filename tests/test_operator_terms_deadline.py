"""The operators' term on deadlines: a server is told at most what its client has left, with 0.15 s of slack.

The clock is fed by hand: nothing moves it but the test, and a process that is held up after it has read it.
"""

import asyncio

import pytest
from loopback import OK, REJECTED, Bench, Late, Server, always, call, play, until

from balancer.net.downstream import requests as node_requests
from balancer.net.downstream.client_connection import MAX_PIPELINED_REQUESTS
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.net.upstream.connection import Connection

SLACK = 0.15
HELD_UP = 0.15  # seconds between the process's reading of a clock and what it does next
LONG_HEADER = b"X-Filler: %b\r\n" % (b"x" * 1500)
BUDGET = 2.0


class HandClock:
    """The process's clocks. That of the event loop stands still within a turn, as uvloop's does."""

    def __init__(self, bench, monkeypatch):
        self.loop = bench.node.loop
        self.now = self.turn = 5000.0
        self.readings = 0
        self.held_up_after = 0  # the reading after which the process is held up
        monkeypatch.setattr(bench.node.client_connections, "loop", self)
        monkeypatch.setattr(node_requests, "monotonic", self.read)
        monkeypatch.setattr(bench.node.event_queue, "now", lambda: int(self.read() * 1e6))
        self.begun: list[float] = []  # when each attempt's first byte was written
        begin = Connection.send_request

        def record(connection, exchange, data, upload):
            self.begun.append(self.now)
            begin(connection, exchange, data, upload)

        monkeypatch.setattr(Connection, "send_request", record)

    def __getattr__(self, name):
        return getattr(self.loop, name)

    def hold_up(self):
        self.readings += 1
        if self.readings == self.held_up_after:
            self.now += HELD_UP

    def read(self):
        value = self.now
        self.hold_up()
        return value

    def time(self):
        value = self.turn
        self.hold_up()
        return value

    def advance(self, seconds):
        """Time passes, and a turn of the loop begins."""
        self.now += seconds
        self.turn = self.now


def check(clock, sent_at, servers, budget=BUDGET, slack=SLACK):
    """What each attempt told, against what was left to the client as it began."""
    told = [int(r.headers["x-budget-ms"]) / 1000 for server in servers for r in server.requests]
    assert len(told) == len(clock.begun) > 0
    for seconds, begun in zip(told, clock.begun, strict=True):
        assert seconds <= sent_at + budget - begun + slack + 1e-6


@pytest.mark.parametrize("unseen", [0.0, 0.005, 0.01], ids=lambda s: f"{s * 1000:.0f} ms in its socket")
@pytest.mark.parametrize("held_up_after", range(1, 13))
@pytest.mark.parametrize("klass", ["view", "offer"])
def test_a_process_held_up_tells_no_more_than_is_left(klass, held_up_after, unseen, monkeypatch):
    """It is held up after any one of its readings of the clock; both attempts are looked at."""

    async def scene():
        bench = await Bench(server := Server()).start()
        clock = HandClock(bench, monkeypatch)

        async def reject_once(request, writer):
            clock.advance(0.3)
            return REJECTED if len(server.requests) == 1 else OK

        server.handle = reject_once
        client = await bench.client()
        await until(lambda: any(c.transport for c in bench.node.client_connections.connections))
        sent_at = clock.now
        clock.advance(unseen)
        clock.readings, clock.held_up_after = 0, held_up_after
        await client.ask(call(klass, budget=int(BUDGET * 1000)))
        check(clock, sent_at, [server])
        client.writer.close()

    play(scene)


@pytest.mark.parametrize("klass", ["view", "offer"])
def test_what_passes_between_reading_a_request_and_looking_at_it_counts(klass, monkeypatch):
    """The loop's clock stands still meanwhile; no slack is needed for this."""

    async def scene():
        bench = await Bench(server := Server()).start()
        clock = HandClock(bench, monkeypatch)
        client = await bench.client()
        await until(lambda: any(c.transport for c in bench.node.client_connections.connections))
        sent_at = clock.now
        clock.readings, clock.held_up_after = 0, 1
        await client.ask(call(klass, budget=int(BUDGET * 1000)))
        check(clock, sent_at, [server], slack=0.0)
        client.writer.close()

    play(scene)


@pytest.mark.parametrize("late", [0.0, 0.25, 1.5])
@pytest.mark.parametrize(
    "body", [b"", bytes(100), bytes(2 * MAX_BUFFERED_BYTES)], ids=["none", "short", "long"]
)
def test_a_connection_that_comes_up_late_tells_no_more_than_is_left(body, late, monkeypatch):
    async def scene():
        bench = await Bench(server := Server()).start()
        clock = HandClock(bench, monkeypatch)
        bench.node.pool.loop = loop = Late(asyncio.get_running_loop())
        client = await bench.client()
        sent_at = clock.now
        client.send(call("offer" if body else "view", budget=int(BUDGET * 1000), body=body))
        await loop.asked.wait()
        clock.advance(late)
        loop.up.set()
        assert (await client.receive())[0] == 200
        check(clock, sent_at, [server], slack=0.0)
        client.writer.close()

    play(scene)


@pytest.mark.parametrize("late", [0.0, 0.25, 1.5])
def test_the_time_of_a_long_body_runs_until_a_server_takes_it(late, monkeypatch):
    """Failure prevented: its client had written all of it long before, and is answered after its time."""

    async def scene():
        bench = await Bench(server := Server(always(None))).start()
        clock = HandClock(bench, monkeypatch)
        bench.node.pool.loop = loop = Late(asyncio.get_running_loop())
        client = await bench.client()
        sent_at = clock.now
        client.send(call("offer", budget=int(BUDGET * 1000), body=bytes(2 * MAX_BUFFERED_BYTES)))
        await loop.asked.wait()
        (request,) = bench.node.requests.pending.values()
        clock.advance(late)
        loop.up.set()
        await until(lambda: request.guard is not None)
        assert len(clock.begun) == 1 and request.incoming_body() is None
        assert request.deadline <= int((sent_at + BUDGET) * 1e6)
        client.writer.transport.abort()
        await until(lambda: not bench.node.client_connections.connections)
        assert len(server.requests) <= 1

    play(scene)


@pytest.mark.parametrize("body", [b"", bytes(100)], ids=["none", "short"])
def test_a_request_that_waits_behind_others_tells_no_more_than_is_left(body, monkeypatch):
    """They came in one go, more than are parsed ahead, and each answer takes its time."""

    async def scene():
        bench = await Bench(server := Server(always(OK))).start()
        clock = HandClock(bench, monkeypatch)

        async def slow(request, writer):
            clock.advance(0.05)
            return OK

        server.handle = slow
        client = await bench.client()
        sent_at = clock.now
        count = 2 * MAX_PIPELINED_REQUESTS
        klass = "offer" if body else "view"
        client.send(call(klass, int(BUDGET * 1000), extra=LONG_HEADER, body=body) * count)
        for _ in range(count):
            assert (await client.receive())[0] == 200
        assert len(server.requests) == count
        check(clock, sent_at, [server], slack=0.0)
        client.writer.close()

    play(scene)
