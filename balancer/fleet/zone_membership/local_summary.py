"""The summary that this node makes of its own zone."""

from __future__ import annotations

from balancer.fleet.zone_membership.gateway_selection import GatewaySelection
from balancer.fleet.zone_membership.group import Group, address_of
from balancer.fleet.zone_membership.summaries import (
    MAX_GATEWAYS,
    Gateway,
    Summary,
    Version,
    ZoneState,
    check_facts,
)


class LocalSummary:
    """Makes the own zone's summary, and makes it anew once the last one has some age.

    Args:
        zone: Name of the own zone.
        region: Name of its region.
        group: The zone's SWIM group.
        selection: The zone's gateways.
        max_reuse: Microseconds for which a summary is sent again unchanged.
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
        """Attaches a fact to this and all later summaries.

        Raises:
            ZoneFactsError: The facts would be more than a summary may contain.
        """
        facts = self.facts | {key: value}
        check_facts(facts.items())
        self.facts = facts
        self.latest = None

    def get(self, now: int) -> Summary:
        """Returns the summary with its age."""
        if self.latest is None or now - self.made_at >= self.max_reuse:
            self.latest = self._make(now)
            self.made_at = now
        return Summary(self.latest.state, self.latest.version, now - self.made_at)

    def _make(self, now: int) -> Summary:
        me = self.group.me
        names = [*self.group.alive(), me.name]
        selected = self.selection.gateways(now)[:MAX_GATEWAYS]
        gateways = tuple(Gateway(name, address_of(self.group, name)) for name in selected)
        digest = self.selection.rendezvous.digest(names)
        facts = tuple(sorted(self.facts.items()))
        state = ZoneState(self.zone, self.region, len(names), digest, gateways, facts)
        self.counter += 1
        return Summary(state, Version(me.name, me.incarnation, self.counter), 0)
