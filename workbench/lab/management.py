"""HTTP requests to a node's client or management address."""

from __future__ import annotations

import asyncio

from workbench.emulator.http import ConnectionPool, Response

READY_POLL_S = 0.02  # Interval between readiness checks of a starting node.


async def fetch(
    loop: asyncio.AbstractEventLoop,
    pool: ConnectionPool,
    path: bytes,
    timeout_s: float,
    method: bytes = b"GET",
) -> Response | None:
    """Send one request; return its response, or None if no complete response arrived in time."""
    pending: asyncio.Future[Response] = loop.create_future()

    def on_response(response: Response) -> None:
        if not pending.done():
            pending.set_result(response)

    request = pool.send(b"%b %b HTTP/1.1\r\nHost: node\r\n\r\n" % (method, path), on_response)
    try:
        response = await asyncio.wait_for(pending, timeout_s)
    except TimeoutError:
        request.cancel()
        return None
    return response if response.status else None
