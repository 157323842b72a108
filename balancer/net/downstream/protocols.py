"""Interfaces of the objects that a client's connection uses: the request handler and all connections."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from balancer.net.downstream.message import ClientRequest
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.memory_budget import MemoryBudget
from balancer.net.process.traffic_events import RefusalReason, TrafficEvents

# The class of client connections. It is a type variable, because the module of that class imports this
# module.
Connection = TypeVar("Connection")
ConnectionIn = TypeVar("ConnectionIn", contravariant=True)


class RequestHandler(Protocol[ConnectionIn]):
    """The handler of the requests that a connection receives."""

    def on_request(self, client: ConnectionIn, message: ClientRequest) -> None:
        """Handle a request that is complete or has a streamed body.

        Exactly one call of `client.respond` or `client.begin_stream` must follow.
        """

    def reject_over_capacity(
        self, client: ConnectionIn, message: ClientRequest, reason: RefusalReason
    ) -> None:
        """Reject a request for which the node has no capacity; must call `client.respond` once."""

    def request_malformed(self, client: ConnectionIn, status: int, reason: RefusalReason) -> None:
        """Handle a current request whose body will not be completed.

        Must call `client.respond` with the status unless the request has its response.
        """

    def set_waiting_for_client(self, client: ConnectionIn, waiting: bool) -> None:
        """Record whether a current request with a streamed body waits for its client to send more.

        Its deadline does not come closer meanwhile.
        """

    def client_disconnected(self, client: ConnectionIn) -> None:
        """Handle a client that has disconnected while its request was in flight."""

    def end_excess_unread(self) -> None:
        """End responses that are not read, if there are too many."""

    def end_unread(self) -> bool:
        """End a response that is not read to make room for a client, and return whether there was one."""


class ClientConnectionsProtocol(Protocol[Connection]):
    """The part of the class `ClientConnections`, which holds all connections, that one connection uses."""

    loop: asyncio.AbstractEventLoop
    memory_budget: MemoryBudget
    descriptor_budget: DescriptorBudget
    lifecycle: Lifecycle
    connections: set[Connection]
    handler: RequestHandler[Connection]
    events: TrafficEvents

    def relieve_memory(self) -> None:
        """Let the connections that hold the most give way, if buffered bytes exceed the limit."""

    def schedule_memory_relief(self) -> None:
        """Do the same in the event loop's next iteration."""

    def make_room(self, size: int) -> bool:
        """Let connections give way for a complete request of `size` bytes, and return whether it fits."""

    def next_number(self) -> int:
        """Return the number of a new connection, which log lines name."""

    def evict_idle(self) -> None:
        """Evict the longest idle connection if clients hold more than `max_idle_clients` connections."""
