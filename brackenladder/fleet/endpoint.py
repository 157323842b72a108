"""Authenticated messages over one UDP socket, counted. It knows no component and decides nothing."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, cast

from brackenladder.fleet.clocks import Clocks
from brackenladder.fleet.component import WireMessage
from brackenladder.fleet.membership.codec import Codec
from brackenladder.fleet.membership.swim import Address


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Encodes and sends, receives and decodes."""

    codec: Codec  # set by the owner, once all message kinds are known

    def __init__(self, clocks: Clocks) -> None:
        self.clocks = clocks
        self.transport: asyncio.DatagramTransport | None = None
        self.sent: Counter[str] = Counter()  # by message kind
        self.received: Counter[str] = Counter()  # by message kind
        self.events: Counter[str] = Counter()
        self.bytes_out = 0
        self.bytes_in = 0

    def now(self) -> int:
        """Microseconds of the monotonic clock."""
        return self.clocks.now()

    def wall(self) -> int:
        """Microseconds of Unix time: what datagrams are stamped with."""
        return self.clocks.wall()

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
        data = self.codec.encode(message, self.wall())
        try:
            self.transport.sendto(data, to)
        except (OSError, ValueError):  # an address that cannot be sent to is its member's fault alone
            self.events["unsendable"] += 1
            return
        self.sent[message.kind.name.lower()] += 1
        self.bytes_out += len(data)

    def decoded(self, data: bytes) -> Any | None:
        """The message in a datagram; None if it was refused, which the codec counts."""
        self.bytes_in += len(data)
        message = self.codec.decode(data, self.wall())
        if message is not None:
            self.received[message.kind.name.lower()] += 1
        return message

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
