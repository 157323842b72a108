"""The pool of connections to servers, which reuses idle connections within a descriptor budget."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.memory_budget import MemoryBudget
from balancer.net.upstream.connection import Connection, Endpoint

# Idle connections are closed this long before the server would close them.
IDLE_CLOSE_MARGIN_S = 0.3
# Connections idle for at least this long are reused first: on a connection that was used more recently, a
# duplicate of the last response may still arrive.
MIN_IDLE_BEFORE_REUSE_S = 0.02
# A connection idle for this long may be closed in favor of a client that is sending a request.
UNUSED_CONNECTION_AGE_S = 1.0
SWEEP_INTERVAL_S = 0.5


class ConnectionPool:
    """All connections to servers, within a budget of descriptors.

    Args:
        loop: The event loop.
        descriptor_budget: The limit on the number of open connections.
        connect_timeout: The time limit for opening a connection, in seconds.
        idle_timeout_s: The time after which servers close an idle connection, in seconds.
        memory_budget: The limit on the buffered bytes of responses.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptor_budget: DescriptorBudget,
        connect_timeout: float,
        idle_timeout_s: float,
        memory_budget: MemoryBudget,
    ) -> None:
        self.loop = loop
        self.descriptor_budget = descriptor_budget
        # Closes a client's connection that has no request in flight; returns whether one was closed.
        self.evict_client: Callable[[], bool] = lambda: False
        # Ends the request of a client that holds a connection to a server and has stalled, if there is one.
        self.end_stalled_client: Callable[[], bool] = lambda: False
        self.memory_budget = memory_budget
        # Lets the clients that hold the most memory give way, if buffered bytes exceed the limit.
        self.relieve_memory: Callable[[], None] = lambda: None
        self.connect_timeout = connect_timeout
        self.idle_timeout_s = max(idle_timeout_s - IDLE_CLOSE_MARGIN_S, idle_timeout_s / 2)
        self.opened_count = 0  # Connections opened since the start of the process.
        self.endpoints: dict[int, Endpoint] = {}
        self.sweep_scheduled = False

    def acquire(self, endpoint: Endpoint) -> Connection | None:
        """Return a usable idle connection to this server, or None if there is none.

        The most recently used connection that has been idle for `MIN_IDLE_BEFORE_REUSE_S` is preferred, then
        the one that has been idle longest. If a server sends a duplicate response some milliseconds late, a
        connection reused at once would deliver it as the response to another request.
        """
        now = self.loop.time()
        idle = endpoint.idle
        while idle:
            # The list is sorted by idle time, so the reusable connections are its first ones.
            reusable_count = sum(now - c.idle_since >= MIN_IDLE_BEFORE_REUSE_S for c in idle)
            connection = idle.pop(max(0, reusable_count - 1))
            if now - connection.idle_since < self.idle_timeout_s and not connection.has_unread_data():
                return connection
            connection.close()
        return None

    def release(self, connection: Connection) -> None:
        """Keep a connection whose exchange has ended, for reuse by later exchanges with the same server."""
        connection.idle_since = self.loop.time()
        connection.endpoint.idle.append(connection)
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def sweep(self) -> None:
        """Close connections that the server would soon close as idle; repeat while some are idle."""
        now = self.loop.time()
        self.sweep_scheduled = False
        for endpoint in self.endpoints.values():
            while (
                endpoint.idle and now - endpoint.idle[0].idle_since > self.idle_timeout_s - SWEEP_INTERVAL_S
            ):
                endpoint.idle.pop(0).close()
            self.sweep_scheduled = self.sweep_scheduled or bool(endpoint.idle)
        if self.sweep_scheduled:
            self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def shrink(self) -> None:
        """Close as many idle connections as exceed the descriptor budget, after it has been reduced."""
        for _ in range(self.descriptor_budget.servers - self.descriptor_budget.max_servers()):
            self.close_oldest_idle()

    def has_capacity(self) -> bool:
        """Return whether one more connection to a server fits the descriptor budget.

        If necessary, an idle connection is closed or the request of a stalled client ended to make it fit.
        """
        if self.descriptor_budget.servers >= self.descriptor_budget.max_servers():
            return self.close_oldest_idle() or self.end_stalled_client()
        return (
            not self.descriptor_budget.is_exhausted()
            or self.evict_client()
            or self.close_oldest_idle()
            or self.end_stalled_client()
        )

    def close_unused(self) -> bool:
        """Close the longest idle connection if it has been idle for `UNUSED_CONNECTION_AGE_S`.

        Returns:
            Whether a connection was closed.
        """
        return self.close_oldest_idle(UNUSED_CONNECTION_AGE_S)

    def close_oldest_idle(self, min_idle_s: float = 0.0) -> bool:
        """Close the longest idle connection if it has been idle for `min_idle_s` seconds.

        Returns:
            Whether a connection was closed.
        """
        since = self.loop.time() - min_idle_s
        candidates = [e for e in self.endpoints.values() if e.idle and e.idle[0].idle_since <= since]
        if candidates:
            oldest = min(candidates, key=lambda e: e.idle[0].idle_since)
            oldest.idle.pop(0).close()
        return bool(candidates)

    def on_connection_opened(self, connection: Connection) -> None:
        """Count a connection that is being opened in the descriptor budget."""
        connection.is_counted = True
        self.descriptor_budget.add_server()
        self.opened_count += 1

    def on_connection_lost(self, connection: Connection) -> None:
        """Remove a closed connection from the idle connections and the descriptor budget.

        A second call for the same connection does not reduce the budget's count again.
        """
        if connection.is_counted:
            connection.is_counted = False
            self.descriptor_budget.remove_server()
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
