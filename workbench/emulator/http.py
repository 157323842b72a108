"""Both sides of HTTP/1.1 as the stand-ins speak it: whole messages, one request at a time on a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 500: b"Internal Server Error"}
REASONS[503] = b"Service Unavailable"


def answer_bytes(status: int, body: bytes = b"", headers: bytes = b"") -> bytes:
    """A whole answer; `headers` are whole lines."""
    reason = REASONS[status]
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, reason, headers, len(body), body)


def request_bytes(
    klass: str, effect: str, key: int, call: int, left: int, idempotency: bytes, again: bool = False
) -> bytes:
    """A client's request with no body, as PROTOCOL has it. `left`: milliseconds; `again`: it is a retry."""
    method = b"GET" if effect == "safe" else b"POST"
    lines = [b"%b /%b?obj=%x HTTP/1.1" % (method, klass.encode(), key)]
    lines += [b"Host: app", b"X-Call-Id: %016x" % call, b"X-Caller: lab", b"X-Budget-Ms: %d" % left]
    lines += [b"X-Again: 1"] if again else []
    lines += [b"Idempotency-Key: %b" % idempotency] if effect == "keyed" else []
    lines += [b"Content-Length: 0"] if method == b"POST" else []
    return b"\r\n".join(lines) + b"\r\n\r\n"


class ServerSide(asyncio.Protocol):
    """A connection that requests come in on. Subclasses have `asked`."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.begin()

    def begin(self) -> None:
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Bytes that have come, by whatever way."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.asked(self.parser.get_method(), self.target, self.headers, self.body)
        self.begin()

    def asked(self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes) -> None:
        """A request has come whole."""
        raise NotImplementedError


class Reply:
    """What came back: `status` 0 where no whole answer did; `written`: whether the request went out."""

    __slots__ = ("status", "headers", "body", "written")

    def __init__(self, status: int, headers: dict[bytes, bytes], body: bytes, written: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.written = written


Done = Callable[[Reply], None]


class ClientSide(asyncio.Protocol):
    """A connection that requests go out on."""

    def __init__(self, idle: list[ClientSide]) -> None:
        self.idle = idle  # where it waits for its next request
        self.transport: asyncio.Transport | None = None
        self.done: Done | None = None
        self.parser: httptools.HttpResponseParser | None = None  # of the response to the request that is out
        self.written = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, data: bytes, done: Done) -> None:
        """Writes a request; `done` is called once with what came of it."""
        self.done = done
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.parser = httptools.HttpResponseParser(self)
        assert self.transport is not None
        self.written = not self.transport.is_closing()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.done is None:
            self.drop()
            return
        if self.parser is None:  # no request was written yet: `connection_lost` reports the failure
            if self.transport is not None:
                self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.drop()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        assert self.parser is not None
        status = self.parser.get_status_code()
        if status < 200:
            return
        done, self.done = self.done, None
        if self.parser.should_keep_alive():
            self.idle.append(self)
        elif self.transport is not None:
            self.transport.close()
        if done is not None:
            done(Reply(status, self.headers, self.body, True))

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.idle:
            self.idle.remove(self)
        done, self.done = self.done, None
        if done is not None:
            done(Reply(0, {}, b"", self.written))

    def drop(self) -> None:
        """Goes away at once; nothing is told any more."""
        self.done = None
        if self in self.idle:
            self.idle.remove(self)
        if self.transport is not None:
            self.transport.abort()


class Lines:
    """Connections to one address, kept between requests."""

    def __init__(self, loop: asyncio.AbstractEventLoop, host: str, port: int) -> None:
        self.loop = loop
        self.host = host
        self.port = port
        self.idle: list[ClientSide] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.open: set[ClientSide] = set()

    def ask(self, data: bytes, done: Done) -> ClientSide:
        """Sends a request on a kept connection, or on a new one. The side can be dropped."""
        while self.idle:
            side = self.idle.pop()
            if side.transport is not None and not side.transport.is_closing():
                side.ask(data, done)
                return side
        side = ClientSide(self.idle)
        side.done = done
        task = self.loop.create_task(self.dial(side, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return side

    async def dial(self, side: ClientSide, data: bytes) -> None:
        try:
            await self.loop.create_connection(lambda: side, self.host, self.port)
        except OSError:
            done, side.done = side.done, None
            if done is not None:
                done(Reply(0, {}, b"", False))
            return
        if side.done is None:  # given up in the meantime
            side.drop()
            return
        side.ask(data, side.done)

    def close(self) -> None:
        """Drops what is idle; what is out ends with its process."""
        for side in list(self.idle):
            side.drop()
        for task in list(self.tasks):
            task.cancel()
