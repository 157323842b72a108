"""A client's parsed request, and the reason phrases of responses."""

from __future__ import annotations

from balancer.net.process.traffic_events import RefusalReason
from balancer.net.upstream.body_streaming import RequestBodyStream

REASON_PHRASES = {
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
    """A request as it was received, or the error for one that cannot be handled.

    Args:
        error_status: The status of the response if the request is rejected unhandled; 0 otherwise.
    """

    __slots__ = (
        "body",
        "error_status",
        "expects_continue",
        "header_lines",
        "headers",
        "keep_alive",
        "method",
        "received_at",
        "refusal_reason",
        "size",
        "target",
        "upload",
        "version",
    )

    def __init__(self, error_status: int = 0) -> None:
        self.error_status = error_status
        # Why the request is rejected, if it is.
        self.refusal_reason = RefusalReason.INPUT
        self.method = b""
        self.target = b""
        self.version = "1.1"
        # Header lines in order, each as the lower-case name, the name as received and the value.
        self.header_lines: list[tuple[bytes, bytes, bytes]] = []
        # Header values by lower-case name; the first one if a header is repeated.
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        # The streamed body, if the body is too long to be buffered.
        self.upload: RequestBodyStream | None = None
        # Whether the client waits for `100 Continue` before it sends the body.
        self.expects_continue = False
        self.keep_alive = error_status == 0
        # Loop time at which the last byte of the request, or of its head if the body is streamed, was read.
        self.received_at = 0.0
        # Bytes of the head and of the buffered body, which count in the memory budget.
        self.size = 0
