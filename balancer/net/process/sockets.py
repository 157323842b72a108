"""The state of a socket in the kernel, which the event loop may not have reported yet."""

from __future__ import annotations

import asyncio
import select

READABLE = select.POLLIN
# The peer has closed or reset the connection; reported also while earlier bytes are still unread.
PEER_CLOSED = select.POLLRDHUP


def has_event(transport: asyncio.Transport, event: int) -> bool:
    """Return whether the event or an error is pending on the socket, or the connection is being closed.

    Args:
        transport: The connection.
        event: `READABLE` or `PEER_CLOSED`.
    """
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), event)
    return bool(poll.poll(0))
