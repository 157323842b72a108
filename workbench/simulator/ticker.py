"""Batching: once per tick, one event of the clock lets all nodes handle what has arrived for them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from workbench.simulator.heap import HeapClock


class BatchHandler(Protocol):
    """A node that handles its events in batches."""

    def handle(self, now: int) -> None:
        """Handle the events that have arrived."""


class Tick:
    """The messages that are delivered at one tick and the nodes that have a batch to handle after that."""

    __slots__ = ("messages", "nodes")

    def __init__(self) -> None:
        self.messages: list[tuple[Callable[[Any], None], Any]] = []
        self.nodes: list[BatchHandler] = []


class Ticker:
    """Schedules one event per tick, whatever the number of messages and nodes.

    Args:
        clock: The virtual clock.
        tick: The interval between two ticks, in microseconds.

    Attributes:
        policy_time_ns: The time that the policies of all nodes have taken, in nanoseconds.
    """

    def __init__(self, clock: HeapClock, tick: int) -> None:
        self.clock = clock
        self.tick = tick
        self.ticks: dict[int, Tick] = {}
        self.last_flushed = -1
        self.policy_time_ns = 0

    def tick_at(self, at: int) -> Tick:
        """Return the first tick at or after a time that has not been handled yet."""
        at = -(-at // self.tick) * self.tick
        if at <= self.last_flushed:
            at = self.last_flushed + self.tick
        tick = self.ticks.get(at)
        if tick is None:
            self.ticks[at] = tick = Tick()
            self.clock.call_at(at, self.flush, at)
        return tick

    def flush(self, at: int) -> None:
        """Deliver the messages of a tick, then let its nodes handle their batches."""
        tick = self.ticks[at]
        for deliver, message in tick.messages:
            deliver(message)
        del self.ticks[at]
        self.last_flushed = at
        for node in tick.nodes:
            node.handle(at)
