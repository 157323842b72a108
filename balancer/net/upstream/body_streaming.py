"""Streaming of long bodies: requests from clients to servers and responses from servers to clients."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# A body up to this size is buffered, so its request can be retried; a longer one is streamed.
MAX_BUFFERED_BYTES = 65536
MAX_BODY_BYTES = 32 << 20  # Longer bodies are rejected.


class RequestBodySink(Protocol):
    """The side of a connection to a server that writes the body of a request to the server."""

    def write_body(self, data: bytes) -> None:
        """Write a piece of the request's body to the server."""

    def end_body(self) -> None:
        """Record that the request's body is complete; a chunked body then gets its last chunk."""

    def is_write_blocked(self) -> bool:
        """Return whether the connection's write buffer is full.

        The caller should then stop writing until `RequestBodyStream.on_drained` is called.
        """

    def unsent_bytes(self) -> int:
        """Return the size of the connection's write buffer."""


class ResponseStream(Protocol):
    """The receiving side of a streamed response: the connection to the client that gets its body."""

    def write(self, data: bytes) -> None:
        """Write a piece of the response's body to the client."""

    def end(self) -> None:
        """End the response to the client, because the server has sent all of its body."""

    def abort(self) -> None:
        """Abort the response in a way that the client recognizes as incomplete."""


class ResponseSource(Protocol):
    """The read side of a server connection that a response is streamed from."""

    def pause_reading(self) -> None:
        """Stop reading from the server while the client cannot accept more data."""

    def resume_reading(self) -> None:
        """Read from the server again once the client can accept more data."""

    def on_client_progress(self) -> None:
        """Record that the client has read something, although it cannot accept more data yet."""


class RequestBodyStream:
    """The body of a request, forwarded to a server as its pieces arrive from the client.

    All pieces are buffered until the server has accepted them, and the buffer is then discarded. From then on
    the request can no longer be retried on another server.

    Args:
        length: The length in bytes; None for a chunked body, whose length is not known in advance.
        on_writable: Called when the client may send more of the body.
        on_unsent: Called when the connection to the server buffers pieces that it cannot send yet.
    """

    def __init__(
        self, length: int | None, on_writable: Callable[[], None], on_unsent: Callable[[], None]
    ) -> None:
        self.length = length
        self.on_writable = on_writable
        self.on_unsent = on_unsent
        self.size = 0
        self.buffered: list[bytes] = []  # Every piece received, until the buffer is discarded.
        self.is_complete = False
        self.has_discarded_data = False  # Whether the buffer was discarded, so a retry would lack its pieces.
        self.discarded_bytes = 0
        self.sink: RequestBodySink | None = None

    def feed(self, data: bytes) -> None:
        """Buffer a piece of the body from the client and forward it to the attached server."""
        self.size += len(data)
        if self.has_discarded_data:
            self.discarded_bytes += len(data)
        else:
            self.buffered.append(data)
        if self.sink is not None:
            self.sink.write_body(data)

    def held_bytes(self) -> int:
        """Return the bytes of the body that are buffered, here and by the connection to the server.

        Pieces of a body with a known length are written as they are, and so are buffered once.
        """
        unsent_bytes = self.sink.unsent_bytes() if self.sink is not None else 0
        kept_bytes = self.size - self.discarded_bytes
        return kept_bytes + unsent_bytes if self.length is None else max(kept_bytes, unsent_bytes)

    def end(self) -> None:
        """Record that the client has sent the whole body, and tell the attached server connection."""
        self.is_complete = True
        if self.sink is not None:
            self.sink.end_body()

    def is_blocked(self) -> bool:
        """Return whether the client must wait before it sends more of the body.

        It waits while no server is attached, while the buffer is kept for a retry, and while the connection
        to the server cannot accept more.
        """
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
        """Discard the buffered pieces, which the server has accepted, and let the client send more.

        Nothing is discarded once the body is complete.
        """
        if not self.is_complete:
            self.has_discarded_data = True
            self.discarded_bytes = self.size
            self.buffered.clear()
            self.on_writable()

    def discard(self) -> None:
        """Discard the buffered pieces of a body that will not be sent, as its client needs no response."""
        self.discarded_bytes = self.size
        self.buffered.clear()

    def detach(self) -> None:
        """Stop forwarding the body to the server, because the attempt on that server has ended."""
        self.sink = None
