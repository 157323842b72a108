"""The clocks of a machine on a virtual clock: a monotonic one that may drift, a wall clock that may step."""

from __future__ import annotations

from workbench.simulator.heap import HeapClock

EPOCH = 1_700_000_000_000_000  # Unix time, in microseconds, at the virtual clock's 0


class MachineClocks:
    """Both clocks of one machine, in microseconds; the virtual clock is true time.

    Args:
        true_clock: The virtual clock.
        monotonic_start: What the monotonic clock shows at the virtual clock's 0.
        rate: How fast the monotonic clock runs, 1 for true time.
    """

    def __init__(self, true_clock: HeapClock, monotonic_start: int, rate: float = 1.0) -> None:
        self.true_clock = true_clock
        self.monotonic_start = monotonic_start
        self.rate = rate
        self.wall_offset = 0  # how far the wall clock is off

    def monotonic(self) -> int:
        """Returns the time of the monotonic clock, which no step moves."""
        return self.monotonic_start + int(self.true_clock.now * self.rate)

    def wall(self) -> int:
        """Returns Unix time as this machine has it."""
        return EPOCH + self.true_clock.now + self.wall_offset

    def step_wall(self, microseconds: int) -> None:
        """Moves the wall clock."""
        self.wall_offset += microseconds

    def true_time(self, monotonic: int) -> int:
        """Returns the first true time at which the monotonic clock is past a time."""
        return int((monotonic - self.monotonic_start) / self.rate) + 1
