"""The model's clock in real time: a heap of events that an event loop handles when they are due.

While an event is handled, the clock shows the time at which the event was due, as the virtual clock does. The
model's results therefore do not depend on how late the machine was. The lateness itself is recorded.
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
    """A `Clock` on an event loop. Code that handles input from a socket calls `catch_up` first.

    Args:
        loop: The event loop that runs the timer of the next event.
        now: The start time of the clock in microseconds.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, now: int) -> None:
        super().__init__(now)
        self.loop = loop
        self.origin_s = monotonic() - now / 1e6
        self.timer_due_at = NOT_SCHEDULED
        self.timer: asyncio.TimerHandle | None = None
        self.running = False
        self.max_lateness_us = 0
        self.stopped = False
        self.sample_lateness(monotonic())

    def stop(self) -> None:
        """Stop handling events."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()

    def real_time(self) -> int:
        """Return the current real time on this clock's scale, in microseconds."""
        return int((monotonic() - self.origin_s) * 1e6)

    def call_at(self, at: int, call: Callback, arg: Any) -> Handle:
        """Schedule `call(arg)` at `at`, or immediately if that has passed; return a handle to cancel it."""
        handle = super().call_at(at, call, arg)
        if not self.running and (self.timer_due_at < 0 or self.heap[0][0] < self.timer_due_at):
            self.schedule()
        return handle

    def schedule(self) -> None:
        """Set the event loop's timer for the next event."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.timer_due_at = NOT_SCHEDULED
        if self.heap and not self.stopped:
            self.timer_due_at = self.heap[0][0]
            delay = max(0, self.timer_due_at - self.real_time()) / 1e6
            self.timer = self.loop.call_later(delay, self.on_timer)

    def on_timer(self) -> None:
        """Handle the events that are due, and set the timer again if it fired early."""
        self.timer_due_at = NOT_SCHEDULED
        self.catch_up()

    def catch_up(self) -> int:
        """Handle all events that are due and return the clock's time in microseconds."""
        if self.running or self.stopped:
            return self.now
        real_time = self.real_time()
        if self.heap:
            self.max_lateness_us = max(self.max_lateness_us, real_time - self.heap[0][0])
        self.running = True
        try:
            self.run(max(real_time, self.now))
        finally:
            self.running = False
        if self.timer_due_at < 0 or not self.heap or self.heap[0][0] != self.timer_due_at:
            self.schedule()
        return self.now

    def sample_lateness(self, due_s: float) -> None:
        """Record how late a periodic timer fires, so that lateness is also noticed without events."""
        if not self.stopped:
            self.max_lateness_us = max(self.max_lateness_us, int((monotonic() - due_s) * 1e6))
            next_due_s = monotonic() + LATENESS_SAMPLE_INTERVAL_S
            self.loop.call_later(LATENESS_SAMPLE_INTERVAL_S, self.sample_lateness, next_due_s)

    def take_max_lateness(self) -> int:
        """Return the maximum lateness since the previous call in microseconds, and reset it."""
        lateness, self.max_lateness_us = self.max_lateness_us, 0
        return lateness
