"""Detection of intervals in which no measured process had to wait for a core."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass

from workbench.scale.loopback import process_usage


@dataclass(frozen=True)
class Interval:
    """An interval in monotonic nanoseconds; quiet if no process waited for a core longer than allowed."""

    started: int
    ended: int
    is_quiet: bool


class RunQueueMonitor:
    """A monitor of the time that each process waited for a core, as the kernel accounts it, by interval.

    Intervals are judged by these waits and not by the measured latencies, so that requests that were slow
    because of the node still count.
    """

    def __init__(self, pids: Sequence[int], now: int, length_ns: int, max_wait_ns: int) -> None:
        self.pids = pids
        self.length_ns = length_ns
        self.max_wait_ns = max_wait_ns
        self.started = now
        self.waits = self.read_waits()
        self.intervals: list[Interval] = []

    def read_waits(self) -> list[int]:
        """Return the nanoseconds that each process has waited for a core so far."""
        return [process_usage(pid).run_queue_ns for pid in self.pids]

    def update(self, now: int) -> None:
        """End the current interval if it is long enough."""
        if now >= self.started + self.length_ns:
            self.end_interval(now)

    def end_interval(self, now: int) -> None:
        """End the current interval and start the next."""
        waits = self.read_waits()
        longest = max(after - before for after, before in zip(waits, self.waits, strict=True))
        self.intervals.append(Interval(self.started, now, longest <= self.max_wait_ns))
        self.started, self.waits = now, waits

    def is_quiet(self, started: int, ended: int) -> bool:
        """Return whether every interval between two times was quiet and has ended."""
        index = max(0, bisect_right(self.intervals, started, key=lambda s: s.started) - 1)
        while index < len(self.intervals) and self.intervals[index].started <= ended:
            if not self.intervals[index].is_quiet:
                return False
            index += 1
        return bool(self.intervals) and ended <= self.intervals[-1].ended
