"""Clocks of a machine on a virtual clock: a monotonic clock that may drift, a wall clock that may step."""

from __future__ import annotations

from workbench.simulator.heap import HeapClock

# Unix time at 0 of the virtual clock.
START_UNIX_TIME_US = 1_700_000_000_000_000


class MachineClocks:
    """Both clocks of one machine, in microseconds; the virtual clock shows true time.

    Args:
        true_clock: The virtual clock.
        monotonic_start: Time of the monotonic clock at 0 of the virtual clock.
        rate: Rate of the monotonic clock relative to true time.

    Attributes:
        wall_offset: Error of the wall clock.
    """

    def __init__(self, true_clock: HeapClock, monotonic_start: int, rate: float = 1.0) -> None:
        self.true_clock = true_clock
        self.monotonic_start = monotonic_start
        self.rate = rate
        self.wall_offset = 0

    def monotonic(self) -> int:
        """Return the time of the monotonic clock, which steps do not affect."""
        return self.monotonic_start + int(self.true_clock.now * self.rate)

    def wall(self) -> int:
        """Return Unix time by the wall clock of this machine."""
        return START_UNIX_TIME_US + self.true_clock.now + self.wall_offset

    def step_wall(self, microseconds: int) -> None:
        """Step the wall clock forward, or back by a negative number."""
        self.wall_offset += microseconds

    def true_time(self, monotonic: int) -> int:
        """Return the first true time at which the monotonic clock has passed a time."""
        return int((monotonic - self.monotonic_start) / self.rate) + 1
