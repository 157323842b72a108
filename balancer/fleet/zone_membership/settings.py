"""The configuration table `fleet.membership`, and the timing of membership by zone."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from balancer.fleet.config_section import ConfigSection
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.summaries import MAX_NAME_CHARACTERS
from balancer.fleet.zone_membership.wire import MAX_ZONES_PER_MESSAGE

MAX_SEEDS_PER_ZONE = 16
# The status page reports a zone with more members as too large; such a zone should be split.
MAX_GROUP_SIZE = 400
SCOPES = ("zone", "fleet")
SECOND_US = 1_000_000
SCALED_INTERVALS = (
    "exchange_interval",
    "query_interval",
    "response_timeout",
    "unresponsive_for",
    "max_summary_reuse",
    "startup_delay",
    "stale_after",
    "lost_after",
)


@dataclass(frozen=True)
class ZoneMembershipSettings:
    """The configuration of membership by zone.

    Attributes:
        zone_seeds: Addresses of other zones' nodes, by zone. They are contacted while no gateway of the zone
            is known or responds.
    """

    zone_seeds: Mapping[str, tuple[Address, ...]] = field(default_factory=dict)


@dataclass(frozen=True)
class ZoneMembershipTiming:
    """Intervals in microseconds and limits of membership by zone, for a SWIM period of one second.

    The SWIM period is the interval at which a node probes another member of its zone.

    Attributes:
        gateways: Number of gateways of a zone.
        exchange_interval: Time between two rounds of a gateway's exchanges with the other zones.
        query_interval: Time between the response to a member's query and its next query.
        response_timeout: Time after which a query counts as unanswered.
        max_unanswered_queries: Consecutive unanswered queries after which a gateway is unresponsive.
        unresponsive_for: Time for which an unresponsive member is not selected as a gateway.
        max_summary_reuse: Time for which the own zone's summary is reused unchanged.
        startup_delay: Time after its start from which a node may act as a gateway.
        stale_after: Age from which a summary is stale.
        lost_after: Age from which a summary is lost.
        responses_per_second: Limit on the responses of one node.
    """

    gateways: int = 4
    exchange_interval: int = 5_000_000
    query_interval: int = 10_000_000
    response_timeout: int = 2_000_000
    max_unanswered_queries: int = 2
    unresponsive_for: int = 120_000_000
    max_summary_reuse: int = 1_000_000
    startup_delay: int = 10_000_000
    stale_after: int = 30_000_000
    lost_after: int = 60_000_000
    responses_per_second: int = 200

    def scaled(self, period: int) -> ZoneMembershipTiming:
        """Return the timing for a SWIM period of `period` microseconds."""
        intervals = {name: getattr(self, name) * period // SECOND_US for name in SCALED_INTERVALS}
        return replace(self, **intervals)


def read_membership(section: ConfigSection, table: object) -> ZoneMembershipSettings | None:
    """Read the table `membership` of the configuration section `fleet`.

    Args:
        section: The configuration section `fleet`; faults are added to it.
        table: The value of the section's key `membership`.

    Returns:
        The settings, or None if the value is not a table or its key `scope` is not `zone`. With the scope
        `fleet` one SWIM group spans the fleet, and membership by zone is not used.
    """
    if not isinstance(table, dict):
        section.add_fault("membership", table, "must be a table")
        return None
    membership = ConfigSection(table, f"{section.path}.membership")
    membership.reject_unknown_keys("scope", "zone_seeds")
    scope = table.get("scope")
    if scope not in SCOPES:
        membership.add_fault("scope", scope, f"must be {' or '.join(SCOPES)}")
    seeds = read_zone_seeds(membership, table.get("zone_seeds", {}), section.table.get("zone"))
    if scope == "fleet" and "zone_seeds" in table:
        membership.add_fault("zone_seeds", table["zone_seeds"], "must not be given where scope is fleet")
    section.faults += membership.faults
    return ZoneMembershipSettings(seeds) if scope == "zone" else None


def read_zone_seeds(
    membership: ConfigSection, table: Any, own_zone: object
) -> dict[str, tuple[Address, ...]]:
    """Read the addresses of other zones' nodes, by zone.

    Args:
        membership: The configuration section `fleet.membership`; faults are added to it.
        table: The value of the section's key `zone_seeds`.
        own_zone: Name of the own zone.
    """
    if not isinstance(table, dict) or len(table) > MAX_ZONES_PER_MESSAGE:
        membership.add_fault("zone_seeds", table, f"must be a table of at most {MAX_ZONES_PER_MESSAGE} zones")
        return {}
    seeds = {}
    for zone, addresses in table.items():
        key = f"zone_seeds.{zone}"
        if not 0 < len(zone) <= MAX_NAME_CHARACTERS:
            reason = f"a zone's name must have 1 to {MAX_NAME_CHARACTERS} characters"
            membership.add_fault(key, zone, reason)
        elif zone == own_zone:
            reason = "must be of other zones: this zone's addresses go into fleet.seeds"
            membership.add_fault(key, addresses, reason)
        elif not isinstance(addresses, list) or not 0 < len(addresses) <= MAX_SEEDS_PER_ZONE:
            membership.add_fault(key, addresses, f"must be a list of 1 to {MAX_SEEDS_PER_ZONE} addresses")
        else:
            seeds[zone] = tuple(membership.address(f"{key}[{i}]", a) for i, a in enumerate(addresses))
    return seeds
