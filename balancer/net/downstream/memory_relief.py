"""Which client connections give way when the bytes that are buffered for all of them exceed the limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.process.memory_budget import MemoryBudget
from balancer.net.process.traffic_events import GiveWayCause

# Stalled clients give way until this part of the limit is used, so that not each further read needs another
# one.
LOW_WATER_RATIO = 7 / 8


class GiveWayOrder(IntEnum):
    """The order in which connections give way: the greatest first."""

    # The client reads a response, which would be cut off.
    READING = 0
    # The client may have stopped reading its response.
    OVERDUE = 1
    # Only requests would be refused, which loses nothing.
    REQUESTING = 2
    # The client has stalled.
    STALLED = 3


class HoldingRank(NamedTuple):
    """The order in which connections give way: the greatest rank first.

    Attributes:
        order: What the client does.
        size: The bytes that are released if the connection gives way.
    """

    order: GiveWayOrder
    size: int

    def gives_way_to(self, size: int) -> bool:
        """Return whether the connection gives way to a complete request of `size` bytes.

        A stalled one does, and one that holds more than the request. A client that reads does not: the
        request can be refused instead.
        """
        if self.order == GiveWayOrder.STALLED:
            return True
        return self.order > GiveWayOrder.READING and self.size > size


def holding_rank(connection: ClientConnection, now: float) -> HoldingRank:
    """Return the connection's rank at the loop time `now`."""
    return HoldingRank(give_way_order(connection, now), connection.reclaimable_bytes())


def give_way_order(connection: ClientConnection, now: float) -> GiveWayOrder:
    """Return what the connection's client does at the loop time `now`."""
    if connection.is_stalled(now):
        return GiveWayOrder.STALLED
    if not connection.write_blocked:
        return GiveWayOrder.REQUESTING
    is_overdue = connection.overdue_since(now) is not None
    return GiveWayOrder.OVERDUE if is_overdue else GiveWayOrder.READING


class MemoryRelief:
    """Makes the connections that hold the most give way while buffered bytes exceed the limit.

    Complete requests that were passed to the policy are never among them, so a client whose request is
    complete gets its response. Clients that make progress give way only after those that have stalled, and
    those that read a response last of all.

    Args:
        loop: The event loop.
        budget: The limit.
        connections: All client connections.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, budget: MemoryBudget, connections: set[ClientConnection]
    ) -> None:
        self.loop = loop
        self.budget = budget
        self.connections = connections
        self.is_scheduled = False

    def schedule(self) -> None:
        """Relieve the budget in the event loop's next iteration, if it is exceeded."""
        if self.budget.can_reserve(0) or self.is_scheduled:
            return
        self.is_scheduled = True
        self.loop.call_soon(self.run_scheduled)

    def run_scheduled(self) -> None:
        """Relieve the budget."""
        self.is_scheduled = False
        self.relieve()

    def relieve(self) -> None:
        """Let connections give way if the limit is exceeded."""
        if not self.budget.can_reserve(0):
            self.release(self.budget.max_held_bytes, lambda rank: rank.size > 0)

    def make_room(self, size: int) -> bool:
        """Let connections give way for a complete request of `size` bytes.

        Returns:
            Whether the request fits the limit.
        """
        if not self.budget.can_reserve(size):
            self.release(self.budget.max_held_bytes - size, lambda rank: rank.gives_way_to(size))
        return self.budget.can_reserve(size)

    def release(self, target_bytes: int, gives_way: Callable[[HoldingRank], bool]) -> None:
        """Let connections with a rank that `gives_way` accepts give way until `target_bytes` are buffered.

        Those that have stalled give way until `LOW_WATER_RATIO` of that are.
        """
        now = self.loop.time()
        ranked = [
            (holding_rank(connection, now), connection.number, connection) for connection in self.connections
        ]
        for rank, _, connection in sorted(ranked, reverse=True):
            has_stalled = rank.order == GiveWayOrder.STALLED
            enough_bytes = int(LOW_WATER_RATIO * target_bytes) if has_stalled else target_bytes
            if self.budget.held_bytes <= enough_bytes:
                return
            if rank.size > 0 and gives_way(rank):
                connection.give_way(GiveWayCause.MEMORY)
