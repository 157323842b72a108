"""Bytes from a client, parsed into requests."""

from __future__ import annotations

from typing import Protocol

import httptools

from balancer.net.downstream.message import ClientRequest
from balancer.net.downstream.read_deadline import ReadDeadline
from balancer.net.upstream.body_streaming import MAX_BODY_BYTES, MAX_BUFFERED_BYTES, RequestBodyStream

MAX_HEAD_BYTES = 32768
MAX_HEADER_LINES = 128


class RequestReceiver(Protocol):
    """What a parser hands requests to."""

    @property
    def reading_stopped(self) -> bool:
        """Whether nothing further is taken from this client."""

    def enqueue(self, message: ClientRequest) -> None:
        """Takes a request: complete, or with a streamed body."""

    def reject(self, status: int) -> None:
        """Called when the request that is coming is invalid; nothing further is read."""

    def on_upgrade_offered(self) -> None:
        """Called when the client offers another protocol, behind which the parser reads nothing."""

    def on_head_complete(self, message: ClientRequest) -> None:
        """Called when a head is valid and its body is not streamed yet."""

    def on_upload_writable(self, message: ClientRequest) -> None:
        """Called when the client may send more of a streamed body."""


class RequestParser:
    """Parses one connection's requests; the callbacks of httptools are its `on_...` methods.

    Args:
        receiver: takes the requests.
        deadline: follows the progress of the request that is coming.
    """

    def __init__(self, receiver: RequestReceiver, deadline: ReadDeadline) -> None:
        self.receiver = receiver
        self.deadline = deadline
        self.http = httptools.HttpRequestParser(self)
        self.partial: ClientRequest | None = None
        self.head_incomplete = False  # its head is still coming
        self.bytes_without_body = 0  # bytes of it that have come in a row and were none of its body

    def feed(self, data: bytes) -> None:
        """Parses a slice, small beside the bound on a head, which is checked after each slice."""
        partial, body_bytes = self.partial, self.deadline.body_bytes
        try:
            self.http.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.receiver.on_upgrade_offered()
        except httptools.HttpParserError:
            self.receiver.reject(400)
        if self.partial is None or self.receiver.reading_stopped:
            return
        # A trailer, like a head, is kept by the parser until it ends.
        if self.partial is partial and self.deadline.body_bytes == body_bytes:
            self.bytes_without_body += len(data)
        else:
            self.bytes_without_body = len(data)
        if self.bytes_without_body > MAX_HEAD_BYTES:
            self.receiver.reject(431)

    def drop_partial(self) -> ClientRequest | None:
        """Forgets the request that is coming, and returns it."""
        partial, self.partial = self.partial, None
        return partial

    def is_reading_body(self) -> bool:
        """Whether the head of a request is complete and the rest of it is coming."""
        return self.partial is not None and not self.head_incomplete

    def is_upload_blocked(self) -> bool:
        """Whether the client is to send no more of a body for now."""
        return (
            self.partial is not None and self.partial.upload is not None and self.partial.upload.is_blocked()
        )

    def on_message_begin(self) -> None:
        """Begins a request."""
        if self.receiver.reading_stopped:
            return
        self.partial = ClientRequest()
        self.head_incomplete = True
        self.deadline.start_head()

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
                self.receiver.reject(431)

    def on_headers_complete(self) -> None:
        """Checks the head, and decides whether the body is streamed."""
        self.head_incomplete = False
        message = self.partial
        if message is None:
            return
        message.method = self.http.get_method()
        message.version = self.http.get_http_version()
        message.keep_alive = self.http.should_keep_alive()
        message.expects_continue = b"expect" in message.headers and message.version == "1.1"
        message.size = len(message.target) + sum(len(n) + len(v) for _, n, v in message.lines)
        self.deadline.start_body()
        length = message.headers.get(b"content-length", b"")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            self.receiver.reject(413)
        elif length.isdigit() and int(length) > MAX_BUFFERED_BYTES:
            self.stream_body(message, int(length))
        else:
            self.receiver.on_head_complete(message)

    def stream_body(self, message: ClientRequest, length: int | None) -> None:
        """Hands on a request whose body is long, with what has come of it."""

        def on_writable() -> None:
            self.receiver.on_upload_writable(message)

        message.upload = RequestBodyStream(length, on_writable)
        if message.body:
            message.upload.feed(message.body)
            message.body = b""
        self.receiver.enqueue(message)

    def on_body(self, body: bytes) -> None:
        """Buffers or streams a piece of the body."""
        message = self.partial
        if message is None or self.receiver.reading_stopped:
            return
        self.deadline.body_bytes += len(body)
        if message.upload is not None:
            message.upload.feed(body)
            if message.upload.size > MAX_BODY_BYTES:
                self.receiver.reject(413)
            return
        message.body += body
        if len(message.body) > MAX_BUFFERED_BYTES:
            self.stream_body(message, None)

    def on_message_complete(self) -> None:
        """Hands a complete request on, or ends its streamed body."""
        message = self.drop_partial()
        self.deadline.clear()
        if message is None or self.receiver.reading_stopped:
            return
        if message.upload is not None:
            message.upload.end()
        else:
            message.size += len(message.body)
            self.receiver.enqueue(message)
