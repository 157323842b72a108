"""What a node still begins after SIGTERM, since it is killed some seconds later."""

from __future__ import annotations

from time import monotonic

# A request that comes later than this after SIGTERM must be answered before the process is killed. The
# platform excuses those that come within 0.7 s; the rest allows for the time until the node knows of either.
LATE_AFTER_S = 0.5
# The least pace at which servers send and clients read a long response, in bytes a second.
MIN_RESPONSE_RATE = 64_000


class Shutdown:
    """The times of the node's shutdown, if it has begun.

    Attributes:
        began_at: The monotonic time at which it began, in seconds; None before that.
        last_response_at: The time by which the last response must be complete, in microseconds; None before.
    """

    def __init__(self) -> None:
        self.began_at: float | None = None
        self.last_response_at: int | None = None

    def begin(self, last_response_at: int) -> None:
        """Begin the shutdown.

        Args:
            last_response_at: The time by which the last response must be complete, in microseconds.
        """
        self.began_at = monotonic()
        self.last_response_at = last_response_at

    def limit(self, now: int, remaining: int) -> int:
        """Return the time until a request's deadline, limited by the end of the shutdown.

        Args:
            now: The current time, in microseconds.
            remaining: The time until the deadline that the client asks for, in microseconds.
        """
        if self.last_response_at is None:
            return remaining
        return min(remaining, max(0, self.last_response_at - now))

    def is_late(self, received_at: float) -> bool:
        """Return whether a request whose last byte came at this monotonic time, in seconds, came late."""
        return self.began_at is not None and received_at - self.began_at > LATE_AFTER_S

    def has_time_for(self, now: int, size: int | None) -> bool:
        """Return whether a response can be passed on completely at the least pace.

        Args:
            now: The current time, in microseconds.
            size: The bytes of its body; None if their number is not known.
        """
        if self.last_response_at is None:
            return True
        remaining_s = (self.last_response_at - now) / 1e6
        return size is not None and size <= MIN_RESPONSE_RATE * remaining_s
