"""Bodies in each framing: a server that gives them raw, and a client's side of them."""

import asyncio

from loopback import OK, Client, Server, call

LONG = bytes(range(256)) * 4096  # 1 MiB
HEAD = b"HTTP/1.1 200 OK\r\n"


def chunks(data: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    return b"".join(b"%x%b\r\n%b\r\n" % (len(p), extension, p) for p in parts) + b"0\r\n" + trailer + b"\r\n"


class RawServer(Server):
    """A server that takes each whole request, in whichever framing, and gives the bytes of `answer`."""

    def __init__(self, answer: bytes = OK, close: bool = False) -> None:
        super().__init__()
        self.answer = answer
        self.close = close
        self.bodies: list[bytes] = []
        self.heads: list[bytes] = []
        self.read = asyncio.Event()
        self.read.set()  # bodies are read at once

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                await self.read.wait()
                self.bodies.append(await body_of(head, reader))
                writer.write(self.answer)
                await writer.drain()
                if self.close:
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()


async def body_of(head: bytes, reader: asyncio.StreamReader) -> bytes:
    lines = [line.lower() for line in head.split(b"\r\n")]
    if b"transfer-encoding: chunked" in lines:
        whole = b""
        while size := int((await reader.readline()).partition(b";")[0], 16):
            whole += (await reader.readexactly(size + 2))[:-2]
        while (await reader.readline()) != b"\r\n":
            pass
        return whole
    lengths = [line[16:] for line in lines if line.startswith(b"content-length: ")]
    return await reader.readexactly(int(lengths[0])) if lengths else b""


async def receive(client: Client) -> tuple[bytes, bytes]:
    """An answer's head and its body, in whichever framing."""
    async with asyncio.timeout(20):
        head = await client.reader.readuntil(b"\r\n\r\n")
        if b"content-length" in head.lower() or b"chunked" in head.lower():
            return head, await body_of(head, client.reader)
        return head, await client.reader.read()


def upload(body: bytes, framing: bytes, extra: bytes = b"") -> bytes:
    """A keyed request with a body in the framing given."""
    head = call("offer").partition(b"Content-Length")[0]
    return head + extra + framing + b"\r\n\r\n" + body
