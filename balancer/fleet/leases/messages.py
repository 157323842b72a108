"""Messages between lease clients and voters, and their form on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec

from balancer.fleet.addressed_message import AddressedMessage

MAX_LEASE_NAME_LENGTH = 64
WIRE_INTEGER_LIMIT = 1 << 62  # integers in messages are below this


class LeaseKind(IntEnum):
    """What a message is. The numbers are apart from those of other components."""

    REQUEST = 16  # to a voter: grant this lease under this token
    GRANT = 17
    DENY = 18
    RELEASE = 19  # to a voter: the lease is not held any more, or not under this token
    AVAILABLE = 20  # to clients that were denied: request again
    RECALL = 21  # a restarted voter asks the other voters for the highest token
    RECALL_ANSWER = 22


class DenialReason(IntEnum):
    """Why a voter denies a request."""

    NONE = 0
    HELD = 1
    OLD = 2  # the token is not higher than one granted or released before
    ABSTAINS = 3
    ELECTORATE = 4  # the voter does not vote in that list
    FULL = 5
    LENGTH = 6  # longer than the voter grants


@dataclass(frozen=True)
class LeaseMessage:
    """A message of one kind; fields that a kind does not use are 0 or empty.

    Attributes:
        kind: What the message is.
        sender: Name of the process that sent it.
        incarnation: Distinguishes one process of a name from the next.
        lease: Name of the lease.
        seq: Pairs an answer with its request.
        token: Of the lease; in a denial the highest token that the voter knows.
        electorate: Digest of the list of voters that the request is made in.
        duration: In microseconds: of the requested lease; in a denial until the sender may come again.
        reason: Of a denial.
    """

    kind: LeaseKind
    sender: str
    incarnation: int
    lease: str = ""
    seq: int = 0
    token: int = 0
    electorate: int = 0
    duration: int = 0
    reason: DenialReason = DenialReason.NONE


OutgoingLeaseMessage = AddressedMessage[str, LeaseMessage]  # to the name of a process

Body = tuple[int, str, int, int, int, int]


class LeaseWire:
    """Encodes lease messages to the body of a datagram, and back."""

    kinds = frozenset(int(kind) for kind in LeaseKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, message: LeaseMessage) -> Body:
        """The body of a message; kind, sender and seq go with the envelope."""
        return (
            message.incarnation,
            message.lease,
            message.token,
            message.electorate,
            message.duration,
            int(message.reason),
        )

    def shorter(self, message: LeaseMessage) -> None:
        """Names are short, so a message always fits a datagram."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> LeaseMessage:
        """The message of a received body.

        Raises:
            ValueError: A field has an impossible value.
            msgspec.DecodeError: The body has another form.
        """
        incarnation, lease, token, electorate, duration, reason = self.decoder.decode(body)
        integers = (incarnation, token, electorate, duration)
        if len(lease) > MAX_LEASE_NAME_LENGTH or not all(0 <= x < WIRE_INTEGER_LIMIT for x in integers):
            raise ValueError("a lease message with an impossible field")
        return LeaseMessage(
            LeaseKind(kind),
            sender,
            incarnation,
            lease,
            seq,
            token,
            electorate,
            duration,
            known_reason(reason),
        )


def known_reason(value: int) -> DenialReason:
    """The reason of a denial; one that only a later version knows is a denial all the same."""
    try:
        return DenialReason(value)
    except ValueError:
        return DenialReason.FULL
