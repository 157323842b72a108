"""The load that a server has received within a sliding window of time."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class ReceivedWork(NamedTuple):
    """The work of one attempt, and whether the sending node had been notified of the server's last start."""

    at: int
    work: float
    notified: bool


class RecentLoad:
    """Sums of the work received within the window, in total and from nodes notified of the server's start."""

    __slots__ = ("notified_work", "received", "work")

    def __init__(self) -> None:
        self.received: deque[ReceivedWork] = deque()
        self.work = 0.0
        self.notified_work = 0.0

    def add(self, received: ReceivedWork, window: int) -> None:
        """Add an attempt's work and remove work that arrived more than `window` microseconds earlier."""
        self.received.append(received)
        self.work += received.work
        self.notified_work += received.work * received.notified
        while self.received[0].at < received.at - window:
            expired = self.received.popleft()
            self.work -= expired.work
            self.notified_work -= expired.work * expired.notified

    def clear(self) -> None:
        """Remove all received work from the window."""
        self.received.clear()
        self.work = 0.0
        self.notified_work = 0.0
