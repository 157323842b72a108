"""Membership by zone as a state machine that is handed time and messages.

The members of a zone form a SWIM group of their own. The first few of them by rendezvous hashing are the
zone's gateways. A gateway periodically exchanges its zone's summary with one gateway of each other zone, and
every member periodically queries a gateway of its zone for younger summaries than its own. A gateway that
does not respond counts as unresponsive, and the next member in the order takes its place. Times are integer
microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.exchanges import GatewayExchanges
from balancer.fleet.zone_membership.gateway_selection import GatewaySelection
from balancer.fleet.zone_membership.gateways import Rendezvous
from balancer.fleet.zone_membership.group import Group
from balancer.fleet.zone_membership.local_summary import LocalSummary
from balancer.fleet.zone_membership.messages import (
    OutgoingZoneMessage,
    ZoneMembershipKind,
    ZoneMembershipMessage,
)
from balancer.fleet.zone_membership.queries import GatewayQueries
from balancer.fleet.zone_membership.records import Freshness, Records, ZoneEvent
from balancer.fleet.zone_membership.responses import Responder
from balancer.fleet.zone_membership.settings import (
    MAX_GROUP_SIZE,
    ZoneMembershipSettings,
    ZoneMembershipTiming,
)
from balancer.fleet.zone_membership.status import record_status
from balancer.fleet.zone_membership.timers import SequenceNumbers

GATEWAY_INDEX_BITS = 8  # of the random index of the first gateway


def ignore_event(event: ZoneEvent) -> None:
    """Does nothing; the default where nobody observes events."""


class ZoneMembership:
    """One node's membership by zone.

    `tick` is due at `deadline`; `tick` and `received` return the messages to send.

    Args:
        zone: Name of the own zone.
        region: Name of its region.
        group: The zone's SWIM group.
        settings: The configuration.
        timing: Intervals and limits.
        rng: The random stream of this component.
        now: The current time.
        notify: Called with each event.
    """

    def __init__(
        self,
        zone: str,
        region: str,
        group: Group,
        settings: ZoneMembershipSettings,
        timing: ZoneMembershipTiming,
        rng: Random,
        now: int,
        notify: Callable[[ZoneEvent], None] = ignore_event,
    ) -> None:
        self.zone = zone
        self.group = group
        self.records = Records(zone, timing.stale_after, timing.lost_after, notify)
        self.counts = self.records.counts
        self.selection = GatewaySelection(group, Rendezvous(zone), timing.gateways)
        self.local_summary = LocalSummary(zone, region, group, self.selection, timing.max_summary_reuse)
        # The order of these four draws is part of the behaviour on a seed.
        first_exchange_at = now + timing.startup_delay + int(timing.exchange_interval * rng.random())
        first_query_at = now + int(timing.response_timeout * rng.random())
        first_gateway = rng.getrandbits(GATEWAY_INDEX_BITS)
        sequence = SequenceNumbers(rng)
        self.queries = GatewayQueries(
            group, self.selection, self.records, timing, rng, sequence, first_query_at, self.counts
        )
        self.exchanges = GatewayExchanges(
            self.selection,
            self.local_summary,
            self.queries,
            self.records,
            settings.zone_seeds,
            timing,
            rng,
            sequence,
            first_exchange_at,
            first_gateway,
        )
        self.responder = Responder(self.local_summary, self.records, timing, self.counts)

    # ---- the own zone ---------------------------------------------------------------------------------

    @property
    def is_gateway(self) -> bool:
        """Whether this node was a gateway when an exchange was last due."""
        return self.exchanges.is_gateway

    def gateways(self, now: int) -> list[str]:
        """Returns the names of the own zone's gateways."""
        return self.selection.gateways(now)

    def set_fact(self, key: str, value: str) -> None:
        """Attaches a fact to the own zone's summary, to go out while this node is a gateway.

        Raises:
            ZoneFactsError: The facts would be more than a summary may contain.
        """
        self.local_summary.set_fact(key, value)

    # ---- time and messages ----------------------------------------------------------------------------

    def deadline(self) -> int:
        """Returns when `tick` is due."""
        next_at = min(self.queries.deadline(), self.exchanges.next_at)
        records_due = self.records.deadline()
        return next_at if records_due is None else min(next_at, records_due)

    def tick(self, now: int) -> list[OutgoingZoneMessage]:
        """Does what is due."""
        self.records.tick(now)
        queries = self.queries.tick(now)
        return queries + self.exchanges.tick(now)

    def received(
        self, now: int, source: Address, message: ZoneMembershipMessage
    ) -> list[OutgoingZoneMessage]:
        """Handles a message.

        Args:
            now: The current time.
            source: Address that the message came from; a response goes there.
            message: The message.
        """
        if message.sender == self.group.me.name:
            return []
        self.selection.mark_responsive(message.sender)
        if message.zone != self.zone and message.sender in self.group.members:
            self.counts["members_of_other_zones"] += 1  # the groups of two zones were joined by mistake
        self._store(now, message)
        match message.kind:
            case ZoneMembershipKind.ZONE_QUERY:
                return self.responder.answer_query(now, source, message)
            case ZoneMembershipKind.ZONE_EXCHANGE:
                return self.responder.answer_exchange(now, source, message)
            case ZoneMembershipKind.ZONE_EXCHANGE_ACK:
                self.exchanges.acknowledged(message.zone)
            case ZoneMembershipKind.ZONE_RESPONSE:
                self.queries.response_received(now, message.seq)
        return []

    def _store(self, now: int, message: ZoneMembershipMessage) -> None:
        for summary in message.summaries:
            self.records.accept(now, summary)
        for refresh in message.refreshes:
            self.records.refresh(now, refresh)

    # ---- status ---------------------------------------------------------------------------------------

    def known_zones(self) -> Sequence[str]:
        """Returns the other zones of which there is a summary that is not lost."""
        records = self.records.zones.items()
        return sorted(zone for zone, record in records if record.freshness != Freshness.LOST)

    def status(self, now: int) -> dict[str, Any]:
        """Returns the part `regions` of the status page, as JSON values; ages in seconds."""
        size = len(self.group.alive()) + 1
        records = sorted(self.records.zones.items())
        return {
            "zone": self.zone,
            "size": size,
            "too_large": size > MAX_GROUP_SIZE,
            "gateway": self.is_gateway,
            "gateways": self.gateways(now),
            "zones": {zone: record_status(record, now) for zone, record in records},
            "counts": dict(self.counts),
        }
