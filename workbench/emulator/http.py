"""Minimal HTTP/1.1 client and server: whole messages, one request at a time on each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


def encode_response(status: int, body: bytes = b"", headers: bytes = b"") -> bytes:
    """Encode a response; each header in `headers` is a line that ends with CRLF."""
    reason = REASON_PHRASES[status]
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, reason, headers, len(body), body)


def encode_request(
    request_class: str,
    effect: str,
    key: int,
    call_id: int,
    remaining_ms: int,
    idempotency_key: bytes,
    retry: bool = False,
) -> bytes:
    """Encode a client's request, which has no body, in the protocol of the platform.

    Args:
        request_class: The name of the request class, which is the path.
        effect: The effect as named in scenarios: `safe`, `keyed` or `unsafe`.
        key: The number of the requested object.
        call_id: The id of the call.
        remaining_ms: The time in milliseconds until the deadline.
        idempotency_key: The idempotency key, which is sent only if the effect is `keyed`.
        retry: Whether this is a retry of an earlier request.
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
    """Return the value of an X-Call-Id header, or -1 if it is not a hexadecimal number."""
    try:
        return int(value, 16)
    except ValueError:
        return -1


def parse_retry_after(value: bytes) -> int:
    """Return the value of a Retry-After header in microseconds, or 0 if it is not a number."""
    try:
        return max(0, int(float(value) * 1e6))
    except ValueError:
        return 0


@dataclass(slots=True)
class Request:
    """A request that a server has received. Header names are in lower case."""

    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class Response:
    """The outcome of a request.

    Attributes:
        status: The status code; 0 if no complete response was received.
        headers: Header values by header name in lower case.
        body: The complete body.
        request_sent: Whether the request was written to an open connection.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    request_sent: bool


ResponseCallback = Callable[[Response], None]


class ServerConnection(asyncio.Protocol):
    """The server side of a connection. Subclasses implement `on_request`."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.request = Request()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes that the socket has received."""
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Parse bytes of requests, and abort the connection if they are malformed."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (callback of the parser)."""
        self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (callback of the parser)."""
        self.request.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (callback of the parser)."""
        self.request.body += body

    def on_message_complete(self) -> None:
        """Pass the complete request to `on_request` and start the next one (callback of the parser).

        The parser ends a request that offers another protocol at its head. Such a request is not handled,
        because its body is missing; `feed` aborts the connection.
        """
        if self.parser.should_upgrade():
            return
        self.request.method = self.parser.get_method()
        self.on_request(self.request)
        self.request = Request()

    def on_request(self, request: Request) -> None:
        """Handle a complete request."""
        raise NotImplementedError


class ClientConnection(asyncio.Protocol):
    """The client side of a connection.

    Args:
        idle_connections: The pool's list of idle connections, which contains this one between requests.
    """

    def __init__(self, idle_connections: list[ClientConnection]) -> None:
        self.idle_connections = idle_connections
        self.transport: asyncio.Transport | None = None
        # Set while a request is outstanding.
        self.on_response: ResponseCallback | None = None
        # Set when the first request is written.
        self.parser: httptools.HttpResponseParser | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.request_sent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, data: bytes, on_response: ResponseCallback) -> None:
        """Write a request. `on_response` is called once with its outcome, unless it is cancelled."""
        self.on_response = on_response
        self.headers = {}
        self.body = b""
        self.parser = httptools.HttpResponseParser(self)
        assert self.transport is not None
        self.request_sent = not self.transport.is_closing()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse a response, and abort the connection at any data that is no response to a written request.

        Such data is a malformed response, or any data while no written request is outstanding (RFC 9112,
        9.2). `connection_lost` then reports an outstanding request as failed.
        """
        if self.on_response is None or self.parser is None:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (callback of the parser)."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (callback of the parser)."""
        self.body += body

    def on_message_complete(self) -> None:
        """Report a final response, and reuse or close the connection (callback of the parser)."""
        assert self.parser is not None
        status = self.parser.get_status_code()
        if status < 200:
            return
        on_response, self.on_response = self.on_response, None
        if self.parser.should_keep_alive():
            self.idle_connections.append(self)
        elif self.transport is not None:
            self.transport.close()
        if on_response is not None:
            on_response(Response(status, self.headers, self.body, True))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report an outstanding request as failed when the connection has closed."""
        if self in self.idle_connections:
            self.idle_connections.remove(self)
        self.fail(self.request_sent)

    def fail(self, request_sent: bool) -> None:
        """Report an outstanding request as failed."""
        on_response, self.on_response = self.on_response, None
        if on_response is not None:
            on_response(Response(0, {}, b"", request_sent))

    def cancel(self) -> None:
        """Abort the connection without reporting an outcome."""
        self.on_response = None
        self.abort()

    def abort(self) -> None:
        """Abort the connection; `connection_lost` then reports an outstanding request as failed."""
        if self in self.idle_connections:
            self.idle_connections.remove(self)
        if self.transport is not None:
            self.transport.abort()


class ConnectionPool:
    """A pool of connections to one address, which are reused between requests.

    Args:
        loop: The event loop of the connections.
        host: The host of the server.
        port: The port of the server.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, host: str, port: int) -> None:
        self.loop = loop
        self.host = host
        self.port = port
        self.idle_connections: list[ClientConnection] = []
        self.connect_tasks: set[asyncio.Task[None]] = set()

    def send(self, data: bytes, on_response: ResponseCallback) -> ClientConnection:
        """Send a request on an idle connection, or on a new one if none is idle.

        Returns:
            The connection, whose `cancel` method cancels the request.
        """
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.send(data, on_response)
                return connection
        connection = ClientConnection(self.idle_connections)
        connection.on_response = on_response
        task = self.loop.create_task(self.connect(connection, data))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)
        return connection

    async def connect(self, connection: ClientConnection, data: bytes) -> None:
        """Open a connection and send its request, unless it has been cancelled."""
        try:
            await self.loop.create_connection(lambda: connection, self.host, self.port)
        except OSError:
            connection.fail(request_sent=False)
            return
        if connection.on_response is None:
            connection.cancel()
            return
        connection.send(data, connection.on_response)

    def close(self) -> None:
        """Abort idle and unfinished connections; outstanding requests end when the server closes theirs."""
        for connection in list(self.idle_connections):
            connection.cancel()
        for task in list(self.connect_tasks):
            task.cancel()
