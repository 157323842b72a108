"""The writer of complete and streamed responses, which accounts for bytes that the client does not read."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import cast

from balancer.net.downstream.message import REASON_PHRASES
from balancer.net.downstream.read_pace import ReadPace
from balancer.net.process.memory_budget import Holding, MemoryAccount
from balancer.net.process.sockets import unacknowledged_bytes
from balancer.net.upstream.body_streaming import ResponseSource

CLOSE_HEADER = b"Connection: close\r\n"
# Value of the socket option SO_LINGER, enabled with a timeout of 0: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResponseWriter:
    """Writes responses to one connection.

    Args:
        account: The bytes that are buffered for the connection.
        now: The loop time.
    """

    __slots__ = ("account", "blocked", "chunked", "pace", "source", "transport", "written_bytes")

    def __init__(self, account: MemoryAccount, now: float) -> None:
        self.account = account
        # The transport of the client's connection, assigned when the connection is made.
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        # The connection to a server from which the current response is streamed.
        self.source: ResponseSource | None = None
        # Whether the streamed response is sent in chunked transfer coding.
        self.chunked = False
        self.written_bytes = 0
        self.pace = ReadPace(now)
        # Whether writing is paused because the client does not read its responses.
        self.blocked = False

    def write(self, data: bytes) -> None:
        """Write bytes to the client, unless the connection is closing."""
        if not self.transport.is_closing():
            self.written_bytes += len(data)
            self.transport.write(data)

    def write_response(self, status: int, body: bytes, headers: bytes, close: bool) -> None:
        """Write a response with its complete body."""
        self.write(
            b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b"
            % (status, REASON_PHRASES[status], headers, len(body), CLOSE_HEADER if close else b"", body)
        )

    def begin_stream(self, source: ResponseSource, length: int | None, chunked: bool) -> None:
        """Start a streamed response, whose head must be written next."""
        self.source = source
        self.chunked = length is None and chunked

    def write_stream_head(self, length: int | None, headers: bytes, close: bool) -> None:
        """Write the head of the streamed response."""
        framing = b"" if length is None else b"Content-Length: %d\r\n" % length
        if self.chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        self.write(b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (headers, framing, CLOSE_HEADER if close else b""))

    def write_stream(self, data: bytes) -> None:
        """Write a part of the streamed body, which must not be empty."""
        self.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
        if self.blocked:
            self.update_account()

    def end_stream(self) -> None:
        """Finish the streamed response, whose body has been written completely."""
        if self.chunked:
            self.write(b"0\r\n\r\n")
        self.source = None

    def reset_on_close(self) -> None:
        """Make the close of the connection a reset, which a client cannot take for the end of a response."""
        client_socket = self.transport.get_extra_info("socket")
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def pause(self, now: float) -> None:
        """React to a client that does not read its responses.

        Count the unsent bytes, and stop reading a streamed response from its server.

        Args:
            now: The loop time.
        """
        self.observe_reading(now)
        self.blocked = True
        self.update_account()
        if self.source is not None:
            self.source.pause_reading()

    def resume(self, now: float) -> None:
        """Release the unsent bytes and resume reading a streamed response, as the client reads again.

        Args:
            now: The loop time.
        """
        self.observe_reading(now)
        self.blocked = False
        self.update_account()
        if self.source is not None:
            self.source.resume_reading()

    def read_bytes(self) -> int:
        """Return how many of the written bytes the client's machine has acknowledged.

        The size of the write buffer alone does not tell whether a client reads: the kernel holds megabytes
        behind it, and takes more only once a large part of them is free.
        """
        unread_bytes = self.transport.get_write_buffer_size() + unacknowledged_bytes(self.transport)
        return self.written_bytes - unread_bytes

    def observe_reading(self, now: float) -> None:
        """Record how much of its responses the client has read.

        Args:
            now: The loop time.
        """
        if self.transport.is_closing() or now == self.pace.observed_at:
            return
        self.update_account()
        if self.pace.observe(now, self.read_bytes(), self.blocked) and self.source is not None:
            self.source.on_client_progress()

    def observed_pace(self, now: float) -> ReadPace | None:
        """Return the pace of the client while the node waits for it; None while it does not.

        Args:
            now: The loop time.
        """
        if not self.blocked:
            return None
        self.observe_reading(now)
        return self.pace

    def update_account(self) -> None:
        """Count the bytes that the client has not read, while writing is paused."""
        unread_bytes = self.transport.get_write_buffer_size() if self.blocked else 0
        self.account.set(Holding.UNREAD_RESPONSES, unread_bytes)

    def has_unsent_data(self) -> bool:
        """Return whether part of a response is still buffered; closing now would truncate it."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0
