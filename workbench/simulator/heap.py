"""A virtual clock with a heap of events: time jumps from event to event and stands still in between."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from workbench.model.clock import Handle

BUCKET_BITS = 16  # Buckets of 65 ms, for calls that may turn out to be unnecessary.

Callback = Callable[[Any], None]


class HeapClock:
    """A `Clock`. An event is a tuple (time, number, call, argument); its handle is the number.

    Time-outs rarely expire, but would make up most of the heap. They are kept in one bucket for each
    interval of time, and those that are still needed move to the heap when the interval begins.

    Args:
        now: The time at which the clock starts, in microseconds.
    """

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.heap: list[tuple[int, int, Callback, Any]] = []
        self.last_number = 0
        self.events_handled = 0
        self.cancelled: set[int] = set()
        self.buckets: dict[int, list[tuple[int, Callback, Any, Callable[[Any], bool]]]] = {}

    def call_at(self, at: int, call: Callback, arg: Any) -> Handle:
        """Schedule `call(arg)` at `at`, or now if that has passed; return a handle to cancel it."""
        self.last_number = number = self.last_number + 1
        heappush(self.heap, (at if at > self.now else self.now, number, call, arg))
        return number

    def cancel(self, handle: Handle) -> None:
        """Cancel a call that has not been made yet."""
        self.cancelled.add(handle)

    def call_unless(self, at: int, call: Callback, arg: Any, needless: Callable[[Any], bool]) -> None:
        """Schedule `call(arg)`, unless `needless(arg)` holds when the bucket of `at` is opened."""
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
        """Move the calls of a bucket that are still needed to the heap."""
        for at, call, arg, needless in self.buckets.pop(bucket):
            if not needless(arg):
                self.call_at(at, call, arg)

    def run(self, until: int) -> bool:
        """Handle all events up to `until`; return False if none are left."""
        heap = self.heap
        cancelled = self.cancelled
        number_before = self.last_number
        while heap and heap[0][0] <= until:
            at, number, call, arg = heappop(heap)
            if cancelled and number in cancelled:
                cancelled.discard(number)
                continue
            self.now = at
            call(arg)
        self.events_handled += self.last_number - number_before
        self.now = max(self.now, until)
        return bool(heap)
