"""What waits in a socket, asked of the system: the event loop may not have come to it."""

from __future__ import annotations

import asyncio
import select

CAME = select.POLLIN
ENDED = select.POLLRDHUP  # the other side has closed or reset; also where bytes before that are unread


def shows(transport: asyncio.Transport, what: int) -> bool:
    """Whether the socket shows `what`, or a failure. One that is being closed shows everything."""
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), what)
    return bool(poll.poll(0))
