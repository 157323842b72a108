"""A virtual clock: a heap of events. Time stands still during an event and jumps to the next."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from workbench.model.clock import Handle

BUCKET_BITS = 16  # buckets of 65 ms, for calls that may turn out to be unnecessary

Call = Callable[[Any], None]


class HeapClock:
    """A `Clock`. An event is (time, number, call, argument), its handle the number.

    Time-outs rarely expire, and on the heap they would be most of it. They are kept in a bucket for each
    interval of time, and move to the heap when it begins, if they are still needed.

    Args:
        now: The time at which the clock starts, in microseconds.
    """

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.heap: list[tuple[int, int, Call, Any]] = []
        self.number = 0
        self.handled = 0
        self.cancelled: set[int] = set()
        self.buckets: dict[int, list[tuple[int, Call, Any, Callable[[Any], bool]]]] = {}

    def call_at(self, at: int, call: Call, arg: Any) -> Handle:
        """Schedules `call(arg)` at `at`, or now if that has passed; returns a handle to cancel it."""
        self.number = number = self.number + 1
        heappush(self.heap, (at if at > self.now else self.now, number, call, arg))
        return number

    def cancel(self, handle: Handle) -> None:
        """Cancels a call that has not been made yet."""
        self.cancelled.add(handle)

    def call_unless(self, at: int, call: Call, arg: Any, needless: Callable[[Any], bool]) -> None:
        """Schedules `call(arg)`, unless `needless(arg)` holds when the bucket of `at` is opened."""
        bucket = at >> BUCKET_BITS
        if bucket <= self.now >> BUCKET_BITS:
            self.call_at(at, call, arg)
            return
        waiting = self.buckets.get(bucket)
        if waiting is None:
            self.buckets[bucket] = waiting = []
            self.call_at(bucket << BUCKET_BITS, self.open_bucket, bucket)
        waiting.append((at, call, arg, needless))

    def open_bucket(self, bucket: int) -> None:
        """Moves the calls of a bucket that are still needed to the heap."""
        for at, call, arg, needless in self.buckets.pop(bucket):
            if not needless(arg):
                self.call_at(at, call, arg)

    def run(self, until: int) -> bool:
        """Handles all events up to `until`; returns False if none are left."""
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
