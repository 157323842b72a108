"""Deadlines of members, by the member's name, in a heap."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

# Number by which the obsolete entries of a heap may exceed the valid ones before the heap is rebuilt.
MAX_EXCESS_OBSOLETE_ENTRIES = 64


class Deadlines:
    """A set of deadlines, at most one for each name.

    Deletion is lazy: a replaced or cancelled entry stays in the heap until it reaches the top, or until the
    obsolete entries outnumber the valid ones by more than `MAX_EXCESS_OBSOLETE_ENTRIES`.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, int] = {}
        self.heap: list[tuple[int, str]] = []

    def set(self, name: str, deadline: int) -> None:
        """Set or replace the deadline of a name."""
        if self.by_name.get(name) == deadline:
            return
        self.by_name[name] = deadline
        heappush(self.heap, (deadline, name))
        if len(self.heap) > 2 * len(self.by_name) + MAX_EXCESS_OBSOLETE_ENTRIES:
            self.heap = [(deadline, name) for name, deadline in self.by_name.items()]
            heapify(self.heap)

    def cancel(self, name: str) -> None:
        """Remove the deadline of a name, if it has one."""
        self.by_name.pop(name, None)

    def next(self) -> int | None:
        """Return the earliest deadline; None if there is none."""
        while self.heap:
            deadline, name = self.heap[0]
            if self.by_name.get(name) == deadline:
                return deadline
            heappop(self.heap)
        return None

    def pop_due(self, now: int) -> list[str]:
        """Remove the deadlines that have passed, and return their names in chronological order."""
        due: list[str] = []
        while (deadline := self.next()) is not None and deadline <= now:
            _, name = heappop(self.heap)
            del self.by_name[name]
            due.append(name)
        return due
