"""The summary of the own zone, created by this node."""

from __future__ import annotations

from balancer.fleet.zone_membership.gateway_selection import GatewaySelection
from balancer.fleet.zone_membership.group import Group, address_of
from balancer.fleet.zone_membership.summaries import (
    MAX_GATEWAYS_PER_SUMMARY,
    Gateway,
    Summary,
    Version,
    ZoneState,
    check_facts,
)


class LocalSummary:
    """The own zone's summary, which is created on demand and reused up to a maximum age.

    Args:
        zone: Name of the own zone.
        region: Name of the own zone's region.
        group: The zone's SWIM group.
        selection: The zone's gateways.
        max_reuse: Time in microseconds for which a summary is reused unchanged.
    """

    def __init__(
        self, zone: str, region: str, group: Group, selection: GatewaySelection, max_reuse: int
    ) -> None:
        self.zone = zone
        self.region = region
        self.group = group
        self.selection = selection
        self.max_reuse = max_reuse
        self.facts: dict[str, str] = {}
        self.counter = 0
        self.latest: Summary | None = None
        self.made_at = 0

    def set_fact(self, key: str, value: str) -> None:
        """Attach a fact, a key and a value that a component publishes, to this and all later summaries.

        Raises:
            ZoneFactsError: The facts would exceed the bounds of a summary.
        """
        facts = self.facts | {key: value}
        check_facts(facts.items())
        self.facts = facts
        self.latest = None

    def get(self, now: int) -> Summary:
        """Return the current summary with its age, and create a new one if it is too old."""
        if self.latest is None or now - self.made_at >= self.max_reuse:
            self.latest = self._create(now)
            self.made_at = now
        return Summary(self.latest.state, self.latest.version, now - self.made_at)

    def _create(self, now: int) -> Summary:
        me = self.group.local_claim
        names = [*self.group.alive(), me.name]
        selected = self.selection.gateways(now)[:MAX_GATEWAYS_PER_SUMMARY]
        gateways = tuple(Gateway(name, address_of(self.group, name)) for name in selected)
        digest = self.selection.rendezvous.digest(names)
        facts = tuple(sorted(self.facts.items()))
        state = ZoneState(self.zone, self.region, len(names), digest, gateways, facts)
        self.counter += 1
        return Summary(state, Version(me.name, me.incarnation, self.counter), 0)
