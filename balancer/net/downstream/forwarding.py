"""A client's request as it is forwarded to a server: its headers, and the time budget."""

from __future__ import annotations

from balancer.net.downstream.message import ClientRequest

MAX_READ_DELAY_US = 10_000  # a request may lie in its socket so long before the process comes to read it
# Headers that end at this hop or are written anew for the next.
HOP_BY_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-connection proxy-authorization te trailer transfer-encoding upgrade expect"
    b" content-length x-budget-ms".split()
)
# Forwarded whatever `Connection` names.
END_TO_END_HEADERS = frozenset((b"host", b"x-call-id", b"idempotency-key"))


def hop_headers(message: ClientRequest) -> frozenset[bytes]:
    """The headers that are not forwarded: the usual ones and those that `Connection` names."""
    if b"connection" not in message.headers:
        return HOP_BY_HOP_HEADERS
    named = [value for key, _, value in message.lines if key == b"connection"]
    hop_by_hop = {name.strip().lower() for name in b",".join(named).split(b",")}
    return HOP_BY_HOP_HEADERS | hop_by_hop - END_TO_END_HEADERS


def forwarded_budget_ms(remaining: int) -> int:
    """The time budget that is forwarded to a server, in whole milliseconds.

    Failure prevented: a server gets more time than its client has, by what a request waited unread.
    """
    return (remaining - min(MAX_READ_DELAY_US, remaining // 2)) // 1000


def encode_request(message: ClientRequest, budget_ms: int) -> bytes:
    """The request as it is forwarded to a server: its head, and its body unless that is streamed."""
    lines = [b"%b %b HTTP/1.1" % (message.method, message.target)]
    hop = hop_headers(message)
    lines += [b"%b: %b" % (name, value) for key, name, value in message.lines if key not in hop]
    lines.append(b"X-Budget-Ms: %d" % budget_ms)
    upload = message.upload
    if upload is not None:
        length = upload.length
        lines.append(b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length)
    elif message.body or message.method != b"GET":
        lines.append(b"Content-Length: %d" % len(message.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + message.body
