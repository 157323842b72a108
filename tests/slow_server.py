"""A server that sends a long response slowly, in each framing."""

from __future__ import annotations

import asyncio

from loopback import OK
from streaming_support import RawServer

LONG_BODY = bytes(100_000)
FRAMINGS = [b"Content-Length: %d" % len(LONG_BODY), b"Transfer-Encoding: chunked", b"X-Nothing: 1"]
# The bytes that a slow server sends of a body in each tenth of a second.
SLOW_PART_BYTES = 6400


class SlowServer(RawServer):
    """A server that sends a long body in parts, and can stop within it.

    Args:
        framing: The header that frames the body.
        body: The body.
        stop_after: The bytes of a body after which nothing more is sent; None for a whole one.
        slow_response: The number of the one response that is long, from 1, among short ones; None if all are.
    """

    def __init__(
        self,
        framing: bytes,
        body: bytes = LONG_BODY,
        stop_after: int | None = None,
        slow_response: int | None = None,
    ) -> None:
        super().__init__()
        self.framing = framing
        self.body = body
        self.stop_after = stop_after
        self.slow_response = slow_response

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to one request."""
        self.writers.append(writer)
        self.heads.append(await reader.readuntil(b"\r\n\r\n"))
        if self.slow_response not in (None, len(self.heads)):
            writer.write(OK)
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % self.framing)
        is_chunked = b"chunked" in self.framing
        for start in range(0, len(self.body), SLOW_PART_BYTES):
            if self.stop_after is not None and start >= self.stop_after:
                return
            part = self.body[start : start + SLOW_PART_BYTES]
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if is_chunked else part)
            await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n" if is_chunked else b"")
        writer.write_eof()
        # A close over unread bytes of the request would reset the connection.
        await reader.read()
        writer.close()
