"""The pauses in reading from a client: for its server, and for other clients."""

from __future__ import annotations

import asyncio
from typing import cast

# Bytes read from one connection in an iteration of the event loop.
MAX_BURST_BYTES = 16384


class ReadThrottle:
    """Pauses and resumes the reading from one client.

    Args:
        loop: The event loop.
    """

    __slots__ = (
        "burst_bytes",
        "has_yielded",
        "is_paused",
        "loop",
        "read_at",
        "transport",
        "transport_paused",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        # The transport of the client's connection, assigned when the connection is made.
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        # Whether reading is paused because a server must take more of the upload first.
        self.is_paused = False
        # Whether reading is paused until the event loop's next iteration.
        self.has_yielded = False
        self.transport_paused = False
        # Bytes read in the event loop's iteration of the last read, and its loop time.
        self.burst_bytes = 0
        self.read_at = 0.0

    def is_open(self) -> bool:
        """Return whether the connection has been made and is not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    def on_read(self, size: int) -> None:
        """Record a read, and pause until the loop's next iteration once many bytes were read in this one.

        The event loop otherwise reads on from a client that sends fast, and others wait meanwhile.
        """
        now = self.loop.time()  # Constant within an iteration of the event loop.
        self.burst_bytes = size if now != self.read_at else self.burst_bytes + size
        self.read_at = now
        if self.burst_bytes >= MAX_BURST_BYTES and not self.has_yielded:
            self.has_yielded = True
            self.loop.call_soon(self.end_yield)
            self.apply()

    def end_yield(self) -> None:
        """Read again after a pause for other connections."""
        self.has_yielded = False
        self.burst_bytes = 0
        self.apply()

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading for the server that takes the upload."""
        self.is_paused = paused
        self.apply()

    def apply(self) -> None:
        """Pause or resume the transport if the reasons to pause have changed."""
        pause = self.is_paused or self.has_yielded
        if pause == self.transport_paused or not self.is_open():
            return
        self.transport_paused = pause
        if pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
