"""Encoding of a client's request for a server: its headers, and the forwarded time budget."""

from __future__ import annotations

from balancer.net.downstream.message import ClientRequest

# Longest time that a request is assumed to wait unread in its client's socket before the process reads it.
MAX_READ_DELAY_US = 10_000
# Headers that are not forwarded: they concern only the connection between the client and this node, or the
# node generates its own for the connection to the server.
HOP_BY_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-connection proxy-authorization te trailer transfer-encoding upgrade expect"
    b" content-length x-budget-ms".split()
)
# Headers that are forwarded even if the `Connection` header names them.
END_TO_END_HEADERS = frozenset((b"host", b"x-call-id", b"idempotency-key"))


def hop_by_hop_headers(message: ClientRequest) -> frozenset[bytes]:
    """Return the lower-case names of headers not to forward, including those listed in `Connection`."""
    if b"connection" not in message.headers:
        return HOP_BY_HOP_HEADERS
    named = [value for key, _, value in message.header_lines if key == b"connection"]
    hop_by_hop = {name.strip().lower() for name in b",".join(named).split(b",")}
    return HOP_BY_HOP_HEADERS | hop_by_hop - END_TO_END_HEADERS


def forwarded_budget_ms(remaining_us: int) -> int:
    """Return the time budget that is forwarded to a server, in whole milliseconds.

    The budget is shorter than the remaining time by the time that the request may have waited unread in its
    socket, so that the server does not get more time than the client has left.
    """
    return (remaining_us - min(MAX_READ_DELAY_US, remaining_us // 2)) // 1000


def encode_request(message: ClientRequest, budget_ms: int) -> bytes:
    """Encode the request for a server: its head, and its body unless that is streamed."""
    lines = [b"%b %b HTTP/1.1" % (message.method, message.target)]
    excluded = hop_by_hop_headers(message)
    lines += [b"%b: %b" % (name, value) for key, name, value in message.header_lines if key not in excluded]
    lines.append(b"X-Budget-Ms: %d" % budget_ms)
    upload = message.upload
    if upload is not None:
        length = upload.length
        lines.append(b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length)
    elif message.body or message.method != b"GET":
        lines.append(b"Content-Length: %d" % len(message.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + message.body
