"""Messages between lease clients and voters, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec

from balancer.fleet.addressed_message import AddressedMessage

MAX_LEASE_NAME_LENGTH = 64
WIRE_INTEGER_LIMIT = 1 << 62  # Exclusive upper bound of integers in messages.


class LeaseKind(IntEnum):
    """Kinds of lease messages, with numbers that no other component of the fleet uses for its messages."""

    REQUEST = 16  # To a voter: the sender requests this lease under this token.
    GRANT = 17  # To a client: the voter grants the lease.
    DENY = 18  # To a client: the voter denies the lease, for a `DenialReason`.
    RELEASE = 19  # To a voter: the sender no longer holds the lease under this token.
    AVAILABLE = 20  # To a denied client: the lease has been released and may be requested again.
    RECALL = 21  # To a voter: a restarted voter asks for the highest token.
    RECALL_ANSWER = 22  # To a restarted voter: the highest token that the sender knows.


class DenialReason(IntEnum):
    """Why a voter denies a request."""

    NONE = 0
    HELD = 1  # Another process holds the lease.
    OLD = 2  # The token is not higher than one that was granted or released before.
    ABSTAINS = 3  # The voter has started recently, or cannot store the token on its disk.
    ELECTORATE = 4  # The voter is not a member of the request's electorate.
    FULL = 5  # The voter tracks as many leases as it can.
    LENGTH = 6  # The requested duration is longer than the voter grants.


@dataclass(frozen=True)
class LeaseMessage:
    """A message between a lease client and a voter; fields that its kind does not use are 0 or empty.

    Attributes:
        kind: Kind of the message.
        sender: Name of the process that sent the message.
        incarnation: Incarnation of the sender, which distinguishes successive processes of one name.
        lease: Name of the lease.
        seq: Sequence number that matches an answer to its request.
        token: Token of the lease, a number that is higher for each new holder; in a denial, the highest token
            that the voter knows.
        electorate: Digest of the electorate, the list of voters, in which the request is made.
        duration: Duration of the requested lease in microseconds; in a denial, the time until the receiver
            may request the lease again.
        reason: Reason of a denial.
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


# A lease message to send; its address is the name of the receiving process.
OutgoingLeaseMessage = AddressedMessage[str, LeaseMessage]

Body = tuple[int, str, int, int, int, int]


class LeaseWire:
    """Encoder and decoder of the bodies of lease messages."""

    kinds = frozenset(int(kind) for kind in LeaseKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, message: LeaseMessage) -> Body:
        """Return the body of a message; the envelope contains its kind, sender and sequence number."""
        return (
            message.incarnation,
            message.lease,
            message.token,
            message.electorate,
            message.duration,
            int(message.reason),
        )

    def shorten(self, message: LeaseMessage) -> None:
        """Return None: names of leases are short, so every lease message fits into a datagram."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> LeaseMessage:
        """Decode the body of a received message.

        Raises:
            ValueError: The lease's name is too long or an integer is out of range.
            msgspec.DecodeError: The body does not have the structure of a lease message.
        """
        incarnation, lease, token, electorate, duration, reason = self.decoder.decode(body)
        integers = (incarnation, token, electorate, duration)
        if len(lease) > MAX_LEASE_NAME_LENGTH or not all(0 <= x < WIRE_INTEGER_LIMIT for x in integers):
            raise ValueError(
                f"a lease name of {len(lease)} characters or an integer in {integers} is out of range"
            )
        return LeaseMessage(
            LeaseKind(kind),
            sender,
            incarnation,
            lease,
            seq,
            token,
            electorate,
            duration,
            parse_denial_reason(reason),
        )


def parse_denial_reason(value: int) -> DenialReason:
    """Return the reason of a denial, and `FULL` for a reason that only a later version defines."""
    try:
        return DenialReason(value)
    except ValueError:
        return DenialReason.FULL
