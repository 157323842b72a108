"""The deadlines of a client that is sending a request: for its head, and for progress in its body."""

from __future__ import annotations

import asyncio

# In which the head of a new connection's request, or of one that has begun, must come...
HEAD_TIMEOUT_S = 2.2
MIN_BODY_BYTES = 8192  # ...and of a body so much, or the rest of it
MAX_BODY_PAUSE_S = 0.3  # in which some of a body must have come when that time is over


class ReadDeadline:
    """When a client must have sent more of its request, if it must.

    Args:
        loop: its clock is used.
        now: its time, when the connection was accepted and the time of its first head begins.
    """

    __slots__ = ("body_bytes", "body_expires_at", "expires_at", "loop")

    def __init__(self, loop: asyncio.AbstractEventLoop, now: float) -> None:
        self.loop = loop
        self.expires_at: float | None = now + HEAD_TIMEOUT_S
        self.body_expires_at = 0.0  # when a body that still comes must be complete, or much of it have come
        self.body_bytes = 0  # bytes of a body that have come since `expires_at` was set

    def start_head(self) -> None:
        """Begins the time of a head, unless one runs already."""
        if self.expires_at is None:
            self.expires_at = self.loop.time() + HEAD_TIMEOUT_S

    def start_body(self) -> None:
        """Begins the time of a body, whose head is complete.

        Failure prevented: a client that stops in its body has its head's time again and stays over 3 s.
        """
        now = self.loop.time()
        self.expires_at = max(self.expires_at or 0.0, now + MAX_BODY_PAUSE_S)
        self.body_expires_at = now + HEAD_TIMEOUT_S
        self.body_bytes = 0

    def suspend(self) -> None:
        """Stops the time of a streamed body: a client that is made to wait cannot be late."""
        self.expires_at = None
        self.body_bytes = 0

    def resume(self) -> None:
        """Begins the time of a streamed body anew, as its client may send on."""
        self.expires_at = self.loop.time() + HEAD_TIMEOUT_S
        self.body_bytes = 0

    def clear(self) -> None:
        """Ends all times: the request is complete, or is read no further."""
        self.expires_at = None

    def extend_body(self, now: float, last_read_at: float, is_streamed: bool) -> bool:
        """Whether a body that is due comes fast enough to be waited for; then it is due anew.

        Args:
            now: the loop's time.
            last_read_at: when something was last read from the client.
            is_streamed: whether the body is streamed.
        """
        is_coming = is_streamed or now - last_read_at < MAX_BODY_PAUSE_S
        if is_coming and self.body_bytes >= MIN_BODY_BYTES:
            self.body_expires_at, self.body_bytes = now + HEAD_TIMEOUT_S, 0
        if not is_coming or now >= self.body_expires_at:
            return False
        self.expires_at = self.body_expires_at if is_streamed else now + MAX_BODY_PAUSE_S
        return True
