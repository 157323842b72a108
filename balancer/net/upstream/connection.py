"""A connection to a server, which carries one HTTP exchange at a time and parses its response.

Long bodies are streamed: a request's body from a `RequestBodyStream`, a response's body to a
`ResponseStream`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from balancer.net.process.body_buffer import BodyBuffer
from balancer.net.process.memory_budget import Holding, MemoryAccount, MemoryBudget
from balancer.net.process.sockets import READABLE, has_event
from balancer.net.upstream.body_streaming import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    RequestBodyStream,
    ResponseStream,
)
from balancer.policy.interface import Outcome

# Limit on consecutive bytes of a response outside its body: heads, interim responses and trailers.
MAX_NON_BODY_BYTES = 128 << 10
# A server that has sent nothing of a response for this long has paused, unless it has paused longer before.
RESPONSE_PAUSE_S = 0.1
# A server whose pause is this many times the longest one before has stopped.
MAX_PAUSE_FACTOR = 2

# The parser in place of that of a closed connection.
CLOSED_PARSER = httptools.HttpResponseParser(object())


@dataclass
class Response:
    """A server's response.

    Attributes:
        status: The HTTP status code.
        body: The complete body, or the first piece of a streamed one.
        content_type: The value of the Content-Type header.
        rejected: Whether the X-Rejected header says that the server rejected the request before doing any
            work.
        report: The value of the X-Load-Report header, with which the server states its load; empty if
            missing.
        length: The value of the Content-Length header; None if the server sent none.
        held_s: The time for which the first part of a streamed response's body was held back, in seconds.
    """

    status: int
    body: bytes
    content_type: bytes
    rejected: bool
    report: bytes
    length: int | None = None
    held_s: float = 0.0


class ExchangeProtocol(Protocol):
    """The part of an exchange's interface that its connection uses."""

    timeout: float

    def set_timeout(self, seconds: float | None) -> None:
        """Restart the timer that ends the exchange after this many seconds; None stops it."""

    def on_request_sent(self) -> None:
        """Record that the last byte of the request has been written."""

    def limit_holding(self) -> None:
        """Limit the time for which a response is held back, as the first part of its body has come."""

    def open_stream(self, response: Response, connection: Connection) -> ResponseStream | None:
        """Return the stream that passes a long response on to the client; None if no client can accept it."""

    def finish(self, outcome: Outcome, response: Response | None) -> None:
        """End the exchange with this outcome."""


class PoolProtocol(Protocol):
    """The part of the connection pool's interface that a connection uses."""

    loop: asyncio.AbstractEventLoop
    memory_budget: MemoryBudget
    # Lets the clients that hold the most memory give way, if buffered bytes exceed the limit.
    relieve_memory: Callable[[], None]

    def release(self, connection: Connection) -> None:
        """Return an idle connection to the pool for reuse."""

    def on_connection_lost(self, connection: Connection) -> None:
        """Remove a closed connection from the descriptor budget and from the idle connections."""


