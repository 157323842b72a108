"""The `fleet` section of a node's configuration, checked: all faults at once, a line each."""

from __future__ import annotations

import os
from contextlib import suppress
from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path
from typing import TYPE_CHECKING, Any

from balancer.fleet.membership.claims import MAX_NAME_CHARACTERS
from balancer.fleet.membership.keys import InvalidKeyError, read_key
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_routing.settings import ZoneSettings

if TYPE_CHECKING:
    from balancer.fleet.zone_membership.settings import ZoneMembershipSettings

VOTERS = (0, 3, 5)
SEEDS_MOST = 64
PERIOD_MS = (100, 60_000)
ROOM_MOST = 10
LEASE_MS = (200, 600_000)
KEYS = (
    *("name", "zone", "region", "listen", "advertise", "seeds", "key", "old_key"),
    *("voters", "old_voters", "lease_ms", "longest_lease_ms", "votes", "period_ms", "lab"),
    *("probe", "remeasure", "zones", "membership"),
)


class FleetFault(ValueError):
    """What is wrong with the section: a line for each fault."""


@dataclass(frozen=True)
class FleetConfig:
    """One process's place in its fleet. Times in microseconds."""

    name: str
    zone: str
    region: str
    listen: Address  # where datagrams come in...
    advertise: Address  # ...and where others send them, which an address translation may set apart
    seeds: tuple[Address, ...]
    keys: tuple[bytes, ...]  # the one that signs, then one that is still taken
    voters: tuple[str, ...]
    old_voters: tuple[str, ...]  # while the list is being changed: the one before
    lease: int  # of a duty
    longest: int  # that any process of the fleet asks for, and that a voter abstains after its start
    votes: Path | None  # a folder that outlives the process, where there is one
    period: int  # of membership's probes
    probe: bool  # servers that are set aside are tried by one node a zone
    remeasure: float  # the share of the tier's nodes in a minRTT pass at once; 0: as each sees fit
    zones: ZoneSettings | None  # None: the module's calls go where it sees fit
    clock_file: str | None  # lab: an offset of the wall clock in milliseconds, read again each period
    membership: ZoneMembershipSettings | None = None  # None: one group spans the fleet


class Section:
    """Reads a table's keys and collects what is wrong with them."""

    def __init__(self, table: dict[str, Any], where: str) -> None:
        self.table = table
        self.where = where
        self.faults: list[str] = []

    def fault(self, key: str, found: Any, allowed: str) -> None:
        shown = "missing" if found is None else repr(found)[:60]
        self.faults.append(f"{self.where}.{key}: {shown}: {allowed}")

    def only(self, *known: str) -> None:
        for key in self.table:
            if key not in known:
                self.faults.append(f"{self.where}.{key}: unknown key: known are {', '.join(known)}")

    def text(self, key: str, default: str | None = None, most: int = MAX_NAME_CHARACTERS) -> str:
        value = self.table.get(key, default)
        if isinstance(value, str) and (0 < len(value) <= most or value == default):
            return value
        self.fault(key, value, f"must be text of 1 to {most} characters")
        return default or ""

    def whole(self, key: str, default: int, low: int, high: int) -> int:
        value = self.table.get(key, default)
        if isinstance(value, int) and not isinstance(value, bool) and low <= value <= high:
            return value
        self.fault(key, value, f"must be a whole number from {low} to {high}")
        return default

    def flag(self, key: str) -> bool:
        value = self.table.get(key, False)
        if not isinstance(value, bool):
            self.fault(key, value, "must be true or false")
        return value is True

    def share(self, key: str) -> float:
        value = self.table.get(key, 0)
        if isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value <= 1:
            return float(value)
        self.fault(key, value, "must be a number from 0 to 1")
        return 0.0

    def address(self, key: str, value: Any) -> Address:
        """Numbers and no name: nothing of the fleet waits for a resolver."""
        if isinstance(value, str):
            host, _, port = value.rpartition(":")
            with suppress(ValueError):
                if port.isascii() and port.isdigit() and 0 < int(port) < 65536:
                    return str(ip_address(host)), int(port)
        self.fault(key, value, "must be an address of the form host:port, the host in numbers")
        return "", 0

    def listed(self, key: str, most: int) -> list[Any]:
        value = self.table.get(key, [])
        if isinstance(value, list) and len(value) <= most:
            return value
        self.fault(key, value, f"must be a list of at most {most}")
        return []

    def key_of(self, key: str) -> bytes:
        path = self.text(key, most=4096)
        if not path:
            return b""
        try:
            return read_key(Path(path))
        except InvalidKeyError as e:
            self.faults.append(f"{self.where}.{key}: {e}")
            return b""


