"""The `fleet` section of a node's configuration, validated; all faults are reported at once."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from balancer.fleet.config_section import ConfigSection
from balancer.fleet.membership.claims import MAX_NAME_CHARACTERS
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_routing.settings import ZoneSettings

if TYPE_CHECKING:
    from balancer.fleet.zone_membership.settings import ZoneMembershipSettings

SECTION_NAME = "fleet"
ALLOWED_VOTER_COUNTS = (0, 3, 5)
MAX_SEEDS = 64
PERIOD_RANGE_MS = (100, 60_000)
LEASE_RANGE_MS = (200, 600_000)
DEFAULT_OVERPROVISIONING_FACTOR = 1.4
MAX_OVERPROVISIONING_FACTOR = 10
MAX_ZONE_COST = 1e9
# A socket can listen on one of these addresses, but no other process can send to one.
UNSPECIFIED_HOSTS = ("0.0.0.0", "::")
SECTION_KEYS = (
    *("name", "zone", "region", "listen", "advertise", "seeds", "key", "old_key"),
    *("voters", "old_voters", "lease_ms", "longest_lease_ms", "votes", "period_ms", "lab"),
    *("probe", "remeasure", "zones", "membership"),
)


class FleetConfigError(ValueError):
    """The `fleet` section is invalid; the message has one line for each fault."""


@dataclass(frozen=True)
class FleetConfig:
    """The fleet configuration of one process; times are in microseconds.

    The group is the set of processes that track each other's state. A lease is a right that one process holds
    for a limited time, granted by a majority of the voters.

    Attributes:
        name: The process's name, unique in its group.
        zone: The process's zone, as discovery spells it.
        region: The region of the zone; may be empty.
        listen: The address on which the process receives datagrams.
        advertise: The address to which others send datagrams; differs from `listen` behind NAT.
        seeds: Addresses of a few members, through which the process joins its group.
        keys: The key that signs datagrams, followed by a second accepted key while the key is being replaced.
        voters: Names of the processes that vote on leases.
        old_voters: The previous list of voters, while the list is being changed.
        lease: Duration of the leases that this process requests.
        max_lease: The longest lease that any process of the fleet requests, and the time for which a voter
            abstains after its start.
        votes: A directory that outlives the process, or None. In it a voter stores its token ceiling, the
            highest number for a lease that it may grant without another disk write.
        period: Interval of membership's health checks.
        health_checks: Whether one node per zone checks an ejected server (one that gets no requests because
            it failed) on behalf of the others.
        min_rtt_share: Share of the tier's nodes that may recalculate their minRTT, the baseline response
            time, at the same time; 0 means no limit.
        zones: Settings of zone routing, which sets each zone's share of the requests; None if the policy
            alone chooses between zones.
        clock_file: In lab runs, a file with the milliseconds to add to the wall clock; otherwise None.
        membership: Settings of membership if each zone has its own group; None if one group spans the fleet.
    """

    name: str
    zone: str
    region: str
    listen: Address
    advertise: Address
    seeds: tuple[Address, ...]
    keys: tuple[bytes, ...]
    voters: tuple[str, ...]
    old_voters: tuple[str, ...]
    lease: int
    max_lease: int
    votes: Path | None
    period: int
    health_checks: bool
    min_rtt_share: float
    zones: ZoneSettings | None
    clock_file: str | None
    membership: ZoneMembershipSettings | None = None


def read_fleet(table: object, node: str) -> FleetConfig:
    """Validate the `fleet` section and return the fleet configuration of a process.

    Args:
        table: The decoded `fleet` section.
        node: The node's name, which is also the process's name unless the section sets another.

    Raises:
        FleetConfigError: The section is invalid; the message has one line for each fault.
    """
    if not isinstance(table, dict):
        raise FleetConfigError(f"{SECTION_NAME}: not an object")
    section = ConfigSection(table, SECTION_NAME)
    section.reject_unknown_keys(*SECTION_KEYS)
    listen, advertise = read_addresses(section)
    lab = read_lab_section(section)
    config = FleetConfig(
        listen=listen,
        advertise=advertise,
        keys=read_secret_keys(section),
        name=section.text("name", node),
        zone=section.text("zone"),
        region=section.text("region", ""),
        seeds=read_seeds(section),
        voters=read_voters(section, "voters"),
        old_voters=read_voters(section, "old_voters"),
        lease=section.integer("lease_ms", 3_000, *LEASE_RANGE_MS) * 1000,
        max_lease=section.integer("longest_lease_ms", 10_000, *LEASE_RANGE_MS) * 1000,
        votes=read_votes_directory(section),
        period=section.integer("period_ms", 1000, *PERIOD_RANGE_MS) * 1000,
        health_checks=section.flag("probe"),
        min_rtt_share=section.number("remeasure", 0, 0, 1),
        zones=read_zone_settings(section),
        membership=read_membership_settings(section),
        clock_file=lab.file_path("clock_file") if "clock_file" in lab.table else None,
    )
    check_combinations(section, config)
    if section.faults or lab.faults:
        raise FleetConfigError("\n".join(section.faults + lab.faults))
    return config


def check_combinations(section: ConfigSection, config: FleetConfig) -> None:
    """Add a fault for each key whose value conflicts with that of another key."""
    if config.lease > config.max_lease:
        allowed = f"must be at most longest_lease_ms, {config.max_lease // 1000}"
        section.add_fault("lease_ms", config.lease // 1000, allowed)
    for key, is_on in (("probe", config.health_checks), ("remeasure", config.min_rtt_share)):
        if is_on and not config.voters:
            section.add_fault("voters", None, f"must be given if {key} is")
    if config.old_voters and not config.voters:
        section.add_fault("voters", None, "must be given if old_voters is")


def read_addresses(section: ConfigSection) -> tuple[Address, Address]:
    """Read the addresses `listen` and `advertise`; a missing `advertise` is the same as `listen`."""
    table = section.table
    listen = section.address("listen", table.get("listen"))
    advertise = section.address("advertise", table["advertise"]) if "advertise" in table else listen
    if advertise[0] in UNSPECIFIED_HOSTS:
        section.add_fault(
            "advertise", table.get("advertise"), "must be given if listen is an unspecified address"
        )
    return listen, advertise


def read_secret_keys(section: ConfigSection) -> tuple[bytes, ...]:
    """Read the group's key and, while keys are rotated, the old key, which is still accepted."""
    names = ("key", "old_key") if "old_key" in section.table else ("key",)
    return tuple(section.secret_key(name) for name in names)


