"""A server of the policy in the simulator's wire format, on standard input and output.

The structures, and the methods that handle events, have the names of the wire format's records. If a frame,
one batch of events with its header, cannot be read, the process ends with status 2 and one line on standard
error.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from struct import Struct
from typing import Any, BinaryIO

from balancer.policy import Balancer
from balancer.policy.interface import ListKind, Outcome, ServerEntry, Settings, State
from balancer.settings import parse_settings

HEADER = Struct("<IIQ")
LENGTH = Struct("<I")
CREATE = Struct("<HQI")
DIRECTORY = Struct("<II")
ENTRY = Struct("<IHQHfBH")
TARGETS = Struct("<HBII")
ACCEPT = Struct("<HQQHBIIH")
CLIENT_LEFT = Struct("<HQ")
CHECK_RESULT = Struct("<HIHIB")
OPENED = Struct("<HQBII")
WAKE = Struct("<HQ")
SHUTDOWN = Struct("<H")
PEER_DATA = Struct("<HHH")
VERDICT = Struct("<HQBIIBHB")

RELAY = Struct("<BHQII")
BOUNCE = Struct("<BHQI")
END_FAILED = Struct("<BHQ")
WITHDRAW = Struct("<BHQB")
NOTIFY_ME = Struct("<BHIQ")
PROBE = Struct("<BHI")
RELEASE = Struct("<BHI")
NOTIFY = Struct("<BHHH")
JOURNAL_LINE = Struct("<BHH")
BAIL_OUT = Struct("<BHH")
LISTEN = Struct("<BHB")
QUERY_ALL = Struct("<BH")

OUTCOMES = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.REJECTED,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.NOT_SENT,
}
LIST_KINDS = (ListKind.CHANGES, ListKind.FULL, ListKind.CACHED, ListKind.FAILED)
STATES = {0: State.GONE, 1: State.READY, 2: State.DRAINING}
REPEAT_FLAG = 2
HEALTHY = 200  # The status of a successful health check.
MAX_REPORT_VALUES = 255
MAX_TIMER_US = 4_260_000_000
ALL_PEERS = 0xFFFF


class WireError(Exception):
    """An invalid frame in the input."""


def read_settings(text: bytes) -> Settings:
    """Parse the settings of a CREATE event.

    Raises:
        WireError: The text is not JSON.
        ValueError: A value is missing or impossible; the message names its key.
    """
    try:
        settings = json.loads(text)
    except (ValueError, RecursionError) as e:
        raise WireError(f"settings are not JSON: {e}") from None
    return parse_settings(settings)


class WireActions:
    """An implementation of `interface.Actions` that packs one instance's actions into the reply."""

    __slots__ = ("node", "reply")

    def __init__(self, reply: bytearray, node: int) -> None:
        self.reply = reply
        self.node = node

    def send(self, request: int, server: int, timeout: int) -> None:
        """Write a RELAY record, which starts the request's next attempt."""
        self.reply += RELAY.pack(65, self.node, request, server, min(max(timeout, 1), 0xFFFFFFFF))

    def cancel(self, request: int, attempt: int) -> None:
        """Write a WITHDRAW record, which stops an attempt."""
        self.reply += WITHDRAW.pack(68, self.node, request, attempt)

    def reject(self, request: int, retry_after: int) -> None:
        """Write a BOUNCE record, which rejects the request."""
        self.reply += BOUNCE.pack(66, self.node, request, min(max(retry_after, 0), 0xFFFFFFFF))

    def fail(self, request: int) -> None:
        """Write an END_FAILED record, which answers that the request failed."""
        self.reply += END_FAILED.pack(67, self.node, request)

    def check_health(self, server: int) -> None:
        """Write a PROBE record, which checks a server's health."""
        self.reply += PROBE.pack(70, self.node, server)

    def set_timer(self, delay: int, token: int) -> None:
        """Write a NOTIFY_ME record, which requests a timer."""
        self.reply += NOTIFY_ME.pack(69, self.node, min(max(delay, 0), MAX_TIMER_US), token)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Write a NOTIFY record, a message to another instance, or to all of them if `peer` is negative."""
        self.reply += NOTIFY.pack(72, self.node, ALL_PEERS if peer < 0 else peer, len(data)) + data

    def watch(self, on: bool) -> None:
        """Write a LISTEN record, which starts or ends the subscription to the server list."""
        self.reply += LISTEN.pack(75, self.node, on)

    def fetch(self) -> None:
        """Write a QUERY_ALL record, which polls the server list."""
        self.reply += QUERY_ALL.pack(76, self.node)

    def close(self, server: int) -> None:
        """Write a RELEASE record, which closes idle connections to a server."""
        self.reply += RELEASE.pack(71, self.node, server)

    def log(self, text: str) -> None:
        """Write a JOURNAL_LINE record, which logs a line."""
        data = text.encode()[:0xFFFF]
        self.reply += JOURNAL_LINE.pack(73, self.node, len(data)) + data

    def fault(self, text: str) -> None:
        """Write a BAIL_OUT record: the instance has failed and gets no more events."""
        data = text.encode()[:0xFFFF]
        self.reply += BAIL_OUT.pack(74, self.node, len(data)) + data


class Host:
    """The instances of one process, which share only the numbered server lists."""

    def __init__(self) -> None:
        self.reply = bytearray()
        self.nodes: dict[int, Balancer] = {}
        self.server_lists: dict[int, list[ServerEntry]] = {}

    def process_batch(self, count: int, body: bytes, now: int) -> bytes:
        """Handle one batch of `count` records and return the framed reply."""
        self.reply.clear()
        pos = 0
        for record in range(count):
            try:
                code = body[pos]
                handler = RECORD_HANDLERS[code]
            except IndexError:
                raise WireError(f"record {record}: batch ends early") from None
            except KeyError:
                raise WireError(f"record {record} at byte {pos}: unknown event code {body[pos]}") from None
            try:
                pos = handler(self, now, body, pos + 1)
            except struct.error:
                raise WireError(f"record {record} at byte {pos}: event {code} is cut short") from None
        if pos != len(body):
            raise WireError(f"{len(body) - pos} bytes after the last record")
        return LENGTH.pack(len(self.reply)) + self.reply

    def dispatch(self, node: int, event: str, *args: Any) -> None:
        """Call an instance's event method. An exception removes the instance and becomes a fault action."""
        balancer = self.nodes.get(node)
        if balancer is None:
            return
        try:
            getattr(balancer, event)(*args)
        except Exception as e:  # Any failure of the policy is reported as a fault.
            del self.nodes[node]
            WireActions(self.reply, node).fault(f"{event}: {type(e).__name__}: {e}")

    def handle_create(self, now: int, body: bytes, pos: int) -> int:
        """Handle CREATE: create an instance and start it."""
        node, seed, size = CREATE.unpack_from(body, pos)
        pos += CREATE.size
        text = take_bytes(body, pos, size)
        balancer = Balancer(read_settings(text), seed, WireActions(self.reply, node))
        self.nodes[node] = balancer
        self.dispatch(node, "start", now)
        return pos + int(size)

    def handle_directory(self, now: int, body: bytes, pos: int) -> int:
        """Handle DIRECTORY: store a numbered server list for later TARGETS events."""
        number, count = DIRECTORY.unpack_from(body, pos)
        pos += DIRECTORY.size
        raw = take_bytes(body, pos, count * ENTRY.size)
        self.server_lists[number] = [
            ServerEntry(server, STATES.get(state, State.DRAINING), cell, zone, kind, weight, ready_at)
            for server, cell, ready_at, zone, weight, state, kind in ENTRY.iter_unpack(raw)
        ]
        return pos + int(count) * ENTRY.size

    def handle_targets(self, now: int, body: bytes, pos: int) -> int:
        """Handle TARGETS: give an instance the server list with a number."""
        node, kind, _, number = TARGETS.unpack_from(body, pos)
        if kind >= len(LIST_KINDS):
            raise WireError(f"unknown list kind {kind}")
        list_kind = LIST_KINDS[kind]
        entries: list[ServerEntry] = []
        if list_kind != ListKind.FAILED:
            if number not in self.server_lists:
                raise WireError(f"list {number} was never sent")
            entries = self.server_lists[number]
        self.dispatch(node, "server_list", now, list_kind, entries)
        return pos + TARGETS.size

    def handle_accept(self, now: int, body: bytes, pos: int) -> int:
        """Handle ACCEPT: give an instance a request."""
        node, request, _, tenant, flags, remaining, _, request_class = ACCEPT.unpack_from(body, pos)
        self.dispatch(
            node, "request", now, request, request_class, tenant, remaining, bool(flags & REPEAT_FLAG)
        )
        return pos + ACCEPT.size

    def handle_client_left(self, now: int, body: bytes, pos: int) -> int:
        """Handle CLIENT_LEFT: tell an instance that a client has disconnected."""
        node, request = CLIENT_LEFT.unpack_from(body, pos)
        self.dispatch(node, "client_disconnected", now, request)
        return pos + CLIENT_LEFT.size

    def handle_check_result(self, now: int, body: bytes, pos: int) -> int:
        """Handle CHECK_RESULT: give an instance the result of a health check."""
        node, latency, status, server, count = CHECK_RESULT.unpack_from(body, pos)
        pos += CHECK_RESULT.size
        self.dispatch(
            node, "health_checked", now, server, status == HEALTHY, latency, unpack_floats(body, pos, count)
        )
        return pos + 4 * int(count)

    def handle_opened(self, now: int, body: bytes, pos: int) -> int:
        """Handle OPENED: tell an instance that a response has begun."""
        node, request, attempt, server, latency = OPENED.unpack_from(body, pos)
        self.dispatch(node, "response_started", now, request, attempt, server, latency)
        return pos + OPENED.size

    def handle_wake(self, now: int, body: bytes, pos: int) -> int:
        """Handle WAKE: tell an instance that a timer is due."""
        node, token = WAKE.unpack_from(body, pos)
        self.dispatch(node, "timer", now, token)
        return pos + WAKE.size

    def handle_shutdown(self, now: int, body: bytes, pos: int) -> int:
        """Handle SHUTDOWN: remove an instance."""
        (node,) = SHUTDOWN.unpack_from(body, pos)
        self.nodes.pop(node, None)
        return pos + SHUTDOWN.size

    def handle_peer_data(self, now: int, body: bytes, pos: int) -> int:
        """Handle PEER_DATA: give an instance a message from another one."""
        node, peer, size = PEER_DATA.unpack_from(body, pos)
        pos += PEER_DATA.size
        self.dispatch(node, "peer_message", now, peer, take_bytes(body, pos, size))
        return pos + int(size)

    def handle_verdict(self, now: int, body: bytes, pos: int) -> int:
        """Handle VERDICT: give an instance the outcome of an attempt."""
        node, request, attempt, latency, server, final, status, count = VERDICT.unpack_from(body, pos)
        pos += VERDICT.size
        self.dispatch(
            node,
            "outcome",
            now,
            request,
            attempt,
            server,
            OUTCOMES.get(status, Outcome.UNKNOWN),
            latency,
            bool(final),
            unpack_floats(body, pos, count) if count else (),
        )
        return pos + 4 * int(count)


