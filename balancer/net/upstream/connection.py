"""A connection to a server: one exchange at a time, its response parsed.

Long bodies are streamed: that of a request from a `RequestBodyStream`, that of a response to a
`ResponseStream`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from balancer.net.process.memory_budget import MemoryBudget
from balancer.net.process.sockets import READABLE, has_event
from balancer.net.upstream.body_streaming import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    RequestBodyStream,
    ResponseStream,
)
from balancer.policy.interface import Outcome

MAX_BYTES_WITHOUT_BODY = 128 << 10  # bytes of a response without any of its body, above all its head


@dataclass
class Response:
    """A server's response.

    Attributes:
        status: the HTTP status.
        body: all of it, or the first piece of one that is streamed.
        content_type: the header's value.
        rejected: the server marked it as rejected before any work was done.
        report: the load report that came with it.
        length: in bytes, of a streamed body, if the server states it.
    """

    status: int
    body: bytes
    content_type: bytes
    rejected: bool
    report: bytes
    length: int | None = None


class ExchangeProtocol(Protocol):
    """What a connection needs of its exchange."""

    timeout: float

    def set_timeout(self, seconds: float | None) -> None:
        """Ends it unless it gets further within so many seconds; None for no limit."""

    def on_request_sent(self) -> None:
        """Called when the request's last byte was written."""

    def open_stream(self, response: Response, connection: Connection) -> ResponseStream | None:
        """Where a long response is streamed to, if anywhere."""

    def finish(self, outcome: Outcome, response: Response | None) -> None:
        """Ends it with this outcome."""


class PoolProtocol(Protocol):
    """What a connection needs of the pool that it belongs to."""

    loop: asyncio.AbstractEventLoop
    memory_budget: MemoryBudget

    def release(self, connection: Connection) -> None:
        """Takes back an idle connection that may be reused."""

    def on_connection_lost(self, connection: Connection) -> None:
        """Counts the connection's end."""


