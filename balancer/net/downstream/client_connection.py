"""A client's connection, which handles its requests one at a time and in order."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import cast

from balancer.net.downstream.message import ClientRequest
from balancer.net.downstream.protocols import ClientConnectionsProtocol
from balancer.net.downstream.read_deadline import ReadDeadline
from balancer.net.downstream.read_queue import ReadQueue
from balancer.net.downstream.read_throttle import ReadThrottle
from balancer.net.downstream.request_parser import RequestParser
from balancer.net.downstream.response_writer import ResponseWriter
from balancer.net.process.memory_budget import Holding, MemoryAccount
from balancer.net.process.sockets import PEER_CLOSED, READABLE, has_event, unacknowledged_bytes
from balancer.net.process.traffic_events import CloseReason, GiveWayCause, RefusalReason
from balancer.net.upstream.body_streaming import ResponseSource

# Bytes passed to the parser in one call. All requests that a slice completes are kept, and the shortest ones
# cost many times their bytes, so slices are shorter once much of the memory budget is used.
PARSE_SLICE_BYTES = 8192
SHORT_SLICE_BYTES = 512
# Complete requests that may wait on one connection while an earlier one is in flight.
MAX_PIPELINED_REQUESTS = 8
# Memory of unparsed bytes that may wait behind the pipelined requests. A client that sends more is rejected,
# and all further input from it is dropped.
MAX_PIPELINED_BYTES = 32768
# Time within which a client must read more of its last response; otherwise its connection is aborted.
UNREAD_TIMEOUT_S = 30.0
# A client that has sent nothing of its request for this long has stalled.
STALL_S = 1.0
# Time between the last response and the close of the connection, in which the client can read the response.
# The time is renewed while the client still sends data or reads the response.
LINGER_S = 1.0
# Total time for which a client that still sends data may hold a connection that is being closed.
MAX_LINGER_S = 10.0


class InputState(Enum):
    """The state of a client's input, which changes only from a member below to one further down."""

    OPEN = "open"
    # The node processes no further input; responses may still be written.
    STOPPED = "stopped"
    # The client has closed the connection, and its requests need no response.
    DISCONNECTED = "disconnected"


