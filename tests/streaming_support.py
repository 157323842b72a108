"""Message bodies in each framing: a server that sends raw responses, and helpers of the client's side."""

import asyncio

from loopback import OK, Client, Server, call

LONG = bytes(range(256)) * 4096  # A body of 1 MiB.
HEAD = b"HTTP/1.1 200 OK\r\n"  # The status line, to which the headers are appended.


def chunks(data: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    """Encode data with the chunked transfer coding, in chunks of this size."""
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    return b"".join(b"%x%b\r\n%b\r\n" % (len(p), extension, p) for p in parts) + b"0\r\n" + trailer + b"\r\n"


class RawServer(Server):
    """A server that reads each whole request, in any framing, and responds with the bytes of `answer`.

    A test can clear `read` to delay the reading of bodies.
    """

    def __init__(self, answer: bytes = OK, close: bool = False) -> None:
        super().__init__()
        self.answer = answer
        self.close = close
        self.bodies: list[bytes] = []
        self.heads: list[bytes] = []
        self.read = asyncio.Event()
        self.read.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection until it ends."""
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                await self.read.wait()
                self.bodies.append(await read_body(head, reader))
                writer.write(self.answer)
                await writer.drain()
                if self.close:
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()


async def read_body(head: bytes, reader: asyncio.StreamReader) -> bytes:
    """Read the body that follows this head, whether chunked or with a content length."""
    lines = [line.lower() for line in head.split(b"\r\n")]
    if b"transfer-encoding: chunked" in lines:
        body = b""
        while size := int((await reader.readline()).partition(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while (await reader.readline()) != b"\r\n":
            pass
        return body
    lengths = [line[16:] for line in lines if line.startswith(b"content-length: ")]
    return await reader.readexactly(int(lengths[0])) if lengths else b""


async def receive(client: Client) -> tuple[bytes, bytes]:
    """Read a response in any framing and return its head and its body."""
    async with asyncio.timeout(20):
        head = await client.reader.readuntil(b"\r\n\r\n")
        if b"content-length" in head.lower() or b"chunked" in head.lower():
            return head, await read_body(head, client.reader)
        return head, await client.reader.read()


def upload(body: bytes, framing: bytes, extra: bytes = b"") -> bytes:
    """Return a request with an idempotency key and a body; `framing` is the header that frames it."""
    head = call("offer").partition(b"Content-Length")[0]
    return head + extra + framing + b"\r\n\r\n" + body
