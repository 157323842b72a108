"""The mechanisms that bear each cost at the target size, both built and missing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Mechanism:
    """A mechanism of the fleet; without those in `dependencies` it does not work at the target size."""

    name: str
    is_built: bool
    dependencies: tuple[Mechanism, ...] = ()

    def all_dependencies(self) -> frozenset[Mechanism]:
        """Return this mechanism and all that it depends on."""
        found = {self}
        for dependency in self.dependencies:
            found |= dependency.all_dependencies()
        return frozenset(found)


REQUEST_PATH = Mechanism("request path of the node", True)
FLAT_MEMBERSHIP = Mechanism("membership, one flat group", True)
VOTERS = Mechanism("leases by five global voters", True)
REPLACEMENT = Mechanism("replacement led by one member", True)
ZONE_MEMBERSHIP = Mechanism("membership by zone", True)
GATEWAYS = Mechanism("gateways between zones", True, (ZONE_MEMBERSHIP,))
CONFIGURATION = Mechanism("configuration distribution", False)
# If no replica answers, the nodes of a zone ask each other; gateways summarize the versions in force.
CONFIGURATION_FALLBACK = Mechanism(
    "configuration from peers of the zone", False, (CONFIGURATION, ZONE_MEMBERSHIP)
)
VERSIONS_IN_FORCE = Mechanism("versions in force, summed by zone", False, (CONFIGURATION, GATEWAYS))
SCOPED_LEASES = Mechanism("leases by zone and region", False, (ZONE_MEMBERSHIP,))
REPLACEMENT_BY_ZONE = Mechanism("replacement led by zone", False, (ZONE_MEMBERSHIP, SCOPED_LEASES))
