"""Requests to a node's management address."""

from __future__ import annotations

import asyncio

from workbench.emulator.http import ConnectionPool, Response

READY_POLL_S = 0.02  # from one readiness check of a node that starts to the next


async def fetch(
    loop: asyncio.AbstractEventLoop,
    pool: ConnectionPool,
    path: bytes,
    timeout_s: float,
    method: bytes = b"GET",
) -> Response | None:
    """Sends one request; returns None where no complete response came in time."""
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
