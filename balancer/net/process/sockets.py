"""The state of a socket in the kernel, which the event loop may not have reported yet."""

from __future__ import annotations

import asyncio
import fcntl
import select
import struct
import termios

READABLE = select.POLLIN
# The peer has closed or reset the connection; reported also while earlier bytes are still unread.
PEER_CLOSED = select.POLLRDHUP
# The form of the number that the kernel returns.
INT = struct.Struct("i")


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


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the kernel holds because the peer's machine has not acknowledged them.

    The result is 0 for a connection that is being closed, and if the system does not tell the number.
    """
    if transport.is_closing():
        return 0
    try:
        size = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, bytes(INT.size))
    except OSError:
        return 0
    return int(INT.unpack(size)[0])
