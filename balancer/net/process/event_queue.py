"""The node's clock, and the queue of the events that the node passes to its policy."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from time import monotonic_ns, time_ns
from typing import Any

from balancer.net.process.log import Log

Event = Callable[..., None]


class EventQueue:
    """Delivers events to the policy in order, one at a time.

    An event that is posted while another one is being handled waits until the earlier one is done.

    Args:
        log: Receives a line for each event whose handler raised an exception.
        on_failed: Called with an event whose handler raised an exception, and its arguments without the time.
    """

    def __init__(self, log: Log, on_failed: Callable[[Event, tuple[Any, ...]], None]) -> None:
        self.log = log
        self.on_failed = on_failed
        self.origin = time_ns() - monotonic_ns()  # Unix time at zero of the monotonic clock, in nanoseconds.
        self.events: deque[tuple[Event, tuple[Any, ...]]] = deque()
        self.is_running = False

    def now(self) -> int:
        """Return the time in microseconds since the Unix epoch.

        The result is the Unix time at the start of the process plus the monotonic time since then, so it
        never goes back.
        """
        return (self.origin + monotonic_ns()) // 1000

    def post(self, event: Event, *args: Any) -> None:
        """Call `event(now, *args)`, now or after the events that are already queued."""
        self.events.append((event, args))
        if self.is_running:
            return
        self.is_running = True
        try:
            while self.events:
                event, args = self.events.popleft()
                try:
                    event(self.now(), *args)
                except Exception as error:  # A failed event must not affect other requests or stop the node.
                    self.log.line(f"{event.__name__}: {type(error).__name__}: {error}")
                    self.on_failed(event, args)
        finally:
            self.is_running = False
