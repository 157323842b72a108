"""A client's connection: its requests one at a time in their order, and its lifetime."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from typing import cast

from balancer.net.downstream.message import ClientRequest
from balancer.net.downstream.protocols import ClientConnectionsProtocol
from balancer.net.downstream.read_deadline import ReadDeadline
from balancer.net.downstream.read_queue import ReadQueue
from balancer.net.downstream.request_parser import RequestParser
from balancer.net.downstream.response_writer import ResponseWriter
from balancer.net.process.sockets import PEER_CLOSED, READABLE, has_event
from balancer.net.upstream.body_streaming import ResponseSource

PARSE_SLICE_BYTES = 8192  # parsed in one go
MAX_PIPELINED_REQUESTS = 8  # complete requests that wait on one connection while an earlier one is in flight
# Bytes that wait behind these; whoever sends more is rejected, and nothing of it is read but its end.
MAX_PIPELINED_BYTES = 32768
UNREAD_TIMEOUT_S = 30.0  # in which a client must take something of its last response
# In which the client may read a last response, or send some more of what it is sending...
LINGER_S = 1.0
MAX_LINGER_S = 10.0  # ...and so long in all


class InputState(Enum):
    """Whether more is read from a client. There is no way back from a later state to an earlier one."""

    OPEN = "open"
    STOPPED = "stopped"  # nothing further is read, and responses may still be written
    DISCONNECTED = "disconnected"  # the client has gone, and its requests need no response


# Bound once for the hot path: a member that is looked up in its class takes more than twice as long.
INPUT_OPEN = InputState.OPEN
INPUT_DISCONNECTED = InputState.DISCONNECTED


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
        self.last_active_at = connections.loop.time()
        self.read_deadline = ReadDeadline(connections.loop, self.last_active_at)
        self.parser = RequestParser(self, self.read_deadline)
        self.writer = ResponseWriter(connections.memory_budget)
        self.unparsed = ReadQueue()  # has come and is not parsed yet
        self.read_at = 0.0  # when what is being parsed was read
        self.parsing = False
        self.pipelined: deque[ClientRequest] = deque()
        self.current: ClientRequest | None = None
        self.input_state = InputState.OPEN
        self.reading_paused = False
        self.has_served = False  # it has had a response
        self.finished_at = 0.0  # when it had its last response

    @property
    def reading_stopped(self) -> bool:
        """Whether nothing further is read from this client."""
        return self.input_state is not INPUT_OPEN

    @property
    def is_gone(self) -> bool:
        """Whether the client has disconnected."""
        return self.input_state is INPUT_DISCONNECTED

    @property
    def partial(self) -> ClientRequest | None:
        """The request that is coming, if one has begun."""
        return self.parser.partial

    @property
    def write_blocked(self) -> bool:
        """Whether the client does not read its responses."""
        return self.writer.blocked

    # ---- reading --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, and bounds its write buffer."""
        self.transport = self.writer.transport = cast(asyncio.Transport, transport)
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
        if len(self.unparsed) > MAX_PIPELINED_BYTES and not self.parser.is_upload_blocked():
            # Failure prevented: the client's end stands behind bytes that nobody reads, and its
            # remaining requests go to servers one after the other.
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
                self.parser.feed(data)
            self.start_next_request()
            if not self.unparsed or self.reading_stopped or self.is_blocked():
                break
        self.parsing = False
        self.update_reading()

    def is_blocked(self) -> bool:
        """Whether what comes next must wait: for earlier requests, or for a server that takes the upload."""
        return len(self.pipelined) >= MAX_PIPELINED_REQUESTS or self.parser.is_upload_blocked()

    def update_reading(self) -> None:
        """Reads, or leaves it to the client to wait."""
        stop = not self.reading_stopped and self.parser.is_upload_blocked()
        if stop == self.reading_paused or self.transport is None or self.transport.is_closing():
            return
        self.reading_paused = stop
        if stop:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        if self.partial is not None and self.partial.upload is not None:
            if stop:
                self.read_deadline.suspend()
            else:
                self.read_deadline.resume()

    def stop_reading(self) -> None:
        """Reads nothing further from this client, whether it is still there or not."""
        if self.input_state is InputState.OPEN:
            self.input_state = InputState.STOPPED

    def on_upgrade_offered(self) -> None:
        """Passes over the offer of another protocol, behind which the parser reads nothing."""
        self.stop_reading()
        for message in (self.current, *self.pipelined):
            if message is not None:
                message.keep_alive = False

    def on_head_complete(self, message: ClientRequest) -> None:
        """Lets the client send the body, unless earlier requests are in its way."""
        if self.current is None and not self.pipelined:
            self.send_continue(message)

    def send_continue(self, message: ClientRequest) -> None:
        """Sends `100 Continue` to a client that waits for it before its body."""
        if message.expects_continue and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        message.expects_continue = False

    def on_upload_writable(self, message: ClientRequest) -> None:
        """Lets the client send more of a streamed body."""
        self.send_continue(message)
        self.parse()

    def enqueue(self, message: ClientRequest) -> None:
        """Pipelines a request that has come: complete, or with a streamed body."""
        if not self.connections.memory_budget.fits(message.size):
            # Failure prevented: many clients that send large requests ahead end the process for its memory.
            message.error, message.keep_alive = 503, False
            message.upload, message.body, message.size = None, b"", 0
            self.stop_reading()
        self.connections.memory_budget.reserve(message.size)
        message.received_at = self.read_at
        self.pipelined.append(message)

    def reject(self, status: int) -> None:
        """Responds with an error and reads no further; the earlier requests still get their responses."""
        if self.reading_stopped:
            return
        self.stop_reading()
        partial = self.parser.drop_partial()
        self.read_deadline.clear()
        if partial is None or partial.upload is None:
            self.pipelined.append(ClientRequest(status))
        elif partial is self.current:
            partial.keep_alive = False
            self.connections.handler.request_malformed(self, status)
        else:
            partial.error, partial.keep_alive = status, False

    def start_next_request(self) -> None:
        """Hands on the first pipelined request, once nothing is in its way."""
        if self.current is not None or self.writer.blocked or self.is_gone:
            return
        if not self.pipelined:
            if self.partial is not None and self.parser.is_reading_body():
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
        if message is None or self.writer.source is not None:
            return
        close = self.closes_after(message)
        self.last_active_at = self.connections.loop.time()
        self.writer.write_response(status, body, headers, close)
        self.finish_response(message, close)

    def closes_after(self, message: ClientRequest) -> bool:
        """Whether the connection ends with the response to this request.

        Failure prevented: complete requests that were pipelined behind it are dropped as the node drains.
        """
        body_incomplete = message.upload is not None and not message.upload.is_complete
        has_next_request = self.pipelined or self.unparsed or self.partial not in (None, message)
        draining = self.connections.lifecycle.draining and not has_next_request and not self.has_unread_data()
        return not message.keep_alive or self.rejecting or body_incomplete or draining

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
        self.writer.begin_stream(source, length, chunked=message.version == "1.1")
        if length is None and not self.writer.chunked:
            message.keep_alive = False
        close = self.closes_after(message)
        self.last_active_at = self.connections.loop.time()
        self.writer.write_stream_head(length, headers, close)

    def write_stream(self, data: bytes) -> None:
        """Writes a piece of the streamed response."""
        if data:
            self.last_active_at = self.connections.loop.time()
            self.writer.write_stream(data)

    def end_stream(self) -> None:
        """Ends the streamed response, which is complete."""
        message = self.current
        if message is None:
            return
        if self.writer.chunked:
            self.last_active_at = self.connections.loop.time()
        self.writer.end_stream()
        self.finish_response(message, self.closes_after(message))

    def abort_stream(self) -> None:
        """Aborts the streamed response: the connection ends before it, so that the client notices."""
        message = self.current
        if message is not None and not self.writer.chunked and message.version != "1.1":
            # To such a client the end of the connection may be the end of the response.
            self.writer.reset_on_close()
        self.transport.abort()

    def close_gracefully(self) -> None:
        """Closes after the last response.

        Failure prevented: closing while the client still sends resets the connection, and the response is
        lost on its way. This side is closed first, and what still comes is read and dropped.
        """
        self.stop_reading()
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

        Failure prevented: a client that is rejected while it sends a long body is disconnected before it
        reads the response, and never gets its Retry-After.
        """
        if self.transport.is_closing():
            return
        now = self.connections.loop.time()
        unread = self.transport.get_write_buffer_size()
        since = now if unread != last_unread else since
        is_sending = now - self.last_active_at < LINGER_S and now - self.finished_at < MAX_LINGER_S
        if (unread and now - since < UNREAD_TIMEOUT_S) or (
            is_sending and not self.connections.lifecycle.draining
        ):
            self.connections.loop.call_later(LINGER_S, self.linger, since, unread)
        else:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Takes note that the client does not read its responses."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Goes on as the client reads again."""
        self.writer.resume()
        self.parse()

    # ---- ends -----------------------------------------------------------------------------------------

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes note of the end of the connection."""
        self.on_client_gone()
        self.connections.connections.discard(self)
        self.connections.descriptor_budget.remove_client()
        self.writer.set_unsent_bytes(0)

    def eof_received(self) -> bool:
        """Takes the end of the client's input for a disconnect; it may still read complete responses.

        Failure prevented: a transport that closes itself waits without end for a client that does not read.
        """
        is_response_unsent = self.writer.source is None and self.has_unsent_data()
        self.on_client_gone()
        if is_response_unsent and not self.finished_at:
            self.close_gracefully()
        return is_response_unsent

    def on_client_gone(self) -> None:
        """Forgets what was sent by the client, which has gone: no further request is handed on."""
        self.input_state = InputState.DISCONNECTED
        self.unparsed.clear()
        self.parser.drop_partial()
        self.drop_pipelined()
        if self.current is not None:
            self.connections.memory_budget.release(self.current.size)
            self.current = None
            self.connections.handler.client_disconnected(self)
        self.writer.source = None

    def is_connected(self) -> bool:
        """Whether the client is still there, by its socket; one that is not is disconnected now.

        Failure prevented: while nothing is read from a client its end is not seen, and its requests are sent.
        """
        if not self.is_gone and has_event(self.transport, PEER_CLOSED):
            self.on_client_gone()
            self.transport.abort()
        return not self.is_gone

    def drop_pipelined(self) -> None:
        """Drops the pipelined requests, which get no response."""
        self.connections.memory_budget.release(sum(message.size for message in self.pipelined))
        self.pipelined.clear()

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

    def extend_body_deadline(self, now: float) -> bool:
        """Whether the body that is due comes fast enough to be waited for; then it is due anew."""
        partial = self.partial
        if partial is None or not self.parser.is_reading_body():
            return False
        return self.read_deadline.extend_body(now, self.last_active_at, partial.upload is not None)

    def close_without_request(self) -> None:
        """Ends a connection without a complete request; an incomplete one gets an error.

        What waits in the socket is read first, and a complete request gets its response.
        """
        if self.transport is None or self.is_gone or (self.has_unread_data() and not self.reading_paused):
            return
        if self.partial is not None:
            self.reject(503)
            self.start_next_request()
        elif self.is_idle():
            self.transport.abort()

    def has_unsent_data(self) -> bool:
        """Whether bytes of a response wait in the process: closing now would cut it short."""
        return self.writer.has_unsent_data()

    def has_unread_data(self) -> bool:
        """Whether bytes wait in the socket: closing now would reset a client that has just sent."""
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and has_event(self.transport, READABLE)
