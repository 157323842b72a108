"""A connection to a server: one exchange at a time, its answer read.

What is long passes through: a request's body as an `Upload`, an answer's as a `Flow`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from balancer.net.process.memory_budget import MemoryBudget
from balancer.net.process.sockets import READABLE, has_event
from balancer.net.upstream.body_streaming import LARGEST, WHOLE, Flow, Upload
from balancer.policy.interface import Outcome

LARGEST_BARE = 128 << 10  # bytes of an answer without any of its body, above all its head


@dataclass
class Answer:
    """A server's whole answer."""

    status: int
    body: bytes
    content_type: bytes
    rejected: bool
    report: bytes
    length: int | None = None  # of a body that will flow, if it was told


class Errand(Protocol):
    """The exchange that a connection carries."""

    timeout: float

    def limit(self, seconds: float | None) -> None:
        """It must end, or get further, within so many seconds."""

    def written(self) -> None:
        """The request's last byte has gone."""

    def flow(self, answer: Answer, connection: Connection) -> Flow | None:
        """Where a long answer goes, if anywhere."""

    def end(self, outcome: Outcome, answer: Answer | None) -> None:
        """It is over."""


class Keeper(Protocol):
    """What a connection needs of the pool that it belongs to."""

    loop: asyncio.AbstractEventLoop
    memory_budget: MemoryBudget

    def keep(self, connection: Connection) -> None:
        """It carries nothing and may be used again."""

    def lost(self, connection: Connection) -> None:
        """It has ended."""


