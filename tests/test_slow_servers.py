"""Servers that read long requests or write long responses slowly: every client gets its answer in time."""

from __future__ import annotations

import asyncio
from time import monotonic

import pytest
from loopback import SECOND_US, Bench, Client, call, run_scenario, settings, wait_until
from peer_load import ANSWER_GRACE_S, EchoServer
from slow_server import FRAMINGS, LONG_BODY, SLOW_PART_BYTES, SlowServer
from streaming_support import RawServer, chunks, receive, upload

# A client's budget, and the size of a body that a server reads in three times that.
BUDGET_S = 1.0
READ_RATE = 1_000_000
BODY = bytes(3_000_000)


async def send_all(client: Client, data: bytes) -> float:
    """Send all bytes, and return the time at which the system has taken the last one."""
    client.writer.transport.set_write_buffer_limits(high=0)
    client.send(data)
    await client.writer.drain()
    return monotonic()


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_request_that_its_server_reads_slowly_is_answered_in_time(framing: str) -> None:
    """The answer came seconds after its time, as the deadline began when the server had read everything."""

    async def scenario() -> None:
        server = await EchoServer(read_rate=READ_RATE).start()
        bench = await Bench(server).start()  # type: ignore[arg-type]
        client = await bench.client()
        data = upload(BODY, b"Content-Length: %d" % len(BODY))
        if framing == "chunks":
            data = upload(chunks(BODY, 50_000), b"Transfer-Encoding: chunked")
        data = data.replace(b"X-Budget-Ms: 15000", b"X-Budget-Ms: %d" % (BUDGET_S * 1000))
        sending = asyncio.create_task(send_all(client, data))
        started_at = monotonic()
        head, _ = await receive(client)
        answered_at = monotonic()
        sent_at = sending.result() if sending.done() else answered_at
        assert answered_at <= sent_at + BUDGET_S + ANSWER_GRACE_S, (
            sent_at - started_at,
            answered_at - started_at,
        )
        # 503 if a part of the request has not left the node, and otherwise 502 or 504.
        assert head.startswith((b"HTTP/1.1 502 ", b"HTTP/1.1 503 ", b"HTTP/1.1 504 "))
        sending.cancel()
        await wait_until(lambda: not bench.node.requests.pending)

    run_scenario(scenario)


def test_time_in_which_the_client_does_not_send_is_not_the_servers() -> None:
    """A client that needs longer for its body than its budget still gets its response."""

    async def scenario() -> None:
        bench = await Bench(RawServer()).start()
        client = await bench.client()
        body = bytes(400_000)
        data = upload(body, b"Content-Length: %d" % len(body)).replace(b"15000", b"600")
        for start in range(0, len(data), 100_000):
            client.send(data[start : start + 100_000])
            await asyncio.sleep(0.4)
        assert (await receive(client))[1] == b"ok"

    run_scenario(scenario)


def expect_short_attempts(bench: Bench) -> None:
    """Make the policy take servers for quick ones, so that it ends an attempt when half the time is over."""
    balancer = bench.node.balancer
    balancer.mean_rtt[:] = [SECOND_US / 100] * len(balancer.mean_rtt)
    for average in balancer.metrics.rtt_averages:
        average.value = SECOND_US / 100
        average.weight = 100


