"""The operators' terms for stalled clients: a client that stops within a request gets an error in time."""

import pytest
from loopback import Bench, FakeTimeLoop, Server, call, run_scenario, wait_until

from balancer.net.downstream.read_deadline import HEAD_TIMEOUT_S

# Time from its connect within which a client that stalls gets its error.
ERROR_DEADLINE_S = 3.0
SWEEP_INTERVAL_S = HEAD_TIMEOUT_S / 8
OFFER = call("offer", body=bytes(20_000))
PARTIAL_REQUESTS = {
    "a byte": OFFER[:1],
    "the first line": OFFER[:20],
    "the head": OFFER[: -len(bytes(20_000))],
    "some of the body": OFFER[:-18_000],
    "most of the body": OFFER[:-1],
}


@pytest.mark.parametrize("sent", PARTIAL_REQUESTS.values(), ids=list(PARTIAL_REQUESTS))
@pytest.mark.parametrize("send_delay_s", [0.0, 1.0, 1.9, 2.15])
def test_stalled_request_gets_408_within_3_s(
    send_delay_s: float, sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client sends part of a request some time after its connect, and then nothing more."""

    async def scenario() -> None:
        bench = await Bench(Server()).start()
        client_connections = bench.node.client_connections
        clock = FakeTimeLoop(bench.node.loop, bench.node.loop.time())
        monkeypatch.setattr(client_connections, "loop", clock)
        connected = clock.now
        client = await bench.client()
        await wait_until(lambda: any(c.transport for c in client_connections.connections))
        (connection,) = client_connections.connections
        clock.now += send_delay_s
        client.send(sent)
        await wait_until(
            lambda: (
                connection.partial_request is not None
                and (len(sent) < 9000 or connection.partial_request.body != b"")
            )
        )
        received = len(sent) - len(PARTIAL_REQUESTS["the head"])
        await wait_until(
            lambda: connection.partial_request is None or len(connection.partial_request.body) >= received
        )
        while not connection.reading_stopped and clock.now < connected + 2 * ERROR_DEADLINE_S:
            clock.now += SWEEP_INTERVAL_S
            client_connections.sweep()
        assert clock.now < connected + ERROR_DEADLINE_S
        status, headers, _ = await client.receive()
        assert (status, headers["connection"]) == (408, "close")
        assert await client.ended()
        client.writer.close()

    run_scenario(scenario)


def test_body_in_progress_is_not_timed_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """The body arrives in pieces for longer than `HEAD_TIMEOUT_S`, and less than twice as long."""

    async def scenario() -> None:
        bench = await Bench(server := Server()).start()
        client_connections = bench.node.client_connections
        clock = FakeTimeLoop(bench.node.loop, bench.node.loop.time())
        monkeypatch.setattr(client_connections, "loop", clock)
        client = await bench.client()
        await wait_until(lambda: any(c.transport for c in client_connections.connections))
        (connection,) = client_connections.connections
        clock.now += 1.5
        client.send(PARTIAL_REQUESTS["the head"])
        await wait_until(
            lambda: connection.partial_request is not None and not connection.parser.head_incomplete
        )
        for count in range(1, 13):
            clock.now += 0.15
            client.send(bytes(100))
            await wait_until(
                lambda size=100 * count: (
                    connection.partial_request is not None and len(connection.partial_request.body) == size
                )
            )
            client_connections.sweep()
        client.send(bytes(20_000 - 1200))
        assert (await client.receive())[0] == 200
        assert len(server.requests) == 1
        client.writer.close()

    run_scenario(scenario)
