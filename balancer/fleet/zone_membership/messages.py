"""The messages between gateways, and between members and the gateways of their zone."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.summaries import Known, Refresh, Summary


class ZoneMembershipKind(IntEnum):
    """Message kinds; the numbers are distinct from those of other components."""

    ZONE_EXCHANGE = 80  # the sender's own summary; to be answered with the receiver's
    ZONE_EXCHANGE_ACK = 81
    ZONE_QUERY = 82  # the ages of all that the sender has; to be answered with what is younger
    ZONE_RESPONSE = 83


@dataclass(frozen=True)
class ZoneMembershipMessage:
    """A message of any kind.

    Attributes:
        kind: Which message it is.
        sender: Name of the node that sends it.
        zone: Zone of the sender.
        seq: Sequence number; a response has that of its request.
        summaries: Complete summaries.
        refreshes: New versions of states that the receiver has.
        known: Of a query: what its sender has.
    """

    kind: ZoneMembershipKind
    sender: str
    zone: str
    seq: int = 0
    summaries: tuple[Summary, ...] = ()
    refreshes: tuple[Refresh, ...] = ()
    known: tuple[Known, ...] = ()


OutgoingZoneMessage = AddressedMessage[Address, ZoneMembershipMessage]
