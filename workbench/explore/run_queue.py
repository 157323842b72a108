"""A process that can be paused: what it has to do meanwhile is deferred until it resumes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable


class RunQueue:
    """The work of one process: done at once, or deferred while the process is paused.

    Pauses may overlap; the process runs again when the last one has ended.
    """

    def __init__(self) -> None:
        self._pauses = 0
        self._deferred: deque[Callable[[], None]] = deque()

    @property
    def is_paused(self) -> bool:
        """Whether work is deferred."""
        return self._pauses > 0

    def submit(self, work: Callable[[], None]) -> None:
        """Does some work now, or once the process runs again."""
        if self.is_paused:
            self._deferred.append(work)
        else:
            work()

    def pause(self) -> None:
        """Begins a pause."""
        self._pauses += 1

    def resume(self) -> None:
        """Ends a pause; does the deferred work if it was the last one."""
        self._pauses -= 1
        while not self.is_paused and self._deferred:
            self._deferred.popleft()()

    def discard(self) -> None:
        """Drops the deferred work."""
        self._deferred.clear()
