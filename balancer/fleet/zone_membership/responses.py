"""The responses of a node to exchanges and queries."""

from __future__ import annotations

from collections import Counter

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.membership.rate_limit import RateLimit
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.batches import batches
from balancer.fleet.zone_membership.local_summary import LocalSummary
from balancer.fleet.zone_membership.messages import (
    OutgoingZoneMessage,
    ZoneMembershipKind,
    ZoneMembershipMessage,
)
from balancer.fleet.zone_membership.records import Records
from balancer.fleet.zone_membership.settings import ZoneMembershipTiming
from balancer.fleet.zone_membership.summaries import Refresh, Summary


class Responder:
    """Answers requests, at most so many a second.

    Without the limit, the queries of all nodes of a zone that start at once would take a gateway's processor.

    Args:
        local_summary: The own zone's summary.
        records: The summaries of the other zones.
        timing: The rate of responses, and which difference of ages is not worth a response.
        counts: Counters of the status page.
    """

    def __init__(
        self,
        local_summary: LocalSummary,
        records: Records,
        timing: ZoneMembershipTiming,
        counts: Counter[str],
    ) -> None:
        self.local_summary = local_summary
        self.records = records
        self.min_age_difference = timing.max_summary_reuse
        self.rate_limit = RateLimit(timing.responses_per_second, burst=timing.responses_per_second)
        self.counts = counts

    def answer_exchange(
        self, now: int, source: Address, request: ZoneMembershipMessage
    ) -> list[OutgoingZoneMessage]:
        """Returns the own zone's summary, whether this node is a gateway or not: it names the gateways."""
        if request.zone == self.records.own_zone or not self._admit(now):
            return []
        summaries = (self.local_summary.get(now),)
        return [self._answer(ZoneMembershipKind.ZONE_EXCHANGE_ACK, source, request, summaries)]

    def answer_query(
        self, now: int, source: Address, request: ZoneMembershipMessage
    ) -> list[OutgoingZoneMessage]:
        """Returns what is younger here than at the sender, and at least an empty response."""
        if not self._admit(now):
            return []
        summaries, refreshes = self.records.younger(now, request.known, self.min_age_difference)
        summaries = [summary for summary in summaries if summary.state.zone != request.zone]
        refreshes = [refresh for refresh in refreshes if refresh.zone != request.zone]
        if request.zone != self.records.own_zone:
            summaries.append(self.local_summary.get(now))
        kind = ZoneMembershipKind.ZONE_RESPONSE
        answers: list[OutgoingZoneMessage] = []
        if refreshes or not summaries:
            answers.append(self._answer(kind, source, request, refreshes=tuple(refreshes)))
        for batch in batches(summaries):
            answers.append(self._answer(kind, source, request, batch))
        return answers

    def _answer(
        self,
        kind: ZoneMembershipKind,
        to: Address,
        request: ZoneMembershipMessage,
        summaries: tuple[Summary, ...] = (),
        refreshes: tuple[Refresh, ...] = (),
    ) -> OutgoingZoneMessage:
        me = self.local_summary.group.me.name
        own_zone = self.records.own_zone
        message = ZoneMembershipMessage(kind, me, own_zone, request.seq, summaries, refreshes)
        return AddressedMessage(to, message)

    def _admit(self, now: int) -> bool:
        """Returns whether one more response may be sent now."""
        if self.rate_limit.take(now):
            return True
        self.counts["answers_refused"] += 1
        return False
