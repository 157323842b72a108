"""Requests that come after SIGTERM: each has its whole response or is refused before the process ends."""

from __future__ import annotations

import asyncio

import pytest
from loopback import Bench, Client, Server, call, run_scenario, wait_until
from slow_server import FRAMINGS, LONG_BODY, SlowServer
from streaming_support import RawServer, receive, upload

from balancer.net.downstream.shutdown import LATE_AFTER_S, MIN_RESPONSE_RATE, Shutdown

SECOND_US = 1_000_000
# A body that takes longer than the time until the process is killed.
TOO_LONG_BODY = bytes(384 << 10)
TOO_LONG = [b"Content-Length: %d" % len(TOO_LONG_BODY), *FRAMINGS[1:]]


async def start_shutdown(bench: Bench, after_s: float) -> Client:
    """Return a client that connected before the shutdown, which began so many seconds ago."""
    client = await bench.client()
    await wait_until(lambda: len(bench.node.client_connections.connections) == 1)
    bench.shutdown = asyncio.create_task(bench.node.drain())  # type: ignore[attr-defined]
    await asyncio.sleep(after_s)
    return client


@pytest.mark.parametrize(("klass", "status"), [("view", 503), ("offer", 502), ("invite", 502)])
@pytest.mark.parametrize("framing", TOO_LONG)
def test_late_request_with_a_response_too_long_to_end_is_refused(
    framing: bytes, klass: str, status: int
) -> None:
    """A request that came a second after SIGTERM was lost with its process, in the middle of its response."""

    async def scenario() -> None:
        server = SlowServer(framing, body=TOO_LONG_BODY)
        bench = await Bench(server).start()
        client = await start_shutdown(bench, LATE_AFTER_S + 0.2)
        head, _ = await asyncio.wait_for(send_and_receive(client, call(klass)), 3.0)
        assert head.startswith(b"HTTP/1.1 %d " % status)
        assert (b"Retry-After" in head) == (status == 503)
        assert bench.node.events.refusals == {"shutdown": 1}
        assert len(server.heads) == 1

    run_scenario(scenario)


async def send_and_receive(client: Client, data: bytes) -> tuple[bytes, bytes]:
    """Send a request, and return the head and the body of its response."""
    client.send(data)
    return await receive(client)


@pytest.mark.parametrize("framing", TOO_LONG)
def test_request_that_comes_early_in_the_shutdown_has_its_response(framing: bytes) -> None:
    async def scenario() -> None:
        bench = await Bench(SlowServer(framing, body=TOO_LONG_BODY)).start()
        client = await start_shutdown(bench, 0.1)
        assert (await send_and_receive(client, call()))[1] == TOO_LONG_BODY

    run_scenario(scenario)


def test_late_request_has_its_short_response() -> None:
    async def scenario() -> None:
        bench = await Bench(Server()).start()
        client = await start_shutdown(bench, LATE_AFTER_S + 0.2)
        assert (await client.request(call("invite")))[2] == b"ok"

    run_scenario(scenario)


def test_late_request_has_its_long_response_where_there_is_time() -> None:
    async def scenario() -> None:
        bench = await Bench(SlowServer(FRAMINGS[0])).start()
        client = await start_shutdown(bench, LATE_AFTER_S + 0.2)
        assert (await send_and_receive(client, call()))[1] == LONG_BODY

    run_scenario(scenario)


def test_upload_that_ends_late_is_refused_where_its_response_is_too_long() -> None:
    """A request comes with its last byte, so a body that began before SIGTERM is not excused."""

    async def scenario() -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(TOO_LONG_BODY)
        bench = await Bench(RawServer(head + TOO_LONG_BODY[:100_000])).start()
        data = upload(bytes(100_000), b"Content-Length: 100000")
        client = await bench.client()
        client.send(data[:-1])
        await wait_until(lambda: bool(bench.node.requests.pending))
        shutdown = asyncio.create_task(bench.node.drain())
        await asyncio.sleep(LATE_AFTER_S + 0.2)
        response, _ = await asyncio.wait_for(send_and_receive(client, data[-1:]), 3.0)
        assert response.startswith(b"HTTP/1.1 502 ")
        shutdown.cancel()

    run_scenario(scenario)


def test_late_request_that_is_refused_does_not_count_against_its_server() -> None:
    async def scenario() -> None:
        bench = await Bench(SlowServer(TOO_LONG[0], body=TOO_LONG_BODY)).start()
        client = await start_shutdown(bench, LATE_AFTER_S + 0.2)
        assert (await send_and_receive(client, call()))[0].startswith(b"HTTP/1.1 503 ")
        await wait_until(lambda: not bench.node.requests.pending)
        assert bench.node.requests.counts["attempts_cancelled"] == 1
        assert "attempts_error" not in bench.node.requests.counts

    run_scenario(scenario)


def test_response_is_begun_if_it_can_end_at_the_least_pace() -> None:
    shutdown = Shutdown()
    assert shutdown.has_time_for(0, None) and not shutdown.is_late(1e9)
    shutdown.begin(3 * SECOND_US)
    assert shutdown.has_time_for(SECOND_US, 2 * MIN_RESPONSE_RATE)
    assert not shutdown.has_time_for(SECOND_US, 2 * MIN_RESPONSE_RATE + 1)
    assert not shutdown.has_time_for(SECOND_US, None)
    assert not shutdown.has_time_for(4 * SECOND_US, 1)
