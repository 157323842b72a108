"""The world's clock in real time: a heap of events that an event loop works off as they fall due.

While an event is handled the clock stands at the time it was due, as on the virtual clock, so what the world
works out does not depend on how late the machine was; how late it was is counted.
"""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import Any

from workbench.model.clock import Handle
from workbench.simulator.heap import Call, HeapClock

LOOK = 0.005  # seconds between two looks at the machine's own lateness


class LiveClock(HeapClock):
    """A `Clock` on an event loop, which starts at `now`. What comes from a socket calls `catch_up` first."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: int) -> None:
        super().__init__(now)
        self.loop = loop
        self.origin = monotonic() - now / 1e6
        self.armed_for = -1
        self.timer: asyncio.TimerHandle | None = None
        self.running = False
        self.late = 0  # microseconds that an event came late, at most since `take_late`
        self.stopped = False
        self.look(monotonic())

    def stop(self) -> None:
        """No event is handled any more."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()

    def real(self) -> int:
        """Microseconds on this clock as the machine has them now."""
        return int((monotonic() - self.origin) * 1e6)

    def call_at(self, at: int, call: Call, arg: Any) -> Handle:
        handle = super().call_at(at, call, arg)
        if not self.running and (self.armed_for < 0 or self.heap[0][0] < self.armed_for):
            self.arm()
        return handle

    def arm(self) -> None:
        """Sees to it that the next event is met."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.armed_for = -1
        if self.heap and not self.stopped:
            self.armed_for = self.heap[0][0]
            self.timer = self.loop.call_later(max(0, self.armed_for - self.real()) / 1e6, self.due)

    def due(self) -> None:
        """The timer went off, perhaps somewhat early: then it is set again."""
        self.armed_for = -1
        self.catch_up()

    def catch_up(self) -> int:
        """Handles what is due by now, and gives the time."""
        if self.running or self.stopped:
            return self.now
        real = self.real()
        if self.heap:
            self.late = max(self.late, real - self.heap[0][0])
        self.running = True
        try:
            self.run(max(real, self.now))
        finally:
            self.running = False
        if self.armed_for < 0 or not self.heap or self.heap[0][0] != self.armed_for:
            self.arm()
        return self.now

    def look(self, due: float) -> None:
        """Sees the loop's own lateness, also while the world has nothing to do."""
        if not self.stopped:
            self.late = max(self.late, int((monotonic() - due) * 1e6))
            self.loop.call_later(LOOK, self.look, monotonic() + LOOK)

    def take_late(self) -> int:
        """The greatest lateness since the last call, in microseconds."""
        late, self.late = self.late, 0
        return late
