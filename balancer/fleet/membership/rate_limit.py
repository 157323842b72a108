"""A limit on the rate of events."""

from __future__ import annotations

SECOND_US = 1_000_000


class RateLimit:
    """A token bucket; times are integer microseconds.

    Args:
        per_second: Long-term rate.
        burst: Number of events that may happen at once.
    """

    def __init__(self, per_second: int, burst: int) -> None:
        self.interval = SECOND_US // per_second
        self.tolerance = self.interval * (burst - 1)
        self.next_at: int | None = None  # time of the next event at an even rate

    def take(self, now: int) -> bool:
        """Returns whether one more event may happen now, and if so counts it."""
        at = now if self.next_at is None else max(self.next_at, now)
        if at - now > self.tolerance:
            return False
        self.next_at = at + self.interval
        return True
