"""Authenticated messages over one UDP socket, counted. It knows no component and decides nothing."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Sequence
from typing import Any, cast

from balancer.fleet.clocks import Clocks
from balancer.fleet.component import WireMessage
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.messages import Kind
from balancer.fleet.membership.replay_guard import Received, ReplayGuard
from balancer.fleet.membership.swim import Address

SEQ_BITS = 60  # of a number that nobody foresees; the wire form has 62


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Encodes and sends, receives, decodes and refuses replays."""

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
        """Called by the owner once all message kinds are known. `name`: this process's, in its messages."""
        self.codec = codec
        self.guard = ReplayGuard(name, unpredictable_seq(), codec.dropped)

    def now(self) -> int:
        """Microseconds of the monotonic clock."""
        return self.clocks.now()

    def wall(self) -> int:
        """Microseconds of Unix time, which may step."""
        return self.clocks.wall()

    def stamp(self) -> int:
        """What datagrams are stamped with: it does not step within a life."""
        return self.clocks.stamp()

    @property
    def is_open(self) -> bool:
        """Whether there is a socket."""
        return self.transport is not None

    def close_socket(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def transmit(self, message: WireMessage, to: Address) -> None:
        """Sends one datagram, if there is a socket."""
        if self.transport is None:
            return
        data = self.codec.encode(message, self.stamp())
        if message.kind == Kind.PING:
            self.guard.ping_sent(self.now(), message.seq)
        try:
            self.transport.sendto(data, to)
        except (OSError, ValueError):  # an address that cannot be sent to is its member's fault alone
            self.events["unsendable"] += 1
            return
        self.sent[message.kind.name.lower()] += 1
        self.bytes_out += len(data)

    def admitted(self, data: bytes, source: Address) -> Sequence[Received]:
        """The datagrams that may be acted upon now that this one has come: itself, or those that were held
        until their sender had proven that it is live. What is refused is counted by the codec."""
        self.bytes_in += len(data)
        found = self.codec.read(data)
        if found is None:
            return ()
        stamp, message = found
        admission = self.guard.admit(self.now(), Received(source, stamp, message, len(data)))
        if admission.answer is not None:
            self.transmit(admission.answer, source)
        for received in admission.accepted:
            self.received[received.message.kind.name.lower()] += 1
        return admission.accepted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed, or the network is: membership learns of it by silence."""
        self.events["unreachable"] += 1

    def counters(self) -> dict[str, Any]:
        """For the operators' page."""
        return {
            "sent": dict(self.sent),
            "received": dict(self.received),
            "refused": dict(self.codec.dropped),
            "events": dict(self.events),
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
        }


def unpredictable_seq() -> int:
    """Where a count of numbers begins that no earlier life has come near and nobody foresees."""
    return secrets.randbits(SEQ_BITS)
