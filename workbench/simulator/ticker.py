"""Batches: nodes handle what has arrived once a tick, with one event of the clock for all of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from workbench.simulator.heap import HeapClock


class BatchHandler(Protocol):
    """A node that handles batches."""

    def handle(self, now: int) -> None:
        """Handles the events that have arrived."""


class Tick:
    """What is due at one tick: messages that arrive at nodes by then, and nodes with a batch to handle."""

    __slots__ = ("messages", "nodes")

    def __init__(self) -> None:
        self.messages: list[tuple[Callable[[Any], None], Any]] = []
        self.nodes: list[BatchHandler] = []


class Ticker:
    """Schedules one event a tick, whatever the number of messages and nodes.

    Args:
        clock: The virtual clock.
        tick: The microseconds between two ticks.
    """

    def __init__(self, clock: HeapClock, tick: int) -> None:
        self.clock = clock
        self.tick = tick
        self.ticks: dict[int, Tick] = {}
        self.last_flushed = -1
        self.policy_ns = 0

    def tick_at(self, at: int) -> Tick:
        """Returns the first tick at or after a time."""
        at = -(-at // self.tick) * self.tick
        if at <= self.last_flushed:
            at = self.last_flushed + self.tick
        tick = self.ticks.get(at)
        if tick is None:
            self.ticks[at] = tick = Tick()
            self.clock.call_at(at, self.flush, at)
        return tick

    def flush(self, at: int) -> None:
        """Delivers the messages of a tick, then lets its nodes handle their batches."""
        tick = self.ticks[at]
        for deliver, message in tick.messages:
            deliver(message)
        del self.ticks[at]
        self.last_flushed = at
        for node in tick.nodes:
            node.handle(at)
