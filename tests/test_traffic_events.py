"""The record of what holds memory, and of why connections are closed and requests refused or retried."""

from __future__ import annotations

import pytest
from loopback import OK, REJECTED, Bench, Server, call, respond_with, run_scenario, wait_until
from retry_support import MANAGEMENT_CONFIG
from streaming_support import upload
from test_counters import parse_metrics
from test_management import operator_request

HEAD_PART = b"GET /view HTTP/1.1\r\nX-Call-Id: 1\r\n"


async def read_diagnostics(bench: Bench) -> dict[str, float]:
    """Return the sizes by name, and the counts by reason, of the diagnostics page."""
    status, _, text = await operator_request(bench, "/control/diagnostics")
    assert status == 200
    return parse_metrics(text)


@pytest.mark.parametrize(
    ("data", "holding", "size"),
    [
        (HEAD_PART, "partial_requests", len(HEAD_PART)),
        (call("offer", body=b"x" * 5000)[:-1000], "partial_requests", 4000),
        (call("offer", body=b"x" * 5000), "requests", 5000),
        (call() + call(extra=b"X-Long: %b\r\n" % (b"x" * 1000)) * 20, "input", 8000),
        (upload(bytes(100_000), b"Content-Length: 2000000"), "uploads", 0),
    ],
)
def test_held_bytes_are_shown_by_what_holds_them(data: bytes, holding: str, size: int) -> None:
    """Without the figures, nothing tells what fills the memory of a node under many slow clients."""

    async def scenario() -> None:
        bench = await Bench(Server(respond_with(None)), config=MANAGEMENT_CONFIG).start()
        budget = bench.node.memory_budget
        client = await bench.client()
        client.send(data)
        await wait_until(lambda: budget.figures()[f"held_{holding}"] >= size)
        diagnostics = await read_diagnostics(bench)
        assert diagnostics[f"lb_held_{holding}"] >= size
        assert diagnostics["lb_held_bytes"] <= diagnostics["lb_held_peak_bytes"]
        assert diagnostics["lb_resident_bytes"] > 1 << 20
        client.writer.transport.abort()
        await wait_until(lambda: budget.held_bytes == 0)

    run_scenario(scenario)


def test_closes_refusals_and_retries_are_counted_by_reason(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        server = Server(respond_with(REJECTED, OK, REJECTED))
        bench = await Bench(server, config=MANAGEMENT_CONFIG).start()
        assert (await bench.request_once(call()))[0] == 200  # After a retry.
        assert (await bench.request_once(call()))[0] == 503  # All attempts are rejected.
        assert (await bench.request_once(b"GET /view HTTP/1.1\r\n\r\n"))[0] == 400
        client = await bench.client()
        client.send(b"GET /view HTTP/1.1\r\nwrong\r\n\r\n")
        assert (await client.receive())[0] == 400 and await client.ended()
        client.writer.close()
        connections = bench.node.client_connections.connections
        await wait_until(lambda: not connections)
        idle = await bench.client()
        idle.send(HEAD_PART)
        await wait_until(lambda: any(c.partial_request for c in connections))
        assert bench.node.client_connections.evict_one()
        assert await idle.ended()
        events = bench.node.events
        await wait_until(lambda: sum(events.closes.values()) == 5)
        assert events.closes == {"client": 3, "rejected": 1, "no_request": 1}
        assert events.refusals == {"attempts": 1, "input": 2}
        assert events.retries["rejected"] >= 2
        diagnostics = await read_diagnostics(bench)
        assert (diagnostics["no_request"], diagnostics["input"], diagnostics["attempts"]) == (1, 2, 1)
        bench.node.write_stats()

    run_scenario(scenario)
    lines = capsys.readouterr().err.splitlines()
    assert any("close client=5 reason=no_request age=" in line for line in lines)
    assert any(line.endswith("refuse client=2 reason=attempts status=503 after=rejected") for line in lines)
    assert any("retry request=1 attempt=1 after=rejected" in line for line in lines)
    assert any("closed_no_request=1" in line and "held_bytes=0" in line for line in lines)


def test_clients_and_responses_that_are_cut_off_are_logged(capsys: pytest.CaptureFixture[str]) -> None:
    """Without the lines, nothing tells a client that stopped from one that was cut off too soon."""

    async def scenario() -> None:
        partial_response = OK.replace(b": 2", b": 100")
        bench = await Bench(Server(respond_with(partial_response))).start()
        assert (await bench.request_once(call(budget=100)))[0] in (503, 504)
        client = await bench.client()
        client.send(call("offer", body=b"x" * 5000)[:-1000])
        connections = bench.node.client_connections.connections
        await wait_until(lambda: any(c.parser.is_reading_body() for c in connections))
        (connection,) = connections
        connection.last_active_at -= 5
        assert bench.node.client_connections.evict_one()
        bench.node.requests.limit_deadlines(bench.node.event_queue.now() + 10**6)
        assert (await bench.request_once(call(budget=100)))[0] in (503, 504)

    run_scenario(scenario)
    lines = capsys.readouterr().err.splitlines()
    cut_off = [line for line in lines if "cut_off request=1 attempt=0 after=" in line]
    assert len(cut_off) == 1 and cut_off[0].endswith(" received=2 length=100")
    assert any("give_way client=2 for=connections waited=5." in line for line in lines)
    assert any("late client=3 after=" in line for line in lines)
