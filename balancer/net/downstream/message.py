"""A client's request as it was parsed, and the reason phrases of responses."""

from __future__ import annotations

from balancer.net.upstream.body_streaming import RequestBodyStream

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class ClientRequest:
    """A request as it came, or why it could not be parsed.

    Args:
        error: the status of the response if it could not be parsed; 0 if it was.
    """

    __slots__ = (
        "body",
        "error",
        "expects_continue",
        "headers",
        "keep_alive",
        "lines",
        "method",
        "received_at",
        "size",
        "target",
        "upload",
        "version",
    )

    def __init__(self, error: int = 0) -> None:
        self.error = error
        self.method = b""
        self.target = b""
        self.version = "1.1"
        self.lines: list[tuple[bytes, bytes, bytes]] = []  # headers: lower-case name, name, value
        self.headers: dict[bytes, bytes] = {}  # by lower-case name; of several the first
        self.body = b""
        self.upload: RequestBodyStream | None = None  # the body, if it is long and streamed
        self.expects_continue = False  # the client waits for `100 Continue` before it sends the body
        self.keep_alive = error == 0
        self.received_at = 0.0  # when its last byte was read, or its head's where the body is streamed
        self.size = 0  # bytes reserved while it is pipelined or pending
