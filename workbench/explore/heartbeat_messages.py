"""Messages of the heartbeat membership in `heartbeats.py`, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgspec


class HeartbeatKind(IntEnum):
    """Message kinds, used on the virtual network only.

    Attributes:
        BEAT: A heartbeat, from a node to its control server.
        CHANGES: The answer to a heartbeat, with the changed nodes.
        PEER: Changes, from one control server to another.
    """

    BEAT = 112
    CHANGES = 113
    PEER = 114


# Name of a node, its incarnation, its number of heartbeats, and whether it is alive.
Entry = tuple[str, int, int, bool]


@dataclass(frozen=True)
class HeartbeatMessage:
    """A message of any kind.

    Attributes:
        kind: Kind of the message.
        sender: Name of the node or control server.
        incarnation: The node's incarnation, in a heartbeat.
        count: The number of heartbeats in this incarnation, in a heartbeat.
        acknowledged: The number of the last change that the sender has received.
        seq: Sequence number; an answer carries the count of its heartbeat.
        last_change: The number of the last change in this message.
        entries: The changed nodes.
    """

    kind: HeartbeatKind
    sender: str
    incarnation: int
    count: int
    acknowledged: int
    seq: int = 0
    last_change: int = 0
    entries: tuple[Entry, ...] = ()


class HeartbeatWire:
    """Encoder and decoder of the message bodies."""

    kinds = frozenset(int(kind) for kind in HeartbeatKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(tuple[int, int, int, int, list[Entry]])

    def pack(self, message: HeartbeatMessage) -> Any:
        """Return the body of a message."""
        numbers = (message.incarnation, message.count, message.acknowledged, message.last_change)
        return *numbers, message.entries

    def shorten(self, message: HeartbeatMessage) -> None:
        """Return None, as messages always fit: their senders limit the number of entries."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> HeartbeatMessage:
        """Return the message of a received body."""
        incarnation, count, acknowledged, last_change, entries = self.decoder.decode(body)
        return HeartbeatMessage(
            HeartbeatKind(kind), sender, incarnation, count, acknowledged, seq, last_change, tuple(entries)
        )
