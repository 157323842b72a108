"""Sequence numbers and jitter that the parts of the protocol share."""

from __future__ import annotations

from random import Random

SEQUENCE_BITS = 24  # of the first sequence number
MIN_JITTER = 0.9
JITTER_RANGE = 0.2


class SequenceNumbers:
    """Counts up from a random number, so that responses to an earlier incarnation match no request."""

    def __init__(self, rng: Random) -> None:
        self.latest = rng.getrandbits(SEQUENCE_BITS)

    def advance(self) -> int:
        """Returns the next number."""
        self.latest += 1
        return self.latest


def jittered(interval: int, rng: Random) -> int:
    """Returns an interval that is up to a tenth shorter or longer."""
    return int(interval * (MIN_JITTER + JITTER_RANGE * rng.random()))
