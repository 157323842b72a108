"""Queries of a member to the gateways of its own zone, which ask for summaries of the other zones."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.zone_membership.gateway_selection import GatewaySelection
from balancer.fleet.zone_membership.group import Group, address_of
from balancer.fleet.zone_membership.messages import (
    OutgoingZoneMessage,
    ZoneMembershipKind,
    ZoneMembershipMessage,
)
from balancer.fleet.zone_membership.records import Records
from balancer.fleet.zone_membership.settings import ZoneMembershipTiming
from balancer.fleet.zone_membership.timers import SequenceNumbers, add_jitter


@dataclass(frozen=True)
class PendingQuery:
    """A query without a response so far; it counts as unanswered from `expires_at` on."""

    gateway: str
    seq: int
    expires_at: int


class GatewayQueries:
    """Queries to one gateway of the own zone at a time.

    A gateway that repeatedly does not respond becomes unresponsive: it is not selected for some time.

    Args:
        group: The zone's SWIM group.
        selection: The zone's gateways.
        records: The summaries of the other zones.
        timing: Intervals and limits of the protocol.
        rng: Random stream for the choice of gateways and for jitter.
        sequence: Sequence numbers of requests.
        first_at: Time of the first query.
        counts: Counters that are shown on the status page.
    """

    def __init__(
        self,
        group: Group,
        selection: GatewaySelection,
        records: Records,
        timing: ZoneMembershipTiming,
        rng: Random,
        sequence: SequenceNumbers,
        first_at: int,
        counts: Counter[str],
    ) -> None:
        self.group = group
        self.selection = selection
        self.records = records
        self.timing = timing
        self.rng = rng
        self.sequence = sequence
        self.next_at = first_at
        self.counts = counts
        self.pending: PendingQuery | None = None
        # Number of consecutive unanswered queries, by gateway.
        self.unanswered: dict[str, int] = {}

    def deadline(self) -> int:
        """Return the time at which `tick` is due."""
        return self.next_at if self.pending is None else self.pending.expires_at

    def tick(self, now: int) -> list[OutgoingZoneMessage]:
        """Give up the pending query if it has timed out, and return the next query if it is due."""
        if self.pending is not None and now >= self.pending.expires_at:
            self._expire(now, self.pending)
        if self.pending is None and now >= self.next_at:
            return self._query(now)
        return []

    def message(self, now: int) -> ZoneMembershipMessage:
        """Return a query that lists the summaries this node holds, with the latest sequence number."""
        return ZoneMembershipMessage(
            ZoneMembershipKind.ZONE_QUERY,
            self.group.local_claim.name,
            self.records.own_zone,
            self.sequence.latest,
            known_summaries=self.records.known_summaries(now),
        )

    def response_received(self, now: int, seq: int) -> None:
        """Complete the pending query if the response carries its sequence number."""
        if self.pending is None or seq != self.pending.seq:
            return
        self.unanswered.pop(self.pending.gateway, None)
        self.pending = None
        # A gateway that has just started may send an empty response. With the shorter interval this node need
        # not wait for a full query interval to learn of the other zones.
        interval = self.timing.query_interval if self.records.zones else self.timing.response_timeout
        self.next_at = now + add_jitter(interval, self.rng)

    def _query(self, now: int) -> list[OutgoingZoneMessage]:
        """Query a random gateway, or first retry one whose last query was not answered."""
        me = self.group.local_claim.name
        gateways = [name for name in self.selection.gateways(now) if name != me]
        if not gateways:
            self.next_at = now + self.timing.response_timeout
            return []
        to_retry = [name for name in gateways if self.unanswered.get(name)]
        gateway = to_retry[0] if to_retry else self.rng.choice(gateways)
        seq = self.sequence.advance()
        self.pending = PendingQuery(gateway, seq, now + self.timing.response_timeout)
        return [AddressedMessage(address_of(self.group, gateway), self.message(now))]

    def _expire(self, now: int, pending: PendingQuery) -> None:
        self.pending = None
        self.next_at = now
        unanswered = self.unanswered.get(pending.gateway, 0) + 1
        self.unanswered[pending.gateway] = unanswered
        if unanswered >= self.timing.max_unanswered_queries:
            del self.unanswered[pending.gateway]
            self.selection.mark_unresponsive(pending.gateway, now + self.timing.unresponsive_for)
            self.counts["silent_gateways"] += 1
