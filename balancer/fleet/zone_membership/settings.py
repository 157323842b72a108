"""Figures of membership by zone, and the checked reading of its table in the configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from balancer.fleet.config_section import ConfigSection
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.messages import MAX_NAME, MAX_ZONES

MAX_SEEDS_A_ZONE = 16
MAX_GROUP = 400  # members of a zone's group; a larger zone is to be split
SCOPES = ("zone", "fleet")
SECOND = 1_000_000
INTERVALS = (
    *("exchange_every", "ask_every", "answer_within", "silent_for", "remake_after", "settle"),
    *("stale_after", "lost_after"),
)


@dataclass(frozen=True)
class ZoneMembershipSettings:
    """`zone_seeds`: a few addresses of each other zone, asked while its gateways are not known or silent."""

    zone_seeds: Mapping[str, tuple[Address, ...]] = field(default_factory=dict)


@dataclass(frozen=True)
class FederationTiming:
    """Figures of the protocol, for SWIM periods of a second. Times in microseconds."""

    gateways: int = 4  # of a zone
    exchange_every: int = 5_000_000  # a gateway with one gateway of each other zone
    ask_every: int = 10_000_000  # a member its zone's gateways
    answer_within: int = 2_000_000
    asks_unanswered: int = 2  # in a row: then a gateway counts as silent...
    silent_for: int = 120_000_000  # ...so long, and others take its place
    remake_after: int = 1_000_000  # an own summary is sent again unchanged so long
    settle: int = 10_000_000  # from the start until a node speaks for its zone
    stale_after: int = 30_000_000
    lost_after: int = 60_000_000
    answers_a_second: int = 200

    def scaled(self, period: int) -> FederationTiming:
        """For SWIM periods of another length."""
        intervals = {name: getattr(self, name) * period // SECOND for name in INTERVALS}
        return replace(self, **intervals)


def read_membership(section: ConfigSection, table: object) -> ZoneMembershipSettings | None:
    """The table `membership` of the fleet's section; None where one group spans the fleet. Faults go into the
    section."""
    if not isinstance(table, dict):
        section.fault("membership", table, "must be a table")
        return None
    inner = ConfigSection(table, f"{section.path}.membership")
    inner.only("scope", "zone_seeds")
    scope = table.get("scope")
    if scope not in SCOPES:
        inner.fault("scope", scope, f"must be {' or '.join(SCOPES)}")
    seeds = read_zone_seeds(inner, table.get("zone_seeds", {}), section.table.get("zone"))
    if scope == "fleet" and "zone_seeds" in table:
        inner.fault("zone_seeds", table["zone_seeds"], "must not be given where scope is fleet")
    section.faults += inner.faults
    return ZoneMembershipSettings(seeds) if scope == "zone" else None


def read_zone_seeds(inner: ConfigSection, table: Any, own_zone: object) -> dict[str, tuple[Address, ...]]:
    """Addresses by zone."""
    if not isinstance(table, dict) or len(table) > MAX_ZONES:
        inner.fault("zone_seeds", table, f"must be a table of at most {MAX_ZONES} zones")
        return {}
    seeds = {}
    for zone, addresses in table.items():
        key = f"zone_seeds.{zone}"
        if not 0 < len(zone) <= MAX_NAME:
            inner.fault(key, zone, f"a zone's name must have 1 to {MAX_NAME} characters")
        elif zone == own_zone:
            inner.fault(key, addresses, "must be of other zones: this zone's addresses go into fleet.seeds")
        elif not isinstance(addresses, list) or not 0 < len(addresses) <= MAX_SEEDS_A_ZONE:
            inner.fault(key, addresses, f"must be a list of 1 to {MAX_SEEDS_A_ZONE} addresses")
        else:
            seeds[zone] = tuple(inner.address(f"{key}[{i}]", a) for i, a in enumerate(addresses))
    return seeds
