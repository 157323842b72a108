"""A client's connection: its bytes read into requests, its answers written, one request open at a time."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from typing import cast

import httptools

from balancer.net.downstream.message import REASONS, Message
from balancer.net.downstream.protocols import Crowd
from balancer.net.downstream.read_queue import Unparsed
from balancer.net.process.sockets import PEER_CLOSED, READABLE, has_event
from balancer.net.upstream.body_streaming import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    RequestBodyStream,
    ResponseSource,
)

LARGEST_HEAD = 32768
SLICE = 8192  # bytes parsed in one go
LARGEST_LINES = 128  # header lines of one request
PIPELINED = 8  # whole requests that wait on one connection while an earlier one is open
AHEAD = 32768  # bytes that wait behind these; who sends more is refused, and no longer heard but for its end
SLOW = 2.2  # seconds in which the head of a new connection's request, or of one that has begun, must come...
LEAST_MOVED = 8192  # bytes of a body that must come in that time, or the rest of it
BODY_PAUSE = 0.3  # seconds in which some of a body must have come when that time is over
WRITES = 2.0  # seconds that a client may take to write a head: until then it gives way to no new one
UNREAD = 30.0  # seconds in which a client must take something of its last answer
LINGER = 1.0  # seconds in which the client may read a last answer, or send some more of what it is sending...
LINGER_MOST = 10.0  # ...and so long in all


class Caller(asyncio.BufferedProtocol):
    """A client's connection. One request is open at a time; the next ones wait their turn."""

    def __init__(self, owner: Crowd, refusing: bool) -> None:
        self.owner = owner
        self.refusing = refusing
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.rest = Unparsed()  # has come and is not parsed yet
        self.read_at = 0.0  # when what is being parsed was read
        self.parsing = False
        self.partial: Message | None = None
        self.heading = False  # its head is still coming
        self.bare = 0  # bytes of it that have come in a row and were none of its body
        self.waiting: deque[Message] = deque()
        self.open: Message | None = None
        self.source: ResponseSource | None = None  # where the open request's answer flows from
        self.chunked = False  # it flows to the client in chunks
        self.deaf = False  # nothing further is read from this client
        self.full = False  # it does not read its answers...
        self.owed = 0  # ...of which so many bytes are held
        self.paused = False
        self.kept = False  # it has had an answer
        self.active = owner.loop.time()
        self.due: float | None = self.active + SLOW  # when it must have got further, if it must
        self.body_due = 0.0  # when a body that still comes must be whole, or much of it have come
        self.moved = 0  # bytes of a body that have come since `due` was set
        self.lost = False
        self.ended = 0.0  # when it had its last answer

    # ---- reading --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=self.owner.memory_budget.chunk_bytes)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.owner.memory_budget.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.active = self.owner.loop.time()
        if self.deaf:
            return
        self.rest.append(bytes(memoryview(self.owner.memory_budget.read_buffer)[:nbytes]), self.active)
        self.parse()
        if len(self.rest) > AHEAD and not self.stopped():
            # Failure prevented: the client's end stands behind bytes that nobody reads, and what it has left
            # goes to servers one request after the other.
            self.rest.clear()
            self.reject(503)

    def parse(self) -> None:
        """Parses what has come, as far as it can be handed on, and reads on if it could all be."""
        if self.parsing:
            return
        self.parsing = True
        while True:
            while self.rest and not self.deaf and not self.blocked():
                data, self.read_at = self.rest.take(SLICE)
                self.feed(data)
            self.next()
            if not self.rest or self.deaf or self.blocked():
                break
        self.parsing = False
        self.read_on()

    def blocked(self) -> bool:
        """Whether what comes next must wait: for earlier requests, or for a server that takes the upload."""
        return len(self.waiting) >= PIPELINED or self.stopped()

    def stopped(self) -> bool:
        """Whether the client is to send no more of a body for now."""
        return (
            self.partial is not None and self.partial.upload is not None and self.partial.upload.is_blocked()
        )

    def read_on(self) -> None:
        """Reads, or leaves it to the client to wait."""
        stop = not self.deaf and self.stopped()
        if stop == self.paused or self.transport is None or self.transport.is_closing():
            return
        self.paused = stop
        if stop:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        if self.partial is not None and self.partial.upload is not None:
            # While the client is made to wait it cannot be late.
            self.due = None if stop else self.owner.loop.time() + SLOW
            self.moved = 0

    def feed(self, data: bytes) -> None:
        """Parses a slice, small beside the bound on a head, which is measured in whole slices."""
        partial, moved = self.partial, self.moved
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The offer of another protocol is passed over, but the parser reads nothing after it.
            self.deaf = True
            for message in (self.open, *self.waiting):
                if message is not None:
                    message.keep = False
        except httptools.HttpParserError:
            self.reject(400)
        if self.partial is None or self.deaf:
            return
        # A trailer, like a head, is kept by the parser until it ends.
        self.bare = self.bare + len(data) if self.partial is partial and self.moved == moved else len(data)
        if self.bare > LARGEST_HEAD:
            self.reject(431)

    def on_message_begin(self) -> None:
        if self.deaf:
            return
        self.partial = Message()
        self.heading = True
        if self.due is None:
            self.due = self.owner.loop.time() + SLOW

    def on_url(self, url: bytes) -> None:
        if self.partial is not None:
            self.partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.partial is not None and self.heading:  # or it is a trailer, which ends here
            key = name.lower()
            self.partial.lines.append((key, name, value))
            self.partial.headers.setdefault(key, value)
            if len(self.partial.lines) > LARGEST_LINES:
                self.reject(431)

    def on_headers_complete(self) -> None:
        self.heading = False
        message = self.partial
        if message is None:
            return
        message.method = self.parser.get_method()
        message.version = self.parser.get_http_version()
        message.keep = self.parser.should_keep_alive()
        message.expects = b"expect" in message.headers and message.version == "1.1"
        message.size = len(message.target) + sum(len(n) + len(v) for _, n, v in message.lines)
        self.begin_body()
        length = message.headers.get(b"content-length", b"")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            self.reject(413)
        elif length.isdigit() and int(length) > MAX_BUFFERED_BYTES:
            self.pass_on(message, int(length))
        elif self.open is None and not self.waiting:
            self.go_ahead(message)

    def go_ahead(self, message: Message) -> None:
        """Tells a client that waits for it to send its body."""
        if message.expects and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        message.expects = False

    def pass_on(self, message: Message, length: int | None) -> None:
        """Hands on a request whose body is long, with what has come of it."""

        def more() -> None:
            self.go_ahead(message)
            self.parse()

        message.upload = RequestBodyStream(length, more)
        if message.body:
            message.upload.feed(message.body)
            message.body = b""
        self.queue(message)

    def on_body(self, body: bytes) -> None:
        message = self.partial
        if message is None or self.deaf:
            return
        self.moved += len(body)
        if message.upload is not None:
            message.upload.feed(body)
            if message.upload.size > MAX_BODY_BYTES:
                self.reject(413)
            return
        message.body += body
        if len(message.body) > MAX_BUFFERED_BYTES:
            self.pass_on(message, None)

    def on_message_complete(self) -> None:
        message, self.partial = self.partial, None
        self.due = None
        if message is None or self.deaf:
            return
        if message.upload is not None:
            message.upload.end()
        else:
            message.size += len(message.body)
            self.queue(message)

    def queue(self, message: Message) -> None:
        """A request has come: whole, or with an upload."""
        if not self.owner.memory_budget.fits(message.size):
            # Failure prevented: many clients that send large requests ahead end the process for its memory.
            message.error, message.keep = 503, False
            message.upload, message.body, message.size = None, b"", 0
            self.deaf = True
        self.owner.memory_budget.reserve(message.size)
        message.came = self.read_at
        self.waiting.append(message)

    def reject(self, status: int) -> None:
        """Answers with an error and reads no further; the earlier requests are still answered."""
        if self.deaf:
            return
        self.deaf = True
        partial, self.partial = self.partial, None
        self.due = None
        if partial is None or partial.upload is None:
            self.waiting.append(Message(status))
        elif partial is self.open:
            partial.keep = False
            self.owner.handler.spoilt(self, status)
        else:
            partial.error, partial.keep = status, False

    def next(self) -> None:
        """Hands on the request that waits, once nothing is in its way."""
        if self.open is not None or self.full or self.lost:
            return
        if not self.waiting:
            if self.partial is not None and not self.heading:
                self.go_ahead(self.partial)
            return
        self.open = message = self.waiting.popleft()
        self.owner.keep_few()
        if self.refusing or message.error == 503:
            self.owner.handler.beyond(self, message)
        elif message.error:
            self.answer(message.error)
        else:
            self.owner.handler.message(self, message)

    # ---- answering ------------------------------------------------------------------------------------

    def answer(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """The one answer to the open request. `headers` are whole lines."""
        message = self.open
        if message is None or self.source is not None:
            return
        close = self.closes(message)
        self.write(
            b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b"
            % (status, REASONS[status], headers, len(body), b"Connection: close\r\n" if close else b"", body)
        )
        self.settle(message, close)

    def closes(self, message: Message) -> bool:
        """Whether the connection ends with the answer to this request.

        Failure prevented: requests that came behind it, whole, are thrown away as the node leaves.
        """
        still = message.upload is not None and not message.upload.is_complete
        begun = self.waiting or self.rest or self.partial not in (None, message)
        leaving = self.owner.life.draining and not begun and not self.unread()
        return not message.keep or self.refusing or still or leaving

    def write(self, data: bytes) -> None:
        self.active = self.owner.loop.time()
        if not self.transport.is_closing():
            self.transport.write(data)

    def settle(self, message: Message, close: bool) -> None:
        """The open request has had its answer."""
        self.open = None
        self.kept = True
        self.owner.memory_budget.release(message.size)
        if self.transport.is_closing():
            return
        if close:
            self.finish()
        elif self.waiting or self.rest or self.partial is not None:
            self.owner.loop.call_soon(self.parse)

    def begin(self, source: ResponseSource, length: int | None, headers: bytes) -> None:
        """Begins an answer that flows; `piece` and then `end` or `cut` follow.

        Without a length it goes in chunks, or to a client that knows none to the connection's end.
        """
        message = self.open
        assert message is not None
        self.source = source
        self.chunked = length is None and message.version == "1.1"
        if length is None and not self.chunked:
            message.keep = False
        framing = b"" if length is None else b"Content-Length: %d\r\n" % length
        if self.chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        close = b"Connection: close\r\n" if self.closes(message) else b""
        self.write(b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (headers, framing, close))

    def piece(self, data: bytes) -> None:
        """A piece of the answer that flows."""
        if data:
            self.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def end(self) -> None:
        """The answer that flows is whole."""
        message = self.open
        if message is None:
            return
        if self.chunked:
            self.write(b"0\r\n\r\n")
        self.source = None
        self.settle(message, self.closes(message))

    def cut(self) -> None:
        """The answer that flows broke off: the connection ends without its end, so the client can tell."""
        message = self.open
        if message is not None and not self.chunked and message.version != "1.1":
            # To such a client the end of the connection may be the end of the answer: it is reset instead.
            held = self.transport.get_extra_info("socket")
            held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def finish(self) -> None:
        """Closes after the last answer.

        Failure prevented: closing while the client still sends resets the connection, and the answer is
        lost on its way. Our end is closed first, and the rest is read and thrown away.
        """
        self.deaf = True
        self.rest.clear()
        self.forget()
        if self.transport.is_closing():
            return
        self.read_on()
        self.transport.write_eof()
        self.ended = self.owner.loop.time()
        self.owner.loop.call_later(LINGER, self.linger, self.ended, self.transport.get_write_buffer_size())

    def linger(self, since: float, left: int) -> None:
        """Ends the connection, unless the client still reads its last answer, or sends.

        Failure prevented: a client that is refused while it sends a long body is cut off before it looks
        for an answer, and never learns when to come back.
        """
        if self.transport.is_closing():
            return
        now = self.owner.loop.time()
        unread = self.transport.get_write_buffer_size()
        since = now if unread != left else since
        sends = now - self.active < LINGER and now - self.ended < LINGER_MOST
        if unread and now - since < UNREAD or sends and not self.owner.life.draining:
            self.owner.loop.call_later(LINGER, self.linger, since, unread)
        else:
            self.transport.abort()

    def pause_writing(self) -> None:
        self.full = True
        if self.source is not None:
            self.source.pause_reading()
        else:
            self.owe(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        self.full = False
        self.owe(0)
        if self.source is not None:
            self.source.resume_reading()
        self.parse()

    def owe(self, size: int) -> None:
        """So many bytes of whole answers are held that the client does not read."""
        self.owner.memory_budget.reserve(size - self.owed)
        self.owed = size

    # ---- ends -----------------------------------------------------------------------------------------

    def connection_lost(self, exc: Exception | None) -> None:
        self.leave()
        self.owner.callers.discard(self)
        self.owner.descriptor_budget.remove_client()
        self.owe(0)

    def eof_received(self) -> bool:
        """The client's end is its leaving; what has been answered whole it may still read.

        Failure prevented: a transport that closes itself waits without end for a client that does not read.
        """
        owed = self.source is None and self.unsent()
        self.leave()
        if owed and not self.ended:
            self.finish()
        return owed

    def leave(self) -> None:
        """The client has gone: nothing of what it sent is handed on from now, or waited for."""
        self.lost = self.deaf = True
        self.rest.clear()
        self.partial = None
        self.forget()
        if self.open is not None:
            self.owner.memory_budget.release(self.open.size)
            self.open = None
            self.owner.handler.left(self)
        self.source = None

    def stays(self) -> bool:
        """Whether the client is still there, asked of its socket; one that is not leaves now.

        Failure prevented: while nothing is read from a client its end is not seen, and what it left is sent.
        """
        if not self.lost and has_event(self.transport, PEER_CLOSED):
            self.leave()
            self.transport.abort()
        return not self.lost

    def forget(self) -> None:
        """Throws away the requests that wait: they get no answer."""
        self.owner.memory_budget.release(sum(message.size for message in self.waiting))
        self.waiting.clear()

    def turn(self, now: float) -> tuple[int, float] | None:
        """When this connection gives way to a new one, the least first; None if it has a request.

        Failure prevented: peers that never finish a request shut clients out, or clients that take their
        time to write give way to them.
        """
        if self.open is not None or self.waiting or self.transport is None:
            return None
        if self.ended:
            return None if self.unsent() else (0, self.ended)
        if self.deaf:
            return None
        if self.partial is None and self.kept:
            return None if self.unsent() else (1, self.active)
        if self.partial is not None and not self.heading:  # its body is coming
            return None
        return (0 if now - self.active >= WRITES else 2), self.active

    def idle(self) -> bool:
        """Whether no request is open, has begun or waits in the socket, and all answers have gone."""
        begun = self.open is not None or self.partial is not None or self.waiting or self.deaf or self.rest
        return not begun and not self.unsent() and not self.unread()

    def begin_body(self) -> None:
        """A head is whole, and the body's time begins.

        Failure prevented: a client that stops in its body has its head's time again and stays over 3 s.
        """
        now = self.owner.loop.time()
        self.due = max(self.due or 0.0, now + BODY_PAUSE)
        self.body_due = now + SLOW
        self.moved = 0

    def body_comes(self, now: float) -> bool:
        """Whether the body that is due comes fast enough to be waited for; then it is due anew."""
        partial = self.partial
        if partial is None or self.heading:
            return False
        comes = partial.upload is not None or now - self.active < BODY_PAUSE
        if comes and self.moved >= LEAST_MOVED:
            self.body_due, self.moved = now + SLOW, 0
        if not comes or now >= self.body_due:
            return False
        self.due = self.body_due if partial.upload is not None else now + BODY_PAUSE
        return True

    def turn_away(self) -> None:
        """Ends a connection that carries no whole request; half of one gets an error.

        What waits in the socket is read first, and what has been read whole gets its answer.
        """
        if self.transport is None or self.lost or (self.unread() and not self.paused):
            return
        if self.partial is not None:
            self.reject(503)
            self.next()
        elif self.idle():
            self.transport.abort()

    def unsent(self) -> bool:
        """Whether bytes of an answer wait in the process: closing now would cut it short."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def unread(self) -> bool:
        """Whether bytes wait in the socket: closing now would reset a client that has just sent."""
        up = self.transport is not None and not self.transport.is_closing()
        return up and has_event(self.transport, READABLE)