def short_objective() -> list[dict[str, object]]:
    """Return classes whose responses are worth nothing after 0.8 s, so that attempts end before deadlines."""
    changes = {"goal_time": SECOND_US * 8 // 10, "late_value": 0.0}
    return [klass | changes for klass in settings()["classes"]]


@pytest.mark.parametrize("klass", ["view", "invite"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_long_response_is_not_cut_off_where_attempts_end_before_the_deadline(
    framing: bytes, klass: str
) -> None:
    """A slow response without a length was cut off at each server's time-out, and the request refused."""

    async def scenario() -> None:
        server = SlowServer(framing)
        bench = await Bench(server, classes=short_objective()).start()
        expect_short_attempts(bench)
        client = await bench.client()
        started_at = monotonic()
        client.send(call(klass, budget=1000))
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert monotonic() - started_at <= 0.8
        client.reader._buffer[:0] = head  # type: ignore[attr-defined]
        assert (await receive(client))[1] == LONG_BODY
        assert len(server.heads) == 1  # No other attempt was made.

    run_scenario(scenario)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_beginning_of_long_response_is_held_back_for_less_than_2_s(framing: bytes) -> None:
    """With a long time for the attempt, the beginning of a response without a length was held for longer."""

    async def scenario() -> None:
        server = SlowServer(framing, stop_after=SLOW_PART_BYTES * 5)
        bench = await Bench(server).start()
        client = await bench.client()
        client.send(call())
        await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 2.0)

    run_scenario(scenario)


@pytest.mark.parametrize("framing", FRAMINGS[1:])
def test_request_is_repeated_where_a_response_stops_at_its_beginning(framing: bytes) -> None:
    """A response of which the client has nothing yet need not fail its request when its server stops."""

    async def scenario() -> None:
        servers = [SlowServer(framing, stop_after=SLOW_PART_BYTES, slow_response=1) for _ in range(8)]
        for server in servers:
            server.heads = servers[0].heads  # Only the first of all responses is slow.
        bench = await Bench(*servers).start()
        expect_short_attempts(bench)
        assert (await bench.request_once(call(budget=1000)))[2] == b"ok"
        assert len(servers[0].heads) == 2

    run_scenario(scenario)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_long_response_is_counted_by_its_first_bytes(framing: bytes) -> None:
    """The time for which the node holds a response back is not the server's latency."""

    async def scenario() -> None:
        bench = await Bench(SlowServer(framing)).start()
        latencies = []
        started = bench.node.balancer.response_started

        def response_started(now: int, request: int, attempt: int, server: int, latency: int) -> None:
            latencies.append(latency)
            started(now, request, attempt, server, latency)

        bench.node.balancer.response_started = response_started  # type: ignore[method-assign]
        client = await bench.client()
        client.send(call(budget=1000))
        assert (await receive(client))[1] == LONG_BODY
        assert len(latencies) == 1 and 0 <= latencies[0] < SECOND_US // 10

    run_scenario(scenario)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_long_response_that_is_still_coming_is_not_cut_off(framing: bytes) -> None:
    """Without a length, a response was held until 64 KiB had come, and cut off at the deadline."""
    body = bytes(100_000)

    async def scenario() -> None:
        async def write_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing)
            for start in range(0, len(body), 5000):
                part = body[start : start + 5000]
                writer.write(b"%x\r\n%b\r\n" % (len(part), part) if b"chunked" in framing else part)
                await asyncio.sleep(0.1)
            writer.write(b"0\r\n\r\n" if b"chunked" in framing else b"")
            writer.close()

        server = RawServer()
        server.serve = write_slowly  # type: ignore[method-assign]
        bench = await Bench(server).start()
        client = await bench.client()
        started_at = monotonic()
        client.send(call("invite", budget=500))
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert monotonic() - started_at <= 0.5 + ANSWER_GRACE_S
        client.reader._buffer[:0] = head  # type: ignore[attr-defined]
        assert (await receive(client))[1] == body

    run_scenario(scenario)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_long_response_to_an_unread_body_is_not_cut_off(framing: bytes) -> None:
    """A server that answers before it has read the body sends for longer than it may take for the body."""

    async def scenario() -> None:
        server = SlowServer(framing)
        bench = await Bench(server).start()
        client = await bench.client()
        data = upload(bytes(16 << 20), b"Content-Length: %d" % (16 << 20)).replace(b"15000", b"1000")
        client.send(data)
        head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 2.0)
        assert head.startswith(b"HTTP/1.1 200 ")
        client.reader._buffer[:0] = head  # type: ignore[attr-defined]
        assert (await receive(client))[1] == LONG_BODY

    run_scenario(scenario)
