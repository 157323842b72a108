"""The objects of a closed connection are released at once, without the cyclic garbage collector."""

from __future__ import annotations

import gc
import weakref

import pytest
from loopback import OK, Bench, Server, call, respond_with, run_scenario, wait_until
from streaming_support import LONG, upload

HALF_UPLOAD = upload(LONG, b"Content-Length: %d" % (2 * len(LONG)))


@pytest.mark.parametrize(
    ("data", "has_response"),
    [
        (b"garbage\r\n\r\n", True),
        (b"GET /view HTTP/1.1\r\nX-Call-Id: 1\r\n", False),
        (call("offer", body=b"x" * 5000)[:-1000], False),
        (call("view"), True),
        (call("view", extra=b"Connection: close\r\n"), True),
        (HALF_UPLOAD, False),
    ],
    ids=["malformed", "half head", "half body", "kept", "closed by node", "half upload"],
)
def test_closed_connection_is_released_at_once(data: bytes, has_response: bool) -> None:
    """Peers that reconnect at full speed would fill the memory with connections that are closed already."""

    async def scenario() -> None:
        bench = await Bench(Server(respond_with(OK))).start()
        connections = bench.node.client_connections.connections
        client = await bench.client()
        client.send(data)
        if has_response:
            await client.receive()
        await wait_until(lambda: any(c.has_served or c.partial_request is not None for c in connections))
        references = [weakref.ref(connection) for connection in connections]
        client.writer.transport.abort()
        gc.disable()
        try:
            await wait_until(lambda: not connections and not bench.node.requests.pending)
            await wait_until(lambda: all(reference() is None for reference in references))
        finally:
            gc.enable()
        assert references

    run_scenario(scenario)
