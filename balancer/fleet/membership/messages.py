"""The messages of the membership protocol, independent of their encoding.

Every version reads kinds 0 to 4, whose encoding is fixed. A member of an earlier version counts and drops
messages of kinds that it doesn't know.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.membership.claims import Address, Claim

MAX_DATAGRAM_BYTES = 1200
# The parts of a datagram other than names and claims: header, tag, numbers and lengths.
MAX_ENVELOPE_BYTES = 80


class Kind(IntEnum):
    """Kinds of messages.

    PING_REQ asks the receiver to ping `target`. SYNC asks for the receiver's view. DIGEST contains the digest
    of the sender's view and asks for that of the receiver's view. PULL asks for a page of claims. ACCUSATIONS
    contains suspicions with the members that support them. Numbers from 16 on are those of other components.
    """

    PING = 0
    ACK = 1
    PING_REQ = 2
    SYNC = 3
    SYNC_ACK = 4
    DIGEST = 5
    DIGEST_ACK = 6
    PULL = 7
    PAGE = 8
    ACCUSATIONS = 9


@dataclass(frozen=True)
class Message:
    """A message of one of the kinds 0 to 4.

    Attributes:
        kind: PING, ACK, PING_REQ, SYNC or SYNC_ACK.
        sender: The sender's name.
        seq: Sequence number that an ACK repeats from its PING.
        target: Name of the member that a PING_REQ asks to ping; empty in other kinds.
        claims: The sender's claim about itself, followed by claims about others.
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
        digest: The digests of the sender's view, one for each bucket, a group of members by hash of their
            names.
        claims: The sender's claim about itself.
        seq: Sequence number that a DIGEST_ACK repeats from its DIGEST; 0 in a DIGEST_ACK that is sent along
            with the answer to a SYNC.
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
        seq: Sequence number that the PAGE repeats.
        buckets: The buckets to take claims from, as a bit mask.
        start_after: Name of the member after which the page starts in the order of `View`; empty for the
            first page.
    """

    sender: str
    seq: int
    buckets: int
    start_after: str = ""
    kind: Kind = Kind.PULL

    @property
    def claims(self) -> tuple[Claim, ...]:
        """An empty tuple, because a PULL has no claims."""
        return ()


@dataclass(frozen=True)
class Page:
    """A page of claims about members, which answers a PULL.

    Attributes:
        sender: The sender's name.
        seq: Sequence number of the PULL that it answers.
        is_last: Whether no page follows.
        claims: The sender's claim about itself, followed by the requested claims.
    """

    sender: str
    seq: int
    is_last: bool
    claims: tuple[Claim, ...]
    kind: Kind = Kind.PAGE


@dataclass(frozen=True)
class Accusation:
    """A suspicion, with the members whose own probes have failed too."""

    claim: Claim
    accusers: tuple[str, ...]


@dataclass(frozen=True)
class Accusations:
    """Suspicions that are being disseminated; the message is sent along with a ping or an ack."""

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
    """Return the number of bytes available in a datagram for claims, besides its sender and other names."""
    return MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES - len(sender.encode()) - len(names.encode())
