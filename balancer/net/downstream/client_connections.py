"""All connections of clients: their listener, eviction and draining, within a budget of descriptors."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.client_eviction import EvictionRank, eviction_priority
from balancer.net.downstream.protocols import RequestHandler
from balancer.net.downstream.read_deadline import HEAD_TIMEOUT_S
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.lifecycle import Lifecycle, Stage
from balancer.net.process.listener import Listener
from balancer.net.process.memory_budget import MemoryBudget

MAX_REJECTING = 16  # connections, up to a sixteenth of the budget, that are open only to be rejected
MAX_ACCEPTS = 64  # connections taken in one go
ACCEPT_AFTER_TERM_S = 0.5  # after SIGTERM, in which new connections are still taken
SETTLE_S = 0.2  # in which a connection that was just used may bring its next request
DRAIN_CHECK_S = 0.02  # between two checks as the node drains


class ClientConnections:
    """The listener and its connections, within a budget of descriptors.

    Args:
        loop: the event loop.
        descriptor_budget: bounds the connections.
        handler: what requests are handed to.
        lifecycle: the stage of the node.
        memory_budget: bounds what is held of requests and responses.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptor_budget: DescriptorBudget,
        handler: RequestHandler[ClientConnection],
        lifecycle: Lifecycle,
        memory_budget: MemoryBudget,
    ) -> None:
        self.loop = loop
        self.descriptor_budget = descriptor_budget
        self.memory_budget = memory_budget
        self.counts: Counter[str] = (
            Counter()
        )  # connections that were evicted, or closed for lack of a request
        self.handler = handler
        self.lifecycle = lifecycle
        self.connections: set[ClientConnection] = set()
        self.is_draining = False
        self.shared = False
        # Closes a connection to a server that is not needed.
        self.free_server_connection: Callable[[], bool] = lambda: False
        self.listener = Listener(loop, self.accept, self.has_capacity, MAX_ACCEPTS)
        descriptor_budget.on_released = self.listener.update
        self.stop_at = 0.0  # when an ending node stops listening...
        self.close_at = 0.0  # ...and when it closes the connections without a request, new ones too

    def max_served(self) -> int:
        """How many connections are served; a few more are open only to be rejected."""
        allowed = self.descriptor_budget.max_clients()
        return allowed - min(MAX_REJECTING, max(1, allowed // 16))

    def shrink(self) -> None:
        """Evicts connections without a request beyond the budget, which has shrunk."""
        while len(self.connections) > self.max_served() and self.evict_one():
            pass

    def start(self, listener: socket.socket, shared: bool) -> None:
        """Takes clients from this socket, which other processes may listen on too."""
        self.shared = shared
        self.listener.start(listener)
        self.loop.call_later(HEAD_TIMEOUT_S / 8, self.sweep)

    def has_capacity(self) -> bool:
        """Whether one more connection fits the budget."""
        return (
            self.descriptor_budget.clients < self.descriptor_budget.max_clients()
            and not self.descriptor_budget.exhausted()
        )

    def accept(self, connection: socket.socket) -> None:
        """Takes over a connection; beyond the limit another is evicted, or its requests are rejected."""
        connection.setblocking(False)
        self.descriptor_budget.add_client()
        max_served = self.max_served()
        if len(self.connections) >= max_served:
            self.evict_one()
        client = ClientConnection(self, rejecting=len(self.connections) >= max_served)
        self.connections.add(client)
        self.loop.create_task(self.attach(client, connection))

    async def attach(self, client: ClientConnection, connection: socket.socket) -> None:
        """Puts the accepted socket into the event loop."""
        try:
            await self.loop.connect_accepted_socket(lambda: client, connection)
        except OSError:  # gone already
            connection.close()
            self.connections.discard(client)
            self.descriptor_budget.remove_client()

    def evict_one(self) -> bool:
        """Evicts a connection, if any has no request; its client may open another."""
        now = self.loop.time()
        candidates = [
            (priority, id(c), c)
            for c in self.connections
            if (priority := eviction_priority(c, now)) is not None
        ]
        for (rank, _), _, client in sorted(candidates):
            if rank == EvictionRank.WRITING_HEAD and self.free_server_connection():
                return True
            if not client.has_unread_data():
                self.counts["gave_way_idle" if rank == EvictionRank.IDLE else "gave_way_headless"] += 1
                self.connections.discard(client)
                client.transport.abort()
                return True
        return False

    def evict_idle(self) -> None:
        """Evicts the connection that has been idle longest if clients have as many as they may."""
        if len(self.connections) <= self.descriptor_budget.max_idle_clients:
            return
        held = [c for c in self.connections if c.has_served or c.current is not None]
        idle = [c for c in held if c.is_idle()] if len(held) > self.descriptor_budget.max_idle_clients else []
        if idle:
            oldest = min(idle, key=lambda c: c.last_active_at)
            self.counts["gave_way_idle"] += 1
            self.connections.discard(oldest)
            oldest.transport.abort()

    def sweep(self) -> None:
        """Ends connections whose head is not complete in its time, or whose body comes too slowly.

        Failure prevented: peers that send nothing, or a request byte by byte, hold descriptors for good.
        """
        now = self.loop.time()
        for client in list(self.connections):
            if client.reading_paused and not client.is_connected():
                continue
            expires_at = client.read_deadline.expires_at
            if expires_at is None or now < expires_at or client.reading_stopped:
                continue
            if client.current is not None and client.current is not client.partial:
                continue  # an earlier request is in flight
            if client.partial is not None:
                if client.extend_body_deadline(now):
                    continue
                self.counts["late"] += 1
                client.reject(408)
                client.start_next_request()
            elif client.transport is not None and client.is_idle():
                self.counts["silent"] += 1
                client.transport.abort()
        self.loop.call_later(HEAD_TIMEOUT_S / 8, self.sweep)

    def start_draining(self) -> None:
        """Starts draining: until the node is back in service, no connection outlives its response."""
        if not self.is_draining:
            self.is_draining = True
            self.close_idle()

    def close_idle(self) -> None:
        """Closes connections that have served and stand idle, and checks again soon.

        A new one keeps its time: its client may have connected before it could know, and be writing yet.
        """
        if not self.lifecycle.draining:
            self.is_draining = False
            return
        now = self.loop.time()
        ending = self.lifecycle.stage == Stage.ENDING and self.listener.socket is not None
        if ending and now >= self.stop_at:
            self.listener.stop()
        last = self.lifecycle.stage == Stage.ENDING and now >= self.close_at
        for client in list(self.connections):
            if last:
                client.close_without_request()
            elif client.has_served and now - client.last_active_at > SETTLE_S and client.is_idle():
                client.transport.abort()
        self.loop.call_later(DRAIN_CHECK_S, self.close_idle)

    async def drain(self, grace: float) -> None:
        """Ends the service: all accepted requests get their response, and no connection outlives it.

        After `grace` seconds no further request is accepted on any connection.
        Failure prevented: a request comes on a connection that is still open as the process is killed.
        """
        if self.shared:
            self.listener.release()
        now = self.loop.time()
        self.stop_at, self.close_at = now + ACCEPT_AFTER_TERM_S, now + grace
        self.start_draining()
        while self.listener.socket is not None or self.connections:
            await asyncio.sleep(DRAIN_CHECK_S)
