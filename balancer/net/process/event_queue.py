"""The node's clock, and the policy's events one after the other."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from time import monotonic_ns, time_ns
from typing import Any

from balancer.net.process.log import Log

Event = Callable[..., None]


class EventQueue:
    """Hands events to the policy in the order they came, none before the one before it has been handled.

    Args:
        log: gets a line for each event that raised an exception.
        on_failed: called with an event that raised and its arguments, without the time.
    """

    def __init__(self, log: Log, on_failed: Callable[[Event, tuple[Any, ...]], None]) -> None:
        self.log = log
        self.on_failed = on_failed
        self.origin = time_ns() - monotonic_ns()  # Unix time at the zero of the monotonic clock
        self.events: deque[tuple[Event, tuple[Any, ...]]] = deque()
        self.is_running = False

    def now(self) -> int:
        """Unix time at the start plus what has passed since, in microseconds: it never goes back."""
        return (self.origin + monotonic_ns()) // 1000

    def post(self, event: Event, *args: Any) -> None:
        """Calls `event(now, *args)`, after the event that is being handled, if any."""
        self.events.append((event, args))
        if self.is_running:
            return
        self.is_running = True
        try:
            while self.events:
                event, args = self.events.popleft()
                try:
                    event(self.now(), *args)
                except Exception as error:  # one event's failure must not end the node or other requests
                    self.log.line(f"{event.__name__}: {type(error).__name__}: {error}")
                    self.on_failed(event, args)
        finally:
            self.is_running = False
