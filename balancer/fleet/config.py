"""The `fleet` section of a node's configuration, checked: all faults at once, a line each."""

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

SECTION = "fleet"
VOTER_COUNTS = (0, 3, 5)
MAX_SEEDS = 64
PERIOD_MS = (100, 60_000)
LEASE_MS = (200, 600_000)
DEFAULT_OVERPROVISIONING_FACTOR = 1.4
MAX_OVERPROVISIONING_FACTOR = 10
MAX_ZONE_COST = 1e9
UNSPECIFIED_HOSTS = ("0.0.0.0", "::")  # a socket listens there; nobody can send there
KEYS = (
    *("name", "zone", "region", "listen", "advertise", "seeds", "key", "old_key"),
    *("voters", "old_voters", "lease_ms", "longest_lease_ms", "votes", "period_ms", "lab"),
    *("probe", "remeasure", "zones", "membership"),
)


class FleetConfigError(ValueError):
    """What is wrong with the section: a line for each fault."""


@dataclass(frozen=True)
class FleetConfig:
    """One process's place in its fleet. Times in microseconds.

    Attributes:
        name: The process's name in its group.
        zone: Its zone, as discovery spells it.
        region: The region of its zone; may be empty.
        listen: Where datagrams come in.
        advertise: Where others send them, which differs from `listen` behind an address translation.
        seeds: Addresses of a few members, through which the process joins.
        keys: The key that signs datagrams, then one that is still accepted.
        voters: Names of the processes that vote on leases.
        old_voters: The list of voters before, while it is being changed.
        lease: Duration of a lease.
        max_lease: Longest lease that any process of the fleet requests, and how long a voter abstains after
            its start.
        votes: A directory that outlives the process, if there is one, for a voter's highest number.
        period: Interval of membership's health checks.
        health_checks: Whether one node a zone health-checks an ejected server for the others.
        min_rtt_share: Share of the tier's nodes that may recalculate their minRTT at once; 0: no bound.
        zones: Settings of zone routing; None: the policy alone chooses between zones.
        clock_file: In labs, a file with the wall clock's offset in milliseconds.
        membership: Settings of membership by zone; None: one group spans the fleet.
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
    """Checks the section and returns it.

    Args:
        table: The decoded section.
        node: The node's name, which is the process's name unless the section has another.

    Raises:
        FleetConfigError: With a line for each fault.
    """
    if not isinstance(table, dict):
        raise FleetConfigError(f"{SECTION}: not an object")
    section = ConfigSection(table, SECTION)
    section.only(*KEYS)
    listen, advertise = read_addresses(section)
    lab = read_lab(section)
    found = FleetConfig(
        listen=listen,
        advertise=advertise,
        keys=read_secret_keys(section),
        name=section.text("name", node),
        zone=section.text("zone"),
        region=section.text("region", ""),
        seeds=read_seeds(section),
        voters=read_voters(section, "voters"),
        old_voters=read_voters(section, "old_voters"),
        lease=section.integer("lease_ms", 3_000, *LEASE_MS) * 1000,
        max_lease=section.integer("longest_lease_ms", 10_000, *LEASE_MS) * 1000,
        votes=read_votes_directory(section),
        period=section.integer("period_ms", 1000, *PERIOD_MS) * 1000,
        health_checks=section.flag("probe"),
        min_rtt_share=section.number("remeasure", 0, 0, 1),
        zones=read_zones(section),
        membership=read_membership_table(section),
        clock_file=lab.file_path("clock_file") if "clock_file" in lab.table else None,
    )
    check_combinations(section, found)
    if section.faults or lab.faults:
        raise FleetConfigError("\n".join(section.faults + lab.faults))
    return found


def check_combinations(section: ConfigSection, found: FleetConfig) -> None:
    """Adds a fault for each key that is impossible beside another."""
    if found.lease > found.max_lease:
        allowed = f"must be at most longest_lease_ms, {found.max_lease // 1000}"
        section.fault("lease_ms", found.lease // 1000, allowed)
    for key, is_on in (("probe", found.health_checks), ("remeasure", found.min_rtt_share)):
        if is_on and not found.voters:
            section.fault("voters", None, f"must be given where {key} is")
    if found.old_voters and not found.voters:
        section.fault("voters", None, "must be given where old_voters is")


def read_addresses(section: ConfigSection) -> tuple[Address, Address]:
    """The addresses `listen` and `advertise`."""
    table = section.table
    listen = section.address("listen", table.get("listen"))
    advertise = section.address("advertise", table["advertise"]) if "advertise" in table else listen
    if advertise[0] in UNSPECIFIED_HOSTS:
        section.fault("advertise", table.get("advertise"), "must be given where listen names no one address")
    return listen, advertise


def read_secret_keys(section: ConfigSection) -> tuple[bytes, ...]:
    """The group's key and, while keys are being changed, a second one that is still accepted."""
    names = ("key", "old_key") if "old_key" in section.table else ("key",)
    return tuple(section.secret_key(name) for name in names)