class Endpoint:
    """One server's address and this node's connections to it."""

    __slots__ = ("host", "port", "started", "ready", "idle", "busy")

    def __init__(self, host: str, port: int, started: int) -> None:
        self.host = host
        self.port = port
        self.started = started
        self.ready = False
        self.idle: list[Connection] = []  # the most recently used last
        self.busy = 0  # exchanges that have begun and not ended

    def retire(self) -> None:
        """Nothing new goes here; what is out may finish."""
        self.ready = False
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections that carry nothing."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class Connection(asyncio.BufferedProtocol):
    """A connection to a server: one exchange at a time."""

    def __init__(self, pool: Keeper, endpoint: Endpoint) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.exchange: Errand | None = None
        self.idle_since = 0.0
        self.writing = False  # bytes are still in this process
        self.upload: Upload | None = None
        self.flow: Flow | None = None
        self.passed = 0  # bytes of it
        self.held = False  # nothing is read, since the client takes no more
        self.moved = 0.0
        self.bare = 0  # bytes in a row that were of no body
        self.counted = False
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With no buffer allowed, pause_writing says at once that a request has not gone out whole.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.writing = True

    def resume_writing(self) -> None:
        self.writing = False
        if self.unsent() and self.upload is not None:
            if self.exchange is not None:
                self.exchange.limit(None)
            self.upload.drained()
        else:
            self.written()

    def unsent(self) -> bool:
        """Whether part of the request has not left this process."""
        return self.writing or self.upload is not None and not self.upload.whole

    def written(self) -> None:
        """The request's last byte has left the process."""
        if self.exchange is not None:
            self.exchange.written()

    # ---- a request's body that passes through -----------------------------------------------------------

    def piece(self, data: bytes) -> None:
        if not self.transport.is_closing():
            assert self.upload is not None
            chunk = b"%x\r\n%b\r\n" % (len(data), data) if self.upload.length is None else data
            self.transport.write(chunk)
            if self.writing and self.exchange is not None:
                self.exchange.limit(self.exchange.timeout)  # the server must take it in its time

    def last(self) -> None:
        if self.transport.is_closing():
            return
        assert self.upload is not None
        if self.upload.length is None:
            self.transport.write(b"0\r\n\r\n")
        if not self.writing:
            self.written()

    def full(self) -> bool:
        return self.transport.get_write_buffer_size() >= self.pool.memory_budget.chunk_bytes

    # ---- an exchange ------------------------------------------------------------------------------------

    def begin(self, exchange: Errand, data: bytes, upload: Upload | None) -> None:
        """Writes the exchange's request, and what there is of a body that passes through."""
        self.exchange = exchange
        self.upload = upload
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.body = b""
        self.flow = None
        self.forget_head()
        self.complete = self.stray = self.keep = False
        self.bare = 0
        if not self.transport.is_closing():
            self.transport.write(data)
        if self.transport.is_closing():
            # It was lost before the write or by it, so the server cannot have got the whole request.
            self.writing = True
            self.broken()
        elif upload is not None:
            upload.attach(self)
        elif not self.writing:
            self.written()

    def forget_head(self) -> None:
        """Nothing is known of an answer yet, or what came was an interim one."""
        self.content_type = b""
        self.rejected = False
        self.report = b""
        self.headed = False  # its head has come whole
        self.framed = False  # it tells where it ends
        self.length: int | None = None

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.pool.memory_budget.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        data = memoryview(self.pool.memory_budget.read_buffer)[:nbytes]
        if self.exchange is None:
            # Failure prevented: bytes that nobody asked for would be taken for the next answer.
            self.close()
            return
        self.bare += nbytes
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.complete = False
            self.stray = True
        if self.bare > LARGEST_BARE and not self.complete:
            # Failure prevented: a head, a trailer or interim answers without end fill the memory.
            self.stray = True
        self.moved = self.pool.loop.time()
        self.settle()

    def eof_received(self) -> None:
        """The end of the connection is the end of an answer that does not tell where it ends."""
        if self.exchange is not None and self.headed and not self.framed and not self.stray:
            self.status = self.parser.get_status_code()
            self.complete = True
            self.settle()

    def settle(self) -> None:
        """Ends the exchange if what has come decides it."""
        if self.exchange is None:
            return
        if self.stray and not self.complete:
            self.broken_off()
        elif self.complete and self.flow is not None:
            self.flow.end()
            self.finish(Outcome.OK, None, self.keep and not self.stray)
        elif self.complete:
            answer = self.answer()
            self.finish(outcome_of(answer), answer, self.keep and not self.stray)
        elif self.headed and self.flow is None and self.body and not self.holds():
            self.open_flow()

    def answer(self) -> Answer:
        return Answer(
            self.status, self.body, self.content_type, self.rejected, self.report, length=self.length
        )

    def holds(self) -> bool:
        """Whether the answer is one that is taken whole."""
        most = max(len(self.body), self.length or 0)
        return most <= WHOLE and self.pool.memory_budget.fits(0)

    def open_flow(self) -> None:
        """Lets an answer that is not taken whole pass through, if it is one for the client."""
        self.status = self.parser.get_status_code()
        assert self.exchange is not None
        answer = self.answer()
        fits = self.status == 200 and (self.length or 0) <= LARGEST
        flow = self.exchange.flow(answer, self) if fits else None
        if flow is None:
            self.finish(Outcome.ERROR, None, reuse=False)
            return
        self.flow = flow
        self.passed = len(self.body)
        flow.piece(self.body)
        self.forget_body()

    def forget_body(self) -> None:
        self.pool.memory_budget.release(len(self.body))
        self.body = b""

    def hold(self) -> None:
        if not self.held and not self.transport.is_closing():
            self.held = True
            self.transport.pause_reading()

    def go_on(self) -> None:
        self.moved = self.pool.loop.time()
        if self.held and not self.transport.is_closing():
            self.held = False
            self.transport.resume_reading()

    def on_message_begin(self) -> None:
        self.stray = self.complete
        self.forget_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:  # a trailer
            return
        key = name.lower()
        if key in (b"content-length", b"transfer-encoding"):
            self.framed = True
            if key == b"content-length" and value.isdigit():
                self.length = int(value)
        elif key == b"content-type":
            self.content_type = value
        elif key == b"x-rejected":
            self.rejected = value.strip() == b"1"
        elif key == b"x-load-report":
            self.report = value

    def on_headers_complete(self) -> None:
        self.headed = self.parser.get_status_code() >= 200

    def on_body(self, body: bytes) -> None:
        self.bare = 0
        if self.stray:
            return
        if self.flow is not None:
            self.passed += len(body)
            if self.passed > LARGEST:
                self.stray = True
            else:
                self.flow.piece(body)
        else:
            self.body += body
            self.pool.memory_budget.reserve(len(body))

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.complete or status < 200:  # stray bytes, or an interim answer
            return
        self.status = status
        self.keep = self.parser.should_keep_alive()  # known here only: the parser then starts afresh
        self.complete = True

    def finish(self, outcome: Outcome, answer: Answer | None, reuse: bool) -> None:
        exchange, self.exchange = self.exchange, None
        self.flow = None
        self.forget_body()
        reuse = reuse and not self.unsent()
        self.upload = None
        if reuse and self.endpoint.ready and not self.transport.is_closing():
            self.go_on()  # its client may have taken no more just as the last of the answer came
            self.pool.keep(self)
        else:
            self.close()
        if exchange is not None:
            exchange.end(outcome, answer)

    def broken(self) -> None:
        """The connection ended; whether the request may have run depends on what was written."""
        if self.exchange is not None:
            if self.unsent() and self.flow is None:
                self.finish(Outcome.CONNECT_FAILED, None, reuse=False)
            else:
                self.broken_off()

    def broken_off(self) -> None:
        """No whole answer will come. If a part has been passed on, the client is told by the cut."""
        if self.flow is not None:
            self.flow.cut()
        self.finish(Outcome.RESET, None, reuse=False)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.lost(self)
        self.broken()

    def spoken_to(self) -> bool:
        """Whether an idle connection's end, or bytes that nobody asked for, wait in the socket.

        Failure prevented: the server has closed it, the event loop has not come to that yet, and a request
        that may not be repeated is written to it and counts as one that may have run.
        """
        return has_event(self.transport, READABLE)

    def close(self) -> None:
        """Ends the connection at once, with no wait for what the other side has not read."""
        self.transport.abort()


def outcome_of(answer: Answer) -> Outcome:
    """What an answer says of the attempt. A 503 or 504 without the mark may come from a tier behind."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504) and answer.rejected:
        return Outcome.REJECTED
    return Outcome.ERROR
