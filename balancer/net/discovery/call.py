"""HTTP calls to discovery, over one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import cast

import httptools

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 4 << 20


class ResponseStage(Enum):
    """How much of a response has come."""

    HEAD = "head"  # nothing, a part of its head, or an interim response
    BODY = "body"  # its head
    COMPLETE = "complete"


class DiscoveryCall(asyncio.Protocol):
    """A connection to discovery, one call at a time.

    Args:
        loop: the event loop.
        address: of discovery.
        on_response: called with the body of each response, and with None once when a call has failed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        on_response: Callable[[DiscoveryCall, bytes | None], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.on_response = on_response
        self.transport: asyncio.Transport | None = None
        self.ended = False
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def get(self, path: str, timeout: float) -> None:
        """Makes a call, whose response must be complete within `timeout` seconds."""
        host = f"{self.address[0]}:{self.address[1]}"
        self.request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.timeout = timeout
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.size = 0
        self.stage = ResponseStage.HEAD
        self.has_length = False  # the response states its length
        if self.transport is None:
            self.set_timeout(CONNECT_TIMEOUT_S)
            self.task = self.loop.create_task(self.connect())
        else:
            self.write()

    async def connect(self) -> None:
        """Opens the connection, whose protocol this is."""
        try:
            await self.loop.create_connection(lambda: self, *self.address)
        except OSError:
            self.fail()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request that waits for the connection."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:  # it came up as its time ran out
            self.disconnect()
        else:
            self.write()

    def write(self) -> None:
        """Sends the request."""
        self.set_timeout(self.timeout)
        assert self.transport is not None
        self.transport.write(self.request)

    def set_timeout(self, timeout: float) -> None:
        """Gives the step that begins now so many seconds."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(timeout, self.fail)

    def data_received(self, data: bytes) -> None:
        """Parses the response; one that is malformed or too large is a failure."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail()
            return
        self.size += len(data)
        if self.size > MAX_RESPONSE_BYTES:  # its head counts: the parser keeps a line of it until it ends
            self.fail()
        elif self.stage is ResponseStage.COMPLETE and not self.ended:
            self.on_response_complete()

    def on_response_complete(self) -> None:
        """Hands a complete response on."""
        if self.parser.get_status_code() != 200:
            self.fail()
            return
        if not self.keep_alive:
            self.disconnect()
        self.on_response(self, self.body)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Looks for the headers that state where the response ends."""
        if self.stage is ResponseStage.HEAD:  # or it is a trailer
            self.has_length = self.has_length or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Notes the end of the head, unless it is that of an interim response."""
        if self.stage is ResponseStage.HEAD and self.parser.get_status_code() >= 200:
            self.stage = ResponseStage.BODY

    def on_body(self, body: bytes) -> None:
        """Collects the body, which may come in pieces."""
        self.body += body

    def on_message_complete(self) -> None:
        """Notes that the response is complete; an interim one is passed over."""
        if self.parser.get_status_code() < 200:
            # Failure prevented: an interim response counts as a failed call, each time, and no list comes.
            self.has_length = False
            return
        self.stage = ResponseStage.COMPLETE
        self.keep_alive = self.parser.should_keep_alive()  # known here only: the parser then starts afresh

    def eof_received(self) -> None:
        """Takes the connection's end for the end of a response that does not state its length.

        Failure prevented: no list is learned from a discovery that responds in this form. A reset is no
        end.
        """
        if self.stage is ResponseStage.BODY and not self.has_length and not self.ended:
            self.stage = ResponseStage.COMPLETE
            self.keep_alive = False
            self.on_response_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the call in flight, if any, and the calls to come."""
        if self.transport is not None:
            self.transport = None
            self.fail()

    def disconnect(self) -> None:
        """Closes the connection; a further call opens a new one."""
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()

    def fail(self) -> None:
        """Ends all calls, and reports the failure once."""
        if not self.ended:
            self.end()
            self.on_response(self, None)

    def end(self) -> None:
        """Ends all calls; nothing more is reported."""
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        self.disconnect()
