"""Deadlines by name: the next one is found without a look at the others."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

SLACK = 64  # obsolete entries that the heap may hold beyond as many as are valid


class Deadlines:
    """At most one deadline for each name. A replaced or cancelled one stays in the heap until it comes to the
    top or obsolete entries outnumber the valid ones (lazy deletion)."""

    def __init__(self) -> None:
        self.at: dict[str, int] = {}
        self.heap: list[tuple[int, str]] = []

    def set(self, name: str, at: int) -> None:
        """Sets or replaces a name's deadline."""
        if self.at.get(name) == at:
            return
        self.at[name] = at
        heappush(self.heap, (at, name))
        if len(self.heap) > 2 * len(self.at) + SLACK:
            self.heap = [(at, name) for name, at in self.at.items()]
            heapify(self.heap)

    def cancel(self, name: str) -> None:
        """Removes a name's deadline, if it has one."""
        self.at.pop(name, None)

    def next(self) -> int | None:
        """The earliest deadline; None where there is none."""
        while self.heap:
            at, name = self.heap[0]
            if self.at.get(name) == at:
                return at
            heappop(self.heap)
        return None

    def pop_due(self, now: int) -> list[str]:
        """Removes the deadlines that have passed, and returns their names in order of time."""
        due: list[str] = []
        while (at := self.next()) is not None and at <= now:
            _, name = heappop(self.heap)
            del self.at[name]
            due.append(name)
        return due
