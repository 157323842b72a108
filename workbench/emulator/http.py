"""Both sides of HTTP/1.1 as the emulator needs it: whole messages, one request at a time on a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


def response_bytes(status: int, body: bytes = b"", headers: bytes = b"") -> bytes:
    """Returns a whole response; `headers` are whole lines."""
    reason = REASONS[status]
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, reason, headers, len(body), body)


def request_bytes(
    request_class: str,
    effect: str,
    key: int,
    call_id: int,
    remaining_ms: int,
    idempotency_key: bytes,
    retry: bool = False,
) -> bytes:
    """Returns a client's request without a body, by the platform's protocol.

    Args:
        request_class: The name of its class, which is its path.
        effect: `safe`, `keyed` or `unsafe`, as scenarios spell it.
        key: The object that it asks for.
        call_id: Identifies the call.
        remaining_ms: The time that remains for it.
        idempotency_key: Sent where the effect is `keyed`.
        retry: Whether the client has tried before.
    """
    method = b"GET" if effect == "safe" else b"POST"
    lines = [b"%b /%b?obj=%x HTTP/1.1" % (method, request_class.encode(), key)]
    lines += [b"Host: app", b"X-Call-Id: %016x" % call_id, b"X-Caller: lab"]
    lines += [b"X-Budget-Ms: %d" % remaining_ms]
    lines += [b"X-Again: 1"] if retry else []
    lines += [b"Idempotency-Key: %b" % idempotency_key] if effect == "keyed" else []
    lines += [b"Content-Length: 0"] if method == b"POST" else []
    return b"\r\n".join(lines) + b"\r\n\r\n"


def parse_call_id(value: bytes) -> int:
    """Returns the number in an X-Call-Id header; -1 where there is none that can be read."""
    try:
        return int(value, 16)
    except ValueError:
        return -1


def parse_retry_after(value: bytes) -> int:
    """Returns a Retry-After header in microseconds; 0 where there is none that can be read."""
    try:
        return max(0, int(float(value) * 1e6))
    except ValueError:
        return 0


@dataclass(slots=True)
class Request:
    """A request that a server has received; the names of its headers are in lower case."""

    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class Response:
    """The outcome of a request.

    Attributes:
        status: 0 where no whole response came.
        headers: By their names in lower case.
        body: The whole body.
        request_sent: Whether the request was written to an open connection.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    request_sent: bool


ResponseCallback = Callable[[Response], None]


class ServerConnection(asyncio.Protocol):
    """A server's side of a connection. Subclasses implement `on_request`."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.request = Request()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parses what the socket has received."""
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Parses bytes, whichever way they came."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the target from the parser."""
        self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header from the parser."""
        self.request.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body from the parser."""
        self.request.body += body

    def on_message_complete(self) -> None:
        """Passes the whole request on and begins the next."""
        self.request.method = self.parser.get_method()
        self.on_request(self.request)
        self.request = Request()

    def on_request(self, request: Request) -> None:
        """Handles a whole request."""
        raise NotImplementedError


class ClientConnection(asyncio.Protocol):
    """A client's side of a connection.

    Args:
        idle: The pool's idle connections, where this one waits between requests.
    """

    def __init__(self, idle: list[ClientConnection]) -> None:
        self.idle = idle
        self.transport: asyncio.Transport | None = None
        self.on_response: ResponseCallback | None = None  # while a request is outstanding
        self.parser: httptools.HttpResponseParser | None = None  # once a request has been written
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.request_sent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, data: bytes, on_response: ResponseCallback) -> None:
        """Writes a request; `on_response` is called once with its outcome, unless it is cancelled."""
        self.on_response = on_response
        self.headers = {}
        self.body = b""
        self.parser = httptools.HttpResponseParser(self)
        assert self.transport is not None
        self.request_sent = not self.transport.is_closing()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parses a response; aborts the connection at data that is no response to a written request.

        Such data are a malformed response, or any where no request was written (RFC 9112, 9.2). Where a
        request is outstanding, `connection_lost` reports it as failed.
        """
        if self.on_response is None or self.parser is None:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header from the parser."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body from the parser."""
        self.body += body

    def on_message_complete(self) -> None:
        """Reports a final response and returns the connection to the pool, or closes it."""
        assert self.parser is not None
        status = self.parser.get_status_code()
        if status < 200:
            return
        on_response, self.on_response = self.on_response, None
        if self.parser.should_keep_alive():
            self.idle.append(self)
        elif self.transport is not None:
            self.transport.close()
        if on_response is not None:
            on_response(Response(status, self.headers, self.body, True))

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports an outstanding request as failed."""
        if self in self.idle:
            self.idle.remove(self)
        self.fail(self.request_sent)

    def fail(self, request_sent: bool) -> None:
        """Reports that an outstanding request gets no response."""
        on_response, self.on_response = self.on_response, None
        if on_response is not None:
            on_response(Response(0, {}, b"", request_sent))

    def cancel(self) -> None:
        """Aborts the connection; nothing is reported any more."""
        self.on_response = None
        self.abort()

    def abort(self) -> None:
        """Aborts the connection; an outstanding request fails when it is lost."""
        if self in self.idle:
            self.idle.remove(self)
        if self.transport is not None:
            self.transport.abort()


class ConnectionPool:
    """Connections to one address, reused between requests.

    Args:
        loop: Runs the connections.
        host: Of the server.
        port: Of the server.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, host: str, port: int) -> None:
        self.loop = loop
        self.host = host
        self.port = port
        self.idle: list[ClientConnection] = []
        self.connecting: set[asyncio.Task[None]] = set()

    def send(self, data: bytes, on_response: ResponseCallback) -> ClientConnection:
        """Sends a request on an idle connection, or on a new one.

        Returns:
            The connection, on which the request can be cancelled.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.send(data, on_response)
                return connection
        connection = ClientConnection(self.idle)
        connection.on_response = on_response
        task = self.loop.create_task(self.connect(connection, data))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)
        return connection

    async def connect(self, connection: ClientConnection, data: bytes) -> None:
        """Opens a connection and sends the request that waits for it."""
        try:
            await self.loop.create_connection(lambda: connection, self.host, self.port)
        except OSError:
            connection.fail(request_sent=False)
            return
        if connection.on_response is None:  # cancelled in the meantime
            connection.cancel()
            return
        connection.send(data, connection.on_response)

    def close(self) -> None:
        """Closes idle connections and those not yet open; outstanding requests end with the server."""
        for connection in list(self.idle):
            connection.cancel()
        for task in list(self.connecting):
            task.cancel()
