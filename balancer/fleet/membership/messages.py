"""Membership's messages, independent of their encoding.

A member of an earlier version counts and drops the kinds that it doesn't know; every version reads kinds 0 to
4, whose encoding is fixed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.membership.claims import Address, Claim

MAX_DATAGRAM_BYTES = 1200
MAX_ENVELOPE_BYTES = 80  # of a datagram without its names and claims: header, tag, numbers, lengths


class Kind(IntEnum):
    """Kinds of messages. Numbers from 16 on belong to other components."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # asks the receiver to ping `target`
    SYNC = 3  # asks for the receiver's view
    SYNC_ACK = 4
    DIGEST = 5  # the sender's digest; asks for the receiver's
    DIGEST_ACK = 6
    PULL = 7  # asks for a page of claims
    PAGE = 8
    ACCUSATIONS = 9  # suspicions with the members that support them


@dataclass(frozen=True)
class Message:
    """A message of kinds 0 to 4.

    Attributes:
        kind: PING, ACK, PING_REQ, SYNC or SYNC_ACK.
        sender: The sender's name.
        seq: Number that an ACK repeats from its PING.
        target: The member that a PING_REQ is about; empty in other kinds.
        claims: The sender's claim about itself, then those about others.
    """

    kind: Kind
    sender: str
    seq: int = 0
    target: str = ""
    claims: tuple[Claim, ...] = ()


@dataclass(frozen=True)
class DigestMessage:
    """A DIGEST or DIGEST_ACK.

    Attributes:
        kind: DIGEST or DIGEST_ACK.
        sender: The sender's name.
        digest: A number for each bucket of the sender's view.
        claims: The sender's claim about itself.
        seq: Number that a DIGEST_ACK repeats from its DIGEST; 0 if it accompanies the answer to a SYNC.
    """

    kind: Kind
    sender: str
    digest: tuple[int, ...]
    claims: tuple[Claim, ...] = ()
    seq: int = 0


@dataclass(frozen=True)
class Pull:
    """A request for a page of claims.

    Attributes:
        sender: The sender's name.
        seq: Number that the PAGE repeats.
        buckets: The buckets to take claims from, as a bit mask.
        after: The member that the page follows in the order of `View`; empty for the first page.
    """

    sender: str
    seq: int
    buckets: int
    after: str = ""
    kind: Kind = Kind.PULL

    @property
    def claims(self) -> tuple[Claim, ...]:
        """No claims."""
        return ()


@dataclass(frozen=True)
class Page:
    """A page of claims.

    Attributes:
        sender: The sender's name.
        seq: Number of the PULL that it answers.
        last: Whether no page follows.
        claims: The sender's claim about itself, then those requested.
    """

    sender: str
    seq: int
    last: bool
    claims: tuple[Claim, ...]
    kind: Kind = Kind.PAGE


@dataclass(frozen=True)
class Accusation:
    """A suspicion, with the members whose own probes support it."""

    claim: Claim
    accusers: tuple[str, ...]


@dataclass(frozen=True)
class Accusations:
    """Suspicions that are being disseminated; sent beside a ping or an ack."""

    sender: str
    accusations: tuple[Accusation, ...]
    seq: int = 0
    kind: Kind = Kind.ACCUSATIONS

    @property
    def claims(self) -> tuple[Claim, ...]:
        """The claims of the suspicions."""
        return tuple(accusation.claim for accusation in self.accusations)


AnyMessage = Message | DigestMessage | Pull | Page | Accusations


OutgoingMessage = AddressedMessage[Address, AnyMessage]


def claim_capacity(sender: str, names: str = "") -> int:
    """Returns the bytes that a datagram has for claims, beside its sender's and other names."""
    return MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES - len(sender.encode()) - len(names.encode())
