"""Who is in a group under measurement, where each member listens, and the fleet section it is started with.

Everything is worked out from a few figures, so the parent and every worker hold the same book of addresses
without sending it.
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

SEEDS = 3  # members that a new one asks first; of its zone, where membership is by zone
HOLLOW_FIRST_HOST = 100  # last number of the first address of hollow members; real nodes stand below
HOLLOW_FIRST_PORT = 10_000
PORTS_PER_HOST = 500
REAL_FIRST_HOST = 10
REAL_ZONE = 0  # all real nodes stand in this zone, so that a cut of regions never runs between two of them


@dataclass(frozen=True)
class Place:
    """One member: its name, its zone and region, and where it listens. `index` counts all members."""

    index: int
    name: str
    zone: int
    region: int
    address: Address
    hollow: bool

    @property
    def zone_name(self) -> str:
        """The zone as the configuration spells it."""
        return f"z{self.zone}"


class Group(Struct, frozen=True, dict=True, kw_only=True):
    """The members of a run: `hollow` of them in workers, then `real` nodes."""

    block: str  # 127.A.B, held for this run alone
    hollow: int
    real: int
    zones: int
    regions: int
    period_ms: int
    membership: Membership
    seed: int

    @cached_property
    def places(self) -> Sequence[Place]:
        """All members in order."""
        hollow = [
            self.place(i, f"h{i:05d}", i % self.zones, hollow_address(self.block, i))
            for i in range(self.hollow)
        ]
        real = [
            self.place(
                self.hollow + i,
                f"r{i:05d}",
                REAL_ZONE,
                (f"{self.block}.{REAL_FIRST_HOST + i}", DATAGRAM_PORT),
                False,
            )
            for i in range(self.real)
        ]
        return (*hollow, *real)

    def place(self, index: int, name: str, zone: int, address: Address, hollow: bool = True) -> Place:
        return Place(index, name, zone, zone % self.regions, address, hollow)

    @cached_property
    def by_name(self) -> dict[str, Place]:
        """The members by their names."""
        return {p.name: p for p in self.places}

    def in_scope(self, one: Place, other: Place) -> bool:
        """Whether `one` has to know of `other`: everybody, or everybody of its zone."""
        return self.membership == "flat" or one.zone == other.zone

    def fleet_table(self, place: Place, key: str) -> dict[str, Any]:
        """The `fleet` section of one member's configuration; `key` names the file with the group's key."""
        table: dict[str, Any] = {
            "name": place.name,
            "zone": place.zone_name,
            "region": f"region{place.region}",
            "listen": spelled(place.address),
            "key": key,
            "period_ms": self.period_ms,
        }
        if self.membership == "flat":
            return table | {"seeds": [spelled(p.address) for p in self.places[:SEEDS]]}
        others = {zone: seeds for zone, seeds in self.zone_seeds.items() if zone != place.zone_name}
        return table | {
            "seeds": self.zone_seeds[place.zone_name],
            "membership": {"scope": "zone", "zone_seeds": others},
        }

    @cached_property
    def zone_seeds(self) -> dict[str, list[str]]:
        """The first members of each zone."""
        seeds: dict[str, list[str]] = {}
        for place in self.places:
            known = seeds.setdefault(place.zone_name, [])
            if len(known) < SEEDS:
                known.append(spelled(place.address))
        return seeds


def hollow_address(block: str, index: int) -> Address:
    """Where a hollow member listens: many share an address and have a port each."""
    host = HOLLOW_FIRST_HOST + index // PORTS_PER_HOST
    return f"{block}.{host}", HOLLOW_FIRST_PORT + index % PORTS_PER_HOST


def spelled(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
