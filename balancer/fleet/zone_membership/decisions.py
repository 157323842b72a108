"""Membership by zone as a state machine; its caller passes in the time and received messages.

The members of a zone form a SWIM group of their own. The first few of them by rendezvous hashing are the
zone's gateways. A gateway periodically exchanges its zone's summary with one gateway of each other zone, and
every member periodically queries a gateway of its zone for summaries newer than those it holds. A gateway
that does not respond counts as unresponsive, and the next member in hash order replaces it. Times are integer
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

# Number of bits of the random index that selects the first gateway to contact in another zone.
GATEWAY_INDEX_BITS = 8


def ignore_event(event: ZoneEvent) -> None:
    """Ignore an event on a zone; this is the default event handler of `ZoneMembership`."""


class ZoneMembership:
    """One node's part in membership by zone: its gateways, queries, exchanges and stored summaries.

    The caller calls `tick` at the time that `deadline` returns, and `received` for each message. These two
    methods return the messages to send.

    Args:
        zone: Name of the own zone.
        region: Name of the own zone's region.
        group: The own zone's SWIM group.
        settings: The configuration, which contains the seeds: addresses of nodes of the other zones.
        timing: Intervals and limits of the protocol.
        rng: Random stream of this component.
        now: The current time.
        notify: Callback for each event on a zone.
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
        # The next four statements each draw a random number. Changing their order would change the behaviour
        # for a given seed of the random stream.
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

    # ---- Own zone -------------------------------------------------------------------------------------

    @property
    def is_gateway(self) -> bool:
        """Whether this node was a gateway at the time of the last scheduled exchange."""
        return self.exchanges.is_gateway

    def gateways(self, now: int) -> list[str]:
        """Return the names of the own zone's gateways."""
        return self.selection.gateways(now)

    def set_fact(self, key: str, value: str) -> None:
        """Attach a fact, a key and a value, to the own zone's summary, sent while this node is a gateway.

        Raises:
            ZoneFactsError: The facts would exceed the bounds of a summary.
        """
        self.local_summary.set_fact(key, value)

    # ---- Time and messages ----------------------------------------------------------------------------

    def deadline(self) -> int:
        """Return the time at which `tick` is due."""
        next_at = min(self.queries.deadline(), self.exchanges.next_at)
        records_due = self.records.deadline()
        return next_at if records_due is None else min(next_at, records_due)

    def tick(self, now: int) -> list[OutgoingZoneMessage]:
        """Update the freshness of the stored summaries, and return the queries and exchanges that are due."""
        self.records.tick(now)
        queries = self.queries.tick(now)
        return queries + self.exchanges.tick(now)

    def received(
        self, now: int, source: Address, message: ZoneMembershipMessage
    ) -> list[OutgoingZoneMessage]:
        """Store the summaries in a message and return the responses to it.

        Args:
            now: The current time.
            source: Address of the sender, to which the response is sent.
            message: The received message.
        """
        if message.sender == self.group.local_claim.name:
            return []
        self.selection.mark_responsive(message.sender)
        if message.zone != self.zone and message.sender in self.group.members:
            # The sender belongs to another zone but is a member of this zone's SWIM group. A misconfigured
            # seed has joined the groups of the two zones.
            self.counts["members_of_other_zones"] += 1
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

    # ---- Status ---------------------------------------------------------------------------------------

    def known_zones(self) -> Sequence[str]:
        """Return the names of the other zones whose summary is not yet so old that it counts as lost."""
        records = self.records.zones.items()
        return sorted(zone for zone, record in records if record.freshness != Freshness.LOST)

    def status(self, now: int) -> dict[str, Any]:
        """Return the value of the key `regions` of the status page, with ages in seconds."""
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
