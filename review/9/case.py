"""Case 9: a node that was told to end takes a request whose long answer it cannot finish, and it is lost."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as h  # noqa: E402

SERVERS = 4
CLIENTS = 8
# New connections go on coming for 0.2 to 0.4 s after SIGTERM, and clients send on all that stay open.
CONNECT_AFTER_S = 0.2
SEND_AFTER_S = (0.9, 1.5)
# The longest deadline of the settings is 6 s, which counts as 3 s, and 0.7 s more.
KILL_AFTER_S = 3.7
# What comes within this time after SIGTERM may be lost.
EXCUSED_S = 0.7
ANSWER_BYTES = 384 << 10
# The rate that the pages state for bodies.
RATE = 64_000
PIECE_S = 0.1


async def give_slowly(server, reader, writer, first: str, headers: h.Headers) -> bool:
    """Answer at a steady rate."""
    number = headers["x-call-id"]
    server.record.line(f"server {server.name} begins the answer id={number}")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
    left = ANSWER_BYTES
    while left:
        piece = min(left, int(RATE * PIECE_S))
        writer.write(bytes(piece))
        await writer.drain()
        left -= piece
        await asyncio.sleep(PIECE_S)
    server.record.line(f"server {server.name} gave the whole answer id={number}")
    return True


class Client:
    """A client with a new connection, on which it sends one request."""

    def __init__(self, record: h.Record, node: h.Node) -> None:
        self.record, self.node = record, node
        self.number = h.call_id()
        self.sent_after_s = -1.0  # From SIGTERM to the request's last byte; negative if nothing was sent.
        self.status = 0
        self.is_lost = False

    async def run(self, told_at: float, send_after_s: float) -> None:
        """Connect, send the request at its time, and read the answer."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(CONNECT_AFTER_S)
        reader, writer = await asyncio.open_connection(self.node.host, self.node.port)
        await asyncio.sleep(told_at + send_after_s - loop.time())
        if reader.at_eof():
            self.record.line(f"client id={self.number} found its connection ended, and sent nothing")
            return
        writer.write(h.request("/tile-get/7", self.number, budget_ms=6000))
        self.sent_after_s = loop.time() - told_at
        self.record.line(f"client id={self.number} sent its request at {self.sent_after_s:.3f} s")
        try:
            _, headers = await h.read_head(reader)
            self.status = 200 if headers.get("content-length") == str(ANSWER_BYTES) else 503
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.is_lost = self.sent_after_s > EXCUSED_S
            read_bytes = len(error.partial) if isinstance(error, asyncio.IncompleteReadError) else -1
            self.record.line(
                f"client id={self.number} lost: status={self.status} {read_bytes} of {ANSWER_BYTES} bytes"
            )
        else:
            self.record.line(f"client id={self.number} answered {self.status} with {len(body)} bytes")
        writer.close()


async def play(record: h.Record, trouble: bool) -> int:
    """Play the case."""
    servers = [h.Server(record, f"s-{i}", 0, give_slowly) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = h.Discovery(record, servers)
    await discovery.start()
    node = h.Node(record, discovery, h.settings())
    loop = asyncio.get_running_loop()
    try:
        await node.start()
        await asyncio.sleep(1.5)  # The platform leaves a program alone for its first second.
        told_at = loop.time()
        if trouble:
            record.line("the platform sends SIGTERM")
            node.signal(signal.SIGTERM)
            loop.call_later(KILL_AFTER_S, record.line, "the platform sends SIGKILL")
            loop.call_later(KILL_AFTER_S, node.signal, signal.SIGKILL)
        clients = [Client(record, node) for _ in range(CLIENTS)]
        step = (SEND_AFTER_S[1] - SEND_AFTER_S[0]) / CLIENTS
        await asyncio.gather(*(c.run(told_at, SEND_AFTER_S[0] + i * step) for i, c in enumerate(clients)))
    finally:
        await node.stop()
    sent, lost = sum(c.sent_after_s >= 0 for c in clients), sum(c.is_lost for c in clients)
    record.line(f"clients={CLIENTS} sent={sent} lost={lost}")
    return h.BROKEN if lost else h.HELD


if __name__ == "__main__":
    sys.exit(h.main(FOLDER, play))
