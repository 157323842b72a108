"""Case 8: a crowd that never finishes a request makes the node cut off answers that clients read slowly."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as h  # noqa: E402

SERVERS = 4
SOCKETS = 256
READERS = 6
ANSWER_BYTES = 24 << 20
# The rate that the pages state for bodies.
RATE = 64_000
# The crowd: connections that send a part of a head and stay.
CROWD_CONNECTIONS = 4000
CROWD_BEGINS_S = 5.0
CROWD_SECONDS = 16.0
# After this time the clients read as fast as they can, so that each sees how its answer ends.
SLOW_SECONDS = 25.0
SECONDS = 60.0


async def join_crowd(node: h.Node, delay: float) -> None:
    """Connect after a delay, send two lines of a head, and stay until the node ends the connection."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(delay)
    sock = socket.socket()
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, (node.host, node.port))
        await loop.sock_sendall(sock, b"GET /tile-get/crowd HTTP/1.1\r\nHost: app.svc\r\n")
        while await loop.sock_recv(sock, 4096):
            pass
    except ConnectionError:
        pass
    finally:
        sock.close()


async def play(record: h.Record, trouble: bool) -> int:
    """Play the case."""
    handle = h.give_long_answers(record, ANSWER_BYTES)
    servers = [h.Server(record, f"s-{i}", 0, handle) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = h.Discovery(record, servers)
    await discovery.start()
    node = h.Node(record, discovery, h.settings(), sockets=SOCKETS)
    crowd: list[asyncio.Task[None]] = []
    try:
        await node.start()
        now = asyncio.get_running_loop().time()
        for _ in range(CROWD_CONNECTIONS if trouble else 0):
            delay = CROWD_BEGINS_S + CROWD_SECONDS * random.random()
            crowd.append(asyncio.create_task(join_crowd(node, delay)))
        record.line(f"{len(crowd)} connections of the crowd from {CROWD_BEGINS_S} s on")
        readers = [
            h.Reader(record, node, ANSWER_BYTES, RATE, now + SLOW_SECONDS, now + SECONDS)
            for _ in range(READERS)
        ]
        await asyncio.gather(*(r.run(random.random()) for r in readers))
    finally:
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        await node.stop()
    whole, cut = sum(r.is_whole for r in readers), sum(r.is_cut for r in readers)
    record.line(f"clients={READERS} whole={whole} cut_off={cut}")
    if whole + cut < READERS:
        return h.NOT_RUN
    return h.BROKEN if cut else h.HELD


if __name__ == "__main__":
    sys.exit(h.main(FOLDER, play))
