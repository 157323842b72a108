"""A server writes a long chunked answer slowly; the node has to pass it on."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig import (
    HOST,
    SECOND,
    TROUBLE,
    Agent,
    Node,
    Record,
    Server,
    encode,
    new_call_id,
    read_answer,
    request_class,
    run,
    settings,
)
from rig import Request as ServerRequest

REQUESTS = 4
ANSWER_BYTES = 200_000
BUDGET_MS = 900
# Bytes a second that a slow server writes, as those that the pages name for a client's body.
WRITE_RATE = 64_000
PIECE_BYTES = 6400


def body_of(call_id: str) -> bytes:
    """Return the body of the answer to a call."""
    return (call_id.encode() * ANSWER_BYTES)[:ANSWER_BYTES]


async def write_slowly(
    server: Server, request: ServerRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer at once, and write the body at WRITE_RATE, or without a pause if there is no trouble.

    The path says whether the answer is chunked or tells its length.
    """
    is_chunked = request.target.endswith("/chunked")
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {ANSWER_BYTES}"
    writer.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
    body = body_of(request.call_id)
    for start in range(0, ANSWER_BYTES, PIECE_BYTES):
        if reader.at_eof() or writer.is_closing():
            server.record.line(f"server {server.name}: cut off after {start} bytes for {request.call_id}")
            raise ConnectionResetError
        piece = body[start : start + PIECE_BYTES]
        writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if is_chunked else piece)
        await writer.drain()
        if TROUBLE:
            await asyncio.sleep(PIECE_BYTES / WRITE_RATE)
    if is_chunked:
        writer.write(b"0\r\n\r\n")
    await writer.drain()
    server.record.line(f"server {server.name} has written the whole answer to {request.call_id}")


async def send(record: Record, port: int, form: str) -> bool:
    """Send one request, and return whether its whole answer came."""
    call_id = new_call_id()
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(encode("GET", f"/tile-get/{form}", BUDGET_MS, call_id=call_id))
    sent_at = time.monotonic()
    record.line(f"client sends {call_id}, {form}")
    got = await asyncio.wait_for(read_answer(reader), 30)
    writer.close()
    is_served = got.status == 200 and got.whole and got.body == body_of(call_id)
    record.line(
        f"client got for {call_id}, {form}: {got.status}, {len(got.body)} bytes"
        f"{'' if got.whole else ', not whole'}, {time.monotonic() - sent_at:.3f} s after its request"
    )
    return is_served


async def case(record: Record) -> int:
    """Play the case, and return how many chunked answers were not passed on."""
    agent = Agent(record)
    await agent.start()
    for i in range(4):
        await agent.put(await Server(f"s-{i}", record, write_slowly).start())
    classes = [
        request_class("tile-get", "free", "all", 5 * SECOND, 1.0, 800_000, 2 * SECOND),
        request_class("alert-set", "guarded", "cell", 10 * SECOND, 8.0, 800_000, 2 * SECOND),
    ]
    for entry in classes:
        entry["late_value"] = 0.2
    node = Node(agent, record, settings(classes=classes))
    try:
        await node.start()
        # For the record alone: the same answer with its length told.
        await asyncio.gather(*[send(record, node.port, "length") for _ in range(REQUESTS)])
        served = await asyncio.gather(*[send(record, node.port, "chunked") for _ in range(REQUESTS)])
        await asyncio.sleep(0.5)
        return served.count(False)
    finally:
        node.stop()


run(case, __file__)
