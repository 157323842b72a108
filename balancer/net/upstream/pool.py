"""The pool of connections to servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.memory_budget import MemoryBudget
from balancer.net.upstream.connection import Connection, Endpoint

IDLE_MARGIN_S = 0.3  # before the server would close an idle connection
MIN_REST_S = 0.02  # that a connection better rests after a response: a second one may be on its way
UNUSED_AFTER_S = 1.0  # after which an idle connection gives way to a client that is writing
SWEEP_INTERVAL_S = 0.5  # between two sweeps of idle connections


class ConnectionPool:
    """All connections to servers, within a budget of descriptors.

    Args:
        loop: the event loop.
        descriptor_budget: bounds the connections.
        connect_timeout: in seconds.
        idle_time: seconds after which servers close an idle connection.
        memory_budget: bounds what is buffered of responses.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptor_budget: DescriptorBudget,
        connect_timeout: float,
        idle_time: float,
        memory_budget: MemoryBudget,
    ) -> None:
        self.loop = loop
        self.descriptor_budget = descriptor_budget
        self.free_client: Callable[[], bool] = lambda: False  # closes a client connection without a request
        self.memory_budget = memory_budget
        self.connect_timeout = connect_timeout
        self.idle_time = max(idle_time - IDLE_MARGIN_S, idle_time / 2)
        self.opened_count = 0  # connections, since the start
        self.endpoints: dict[int, Endpoint] = {}
        self.sweep_scheduled = False

    def acquire(self, endpoint: Endpoint) -> Connection | None:
        """The most recently used idle connection that is still good and has rested, or the most rested.

        Failure prevented: a server answers twice, the second time some milliseconds late, and the connection
        that has just been given back carries another request by then, to which that response is attributed.
        """
        now = self.loop.time()
        idle = endpoint.idle
        while idle:
            rested = sum(now - c.idle_since >= MIN_REST_S for c in idle)  # the first ones: they came first
            connection = idle.pop(max(0, rested - 1))
            if now - connection.idle_since < self.idle_time and not connection.has_unread_data():
                return connection
            connection.close()
        return None

    def release(self, connection: Connection) -> None:
        """Takes back a connection, which is idle from now on."""
        connection.idle_since = self.loop.time()
        connection.endpoint.idle.append(connection)
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def sweep(self) -> None:
        """Closes what has stood idle for long, before the server does."""
        now = self.loop.time()
        self.sweep_scheduled = False
        for endpoint in self.endpoints.values():
            while endpoint.idle and now - endpoint.idle[0].idle_since > self.idle_time - SWEEP_INTERVAL_S:
                endpoint.idle.pop(0).close()
            self.sweep_scheduled = self.sweep_scheduled or bool(endpoint.idle)
        if self.sweep_scheduled:
            self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def shrink(self) -> None:
        """Closes idle connections beyond the budget, which has shrunk."""
        for _ in range(self.descriptor_budget.servers - self.descriptor_budget.max_servers()):
            self.close_oldest_idle()

    def has_capacity(self) -> bool:
        """Whether one more connection fits the budget; an idle one is closed for it if need be."""
        if self.descriptor_budget.servers >= self.descriptor_budget.max_servers():
            return self.close_oldest_idle()
        return not self.descriptor_budget.exhausted() or self.free_client() or self.close_oldest_idle()

    def close_unused(self) -> bool:
        """Closes the connection that was idle longest if it has been so for long."""
        return self.close_oldest_idle(UNUSED_AFTER_S)

    def close_oldest_idle(self, min_idle_s: float = 0.0) -> bool:
        """Closes the connection that was idle longest, if one has been so for `min_idle_s` seconds."""
        since = self.loop.time() - min_idle_s
        held = [e for e in self.endpoints.values() if e.idle and e.idle[0].idle_since <= since]
        if held:
            oldest = min(held, key=lambda e: e.idle[0].idle_since)
            oldest.idle.pop(0).close()
        return bool(held)

    def on_connection_opened(self, connection: Connection) -> None:
        """Counts a connection that is being opened."""
        connection.is_counted = True
        self.descriptor_budget.add_server()
        self.opened_count += 1

    def on_connection_lost(self, connection: Connection) -> None:
        """Counts a connection's end, once."""
        if connection.is_counted:
            connection.is_counted = False
            self.descriptor_budget.remove_server()
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
