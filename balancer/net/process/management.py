"""The second address, where the operators' staff call: one call to a connection, apart from all clients."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

import httptools

from balancer.net.process.listener import Listener

MOST = 8  # connections at once
ACCEPTS = 4  # taken in one go: so many more may be open until those that gave way have closed
RESERVED = MOST + ACCEPTS + 1  # descriptors, the listener's too
LARGEST = 8192  # bytes of a whole call
PATIENCE = 5.0  # seconds in which a call must have come whole
LINGER = 1.0  # seconds in which the caller may read its answer
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}

PLAIN = b"text/plain; version=0.0.4; charset=utf-8"
JSON = b"application/json"

Act = Callable[..., tuple[int, bytes]]  # a call's status and text


class Page(NamedTuple):
    """What stands at a path."""

    method: bytes
    act: Act
    kind: bytes = PLAIN
    asks: bool = False  # `act` is handed the query


Paths = Mapping[bytes, Page]


class Operator(asyncio.Protocol):
    """One call."""

    def __init__(self, owner: Management) -> None:
        self.owner = owner
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.size = 0
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.owner.loop.call_later(PATIENCE, self.answer, 408)

    def data_received(self, data: bytes) -> None:
        self.size += len(data)
        if self.answered:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400)
        if self.size > LARGEST:
            self.answer(413)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        if self.answered:
            return
        path, _, query = self.target.partition(b"?")
        if path not in self.owner.paths:
            self.answer(404)
            return
        page = self.owner.paths[path]
        if self.parser.get_method() != page.method:
            self.answer(405, headers=b"Allow: %b\r\n" % page.method)
            return
        try:
            self.answer(*(page.act(query) if page.asks else page.act()), kind=page.kind)
        except Exception as e:  # the call fails, and nothing else
            self.owner.failed(f"management: {type(e).__name__}: {e}")
            self.answer(500)

    def answer(self, status: int, text: bytes = b"", headers: bytes = b"", kind: bytes = PLAIN) -> None:
        """Answers once. Our end is closed first: closing both at once may reset the answer on its way."""
        if self.answered or self.transport.is_closing():
            return
        self.answered = True
        text = text or REASONS[status] + b"\n"
        self.transport.write(
            b"HTTP/1.1 %d %b\r\n%bContent-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
            % (status, REASONS[status], headers, kind, len(text), text)
        )
        self.transport.write_eof()
        self.limit(LINGER)

    def limit(self, seconds: float) -> None:
        """The connection ends after so long."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.owner.loop.call_later(seconds, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.owner.lost(self)


class Management:
    """The listener and its few connections.

    Failure prevented: callers that hold a connection and say nothing shut out the one that has something
    to say. Of those without a whole call, the oldest gives way.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, paths: Paths, failed: Callable[[str], None]) -> None:
        self.loop = loop
        self.paths = paths
        self.failed = failed
        self.operators: list[Operator] = []  # the oldest first
        self.open = 0  # with those that are just being closed
        self.listener = Listener(loop, self.take, lambda: self.open < MOST + ACCEPTS, ACCEPTS)

    def start(self, listener: socket.socket) -> None:
        """Takes calls from this socket."""
        self.listener.start(listener)

    def take(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        if len(self.operators) >= MOST:
            waiting = [o for o in self.operators if not o.answered and o.transport is not None]
            for oldest in (waiting or self.operators)[:1]:
                self.operators.remove(oldest)
                if oldest.transport is not None:
                    oldest.transport.abort()
        operator = Operator(self)
        self.operators.append(operator)
        self.open += 1
        self.loop.create_task(self.attach(operator, connection))

    async def attach(self, operator: Operator, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: operator, connection)
        except OSError:  # gone already
            connection.close()
            self.lost(operator)

    def lost(self, operator: Operator) -> None:
        """A connection has ended."""
        self.open -= 1
        if operator in self.operators:
            self.operators.remove(operator)
        self.listener.look()
