"""The operators' terms for responses: every request that was read gets one, complete or visibly aborted."""

import asyncio
import socket

import pytest
from loopback import Bench, Server, call, respond_with, run_scenario, wait_until

from balancer.net.downstream import requests
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.net.upstream.exchange import SERVER_STALL_TIMEOUT_S

# Longer than the delays of a busy machine, and shorter than the timeout of a test.
LONG_DEADLINE_GRACE_US = 5_000_000
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
    MAX_BUFFERED_BYTES,
    bytes(MAX_BUFFERED_BYTES),
)


def test_eviction_spares_connection_with_unsent_response():
    """Connections after their last response are evicted first, but not while the response is unsent."""

    async def scenario():
        bench = await Bench(Server(respond_with(RESPONSE))).start()
        client_connections = bench.node.client_connections
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", bench.port))
        client.setblocking(False)
        await wait_until(lambda: any(c.transport for c in client_connections.connections))
        (connection,) = client_connections.connections
        connection_socket = connection.transport.get_extra_info("socket")
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(call(extra=b"Connection: close\r\n"))
        await wait_until(lambda: bool(connection.finished_at))
        assert connection.has_unsent_data()
        assert not client_connections.evict_one()
        data = b""
        while more := await asyncio.get_running_loop().sock_recv(client, 1 << 20):
            data += more
        assert data.partition(b"\r\n\r\n")[2] == bytes(MAX_BUFFERED_BYTES)
        client.close()

    run_scenario(scenario)


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 400000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n"]
)
def test_stalled_upload_during_response_closes_connection(framing):
    """The attempt is cancelled, and the connection aborted: the started response cannot be completed."""

    async def scenario():
        piece = bytes(2 * MAX_BUFFERED_BYTES)
        if b"chunked" in framing:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)

        async def respond_early(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + piece)
            while await reader.read(65536):
                pass

        server = await asyncio.start_server(respond_early, "127.0.0.1", 0)
        bench = await Bench(other := Server(), config={"known": None}).start()
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        bench.discovery.send_list(42, True, other.entry("early", addr=address))
        await wait_until(lambda: bench.node.lifecycle.is_serving)
        client = await bench.client()
        client.send(call("offer", body=bytes(4 * MAX_BUFFERED_BYTES))[: -2 * MAX_BUFFERED_BYTES])
        requests = bench.node.requests
        await wait_until(lambda: any(r.stream is not None for r in requests.pending.values()))
        (connection,) = bench.node.client_connections.connections
        connection.read_deadline.expires_at = 0.0
        connection.read_deadline.body_expires_at = 0.0
        connection.read_deadline.body_bytes = 0
        bench.node.client_connections.sweep()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await client.receive()
            await client.reader.readexactly(4 * MAX_BUFFERED_BYTES)
        await wait_until(lambda: not requests.pending and not bench.node.client_connections.connections)
        client.writer.close()

    run_scenario(scenario)


LONG_RESPONSE = bytes(4 * MAX_BUFFERED_BYTES)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_RESPONSE)
# Longer than the half second by which a response may be late and merely has no value.
PAST_DEADLINE_US = 600_000


@pytest.mark.parametrize("class_name", ["view", "invite", "offer"])
def test_streamed_response_continues_past_deadline(class_name):
    """A server that sends a long response slowly must not be mistaken for one that hangs."""

    async def scenario():
        resume = asyncio.Event()

        async def pause(request, writer):
            writer.write(HEAD + LONG_RESPONSE[: 2 * MAX_BUFFERED_BYTES])
            await resume.wait()
            return LONG_RESPONSE[2 * MAX_BUFFERED_BYTES :]

        bench = await Bench(Server(pause)).start()
        client = await bench.client()
        client.send(call(class_name, budget=200))
        requests = bench.node.requests
        await wait_until(lambda: any(r.stream is not None for r in requests.pending.values()))
        (request,) = requests.pending.values()
        await wait_until(lambda: bench.node.event_queue.now() > request.deadline + PAST_DEADLINE_US)
        assert request.client is not None and list(requests.pending.values()) == [request]
        resume.set()
        status, _, body = await client.receive()
        assert status == 200 and body == LONG_RESPONSE
        client.writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("class_name", ["view", "invite", "offer"])
def test_silent_server_aborts_streamed_response(class_name):
    async def scenario():
        async def hang(request, writer):
            writer.write(HEAD + LONG_RESPONSE[: 2 * MAX_BUFFERED_BYTES])

        bench = await Bench(Server(hang)).start()
        client = await bench.client()
        client.send(call(class_name))
        requests = bench.node.requests
        await wait_until(lambda: any(r.stream is not None for r in requests.pending.values()))
        (request,) = requests.pending.values()
        exchange = request.exchange
        assert exchange is not None and exchange.connection is not None and exchange.timer is not None
        # uvloop's clock counts whole milliseconds; sums of its times in seconds are subject to rounding.
        remaining_ms = round((exchange.timer.when() - bench.node.loop.time()) * 1000)
        assert remaining_ms <= SERVER_STALL_TIMEOUT_S * 1000
        exchange.connection.last_progress_at -= (
            SERVER_STALL_TIMEOUT_S  # The last progress is moved into the past.
        )
        exchange.check_progress(exchange.connection)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await client.receive()
        await wait_until(lambda: not requests.pending and not bench.node.client_connections.connections)
        client.writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("class_name", ["view", "invite", "offer"])
@pytest.mark.parametrize("budget", [0, 1, 5, 20])
def test_tiny_budget_gets_error_from_silent_servers(budget, class_name, monkeypatch):
    """Servers may drop such a request silently; the budget forwarded to them never exceeds the client's.

    The deadline timer's grace period is prolonged, so that the timer acts only on requests that the policy
    has left open, however slow the machine is.
    """
    monkeypatch.setattr(requests, "DEADLINE_GRACE_US", LONG_DEADLINE_GRACE_US)

    async def scenario():
        bench = await Bench(*(servers := [Server(respond_with(None)), Server(respond_with(None))])).start()
        client = await bench.client()
        status, _, _ = await client.request(call(class_name, budget=budget))
        assert status in (502, 503, 504)
        forwarded_budgets_ms = [int(r.headers["x-budget-ms"]) for server in servers for r in server.requests]
        assert all(t <= budget for t in forwarded_budgets_ms) and (budget > 0 or not forwarded_budgets_ms)
        assert bench.node.requests.overdue_count == 0
        client.writer.close()
        await wait_until(lambda: not bench.node.client_connections.connections)

    run_scenario(scenario)
