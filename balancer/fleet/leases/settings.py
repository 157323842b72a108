"""Settings of leases, the bound on clock drift, and the electorate, a list of voters."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property

# A monotonic clock is assumed to drift by at most one part in this number.
CLOCK_DRIFT_DIVISOR = 100
ELECTORATE_DIGEST_BYTES = 6


@dataclass(frozen=True)
class LeaseSettings:
    """Settings of clients and voters; times in microseconds.

    Attributes:
        lease: Usual duration of a lease. Allowing for clock drift, voters grant slightly more and holders
            rely on slightly less.
        max_lease: Longest duration that any client of the fleet may request; a voter abstains for this long
            after its start.
        answer_timeout: How long a client waits for an answer before it asks the next voter or ends the round.
        jitter: Upper bound of the random delay after a lease has expired or been denied, so that clients do
            not all request it at once.
        backoff: Pause after the first failed round; it doubles with each further failed round.
        max_backoff: Upper bound of the pause after a failed round.
        recall_interval: Interval at which a restarted voter asks the others for their highest tokens.
        max_leases: Maximum number of leases that a voter tracks separately.
        retry_spacing: Time by which each further client that is denied a lease has to wait longer than the
            one before, so that the clients request it again one after another.
        store_retry_interval: Pause after a failure of the vote store before it is tried again.
        max_waiters: Maximum number of denied clients that are notified when a lease becomes available; also
            the number of early releases, those that arrived before their request, that a voter remembers for
            a lease.
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
    """Return for how long a holder relies on a lease, counted from the time of its request.

    On the holder's clock this time ends before any voter's grant expires, even if the holder's clock runs
    slow and the voter's clock runs fast.
    """
    return lease * (CLOCK_DRIFT_DIVISOR - 1) // (CLOCK_DRIFT_DIVISOR + 1) - 1


def granted_duration(lease: int) -> int:
    """Return for how long a grant lasts on the voter's clock, counted from the request's arrival."""
    return lease * (CLOCK_DRIFT_DIVISOR + 1) // CLOCK_DRIFT_DIVISOR + 1


@dataclass(frozen=True)
class Electorate:
    """A fixed list of voters, identified by their names."""

    voters: tuple[str, ...]

    @cached_property
    def digest(self) -> int:
        """Hash that identifies the list in each request, independent of its order."""
        text = "\n".join(sorted(self.voters)).encode()
        return int.from_bytes(hashlib.blake2b(text, digest_size=ELECTORATE_DIGEST_BYTES).digest(), "big")

    @property
    def majority(self) -> int:
        """Smallest number of voters that forms a majority."""
        return len(self.voters) // 2 + 1

    @property
    def recall_quorum(self) -> int:
        """Number of other voters that have to report their highest tokens to a restarted voter.

        So many other voters always include a member of each majority to which the restarted voter belonged.
        """
        return len(self.voters) - self.majority + 1

    def has_majority(self, granted_by: Iterable[str]) -> bool:
        """Return whether these voters are a majority of the electorate, including voters that are down."""
        return len(set(granted_by) & set(self.voters)) >= self.majority
