"""Membership's messages, before a codec makes datagrams of them.

A member of an earlier version counts and drops the kinds that it doesn't know; kinds 0 to 4 and their form
are the ones that every version reads.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from balancer.fleet.membership.claims import Address, Claim

MAX_DATAGRAM_BYTES = 1200
ENVELOPE_BYTES = 80  # at most, of a datagram beside its names and claims: header, tag, numbers, lengths


class Kind(IntEnum):
    """What a message is. Numbers from 16 on are other components'."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # ping `target` for me
    SYNC = 3  # some of what I know; answer with what you know
    SYNC_ACK = 4
    DIGEST = 5  # my view's digest; answer with yours
    DIGEST_ACK = 6
    PULL = 7  # send me a page of claims
    PAGE = 8
    ACCUSATIONS = 9  # who suspects whom


@dataclass(frozen=True)
class Message:
    """Kinds 0 to 4. `seq` pairs an ack with its ping; `target` is whom a PING_REQ is about."""

    kind: Kind
    sender: str
    seq: int = 0
    target: str = ""
    claims: tuple[Claim, ...] = ()


@dataclass(frozen=True)
class DigestMessage:
    """DIGEST and DIGEST_ACK: a number for each bucket of the sender's view, and its claim about itself. `seq`
    comes back; 0 where a DIGEST_ACK goes with the answer to a SYNC."""

    kind: Kind
    sender: str
    digest: tuple[int, ...]
    claims: tuple[Claim, ...] = ()
    seq: int = 0


@dataclass(frozen=True)
class Pull:
    """Asks for the claims in some buckets (a bit mask) that follow the member named; `seq` comes back."""

    sender: str
    seq: int
    buckets: int
    after: str = ""
    kind: Kind = Kind.PULL

    @property
    def claims(self) -> tuple[Claim, ...]:
        """It carries none."""
        return ()


@dataclass(frozen=True)
class Page:
    """The sender's claim about itself, then those asked for; `last`: none follow."""

    sender: str
    seq: int
    last: bool
    claims: tuple[Claim, ...]
    kind: Kind = Kind.PAGE


@dataclass(frozen=True)
class Accusation:
    """A suspicion, and the members whose own probes support it."""

    claim: Claim
    accusers: tuple[str, ...]


@dataclass(frozen=True)
class Accusations:
    """Goes beside a ping or an ack while suspicions are being passed on."""

    sender: str
    accusations: tuple[Accusation, ...]
    seq: int = 0
    kind: Kind = Kind.ACCUSATIONS

    @property
    def claims(self) -> tuple[Claim, ...]:
        """The suspicions alone."""
        return tuple(accusation.claim for accusation in self.accusations)


AnyMessage = Message | DigestMessage | Pull | Page | Accusations


@dataclass(frozen=True)
class OutgoingMessage:
    """A datagram to be sent."""

    to: Address
    message: AnyMessage


def claim_capacity(sender: str, names: str = "") -> int:
    """Bytes that a datagram has for claims, beside its sender and other names."""
    return MAX_DATAGRAM_BYTES - ENVELOPE_BYTES - len(sender.encode()) - len(names.encode())
