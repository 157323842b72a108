"""Streaming of long bodies: a request on its way to a server, a response on its way to a client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_BUFFERED_BYTES = 65536  # a body up to this size is buffered, and its request can be retried
MAX_BODY_BYTES = 32 << 20  # a longer body is rejected


class RequestBodySink(Protocol):
    """A connection to a server that takes a request's body."""

    def write_body(self, data: bytes) -> None:
        """Writes a piece of the body."""

    def end_body(self) -> None:
        """Ends the body."""

    def is_write_blocked(self) -> bool:
        """Whether it should get no more for now; `RequestBodyStream.on_drained` is called when it may."""


class ResponseStream(Protocol):
    """A client that a long response is streamed to."""

    def write(self, data: bytes) -> None:
        """Writes a piece of the body."""

    def end(self) -> None:
        """Ends the response."""

    def abort(self) -> None:
        """Aborts the response, so that the client notices that it is incomplete."""


class ResponseSource(Protocol):
    """A connection to a server that a response is streamed from."""

    def pause_reading(self) -> None:
        """Reads no more: the client takes no more for now."""

    def resume_reading(self) -> None:
        """Reads on: the client takes more."""


class RequestBodyStream:
    """A request's body that comes in pieces.

    Args:
        length: in bytes; None where it comes in chunks, and ends when it ends.
        on_writable: lets the client send on.
    """

    def __init__(self, length: int | None, on_writable: Callable[[], None]) -> None:
        self.length = length
        self.on_writable = on_writable
        self.size = 0
        self.buffered: list[bytes] = []  # all that has come, until some of it is discarded
        self.is_complete = False
        self.is_discarded = False  # some was discarded: no other server can have it all
        self.sink: RequestBodySink | None = None

    def feed(self, data: bytes) -> None:
        """Takes a piece of the body from the client."""
        self.size += len(data)
        if not self.is_discarded:
            self.buffered.append(data)
        if self.sink is not None:
            self.sink.write_body(data)

    def end(self) -> None:
        """Takes note that the body is complete."""
        self.is_complete = True
        if self.sink is not None:
            self.sink.end_body()

    def is_blocked(self) -> bool:
        """Whether the client must wait before it sends on."""
        return self.sink is None or not self.is_discarded or self.sink.is_write_blocked()

    def attach(self, sink: RequestBodySink) -> None:
        """Hands the body to a server from now on."""
        self.sink = sink
        for data in self.buffered:
            sink.write_body(data)
        if self.is_complete:
            sink.end_body()
        elif not sink.is_write_blocked():
            self.on_drained()

    def on_drained(self) -> None:
        """Called when the sink can take more."""
        if not self.is_complete:
            self.is_discarded = True
            self.buffered.clear()
            self.on_writable()

    def detach(self) -> None:
        """Hands the body to nobody: the attempt has ended."""
        self.sink = None
