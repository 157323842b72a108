"""Case 6: a list stalls for good, the next ones for 3.2 s each, and the node never learns of a release."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as h  # noqa: E402

OLD_SERVERS = 6
REPLACED = 3
CLIENTS = 24
QUIET_SECONDS = 3.0
SECONDS = 20.0  # From the change to the end.
OLD_END_AFTER_S = 14.0  # The servers that drain end this long after the change.
ALERT_SHARE = 0.2
WORK_S = (0.2, 0.35)  # Of a tile-get at riga-tiles.
# An answer that carries the change is whole this long after its call; the first one never is.
STALL_S = 3.2
# Told at the latest 6 s after the change; 0.5 s of grace, 0.05 s of slack on sockets, 0.15 s for a node that
# is held up, and 0.3 s more.
TOLD_S = 6.0
JUDGED_AFTER_S = TOLD_S + 1.0


class StallingAgent(h.Discovery):
    """An agent whose answers stall in their middle once there is a change to tell."""

    def __init__(self, record: h.Record, servers: list[h.Server], stalls: bool) -> None:
        super().__init__(record, servers)
        self.stalls = stalls
        self.stalled = 0

    async def write_answer(self, writer: asyncio.StreamWriter, answer: dict, called_at: float) -> None:
        """Write an answer; one with a change stalls after its first half."""
        body = json.dumps(answer).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        if not (self.stalls and self.changes and answer["servers"]):
            writer.write(data)
            return
        self.stalled += 1
        number = self.stalled
        self.record.line(f"agent begins list {number}")
        writer.write(data[: len(data) // 2])
        if number == 1:
            await asyncio.Event().wait()  # This connection has fallen silent, and stays open.
        loop = asyncio.get_running_loop()
        await asyncio.sleep(called_at + STALL_S - loop.time())
        if not writer.is_closing():
            self.record.line(f"agent ends list {number}, {loop.time() - called_at:.2f} s after its call")
        writer.write(data[len(data) // 2 :])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                first, _ = await h.read_head(reader)
                called_at = asyncio.get_running_loop().time()
                await self.write_answer(writer, await self.answer(first), called_at)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Traffic:
    """The clients' requests, and the attempts at servers that drain."""

    def __init__(self, record: h.Record) -> None:
        self.record = record
        self.changed_at = float("inf")
        self.asked = self.served = self.late = self.at_new = self.alerts_failed = 0

    async def handle(self, server: h.Server, reader, writer, first: str, headers: h.Headers) -> bool:
        """Answer a request, and record an attempt at a server that drains."""
        age_s = asyncio.get_running_loop().time() - self.changed_at
        number = headers["x-call-id"]
        if server.state == "draining":
            self.record.line(
                f"server {server.name} drains and gets id={number}, {age_s:.3f} s after the change"
            )
            self.late += age_s > JUDGED_AFTER_S
        self.at_new += server.name.startswith("new")
        await asyncio.sleep(random.uniform(*WORK_S))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntile")
        return True

    async def client(self, node: h.Node, ends_at: float) -> None:
        """Send one request at a time on a kept connection."""
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at:
            reader, writer = await asyncio.open_connection(node.host, node.port)
            keep = True
            while keep and loop.time() < ends_at:
                keep = await self.ask(reader, writer)
                await asyncio.sleep(random.uniform(0.02, 0.08))
            writer.close()

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request, read its answer, and return whether the connection is kept."""
        number = h.call_id()
        is_alert = random.random() < ALERT_SHARE
        if is_alert:
            key = f"Idempotency-Key: {number}\r\nContent-Length: 0\r\n"
            writer.write(h.request("/alert-set/7", number, method="POST", headers=key))
        else:
            writer.write(h.request("/tile-get/7", number))
        self.asked += 1
        status, headers, _ = await h.read_answer(reader)
        self.served += status == 200
        if status != 200:
            self.alerts_failed += is_alert
            self.record.line(f"client id={number} alert={is_alert} status={status}")
        return headers.get("connection") != "close"


async def play(record: h.Record, trouble: bool) -> int:
    """Play the case."""
    traffic = Traffic(record)
    old = [h.Server(record, f"old-{i}", 0, traffic.handle) for i in range(OLD_SERVERS)]
    new = [h.Server(record, f"new-{i}", 0, traffic.handle) for i in range(REPLACED)]
    for server in old + new:
        await server.start()
    agent = StallingAgent(record, list(old), trouble)
    await agent.start()
    node = h.Node(record, agent, h.settings())
    loop = asyncio.get_running_loop()

    def replace() -> None:
        """Replace half of the servers, in one change; the old ones end some seconds later."""
        traffic.changed_at = loop.time()
        for server in old[:REPLACED]:
            server.state = "draining"
        agent.servers += new
        record.line("discovery has the change")
        agent.change(*old[:REPLACED], *new)
        for server in old[:REPLACED]:
            loop.call_later(OLD_END_AFTER_S, server.end)

    try:
        await node.start()
        loop.call_later(QUIET_SECONDS, replace)
        ends_at = loop.time() + QUIET_SECONDS + SECONDS
        await asyncio.gather(*(traffic.client(node, ends_at) for _ in range(CLIENTS)))
    finally:
        await node.stop()
    record.line(
        f"asked={traffic.asked} served={traffic.served} alerts_failed={traffic.alerts_failed}"
        f" at_new={traffic.at_new}"
        f" at draining servers later than {JUDGED_AFTER_S} s after the change={traffic.late}"
    )
    if traffic.served < traffic.asked / 2:
        return h.NOT_RUN
    return h.BROKEN if traffic.late else h.HELD


if __name__ == "__main__":
    sys.exit(h.main(FOLDER, play))
