"""A server gets an empty body where the client sent one, when the client offers another protocol."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Agent, CaseError, Message, Node, Record, Server, read_message, request, run_case  # noqa: E402

LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 512}
SERVERS = 4
CLIENTS = 4
REQUESTS = 25  # Of each client.
PAUSE_S = 0.05
BUDGET_MS = 2760
WORK_S = 0.05
BODY_BYTES = (100, 4000)
# The disruption: a client offers HTTP/2 with the first request of each connection, and does not insist on it.
OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABk\r\n"


class Backend:
    """The handler of all servers, which compares each request with what a client sent."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.sent: dict[str, tuple[str, str, bytes]] = {}
        self.sound = 0
        self.altered = 0

    async def serve(self, server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request after its work, and one that no client sent in this form with 400."""
        number = message.headers.get("x-call-id", "")
        form = (message.start, message.headers.get("idempotency-key", ""), message.body)
        as_sent = self.sent.get(number) == form
        self.record.line(
            f"{server.name} got {message.start!r} {number}, {len(message.body)} bytes of body: "
            + ("as sent" if as_sent else "no client sent this")
        )
        self.sound += as_sent
        self.altered += not as_sent
        await asyncio.sleep(WORK_S)
        status = b"200 OK" if as_sent else b"400 Bad Request"
        writer.write(b"HTTP/1.1 %b\r\nContent-Length: 2\r\n\r\nok" % status)


async def run_client(
    index: int, port: int, backend: Backend, record: Record, trouble: bool, ends: Counter[str]
) -> None:
    """Send requests one after the other; a connection is kept as long as the node keeps it."""
    rng = random.Random(index)
    writer: asyncio.StreamWriter | None = None
    for count in range(REQUESTS):
        number = f"{(index + 1) << 20 | count:x}"
        body = rng.randbytes(rng.randrange(*BODY_BYTES))
        target, key = f"/alert-set/{number}", f"{rng.getrandbits(128):032x}"
        backend.sent[number] = (f"POST {target} HTTP/1.1", key, body)
        data = request(target, number, BUDGET_MS, key, body)
        if writer is None:
            reader, writer = await asyncio.open_connection(HOST, port)
            if trouble:
                start, _, rest = data.partition(b"\r\n")
                data = start + b"\r\n" + OFFER + rest
        writer.write(data)
        sent_at = time.monotonic()
        try:
            answer = await asyncio.wait_for(read_message(reader), BUDGET_MS / 1000 + 0.55)
            end = f"answered {answer.status}"
            closes = answer.headers.get("connection", "").lower() == "close"
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            end, closes = f"unanswered, {type(error).__name__}", True
        ends[end] += 1
        record.line(
            f"request {number}, {len(body)} bytes of body: {end} after {time.monotonic() - sent_at:.3f} s"
        )
        if closes:
            writer.close()
            writer = None
        await asyncio.sleep(PAUSE_S)
    if writer is not None:
        writer.close()


async def play(record: Record, trouble: bool) -> bool:
    """Play the clients, with the offer or without it."""
    backend = Backend(record)
    servers = [Server(f"s-{i}", 1, record, backend.serve) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = Agent([server.entry() for server in servers])
    await agent.start()
    node = Node(agent, LIMITS, record)
    try:
        await node.start()
        ends = Counter[str]()
        await asyncio.gather(
            *(run_client(i, node.port, backend, record, trouble, ends) for i in range(CLIENTS))
        )
        record.say(f"requests of clients: {dict(ends)}")
        record.say(f"requests at servers: {backend.sound} as sent, {backend.altered} that no client sent")
        if not backend.sound + backend.altered:
            raise CaseError("no request reached a server")
    finally:
        node.stop()
    return backend.altered == 0


run_case(FOLDER, play)
