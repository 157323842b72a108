"""Requests of clients get no answer in time while a crowd of peers stops in the middle of request bodies."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Agent, CaseError, Message, Node, Record, Server, read_message, request, run_case  # noqa: E402

LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 256}
SERVERS = 3
WORK_S = 0.1
# The crowd: this many peers are connected at a time, until CROWD_TOTAL have come.
CROWD_AT_A_TIME = 500
CROWD_TOTAL = 2000
PEER_PATIENCE_S = 20.0
# The clients: a request each CLIENT_INTERVAL_S on a new connection, from CLIENTS_FROM_S on.
CLIENTS_FROM_S = 4.0
CLIENT_REQUESTS = 60
CLIENT_INTERVAL_S = 0.2
BUDGET_MS = 2760  # 46% of the class's 6 s
# STANDING: an answer up to half a second after the request's time only earns nothing; later it is lost.
# PROTOCOL: each time limit gains 50 ms.
LOST_AFTER_S = BUDGET_MS / 1000 + 0.5 + 0.05
HALF_REQUEST = (
    b"POST /alert-set HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: %x\r\nX-Budget-Ms: 2760\r\n"
    b"Idempotency-Key: %032x\r\nContent-Length: 4000\r\n\r\n" + b"x" * 1000
)


async def serve(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
    """Answer a request after its work."""
    await asyncio.sleep(WORK_S)
    body = b"made for " + message.headers["x-call-id"].encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Crowd:
    """Peers that connect, send a part of a request's body and stay until they get an error or a close."""

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.come = 0
        self.ends: Counter[str] = Counter()

    async def run(self) -> None:
        """Play one peer after the other, until CROWD_TOTAL have come in all."""
        while self.come < CROWD_TOTAL:
            self.come += 1
            self.ends[await self.play_peer(0xC0000000 + self.come)] += 1

    async def play_peer(self, number: int) -> str:
        """Play one peer, and return how it ended."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError as error:
            return type(error).__name__
        try:
            writer.write(HALF_REQUEST % (number, number))
            answer = await asyncio.wait_for(reader.read(64), PEER_PATIENCE_S)
        except (OSError, TimeoutError) as error:
            return type(error).__name__
        finally:
            writer.close()
        return answer[9:12].decode() or "closed"


class Clients:
    """Clients that send each request on a new connection."""

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.ends: Counter[str] = Counter()

    async def run(self) -> None:
        """Send all requests, and wait for the end of each."""
        tasks = []
        for number in range(CLIENT_REQUESTS):
            tasks.append(asyncio.create_task(self.call(f"{0xA000 + number:x}")))
            await asyncio.sleep(CLIENT_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def call(self, number: str) -> None:
        """Send one request, and record how it ended."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError as error:
            self.record.line(f"request {number}: {type(error).__name__} at the connect")
            self.end(number, "not taken", 0.0)
            return
        writer.write(request("/tile-get/riga/7", number, BUDGET_MS))
        sent_at = time.monotonic()
        try:
            answer = await asyncio.wait_for(read_message(reader), LOST_AFTER_S)
            end = f"answered {answer.status}"
        except TimeoutError:
            end = "lost"
        except (OSError, asyncio.IncompleteReadError):
            # TERMS: no loss, where the node closes a connection before it has sent its first request on.
            end = "closed unanswered"
        finally:
            writer.close()
        self.end(number, end, time.monotonic() - sent_at)

    def end(self, number: str, end: str, seconds: float) -> None:
        """Record the end of a request."""
        self.ends[end] += 1
        self.record.line(f"request {number}: {end} after {seconds:.3f} s of {BUDGET_MS / 1000} s")


async def play(record: Record, trouble: bool) -> bool:
    """Play the clients, with the crowd or without it."""
    servers = [Server(f"s-{i}", 1, record, serve) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = Agent([server.entry() for server in servers])
    await agent.start()
    node = Node(agent, LIMITS, record)
    try:
        await node.start()
        crowd, clients = Crowd(node.port, record), Clients(node.port, record)
        peers = [asyncio.create_task(crowd.run()) for _ in range(CROWD_AT_A_TIME if trouble else 0)]
        await asyncio.sleep(CLIENTS_FROM_S)
        await clients.run()
        for peer in peers:
            peer.cancel()
        await asyncio.gather(*peers, return_exceptions=True)
        record.say(f"peers of the crowd: {crowd.come} came, ends {dict(crowd.ends)}")
        record.say(f"requests of clients: {dict(clients.ends)}")
        record.say(f"node's process: {'running' if node.process.poll() is None else 'ended'}")
        if node.process.poll() is not None or not any(end != "not taken" for end in clients.ends):
            raise CaseError("the node ended, or no request was taken")
        record.line("end of the node's log:\n" + node.log()[-1500:])
    finally:
        node.stop()
    return clients.ends["lost"] == 0


run_case(FOLDER, play)
