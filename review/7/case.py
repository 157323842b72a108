"""Case 7: answers that clients read slowly are cut off, although the server still gives and there is room."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as h  # noqa: E402

SERVERS = 8
SOCKETS = 256
# Clients hold at most a third of the descriptors for their requests.
CLIENTS = 75
ARRIVAL_SECONDS = 8.0
ANSWER_BYTES = 12 << 20
# The rate that the pages state for bodies.
RATE = 64_000
# After this time all clients read as fast as they can, so that each sees how its answer ends.
SLOW_SECONDS = 40.0
SECONDS = 90.0


async def play(record: h.Record, trouble: bool) -> int:
    """Play the case."""
    handle = h.give_long_answers(record, ANSWER_BYTES)
    servers = [h.Server(record, f"s-{i}", i // 4, handle) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = h.Discovery(record, servers)
    await discovery.start()
    node = h.Node(record, discovery, h.settings(), sockets=SOCKETS)
    try:
        await node.start()
        now = asyncio.get_running_loop().time()
        rate = RATE if trouble else 0
        readers = [
            h.Reader(record, node, ANSWER_BYTES, rate, now + SLOW_SECONDS, now + SECONDS)
            for _ in range(CLIENTS)
        ]
        await asyncio.gather(*(r.run(random.uniform(0.0, ARRIVAL_SECONDS)) for r in readers))
    finally:
        await node.stop()
    whole, cut = sum(r.is_whole for r in readers), sum(r.is_cut for r in readers)
    record.line(f"clients={CLIENTS} whole={whole} cut_off={cut}")
    if whole + cut < CLIENTS:
        return h.NOT_RUN
    return h.BROKEN if cut else h.HELD


if __name__ == "__main__":
    sys.exit(h.main(FOLDER, play))
