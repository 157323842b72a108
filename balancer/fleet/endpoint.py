"""Sending and receiving authenticated messages over one UDP socket."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Sequence
from enum import IntEnum
from typing import Any, cast

from balancer.fleet.clocks import Clocks
from balancer.fleet.component import WireMessage
from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.messages import Kind
from balancer.fleet.membership.replay_guard import ReceivedDatagram, ReplayGuard

# Sequence numbers have 62 bits on the wire. A process starts with a random number of only 60 bits, so that
# the numbers that follow it don't overflow.
INITIAL_SEQ_BITS = 60

# Keys of message counters on the page `GET /fleet` that differ from the name of the message kind. Operators'
# scripts read these keys.
COUNTER_KEY_OVERRIDES = {
    "REQUEST": "ask",
    "AVAILABLE": "free",
    "RECALL_ANSWER": "memory",
    "DIRECTIVES": "orders",
}


def counter_key(kind: IntEnum) -> str:
    """Return the key under which the page `GET /fleet` counts messages of a kind."""
    return COUNTER_KEY_OVERRIDES.get(kind.name, kind.name.lower())


class DatagramEndpoint(asyncio.DatagramProtocol):
    """A UDP socket that sends and receives authenticated messages, rejects replays and counts traffic.

    A replay is a datagram that was recorded and sent again. The endpoint has no reference to a component of
    the fleet and makes no decision.

    Attributes:
        codec: Encodes and decodes messages; set by `set_codec`.
        guard: Rejects replayed datagrams; set by `set_codec`.
        sent: Messages sent, by the counter key of their kind.
        received: Messages accepted, by the counter key of their kind.
        events: Counts of events such as `unsendable` and `unreachable`, by name.
    """

    codec: Codec
    guard: ReplayGuard

    def __init__(self, clocks: Clocks) -> None:
        self.clocks = clocks
        self.transport: asyncio.DatagramTransport | None = None
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.bytes_out = 0
        self.bytes_in = 0

    def set_codec(self, codec: Codec, name: str) -> None:
        """Set the codec and create the guard against replays.

        It must be called once, when the message kinds of all components are known.

        Args:
            codec: The codec for all messages.
            name: This process's name, which its messages carry as their sender.
        """
        self.codec = codec
        self.guard = ReplayGuard(name, random_initial_seq(), codec.dropped)

    def now(self) -> int:
        """Return the monotonic clock in microseconds."""
        return self.clocks.now()

    def wall(self) -> int:
        """Return Unix time in microseconds, which steps when the system clock is set."""
        return self.clocks.wall()

    def stamp(self) -> int:
        """Return the time in microseconds that each sent datagram carries; it never steps."""
        return self.clocks.stamp()

    @property
    def is_open(self) -> bool:
        """Whether the socket is open."""
        return self.transport is not None

    def close_socket(self) -> None:
        """Close the socket, if it is open."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def transmit(self, message: WireMessage, to: Address) -> None:
        """Send a message in one datagram; do nothing if the socket is closed."""
        if self.transport is None:
            return
        data = self.codec.encode(message, self.stamp())
        if message.kind == Kind.PING:
            self.guard.record_ping(self.now(), message.seq)
        try:
            self.transport.sendto(data, to)
        except (OSError, ValueError):
            # An invalid address affects only the member that advertises it.
            self.events["unsendable"] += 1
            return
        self.sent[counter_key(message.kind)] += 1
        self.bytes_out += len(data)

    def admit(self, data: bytes, source: Address) -> Sequence[ReceivedDatagram]:
        """Check a received datagram and return the datagrams that may be processed now.

        These are the datagram itself, or earlier ones that were buffered until their sender proved that it is
        live and not a replay. The counter `dropped` of the codec counts rejected datagrams.
        """
        self.bytes_in += len(data)
        stamped = self.codec.read(data)
        if stamped is None:
            return ()
        received = ReceivedDatagram(source, stamped.stamp, stamped.message, len(data))
        admission = self.guard.admit(self.now(), received)
        if admission.reply is not None:
            self.transmit(admission.reply, source)
        for accepted in admission.accepted:
            self.received[counter_key(accepted.message.kind)] += 1
        return admission.accepted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio when the socket is open."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Count a failed send: the receiver is unreachable.

        Membership itself notices an unreachable member by its missing acknowledgments.
        """
        self.events["unreachable"] += 1

    def counters(self) -> dict[str, Any]:
        """Return the counters of messages, bytes and events for the page `GET /fleet`."""
        return {
            "sent": dict(self.sent),
            "received": dict(self.received),
            "refused": dict(self.codec.dropped),
            "events": dict(self.events),
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
        }


def random_initial_seq() -> int:
    """Return a random initial sequence number.

    The number is unpredictable, and unlikely to be near the sequence numbers of earlier processes of the same
    member.
    """
    return secrets.randbits(INITIAL_SEQ_BITS)
