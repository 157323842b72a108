"""The deadlines of a client that is sending a request: for its head, and for progress in its body."""

from __future__ import annotations

import asyncio

# Time within which a client must send a request head, counted from the accept or from the head's first byte.
HEAD_TIMEOUT_S = 2.2
# Bytes of a body that a client must send in each period of `HEAD_TIMEOUT_S`, unless the rest of the body is
# shorter.
MIN_BODY_PROGRESS_BYTES = 8192
# If the client has sent nothing of a buffered body for this long when the body's deadline ends, the deadline
# is not extended.
MAX_BODY_PAUSE_S = 0.3


class ReadDeadline:
    """The deadline by which a client must have sent more of its request, if a deadline is set.

    Args:
        loop: The event loop, for its clock.
        now: The loop time at which the connection was accepted; the first head is due from then.
    """

    __slots__ = ("body_bytes", "body_expires_at", "expires_at", "loop", "resumed_at")

    def __init__(self, loop: asyncio.AbstractEventLoop, now: float) -> None:
        self.loop = loop
        self.expires_at: float | None = now + HEAD_TIMEOUT_S
        # Loop time by which a body must be complete or have made the minimum progress.
        self.body_expires_at = 0.0
        # Loop time from which the body is read again, after the node has waited for a server.
        self.resumed_at = now
        # Bytes of the body received in the current period of `HEAD_TIMEOUT_S`.
        self.body_bytes = 0

    def start_head(self) -> None:
        """Set the deadline for a head, unless a deadline is set already."""
        if self.expires_at is None:
            self.expires_at = self.loop.time() + HEAD_TIMEOUT_S

    def start_body(self) -> None:
        """Set the deadlines for a body, whose head is complete.

        The client must send some of the body before the head's deadline, or within `MAX_BODY_PAUSE_S` if that
        is later. If the body got the full `HEAD_TIMEOUT_S` again, a client that stalls in its body would hold
        the connection for more than 3 s.
        """
        now = self.loop.time()
        self.expires_at = max(self.expires_at or 0.0, now + MAX_BODY_PAUSE_S)
        self.body_expires_at = now + HEAD_TIMEOUT_S
        self.body_bytes = 0

    def suspend(self) -> None:
        """Suspend the deadline of a streamed body while the client must wait for a server to take more."""
        self.expires_at = None
        self.body_bytes = 0

    def resume(self) -> None:
        """Restart the deadline of a streamed body when the client may continue to send."""
        self.resumed_at = self.loop.time()
        self.body_expires_at = self.resumed_at + HEAD_TIMEOUT_S
        self.expires_at = self.resumed_at + MAX_BODY_PAUSE_S
        self.body_bytes = 0

    def clear(self) -> None:
        """Clear the deadline, because the request is complete or is not read any further."""
        self.expires_at = None

    def extend_body(self, now: float, last_read_at: float, is_streamed: bool) -> bool:
        """Extend the deadline of a body that makes progress; return False if the client is too slow.

        A client that has stopped is found `HEAD_TIMEOUT_S` after its last bytes, however much it sent before.
        What it sent while the node waited for a server is in the socket, and is read at once afterwards.

        Args:
            now: The loop time.
            last_read_at: The loop time at which bytes were last read from the client.
            is_streamed: Whether the body is streamed.
        """
        if is_streamed:
            stop_at = max(last_read_at + HEAD_TIMEOUT_S, self.resumed_at + MAX_BODY_PAUSE_S)
        else:
            stop_at = last_read_at + MAX_BODY_PAUSE_S
        is_active = now < stop_at
        if is_active and self.body_bytes >= MIN_BODY_PROGRESS_BYTES:
            self.body_expires_at, self.body_bytes = now + HEAD_TIMEOUT_S, 0
        if not is_active or now >= self.body_expires_at:
            return False
        self.expires_at = min(self.body_expires_at, stop_at) if is_streamed else now + MAX_BODY_PAUSE_S
        return True
