"""Figures of the duties, and the electorate."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property

DRIFT = 100  # a monotonic clock is off by one part in so many at most


@dataclass(frozen=True)
class DutySettings:
    """Times in microseconds. `lease` is what a voter promises; a holder counts on somewhat less."""

    lease: int = 3_000_000
    longest: int = 10_000_000  # that a voter promises to anyone: it abstains so long after its start
    answer_within: int = 300_000  # of a question; then the next voter is asked, or the round is over
    jitter: int = 200_000  # after a lease ran out, so that not all ask at once
    backoff: int = 50_000  # after a round that failed, doubled each time...
    backoff_most: int = 1_600_000  # ...up to this
    recall_every: int = 500_000
    duties_most: int = 512  # that a voter keeps apart
    spacing: int = 1_000  # between askers that are told when to come again
    store_retry: int = 500_000  # after a disk that failed
    waiters_most: int = 8  # told when a duty is free


def counted(lease: int) -> int:
    """How long a holder believes, from its question: over by its own clock before any voter's promise is,
    though one clock runs slow and the other fast."""
    return lease * (DRIFT - 1) // (DRIFT + 1) - 1


def promised(lease: int) -> int:
    """How long a voter's promise lasts on its own clock, from the question's arrival."""
    return lease * (DRIFT + 1) // DRIFT + 1


@dataclass(frozen=True)
class Electorate:
    """A fixed list of voters. What tells two lists apart goes with each question."""

    voters: tuple[str, ...]

    @cached_property
    def digest(self) -> int:
        text = "\n".join(sorted(self.voters)).encode()
        return int.from_bytes(hashlib.blake2b(text, digest_size=6).digest(), "big")

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def recall(self) -> int:
        """Other voters of whom one at least was in any majority that a voter who forgot was in."""
        return len(self.voters) - self.majority + 1

    def agrees(self, granted: Iterable[str]) -> bool:
        """Whether these are a majority of the list, whoever is alive."""
        return len(set(granted) & set(self.voters)) >= self.majority
