"""A client's parsed request, and the reason phrases of responses."""

from __future__ import annotations

from balancer.net.process.body_buffer import BodyBuffer
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


# Memory of a request's object without the bytes of its head and body.
OBJECT_BYTES = 1024
# Headers that are not forwarded: they concern only the connection between the client and this node, or the
# node generates its own for the connection to the server.
HOP_BY_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-connection proxy-authorization te trailer transfer-encoding upgrade expect"
    b" content-length x-budget-ms".split()
)
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
# Headers whose values the node reads.
READ_HEADERS = frozenset(
    b"connection content-length expect x-budget-ms x-call-id idempotency-key x-caller x-again".split()
)


# The path of a refused request is kept up to this length, since metrics count refusals by its class.
MAX_REFUSED_TARGET_BYTES = 256


class ClientRequest:
    """A request as it was received, or the error for one that cannot be handled.

    Args:
        error_status: The status of the response if the request is rejected unhandled; 0 otherwise.
        refusal_reason: Why the request is rejected, if it is.
    """

    __slots__ = (
        "body_buffer",
        "error_status",
        "expects_continue",
        "forwarded_lines",
        "framing_lines",
        "headers",
        "keep_alive",
        "line_count",
        "method",
        "received_at",
        "refusal_reason",
        "size",
        "target",
        "upload",
        "version",
    )

    def __init__(self, error_status: int = 0, refusal_reason: RefusalReason = RefusalReason.INPUT) -> None:
        self.error_status = error_status
        self.refusal_reason = refusal_reason
        self.method = b""
        self.target = b""
        self.version = "1.1"
        self.line_count = 0  # Number of header lines received.
        # The header lines to forward and those that frame the body, as received and in order, each ending in
        # CRLF. They are kept as text, since a line as an object costs many times its bytes.
        self.forwarded_lines = bytearray()
        self.framing_lines = bytearray()
        # The values of the headers that the node reads, by lower-case name: the first one if a header is
        # repeated, and all values of `Connection`, separated by commas.
        self.headers: dict[bytes, bytes] = {}
        self.body_buffer = BodyBuffer()
        # The streamed body, if the body is too long to be buffered.
        self.upload: RequestBodyStream | None = None
        # Whether the client waits for `100 Continue` before it sends the body.
        self.expects_continue = False
        self.keep_alive = error_status == 0
        # Loop time at which the last byte of the request was read; that of its head until a streamed body is
        # complete.
        self.received_at = 0.0
        # Bytes of the head and of the buffered body, with those of this object, for the memory budget.
        self.size = OBJECT_BYTES

    @property
    def body(self) -> bytes:
        """The buffered body."""
        return self.body_buffer.to_bytes()

    def append_body(self, data: bytes) -> None:
        """Add a piece of the body to the buffer."""
        before = self.body_buffer.held_bytes()
        self.body_buffer.append(data)
        self.size += self.body_buffer.held_bytes() - before

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header line in the order in which it was received."""
        self.line_count += 1
        key = name.lower()
        if key in READ_HEADERS:
            self.add_read_header(key, value)
        line = b"%b: %b\r\n" % (name, value)
        if key in FRAMING_HEADERS:
            self.framing_lines += line
        elif key not in HOP_BY_HOP_HEADERS:
            self.forwarded_lines += line
        else:
            return
        self.size += len(line)

    def add_read_header(self, key: bytes, value: bytes) -> None:
        """Keep the value of a header that the node reads."""
        if key == b"connection" and key in self.headers:
            value = b"%b,%b" % (self.headers[key], value)
        elif key in self.headers:
            return
        self.size += len(value) - len(self.headers.get(key, b""))
        self.headers[key] = value

    def refuse(self, reason: RefusalReason) -> None:
        """Mark a request that was not passed on as refused with 503, and discard its headers and body."""
        if not self.error_status:
            self.error_status, self.refusal_reason = 503, reason
        if len(self.target) > MAX_REFUSED_TARGET_BYTES:
            self.target = b""
        self.forwarded_lines, self.framing_lines = bytearray(), bytearray()
        self.headers = {}
        self.discard_body()
        self.upload = None
        self.size = OBJECT_BYTES

    def discard_body(self) -> None:
        """Discard the buffered body of a request that will not be sent to a server again."""
        self.body_buffer.clear()
        if self.upload is not None:
            self.upload.discard()
