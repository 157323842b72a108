"""The model's clock in real time: a heap of events that an event loop handles as they fall due.

While an event is handled the clock stands at the time it was due, as on the virtual clock, so what the model
computes does not depend on how late the machine was. The lateness itself is recorded.
"""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import Any

from workbench.model.clock import Handle
from workbench.simulator.heap import Callback, HeapClock

LATENESS_SAMPLE_INTERVAL_S = 0.005
NOT_SCHEDULED = -1


class RealTimeClock(HeapClock):
    """A `Clock` on an event loop. Whatever comes from a socket calls `catch_up` first.

    Args:
        loop: Runs the timer of the next event.
        now: The time at which the clock starts, in microseconds.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, now: int) -> None:
        super().__init__(now)
        self.loop = loop
        self.origin = monotonic() - now / 1e6
        self.scheduled_for = NOT_SCHEDULED
        self.timer: asyncio.TimerHandle | None = None
        self.running = False
        self.max_lateness = 0  # microseconds, since `take_max_lateness`
        self.stopped = False
        self.sample_lateness(monotonic())

    def stop(self) -> None:
        """Handles no event any more."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()

    def real(self) -> int:
        """Returns the machine's present time on this clock, in microseconds."""
        return int((monotonic() - self.origin) * 1e6)

    def call_at(self, at: int, call: Callback, arg: Any) -> Handle:
        """Calls `call(arg)` at `at`, or at once when that is past."""
        handle = super().call_at(at, call, arg)
        if not self.running and (self.scheduled_for < 0 or self.heap[0][0] < self.scheduled_for):
            self.schedule()
        return handle

    def schedule(self) -> None:
        """Sets the timer for the next event."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.scheduled_for = NOT_SCHEDULED
        if self.heap and not self.stopped:
            self.scheduled_for = self.heap[0][0]
            delay = max(0, self.scheduled_for - self.real()) / 1e6
            self.timer = self.loop.call_later(delay, self.on_timer)

    def on_timer(self) -> None:
        """Handles what is due; a timer that fired early is set again."""
        self.scheduled_for = NOT_SCHEDULED
        self.catch_up()

    def catch_up(self) -> int:
        """Handles all events that are due by now, and returns the time."""
        if self.running or self.stopped:
            return self.now
        real = self.real()
        if self.heap:
            self.max_lateness = max(self.max_lateness, real - self.heap[0][0])
        self.running = True
        try:
            self.run(max(real, self.now))
        finally:
            self.running = False
        if self.scheduled_for < 0 or not self.heap or self.heap[0][0] != self.scheduled_for:
            self.schedule()
        return self.now

    def sample_lateness(self, due: float) -> None:
        """Records how late the loop itself is, also while there are no events."""
        if not self.stopped:
            self.max_lateness = max(self.max_lateness, int((monotonic() - due) * 1e6))
            next_due = monotonic() + LATENESS_SAMPLE_INTERVAL_S
            self.loop.call_later(LATENESS_SAMPLE_INTERVAL_S, self.sample_lateness, next_due)

    def take_max_lateness(self) -> int:
        """Returns the greatest lateness since the last call, in microseconds, and resets it."""
        lateness, self.max_lateness = self.max_lateness, 0
        return lateness
