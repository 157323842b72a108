"""Exchanges of summaries between a gateway and the gateways of other zones."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.gateway_selection import GatewaySelection
from balancer.fleet.zone_membership.local_summary import LocalSummary
from balancer.fleet.zone_membership.messages import (
    OutgoingZoneMessage,
    ZoneMembershipKind,
    ZoneMembershipMessage,
)
from balancer.fleet.zone_membership.queries import GatewayQueries
from balancer.fleet.zone_membership.records import Records
from balancer.fleet.zone_membership.settings import ZoneMembershipTiming
from balancer.fleet.zone_membership.timers import SequenceNumbers, add_jitter


class GatewayExchanges:
    """Periodic exchanges with one gateway of each other zone while this node is a gateway.

    Args:
        selection: The own zone's gateways.
        local_summary: The own zone's summary.
        queries: Builds the query that each round of exchanges sends to one of the contacted gateways.
        records: The summaries of the other zones.
        zone_seeds: Addresses of other zones' nodes, by zone.
        timing: Intervals of the protocol.
        rng: Random stream for the choice of the gateway to query and for jitter.
        sequence: Sequence numbers of requests.
        first_at: Time of the first exchange.
        first_gateway: Index of the first gateway of a zone to contact, modulo the number of its gateways.
    """

    def __init__(
        self,
        selection: GatewaySelection,
        local_summary: LocalSummary,
        queries: GatewayQueries,
        records: Records,
        zone_seeds: Mapping[str, tuple[Address, ...]],
        timing: ZoneMembershipTiming,
        rng: Random,
        sequence: SequenceNumbers,
        first_at: int,
        first_gateway: int,
    ) -> None:
        self.selection = selection
        self.local_summary = local_summary
        self.queries = queries
        self.records = records
        self.zone_seeds = zone_seeds
        self.timing = timing
        self.rng = rng
        self.sequence = sequence
        self.next_at = first_at
        self.gateway_index = first_gateway
        self.is_gateway = False
        # Number of exchanges sent to each zone since its last acknowledgement.
        self.unacknowledged: dict[str, int] = {}

    def tick(self, now: int) -> list[OutgoingZoneMessage]:
        """Send an exchange to every other zone if the next one is due."""
        if now < self.next_at:
            return []
        self.next_at = now + add_jitter(self.timing.exchange_interval, self.rng)
        return self._exchange(now)

    def acknowledged(self, zone: str) -> None:
        """Reset the count of unacknowledged exchanges with a zone."""
        self.unacknowledged.pop(zone, None)

    def _exchange(self, now: int) -> list[OutgoingZoneMessage]:
        """Send the own summary to one gateway of each other zone, and a query to one of these gateways.

        The query lets two zones that cannot reach each other get each other's summaries from a third one.
        """
        me = self.selection.group.local_claim.name
        own_zone = self.records.own_zone
        self.is_gateway = me in self.selection.gateways(now)
        if not self.is_gateway:
            return []
        self.gateway_index += 1
        seq = self.sequence.advance()
        summaries = (self.local_summary.get(now),)
        message = ZoneMembershipMessage(ZoneMembershipKind.ZONE_EXCHANGE, me, own_zone, seq, summaries)
        outgoing: list[OutgoingZoneMessage] = []
        for zone in sorted({*self.records.zones, *self.zone_seeds} - {own_zone}):
            target = self._target(zone)
            if target is None:
                continue
            self.unacknowledged[zone] = self.unacknowledged.get(zone, 0) + 1
            outgoing.append(AddressedMessage(target, message))
        if outgoing:
            outgoing.append(AddressedMessage(self.rng.choice(outgoing).to, self.queries.message(now)))
        return outgoing

    def _target(self, zone: str) -> Address | None:
        """Return the address to contact next in a zone, or None if no address is known.

        The addresses of the zone's gateways are used in turn. The zone's seeds, its configured addresses, are
        added while no gateway is known or as many exchanges in a row went unacknowledged as it has gateways.
        """
        record = self.records.zones.get(zone)
        addresses = [gateway.address for gateway in record.state.gateways] if record is not None else []
        if self.unacknowledged.get(zone, 0) >= len(addresses):
            addresses += [seed for seed in self.zone_seeds.get(zone, ()) if seed not in addresses]
        return addresses[self.gateway_index % len(addresses)] if addresses else None
