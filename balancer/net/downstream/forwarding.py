"""Encoding of a client's request for a server: its headers, and the forwarded time budget."""

from __future__ import annotations

from balancer.net.downstream.message import ClientRequest

# Longest time that a request is assumed to wait unread in its client's socket before the process reads it.
MAX_READ_DELAY_US = 10_000
# Headers that are forwarded even if the `Connection` header names them.
END_TO_END_HEADERS = frozenset((b"host", b"x-call-id", b"idempotency-key"))


def forwarded_lines(message: ClientRequest) -> bytes:
    """Return the header lines to forward, without those that the `Connection` header names."""
    connection = message.headers.get(b"connection")
    if connection is None:
        return bytes(message.forwarded_lines)
    excluded = {name.strip().lower() for name in connection.split(b",")} - END_TO_END_HEADERS
    lines = bytes(message.forwarded_lines).split(b"\r\n")[:-1]
    return b"".join(b"%b\r\n" % line for line in lines if line.partition(b":")[0].lower() not in excluded)


def forwarded_budget_ms(remaining_us: int) -> int:
    """Return the time budget that is forwarded to a server, in whole milliseconds.

    The budget is shorter than the remaining time by the time that the request may have waited unread in its
    socket, so that the server does not get more time than the client has left.
    """
    return (remaining_us - min(MAX_READ_DELAY_US, remaining_us // 2)) // 1000


def encode_request(message: ClientRequest, budget_ms: int) -> bytes:
    """Encode the request for a server: its head, and its body unless that is streamed."""
    framing = b""
    if message.upload is not None:
        length = message.upload.length
        framing = b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
    elif message.body_buffer or message.method != b"GET":
        framing = b"Content-Length: %d\r\n" % len(message.body_buffer)
    return b"%b %b HTTP/1.1\r\n%bX-Budget-Ms: %d\r\n%b\r\n%b" % (
        message.method,
        message.target,
        forwarded_lines(message),
        budget_ms,
        framing,
        message.body,
    )
