"""All client connections: their listener, eviction and draining, within a budget of file descriptors."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.client_eviction import EvictionRank, eviction_priority
from balancer.net.downstream.memory_relief import MemoryRelief
from balancer.net.downstream.protocols import RequestHandler
from balancer.net.downstream.read_deadline import HEAD_TIMEOUT_S
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.lifecycle import Lifecycle, Stage
from balancer.net.process.listener import Listener
from balancer.net.process.memory_budget import MemoryBudget
from balancer.net.process.traffic_events import CloseReason, GiveWayCause, TrafficEvents

# Maximum number of connections that are open beyond the limit only to have their requests rejected with 503.
# They are at most a sixteenth of the client connections that the budget allows, but at least one.
MAX_REJECTING_CONNECTIONS = 16
# Maximum number of connections accepted in one iteration of the event loop.
MAX_ACCEPTS_PER_EVENT = 64
# Time after SIGTERM during which new connections are still accepted.
ACCEPT_AFTER_TERM_S = 0.5
# Time that an idle connection is kept after its last use while the node drains, since the client's next
# request may be on its way.
SETTLE_S = 0.2
# At the limit of connections, at most this part of them is evicted in one sweep.
MAX_STALLED_EVICTIONS_DIVISOR = 4
# Time between two checks for overdue requests.
SWEEP_INTERVAL_S = HEAD_TIMEOUT_S / 16
# Time that an evicted client has to read its error response.
EVICTION_LINGER_S = 0.05
# Time between two checks for idle connections while the node drains.
DRAIN_CHECK_INTERVAL_S = 0.02


# For each rank, the name under which evictions are counted, and the reason that the log shows.
EVICTION_REASONS = {
    EvictionRank.STALE: ("gave_way_headless", CloseReason.NO_REQUEST),
    EvictionRank.STALLED: ("gave_way_stalled", CloseReason.STALLED),
    EvictionRank.IDLE: ("gave_way_idle", CloseReason.IDLE),
    EvictionRank.WRITING: ("gave_way_headless", CloseReason.NO_REQUEST),
}


class ClientConnections:
    """The listener and its client connections, within a budget of file descriptors.

    Args:
        loop: The event loop.
        descriptor_budget: Bounds the number of connections.
        handler: Handles the clients' requests.
        lifecycle: The stage of the node.
        memory_budget: Bounds the bytes of requests and responses that are buffered.
        events: Records why connections are closed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptor_budget: DescriptorBudget,
        handler: RequestHandler[ClientConnection],
        lifecycle: Lifecycle,
        memory_budget: MemoryBudget,
        events: TrafficEvents,
    ) -> None:
        self.loop = loop
        self.descriptor_budget = descriptor_budget
        self.memory_budget = memory_budget
        self.events = events
        self.last_number = 0
        # Connections that were evicted or timed out, by reason.
        self.counts: Counter[str] = Counter()
        self.handler = handler
        self.lifecycle = lifecycle
        self.connections: set[ClientConnection] = set()
        self.memory_relief = MemoryRelief(loop, memory_budget, self.connections)
        self.is_draining = False
        self.is_listener_shared = False
        # Closes an unused connection to a server, and returns whether there was one.
        self.close_unused_server_connection: Callable[[], bool] = lambda: False
        self.listener = Listener(loop, self.accept, self.has_capacity, MAX_ACCEPTS_PER_EVENT)
        descriptor_budget.on_released = self.listener.update
        # Loop time at which a node that shuts down stops listening.
        self.stop_listening_at = 0.0
        # Loop time at which a node that shuts down closes all connections without a complete request,
        # including new ones.
        self.close_idle_at = 0.0

    def max_served(self) -> int:
        """Return how many connections may be served; a few more may be open only to be rejected."""
        allowed = self.descriptor_budget.max_clients()
        return allowed - min(MAX_REJECTING_CONNECTIONS, max(1, allowed // 16))

    def shrink(self) -> None:
        """After the budget has shrunk, evict connections without a request until the others fit it."""
        while len(self.connections) > self.max_served() and self.evict_one():
            pass

    def start(self, listener: socket.socket, shared: bool) -> None:
        """Accept clients from this socket; `shared` tells whether other processes listen on it too."""
        self.is_listener_shared = shared
        self.listener.start(listener)
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def relieve_memory(self) -> None:
        """Let the connections that hold the most give way, if buffered bytes exceed the limit."""
        self.memory_relief.relieve()

    def schedule_memory_relief(self) -> None:
        """Do the same in the event loop's next iteration."""
        self.memory_relief.schedule()

    def make_room(self, size: int) -> bool:
        """Let connections give way for a complete request of `size` bytes, and return whether it fits."""
        return self.memory_relief.make_room(size)

    def next_number(self) -> int:
        """Return the number of a new connection, which log lines name."""
        self.last_number += 1
        return self.last_number

    def has_capacity(self) -> bool:
        """Return whether one more connection fits the budget."""
        return (
            self.descriptor_budget.clients < self.descriptor_budget.max_clients()
            and not self.descriptor_budget.is_exhausted()
        )

    def accept(self, connection: socket.socket) -> None:
        """Serve an accepted connection.

        At the limit of served connections, evict a connection without a request. If there is none, keep the
        new connection only to reject its requests.
        """
        connection.setblocking(False)
        self.descriptor_budget.add_client()
        max_served = self.max_served()
        self.evict_down_to(max_served - 1)
        client = ClientConnection(self, rejecting=len(self.connections) >= max_served)
        self.connections.add(client)
        self.loop.create_task(self.attach(client, connection))

    def evict_down_to(self, count: int) -> None:
        """Evict connections until at most `count` are left, or until none can be evicted.

        They may be more than one too many, since connections to servers lower the limit of those of clients.
        """
        while (before := len(self.connections)) > count:
            if not self.evict_one(linger=True) or len(self.connections) == before:
                return  # An unused connection to a server was closed at most.

    async def attach(self, client: ClientConnection, connection: socket.socket) -> None:
        """Register the accepted socket with the event loop."""
        try:
            await self.loop.connect_accepted_socket(lambda: client, connection)
        except OSError:  # The client has already disconnected.
            connection.close()
            self.connections.discard(client)
            self.descriptor_budget.remove_client()

    def evict_one(self, linger: bool = False) -> bool:
        """Evict a client connection without a request, or close an unused connection to a server, if any.

        Args:
            linger: Whether the descriptor may be released some time later, if the client gets an error first.

        Returns:
            Whether a connection was closed.
        """
        candidates = ((rank, c) for rank, c in self.eviction_candidates() if not c.has_unread_data())
        rank, client = next(candidates, (EvictionRank.WRITING, None))
        if rank >= EvictionRank.IDLE and self.handler.end_unread():
            return True
        if rank == EvictionRank.WRITING and self.close_unused_server_connection():
            return True
        if client is not None:
            self.evict(client, rank, linger)
        return client is not None

    def eviction_candidates(self) -> list[tuple[EvictionRank, ClientConnection]]:
        """Return the connections that may be evicted, in the order of eviction."""
        now = self.loop.time()
        candidates = [
            (priority, client.number, client)
            for client in self.connections
            if (priority := eviction_priority(client, now)) is not None
        ]
        return [(priority.rank, client) for priority, _, client in sorted(candidates)]

    def evict_stalled(self) -> None:
        """At the limit of connections, evict clients that have stopped, so that waiting ones can be accepted.

        Those that pause within a body are among them: they get a 503, and lose nothing.
        The listener is paused at the limit, so no new connection would evict them.
        """
        if self.has_capacity():
            return
        now = self.loop.time()
        stopped = [
            (rank, client)
            for rank, client in self.eviction_candidates()
            if rank <= EvictionRank.STALLED or client.is_waiting_for_body()
        ]
        max_evictions = max(1, self.max_served() // MAX_STALLED_EVICTIONS_DIVISOR)
        for rank, client in stopped[:max_evictions]:
            has_finished = client.finished_at and now - client.finished_at >= EVICTION_LINGER_S
            if has_finished or not client.has_unread_data():
                self.evict(client, rank, linger=True)
        for _ in range(max_evictions - len(stopped)):
            if not self.handler.end_unread():
                return

    def evict(self, client: ClientConnection, rank: EvictionRank, linger: bool) -> None:
        """Close a connection; a client that has stopped within a body first gets an error if `linger`."""
        self.connections.discard(client)
        is_within_message = rank == EvictionRank.STALLED or client.is_waiting_for_body()
        count, reason = EVICTION_REASONS[EvictionRank.STALLED if is_within_message else rank]
        self.counts[count] += 1
        if is_within_message:
            client.give_way(GiveWayCause.CONNECTIONS)
        if is_within_message and linger:
            self.loop.call_later(EVICTION_LINGER_S, client.abort, reason)
        else:
            client.abort(reason)

    def evict_idle(self) -> None:
        """Evict the connection that has been idle for the longest time if clients hold too many."""
        if len(self.connections) <= self.descriptor_budget.max_idle_clients:
            return
        used = [c for c in self.connections if c.has_served or c.current_request is not None]
        idle = [c for c in used if c.is_idle()] if len(used) > self.descriptor_budget.max_idle_clients else []
        if idle:
            oldest = min(idle, key=lambda c: c.last_active_at)
            self.counts["gave_way_idle"] += 1
            self.connections.discard(oldest)
            oldest.abort(CloseReason.IDLE)

    def sweep(self) -> None:
        """Time out connections whose request head is overdue or whose body arrives too slowly.

        Peers that send nothing, or a request byte by byte, would otherwise hold file descriptors forever.
        Reschedules itself.
        """
        now = self.loop.time()
        self.handler.end_excess_unread()
        for client in list(self.connections):
            if client.write_blocked:
                client.writer.observe_reading(now)
            if client.reading_paused and not client.is_connected():
                continue
            expires_at = client.read_deadline.expires_at
            if expires_at is None or now < expires_at or client.reading_stopped:
                continue
            if client.current_request is not None and client.current_request is not client.partial_request:
                continue  # The client waits for the response to an earlier request.
            if client.partial_request is not None:
                if client.extend_body_deadline(now):
                    continue
                self.counts["late"] += 1
                client.reject(408)
                client.start_next_request()
            elif client.transport is not None and client.is_idle():
                self.counts["silent"] += 1
                client.abort(CloseReason.SILENT)
        self.evict_stalled()
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def start_draining(self) -> None:
        """Start draining: each connection is closed after its response until the node is back in service."""
        if not self.is_draining:
            self.is_draining = True
            self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that are idle after a response; reschedules itself while the node drains.

        A new connection, which has had no response, keeps its time to send a request, because its client may
        have connected before it could know that the node drains. A node that shuts down also stops listening
        at `stop_listening_at`, and closes all connections without a complete request from `close_idle_at` on.
        """
        if not self.lifecycle.is_draining:
            self.is_draining = False
            return
        now = self.loop.time()
        is_closing_listener = self.lifecycle.stage == Stage.ENDING and self.listener.socket is not None
        if is_closing_listener and now >= self.stop_listening_at:
            self.listener.stop()
        close_all = self.lifecycle.stage == Stage.ENDING and now >= self.close_idle_at
        for client in list(self.connections):
            if close_all:
                client.close_without_request()
            elif client.has_served and now - client.last_active_at > SETTLE_S and client.is_idle():
                client.abort(CloseReason.DRAINING)
        self.loop.call_later(DRAIN_CHECK_INTERVAL_S, self.close_idle)

    async def drain(self, grace: float) -> None:
        """Respond to all accepted requests, and return when all connections are closed.

        After `grace` seconds no further request is accepted on any connection, so that none is pending when
        the process is killed.
        """
        if self.is_listener_shared:
            self.listener.release()
        now = self.loop.time()
        self.stop_listening_at, self.close_idle_at = now + ACCEPT_AFTER_TERM_S, now + grace
        self.start_draining()
        while self.listener.socket is not None or self.connections:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
