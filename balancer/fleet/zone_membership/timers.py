"""Sequence numbers and random variation of intervals, used by queries and exchanges of summaries."""

from __future__ import annotations

from random import Random

# Number of bits of the first sequence number, which is random.
SEQUENCE_BITS = 24
MIN_JITTER_FACTOR = 0.9
JITTER_FACTOR_RANGE = 0.2


class SequenceNumbers:
    """Sequence numbers of requests, which start at a random number.

    Responses to requests that this node sent before a restart therefore match no later request.
    """

    def __init__(self, rng: Random) -> None:
        self.latest = rng.getrandbits(SEQUENCE_BITS)

    def advance(self) -> int:
        """Advance to the next sequence number and return it."""
        self.latest += 1
        return self.latest


def add_jitter(interval: int, rng: Random) -> int:
    """Return an interval that is randomly shortened or lengthened by up to a tenth."""
    return int(interval * (MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * rng.random()))
