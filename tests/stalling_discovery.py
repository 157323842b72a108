"""A discovery service on virtual time whose responses with a change stall, and the ways in which they do."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from virtual_time import Connected, FakeConnection, FakeDiscovery, VirtualTimeLoop, list_response

INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
ENDLESS = b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n"

# How the bytes of a response arrive: pairs of a piece and its time, as a fraction of the response's duration.
Pieces = Iterator[tuple[bytes, float]]


def stops_in_head(data: bytes) -> Pieces:
    yield data[:20], 0.0
    yield data[20:], 1.0


def stops_after_head(data: bytes) -> Pieces:
    head_end = data.index(b"\r\n\r\n") + 4
    yield data[:head_end], 0.0
    yield data[head_end:], 1.0


def stops_before_last_byte(data: bytes) -> Pieces:
    yield data[:-1], 0.0
    yield data[-1:], 1.0


def stops_after_interim_response(data: bytes) -> Pieces:
    yield INTERIM, 0.0
    yield data, 1.0


def arrives_byte_by_byte(data: bytes) -> Pieces:
    for index in range(len(data)):
        yield data[index : index + 1], index / (len(data) - 1)


def comes_late(data: bytes) -> Pieces:
    yield data, 1.0


STALLING_DELIVERIES = [
    stops_in_head,
    stops_after_head,
    stops_before_last_byte,
    stops_after_interim_response,
    arrives_byte_by_byte,
]
DELIVERIES = [*STALLING_DELIVERIES, comes_late]


def deliver_over(connection: FakeConnection, pieces: Pieces, duration_s: float) -> None:
    """Schedule the delivery of pieces, whose times are fractions of this duration."""
    for piece, fraction in pieces:
        connection.loop.call_later(fraction * duration_s, connection.deliver, piece)


class StallingDiscovery(FakeDiscovery):
    """Discovery with version 41 and then 42, whose responses with version 42 last for some time.

    Args:
        deliver: How the bytes of a response arrive.
        duration_s: The time from a request to the end of its response.
        changed_at: The time at which the list changes to version 42.
        slow_requests: How many requests for version 42 get such a response; the others get one at once.
    """

    def __init__(
        self,
        deliver: Callable[[bytes], Pieces],
        duration_s: float,
        changed_at: float,
        slow_requests: float = float("inf"),
    ) -> None:
        super().__init__("none", 0)
        self.deliver = deliver
        self.duration_s = duration_s
        self.changed_at = changed_at
        self.slow_requests = slow_requests
        self.connections: list[FakeConnection] = []
        self.request_times: list[float] = []
        self.most_connections = 0

    def open_connections(self) -> int:
        """Return the number of connections that the node has not closed."""
        return sum(not connection.closed for connection in self.connections)

    async def connect(self, loop: VirtualTimeLoop, protocol: Any) -> Connected:
        """Establish and record a connection."""
        connected = await super().connect(loop, protocol)
        self.connections.append(connected[0])
        self.most_connections = max(self.most_connections, self.open_connections())
        return connected

    def request_received(self, connection: FakeConnection, data: bytes) -> None:
        """Respond with the list that the node lacks once it exists, and otherwise after the wait."""
        loop = connection.loop
        requested_at = loop.time()
        self.request_times.append(requested_at)
        query = data.split(b" ")[1]
        has_current = b"since=42&" in query
        has_previous = b"since=41&" in query
        wait = int(query.rpartition(b"timeout_ms=")[2] or b"0") / 1000
        if has_current or (has_previous and requested_at + wait < self.changed_at):
            version = 42 if has_current else 41
            loop.call_later(wait, connection.deliver, list_response(version, full=False, state="ready"))
        elif requested_at < self.changed_at and not has_previous:
            connection.deliver(list_response(41, state="ready"))
        else:
            loop.call_at(max(requested_at, self.changed_at), self.respond, connection, requested_at)

    def respond(self, connection: FakeConnection, requested_at: float) -> None:
        """Begin the response with version 42."""
        loop = connection.loop
        response = list_response(42)
        if self.slow_requests <= 0:
            connection.deliver(response)
            return
        self.slow_requests -= 1
        remaining_s = max(0.0, requested_at + self.duration_s - loop.time())
        deliver_over(connection, self.deliver(response), remaining_s)


def never_ends(data: bytes) -> Pieces:
    """Deliver the head of a body that never comes."""
    yield ENDLESS, 0.0


def body_without_end(data: bytes) -> Pieces:
    """Deliver a byte each 0.4 s of a duration of 400 s."""
    yield ENDLESS, 0.0
    for index in range(1, 1000):
        yield b" ", index / 1000


def interim_responses_without_end(data: bytes) -> Pieces:
    """Deliver an interim response each 0.4 s of a duration of 400 s."""
    for index in range(1000):
        yield INTERIM, index / 1000


ENDLESS_DELIVERIES = [never_ends, body_without_end, interim_responses_without_end]
ENDLESS_S = 400.0
