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
from balancer.fleet.membership.replay_guard import Received, ReplayGuard

SEQ_BITS = 60  # of the unpredictable initial number; the wire form has 62


# Keys of the page's counters that operators read under the name which a kind had before.
FORMER_PAGE_KEYS = {"REQUEST": "ask", "AVAILABLE": "free", "RECALL_ANSWER": "memory", "DIRECTIVES": "orders"}


def page_key(kind: IntEnum) -> str:
    """Returns the key under which the page counts messages of a kind."""
    return FORMER_PAGE_KEYS.get(kind.name, kind.name.lower())


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Encodes and sends messages; receives and decodes datagrams, rejects replays, and counts both.

    It knows no component and makes no decision.
    """

    codec: Codec  # set by `use_codec`
    guard: ReplayGuard

    def __init__(self, clocks: Clocks) -> None:
        self.clocks = clocks
        self.transport: asyncio.DatagramTransport | None = None
        self.sent: Counter[str] = Counter()  # by message kind
        self.received: Counter[str] = Counter()  # by message kind
        self.events: Counter[str] = Counter()
        self.bytes_out = 0
        self.bytes_in = 0

    def use_codec(self, codec: Codec, name: str) -> None:
        """Sets the codec; to be called once, when all message kinds are known.

        Args:
            codec: The codec for all messages.
            name: This process's name, in its own messages.
        """
        self.codec = codec
        self.guard = ReplayGuard(name, unpredictable_seq(), codec.dropped)

    def now(self) -> int:
        """Returns the monotonic clock in microseconds."""
        return self.clocks.now()

    def wall(self) -> int:
        """Returns Unix time in microseconds, which may step."""
        return self.clocks.wall()

    def stamp(self) -> int:
        """Returns the stamp of datagrams in microseconds; it doesn't step while the process runs."""
        return self.clocks.stamp()

    @property
    def is_open(self) -> bool:
        """Whether there is an open socket."""
        return self.transport is not None

    def close_socket(self) -> None:
        """Closes the socket, if there is one."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def transmit(self, message: WireMessage, to: Address) -> None:
        """Sends a message in one datagram; does nothing without a socket."""
        if self.transport is None:
            return
        data = self.codec.encode(message, self.stamp())
        if message.kind == Kind.PING:
            self.guard.ping_sent(self.now(), message.seq)
        try:
            self.transport.sendto(data, to)
        except (OSError, ValueError):  # the address is invalid: a fault of its member alone
            self.events["unsendable"] += 1
            return
        self.sent[page_key(message.kind)] += 1
        self.bytes_out += len(data)

    def admitted(self, data: bytes, source: Address) -> Sequence[Received]:
        """Takes in a datagram and returns those that may be processed now.

        That is the datagram itself, or the ones that were buffered until their sender proved that it is live.
        The codec's `dropped` counts the rejected ones.
        """
        self.bytes_in += len(data)
        stamped = self.codec.read(data)
        if stamped is None:
            return ()
        received = Received(source, stamped.stamp, stamped.message, len(data))
        admission = self.guard.admit(self.now(), received)
        if admission.reply is not None:
            self.transmit(admission.reply, source)
        for accepted in admission.accepted:
            self.received[page_key(accepted.message.kind)] += 1
        return admission.accepted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, as asyncio's protocol has it."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Counts an unreachable peer; membership detects the failure by missing acks."""
        self.events["unreachable"] += 1

    def counters(self) -> dict[str, Any]:
        """Returns the counters for the operators' page."""
        return {
            "sent": dict(self.sent),
            "received": dict(self.received),
            "refused": dict(self.codec.dropped),
            "events": dict(self.events),
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
        }


def unpredictable_seq() -> int:
    """Returns a random initial number, unpredictable and far from those of earlier processes."""
    return secrets.randbits(SEQ_BITS)