# Module-level aliases of enum members for code that runs for every read: looking a member up in its class
# takes more than twice as long.
INPUT_OPEN = InputState.OPEN
INPUT_DISCONNECTED = InputState.DISCONNECTED


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection: one request is in flight at a time, and later ones wait in the pipeline.

    Args:
        connections: All client connections, with the resources that they share.
        rejecting: Whether every request is rejected because there are too many connections.
    """

    def __init__(self, connections: ClientConnectionsProtocol[ClientConnection], rejecting: bool) -> None:
        self.connections = connections
        self.rejecting = rejecting
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.number = connections.next_number()
        self.accepted_at = self.last_active_at = connections.loop.time()
        self.read_deadline = ReadDeadline(connections.loop, self.last_active_at)
        self.parser = RequestParser(self, self.read_deadline)
        self.account = MemoryAccount(connections.memory_budget)
        self.writer = ResponseWriter(self.account, self.accepted_at)
        self.unparsed = ReadQueue()
        # Loop time at which the bytes that are being parsed were read.
        self.read_at = 0.0
        self.parsing = False
        self.pipelined: list[ClientRequest] = []
        self.current_request: ClientRequest | None = None
        self.input_state = InputState.OPEN
        self.throttle = ReadThrottle(connections.loop)
        # Whether the client has had at least one response.
        self.has_served = False
        # Calls `linger` once the last response is written.
        self.linger_timer: asyncio.TimerHandle | None = None
        # Why the node closes the connection, and the bytes that it held then; None while it does not.
        self.close_reason: CloseReason | None = None
        self.closed_bytes = 0
        # Loop time at which the last response was written and the node's sending direction was closed; 0
        # before that.
        self.finished_at = 0.0

    @property
    def reading_stopped(self) -> bool:
        """Whether no further input is taken from this client."""
        return self.input_state is not INPUT_OPEN

    @property
    def has_disconnected(self) -> bool:
        """Whether the client has disconnected."""
        return self.input_state is INPUT_DISCONNECTED

    @property
    def partial_request(self) -> ClientRequest | None:
        """The request that has been received in part, if any."""
        return self.parser.partial_request

    @property
    def reading_paused(self) -> bool:
        """Whether reading is paused because a server must take more of the upload first."""
        return self.throttle.is_paused

    @property
    def write_blocked(self) -> bool:
        """Whether writing is paused because the client does not read its responses."""
        return self.writer.blocked

    # ---- reading --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and limit its write buffer."""
        self.transport = cast(asyncio.Transport, transport)
        self.writer.transport = self.throttle.transport = self.transport
        self.transport.set_write_buffer_limits(high=self.connections.memory_budget.chunk_bytes)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the read buffer that all connections share."""
        return self.connections.memory_budget.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Queue the bytes that were read, and parse them."""
        self.last_active_at = self.connections.loop.time()
        self.throttle.on_read(nbytes)
        if self.reading_stopped:
            return
        self.unparsed.append(
            bytes(memoryview(self.connections.memory_budget.read_buffer)[:nbytes]), self.last_active_at
        )
        self.parse()
        if self.unparsed.held_bytes() > MAX_PIPELINED_BYTES and not self.parser.is_upload_blocked():
            # Bytes beyond MAX_PIPELINED_BYTES are dropped rather than left in the socket. Behind unread
            # bytes, the end of the input would not be seen, and the remaining requests of a client that has
            # disconnected would be sent to servers one after the other.
            self.unparsed.clear()
            self.reject(503)
            self.update_account()
        self.connections.relieve_memory()

    def parse(self) -> None:
        """Parse the queued bytes until they end or parsing must wait, then pause or resume reading."""
        if self.parsing:
            return
        self.parsing = True
        while True:
            while self.unparsed and not self.reading_stopped and not self.is_parsing_blocked():
                data, self.read_at = self.unparsed.take(self.slice_bytes())
                self.parser.feed(data)
            self.start_next_request()
            if not self.unparsed or self.reading_stopped or self.is_parsing_blocked():
                break
        self.parsing = False
        self.update_reading()
        self.update_account()

    def slice_bytes(self) -> int:
        """Return how many bytes to pass to the parser at once."""
        is_short = self.connections.memory_budget.is_scarce() and not self.parser.is_reading_body()
        return SHORT_SLICE_BYTES if is_short else PARSE_SLICE_BYTES

    def update_account(self) -> None:
        """Count the bytes that the connection's requests hold now in the memory budget."""
        account = self.account
        account.set(Holding.INPUT, self.unparsed.held_bytes())
        current = self.current_request
        requests_size = sum(message.size for message in self.pipelined)
        uploads_size = 0
        if current is not None:
            requests_size += current.size
            uploads_size = current.upload.held_bytes() if current.upload is not None else 0
        account.set(Holding.PARTIAL_REQUESTS, self.parser.partial_bytes())
        account.set(Holding.REQUESTS, requests_size)
        account.set(Holding.UPLOADS, uploads_size)

    def is_parsing_blocked(self) -> bool:
        """Return whether parsing must wait for earlier requests, or for a server to take more of a body."""
        return len(self.pipelined) >= MAX_PIPELINED_REQUESTS or self.parser.is_upload_blocked()

    def update_reading(self) -> None:
        """Pause or resume reading, depending on whether a server can receive more of the upload."""
        stop = not self.reading_stopped and self.parser.is_upload_blocked()
        partial = self.partial_request
        if partial is not None and partial is self.current_request:
            self.connections.handler.set_waiting_for_client(self, not stop)
        if stop == self.reading_paused or not self.throttle.is_open():
            return
        self.throttle.set_paused(stop)
        if self.partial_request is not None and self.partial_request.upload is not None:
            if stop:
                self.read_deadline.suspend()
            else:
                self.read_deadline.resume()

    def stop_reading(self) -> None:
        """Take no further input from this client, whether it is still connected or not."""
        if self.input_state is InputState.OPEN:
            self.input_state = InputState.STOPPED

    def on_head_complete(self, message: ClientRequest) -> None:
        """Ask the client for the body if it waits for `100 Continue` and no earlier request is open."""
        if self.current_request is None and not self.pipelined:
            self.send_continue(message)

    def send_continue(self, message: ClientRequest) -> None:
        """Send `100 Continue` if the client waits for it before it sends the body."""
        if message.expects_continue and not self.transport.is_closing():
            self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        message.expects_continue = False

    def on_upload_writable(self, message: ClientRequest) -> None:
        """Let the client send more of a streamed body."""
        self.send_continue(message)
        self.parse()

    def on_upload_complete(self, message: ClientRequest) -> None:
        """Let the deadline of the current request run, as its client has sent everything."""
        message.received_at = self.read_at
        if message is self.current_request:
            self.connections.handler.set_waiting_for_client(self, False)

    def on_upload_unsent(self, message: ClientRequest) -> None:
        """Count the pieces of a streamed body that its connection to a server cannot send yet."""
        self.update_account()
        self.connections.schedule_memory_relief()

    def enqueue(self, message: ClientRequest) -> None:
        """Add a request that is complete or has a streamed body to the pipeline.

        A request that does not fit the memory budget is rejected with 503: many clients that pipeline large
        requests would otherwise exhaust the process's memory.
        """
        self.account.set(Holding.PARTIAL_REQUESTS, 0)
        if not self.connections.make_room(message.size):
            message.refuse(RefusalReason.MEMORY)
            message.keep_alive = False
            self.stop_reading()
        message.received_at = self.read_at
        self.pipelined.append(message)

    def reject(self, status: int, reason: RefusalReason = RefusalReason.INPUT) -> None:
        """Respond to the partial request with an error and stop reading; earlier ones still get responses."""
        if self.reading_stopped:
            return
        self.mark_closing(CloseReason.LATE if status == 408 else CloseReason.REJECTED)
        self.stop_reading()
        partial = self.parser.drop_partial()
        self.read_deadline.clear()
        if partial is None or partial.upload is None:
            self.pipelined.append(ClientRequest(status, reason))
        elif partial is self.current_request:
            partial.keep_alive = False
            self.connections.handler.request_malformed(self, status, reason)
        else:
            partial.error_status, partial.refusal_reason, partial.keep_alive = status, reason, False

    def reclaimable_bytes(self) -> int:
        """Return the buffered bytes that are released if the connection gives way.

        A complete request that was passed on is not among them.
        """
        current = self.current_request
        is_kept = current is not None and (current.upload is None or current.upload.is_complete)
        return self.account.total - (current.size if current is not None and is_kept else 0)

    def stalled_since(self, now: float) -> float | None:
        """Return the loop time since which the client has stalled; None if it has not.

        This is the one rule by which clients count as stalled, whatever the node lacks when it lets them give
        way. The node must wait for the client: to read a response, of which it takes less than `ReadPace`
        asks for, or else to send more of a request, of which it has sent nothing for `STALL_S`.

        Args:
            now: The loop time.
        """
        pace = self.writer.observed_pace(now)
        if pace is not None:
            return pace.stalled_since
        is_sending = self.partial_request is not None and not self.reading_paused
        return self.last_active_at if is_sending and now - self.last_active_at >= STALL_S else None

    def overdue_since(self, now: float) -> float | None:
        """Return the loop time since which a client has read nothing that may have stopped; None if it reads.

        Args:
            now: The loop time.
        """
        pace = self.writer.observed_pace(now)
        return pace.overdue_since(now) if pace is not None else None

    def is_stalled(self, now: float) -> bool:
        """Return whether the client has stalled.

        Args:
            now: The loop time.
        """
        return self.stalled_since(now) is not None

    def last_progress_at(self) -> float:
        """Return the loop time at which the client last sent something or is known to have read something."""
        if not self.writer.blocked:
            return self.last_active_at
        return max(self.last_active_at, self.writer.pace.progressed_at)

    def give_way(self, cause: GiveWayCause) -> None:
        """Release what the connection holds, because all connections together hold too much.

        A client that does not read its response is disconnected. Otherwise requests that were not passed on,
        the partial one among them, get a 503 response, and the connection is closed after them.

        Args:
            cause: What the node lacks.
        """
        self.connections.events.gave_way(
            self.number,
            cause,
            self.connections.loop.time() - self.last_progress_at(),
            self.account.held[Holding.UNREAD_RESPONSES],
            unacknowledged_bytes(self.transport),
        )
        self.mark_closing(CloseReason.MEMORY if cause is GiveWayCause.MEMORY else CloseReason.STALLED)
        if self.writer.blocked:
            # Its place is free for another at once, before the event loop reports the close.
            self.connections.connections.discard(self)
            if self.writer.source is not None:
                self.abort_stream()
            else:
                self.abort(CloseReason.STALLED)
            self.on_disconnected()
            return
        has_partial = self.partial_request is not None or bool(self.unparsed)
        self.unparsed.clear()
        for message in self.pipelined:
            message.refuse(RefusalReason.GAVE_WAY)
        if has_partial:
            self.reject(503, RefusalReason.GAVE_WAY)
        elif self.pipelined:
            self.stop_reading()
            self.pipelined[-1].keep_alive = False
        self.start_next_request()
        self.update_account()

    def start_next_request(self) -> None:
        """Handle the first pipelined request, unless an earlier one is in flight or writing is blocked."""
        if self.current_request is not None or self.writer.blocked or self.has_disconnected:
            return
        if not self.pipelined:
            if self.partial_request is not None and self.parser.is_reading_body():
                self.send_continue(self.partial_request)
            return
        self.current_request = message = self.pipelined.pop(0)
        self.connections.evict_idle()
        if self.rejecting:
            self.connections.handler.reject_over_capacity(self, message, RefusalReason.CONNECTIONS)
        elif message.error_status == 503:
            self.connections.handler.reject_over_capacity(self, message, message.refusal_reason)
        elif message.error_status:
            self.connections.events.refused(self.number, message.refusal_reason, message.error_status)
            self.respond(message.error_status)
        else:
            self.connections.handler.on_request(self, message)

    # ---- responses ------------------------------------------------------------------------------------

    def respond(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Send the one response to the current request.

        Args:
            status: The HTTP status.
            body: The complete body.
            headers: Further header lines, each ending in CRLF.
        """
        message = self.current_request
        if message is None or self.writer.source is not None:
            return
        close = self.closes_after(message)
        self.last_active_at = self.connections.loop.time()
        self.writer.write_response(status, body, headers, close)
        self.finish_response(message, close)

    def closes_after(self, message: ClientRequest) -> bool:
        """Return whether the connection is closed after the response to this request.

        A draining node, whose clients should move to another node, keeps the connection open while further
        requests wait on it, because closing it would drop requests that were pipelined completely.
        """
        body_incomplete = message.upload is not None and not message.upload.is_complete
        has_next_request = self.pipelined or self.unparsed or self.partial_request not in (None, message)
        draining = (
            self.connections.lifecycle.is_draining and not has_next_request and not self.has_unread_data()
        )
        return not message.keep_alive or self.rejecting or body_incomplete or draining

    def finish_response(self, message: ClientRequest, close: bool) -> None:
        """Release the current request after its response, and close the connection or continue."""
        self.current_request = None
        self.has_served = True
        self.update_account()
        if self.transport.is_closing():
            return
        if close:
            self.close_gracefully()
        elif self.pipelined or self.unparsed or self.partial_request is not None:
            self.connections.loop.call_soon(self.parse)

    def begin_stream(self, source: ResponseSource, length: int | None, headers: bytes) -> None:
        """Start a streamed response; `write_stream` and then `end_stream` or `abort_stream` follow.

        A response without a length is sent in chunked transfer coding. An HTTP/1.0 client does not know that
        coding, so the close of the connection marks the end of the response.
        """
        message = self.current_request
        assert message is not None
        self.writer.begin_stream(source, length, chunked=message.version == "1.1")
        if length is None and not self.writer.chunked:
            message.keep_alive = False
        close = self.closes_after(message)
        self.last_active_at = self.connections.loop.time()
        self.writer.write_stream_head(length, headers, close)

    def write_stream(self, data: bytes) -> None:
        """Write part of the streamed response's body."""
        if data:
            self.last_active_at = self.connections.loop.time()
            self.writer.write_stream(data)

    def end_stream(self) -> None:
        """Finish the streamed response, whose body has been written completely."""
        message = self.current_request
        if message is None:
            return
        if self.writer.chunked:
            self.last_active_at = self.connections.loop.time()
        self.writer.end_stream()
        self.finish_response(message, self.closes_after(message))

    def abort_stream(self) -> None:
        """Abort the connection during a streamed response, so that the client detects the truncation."""
        message = self.current_request
        if message is not None and not self.writer.chunked and message.version != "1.1":
            # An HTTP/1.0 client may take an orderly close for the end of the response.
            self.writer.reset_on_close()
        self.abort(CloseReason.BROKEN_RESPONSE)

    def mark_closing(self, reason: CloseReason) -> None:
        """Record why the node closes the connection; the first reason stays."""
        if self.close_reason is None:
            self.close_reason = reason
            self.closed_bytes = self.account.total

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once, for this reason."""
        self.mark_closing(reason)
        self.transport.abort()

    def close_gracefully(self) -> None:
        """Close the connection after the last response.

        The sending direction is closed first, and further input is read and dropped. Closing the whole socket
        while the client still sends would reset the connection, and the client could lose the response.
        """
        self.mark_closing(CloseReason.RESPONSE)
        self.stop_reading()
        self.unparsed.clear()
        self.pipelined.clear()
        partial = self.parser.drop_partial()
        if partial is not None:
            partial.discard_body()
        self.update_account()
        if self.transport.is_closing():
            return
        self.update_reading()
        self.transport.write_eof()
        self.finished_at = self.connections.loop.time()
        self.linger_timer = self.connections.loop.call_later(
            LINGER_S, self.linger, self.finished_at, self.writer.read_bytes()
        )

    def linger(self, since: float, last_read_bytes: int) -> None:
        """Abort the connection unless the client still reads its last response or sends data.

        If the client does either, check again after LINGER_S. A client that is rejected while it uploads a
        long body may read the response only after its upload; without the extra time it would be disconnected
        before it gets the Retry-After header.

        Args:
            since: The loop time at which the client last read some of the response.
            last_read_bytes: The bytes that the client had read at the previous check.
        """
        if self.transport.is_closing():
            return
        now = self.connections.loop.time()
        unread = self.transport.get_write_buffer_size()
        read_bytes = self.writer.read_bytes()
        since = now if read_bytes != last_read_bytes else since
        is_sending = now - self.last_active_at < LINGER_S and now - self.finished_at < MAX_LINGER_S
        if (unread and now - since < UNREAD_TIMEOUT_S) or (
            is_sending and not self.connections.lifecycle.is_draining
        ):
            self.linger_timer = self.connections.loop.call_later(LINGER_S, self.linger, since, read_bytes)
        else:
            self.abort(CloseReason.UNREAD)

    def pause_writing(self) -> None:
        """Pause the response, because the client does not read it."""
        self.writer.pause(self.connections.loop.time())
        self.connections.schedule_memory_relief()

    def resume_writing(self) -> None:
        """Resume the response and the parsing of requests, because the client reads again."""
        self.writer.resume(self.connections.loop.time())
        self.parse()

    # ---- close ----------------------------------------------------------------------------------------

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the descriptor and the buffered bytes of a connection that has been closed."""
        self.on_disconnected()
        self.connections.connections.discard(self)
        self.connections.descriptor_budget.remove_client()
        self.account.close()
        age_s = self.connections.loop.time() - self.accepted_at
        reason = self.close_reason or CloseReason.CLIENT
        self.connections.events.closed(self.number, reason, age_s, self.closed_bytes)
        self.release_objects()

    def release_objects(self) -> None:
        """Drop the references by which the objects of a closed connection keep each other alive."""
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.parser.close()

    def eof_received(self) -> bool:
        """Treat the end of the client's input as a disconnect; the client may still read complete responses.

        If part of a complete response is not sent yet, the transport stays open, and this method starts a
        close with a timeout: a transport that closes itself would wait forever for a client that does not
        read.

        Returns:
            Whether the transport stays open.
        """
        is_response_unsent = self.writer.source is None and self.has_unsent_data()
        self.on_disconnected()
        if is_response_unsent and not self.finished_at:
            self.close_gracefully()
        return is_response_unsent

    def on_disconnected(self) -> None:
        """Drop all input of a client that has disconnected, so that no further request is handled."""
        self.input_state = InputState.DISCONNECTED
        self.unparsed.clear()
        self.parser.drop_partial()
        self.pipelined.clear()
        if self.current_request is not None:
            self.current_request = None
            self.connections.handler.client_disconnected(self)
        self.update_account()
        self.writer.source = None

    def is_connected(self) -> bool:
        """Return whether the client is still connected; abort the connection if its socket says otherwise.

        The socket is checked because the event loop reports no end of input while reading is paused. Without
        the check, requests of clients that have disconnected would be sent to servers.
        """
        if not self.has_disconnected and has_event(self.transport, PEER_CLOSED):
            self.on_disconnected()
            self.abort(CloseReason.CLIENT)
        return not self.has_disconnected

    def is_idle(self) -> bool:
        """Return whether no request is in flight, waiting, partial or unread, and all responses are sent."""
        has_request = (
            self.current_request is not None
            or self.partial_request is not None
            or self.pipelined
            or self.reading_stopped
            or self.unparsed
        )
        return not has_request and not self.has_unsent_data() and not self.has_unread_data()

    def is_waiting_for_body(self) -> bool:
        """Return whether the rest of a body is missing, and no earlier request is in flight."""
        is_first = self.current_request is None or self.current_request is self.partial_request
        return is_first and not self.reading_stopped and self.parser.is_reading_body()

    def extend_body_deadline(self, now: float) -> bool:
        """Extend the deadline of a body that makes progress; return False if the client is too slow."""
        partial = self.partial_request
        if partial is None or not self.parser.is_reading_body():
            return False
        return self.read_deadline.extend_body(now, self.last_active_at, partial.upload is not None)

    def close_without_request(self) -> None:
        """Close a connection that has no complete request; a partial request gets a 503 response.

        Bytes that wait in the socket are read first, and a request that they complete gets its response.
        """
        if (
            self.transport is None
            or self.has_disconnected
            or (self.has_unread_data() and not self.reading_paused)
        ):
            return
        if self.partial_request is not None:
            self.reject(503)
            self.start_next_request()
        elif self.is_idle():
            self.abort(CloseReason.DRAINING)

    def has_unsent_data(self) -> bool:
        """Return whether part of a response is still buffered; closing now would truncate it."""
        return self.writer.has_unsent_data()

    def has_unread_data(self) -> bool:
        """Return whether the socket has unread bytes; closing now would reset the client's connection."""
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and has_event(self.transport, READABLE)
