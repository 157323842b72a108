"""The clocks that a process of the fleet goes by."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from time import CLOCK_BOOTTIME, clock_gettime_ns, time_ns


class Clocks:
    """Monotonic and wall clock in microseconds. `offset_file`: a file with milliseconds to add to the wall
    clock, read at each look; labs alone have one."""

    def __init__(self, offset_file: str | None) -> None:
        self.offset_file = offset_file
        self.offset = 0  # microseconds
        self.started = self.now()
        self.started_wall = self.wall()

    def now(self) -> int:
        """A clock that goes on while the process or the machine is paused, read at the call: the event loop's
        own time stands still within a turn."""
        return clock_gettime_ns(CLOCK_BOOTTIME) // 1000

    def wall(self) -> int:
        """Unix time, which may step."""
        if self.offset_file is not None:
            with suppress(OSError, ValueError):
                self.offset = int(Path(self.offset_file).read_text()) * 1000
        return time_ns() // 1000 + self.offset

    def stamp(self) -> int:
        """Unix time at the start and the real time since then: what datagrams are stamped with and lives are
        numbered by. It does not step; two processes' may differ by any amount."""
        return self.started_wall + self.now() - self.started