class Endpoint:
    """One server's address and this node's connections to it.

    Args:
        host: The IP address or host name of the server.
        port: The TCP port.
        started_us: The start of the server's process, in microseconds of Unix time; 0 if it started long ago.
    """

    __slots__ = ("active_exchanges", "host", "idle", "port", "ready", "started_us")

    def __init__(self, host: str, port: int, started_us: int) -> None:
        self.host = host
        self.port = port
        self.started_us = started_us
        self.ready = False
        self.idle: list[Connection] = []  # Idle connections, the most recently used last.
        self.active_exchanges = 0

    def retire(self) -> None:
        """Start no further exchanges on this endpoint and let those in flight finish."""
        self.ready = False
        self.close_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class Connection(asyncio.BufferedProtocol):
    """A connection to a server, which carries one exchange at a time.

    Args:
        pool: The pool that gets the connection back after each exchange.
        endpoint: The server that the connection leads to.
    """

    def __init__(self, pool: PoolProtocol, endpoint: Endpoint) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.exchange: ExchangeProtocol | None = None
        self.idle_since = 0.0
        self.write_pending = False  # Part of the written data has not reached the kernel yet.
        self.upload: RequestBodyStream | None = None
        self.stream: ResponseStream | None = None
        self.streamed_bytes = 0
        self.reading_paused = False  # True while the client cannot accept more data.
        self.last_progress_at = 0.0
        # Loop time at which the first part of the response's body came.
        self.body_began_at = 0.0
        # The longest time between two parts of the response's body so far, in seconds.
        self.longest_pause_s = 0.0
        self.non_body_bytes = 0  # Consecutive bytes received outside the response's body.
        self.account = MemoryAccount(pool.memory_budget)
        self.is_counted = False  # Whether the connection is counted in the descriptor budget.
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = CLOSED_PARSER
        self.body = BodyBuffer()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its write buffer limit to zero."""
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of zero, pause_writing is called at once if part of a request remains unsent.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Record that written data is buffered in this process."""
        self.write_pending = True
        self.count_unsent()

    def resume_writing(self) -> None:
        """Record that the kernel has taken all written data.

        If the request's streamed body is incomplete, the client may send more of it; otherwise the whole
        request has been sent, which is reported to the exchange.
        """
        self.write_pending = False
        self.account.set(Holding.UNSENT_REQUESTS, 0)
        if self.has_unsent_data() and self.upload is not None:
            if self.exchange is not None:
                self.exchange.set_timeout(None)
            self.upload.on_drained()
        else:
            self.on_request_sent()

    def count_unsent(self) -> None:
        """Count the written data that is buffered in this process; the client counts that of its upload."""
        if self.upload is not None:
            self.upload.on_unsent()
        else:
            self.account.set(Holding.UNSENT_REQUESTS, self.unsent_bytes())

    def has_unsent_data(self) -> bool:
        """Return whether the kernel has not yet received the whole request, its streamed body included."""
        return self.write_pending or (self.upload is not None and not self.upload.is_complete)

    def on_request_sent(self) -> None:
        """Notify the exchange that the last byte of the request has been written."""
        if self.exchange is not None:
            self.exchange.on_request_sent()

    # ---- Streaming of the request's body ----------------------------------------------------------------

    def write_body(self, data: bytes) -> None:
        """Write a piece of the request's body, as an HTTP chunk if the length is unknown."""
        if not self.transport.is_closing():
            assert self.upload is not None
            chunk = b"%x\r\n%b\r\n" % (len(data), data) if self.upload.length is None else data
            self.transport.write(chunk)
            if self.write_pending:
                self.count_unsent()
            if self.write_pending and self.exchange is not None:
                # The server must accept this piece before the timeout.
                self.exchange.set_timeout(self.exchange.timeout)

    def end_body(self) -> None:
        """End the request's body, with an empty last chunk if the body is chunked."""
        if self.transport.is_closing():
            return
        assert self.upload is not None
        if self.upload.length is None:
            self.transport.write(b"0\r\n\r\n")
        if not self.write_pending:
            self.on_request_sent()

    def is_write_blocked(self) -> bool:
        """Return whether the write buffer is full, so that the request's body must wait."""
        return self.unsent_bytes() >= self.pool.memory_budget.chunk_bytes

    def unsent_bytes(self) -> int:
        """Return the size of the write buffer."""
        return self.transport.get_write_buffer_size()

    # ---- The exchange -----------------------------------------------------------------------------------

    def send_request(self, exchange: ExchangeProtocol, data: bytes, upload: RequestBodyStream | None) -> None:
        """Write a request to the server.

        Args:
            exchange: The exchange that the request belongs to, which is told its outcome.
            data: The bytes of the request, without a streamed body.
            upload: The streamed body, of which the pieces that have arrived are written at once; None if the
                request has no streamed body.
        """
        self.exchange = exchange
        self.upload = upload
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.body = BodyBuffer()
        self.stream = None
        self.reset_head()
        # has_protocol_error is set by malformed, unexpected and oversized data.
        self.complete = self.has_protocol_error = self.keep_alive = False
        self.non_body_bytes = 0
        if not self.transport.is_closing():
            self.transport.write(data)
        if self.transport.is_closing():
            # The connection was lost before or during the write, so the server lacks the complete request.
            self.write_pending = True
            self.fail_exchange()
        elif upload is not None:
            upload.attach(self)
        elif not self.write_pending:
            self.on_request_sent()

    def reset_head(self) -> None:
        """Clear the parsed head: before each request and at the start of each response to it."""
        self.content_type = b""
        self.rejected = False
        self.report = b""
        self.head_complete = False
        self.has_length = False  # Whether the response has a Content-Length or Transfer-Encoding header.
        self.length: int | None = None

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the read buffer that all connections share."""
        return self.pool.memory_budget.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that have been read."""
        data = memoryview(self.pool.memory_budget.read_buffer)[:nbytes]
        if self.exchange is None:
            # Data that arrives without a request would be taken for the response to the next request.
            self.close()
            return
        self.non_body_bytes += nbytes
        now = self.pool.loop.time()
        if self.body:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_progress_at)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.complete = False
            self.has_protocol_error = True
        if self.non_body_bytes > MAX_NON_BODY_BYTES and not self.complete:
            # An endless head, trailer or run of interim responses must not exhaust the memory.
            self.has_protocol_error = True
        self.last_progress_at = now
        self.finish_if_complete()
        self.pool.relieve_memory()

    def eof_received(self) -> None:
        """Complete a response that states no length: the end of the connection is its end."""
        if (
            self.exchange is not None
            and self.head_complete
            and not self.has_length
            and not self.has_protocol_error
        ):
            self.status = self.parser.get_status_code()
            self.complete = True
            self.finish_if_complete()

    def finish_if_complete(self) -> None:
        """End the exchange if the response is complete or invalid.

        If neither is true and the response is too long to buffer, start to stream it.
        """
        if self.exchange is None:
            return
        if self.has_protocol_error and not self.complete:
            self.fail_incomplete()
        elif self.complete and self.stream is not None:
            self.stream.end()
            self.finish(Outcome.OK, None, self.keep_alive and not self.has_protocol_error)
        elif self.complete:
            response = self.make_response()
            self.finish(
                classify_response(response), response, self.keep_alive and not self.has_protocol_error
            )
        elif self.head_complete and self.stream is None and self.body and not self.is_buffered():
            self.open_stream()

    def make_response(self) -> Response:
        """Return the parsed response, with the part of its body that has been received and not streamed."""
        return Response(
            self.status,
            self.body.to_bytes(),
            self.content_type,
            self.rejected,
            self.report,
            length=self.length,
            held_s=self.pool.loop.time() - self.body_began_at if self.body else 0.0,
        )

    def is_buffered(self) -> bool:
        """Return whether the response can be buffered; otherwise it is streamed.

        It can if it is short enough and the memory budget for buffers is not used up.
        """
        size = max(len(self.body), self.length or 0)
        return size <= MAX_BUFFERED_BYTES and self.pool.memory_budget.can_reserve(0)

    def is_response_coming(self) -> bool:
        """Return whether the server is in the middle of a response's body and has not stopped there."""
        pause = self.pool.loop.time() - self.last_progress_at
        return bool(self.body) and pause <= max(RESPONSE_PAUSE_S, MAX_PAUSE_FACTOR * self.longest_pause_s)

    def stream_partial(self) -> bool:
        """Start to stream a response without a length, if some of its body has come and may be passed on.

        Such a response is otherwise buffered until it is known to be too long.

        Returns:
            Whether the response is streamed now, or the exchange has ended.
        """
        is_coming = self.head_complete and self.length is None and len(self.body) > 0
        if not is_coming or self.parser.get_status_code() != 200:
            return False
        self.open_stream()
        return True

    def open_stream(self) -> None:
        """Start to stream a response too long to buffer; fail the exchange if it cannot be streamed.

        Only a 200 response of an acceptable length is passed on to the client.
        """
        self.status = self.parser.get_status_code()
        assert self.exchange is not None
        response = self.make_response()
        fits = self.status == 200 and (self.length or 0) <= MAX_BODY_BYTES
        stream = self.exchange.open_stream(response, self) if fits else None
        if stream is None:
            self.finish(Outcome.ERROR, None, reuse=False)
            return
        self.stream = stream
        self.streamed_bytes = len(self.body)
        stream.write(response.body)
        self.release_body()

    def release_body(self) -> None:
        """Discard the buffered part of the response's body."""
        self.body.clear()
        self.account.set(Holding.RESPONSES, 0)

    def pause_reading(self) -> None:
        """Stop reading from the server while the client cannot accept more data."""
        if not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the server again once the client can accept more data."""
        self.last_progress_at = self.pool.loop.time()
        if self.reading_paused and not self.transport.is_closing():
            self.reading_paused = False
            self.transport.resume_reading()

    def on_client_progress(self) -> None:
        """Record that the client has read something of the streamed response."""
        self.last_progress_at = self.pool.loop.time()

    def on_message_begin(self) -> None:
        """Prepare for a response; one that follows the complete response is a protocol error."""
        self.has_protocol_error = self.complete
        self.reset_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the value of a header that the node uses; ignore the others."""
        if self.head_complete:  # This header is a trailer.
            return
        key = name.lower()
        if key in (b"content-length", b"transfer-encoding"):
            self.has_length = True
            if key == b"content-length" and value.isdigit():
                self.length = int(value)
        elif key == b"content-type":
            self.content_type = value
        elif key == b"x-rejected":
            self.rejected = value.strip() == b"1"
        elif key == b"x-load-report":
            self.report = value

    def on_headers_complete(self) -> None:
        """Record the end of the head, unless it belongs to an interim response."""
        self.head_complete = self.parser.get_status_code() >= 200

    def on_body(self, body: bytes) -> None:
        """Stream a piece of the response's body if its stream is open, and buffer the piece otherwise.

        A streamed body longer than `MAX_BODY_BYTES` is a protocol error.
        """
        self.non_body_bytes = 0
        if self.has_protocol_error:
            return
        if self.stream is not None:
            self.streamed_bytes += len(body)
            if self.streamed_bytes > MAX_BODY_BYTES:
                self.has_protocol_error = True
            else:
                self.stream.write(body)
        else:
            if not self.body:
                self.begin_body()
            self.body.append(body)
            self.account.set(Holding.RESPONSES, self.body.held_bytes())

    def begin_body(self) -> None:
        """Record that a body begins; one whose length is not known may not be held back for long."""
        self.body_began_at = self.pool.loop.time()
        self.longest_pause_s = 0.0
        if self.length is None and self.exchange is not None and self.parser.get_status_code() == 200:
            self.exchange.limit_holding()

    def on_message_complete(self) -> None:
        """Record the end of the response; ignore interim ones and any that follow the complete response."""
        status = self.parser.get_status_code()
        if self.complete or status < 200:
            return
        self.status = status
        # Read now, because the parser forgets whether to keep the connection once this callback returns.
        self.keep_alive = self.parser.should_keep_alive()
        self.complete = True

    def finish(self, outcome: Outcome, response: Response | None, reuse: bool) -> None:
        """End the exchange and return the connection to the pool, or close it if it cannot be reused."""
        exchange, self.exchange = self.exchange, None
        self.stream = None
        self.release_body()
        reuse = reuse and not self.has_unsent_data()
        self.upload = None
        if reuse and self.endpoint.ready and not self.transport.is_closing():
            # The client may have paused reading as the last piece of the response arrived.
            self.resume_reading()
            self.pool.release(self)
        else:
            self.close()
        if exchange is not None:
            exchange.finish(outcome, response)

    def fail_exchange(self) -> None:
        """End the exchange because its connection is lost.

        A server that lacks part of the request cannot have run it. The outcome is then a failed connect, and
        the request may be repeated safely.
        """
        if self.exchange is not None:
            if self.has_unsent_data() and self.stream is None:
                self.finish(Outcome.CONNECT_FAILED, None, reuse=False)
            else:
                self.fail_incomplete()

    def fail_incomplete(self) -> None:
        """End the exchange as reset, as its response is incomplete, and abort the stream of it, if any."""
        if self.stream is not None:
            self.stream.abort()
        self.finish(Outcome.RESET, None, reuse=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the pool and end its exchange."""
        self.pool.on_connection_lost(self)
        self.account.close()
        self.fail_exchange()
        # The parser refers back to the connection, which would stay until the next garbage collection.
        self.parser = CLOSED_PARSER

    def has_unread_data(self) -> bool:
        """Return whether the end of this idle connection, or unexpected data, is waiting in the socket.

        The server may have closed the connection without the event loop having noticed yet. A request written
        to such a connection counts as possibly run, so it cannot be retried if it is not idempotent.
        """
        return has_event(self.transport, READABLE)

    def close(self) -> None:
        """Abort the connection without waiting for data that the server has not read."""
        self.transport.abort()


def classify_response(response: Response) -> Outcome:
    """Return the outcome of an attempt that got this response.

    A 503 or 504 response counts as rejected only with the header `X-Rejected: 1`. Without that header it may
    come from a tier behind the server, so it is an error.
    """
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.rejected:
        return Outcome.REJECTED
    return Outcome.ERROR
