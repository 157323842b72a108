"""Queue for the work of a process that can be paused: work is deferred until the process resumes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable


class RunQueue:
    """Work of one process: run immediately, or deferred while the process is paused.

    Pauses may overlap; the process resumes when the last one ends.
    """

    def __init__(self) -> None:
        self._pauses = 0
        self._deferred: deque[Callable[[], None]] = deque()

    @property
    def is_paused(self) -> bool:
        """Whether work is deferred."""
        return self._pauses > 0

    def submit(self, work: Callable[[], None]) -> None:
        """Run some work now, or defer it until the process resumes."""
        if self.is_paused:
            self._deferred.append(work)
        else:
            work()

    def pause(self) -> None:
        """Begin a pause."""
        self._pauses += 1

    def resume(self) -> None:
        """End a pause, and run the deferred work if it was the last pause."""
        self._pauses -= 1
        while not self.is_paused and self._deferred:
            self._deferred.popleft()()

    def discard(self) -> None:
        """Drop the deferred work."""
        self._deferred.clear()
