"""Stretches of time in which the machine had a core for each of some processes."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass

from workbench.scale.loopback import usage


@dataclass(frozen=True)
class Stretch:
    """Monotonic nanoseconds; `quiet`: no process waited for a core for longer than is allowed."""

    begun: int
    ended: int
    quiet: bool


class QuietWatch:
    """Looks at how long each process waited for a core, by the kernel's accounts, stretch by stretch.

    Judging by these waits, and not by the latencies that are measured, keeps slow requests in if it was the
    node that was slow.
    """

    def __init__(self, pids: Sequence[int], now: int, length_ns: int, allowed_ns: int) -> None:
        self.pids = pids
        self.length = length_ns
        self.allowed = allowed_ns
        self.begun = now
        self.waits = self.read()
        self.stretches: list[Stretch] = []

    def read(self) -> list[int]:
        return [usage(pid).run_queue_ns for pid in self.pids]

    def look(self, now: int) -> None:
        """Ends the stretch once it is long enough."""
        if now >= self.begun + self.length:
            self.end(now)

    def end(self, now: int) -> None:
        """Ends the stretch and begins the next."""
        waits = self.read()
        longest = max(after - before for after, before in zip(waits, self.waits, strict=True))
        self.stretches.append(Stretch(self.begun, now, longest <= self.allowed))
        self.begun, self.waits = now, waits

    def quiet(self, begun: int, ended: int) -> bool:
        """Whether all that lies between two times was quiet."""
        at = max(0, bisect_right(self.stretches, begun, key=lambda s: s.begun) - 1)
        while at < len(self.stretches) and self.stretches[at].begun <= ended:
            if not self.stretches[at].quiet:
                return False
            at += 1
        return bool(self.stretches) and ended <= self.stretches[-1].ended
