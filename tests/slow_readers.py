"""Clients on loopback sockets that read a long response at a set pace, or stop reading."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass

from loopback import call
from streaming_support import RawServer, chunks

# More than any of the buffers between the server and a client take.
BODY = bytes(16 << 20)
BY_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
BY_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(BODY, 32 << 10)
NETWORK_SEGMENT_BYTES = 1460


def long_response_server(response: bytes = BY_LENGTH) -> RawServer:
    """Return a server that gives the long response."""
    return RawServer(response)


@dataclass(frozen=True)
class Reading:
    """How a client reads.

    Attributes:
        piece_bytes: The bytes that it reads at once.
        pause_s: The time between two reads.
        receive_buffer_bytes: The size of its receive buffer; None for the system's.
        segment_bytes: The size of the segments that it receives; None for those of the loopback device.
        stop_after_s: The time after which it reads no more; None if it goes on.
    """

    piece_bytes: int
    pause_s: float
    receive_buffer_bytes: int | None = None
    segment_bytes: int | None = None
    stop_after_s: float | None = None


class SlowReader:
    """A client that asks for a long response and reads it.

    Args:
        port: The node's port.
        reading: How the client reads.
    """

    def __init__(self, port: int, reading: Reading) -> None:
        self.port = port
        self.reading = reading
        self.loop = asyncio.get_running_loop()
        self.read_bytes = 0
        # The time at which the connection was found to have ended, and that of the last read before.
        self.ended_at: float | None = None
        self.last_read_at = 0.0

    async def start(self) -> None:
        """Send the request, and read in a task of its own until the connection ends."""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if self.reading.receive_buffer_bytes is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.reading.receive_buffer_bytes)
        if self.reading.segment_bytes is not None:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.reading.segment_bytes)
        await self.loop.sock_connect(self.socket, ("127.0.0.1", self.port))
        await self.loop.sock_sendall(self.socket, call())
        self.task = self.loop.create_task(self.run())

    async def run(self) -> None:
        """Read until the time to stop, or until the connection ends."""
        started_at = self.loop.time()
        stop_after_s = self.reading.stop_after_s
        with contextlib.suppress(ConnectionError):
            while stop_after_s is None or self.loop.time() - started_at < stop_after_s:
                await asyncio.sleep(self.reading.pause_s)
                if not await self.read_piece():
                    break
            else:
                return
        self.ended_at = self.loop.time()

    async def read_piece(self) -> bool:
        """Read a piece, and return whether the connection goes on."""
        remaining = self.reading.piece_bytes
        while remaining:
            data = await self.loop.sock_recv(self.socket, remaining)
            if not data:
                return False
            remaining -= len(data)
            self.read_bytes += len(data)
            self.last_read_at = self.loop.time()
        return True

    def close(self) -> None:
        """Close the connection."""
        self.task.cancel()
        self.socket.close()


# The granted pace of 64 kB a second in various steps and buffers.
GRANTED_READINGS = {
    "small_pieces": Reading(6_400, 0.1),
    "pieces": Reading(32_000, 0.5),
    "large_pieces": Reading(64_000, 1.0),
    "small_segments": Reading(32_000, 0.5, segment_bytes=NETWORK_SEGMENT_BYTES),
    "small_buffer": Reading(32_000, 0.5, 4096),
    "buffer_of_256_kB": Reading(32_000, 0.5, 256 << 10, NETWORK_SEGMENT_BYTES),
    "buffer_of_1_MB": Reading(6_400, 0.1, 1 << 20),
}
# Clients that do not keep any pace.
STOPPED_READINGS = {
    "never": Reading(0, 3600.0),
    "never_with_large_buffer": Reading(0, 3600.0, 1 << 20),
    "stops_after_quick_reading": Reading(256 << 10, 0.05, stop_after_s=1.0),
    "stops_after_slow_reading": Reading(32_000, 0.5, stop_after_s=1.0),
    "few_bytes": Reading(100, 0.5),
}
