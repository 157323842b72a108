"""A client's connection: its bytes parsed into requests, its responses written, one request at a time."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from typing import cast

import httptools

from balancer.net.downstream.message import REASONS, ClientRequest
from balancer.net.downstream.protocols import ClientConnectionsProtocol
from balancer.net.downstream.read_queue import ReadQueue
from balancer.net.process.sockets import PEER_CLOSED, READABLE, has_event
from balancer.net.upstream.body_streaming import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    RequestBodyStream,
    ResponseSource,
)

MAX_HEAD_BYTES = 32768
PARSE_SLICE_BYTES = 8192  # parsed in one go
MAX_HEADER_LINES = 128
MAX_PIPELINED_REQUESTS = 8  # complete requests that wait on one connection while an earlier one is in flight
# Bytes that wait behind these; whoever sends more is rejected, and nothing of it is read but its end.
MAX_PIPELINED_BYTES = 32768
# In which the head of a new connection's request, or of one that has begun, must come...
HEAD_TIMEOUT_S = 2.2
MIN_BODY_BYTES = 8192  # ...and of a body so much, or the rest of it
MAX_BODY_PAUSE_S = 0.3  # in which some of a body must have come when that time is over
HEAD_WRITE_TIME_S = 2.0  # that a client may take to write a head: until then it is not evicted
UNREAD_TIMEOUT_S = 30.0  # in which a client must take something of its last response
# In which the client may read a last response, or send some more of what it is sending...
LINGER_S = 1.0
MAX_LINGER_S = 10.0  # ...and so long in all


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection; one request is in flight at a time, the next ones are pipelined.

    Args:
        connections: all connections of clients, and what they share.
        rejecting: every request is rejected, since there are too many connections.
    """

    def __init__(self, connections: ClientConnectionsProtocol[ClientConnection], rejecting: bool) -> None:
        self.connections = connections
        self.rejecting = rejecting
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.unparsed = ReadQueue()  # has come and is not parsed yet
        self.read_at = 0.0  # when what is being parsed was read
        self.parsing = False
        self.partial: ClientRequest | None = None
        self.head_incomplete = False  # its head is still coming
        self.bytes_without_body = 0  # bytes of it that have come in a row and were none of its body
        self.pipelined: deque[ClientRequest] = deque()
        self.current: ClientRequest | None = None
        self.source: ResponseSource | None = None  # where the current request's response is streamed from
        self.chunked = False  # it is streamed to the client in chunks
        self.reading_stopped = False  # nothing further is read from this client
        self.write_blocked = False  # it does not read its responses...
        self.unsent_bytes = 0  # ...of which so many bytes are held
        self.reading_paused = False
        self.has_served = False  # it has had a response
        self.last_active_at = connections.loop.time()
        # When it must have got further, if it must.
        self.read_deadline: float | None = self.last_active_at + HEAD_TIMEOUT_S
        self.body_deadline = 0.0  # when a body that still comes must be whole, or much of it have come
        self.body_bytes = 0  # bytes of a body that have come since `read_deadline` was set
        self.is_gone = False
        self.finished_at = 0.0  # when it had its last response

    # ---- reading --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, and bounds its write buffer."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=self.connections.memory_budget.chunk_bytes)

    def get_buffer(self, sizehint: int) -> bytearray:
        """The buffer that all connections read into."""
        return self.connections.memory_budget.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes what has been read, and parses it."""
        self.last_active_at = self.connections.loop.time()
        if self.reading_stopped:
            return
        self.unparsed.append(
            bytes(memoryview(self.connections.memory_budget.read_buffer)[:nbytes]), self.last_active_at
        )
        self.parse()
        if len(self.unparsed) > MAX_PIPELINED_BYTES and not self.is_upload_blocked():
            # Failure prevented: the client's end stands behind bytes that nobody reads, and what it has left
            # goes to servers one request after the other.
            self.unparsed.clear()
            self.reject(503)

    def parse(self) -> None:
        """Parses what has come, as far as it can be handed on, and reads on if it could all be."""
        if self.parsing:
            return
        self.parsing = True
        while True:
            while self.unparsed and not self.reading_stopped and not self.is_blocked():
                data, self.read_at = self.unparsed.take(PARSE_SLICE_BYTES)
                self.feed(data)
            self.start_next_request()
            if not self.unparsed or self.reading_stopped or self.is_blocked():
                break
        self.parsing = False
        self.update_reading()

    def is_blocked(self) -> bool:
        """Whether what comes next must wait: for earlier requests, or for a server that takes the upload."""
        return len(self.pipelined) >= MAX_PIPELINED_REQUESTS or self.is_upload_blocked()

    def is_upload_blocked(self) -> bool:
        """Whether the client is to send no more of a body for now."""
        return (
            self.partial is not None and self.partial.upload is not None and self.partial.upload.is_blocked()
        )

    def update_reading(self) -> None:
        """Reads, or leaves it to the client to wait."""
        stop = not self.reading_stopped and self.is_upload_blocked()
        if stop == self.reading_paused or self.transport is None or self.transport.is_closing():
            return
        self.reading_paused = stop
        if stop:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        if self.partial is not None and self.partial.upload is not None:
            # While the client is made to wait it cannot be late.
            self.read_deadline = None if stop else self.connections.loop.time() + HEAD_TIMEOUT_S
            self.body_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parses a slice, small beside the bound on a head, which is measured in whole slices."""
        partial, body_bytes = self.partial, self.body_bytes
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The offer of another protocol is passed over, but the parser reads nothing after it.
            self.reading_stopped = True
            for message in (self.current, *self.pipelined):
                if message is not None:
                    message.keep_alive = False
        except httptools.HttpParserError:
            self.reject(400)
        if self.partial is None or self.reading_stopped:
            return
        # A trailer, like a head, is kept by the parser until it ends.
        if self.partial is partial and self.body_bytes == body_bytes:
            self.bytes_without_body += len(data)
        else:
            self.bytes_without_body = len(data)
        if self.bytes_without_body > MAX_HEAD_BYTES:
            self.reject(431)

    def on_message_begin(self) -> None:
        """Begins a request."""
        if self.reading_stopped:
            return
        self.partial = ClientRequest()
        self.head_incomplete = True
        if self.read_deadline is None:
            self.read_deadline = self.connections.loop.time() + HEAD_TIMEOUT_S

    def on_url(self, url: bytes) -> None:
        """Collects the target, which may come in pieces."""
        if self.partial is not None:
            self.partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        if self.partial is not None and self.head_incomplete:  # or it is a trailer, which ends here
            key = name.lower()
            self.partial.lines.append((key, name, value))
            self.partial.headers.setdefault(key, value)
            if len(self.partial.lines) > MAX_HEADER_LINES:
                self.reject(431)

    def on_headers_complete(self) -> None:
        """Checks the head, and decides whether the body is streamed."""
        self.head_incomplete = False
        message = self.partial
        if message is None:
            return
        message.method = self.parser.get_method()
        message.version = self.parser.get_http_version()
        message.keep_alive = self.parser.should_keep_alive()
        message.expects_continue = b"expect" in message.headers and message.version == "1.1"
        message.size = len(message.target) + sum(len(n) + len(v) for _, n, v in message.lines)
        self.start_body_deadline()
        length = message.headers.get(b"content-length", b"")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            self.reject(413)
        elif length.isdigit() and int(length) > MAX_BUFFERED_BYTES:
            self.stream_body(message, int(length))
        elif self.current is None and not self.pipelined:
            self.send_continue(message)

    def send_continue(self, message: ClientRequest) -> None:
        """Tells a client that waits for it to send its body."""
        if message.expects_continue and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        message.expects_continue = False

    def stream_body(self, message: ClientRequest, length: int | None) -> None:
        """Hands on a request whose body is long, with what has come of it."""

        def more() -> None:
            self.send_continue(message)
            self.parse()

        message.upload = RequestBodyStream(length, more)
        if message.body:
            message.upload.feed(message.body)
            message.body = b""
        self.enqueue(message)

    def on_body(self, body: bytes) -> None:
        """Buffers or streams a piece of the body."""
        message = self.partial
        if message is None or self.reading_stopped:
            return
        self.body_bytes += len(body)
        if message.upload is not None:
            message.upload.feed(body)
            if message.upload.size > MAX_BODY_BYTES:
                self.reject(413)
            return
        message.body += body
        if len(message.body) > MAX_BUFFERED_BYTES:
            self.stream_body(message, None)

    def on_message_complete(self) -> None:
        """Pipelines the request, or ends its streamed body."""
        message, self.partial = self.partial, None
        self.read_deadline = None
        if message is None or self.reading_stopped:
            return
        if message.upload is not None:
            message.upload.end()
        else:
            message.size += len(message.body)
            self.enqueue(message)

    def enqueue(self, message: ClientRequest) -> None:
        """Pipelines a request that has come: complete, or with a streamed body."""
        if not self.connections.memory_budget.fits(message.size):
            # Failure prevented: many clients that send large requests ahead end the process for its memory.
            message.error, message.keep_alive = 503, False
            message.upload, message.body, message.size = None, b"", 0
            self.reading_stopped = True
        self.connections.memory_budget.reserve(message.size)
        message.received_at = self.read_at
        self.pipelined.append(message)

    def reject(self, status: int) -> None:
        """Responds with an error and reads no further; the earlier requests still get their responses."""
        if self.reading_stopped:
            return
        self.reading_stopped = True
        partial, self.partial = self.partial, None
        self.read_deadline = None
        if partial is None or partial.upload is None:
            self.pipelined.append(ClientRequest(status))
        elif partial is self.current:
            partial.keep_alive = False
            self.connections.handler.request_malformed(self, status)
        else:
            partial.error, partial.keep_alive = status, False

    def start_next_request(self) -> None:
        """Hands on the first pipelined request, once nothing is in its way."""
        if self.current is not None or self.write_blocked or self.is_gone:
            return
        if not self.pipelined:
            if self.partial is not None and not self.head_incomplete:
                self.send_continue(self.partial)
            return
        self.current = message = self.pipelined.popleft()
        self.connections.evict_idle()
        if self.rejecting or message.error == 503:
            self.connections.handler.reject_over_capacity(self, message)
        elif message.error:
            self.respond(message.error)
        else:
            self.connections.handler.on_request(self, message)

    # ---- responses ------------------------------------------------------------------------------------

    def respond(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Sends the one response to the current request.

        Args:
            status: the HTTP status.
            body: all of it.
            headers: further header lines, each with its end.
        """
        message = self.current
        if message is None or self.source is not None:
            return
        close = self.closes_after(message)
        self.write(
            b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b"
            % (status, REASONS[status], headers, len(body), b"Connection: close\r\n" if close else b"", body)
        )
        self.finish_response(message, close)

    def closes_after(self, message: ClientRequest) -> bool:
        """Whether the connection ends with the response to this request.

        Failure prevented: requests that came behind it, whole, are thrown away as the node leaves.
        """
        still = message.upload is not None and not message.upload.is_complete
        begun = self.pipelined or self.unparsed or self.partial not in (None, message)
        leaving = self.connections.life.draining and not begun and not self.has_unread_data()
        return not message.keep_alive or self.rejecting or still or leaving

    def write(self, data: bytes) -> None:
        """Writes to the client, unless the connection is closing."""
        self.last_active_at = self.connections.loop.time()
        if not self.transport.is_closing():
            self.transport.write(data)

    def finish_response(self, message: ClientRequest, close: bool) -> None:
        """Takes note that the current request has had its response."""
        self.current = None
        self.has_served = True
        self.connections.memory_budget.release(message.size)
        if self.transport.is_closing():
            return
        if close:
            self.close_gracefully()
        elif self.pipelined or self.unparsed or self.partial is not None:
            self.connections.loop.call_soon(self.parse)

    def begin_stream(self, source: ResponseSource, length: int | None, headers: bytes) -> None:
        """Begins a streamed response; `write_stream` and then `end_stream` or `abort_stream` follow.

        Without a length it goes in chunks, or to a client that knows none to the connection's end.
        """
        message = self.current
        assert message is not None
        self.source = source
        self.chunked = length is None and message.version == "1.1"
        if length is None and not self.chunked:
            message.keep_alive = False
        framing = b"" if length is None else b"Content-Length: %d\r\n" % length
        if self.chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        close = b"Connection: close\r\n" if self.closes_after(message) else b""
        self.write(b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (headers, framing, close))

    def write_stream(self, data: bytes) -> None:
        """Writes a piece of the streamed response."""
        if data:
            self.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def end_stream(self) -> None:
        """Ends the streamed response, which is complete."""
        message = self.current
        if message is None:
            return
        if self.chunked:
            self.write(b"0\r\n\r\n")
        self.source = None
        self.finish_response(message, self.closes_after(message))

    def abort_stream(self) -> None:
        """Breaks the streamed response off: the connection ends without its end, so the client can tell."""
        message = self.current
        if message is not None and not self.chunked and message.version != "1.1":
            # To such a client the end of the connection may be the end of the answer: it is reset instead.
            held = self.transport.get_extra_info("socket")
            held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def close_gracefully(self) -> None:
        """Closes after the last response.

        Failure prevented: closing while the client still sends resets the connection, and the answer is
        lost on its way. Our end is closed first, and the rest is read and thrown away.
        """
        self.reading_stopped = True
        self.unparsed.clear()
        self.drop_pipelined()
        if self.transport.is_closing():
            return
        self.update_reading()
        self.transport.write_eof()
        self.finished_at = self.connections.loop.time()
        self.connections.loop.call_later(
            LINGER_S, self.linger, self.finished_at, self.transport.get_write_buffer_size()
        )

    def linger(self, since: float, last_unread: int) -> None:
        """Ends the connection, unless the client still reads its last response, or sends.

        Failure prevented: a client that is refused while it sends a long body is cut off before it looks
        for an answer, and never learns when to come back.
        """
        if self.transport.is_closing():
            return
        now = self.connections.loop.time()
        unread = self.transport.get_write_buffer_size()
        since = now if unread != last_unread else since
        sends = now - self.last_active_at < LINGER_S and now - self.finished_at < MAX_LINGER_S
        if (unread and now - since < UNREAD_TIMEOUT_S) or (sends and not self.connections.life.draining):
            self.connections.loop.call_later(LINGER_S, self.linger, since, unread)
        else:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Takes note that the client does not read its responses."""
        self.write_blocked = True
        if self.source is not None:
            self.source.pause_reading()
        else:
            self.set_unsent_bytes(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Goes on as the client reads again."""
        self.write_blocked = False
        self.set_unsent_bytes(0)
        if self.source is not None:
            self.source.resume_reading()
        self.parse()

    def set_unsent_bytes(self, size: int) -> None:
        """Counts so many bytes of responses as held that the client does not read."""
        self.connections.memory_budget.reserve(size - self.unsent_bytes)
        self.unsent_bytes = size

    # ---- ends -----------------------------------------------------------------------------------------

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes note of the end of the connection."""
        self.on_client_gone()
        self.connections.connections.discard(self)
        self.connections.descriptor_budget.remove_client()
        self.set_unsent_bytes(0)

    def eof_received(self) -> bool:
        """Takes the client's end for its leaving; complete responses it may still read.

        Failure prevented: a transport that closes itself waits without end for a client that does not read.
        """
        owed = self.source is None and self.has_unsent_data()
        self.on_client_gone()
        if owed and not self.finished_at:
            self.close_gracefully()
        return owed

    def on_client_gone(self) -> None:
        """Forgets what was sent by the client, which has gone: nothing is handed on or waited for."""
        self.is_gone = self.reading_stopped = True
        self.unparsed.clear()
        self.partial = None
        self.drop_pipelined()
        if self.current is not None:
            self.connections.memory_budget.release(self.current.size)
            self.current = None
            self.connections.handler.client_disconnected(self)
        self.source = None

    def is_connected(self) -> bool:
        """Whether the client is still there, asked of its socket; one that is not leaves now.

        Failure prevented: while nothing is read from a client its end is not seen, and what it left is sent.
        """
        if not self.is_gone and has_event(self.transport, PEER_CLOSED):
            self.on_client_gone()
            self.transport.abort()
        return not self.is_gone

    def drop_pipelined(self) -> None:
        """Drops the pipelined requests, which get no response."""
        self.connections.memory_budget.release(sum(message.size for message in self.pipelined))
        self.pipelined.clear()

    def eviction_priority(self, now: float) -> tuple[int, float] | None:
        """Which connection is evicted for a new one: the least first; None if it has a request.

        Failure prevented: peers that never finish a request shut clients out, or clients that take their
        time to write give way to them.
        """
        if self.current is not None or self.pipelined or self.transport is None:
            return None
        if self.finished_at:
            return None if self.has_unsent_data() else (0, self.finished_at)
        if self.reading_stopped:
            return None
        if self.partial is None and self.has_served:
            return None if self.has_unsent_data() else (1, self.last_active_at)
        if self.partial is not None and not self.head_incomplete:  # its body is coming
            return None
        return (0 if now - self.last_active_at >= HEAD_WRITE_TIME_S else 2), self.last_active_at

    def is_idle(self) -> bool:
        """Whether no request is in flight, has begun or waits in the socket, and all responses have gone."""
        begun = (
            self.current is not None
            or self.partial is not None
            or self.pipelined
            or self.reading_stopped
            or self.unparsed
        )
        return not begun and not self.has_unsent_data() and not self.has_unread_data()

    def start_body_deadline(self) -> None:
        """Begins the time of a body, whose head is complete.

        Failure prevented: a client that stops in its body has its head's time again and stays over 3 s.
        """
        now = self.connections.loop.time()
        self.read_deadline = max(self.read_deadline or 0.0, now + MAX_BODY_PAUSE_S)
        self.body_deadline = now + HEAD_TIMEOUT_S
        self.body_bytes = 0

    def extend_body_deadline(self, now: float) -> bool:
        """Whether the body that is due comes fast enough to be waited for; then it is due anew."""
        partial = self.partial
        if partial is None or self.head_incomplete:
            return False
        comes = partial.upload is not None or now - self.last_active_at < MAX_BODY_PAUSE_S
        if comes and self.body_bytes >= MIN_BODY_BYTES:
            self.body_deadline, self.body_bytes = now + HEAD_TIMEOUT_S, 0
        if not comes or now >= self.body_deadline:
            return False
        self.read_deadline = self.body_deadline if partial.upload is not None else now + MAX_BODY_PAUSE_S
        return True

    def close_without_request(self) -> None:
        """Ends a connection that carries no whole request; half of one gets an error.

        What waits in the socket is read first, and what has been read whole gets its answer.
        """
        if self.transport is None or self.is_gone or (self.has_unread_data() and not self.reading_paused):
            return
        if self.partial is not None:
            self.reject(503)
            self.start_next_request()
        elif self.is_idle():
            self.transport.abort()

    def has_unsent_data(self) -> bool:
        """Whether bytes of an answer wait in the process: closing now would cut it short."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def has_unread_data(self) -> bool:
        """Whether bytes wait in the socket: closing now would reset a client that has just sent."""
        up = self.transport is not None and not self.transport.is_closing()
        return up and has_event(self.transport, READABLE)
