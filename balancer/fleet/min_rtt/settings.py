"""Time spans and limits of minRTT recalculations in a fleet."""

from __future__ import annotations

from dataclasses import dataclass
from math import floor


@dataclass(frozen=True)
class MinRttSettings:
    """Times in microseconds.

    Attributes:
        max_share: Share of the tier's nodes that may recalculate at once; at least one node may.
        max_wait: A node that has got no slot recalculates without one after this time...
        wait_jitter: ...prolonged by up to this share, so that nodes which wait do not all begin at once.
        slot_wait: How long a node waits for a slot before it requests the next one.
        due_timeout: A recalculation that the policy has not asked for in this time is not due any more.
        max_duration: A recalculation without requests does not end: its slot is released after this time.
    """

    max_share: float
    max_wait: int = 30_000_000
    wait_jitter: float = 0.5
    slot_wait: int = 400_000
    due_timeout: int = 2_000_000
    max_duration: int = 10_000_000

    def slots(self, instances: int) -> int:
        """Number of slots of a tier with so many nodes."""
        return max(1, floor(self.max_share * instances))
