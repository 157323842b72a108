"""Responses to other zones' exchanges of summaries, and to queries for summaries."""

from __future__ import annotations

from collections import Counter

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.membership.rate_limit import RateLimit
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.batches import split_into_batches
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
    """Responses of this node to exchanges and queries, up to a limit per second.

    The limit keeps the queries of a whole zone that starts at once from saturating a gateway's processor.

    Args:
        local_summary: The own zone's summary.
        records: The summaries of the other zones.
        timing: Limit on the rate of responses, and the time by which a copy must be newer to be sent.
        counts: Counters that are shown on the status page.
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
        """Return a response with the own zone's summary.

        The summary lists the zone's gateways even if this node is not one. There is no response if the
        request comes from the own zone or if the rate limit refuses it.
        """
        if request.zone == self.records.own_zone or not self._admit(now):
            return []
        summaries = (self.local_summary.get(now),)
        return [self._response(ZoneMembershipKind.ZONE_EXCHANGE_ACK, source, request, summaries)]

    def answer_query(
        self, now: int, source: Address, request: ZoneMembershipMessage
    ) -> list[OutgoingZoneMessage]:
        """Return responses with the summaries that are newer here than at the sender of the query.

        A sender in another zone also gets the own zone's summary. The response is empty if there is nothing
        to send. There is no response if the rate limit refuses the query.
        """
        if not self._admit(now):
            return []
        summaries, refreshes = self.records.find_updates(
            now, request.known_summaries, self.min_age_difference
        )
        summaries = [summary for summary in summaries if summary.state.zone != request.zone]
        refreshes = [refresh for refresh in refreshes if refresh.zone != request.zone]
        if request.zone != self.records.own_zone:
            summaries.append(self.local_summary.get(now))
        kind = ZoneMembershipKind.ZONE_RESPONSE
        responses: list[OutgoingZoneMessage] = []
        if refreshes or not summaries:
            responses.append(self._response(kind, source, request, refreshes=tuple(refreshes)))
        for batch in split_into_batches(summaries):
            responses.append(self._response(kind, source, request, batch))
        return responses

    def _response(
        self,
        kind: ZoneMembershipKind,
        receiver: Address,
        request: ZoneMembershipMessage,
        summaries: tuple[Summary, ...] = (),
        refreshes: tuple[Refresh, ...] = (),
    ) -> OutgoingZoneMessage:
        me = self.local_summary.group.local_claim.name
        own_zone = self.records.own_zone
        message = ZoneMembershipMessage(kind, me, own_zone, request.seq, summaries, refreshes)
        return AddressedMessage(receiver, message)

    def _admit(self, now: int) -> bool:
        """Return whether the rate limit admits one more response; count the request as refused if not."""
        if self.rate_limit.take(now):
            return True
        self.counts["answers_refused"] += 1
        return False
