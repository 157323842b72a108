"""The clocks that a process of the fleet uses."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from time import CLOCK_BOOTTIME, clock_gettime_ns, time_ns

NANOSECONDS_PER_MICROSECOND = 1000
MICROSECONDS_PER_MILLISECOND = 1000


class Clocks:
    """Monotonic and wall clock, in microseconds.

    Args:
        offset_file: A file with the milliseconds to add to the wall clock, read at each call of `wall`. Only
            labs that step the clock have one.
    """

    def __init__(self, offset_file: str | None) -> None:
        self.offset_file = offset_file
        self.offset = 0  # microseconds
        self.started = self.now()
        self.started_wall = self.wall()

    def now(self) -> int:
        """Returns the monotonic clock, which goes on while the process or the machine is suspended.

        It is read at each call, since the event loop's own time stands still within an iteration.
        """
        return clock_gettime_ns(CLOCK_BOOTTIME) // NANOSECONDS_PER_MICROSECOND

    def wall(self) -> int:
        """Returns Unix time, which may step."""
        if self.offset_file is not None:
            with suppress(OSError, ValueError):
                self.offset = int(Path(self.offset_file).read_text()) * MICROSECONDS_PER_MILLISECOND
        return time_ns() // NANOSECONDS_PER_MICROSECOND + self.offset

    def stamp(self) -> int:
        """Returns Unix time at the start plus the monotonic time since, which doesn't step.

        Datagrams are stamped with it, and incarnations begin with it. The stamps of two processes may differ
        by any amount.
        """
        return self.started_wall + self.now() - self.started
