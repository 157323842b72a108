"""The members of a measured group, their addresses, and the fleet section each is started with.

Everything is derived from a few numbers, so the parent and every worker compute the same addresses and need
not exchange them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any, Literal

from msgspec import Struct

from balancer.fleet.membership.swim import Address
from workbench.emulator.address_block import DATAGRAM_PORT

Membership = Literal["flat", "zone"]

# Members that a new one contacts first; with membership by zone they are of its own zone.
SEED_COUNT = 3
# Last octet of the first address of hollow members; real nodes have lower ones.
FIRST_HOLLOW_HOST = 100
FIRST_HOLLOW_PORT = 10_000
PORTS_PER_HOST = 500
FIRST_REAL_HOST = 10
# All real nodes are in this zone, so that no partition between regions separates two of them.
REAL_ZONE = 0


@dataclass(frozen=True)
class MemberSpec:
    """Name, zone, region and listening address of a member; `index` is its position among all members."""

    index: int
    name: str
    zone: int
    region: int
    address: Address
    hollow: bool

    @property
    def zone_name(self) -> str:
        """The name of the zone in the configuration."""
        return f"z{self.zone}"


class Group(Struct, frozen=True, dict=True, kw_only=True):
    """The members of a run: `hollow` members in workers, followed by `real` nodes."""

    block: str  # Loopback prefix 127.A.B, reserved for this run
    hollow: int
    real: int
    zones: int
    regions: int
    period_ms: int
    membership: Membership
    seed: int

    @cached_property
    def member_specs(self) -> Sequence[MemberSpec]:
        """All members in the order of their index."""
        hollow = [
            self.make_spec(i, f"h{i:05d}", i % self.zones, hollow_address(self.block, i))
            for i in range(self.hollow)
        ]
        real = [
            self.make_spec(
                self.hollow + i,
                f"r{i:05d}",
                REAL_ZONE,
                (f"{self.block}.{FIRST_REAL_HOST + i}", DATAGRAM_PORT),
                False,
            )
            for i in range(self.real)
        ]
        return (*hollow, *real)

    def make_spec(
        self, index: int, name: str, zone: int, address: Address, hollow: bool = True
    ) -> MemberSpec:
        """Describe one member; its region follows from its zone."""
        return MemberSpec(index, name, zone, zone % self.regions, address, hollow)

    @cached_property
    def by_name(self) -> dict[str, MemberSpec]:
        """The members by name."""
        return {p.name: p for p in self.member_specs}

    def in_scope(self, observer: MemberSpec, other: MemberSpec) -> bool:
        """Return whether `observer` must know `other`, which depends on the kind of membership."""
        return self.membership == "flat" or observer.zone == other.zone

    def fleet_table(self, spec: MemberSpec, key: str) -> dict[str, Any]:
        """Build the `fleet` section of a member's configuration; `key` is the path of the key file."""
        table: dict[str, Any] = {
            "name": spec.name,
            "zone": spec.zone_name,
            "region": f"region{spec.region}",
            "listen": format_address(spec.address),
            "key": key,
            "period_ms": self.period_ms,
        }
        if self.membership == "flat":
            return table | {"seeds": [format_address(p.address) for p in self.member_specs[:SEED_COUNT]]}
        others = {zone: seeds for zone, seeds in self.zone_seeds.items() if zone != spec.zone_name}
        return table | {
            "seeds": self.zone_seeds[spec.zone_name],
            "membership": {"scope": "zone", "zone_seeds": others},
        }

    @cached_property
    def zone_seeds(self) -> dict[str, list[str]]:
        """The addresses of the first members of each zone."""
        seeds: dict[str, list[str]] = {}
        for spec in self.member_specs:
            known = seeds.setdefault(spec.zone_name, [])
            if len(known) < SEED_COUNT:
                known.append(format_address(spec.address))
        return seeds


def hollow_address(block: str, index: int) -> Address:
    """Return the address of a hollow member: many share a host and differ by port."""
    host = FIRST_HOLLOW_HOST + index // PORTS_PER_HOST
    return f"{block}.{host}", FIRST_HOLLOW_PORT + index % PORTS_PER_HOST


def format_address(address: Address) -> str:
    """Format an address as host:port."""
    return f"{address[0]}:{address[1]}"
