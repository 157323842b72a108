"""Nodes handle what has come in once a tick: one event of the clock for all of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from workbench.simulator.heap import HeapClock


class Batched(Protocol):
    """A node with a batch to handle."""

    def handle(self, now: int) -> None:
        """The batch's time has come."""


class Tick:
    """What is due at one tick: messages that have come to nodes by then, and nodes with a batch to handle."""

    __slots__ = ("messages", "nodes")

    def __init__(self) -> None:
        self.messages: list[tuple[Callable[[Any], None], Any]] = []
        self.nodes: list[Batched] = []


class Ticker:
    """One event a tick, whatever the number of messages that come to nodes and of nodes that handle them."""

    def __init__(self, clock: HeapClock, tick: int) -> None:
        self.clock = clock
        self.tick = tick
        self.due: dict[int, Tick] = {}
        self.done = -1
        self.module_ns = 0

    def tick_at(self, at: int) -> Tick:
        """The first tick at or after a time."""
        at = -(-at // self.tick) * self.tick
        if at <= self.done:
            at = self.done + self.tick
        tick = self.due.get(at)
        if tick is None:
            self.due[at] = tick = Tick()
            self.clock.call_at(at, self.flush, at)
        return tick

    def flush(self, at: int) -> None:
        tick = self.due[at]
        for take, message in tick.messages:
            take(message)
        del self.due[at]
        self.done = at
        for node in tick.nodes:
            node.handle(at)
