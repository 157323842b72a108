"""The data model of a zone's summary, and the bounds of its fields.

Ages are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.errors import ZoneFactsError

MAX_NAME_CHARACTERS = 64
# Length of the longest textual form of an IPv6 address.
MAX_HOST_CHARACTERS = 45
MAX_GATEWAYS_PER_SUMMARY = 4
MAX_FACTS_PER_SUMMARY = 8
MAX_FACT_KEY_CHARACTERS = 32
# Maximum total size of the keys and values of the facts in a summary.
MAX_FACTS_BYTES_PER_SUMMARY = 256
# Exclusive upper bound of the number of members of a zone.
ZONE_SIZE_BOUND = 1_000_000
FINGERPRINT_BYTES = 8


@dataclass(frozen=True)
class Gateway:
    """A member that exchanges summaries on behalf of its zone."""

    name: str
    address: Address


@dataclass(frozen=True)
class ZoneState:
    """The state of a zone as published by one of its gateways.

    Attributes:
        zone: Name of the zone.
        region: Name of the zone's region; may be empty.
        size: Number of alive members.
        digest: Hash of the names of the alive members.
        gateways: The gateways in order of preference.
        facts: Keys and values that components of the fleet attach to the zone's state.
    """

    zone: str
    region: str
    size: int
    digest: int
    gateways: tuple[Gateway, ...]
    facts: tuple[tuple[str, str], ...] = ()

    def fingerprint(self) -> int:
        """Return a hash of the state.

        A node that already holds a state with the same fingerprint needs only the new version and age.
        """
        fields = [self.zone, self.region, str(self.size), str(self.digest)]
        fields += [f"{g.name} {g.address[0]} {g.address[1]}" for g in self.gateways]
        fields += [f"{key}\0{value}" for key, value in self.facts]
        hashed = blake2b("\1".join(fields).encode(), digest_size=FINGERPRINT_BYTES)
        return int.from_bytes(hashed.digest(), "big")


@dataclass(frozen=True)
class Version:
    """The version of a summary, ordered among the summaries of the same origin.

    Attributes:
        origin: Name of the node that created the summary.
        incarnation: Number of the origin's incarnation, taken from the origin's clock.
        counter: Sequence number of the summary among those that the origin created in this incarnation.
    """

    origin: str
    incarnation: int
    counter: int

    @property
    def order(self) -> tuple[int, int]:
        """The sort key among versions of one origin; newer versions have greater keys."""
        return self.incarnation, self.counter


@dataclass(frozen=True)
class Summary:
    """A zone's state, its version, and its age in microseconds."""

    state: ZoneState
    version: Version
    age: int


@dataclass(frozen=True)
class Refresh:
    """A newer version and age of a state that the receiver already holds."""

    zone: str
    fingerprint: int
    version: Version
    age: int


@dataclass(frozen=True)
class KnownSummary:
    """Fingerprint and age of the summary of a zone that the sender of a query holds."""

    zone: str
    fingerprint: int
    age: int


def check_facts(facts: Iterable[tuple[str, str]]) -> None:
    """Check that the facts of a summary are within their bounds.

    Raises:
        ZoneFactsError: There are too many facts, or they are too long.
    """
    listed = list(facts)
    size = sum(len(key.encode()) + len(value.encode()) for key, value in listed)
    bad_key = any(not 0 < len(key) <= MAX_FACT_KEY_CHARACTERS for key, _ in listed)
    if len(listed) > MAX_FACTS_PER_SUMMARY or size > MAX_FACTS_BYTES_PER_SUMMARY or bad_key:
        raise ZoneFactsError