def read_seeds(section: ConfigSection) -> tuple[Address, ...]:
    """The addresses through which the process joins."""
    values = section.items("seeds", MAX_SEEDS)
    return tuple(section.address(f"seeds[{i}]", value) for i, value in enumerate(values))


def read_lab(section: ConfigSection) -> ConfigSection:
    """The table `lab`, which only labs have. It has its own list of faults."""
    table = section.table.get("lab", {})
    lab = ConfigSection(table if isinstance(table, dict) else {}, f"{section.path}.lab")
    lab.only("clock_file")
    return lab


def read_voters(section: ConfigSection, key: str) -> tuple[str, ...]:
    """A list of voters' names, of a length that has a useful majority."""
    names = section.items(key, max(VOTER_COUNTS))
    are_names = all(isinstance(name, str) and 0 < len(name) <= MAX_NAME_CHARACTERS for name in names)
    if not are_names or len(set(names)) != len(names):
        section.fault(key, names, "must be names, none of them twice")
    elif len(names) not in VOTER_COUNTS:
        reason = (
            ": a majority of two is both, so either one's end stops all duties" if len(names) == 2 else ""
        )
        section.fault(key, names, f"must be 3 or 5, or none where no duties are held{reason}")
    return tuple(str(name) for name in names)


def read_zones(section: ConfigSection) -> ZoneSettings | None:
    """The table `zones`, if there is one."""
    table = section.table.get("zones")
    if table is None:
        return None
    if not isinstance(table, dict):
        section.fault("zones", table, "must be a table")
        return None
    inner = ConfigSection(table, f"{section.path}.zones")
    inner.only("room", "costs")
    room = inner.number("room", DEFAULT_OVERPROVISIONING_FACTOR, 1, MAX_OVERPROVISIONING_FACTOR)
    costs = table.get("costs", {})
    if not isinstance(costs, dict):
        inner.fault("costs", costs, "must be a table of zones")
        costs = {}
    for zone, cost in costs.items():
        if isinstance(cost, bool) or not isinstance(cost, (int, float)) or not 0 <= cost < MAX_ZONE_COST:
            inner.fault(f"costs.{zone}", cost, "must be a number from 0 on")
    section.faults += inner.faults
    return ZoneSettings(overprovisioning_factor=float(room), costs=costs)


def read_membership_table(section: ConfigSection) -> ZoneMembershipSettings | None:
    """The table `membership`, if there is one. Without it nothing of its package is imported."""
    if "membership" not in section.table:
        return None
    from balancer.fleet.zone_membership.settings import read_membership

    return read_membership(section, section.table["membership"])


def read_votes_directory(section: ConfigSection) -> Path | None:
    """The directory `votes`, if one is given."""
    if "votes" not in section.table:
        return None
    path = Path(section.file_path("votes"))
    if not path.is_dir() or not os.access(path, os.W_OK):
        section.fault("votes", str(path), "must be a folder that this process may write to")
    return path
