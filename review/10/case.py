"""Case 10: peers that send what is no HTTP/1.1 request are served, and servers get the work."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as h  # noqa: E402

SERVERS = 4
# What a bad peer is owed is due within this time of its connecting; half a second is added for the test.
OWED_S = 3.5
FIELDS = "X-Call-Id: {number}\r\nX-Budget-Ms: 2500\r\n\r\n"
PROPER = "GET /tile-get/7 HTTP/1.1\r\nHost: app.svc\r\n" + FIELDS
# RFC 9112, 2.3 and 3: a request line ends in the version. RFC 9112, 3.2: a server must answer 400 to an
# HTTP/1.1 request without `Host`, and to one with more than one.
IMPROPER = {
    "no version": "GET /tile-get/7\r\nHost: app.svc\r\n" + FIELDS,
    "version HTTP/0.9": "GET /tile-get/7 HTTP/0.9\r\nHost: app.svc\r\n" + FIELDS,
    "version HTTP/2.0": "GET /tile-get/7 HTTP/2.0\r\nHost: app.svc\r\n" + FIELDS,
    "no Host": "GET /tile-get/7 HTTP/1.1\r\n" + FIELDS,
    "two Hosts": "GET /tile-get/7 HTTP/1.1\r\nHost: app.svc\r\nHost: other.svc\r\n" + FIELDS,
}


async def play(record: h.Record, trouble: bool) -> int:
    """Play the case."""
    run: list[str] = []

    async def handle(server, reader, writer, first: str, headers: h.Headers) -> bool:
        run.append(headers["x-call-id"])
        record.line(f"server {server.name} runs id={headers['x-call-id']} {first!r}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntile")
        return True

    async def send(node: h.Node, name: str, text: str) -> bool:
        """Send a request on a new connection, and return whether a server ran it and the peer got a 200."""
        number = h.call_id()
        reader, writer = await asyncio.open_connection(node.host, node.port)
        writer.write(text.replace("{number}", number).encode())
        try:
            status, _, _ = await asyncio.wait_for(h.read_answer(reader), OWED_S)
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            record.line(f"peer {name!r} id={number}: {type(error).__name__}")
            status = 0
        writer.close()
        record.line(f"peer {name!r} id={number}: status={status} run={run.count(number)}")
        return status == 200 and number in run

    servers = [h.Server(record, f"s-{i}", 0, handle) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = h.Discovery(record, servers)
    await discovery.start()
    node = h.Node(record, discovery, h.settings())
    try:
        await node.start()
        if not await send(node, "proper", PROPER):
            return h.NOT_RUN
        served = [name for name, text in IMPROPER.items() if trouble and await send(node, name, text)]
    finally:
        await node.stop()
    record.line(f"served as though proper: {served}")
    return h.BROKEN if served else h.HELD


if __name__ == "__main__":
    sys.exit(h.main(FOLDER, play))
