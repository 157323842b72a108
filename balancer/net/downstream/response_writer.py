"""Responses written to a client, complete or streamed, with the accounting of bytes it does not read."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import cast

from balancer.net.downstream.message import REASONS
from balancer.net.process.memory_budget import MemoryBudget
from balancer.net.upstream.body_streaming import ResponseSource

CLOSE_HEADER = b"Connection: close\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class ResponseWriter:
    """Writes responses to one connection.

    Args:
        memory_budget: counts the bytes of responses that the client does not read.
    """

    def __init__(self, memory_budget: MemoryBudget) -> None:
        self.memory_budget = memory_budget
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)  # set once it is connected
        self.source: ResponseSource | None = None  # where the current response is streamed from
        self.chunked = False  # it is streamed to the client in chunks
        self.blocked = False  # the client does not read its responses...
        self.unsent_bytes = 0  # ...of which so many bytes are held

    def write(self, data: bytes) -> None:
        """Writes to the client, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def write_response(self, status: int, body: bytes, headers: bytes, close: bool) -> None:
        """Writes a response with all of its body."""
        self.write(
            b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b"
            % (status, REASONS[status], headers, len(body), CLOSE_HEADER if close else b"", body)
        )

    def begin_stream(self, source: ResponseSource, length: int | None, chunked: bool) -> None:
        """Begins a streamed response, whose head must be written next."""
        self.source = source
        self.chunked = length is None and chunked

    def write_stream_head(self, length: int | None, headers: bytes, close: bool) -> None:
        """Writes the head of a streamed response."""
        framing = b"" if length is None else b"Content-Length: %d\r\n" % length
        if self.chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        self.write(b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (headers, framing, CLOSE_HEADER if close else b""))

    def write_stream(self, data: bytes) -> None:
        """Writes a piece of the streamed response, which is not empty."""
        self.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def end_stream(self) -> None:
        """Ends the streamed response, which is complete."""
        if self.chunked:
            self.write(b"0\r\n\r\n")
        self.source = None

    def reset_on_close(self) -> None:
        """Lets the connection's end be a reset, which no client takes for the end of a response."""
        client_socket = self.transport.get_extra_info("socket")
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def pause(self) -> None:
        """Takes note that the client does not read its responses."""
        self.blocked = True
        if self.source is not None:
            self.source.pause_reading()
        else:
            self.set_unsent_bytes(self.transport.get_write_buffer_size())

    def resume(self) -> None:
        """Goes on as the client reads again."""
        self.blocked = False
        self.set_unsent_bytes(0)
        if self.source is not None:
            self.source.resume_reading()

    def set_unsent_bytes(self, size: int) -> None:
        """Counts so many bytes of responses as held that the client does not read."""
        self.memory_budget.reserve(size - self.unsent_bytes)
        self.unsent_bytes = size

    def has_unsent_data(self) -> bool:
        """Whether bytes of a response wait in the process: closing now would cut it short."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0
