"""A bound on how often something is done."""

from __future__ import annotations

SECOND = 1_000_000


class RateLimit:
    """A token bucket: `per_second` on the long run, `burst` at once. Time is integer microseconds."""

    def __init__(self, per_second: int, burst: int) -> None:
        self.interval = SECOND // per_second
        self.tolerance = self.interval * (burst - 1)
        self.next_at: int | None = None  # when the next one would come at an even pace

    def take(self, now: int) -> bool:
        """Whether one more may be done now; if so it is counted."""
        at = now if self.next_at is None else max(self.next_at, now)
        if at - now > self.tolerance:
            return False
        self.next_at = at + self.interval
        return True
