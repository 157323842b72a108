"""Case 6: a second answer that comes some milliseconds late is passed on as the answer to another request."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as h  # noqa: E402

SERVERS = 8
CLIENTS = 12
SECONDS = 20.0
WORK_S = (0.02, 0.035)  # A tenth of the work of a tile-get at riga-tiles.
MAX_PAUSE_S = 0.05  # Of a client between two requests.
SECOND_ANSWER_SHARE = 0.02
SECOND_ANSWER_DELAY_S = (0.002, 0.012)


class Tiles:
    """What the servers answer: a body that names the request's path and id, and sometimes the same again."""

    def __init__(self, record: h.Record, share: float) -> None:
        self.record, self.share = record, share
        self.tasks: set[asyncio.Task[None]] = set()

    async def handle(self, server, reader, writer, first: str, headers: h.Headers) -> bool:
        """Answer a request."""
        number = headers["x-call-id"]
        await asyncio.sleep(random.uniform(*WORK_S))
        body = f"tile {first.split(' ')[1]} for {number}".encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        self.record.line(f"server {server.name} answers id={number}")
        writer.write(answer)
        if random.random() < self.share:
            task = asyncio.create_task(self.answer_again(writer, answer, server.name, number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return True

    async def answer_again(self, writer, answer: bytes, server: str, number: str) -> None:
        """Write the same answer once more some milliseconds later, if the connection is still open."""
        await asyncio.sleep(random.uniform(*SECOND_ANSWER_DELAY_S))
        if not writer.is_closing():
            self.record.line(f"server {server} second answer id={number}")
            writer.write(answer)


class Client:
    """A client that sends one request at a time on a kept connection, and checks the body of each 200."""

    def __init__(self, record: h.Record, node: h.Node) -> None:
        self.record, self.node = record, node
        self.asked = self.served = self.foreign = 0

    async def run(self, ends_at: float) -> None:
        """Send requests until the loop time `ends_at`."""
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at:
            reader, writer = await asyncio.open_connection(self.node.host, self.node.port)
            keep = True
            while keep and loop.time() < ends_at:
                keep = await self.ask(reader, writer)
                await asyncio.sleep(random.uniform(0.0, MAX_PAUSE_S))
            writer.close()

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request, check its answer, and return whether the connection is kept."""
        number = h.call_id()
        path = f"/tile-get/{number[:6]}"
        writer.write(h.request(path, number))
        self.asked += 1
        status, headers, body = await h.read_answer(reader)
        if status == 200:
            self.served += 1
            if body != f"tile {path} for {number}".encode():
                self.foreign += 1
                self.record.line(f"client id={number} got a foreign answer: {body.decode()!r}")
        else:
            self.record.line(f"client id={number} status={status}")
        return headers.get("connection") != "close"


async def play(record: h.Record, trouble: bool) -> int:
    """Play the case."""
    tiles = Tiles(record, SECOND_ANSWER_SHARE if trouble else 0.0)
    servers = [h.Server(record, f"s-{i}", i // 4, tiles.handle) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = h.Discovery(record, servers)
    await discovery.start()
    node = h.Node(record, discovery, h.settings())
    clients = [Client(record, node) for _ in range(CLIENTS)]
    try:
        await node.start()
        ends_at = asyncio.get_running_loop().time() + SECONDS
        await asyncio.gather(*(client.run(ends_at) for client in clients))
    finally:
        await node.stop()
    asked, served = sum(c.asked for c in clients), sum(c.served for c in clients)
    foreign = sum(c.foreign for c in clients)
    record.line(f"asked={asked} served={served} foreign={foreign}")
    if served < asked / 2:
        return h.NOT_RUN
    return h.BROKEN if foreign else h.HELD


if __name__ == "__main__":
    sys.exit(h.main(FOLDER, play))
