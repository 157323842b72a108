"""Settings of leases, the bounds on clock drift, and the electorate."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property

CLOCK_DRIFT_DIVISOR = 100  # a monotonic clock is off by one part in so many at most
DIGEST_BYTES = 6


@dataclass(frozen=True)
class LeaseSettings:
    """Settings of clients and voters; times in microseconds.

    Attributes:
        lease: Duration of a lease as a voter grants it; a holder counts on somewhat less.
        max_lease: Longest duration that any client of the fleet requests; a voter abstains so long after its
            start.
        answer_timeout: How long a client waits for an answer before it turns to the next voter or ends the
            round.
        jitter: Bound of a random delay after a lease expired, so that not all clients request it at once.
        backoff: Pause after a failed round, doubled with each further one...
        max_backoff: ...up to this.
        recall_interval: Between two recalls of a voter that has restarted.
        max_leases: Leases that a voter keeps apart.
        retry_spacing: Between clients that are notified when to request again.
        store_retry_interval: Pause after the vote store failed.
        max_waiters: Denied clients that are notified when a lease becomes available.
    """

    lease: int = 3_000_000
    max_lease: int = 10_000_000
    answer_timeout: int = 300_000
    jitter: int = 200_000
    backoff: int = 50_000
    max_backoff: int = 1_600_000
    recall_interval: int = 500_000
    max_leases: int = 512
    retry_spacing: int = 1_000
    store_retry_interval: int = 500_000
    max_waiters: int = 8


def held_duration(lease: int) -> int:
    """How long a holder counts on a lease, from its request on.

    It is over by the holder's clock before any voter's grant is, though one clock runs slow and the other
    fast.
    """
    return lease * (CLOCK_DRIFT_DIVISOR - 1) // (CLOCK_DRIFT_DIVISOR + 1) - 1


def granted_duration(lease: int) -> int:
    """How long a voter's grant lasts on its own clock, from the request's arrival on."""
    return lease * (CLOCK_DRIFT_DIVISOR + 1) // CLOCK_DRIFT_DIVISOR + 1


@dataclass(frozen=True)
class Electorate:
    """A fixed list of voters, by name."""

    voters: tuple[str, ...]

    @cached_property
    def digest(self) -> int:
        """Identifies the list in each request, whatever its order."""
        text = "\n".join(sorted(self.voters)).encode()
        return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest(), "big")

    @property
    def majority(self) -> int:
        """The number of voters that are a majority."""
        return len(self.voters) // 2 + 1

    @property
    def recall_quorum(self) -> int:
        """So many other voters that one at least was in any majority that a voter without memory was in."""
        return len(self.voters) - self.majority + 1

    def has_majority(self, granted_by: Iterable[str]) -> bool:
        """Whether these are a majority of the complete list, whoever is alive."""
        return len(set(granted_by) & set(self.voters)) >= self.majority
