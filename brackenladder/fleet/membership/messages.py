"""Membership's messages, before a codec makes datagrams of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from brackenladder.fleet.membership.claims import Address, Claim


class Kind(IntEnum):
    """What a message is."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # ping `target` for me
    SYNC = 3  # all that I know; answer with all that you know
    SYNC_ACK = 4


@dataclass(frozen=True)
class Message:
    """What goes into one datagram. `seq` pairs an ack with its ping; `target` is whom a PING_REQ is about."""

    kind: Kind
    sender: str
    seq: int = 0
    target: str = ""
    claims: tuple[Claim, ...] = ()


@dataclass(frozen=True)
class Send:
    """A datagram to be sent."""

    to: Address
    message: Message
