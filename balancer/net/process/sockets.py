"""The state of a socket by the system, which the event loop may not have noticed yet."""

from __future__ import annotations

import asyncio
import select

READABLE = select.POLLIN
PEER_CLOSED = select.POLLRDHUP  # the other side has closed or reset; also where bytes before that are unread


def has_event(transport: asyncio.Transport, event: int) -> bool:
    """Whether the socket shows the event, or a failure; one that is being closed always does.

    Args:
        transport: the connection.
        event: `READABLE` or `PEER_CLOSED`.
    """
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), event)
    return bool(poll.poll(0))
