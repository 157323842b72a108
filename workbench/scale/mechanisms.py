"""What carries each cost at the target size: mechanisms that stand, and those that are missing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Mechanism:
    """`needs`: mechanisms without which this one does not work at the target size."""

    name: str
    built: bool
    needs: tuple[Mechanism, ...] = ()

    def all_needs(self) -> frozenset[Mechanism]:
        """Itself and all that it rests on."""
        found = {self}
        for need in self.needs:
            found |= need.all_needs()
        return frozenset(found)


REQUEST_PATH = Mechanism("request path of the node", True)
FLAT_MEMBERSHIP = Mechanism("membership, one flat group", True)
VOTERS = Mechanism("leases by five global voters", True)
REPLACEMENT = Mechanism("replacement led by one member", True)
ZONE_MEMBERSHIP = Mechanism("membership by zone", True)
GATEWAYS = Mechanism("gateways between zones", True, (ZONE_MEMBERSHIP,))
CONFIGURATION = Mechanism("configuration distribution", False)
# A zone's nodes ask each other where no replica answers, and gateways sum up the versions in force.
CONFIGURATION_FALLBACK = Mechanism(
    "configuration from peers of the zone", False, (CONFIGURATION, ZONE_MEMBERSHIP)
)
VERSIONS_IN_FORCE = Mechanism("versions in force, summed by zone", False, (CONFIGURATION, GATEWAYS))
SCOPED_LEASES = Mechanism("leases by zone and region", False, (ZONE_MEMBERSHIP,))
REPLACEMENT_BY_ZONE = Mechanism("replacement led by zone", False, (ZONE_MEMBERSHIP, SCOPED_LEASES))
