"""Messages between gateways, and between members and the gateways of their zone."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.summaries import KnownSummary, Refresh, Summary


class ZoneMembershipKind(IntEnum):
    """Kinds of messages of membership by zone; no other component of the fleet uses these numbers."""

    # Carries the summary of the sender's zone; acknowledged with the summary of the receiver's zone.
    ZONE_EXCHANGE = 80
    ZONE_EXCHANGE_ACK = 81
    # Carries the ages of all summaries that the sender holds; answered with newer summaries.
    ZONE_QUERY = 82
    ZONE_RESPONSE = 83


@dataclass(frozen=True)
class ZoneMembershipMessage:
    """A message of membership by zone.

    Attributes:
        kind: Kind of the message.
        sender: Name of the sending node.
        zone: Zone of the sender.
        seq: Sequence number; a response carries the number of its request.
        summaries: Complete summaries of zones.
        refreshes: Newer versions and ages of zones' states that the receiver already holds.
        known_summaries: Fingerprints and ages of the summaries that the sender of a query holds.
    """

    kind: ZoneMembershipKind
    sender: str
    zone: str
    seq: int = 0
    summaries: tuple[Summary, ...] = ()
    refreshes: tuple[Refresh, ...] = ()
    known_summaries: tuple[KnownSummary, ...] = ()


OutgoingZoneMessage = AddressedMessage[Address, ZoneMembershipMessage]