# Handlers by event code. Each handles the record whose body begins at a position and returns the position
# after it.
RECORD_HANDLERS: dict[int, Callable[[Host, int, bytes, int], int]] = {
    1: Host.handle_directory,
    2: Host.handle_wake,
    3: Host.handle_accept,
    4: Host.handle_peer_data,
    5: Host.handle_check_result,
    6: Host.handle_create,
    7: Host.handle_targets,
    8: Host.handle_verdict,
    9: Host.handle_shutdown,
    10: Host.handle_opened,
    11: Host.handle_client_left,
}
FLOATS = [Struct(f"<{n}f") for n in range(MAX_REPORT_VALUES + 1)]


def take_bytes(body: bytes, pos: int, size: int) -> bytes:
    """Return the `size` bytes of a batch that begin at a position.

    Raises:
        struct.error: The record is cut short.
    """
    if pos + size > len(body):
        raise struct.error("cut short")
    return body[pos : pos + size]


def unpack_floats(body: bytes, pos: int, count: int) -> tuple[float, ...]:
    """Return the `count` little-endian floats of a report that begin at a position of a batch."""
    return FLOATS[count].unpack_from(body, pos)


def read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    """Read `size` bytes of `what`, the part of the input that errors name.

    Raises:
        WireError: The input ends before `size` bytes were read.
    """
    data = stream.read(size)
    if len(data) != size:
        raise WireError(f"{what}: input ends after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches of events, and write a reply to each, until the input ends.

    Raises:
        WireError: A frame cannot be read. The message names the frame.
        ValueError: Settings are missing or impossible.
    """
    host = Host()
    batch = 0
    while True:
        first = source.read(1)
        if not first:
            return
        where = f"batch {batch}"
        count, size, now = HEADER.unpack(first + read_exactly(source, HEADER.size - 1, where + " header"))
        if size < 8:
            raise WireError(f"{where} header: length {size} is too short")
        body = read_exactly(source, size - 8, where)
        try:
            reply = host.process_batch(count, body, now)
        except WireError as e:
            raise WireError(f"{where}: {e}") from None
        sink.write(reply)
        sink.flush()
        batch += 1


def main() -> int:
    """Run the adapter until its input ends, and return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as e:
        print(f"balancer: {e}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