class Endpoint:
    """One server's address and this node's connections to it.

    Args:
        host: its address.
        port: its port.
        started: when its process started, in microseconds of Unix time; 0 for long ago.
    """

    __slots__ = ("busy", "host", "idle", "port", "ready", "started")

    def __init__(self, host: str, port: int, started: int) -> None:
        self.host = host
        self.port = port
        self.started = started
        self.ready = False
        self.idle: list[Connection] = []  # the most recently used last
        self.busy = 0  # exchanges that have begun and not ended

    def retire(self) -> None:
        """Starts no further exchange here; those in flight may finish."""
        self.ready = False
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class Connection(asyncio.BufferedProtocol):
    """A connection to a server: one exchange at a time.

    Args:
        pool: where it belongs.
        endpoint: the server.
    """

    def __init__(self, pool: PoolProtocol, endpoint: Endpoint) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.exchange: ExchangeProtocol | None = None
        self.idle_since = 0.0
        self.writing = False  # bytes are still in this process
        self.upload: RequestBodyStream | None = None
        self.stream: ResponseStream | None = None
        self.streamed_bytes = 0
        self.reading_paused = False  # since the client takes no more
        self.last_progress_at = 0.0
        self.bytes_without_body = 0  # in a row
        self.is_counted = False
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, with no write buffer allowed."""
        self.transport = cast(asyncio.Transport, transport)
        # With no buffer allowed, pause_writing is called at once if part of a request is unsent.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Takes note that bytes wait in this process."""
        self.writing = True

    def resume_writing(self) -> None:
        """Goes on with the body, or takes note that the request has been sent."""
        self.writing = False
        if self.unsent() and self.upload is not None:
            if self.exchange is not None:
                self.exchange.set_timeout(None)
            self.upload.on_drained()
        else:
            self.on_request_sent()

    def unsent(self) -> bool:
        """Whether part of the request is still in this process."""
        return self.writing or (self.upload is not None and not self.upload.is_complete)

    def on_request_sent(self) -> None:
        """Notifies the exchange that the request's last byte was written."""
        if self.exchange is not None:
            self.exchange.on_request_sent()

    # ---- a request's body that is streamed --------------------------------------------------------------

    def write_body(self, data: bytes) -> None:
        """Writes a piece of the request's body, in chunks where its length is not known."""
        if not self.transport.is_closing():
            assert self.upload is not None
            chunk = b"%x\r\n%b\r\n" % (len(data), data) if self.upload.length is None else data
            self.transport.write(chunk)
            if self.writing and self.exchange is not None:
                self.exchange.set_timeout(self.exchange.timeout)  # the server must take it in its time

    def end_body(self) -> None:
        """Ends the request's body."""
        if self.transport.is_closing():
            return
        assert self.upload is not None
        if self.upload.length is None:
            self.transport.write(b"0\r\n\r\n")
        if not self.writing:
            self.on_request_sent()

    def is_write_blocked(self) -> bool:
        """Whether the server should get no more of the body for now."""
        return self.transport.get_write_buffer_size() >= self.pool.memory_budget.chunk_bytes

    # ---- an exchange ------------------------------------------------------------------------------------

    def send_request(self, exchange: ExchangeProtocol, data: bytes, upload: RequestBodyStream | None) -> None:
        """Writes the exchange's request, and what there is of a body that is streamed."""
        self.exchange = exchange
        self.upload = upload
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.body = b""
        self.stream = None
        self.reset_head()
        self.complete = self.has_stray_bytes = self.keep_alive = False
        self.bytes_without_body = 0
        if not self.transport.is_closing():
            self.transport.write(data)
        if self.transport.is_closing():
            # It was lost before the write or by it, so the server cannot have the complete request.
            self.writing = True
            self.on_broken()
        elif upload is not None:
            upload.attach(self)
        elif not self.writing:
            self.on_request_sent()

    def reset_head(self) -> None:
        """Forgets the head: no response has come yet, or only an interim one."""
        self.content_type = b""
        self.rejected = False
        self.report = b""
        self.head_complete = False  # its head is complete
        self.has_length = False  # it states where it ends
        self.length: int | None = None

    def get_buffer(self, sizehint: int) -> bytearray:
        """The buffer that all connections read into."""
        return self.pool.memory_budget.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses what has been read."""
        data = memoryview(self.pool.memory_budget.read_buffer)[:nbytes]
        if self.exchange is None:
            # Failure prevented: stray bytes would be taken for the next response.
            self.close()
            return
        self.bytes_without_body += nbytes
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.complete = False
            self.has_stray_bytes = True
        if self.bytes_without_body > MAX_BYTES_WITHOUT_BODY and not self.complete:
            # Failure prevented: a head, a trailer or interim responses without end fill the memory.
            self.has_stray_bytes = True
        self.last_progress_at = self.pool.loop.time()
        self.finish_if_complete()

    def eof_received(self) -> None:
        """Completes a response that ends with its connection, since it states no length."""
        if (
            self.exchange is not None
            and self.head_complete
            and not self.has_length
            and not self.has_stray_bytes
        ):
            self.status = self.parser.get_status_code()
            self.complete = True
            self.finish_if_complete()

    def finish_if_complete(self) -> None:
        """Ends the exchange if what has come decides it."""
        if self.exchange is None:
            return
        if self.has_stray_bytes and not self.complete:
            self.fail_incomplete()
        elif self.complete and self.stream is not None:
            self.stream.end()
            self.finish(Outcome.OK, None, self.keep_alive and not self.has_stray_bytes)
        elif self.complete:
            response = self.make_response()
            self.finish(outcome_of(response), response, self.keep_alive and not self.has_stray_bytes)
        elif self.head_complete and self.stream is None and self.body and not self.is_buffered():
            self.open_stream()

    def make_response(self) -> Response:
        """The response as far as it has come."""
        return Response(
            self.status, self.body, self.content_type, self.rejected, self.report, length=self.length
        )

    def is_buffered(self) -> bool:
        """Whether the response is buffered rather than streamed."""
        size = max(len(self.body), self.length or 0)
        return size <= MAX_BUFFERED_BYTES and self.pool.memory_budget.fits(0)

    def open_stream(self) -> None:
        """Streams a response that is too long to buffer, if it is one for the client."""
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
        stream.write(self.body)
        self.release_body()

    def release_body(self) -> None:
        """Drops what is buffered of the response's body."""
        self.pool.memory_budget.release(len(self.body))
        self.body = b""

    def pause_reading(self) -> None:
        """Reads no more: the client takes no more for now."""
        if not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads on: the client takes more."""
        self.last_progress_at = self.pool.loop.time()
        if self.reading_paused and not self.transport.is_closing():
            self.reading_paused = False
            self.transport.resume_reading()

    def on_message_begin(self) -> None:
        """Begins a response; one behind a complete one is stray."""
        self.has_stray_bytes = self.complete
        self.reset_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes what matters from a header."""
        if self.head_complete:  # a trailer
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
        """Takes note of the end of the head, unless it is that of an interim response."""
        self.head_complete = self.parser.get_status_code() >= 200

    def on_body(self, body: bytes) -> None:
        """Buffers or streams a piece of the body."""
        self.bytes_without_body = 0
        if self.has_stray_bytes:
            return
        if self.stream is not None:
            self.streamed_bytes += len(body)
            if self.streamed_bytes > MAX_BODY_BYTES:
                self.has_stray_bytes = True
            else:
                self.stream.write(body)
        else:
            self.body += body
            self.pool.memory_budget.reserve(len(body))

    def on_message_complete(self) -> None:
        """Takes note of the end of the response."""
        status = self.parser.get_status_code()
        if self.complete or status < 200:  # stray bytes, or an interim response
            return
        self.status = status
        self.keep_alive = self.parser.should_keep_alive()  # known here only: the parser then starts afresh
        self.complete = True

    def finish(self, outcome: Outcome, response: Response | None, reuse: bool) -> None:
        """Ends the exchange, and releases the connection or closes it."""
        exchange, self.exchange = self.exchange, None
        self.stream = None
        self.release_body()
        reuse = reuse and not self.unsent()
        self.upload = None
        if reuse and self.endpoint.ready and not self.transport.is_closing():
            self.resume_reading()  # its client may have taken no more just as the last of the response came
            self.pool.release(self)
        else:
            self.close()
        if exchange is not None:
            exchange.finish(outcome, response)

    def on_broken(self) -> None:
        """Ends the exchange with its connection; whether it may have run depends on what was written."""
        if self.exchange is not None:
            if self.unsent() and self.stream is None:
                self.finish(Outcome.CONNECT_FAILED, None, reuse=False)
            else:
                self.fail_incomplete()

    def fail_incomplete(self) -> None:
        """Ends the exchange without a complete response, and breaks off its stream."""
        if self.stream is not None:
            self.stream.abort()
        self.finish(Outcome.RESET, None, reuse=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes note of the end of the connection."""
        self.pool.on_connection_lost(self)
        self.on_broken()

    def has_unread_data(self) -> bool:
        """Whether an idle connection's end, or stray bytes, wait in the socket.

        Failure prevented: the server has closed it, the event loop has not come to that yet, and a request
        that is not idempotent is written to it and counts as one that may have run.
        """
        return has_event(self.transport, READABLE)

    def close(self) -> None:
        """Ends the connection at once, with no wait for what the other side has not read."""
        self.transport.abort()


def outcome_of(response: Response) -> Outcome:
    """The outcome of an attempt. A 503 or 504 without the mark may come from a tier behind."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.rejected:
        return Outcome.REJECTED
    return Outcome.ERROR
