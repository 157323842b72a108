"""The node's program with small send buffers on the connections of clients: `python -m small_send_buffers`.

With the system's buffers, a response of 64 kB leaves the process at once, whether its client reads or not.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys

from balancer.__main__ import main
from balancer.net.downstream.client_connection import ClientConnection

SEND_BUFFER_BYTES = 4096

connection_made = ClientConnection.connection_made


def shrink_send_buffer(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
    """Shrink the send buffer of a new connection."""
    with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as duplicate:
        duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    connection_made(self, transport)


if __name__ == "__main__":
    ClientConnection.connection_made = shrink_send_buffer  # type: ignore[method-assign]
    sys.exit(main())