def read_fleet(table: object, node: str) -> FleetConfig:
    """The section, for a node of this name. FleetFault."""
    if not isinstance(table, dict):
        raise FleetFault("fleet: not an object")
    s = Section(table, "fleet")
    s.only(*KEYS)
    listen = s.address("listen", table.get("listen"))
    advertise = s.address("advertise", table["advertise"]) if "advertise" in table else listen
    if advertise[0] in ("0.0.0.0", "::"):
        s.fault("advertise", table.get("advertise"), "must be given where listen names no one address")
    keys = [s.key_of("key")] + ([s.key_of("old_key")] if "old_key" in table else [])
    lab = table.get("lab", {})
    extra = Section(lab if isinstance(lab, dict) else {}, "fleet.lab")
    extra.only("clock_file")
    found = FleetConfig(
        name=s.text("name", node),
        zone=s.text("zone"),
        region=s.text("region", ""),
        listen=listen,
        advertise=advertise,
        seeds=tuple(s.address(f"seeds[{i}]", v) for i, v in enumerate(s.listed("seeds", SEEDS_MOST))),
        keys=tuple(keys),
        voters=voters(s, "voters"),
        old_voters=voters(s, "old_voters"),
        lease=s.whole("lease_ms", 3_000, *LEASE_MS) * 1000,
        longest=s.whole("longest_lease_ms", 10_000, *LEASE_MS) * 1000,
        votes=folder(s, "votes"),
        period=s.whole("period_ms", 1000, *PERIOD_MS) * 1000,
        probe=s.flag("probe"),
        remeasure=s.share("remeasure"),
        zones=zones(s),
        membership=membership(s),
        clock_file=extra.text("clock_file", most=4096) if "clock_file" in extra.table else None,
    )
    if found.lease > found.longest:
        s.fault("lease_ms", found.lease // 1000, f"must be at most longest_lease_ms, {found.longest // 1000}")
    for use, on in (("probe", found.probe), ("remeasure", found.remeasure)):
        if on and not found.voters:
            s.fault("voters", None, f"must be given where {use} is")
    if found.old_voters and not found.voters:
        s.fault("voters", None, "must be given where old_voters is")
    if s.faults or extra.faults:
        raise FleetFault("\n".join(s.faults + extra.faults))
    return found


def voters(s: Section, key: str) -> tuple[str, ...]:
    names = s.listed(key, max(VOTERS))
    named = all(isinstance(n, str) and 0 < len(n) <= MAX_NAME_CHARACTERS for n in names)
    if not named or len(set(names)) != len(names):
        s.fault(key, names, "must be names, none of them twice")
    elif len(names) not in VOTERS:
        why = ": a majority of two is both, so either one's end stops all duties" if len(names) == 2 else ""
        s.fault(key, names, f"must be 3 or 5, or none where no duties are held{why}")
    return tuple(str(n) for n in names)


def zones(s: Section) -> ZoneSettings | None:
    """The table `zones`, if there is one."""
    table = s.table.get("zones")
    if table is None:
        return None
    if not isinstance(table, dict):
        s.fault("zones", table, "must be a table")
        return None
    inner = Section(table, "fleet.zones")
    inner.only("room", "costs")
    room, costs = table.get("room", 1.4), table.get("costs", {})
    if isinstance(room, bool) or not isinstance(room, (int, float)) or not 1 <= room <= ROOM_MOST:
        inner.fault("room", room, f"must be a number from 1 to {ROOM_MOST}")
        room = 1.4
    if not isinstance(costs, dict):
        inner.fault("costs", costs, "must be a table of zones")
        costs = {}
    for zone, cost in costs.items():
        if isinstance(cost, bool) or not isinstance(cost, (int, float)) or not 0 <= cost < 1e9:
            inner.fault(f"costs.{zone}", cost, "must be a number from 0 on")
    s.faults += inner.faults
    return ZoneSettings(room=float(room), costs=costs)


def membership(s: Section) -> ZoneMembershipSettings | None:
    """The table `membership`, if there is one. Without it nothing of its package is imported."""
    if "membership" not in s.table:
        return None
    from balancer.fleet.zone_membership.settings import read_membership

    return read_membership(s, s.table["membership"])


def folder(s: Section, key: str) -> Path | None:
    if key not in s.table:
        return None
    path = Path(s.text(key, most=4096))
    if not path.is_dir() or not os.access(path, os.W_OK):
        s.fault(key, str(path), "must be a folder that this process may write to")
    return path