def read_seeds(section: ConfigSection) -> tuple[Address, ...]:
    """Read the key `seeds`: the addresses of the members through which the process joins its group."""
    values = section.items("seeds", MAX_SEEDS)
    return tuple(section.address(f"seeds[{i}]", value) for i, value in enumerate(values))


def read_lab_section(section: ConfigSection) -> ConfigSection:
    """Return the table `lab`, which only lab runs have, as a section with its own list of faults."""
    table = section.table.get("lab", {})
    lab = ConfigSection(table if isinstance(table, dict) else {}, f"{section.path}.lab")
    lab.reject_unknown_keys("clock_file")
    return lab


def read_voters(section: ConfigSection, key: str) -> tuple[str, ...]:
    """Read a list of the names of voters, the processes that vote on leases.

    The list must be empty or have 3 or 5 names, so that a majority remains if one voter fails.
    """
    names = section.items(key, max(ALLOWED_VOTER_COUNTS))
    are_names = all(isinstance(name, str) and 0 < len(name) <= MAX_NAME_CHARACTERS for name in names)
    if not are_names or len(set(names)) != len(names):
        section.add_fault(key, names, "must be distinct names")
    elif len(names) not in ALLOWED_VOTER_COUNTS:
        reason = (
            ": both of two voters are needed for a majority, so the end of either one stops all leases"
            if len(names) == 2
            else ""
        )
        section.add_fault(key, names, f"must be 3 or 5 names, or none if no leases are used{reason}")
    return tuple(str(name) for name in names)


def read_zone_settings(section: ConfigSection) -> ZoneSettings | None:
    """Read the settings of zone routing from the table `zones`.

    Returns None if the table is missing, or if the value is not a table, which is a fault.
    """
    table = section.table.get("zones")
    if table is None:
        return None
    if not isinstance(table, dict):
        section.add_fault("zones", table, "must be a table")
        return None
    inner = ConfigSection(table, f"{section.path}.zones")
    inner.reject_unknown_keys("room", "costs")
    room = inner.number("room", DEFAULT_OVERPROVISIONING_FACTOR, 1, MAX_OVERPROVISIONING_FACTOR)
    costs = table.get("costs", {})
    if not isinstance(costs, dict):
        inner.add_fault("costs", costs, "must be a table of costs by zone")
        costs = {}
    for zone, cost in costs.items():
        if isinstance(cost, bool) or not isinstance(cost, (int, float)) or not 0 <= cost < MAX_ZONE_COST:
            inner.add_fault(f"costs.{zone}", cost, "must be a non-negative number")
    section.faults += inner.faults
    return ZoneSettings(overprovisioning_factor=float(room), costs=costs)


def read_membership_settings(section: ConfigSection) -> ZoneMembershipSettings | None:
    """Read the settings of membership per zone from the table `membership`; return None if it is missing.

    Without the table, the package `zone_membership` is not imported.
    """
    if "membership" not in section.table:
        return None
    from balancer.fleet.zone_membership.settings import read_membership

    return read_membership(section, section.table["membership"])


def read_votes_directory(section: ConfigSection) -> Path | None:
    """Read the path `votes` of the directory in which a voter stores its state; return None if it is missing.

    The path must name a directory that this process may write to.
    """
    if "votes" not in section.table:
        return None
    path = Path(section.file_path("votes"))
    if not path.is_dir() or not os.access(path, os.W_OK):
        section.add_fault("votes", str(path), "must be a directory that this process may write to")
    return path
