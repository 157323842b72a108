"""A clock that is a heap of events: time stands still while one is handled and jumps to the next."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from workbench.model.clock import Handle

GRAIN_BITS = 16  # calls that may turn out needless are looked at once, by grains of 65 ms

Call = Callable[[Any], None]


class HeapClock:
    """A `Clock`. An event is (time, number, call, argument), its handle the number.

    Time-outs seldom happen: kept on the heap they would be most of it. They lie in a list for each grain of
    time and come to the heap when their grain begins, if they are needed still.
    """

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.heap: list[tuple[int, int, Call, Any]] = []
        self.number = 0
        self.handled = 0
        self.cancelled: set[int] = set()
        self.grains: dict[int, list[tuple[int, Call, Any, Callable[[Any], bool]]]] = {}

    def call_at(self, at: int, call: Call, arg: Any) -> Handle:
        self.number = number = self.number + 1
        heappush(self.heap, (at if at > self.now else self.now, number, call, arg))
        return number

    def cancel(self, handle: Handle) -> None:
        self.cancelled.add(handle)

    def call_unless(self, at: int, call: Call, arg: Any, needless: Callable[[Any], bool]) -> None:
        grain = at >> GRAIN_BITS
        if grain <= self.now >> GRAIN_BITS:
            self.call_at(at, call, arg)
            return
        waiting = self.grains.get(grain)
        if waiting is None:
            self.grains[grain] = waiting = []
            self.call_at(grain << GRAIN_BITS, self.begin_grain, grain)
        waiting.append((at, call, arg, needless))

    def begin_grain(self, grain: int) -> None:
        for at, call, arg, needless in self.grains.pop(grain):
            if not needless(arg):
                self.call_at(at, call, arg)

    def run(self, until: int) -> bool:
        """Handles all events up to `until`; False if none are left."""
        heap = self.heap
        cancelled = self.cancelled
        before = self.number
        while heap and heap[0][0] <= until:
            at, number, call, arg = heappop(heap)
            if cancelled and number in cancelled:
                cancelled.discard(number)
                continue
            self.now = at
            call(arg)
        self.handled += self.number - before
        self.now = max(self.now, until)
        return bool(heap)
