"""Streaming of long bodies: requests from clients to servers and responses from servers to clients."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# A body up to this size is buffered, so its request can be retried; a longer one is streamed.
MAX_BUFFERED_BYTES = 65536
MAX_BODY_BYTES = 32 << 20  # Longer bodies are rejected.


class RequestBodySink(Protocol):
    """The write side of a server connection, which receives the body of a request."""

    def write_body(self, data: bytes) -> None:
        """Write a piece of the body."""

    def end_body(self) -> None:
        """Mark the end of the body."""

    def is_write_blocked(self) -> bool:
        """Return whether the caller should stop writing until `RequestBodyStream.on_drained` is called."""


class ResponseStream(Protocol):
    """The client side of a streamed response."""

    def write(self, data: bytes) -> None:
        """Write a piece of the body."""

    def end(self) -> None:
        """Mark the end of the response."""

    def abort(self) -> None:
        """Abort the response in a way that the client recognizes as incomplete."""


class ResponseSource(Protocol):
    """The read side of a server connection that a response is streamed from."""

    def pause_reading(self) -> None:
        """Stop reading from the server while the client cannot accept more data."""

    def resume_reading(self) -> None:
        """Read from the server again once the client can accept more data."""


class RequestBodyStream:
    """The body of a request, forwarded to a server as its pieces arrive from the client.

    Everything received is buffered until the server accepts it; a request whose buffer has been
    discarded can no longer be retried on another server.

    Args:
        length: The length in bytes; None for a chunked body, whose length is not known in advance.
        on_writable: Called when the client may send more of the body.
    """

    def __init__(self, length: int | None, on_writable: Callable[[], None]) -> None:
        self.length = length
        self.on_writable = on_writable
        self.size = 0
        self.buffered: list[bytes] = []  # Every piece received, until the buffer is discarded.
        self.is_complete = False
        self.has_discarded_data = False  # Once True, no other server can get the complete body.
        self.sink: RequestBodySink | None = None

    def feed(self, data: bytes) -> None:
        """Buffer a piece of the body from the client and forward it to the attached server."""
        self.size += len(data)
        if not self.has_discarded_data:
            self.buffered.append(data)
        if self.sink is not None:
            self.sink.write_body(data)

    def end(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        if self.sink is not None:
            self.sink.end_body()

    def is_blocked(self) -> bool:
        """Return whether the client must wait before it sends more."""
        return self.sink is None or not self.has_discarded_data or self.sink.is_write_blocked()

    def attach(self, sink: RequestBodySink) -> None:
        """Forward the body to a server, beginning with the pieces that are buffered."""
        self.sink = sink
        for data in self.buffered:
            sink.write_body(data)
        if self.is_complete:
            sink.end_body()
        elif not sink.is_write_blocked():
            self.on_drained()

    def on_drained(self) -> None:
        """Discard the buffer and let the client send more, because the server can accept more."""
        if not self.is_complete:
            self.has_discarded_data = True
            self.buffered.clear()
            self.on_writable()

    def detach(self) -> None:
        """Stop forwarding the body, because the attempt has ended."""
        self.sink = None
