"""HTTP GET calls to the discovery service over one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import cast

import httptools

MAX_RESPONSE_BYTES = 4 << 20


class ResponseStage(Enum):
    """How much of a response has been received."""

    HEAD = "head"  # The head is incomplete; interim responses may have been received before it.
    BODY = "body"  # The head is complete, the body is not.
    COMPLETE = "complete"


class CallEnd(Enum):
    """Why a call has ended, as the log states it."""

    ANSWERED = "answered"
    NO_CONNECTION = "no connection"
    CONNECTION_LOST = "connection lost"
    MALFORMED = "malformed response"
    TOO_LARGE = "response too large"
    STATUS = "status other than 200"
    UNUSABLE = "unusable list"
    LATE = "late"
    SUPERSEDED = "another call was answered"


class DiscoveryCall(asyncio.Protocol):
    """A connection to discovery, which carries one call at a time.

    A call has no timeout of its own: its owner makes further calls beside a late one, and ends it.

    Args:
        loop: The event loop.
        address: The host and port of discovery.
        on_response: Called with this object and the body of each response. Called once with None when a call
            has failed; no further call can be made then.
        on_received: Called with this object when a part of a response has arrived.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        on_response: Callable[[DiscoveryCall, bytes | None], None],
        on_received: Callable[[DiscoveryCall], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.on_response = on_response
        self.on_received = on_received
        self.transport: asyncio.Transport | None = None
        self.ended = False
        self.failure = CallEnd.CONNECTION_LOST  # Why the call has failed, once it has.
        self.task: asyncio.Task[None] | None = None

    def get(self, path: str) -> None:
        """Request a path of the discovery service with GET."""
        host = f"{self.address[0]}:{self.address[1]}"
        self.request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.received_bytes = 0
        self.started_at = self.received_at = self.loop.time()  # The latter is when the last bytes arrived.
        self.stage = ResponseStage.HEAD
        self.has_length = False  # Whether the response has a Content-Length or Transfer-Encoding header.
        if self.transport is None:
            self.task = self.loop.create_task(self.connect())
        else:
            self.write()

    async def connect(self) -> None:
        """Open the connection with this object as its protocol."""
        try:
            await self.loop.create_connection(lambda: self, *self.address)
        except OSError:
            self.fail(CallEnd.NO_CONNECTION)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and send the pending request."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:  # The call was ended just before the connection was established.
            self.disconnect()
        else:
            self.write()

    def write(self) -> None:
        """Send the pending request."""
        assert self.transport is not None
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Parse the response; fail the call if it is malformed or too large."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail(CallEnd.MALFORMED)
            return
        self.received_bytes += len(data)
        self.received_at = self.loop.time()
        # The limit counts the response's head too, because the parser buffers each header line until its end.
        if self.received_bytes > MAX_RESPONSE_BYTES:
            self.fail(CallEnd.TOO_LARGE)
        elif self.stage is ResponseStage.COMPLETE and not self.ended:
            self.on_response_complete()
        elif not self.ended:
            self.on_received(self)

    def on_response_complete(self) -> None:
        """Pass the body of a complete response to `on_response`; fail the call unless its status is 200."""
        if self.parser.get_status_code() != 200:
            self.fail(CallEnd.STATUS)
            return
        if not self.keep_alive:
            self.disconnect()
        self.on_response(self, self.body)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record whether the head states where the response ends."""
        if self.stage is ResponseStage.HEAD:  # Trailers are ignored.
            self.has_length = self.has_length or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Record the end of the head, unless it belongs to an interim response."""
        if self.stage is ResponseStage.HEAD and self.parser.get_status_code() >= 200:
            self.stage = ResponseStage.BODY

    def on_body(self, body: bytes) -> None:
        """Append a piece to the response's body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Record the end of the response; ignore that of an interim response."""
        if self.parser.get_status_code() < 200:
            # If interim responses counted as failures, no list would be learned from a discovery service
            # that sends them before each response.
            self.has_length = False
            return
        self.stage = ResponseStage.COMPLETE
        # Read now, because the parser forgets whether to keep the connection once this callback returns.
        self.keep_alive = self.parser.should_keep_alive()

    def eof_received(self) -> None:
        """Complete a response that states no length: the end of the connection is its end.

        Otherwise no list would be learned from a discovery service that states no length. A connection that
        is reset does not complete a response.
        """
        if self.stage is ResponseStage.BODY and not self.has_length and not self.ended:
            self.stage = ResponseStage.COMPLETE
            self.keep_alive = False
            self.on_response_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in flight, if any; this object makes no calls after that."""
        if self.transport is not None:
            self.transport = None
            self.fail(CallEnd.CONNECTION_LOST)

    def disconnect(self) -> None:
        """Close the connection; the next call opens a new one."""
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()

    def fail(self, failure: CallEnd = CallEnd.CONNECTION_LOST) -> None:
        """End all calls on this object and report the failure to `on_response`, at most once."""
        if not self.ended:
            self.failure = failure
            self.end()
            self.on_response(self, None)

    def end(self) -> None:
        """End all calls on this object, without a report to `on_response`, and close the connection."""
        self.ended = True
        if self.task is not None:
            self.task.cancel()
        self.disconnect()
