"""The queries of a member to the gateways of its own zone."""

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
from balancer.fleet.zone_membership.timers import SequenceNumbers, jittered


@dataclass(frozen=True)
class PendingQuery:
    """A query that has not been answered; `expires_at` is when it counts as unanswered."""

    gateway: str
    seq: int
    expires_at: int


class GatewayQueries:
    """Queries one gateway at a time; one that does not respond repeatedly counts as unresponsive.

    Args:
        group: The zone's SWIM group.
        selection: The zone's gateways.
        records: The summaries of the other zones.
        timing: Intervals and limits.
        rng: Chooses gateways and intervals.
        sequence: Numbers of requests.
        first_at: When the first query is due.
        counts: Counters of the status page.
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
        self.unanswered: dict[str, int] = {}  # queries in a row, by gateway

    def deadline(self) -> int:
        """Returns when `tick` is due."""
        return self.next_at if self.pending is None else self.pending.expires_at

    def tick(self, now: int) -> list[OutgoingZoneMessage]:
        """Expires the pending query, and sends the next one if it is due."""
        if self.pending is not None and now >= self.pending.expires_at:
            self._expire(now, self.pending)
        if self.pending is None and now >= self.next_at:
            return self._query(now)
        return []

    def message(self, now: int) -> ZoneMembershipMessage:
        """Returns a query with the latest sequence number."""
        return ZoneMembershipMessage(
            ZoneMembershipKind.ZONE_QUERY,
            self.group.me.name,
            self.records.own_zone,
            self.sequence.latest,
            known=self.records.known(now),
        )

    def response_received(self, now: int, seq: int) -> None:
        """Ends the pending query if the response is to it."""
        if self.pending is None or seq != self.pending.seq:
            return
        self.unanswered.pop(self.pending.gateway, None)
        self.pending = None
        # Without the shorter interval, a node whose gateway has just started as well would get an empty
        # response and know no other zone for a full interval.
        interval = self.timing.query_interval if self.records.zones else self.timing.response_timeout
        self.next_at = now + jittered(interval, self.rng)

    def _query(self, now: int) -> list[OutgoingZoneMessage]:
        """Queries a gateway; one whose last query was not answered is queried again first."""
        me = self.group.me.name
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
