"""A node goes over its memory limit while peers stop in the middle of request bodies."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Agent, Message, Node, Record, Server, read_message, request, run_case  # noqa: E402

LIMITS = {"cores": 1.0, "memory_mb": 40, "sockets": 512}
SERVERS = 3
WORK_S = 0.1
# The peers: this many are connected at a time, until PEERS_TOTAL have come.
PEERS_AT_A_TIME = 500
PEERS_TOTAL = 2000
PEER_PATIENCE_S = 20.0
PEER_PAUSE_S = 0.2
# Of a body of 64 KiB, the longest that PROTOCOL allows without the terms for long ones, a peer sends so much.
PEER_BODY_BYTES = 65536
PEER_SENT_BYTES = 60000
PEER_HEADER_LINES = 100
PEER_HEADER_BYTES = 64
# The clients: one request after the other, each on a new connection.
CLIENTS = 4
DURATION_S = 20.0
BUDGET_MS = 2760
MEMORY_CHECK_S = 0.02


async def serve(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
    """Answer a request after its work."""
    await asyncio.sleep(WORK_S)
    body = b"made for " + message.headers["x-call-id"].encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def half_request(number: int) -> bytes:
    """Return the part of a request that a peer sends: the head, and most of the body."""
    lines = [
        "POST /alert-set HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {number:x}",
        f"X-Budget-Ms: {BUDGET_MS}",
        f"Idempotency-Key: {number:032x}",
        f"Content-Length: {PEER_BODY_BYTES}",
    ]
    lines += [f"X-Note-{i}: {'n' * PEER_HEADER_BYTES}" for i in range(PEER_HEADER_LINES)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + b"x" * PEER_SENT_BYTES


class Peers:
    """Peers that stop in the middle of a request, and stay until they get an error or a close."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.come = 0
        self.ends: Counter[str] = Counter()

    async def run(self) -> None:
        """Play one peer after the other, until PEERS_TOTAL have come in all."""
        while self.come < PEERS_TOTAL:
            self.come += 1
            self.ends[await self.play_peer(0xC0000000 + self.come)] += 1
            await asyncio.sleep(PEER_PAUSE_S)

    async def play_peer(self, number: int) -> str:
        """Play one peer, and return how it ended."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError as error:
            return type(error).__name__
        try:
            writer.write(half_request(number))
            answer = await asyncio.wait_for(reader.read(64), PEER_PATIENCE_S)
        except (OSError, TimeoutError) as error:
            return type(error).__name__
        finally:
            writer.close()
        return answer[9:12].decode() or "closed"


class Platform:
    """The platform, which kills a node that uses more memory than its configuration states.

    It counts the private memory of the process alone (RssAnon). Shared libraries, files and the buffers of
    sockets would only add to it.
    """

    def __init__(self, node: Node, record: Record) -> None:
        self.node = node
        self.record = record
        self.limit_kib = int(LIMITS["memory_mb"]) * 1024
        self.peak_kib = 0
        self.killed = False

    async def watch(self) -> None:
        """Watch the memory of the node, and kill it over its limit."""
        noted = 0
        while not self.killed and self.node.process.poll() is None:
            used = self.node.memory_kib()
            self.peak_kib = max(self.peak_kib, used)
            if used // 4096 != noted:
                noted = used // 4096
                self.record.line(f"memory of the node: {used / 1024:.1f} MB")
            if used > self.limit_kib:
                self.killed = True
                self.node.process.send_signal(signal.SIGKILL)
                self.record.say(f"the platform kills the node at {used / 1024:.1f} MB")
            await asyncio.sleep(MEMORY_CHECK_S)


async def run_client(index: int, port: int, record: Record, ends: Counter[str]) -> None:
    """Send requests one after the other, until the time is over or the node is gone."""
    loop = asyncio.get_running_loop()
    until = loop.time() + DURATION_S
    count = 0
    while loop.time() < until:
        count += 1
        number = f"{(index + 1) << 20 | count:x}"
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError as error:
            ends[f"not taken, {type(error).__name__}"] += 1
            return
        try:
            writer.write(request("/tile-get/riga/7", number, BUDGET_MS))
            answer = await asyncio.wait_for(read_message(reader), BUDGET_MS / 1000 + 0.55)
            end = f"answered {answer.status}"
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            end = f"unanswered, {type(error).__name__}"
        finally:
            writer.close()
        ends[end] += 1
        record.line(f"request {number}: {end}")
        await asyncio.sleep(0.05)


async def play(record: Record, trouble: bool) -> bool:
    """Play the clients, with the peers or without them."""
    servers = [Server(f"s-{i}", 1, record, serve) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = Agent([server.entry() for server in servers])
    await agent.start()
    node = Node(agent, LIMITS, record)
    try:
        await node.start()
        platform, peers, ends = Platform(node, record), Peers(node.port), Counter[str]()
        watch = asyncio.create_task(platform.watch())
        crowd = [asyncio.create_task(peers.run()) for _ in range(PEERS_AT_A_TIME if trouble else 0)]
        await asyncio.gather(*(run_client(i, node.port, record, ends) for i in range(CLIENTS)))
        for task in (watch, *crowd):
            task.cancel()
        await asyncio.gather(watch, *crowd, return_exceptions=True)
        record.say(f"peers: {peers.come} came, ends {dict(peers.ends)}")
        record.say(f"requests of clients: {dict(ends)}")
        record.say(f"most memory: {platform.peak_kib / 1024:.1f} MB of {LIMITS['memory_mb']} MB")
        record.line("end of the node's log:\n" + node.log()[-1500:])
    finally:
        node.stop()
    return not platform.killed


run_case(FOLDER, play)
