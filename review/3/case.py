"""Lists stall while servers are replaced; nothing new may go to a server that drains."""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Agent, CaseError, Message, Node, Record, Server, read_message, request, run_case  # noqa: E402

LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 512}
# Six in ten servers are replaced: three of the first five drain, and three new ones are ready.
SERVERS, REPLACED = 5, 3
CLIENTS = 8
BUDGET_MS = 2760
WORK_S = 0.1
CALM_S = 3.0
# Time that a server drains before the platform ends it, and time that is watched after that.
DRAIN_S = 15.0
AFTER_S = 3.0
# The disruption: each answer that tells of the replacement stops in its middle; the rest comes this long
# after the call.
STALL_S = 2.5
# A change counts as told 6 s after discovery had it, whether it arrived or not; new work ends 0.5 s
# later. Each of the two limits gains 50 ms.
TOLD_S, STOP_SENDING_S, SLACK_S = 6.0, 0.5, 0.1


class StallingAgent(Agent):
    """An agent that tells changes, and whose answers with changes may stall."""

    def __init__(self, servers: list[dict[str, Any]], record: Record, trouble: bool) -> None:
        super().__init__(servers)
        self.record = record
        self.trouble = trouble
        self.calls = 0
        self.changes: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def replace(self, changes: list[dict[str, Any]]) -> None:
        """Change the list."""
        self.version += 1
        self.changes = changes
        self.changed.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        try:
            while True:
                target = (await read_message(reader)).start.split(" ")[1]
                called_at = time.monotonic()
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
                since = int(query.get("since", "-1"))
                if since >= self.version:
                    try:
                        async with asyncio.timeout(int(query.get("timeout_ms", "0")) / 1000):
                            await self.changed.wait()
                    except TimeoutError:
                        pass
                await self.answer(writer, self.listing(since), called_at, since)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    def listing(self, since: int) -> dict[str, Any]:
        """Return the list after a version: the changes, or the whole list for a caller that has none."""
        if since < 0:
            latest = {entry["id"]: entry for entry in self.servers + self.changes}
            return {"version": self.version, "full": True, "servers": list(latest.values())}
        changes = self.changes if since < self.version else []
        return {"version": self.version, "full": False, "servers": changes}

    async def answer(
        self, writer: asyncio.StreamWriter, listed: dict[str, Any], called_at: float, since: int
    ) -> None:
        """Write an answer, with a stall in its middle if it tells of the replacement and there is trouble."""
        body = json.dumps(listed).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        if self.changes and listed["servers"]:
            self.calls += 1
            self.record.line(f"agent begins to answer since={since} with version {self.version}")
            if self.trouble:
                writer.write(data[: len(data) // 2])
                data = data[len(data) // 2 :]
                await asyncio.sleep(max(0.0, called_at + STALL_S - time.monotonic()))
            is_open = not writer.is_closing()
            self.record.line(
                f"agent ends the answer {time.monotonic() - called_at:.2f} s after the call; "
                f"the node's side is {'open' if is_open else 'closed'}"
            )
        writer.write(data)
        await writer.drain()


class Backend:
    """The handler of all servers, which counts what comes to servers that drain."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.draining: set[str] = set()
        self.replaced_at = 0.0
        self.to_draining: list[float] = []
        self.served: Counter[str] = Counter()

    async def serve(self, server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request after its work. A server that drains still does what it gets."""
        self.served[server.name] += 1
        if server.name in self.draining:
            since = time.monotonic() - self.replaced_at
            self.to_draining.append(since)
            self.record.line(f"{server.name}, draining for {since:.2f} s, got {message.headers['x-call-id']}")
        await asyncio.sleep(WORK_S)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class EndingServer(Server):
    """A server whose process can end: its connections are reset, and new ones are refused."""

    async def start(self) -> None:
        """Listen on a free port."""
        self.writers: set[asyncio.StreamWriter] = set()
        await super().start()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one after the other."""
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def end(self) -> None:
        """End the process."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def run_client(index: int, port: int, until: float, record: Record, ends: Counter[str]) -> None:
    """Send requests one after the other; every second one sets an alert."""
    writer: asyncio.StreamWriter | None = None
    for count in itertools.count():
        if time.monotonic() >= until:
            break
        number = f"{(index + 1) << 20 | count:x}"
        key = f"{(index + 1) << 64 | count:032x}" if count % 2 else ""
        kind = "alert-set" if key else "tile-get"
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request(f"/{kind}/{number}", number, BUDGET_MS, key, b"alert" if key else b""))
            answer = await asyncio.wait_for(read_message(reader), BUDGET_MS / 1000 + 0.55)
            end, closes = f"{kind} {answer.status}", answer.headers.get("connection", "").lower() == "close"
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            end, closes = f"{kind} {type(error).__name__}", True
        ends[end] += 1
        if not end.endswith("200"):
            record.line(f"request {number}: {end}")
            await asyncio.sleep(0.1)
        if closes and writer is not None:
            writer.close()
            writer = None
    if writer is not None:
        writer.close()


async def play(record: Record, trouble: bool) -> bool:
    """Replace servers under load, with lists that stall or that come at once."""
    backend = Backend(record)
    old = [EndingServer(f"s-{i}", 1 + (i >= REPLACED), record, backend.serve) for i in range(SERVERS)]
    new = [EndingServer(f"s-{SERVERS + i}", 3, record, backend.serve) for i in range(REPLACED)]
    for server in old + new:
        await server.start()
    agent = StallingAgent([server.entry() for server in old], record, trouble)
    await agent.start()
    node = Node(agent, LIMITS, record)
    try:
        await node.start()
        ends = Counter[str]()
        until = time.monotonic() + CALM_S + DRAIN_S + AFTER_S
        clients = [asyncio.create_task(run_client(i, node.port, until, record, ends)) for i in range(CLIENTS)]
        await asyncio.sleep(CALM_S)
        record.line(f"servers s-0 to s-{REPLACED - 1} drain, new ones are ready")
        backend.draining = {server.name for server in old[:REPLACED]}
        backend.replaced_at = time.monotonic()
        drained = [server.entry() | {"state": "draining"} for server in old[:REPLACED]]
        agent.replace(drained + [server.entry() for server in new])
        await asyncio.sleep(DRAIN_S)
        for server in old[:REPLACED]:
            record.line(f"{server.name} ends")
            server.end()
        await asyncio.gather(*clients)
        late = [t for t in backend.to_draining if t > TOLD_S + STOP_SENDING_S + SLACK_S]
        record.say(f"requests of clients: {dict(ends)}")
        record.say(f"answers with the replacement: {agent.calls}")
        to_new = sum(backend.served[server.name] for server in new)
        record.say(f"requests to new servers: {to_new}")
        record.say(
            f"requests to draining servers: {len(backend.to_draining)}, of these too late: {len(late)}"
        )
        if not ends["alert-set 200"] or not agent.calls:
            raise CaseError("too little was played")
    finally:
        node.stop()
    return not late


run_case(FOLDER, play)
