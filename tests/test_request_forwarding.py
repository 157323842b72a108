"""Requests and responses on loopback sockets are forwarded in order and unchanged."""

import asyncio

import pytest
from loopback import (
    OK,
    Bench,
    Server,
    call,
    respond_with,
    run_scenario,
    wait_until,
)

TOO_MANY_HEADERS = b"GET /view HTTP/1.1\r\n" + b"a: b\r\n" * 1000


def test_request_and_response_are_forwarded_unchanged():
    body = bytes(range(256)) * 256

    async def scenario():
        async def echo(request, writer):
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(request.body), request.body)

        bench = await Bench(server := Server(echo)).start()
        status, _, response = await bench.request_once(call("offer", 9000, b"X-Trace: 7\r\n", body))
        assert (status, response) == (200, body)
        (received,) = server.requests
        assert (received.method, received.target, received.body) == ("POST", "/offer?obj=7f", body)
        assert received.headers["x-call-id"] == "9b1f" and received.headers["idempotency-key"] == "5c0f"
        assert received.headers["x-trace"] == "7" and 0 < int(received.headers["x-budget-ms"]) <= 9000

    run_scenario(scenario)


def test_head_size_excludes_preceding_bytes():
    """A request whose head follows another request's body must not be rejected as too large."""

    async def scenario():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        data = call("invite", body=b"x" * 60000) + call()
        client.send(data[:-10])
        await wait_until(lambda: bool(server.requests))
        client.send(data[-10:])
        assert (await client.receive())[0] == 200 and (await client.receive())[0] == 200

    run_scenario(scenario)


def test_hop_by_hop_headers_are_not_forwarded():
    """Headers that a client agreed on with the node alone must not reach the server."""

    async def scenario():
        bench = await Bench(server := Server()).start()
        extra = b"Connection: X-Trace, keep-alive\r\nX-Trace: 5\r\nConnection: x-call-id\r\nX-Kept: 6\r\n"
        assert (await bench.request_once(call(extra=extra)))[0] == 200
        (request,) = server.requests
        assert "x-trace" not in request.headers and "connection" not in request.headers
        assert request.headers["x-kept"] == "6"
        assert request.headers["x-call-id"] == "9b1f"  # This header is always forwarded.

    run_scenario(scenario)


def test_split_and_pipelined_requests_answered_in_order():
    """No request is lost that is split at any byte, or sent before the previous response."""

    async def scenario():
        async def respond_with_number(request, writer):
            return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + request.headers["x-n"].encode()

        bench = await Bench(Server(respond_with_number)).start()
        client = await bench.client()
        for byte in call(extra=b"X-N: 1\r\n"):
            client.send(bytes([byte]))
            await asyncio.sleep(0)
        assert (await client.receive())[2] == b"1"
        client.send(b"".join(call(extra=b"X-N: %d\r\n" % n) for n in range(2, 10)))
        assert [(await client.receive())[2] for _ in range(8)] == [b"%d" % n for n in range(2, 10)]

    run_scenario(scenario)


def test_server_connections_are_reused():
    async def scenario():
        bench = await Bench(server := Server()).start()
        client = await bench.client()
        for _ in range(5):
            assert (await client.request(call()))[0] == 200
        assert server.connections == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (call(extra=b"No colon here\r\n"), 400),
        (call().replace(b"X-Budget-Ms: 15000", b"X-Budget-Ms: soon"), 400),
        (call().replace(b"X-Budget-Ms: 15000", b"X-Budget-Ms: -5"), 400),
        (call().replace(b"X-Call-Id: 9b1f\r\n", b""), 400),
        (call().replace(b"X-Caller: acme\r\n", b""), 400),
        (call("offer").replace(b"Idempotency-Key: 5c0f\r\n", b""), 400),
        (call("unknown"), 404),
        (b"GET / HTTP/1.1\r\n\r\n", 404),
        (b"GET view HTTP/1.1\r\n\r\n", 400),
        (call("invite").replace(b"POST", b"GET"), 405),
        (call("offer").replace(b"Content-Length: 0", b"Content-Length: 60000000"), 413),
        (b"GET /view HTTP/1.1\r\nX-Long: " + b"x" * 40000, 431),
        (TOO_MANY_HEADERS, 431),
    ],
)
def test_invalid_request_gets_error_status(data, status):
    """Invalid input does not end the process or reach a server, and later requests are served.

    A request that may not be repeated must not be taken for one that may.
    """

    async def scenario():
        bench = await Bench(server := Server()).start()
        assert (await bench.request_once(data))[0] == status
        assert not server.requests
        assert (await bench.request_once(call()))[0] == 200

    run_scenario(scenario)


def test_repeated_headers_forwarded_and_upgrade_ignored():
    async def scenario():
        bench = await Bench(server := Server()).start()
        extra = b"X-Tag: 1\r\nX-Tag: 2\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n"
        client = await bench.client()
        status, headers, _ = await client.request(call(extra=extra))
        assert status == 200 and headers["connection"] == "close" and await client.ended()
        assert [v for k, v in server.requests[0].lines if k == "x-tag"] == ["1", "2"]
        assert not {"upgrade", "connection"} & set(server.requests[0].headers)

    run_scenario(scenario)


def test_stray_bytes_close_idle_server_connection():
    """Bytes that follow one response must not be served as the next response."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(OK + OK.replace(b"ok", b"no")))).start()
        client = await bench.client()
        for _ in range(2):
            assert (await client.request(call()))[2] == b"ok"
        assert server.connections == 2

    run_scenario(scenario)
