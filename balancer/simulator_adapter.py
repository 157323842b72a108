"""Serves the policy in the simulator's wire format on standard input and output; decides nothing itself.

A frame that cannot be read ends the process with status 2 and one line on standard error.
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
HEALTHY = 200  # the status of a health check that succeeded
MAX_REPORT_VALUES = 255
MAX_TIMER_US = 4_260_000_000
ALL_PEERS = 0xFFFF


class WireError(Exception):
    """Input that is not a valid frame."""


def read_settings(text: bytes) -> Settings:
    """Reads the settings of a CREATE event.

    Raises:
        WireError: The text is not JSON.
        ValueError: A value is missing or impossible; the message names its key.
    """
    try:
        env = json.loads(text)
    except (ValueError, RecursionError) as e:
        raise WireError(f"settings are not JSON: {e}") from None
    return parse_settings(env)


class WireActions:
    """One instance's actions, packed into the process's reply; implements `interface.Actions`."""

    __slots__ = ("node", "reply")

    def __init__(self, reply: bytearray, node: int) -> None:
        self.reply = reply
        self.node = node

    def send(self, request: int, server: int, timeout: int) -> None:
        """Writes RELAY."""
        self.reply += RELAY.pack(65, self.node, request, server, min(max(timeout, 1), 0xFFFFFFFF))

    def cancel(self, request: int, attempt: int) -> None:
        """Writes WITHDRAW."""
        self.reply += WITHDRAW.pack(68, self.node, request, attempt)

    def reject(self, request: int, retry_after: int) -> None:
        """Writes BOUNCE."""
        self.reply += BOUNCE.pack(66, self.node, request, min(max(retry_after, 0), 0xFFFFFFFF))

    def fail(self, request: int) -> None:
        """Writes END_FAILED."""
        self.reply += END_FAILED.pack(67, self.node, request)

    def check_health(self, server: int) -> None:
        """Writes PROBE."""
        self.reply += PROBE.pack(70, self.node, server)

    def set_timer(self, delay: int, token: int) -> None:
        """Writes NOTIFY_ME."""
        self.reply += NOTIFY_ME.pack(69, self.node, min(max(delay, 0), MAX_TIMER_US), token)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Writes NOTIFY; to all peers where `peer` is negative."""
        self.reply += NOTIFY.pack(72, self.node, ALL_PEERS if peer < 0 else peer, len(data)) + data

    def watch(self, on: bool) -> None:
        """Writes LISTEN."""
        self.reply += LISTEN.pack(75, self.node, on)

    def fetch(self) -> None:
        """Writes QUERY_ALL."""
        self.reply += QUERY_ALL.pack(76, self.node)

    def close(self, server: int) -> None:
        """Writes RELEASE."""
        self.reply += RELEASE.pack(71, self.node, server)

    def log(self, text: str) -> None:
        """Writes JOURNAL_LINE."""
        data = text.encode()[:0xFFFF]
        self.reply += JOURNAL_LINE.pack(73, self.node, len(data)) + data

    def fault(self, text: str) -> None:
        """Writes BAIL_OUT: the instance has failed, and gets no more events."""
        data = text.encode()[:0xFFFF]
        self.reply += BAIL_OUT.pack(74, self.node, len(data)) + data


