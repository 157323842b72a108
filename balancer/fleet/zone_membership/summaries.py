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
MAX_HOST_CHARACTERS = 45  # the longest spelling of an IPv6 address
MAX_GATEWAYS = 4  # of a zone, in a summary
MAX_FACTS = 8
MAX_FACT_KEY_CHARACTERS = 32
MAX_FACTS_BYTES = 256  # of all keys and values of a summary
MAX_ZONE_SIZE = 1_000_000  # members
FINGERPRINT_BYTES = 8


@dataclass(frozen=True)
class Gateway:
    """A member that exchanges summaries on behalf of its zone."""

    name: str
    address: Address


@dataclass(frozen=True)
class ZoneState:
    """What a gateway publishes about its zone.

    Attributes:
        zone: Name of the zone.
        region: Name of its region; may be empty.
        size: Number of members alive.
        digest: Hash over the names of the members alive.
        gateways: The gateways, in the order of preference.
        facts: Keys and values that components attach.
    """

    zone: str
    region: str
    size: int
    digest: int
    gateways: tuple[Gateway, ...]
    facts: tuple[tuple[str, str], ...] = ()

    def fingerprint(self) -> int:
        """Returns a hash of the state.

        A node that has a state with the same fingerprint needs its new version and age alone.
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
        origin: Name of the node that made the summary.
        incarnation: The origin's incarnation.
        counter: Number of the summary within this incarnation.
    """

    origin: str
    incarnation: int
    counter: int

    @property
    def order(self) -> tuple[int, int]:
        """The sort key among versions of one origin; the greater is the newer."""
        return self.incarnation, self.counter


@dataclass(frozen=True)
class Summary:
    """A zone's state, its version, and the microseconds since it was made."""

    state: ZoneState
    version: Version
    age: int


@dataclass(frozen=True)
class Refresh:
    """A newer version of a state that the receiver already has."""

    zone: str
    fingerprint: int
    version: Version
    age: int


@dataclass(frozen=True)
class Known:
    """Fingerprint and age of the summary that the sender of a query has of a zone."""

    zone: str
    fingerprint: int
    age: int


def check_facts(facts: Iterable[tuple[str, str]]) -> None:
    """Checks the facts of a summary against their bounds.

    Raises:
        ZoneFactsError: There are too many facts, or they are too long.
    """
    listed = list(facts)
    size = sum(len(key.encode()) + len(value.encode()) for key, value in listed)
    bad_key = any(not 0 < len(key) <= MAX_FACT_KEY_CHARACTERS for key, _ in listed)
    if len(listed) > MAX_FACTS or size > MAX_FACTS_BYTES or bad_key:
        raise ZoneFactsError
