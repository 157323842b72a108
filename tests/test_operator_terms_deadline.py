"""The operators' terms for deadlines: a forwarded budget exceeds the remaining time by at most 0.15 s.

The clock is set manually: it advances only in a test, or in a simulated pause of the process after a read.
"""

import asyncio

import pytest
from loopback import (
    OK,
    REJECTED,
    Bench,
    DelayedConnectLoop,
    Server,
    call,
    respond_with,
    run_scenario,
    wait_until,
)

from balancer.net.downstream import requests as requests_module
from balancer.net.downstream.client_connection import MAX_PIPELINED_REQUESTS
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.net.upstream.connection import Connection

SLACK_S = 0.15
# Simulated pause of the process between a read of the clock and its next step.
PAUSE_S = 0.15
LONG_HEADER = b"X-Filler: %b\r\n" % (b"x" * 1500)
BUDGET_S = 2.0


class ManualClock:
    """The clocks of the process; the event loop's does not advance within an iteration, as in uvloop."""

    def __init__(self, bench, monkeypatch):
        self.loop = bench.node.loop
        self.now = self.loop_time = 5000.0
        self.read_count = 0
        # The number of the read after which the process pauses; 0 for none.
        self.pause_after_read = 0
        monkeypatch.setattr(bench.node.client_connections, "loop", self)
        monkeypatch.setattr(requests_module, "monotonic", self.read)
        monkeypatch.setattr(bench.node.event_queue, "now", lambda: int(self.read() * 1e6))
        # The time at which each attempt's first byte was written.
        self.write_times: list[float] = []
        send_request = Connection.send_request

        def record(connection, exchange, data, upload):
            self.write_times.append(self.now)
            send_request(connection, exchange, data, upload)

        monkeypatch.setattr(Connection, "send_request", record)

    def __getattr__(self, name):
        return getattr(self.loop, name)

    def pause_if_due(self):
        self.read_count += 1
        if self.read_count == self.pause_after_read:
            self.now += PAUSE_S

    def read(self):
        value = self.now
        self.pause_if_due()
        return value

    def time(self):
        value = self.loop_time
        self.pause_if_due()
        return value

    def advance(self, seconds):
        """Advance the time, and start a new iteration of the event loop."""
        self.now += seconds
        self.loop_time = self.now


def assert_budgets_within_remaining(clock, sent_at, servers, budget=BUDGET_S, slack_s=SLACK_S):
    """Check each forwarded budget against the client's remaining time when the attempt was written."""
    budgets = [int(r.headers["x-budget-ms"]) / 1000 for server in servers for r in server.requests]
    assert len(budgets) == len(clock.write_times) > 0
    for budget_s, written_at in zip(budgets, clock.write_times, strict=True):
        assert budget_s <= sent_at + budget - written_at + slack_s + 1e-6


@pytest.mark.parametrize("unread_s", [0.0, 0.005, 0.01], ids=lambda s: f"{s * 1000:.0f} ms unread")
@pytest.mark.parametrize("pause_after_read", range(1, 13))
@pytest.mark.parametrize("class_name", ["view", "offer"])
def test_paused_process_forwards_no_excess_budget(class_name, pause_after_read, unread_s, monkeypatch):
    """The process pauses after any single read of the clock; both attempts are checked."""

    async def scenario():
        bench = await Bench(server := Server()).start()
        clock = ManualClock(bench, monkeypatch)

        async def reject_once(request, writer):
            clock.advance(0.3)
            return REJECTED if len(server.requests) == 1 else OK

        server.handle = reject_once
        client = await bench.client()
        await wait_until(lambda: any(c.transport for c in bench.node.client_connections.connections))
        sent_at = clock.now
        clock.advance(unread_s)
        clock.read_count, clock.pause_after_read = 0, pause_after_read
        await client.request(call(class_name, budget=int(BUDGET_S * 1000)))
        assert_budgets_within_remaining(clock, sent_at, [server])
        client.writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("class_name", ["view", "offer"])
def test_time_between_read_and_parse_counts_against_budget(class_name, monkeypatch):
    """The loop's clock does not advance in that time; nevertheless, no slack is needed."""

    async def scenario():
        bench = await Bench(server := Server()).start()
        clock = ManualClock(bench, monkeypatch)
        client = await bench.client()
        await wait_until(lambda: any(c.transport for c in bench.node.client_connections.connections))
        sent_at = clock.now
        clock.read_count, clock.pause_after_read = 0, 1
        await client.request(call(class_name, budget=int(BUDGET_S * 1000)))
        assert_budgets_within_remaining(clock, sent_at, [server], slack_s=0.0)
        client.writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("delay_s", [0.0, 0.25, 1.5])
@pytest.mark.parametrize(
    "body", [b"", bytes(100), bytes(2 * MAX_BUFFERED_BYTES)], ids=["none", "short", "long"]
)
def test_connect_time_counts_against_forwarded_budget(body, delay_s, monkeypatch):
    async def scenario():
        bench = await Bench(server := Server()).start()
        clock = ManualClock(bench, monkeypatch)
        bench.node.pool.loop = loop = DelayedConnectLoop(asyncio.get_running_loop())
        client = await bench.client()
        sent_at = clock.now
        client.send(call("offer" if body else "view", budget=int(BUDGET_S * 1000), body=body))
        await loop.connect_requested.wait()
        clock.advance(delay_s)
        loop.connect_allowed.set()
        assert (await client.receive())[0] == 200
        assert_budgets_within_remaining(clock, sent_at, [server], slack_s=0.0)
        client.writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("delay_s", [0.0, 0.25, 1.5])
def test_long_body_wait_for_server_counts_against_deadline(delay_s, monkeypatch):
    """The client may have written the whole body long before, and must get its response in time."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(None))).start()
        clock = ManualClock(bench, monkeypatch)
        bench.node.pool.loop = loop = DelayedConnectLoop(asyncio.get_running_loop())
        client = await bench.client()
        sent_at = clock.now
        client.send(call("offer", budget=int(BUDGET_S * 1000), body=bytes(2 * MAX_BUFFERED_BYTES)))
        await loop.connect_requested.wait()
        (request,) = bench.node.requests.pending.values()
        clock.advance(delay_s)
        loop.connect_allowed.set()
        await wait_until(lambda: request.incoming_body() is None)
        assert request.deadline_timer is not None
        assert len(clock.write_times) == 1 and request.incoming_body() is None
        assert request.deadline <= int((sent_at + BUDGET_S) * 1e6)
        client.writer.transport.abort()
        await wait_until(lambda: not bench.node.client_connections.connections)
        assert len(server.requests) <= 1

    run_scenario(scenario)


@pytest.mark.parametrize("body", [b"", bytes(100)], ids=["none", "short"])
def test_pipelining_delay_counts_against_forwarded_budget(body, monkeypatch):
    """More requests arrive at once than are parsed ahead, and each response takes 50 ms."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(OK))).start()
        clock = ManualClock(bench, monkeypatch)

        async def delay(request, writer):
            clock.advance(0.05)
            return OK

        server.handle = delay
        client = await bench.client()
        sent_at = clock.now
        count = 2 * MAX_PIPELINED_REQUESTS
        class_name = "offer" if body else "view"
        client.send(call(class_name, int(BUDGET_S * 1000), extra=LONG_HEADER, body=body) * count)
        for _ in range(count):
            assert (await client.receive())[0] == 200
        assert len(server.requests) == count
        assert_budgets_within_remaining(clock, sent_at, [server], slack_s=0.0)
        client.writer.close()

    run_scenario(scenario)
