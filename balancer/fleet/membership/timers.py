"""Deadlines by name, in a heap."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

MAX_EXCESS_OBSOLETE = 64  # obsolete heap entries beyond the number of valid ones


class Deadlines:
    """A set of deadlines, at most one for each name.

    Deletion is lazy: a replaced or cancelled entry stays in the heap until it reaches the top, or until the
    obsolete entries outnumber the valid ones.
    """

    def __init__(self) -> None:
        self.at: dict[str, int] = {}
        self.heap: list[tuple[int, str]] = []

    def set(self, name: str, at: int) -> None:
        """Sets or replaces a name's deadline."""
        if self.at.get(name) == at:
            return
        self.at[name] = at
        heappush(self.heap, (at, name))
        if len(self.heap) > 2 * len(self.at) + MAX_EXCESS_OBSOLETE:
            self.heap = [(at, name) for name, at in self.at.items()]
            heapify(self.heap)

    def cancel(self, name: str) -> None:
        """Removes a name's deadline, if it has one."""
        self.at.pop(name, None)

    def next(self) -> int | None:
        """Returns the earliest deadline; None if there is none."""
        while self.heap:
            at, name = self.heap[0]
            if self.at.get(name) == at:
                return at
            heappop(self.heap)
        return None

    def pop_due(self, now: int) -> list[str]:
        """Removes the deadlines that have passed and returns their names in chronological order."""
        due: list[str] = []
        while (at := self.next()) is not None and at <= now:
            _, name = heappop(self.heap)
            del self.at[name]
            due.append(name)
        return due
