"""Monotonic and wall clocks of a fleet process."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from time import CLOCK_BOOTTIME, clock_gettime_ns, time_ns

NANOSECONDS_PER_MICROSECOND = 1000
MICROSECONDS_PER_MILLISECOND = 1000


class Clocks:
    """The monotonic clock and the wall clock of a process, in microseconds.

    Args:
        wall_offset_file: Path of a file with the milliseconds to add to the wall clock, read at each call of
            `wall`. Only lab runs that test steps of the wall clock use such a file; otherwise None.
    """

    def __init__(self, wall_offset_file: str | None) -> None:
        self.wall_offset_file = wall_offset_file
        self.wall_offset_us = 0
        self.started_at = self.now()
        self.started_at_wall = self.wall()

    def now(self) -> int:
        """Return the monotonic clock, which also advances while the process or the machine is suspended.

        The clock is read at each call, since the event loop caches its own time for the whole iteration.
        """
        return clock_gettime_ns(CLOCK_BOOTTIME) // NANOSECONDS_PER_MICROSECOND

    def wall(self) -> int:
        """Return Unix time, which steps when the system clock is set."""
        if self.wall_offset_file is not None:
            with suppress(OSError, ValueError):
                self.wall_offset_us = (
                    int(Path(self.wall_offset_file).read_text()) * MICROSECONDS_PER_MILLISECOND
                )
        return time_ns() // NANOSECONDS_PER_MICROSECOND + self.wall_offset_us

    def stamp(self) -> int:
        """Return the process's start in Unix time plus the monotonic time since then, which never steps.

        Each datagram carries this time of its sender, and it is a process's initial incarnation number. The
        stamps of two processes may differ by any amount.
        """
        return self.started_at_wall + self.now() - self.started_at
