"""Case 10: slow answers of over 64 KiB in chunks are cut off and refused; with a length they come whole."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as h  # noqa: E402

SERVERS = 8
SHORT_CLIENTS = 8
LONG_CLIENTS = 4
ANSWER_BYTES = 200_000
# The rate that the pages state for bodies.
RATE = 64_000
PIECE_S = 0.1
# The work of a tile-get at riga-tiles is 200 to 350 ms; that of a short answer is a tenth of it.
LONG_WORK_S = 0.3
SHORT_WORK_S = (0.02, 0.035)
# A try is given up after 42 to 55% of the class's 6 s.
BUDGET_MS = 2_600
WARM_UP_SECONDS = 4.0
SECONDS = 16.0


class Answers:
    """The servers' answers: short ones at once, long ones in chunks."""

    def __init__(self, record: h.Record, is_slow: bool) -> None:
        self.record, self.is_slow = record, is_slow
        self.cut: set[str] = set()  # Ids of requests whose answer could not be given to its end.

    async def handle(self, server: h.Server, reader, writer, first: str, headers: h.Headers) -> bool:
        """Answer a request."""
        if "/long" in first:
            await self.give_long(server, writer, headers["x-call-id"])
            return True
        await asyncio.sleep(random.uniform(*SHORT_WORK_S))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntile")
        return True

    async def give_long(self, server: h.Server, writer: asyncio.StreamWriter, number: str) -> None:
        """Give a long answer in chunks."""
        await asyncio.sleep(LONG_WORK_S)
        self.record.line(f"server {server.name} begins the answer id={number}")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        left = ANSWER_BYTES
        try:
            while left:
                piece = min(left, int(RATE * PIECE_S))
                writer.write(b"%x\r\n%b\r\n" % (piece, bytes(piece)))
                await writer.drain()
                left -= piece
                await asyncio.sleep(PIECE_S if self.is_slow else 0)
        except ConnectionError:
            self.cut.add(number)
            self.record.line(
                f"server {server.name} cut off id={number} given={ANSWER_BYTES - left} of {ANSWER_BYTES}"
            )
            raise
        writer.write(b"0\r\n\r\n")
        self.record.line(f"server {server.name} gave the whole answer id={number}")


class Client:
    """A client that sends one request at a time, each on a new connection."""

    def __init__(self, record: h.Record, node: h.Node, answers: Answers, path: str) -> None:
        self.record, self.node, self.answers, self.path = record, node, answers, path
        self.asked = self.whole = self.lost = 0

    async def run(self, starts_at: float, ends_at: float) -> None:
        """Send requests between two loop times."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(starts_at - loop.time())
        while loop.time() < ends_at:
            await self.ask()
            await asyncio.sleep(random.uniform(0.05, 0.15))

    async def ask(self) -> None:
        """Send a request, and note what came of it."""
        number, status, size = h.call_id(), 0, 0
        reader, writer = await asyncio.open_connection(self.node.host, self.node.port)
        writer.write(h.request(self.path, number, BUDGET_MS))
        self.asked += 1
        try:
            status, _, body = await asyncio.wait_for(h.read_answer(reader), 15)
            size = len(body)
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            self.record.line(f"client id={number}: {type(error).__name__}")
        writer.close()
        self.whole += status == 200
        if "/long" in self.path:
            self.record.line(f"client id={number} status={status} bytes={size}")
            await asyncio.sleep(2 * PIECE_S)  # The server notices the cut as it gives its next piece.
            self.lost += status != 200 and number in self.answers.cut


async def play(record: h.Record, trouble: bool) -> int:
    """Play the case."""
    answers = Answers(record, trouble)
    servers = [h.Server(record, f"s-{i}", 0, answers.handle) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = h.Discovery(record, servers)
    await discovery.start()
    node = h.Node(record, discovery, h.settings())
    short = [Client(record, node, answers, "/tile-get/short") for _ in range(SHORT_CLIENTS)]
    long = [Client(record, node, answers, "/tile-get/long") for _ in range(LONG_CLIENTS)]
    try:
        await node.start()
        now = asyncio.get_running_loop().time()
        tasks = [client.run(now, now + SECONDS) for client in short]
        tasks += [client.run(now + WARM_UP_SECONDS, now + SECONDS) for client in long]
        await asyncio.gather(*tasks)
    finally:
        await node.stop()
    record.line(f"short: asked={sum(c.asked for c in short)} whole={sum(c.whole for c in short)}")
    lost, whole = sum(c.lost for c in long), sum(c.whole for c in long)
    record.line(f"long: asked={sum(c.asked for c in long)} whole={whole} cut_off_and_refused={lost}")
    if not whole + lost:
        return h.NOT_RUN
    return h.BROKEN if lost else h.HELD


if __name__ == "__main__":
    sys.exit(h.main(FOLDER, play))
