"""The parser of the requests on a client's connection."""

from __future__ import annotations

from typing import Protocol

import httptools

from balancer.net.downstream.message import ClientRequest
from balancer.net.downstream.read_deadline import ReadDeadline
from balancer.net.upstream.body_streaming import MAX_BODY_BYTES, MAX_BUFFERED_BYTES, RequestBodyStream

MAX_HEAD_BYTES = 32768
MAX_HEADER_LINES = 128


class RequestReceiver(Protocol):
    """The receiver of the requests that a parser has parsed."""

    @property
    def reading_stopped(self) -> bool:
        """Whether no further input is taken from this client."""

    def enqueue(self, message: ClientRequest) -> None:
        """Accept a request that is complete or has a streamed body."""

    def reject(self, status: int) -> None:
        """Reject the partial request, which is invalid, and stop reading."""

    def on_head_complete(self, message: ClientRequest) -> None:
        """Handle a valid head of a request whose body is not known to be too long to buffer."""

    def on_upload_writable(self, message: ClientRequest) -> None:
        """Let the client send more of a streamed body."""

    def on_upload_complete(self, message: ClientRequest) -> None:
        """Handle the end of a streamed body."""

    def on_upload_unsent(self, message: ClientRequest) -> None:
        """Count the pieces of a streamed body that its connection to a server cannot send yet."""


class ClosedReceiver:
    """The receiver of a parser whose connection is closed: it ignores everything."""

    reading_stopped = True

    def enqueue(self, message: ClientRequest) -> None:
        """Ignore the request."""

    def reject(self, status: int) -> None:
        """Ignore the partial request."""

    def on_head_complete(self, message: ClientRequest) -> None:
        """Ignore the head."""

    def on_upload_writable(self, message: ClientRequest) -> None:
        """Ignore that a server could take more."""

    def on_upload_complete(self, message: ClientRequest) -> None:
        """Ignore the end of a body."""

    def on_upload_unsent(self, message: ClientRequest) -> None:
        """Ignore the pieces that are buffered."""


CLOSED_RECEIVER = ClosedReceiver()
# The parser in place of that of a closed connection, which refers back to the connection.
CLOSED_PARSER = httptools.HttpRequestParser(CLOSED_RECEIVER)


class BodyEvents:
    """The parser callbacks that concern a request's body; those of its head are ignored.

    Args:
        parser: Receives the callbacks.
    """

    def __init__(self, parser: RequestParser) -> None:
        self.on_body = parser.on_body
        self.on_message_complete = parser.on_message_complete