class Host:
    """The instances of one process. They share nothing but the numbered server lists."""

    def __init__(self) -> None:
        self.reply = bytearray()
        self.nodes: dict[int, Balancer] = {}
        self.server_lists: dict[int, list[ServerEntry]] = {}

    def batch(self, count: int, body: bytes, now: int) -> bytes:
        """Handles one batch of `count` records and returns the framed reply."""
        self.reply.clear()
        pos = 0
        for record in range(count):
            try:
                code = body[pos]
                reader = READERS[code]
            except IndexError:
                raise WireError(f"record {record}: batch ends early") from None
            except KeyError:
                raise WireError(f"record {record} at byte {pos}: unknown event code {body[pos]}") from None
            try:
                pos = reader(self, now, body, pos + 1)
            except struct.error:
                raise WireError(f"record {record} at byte {pos}: event {code} is cut short") from None
        if pos != len(body):
            raise WireError(f"{len(body) - pos} bytes after the last record")
        return LENGTH.pack(len(self.reply)) + self.reply

    def dispatch(self, node: int, event: str, *args: Any) -> None:
        """Calls an instance's event; an exception there ends the instance and becomes a fault action."""
        balancer = self.nodes.get(node)
        if balancer is None:
            return
        try:
            getattr(balancer, event)(*args)
        except Exception as e:  # any failure of the policy is to be reported, whatever it is
            del self.nodes[node]
            WireActions(self.reply, node).fault(f"{event}: {type(e).__name__}: {e}")

    def create(self, now: int, body: bytes, pos: int) -> int:
        """CREATE: a new instance, which starts at once."""
        node, seed, size = CREATE.unpack_from(body, pos)
        pos += CREATE.size
        text = take(body, pos, size)
        balancer = Balancer(read_settings(text), seed, WireActions(self.reply, node))
        self.nodes[node] = balancer
        self.dispatch(node, "start", now)
        return pos + int(size)

    def directory(self, now: int, body: bytes, pos: int) -> int:
        """DIRECTORY: a numbered server list, for the TARGETS that follow."""
        number, count = DIRECTORY.unpack_from(body, pos)
        pos += DIRECTORY.size
        raw = take(body, pos, count * ENTRY.size)
        self.server_lists[number] = [
            ServerEntry(server, STATES.get(state, State.DRAINING), cell, zone, kind, weight, ready_at)
            for server, cell, ready_at, zone, weight, state, kind in ENTRY.iter_unpack(raw)
        ]
        return pos + int(count) * ENTRY.size

    def targets(self, now: int, body: bytes, pos: int) -> int:
        """TARGETS: an instance gets the server list of this number."""
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

    def accept(self, now: int, body: bytes, pos: int) -> int:
        """ACCEPT: a request."""
        node, request, _, tenant, flags, remaining, _, request_class = ACCEPT.unpack_from(body, pos)
        self.dispatch(
            node, "request", now, request, request_class, tenant, remaining, bool(flags & REPEAT_FLAG)
        )
        return pos + ACCEPT.size

    def client_left(self, now: int, body: bytes, pos: int) -> int:
        """CLIENT_LEFT: a client has disconnected."""
        node, request = CLIENT_LEFT.unpack_from(body, pos)
        self.dispatch(node, "client_disconnected", now, request)
        return pos + CLIENT_LEFT.size

    def check_result(self, now: int, body: bytes, pos: int) -> int:
        """CHECK_RESULT: a health check has ended."""
        node, latency, status, server, count = CHECK_RESULT.unpack_from(body, pos)
        pos += CHECK_RESULT.size
        self.dispatch(
            node, "health_checked", now, server, status == HEALTHY, latency, floats(body, pos, count)
        )
        return pos + 4 * int(count)

    def opened(self, now: int, body: bytes, pos: int) -> int:
        """OPENED: a response has begun."""
        node, request, attempt, server, latency = OPENED.unpack_from(body, pos)
        self.dispatch(node, "response_started", now, request, attempt, server, latency)
        return pos + OPENED.size

    def wake(self, now: int, body: bytes, pos: int) -> int:
        """WAKE: a timer is due."""
        node, token = WAKE.unpack_from(body, pos)
        self.dispatch(node, "timer", now, token)
        return pos + WAKE.size

    def shutdown(self, now: int, body: bytes, pos: int) -> int:
        """SHUTDOWN: an instance ends."""
        (node,) = SHUTDOWN.unpack_from(body, pos)
        self.nodes.pop(node, None)
        return pos + SHUTDOWN.size

    def peer_data(self, now: int, body: bytes, pos: int) -> int:
        """PEER_DATA: a message from another instance."""
        node, peer, size = PEER_DATA.unpack_from(body, pos)
        pos += PEER_DATA.size
        self.dispatch(node, "peer_message", now, peer, take(body, pos, size))
        return pos + int(size)

    def verdict(self, now: int, body: bytes, pos: int) -> int:
        """VERDICT: an attempt has ended."""
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
            floats(body, pos, count) if count else (),
        )
        return pos + 4 * int(count)


# Each handles one record, whose body begins at a position, and returns the position after it.
READERS: dict[int, Callable[[Host, int, bytes, int], int]] = {
    1: Host.directory,
    2: Host.wake,
    3: Host.accept,
    4: Host.peer_data,
    5: Host.check_result,
    6: Host.create,
    7: Host.targets,
    8: Host.verdict,
    9: Host.shutdown,
    10: Host.opened,
    11: Host.client_left,
}
FLOATS = [Struct(f"<{n}f") for n in range(MAX_REPORT_VALUES + 1)]


def take(body: bytes, pos: int, size: int) -> bytes:
    """Returns `size` bytes of a record; struct.error where it is cut short."""
    if pos + size > len(body):
        raise struct.error("cut short")
    return body[pos : pos + size]


def floats(body: bytes, pos: int, count: int) -> tuple[float, ...]:
    """Returns `count` little-endian floats."""
    return FLOATS[count].unpack_from(body, pos)


def read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    """Reads `size` bytes of `what`; WireError where the input ends before."""
    data = stream.read(size)
    if len(data) != size:
        raise WireError(f"{what}: input ends after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Replies to batches until the input ends.

    Raises:
        WireError: A frame cannot be read; the message says which.
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
            reply = host.batch(count, body, now)
        except WireError as e:
            raise WireError(f"{where}: {e}") from None
        sink.write(reply)
        sink.flush()
        batch += 1


def main() -> int:
    """Runs the adapter until its input ends, and returns the exit status."""
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
