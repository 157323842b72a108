"""A server reads a long body slowly; the request has to get its final answer while its client waits."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Agent, CaseError, Message, Node, Record, Server, request, run_case  # noqa: E402

LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 512}
SERVERS = 4
CLIENTS = 4
BODY_BYTES = 6_000_000
BUDGET_MS = 2500
# Up to half a second after its time an answer only earns nothing; later it is lost. Each limit gains 50 ms.
SLACK_S = 0.55
# Time that a client stays, to see when its answer comes.
WATCH_S = 30.0
# The disruption: each server reads a body at this many bytes a second, not as fast as it can.
READ_RATE = 1_000_000
PIECE_BYTES = 6400
# Receive buffer of a server's connection, so that its machine does not take the body that it has not read.
RECEIVE_BUFFER_BYTES = 1 << 16


class SlowServer(Server):
    """A server that reads the bodies of requests at a bounded rate, and answers as soon as it has one."""

    def __init__(self, name: str, record: Record, trouble: bool) -> None:
        super().__init__(name, 1, record, self.answer)
        self.trouble = trouble

    async def start(self) -> None:
        """Listen on a free port."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((HOST, 0))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=1 << 14)
        self.port = listener.getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one after the other."""
        number = "none"
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                start, *lines = head[:-4].split("\r\n")
                pairs = (line.partition(":") for line in lines)
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                number = headers["x-call-id"]
                self.record.line(f"{self.name} begins to read the body of request {number}")
                body = await self.read_body(reader, int(headers["content-length"]))
                self.record.line(f"{self.name} has request {number} whole")
                await self.handler(self, Message(start, headers, body), writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError) as error:
            self.record.line(
                f"{self.name}: the connection ended ({type(error).__name__}), last request {number}"
            )
        finally:
            writer.close()

    async def read_body(self, reader: asyncio.StreamReader, size: int) -> bytes:
        """Read a body of this size, at READ_RATE if there is trouble."""
        started_at, body = time.monotonic(), bytearray()
        while len(body) < size:
            body += await reader.readexactly(min(PIECE_BYTES, size - len(body)))
            if self.trouble:
                await asyncio.sleep(started_at + len(body) / READ_RATE - time.monotonic())
        return bytes(body)

    async def answer(self, server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request that has come whole."""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def call(index: int, port: int, record: Record) -> str:
    """Send one request, and return how it ended: its status if it was answered in time."""
    number = f"{(index + 1) << 20:x}"
    data = request(f"/alert-set/{number}", number, BUDGET_MS, f"{index:032x}", b"x" * BODY_BYTES)
    answer = b""
    with socket.create_connection((HOST, port)) as connection:
        started_at = time.monotonic()
        connection.sendall(data)
        sent_at = time.monotonic()
        record.line(f"request {number}: its last byte was written after {sent_at - started_at:.3f} s")
        try:
            while b"\r\n\r\n" not in answer:
                connection.settimeout(max(0.01, sent_at + WATCH_S - time.monotonic()))
                if not (piece := connection.recv(65536)):
                    break
                answer += piece
        except OSError as error:
            record.line(f"request {number}: {type(error).__name__}")
    waited = time.monotonic() - sent_at
    status = answer.partition(b"\r\n")[0].decode() or "no answer"
    record.line(f"request {number}: {status} {waited:.3f} s after its last byte")
    in_time = b"\r\n\r\n" in answer and waited <= BUDGET_MS / 1000 + SLACK_S
    return f"answered {status.split()[1]} in time" if in_time else "lost"


async def play(record: Record, trouble: bool) -> bool:
    """Play the clients, with slow readers or quick ones."""
    servers = [SlowServer(f"s-{i}", record, trouble) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = Agent([server.entry() for server in servers])
    await agent.start()
    node = Node(agent, LIMITS, record)
    try:
        await node.start()
        calls = [asyncio.to_thread(call, i, node.port, record) for i in range(CLIENTS)]
        ends = Counter(await asyncio.gather(*calls))
        record.say(f"requests of clients: {dict(ends)}")
        if not trouble and ends["answered 200 in time"] != CLIENTS:
            raise CaseError("not all requests are served without the disruption")
    finally:
        node.stop()
    return not ends["lost"]


run_case(FOLDER, play)
