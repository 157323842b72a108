"""A limit on the rate of events."""

from __future__ import annotations

MICROSECONDS_PER_SECOND = 1_000_000


class RateLimit:
    """A token bucket, implemented as a generic cell rate algorithm; times are integer microseconds.

    Args:
        per_second: Maximum long-term rate of events.
        burst: Maximum number of events at once.
    """

    def __init__(self, per_second: int, burst: int) -> None:
        self.interval = MICROSECONDS_PER_SECOND // per_second
        self.tolerance = self.interval * (burst - 1)
        # The time at which the next event would happen at an even rate.
        self.next_event_at: int | None = None

    def take(self, now: int) -> bool:
        """Return whether one more event may happen now, and count it if so."""
        event_at = now if self.next_event_at is None else max(self.next_event_at, now)
        if event_at - now > self.tolerance:
            return False
        self.next_event_at = event_at + self.interval
        return True
