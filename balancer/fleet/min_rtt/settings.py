"""Durations and limits of minRTT recalculations in a fleet."""

from __future__ import annotations

from dataclasses import dataclass
from math import floor


@dataclass(frozen=True)
class MinRttSettings:
    """Settings of minRTT recalculations; times in microseconds.

    Attributes:
        max_share: Share of the tier's nodes that may recalculate simultaneously; at least one node may.
        max_wait: Time after which a node that has not acquired a slot, the lease that permits it to
            recalculate, does so without one.
        wait_jitter: Share of `max_wait` by which the wait is extended at most, at random, so that waiting
            nodes do not all start simultaneously.
        slot_wait: Time for which a node waits for a slot before it requests the next one.
        due_timeout: Time without a query by the policy after which a recalculation is no longer due.
        max_duration: Time after which the slot of a recalculation is released. A recalculation that gets no
            requests does not end by itself.
    """

    max_share: float
    max_wait: int = 30_000_000
    wait_jitter: float = 0.5
    slot_wait: int = 400_000
    due_timeout: int = 2_000_000
    max_duration: int = 10_000_000

    def count_slots(self, instances: int) -> int:
        """Return how many nodes of a tier with `instances` nodes may recalculate simultaneously."""
        return max(1, floor(self.max_share * instances))
