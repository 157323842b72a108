"""The load that a server has received in a window of time."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class ReceivedWork(NamedTuple):
    """The work of one attempt, and whether its node was notified of the server's last start."""

    at: int
    work: float
    notified: bool


class RecentLoad:
    """Sums of the work received in the last window: all of it, and the part from notified nodes."""

    __slots__ = ("notified_work", "received", "work")

    def __init__(self) -> None:
        self.received: deque[ReceivedWork] = deque()
        self.work = 0.0
        self.notified_work = 0.0

    def add(self, received: ReceivedWork, window: int) -> None:
        """Adds an attempt's work and removes what arrived more than `window` microseconds before it."""
        self.received.append(received)
        self.work += received.work
        self.notified_work += received.work * received.notified
        while self.received[0].at < received.at - window:
            old = self.received.popleft()
            self.work -= old.work
            self.notified_work -= old.work * old.notified

    def clear(self) -> None:
        """Forgets everything."""
        self.received.clear()
        self.work = 0.0
        self.notified_work = 0.0
