"""Messages of the heartbeat membership in `heartbeats.py`, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgspec


class HeartbeatKind(IntEnum):
    """Message kinds, on the virtual network alone."""

    BEAT = 112  # from a node to its control server
    CHANGES = 113  # the answer
    PEER = 114  # from one control server to another


Entry = tuple[str, int, int, bool]  # name, incarnation, number of heartbeats, alive


@dataclass(frozen=True)
class HeartbeatMessage:
    """A message of any kind.

    Attributes:
        kind: Which message it is.
        sender: Name of the node or control server.
        incarnation: Of a heartbeat: the node's incarnation.
        count: Of a heartbeat: the number of heartbeats in this incarnation.
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
        """Returns the body of a message."""
        numbers = (message.incarnation, message.count, message.acknowledged, message.last_change)
        return *numbers, message.entries

    def shorten(self, message: HeartbeatMessage) -> None:
        """Returns None: the senders limit the entries so that each message fits."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> HeartbeatMessage:
        """Returns the message of a received body."""
        incarnation, count, acknowledged, last_change, entries = self.decoder.decode(body)
        return HeartbeatMessage(
            HeartbeatKind(kind), sender, incarnation, count, acknowledged, seq, last_change, tuple(entries)
        )