class RequestParser:
    """Parses the requests of one connection; httptools calls its `on_...` methods.

    Offers of another protocol (`Upgrade`, RFC 9110, 7.8) are ignored: the request is handled under HTTP/1.1,
    and the connection is closed after its response.

    Args:
        receiver: Receives the parsed requests.
        deadline: The read deadline, which follows the progress of the partial request.
    """

    __slots__ = (
        "bytes_without_body",
        "deadline",
        "head_incomplete",
        "http_parser",
        "partial_request",
        "receiver",
    )

    def __init__(self, receiver: RequestReceiver, deadline: ReadDeadline) -> None:
        self.receiver = receiver
        self.deadline = deadline
        self.http_parser = httptools.HttpRequestParser(self)
        self.partial_request: ClientRequest | None = None
        # Whether the head of the partial request is still incomplete.
        self.head_incomplete = False
        # Bytes of the partial request parsed from the last slice on that contained part of its body.
        self.bytes_without_body = 0

    def feed(self, data: bytes) -> None:
        """Parse a slice of bytes.

        The slice must be small compared with `MAX_HEAD_BYTES`, because that limit is checked only after it.
        """
        partial, body_bytes = self.partial_request, self.deadline.body_bytes
        try:
            self.feed_http_parser(data)
        except httptools.HttpParserError:
            self.receiver.reject(400)
        if self.partial_request is None or self.receiver.reading_stopped:
            return
        # MAX_HEAD_BYTES limits trailers as well as heads, because the parser buffers the headers after a body
        # like those before it.
        if self.partial_request is partial and self.deadline.body_bytes == body_bytes:
            self.bytes_without_body += len(data)
        else:
            self.bytes_without_body = len(data)
        if self.bytes_without_body > MAX_HEAD_BYTES:
            self.receiver.reject(431)

    def feed_http_parser(self, data: bytes) -> None:
        """Parse a slice of bytes, and continue under HTTP/1.1 after an offer of another protocol.

        Raises:
            HttpParserError: The bytes are no valid request.
        """
        try:
            self.http_parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.partial_request is None:
                return  # The request was rejected by its head.
            (head_end,) = upgrade.args
            self.http_parser = httptools.HttpRequestParser(BodyEvents(self))
            self.http_parser.feed_data(framing_head(self.partial_request))
            self.http_parser.feed_data(data[head_end:])

    def close(self) -> None:
        """Drop the partial request and the references to the receiver, as its connection is closed."""
        self.partial_request = None
        self.http_parser = CLOSED_PARSER
        self.receiver = CLOSED_RECEIVER

    def drop_partial(self) -> ClientRequest | None:
        """Discard the partial request, and return it."""
        partial, self.partial_request = self.partial_request, None
        return partial

    def partial_bytes(self) -> int:
        """Return the bytes that are buffered of a request that has not been passed on; 0 if there is none."""
        message = self.partial_request
        if message is None or message.upload is not None:
            return 0
        # The parser keeps what it has of an incomplete line.
        return message.size + (self.bytes_without_body if self.head_incomplete else 0)

    def is_reading_body(self) -> bool:
        """Return whether a request's head is complete and its body is not."""
        return self.partial_request is not None and not self.head_incomplete

    def is_upload_blocked(self) -> bool:
        """Return whether the client must wait before it sends more of a streamed body."""
        return (
            self.partial_request is not None
            and self.partial_request.upload is not None
            and self.partial_request.upload.is_blocked()
        )

    def on_message_begin(self) -> None:
        """Start a new request."""
        if self.receiver.reading_stopped:
            return
        self.partial_request = ClientRequest()
        self.head_incomplete = True
        self.deadline.start_head()

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may be split over several calls."""
        if self.partial_request is not None:
            self.partial_request.target += url
            self.partial_request.size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the request; ignore a trailer, which is a header after the body."""
        if self.partial_request is not None and self.head_incomplete:
            self.partial_request.add_header(name, value)
            if self.partial_request.line_count > MAX_HEADER_LINES:
                self.receiver.reject(431)

    def on_headers_complete(self) -> None:
        """Check the complete head, and decide whether the body is streamed."""
        self.head_incomplete = False
        message = self.partial_request
        if message is None:
            return
        message.method = self.http_parser.get_method()
        message.version = self.http_parser.get_http_version()
        message.keep_alive = self.http_parser.should_keep_alive() and not self.http_parser.should_upgrade()
        message.expects_continue = b"expect" in message.headers and message.version == "1.1"
        self.deadline.start_body()
        length = message.headers.get(b"content-length", b"")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            self.receiver.reject(413)
        elif length.isdigit() and int(length) > MAX_BUFFERED_BYTES:
            self.stream_body(message, int(length))
        else:
            self.receiver.on_head_complete(message)

    def stream_body(self, message: ClientRequest, length: int | None) -> None:
        """Pass on a request whose long body is streamed, starting with the part received so far."""

        def on_writable() -> None:
            self.receiver.on_upload_writable(message)

        def on_unsent() -> None:
            self.receiver.on_upload_unsent(message)

        message.upload = RequestBodyStream(length, on_writable, on_unsent)
        message.size -= message.body_buffer.held_bytes()
        for block in message.body_buffer.blocks:
            message.upload.feed(bytes(block))
        message.body_buffer.clear()
        self.receiver.enqueue(message)

    def on_body(self, body: bytes) -> None:
        """Buffer or stream part of the body."""
        message = self.partial_request
        if message is None or self.receiver.reading_stopped:
            return
        self.deadline.body_bytes += len(body)
        if message.upload is not None:
            message.upload.feed(body)
            if message.upload.size > MAX_BODY_BYTES:
                self.receiver.reject(413)
            return
        message.append_body(body)
        if len(message.body_buffer) > MAX_BUFFERED_BYTES:
            self.stream_body(message, None)

    def on_message_complete(self) -> None:
        """Pass on the complete request, or end its streamed body if the request was passed on before.

        After an offer of another protocol, httptools calls this method at the end of the head. The body, if
        any, is still to come, and the parser of that body calls this method at its end.
        """
        if self.http_parser.should_upgrade():
            return
        message = self.drop_partial()
        self.deadline.clear()
        if message is None or self.receiver.reading_stopped:
            return
        if message.upload is not None:
            message.upload.end()
            self.receiver.on_upload_complete(message)
        else:
            self.receiver.enqueue(message)


def framing_head(message: ClientRequest) -> bytes:
    """Return a head with the framing of the message's body, and without an offer of another protocol.

    A parser that has been fed with this head parses the message's body, and rejects what follows the message.
    """
    return b"POST / HTTP/1.1\r\nConnection: close\r\n%b\r\n" % bytes(message.framing_lines)
