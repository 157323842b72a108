"""What a client's connection needs of those around it."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from balancer.net.downstream.message import ClientRequest
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.memory_budget import MemoryBudget

Connection = TypeVar("Connection")  # the class of the client's connection, which imports this module
ConnectionIn = TypeVar("ConnectionIn", contravariant=True)


class RequestHandler(Protocol[ConnectionIn]):
    """What a connection hands its requests to."""

    def on_request(self, client: ConnectionIn, message: ClientRequest) -> None:
        """Takes a request, complete or with a streamed body.

        One `client.respond` or `client.begin_stream` must follow.
        """

    def reject_over_capacity(self, client: ConnectionIn, message: ClientRequest) -> None:
        """Takes a request for which there is no capacity; `client.respond` must be called once for it."""

    def request_malformed(self, client: ConnectionIn, status: int) -> None:
        """Called when the body of the current request will not go on.

        `client.respond` must be called unless it has been.
        """

    def client_disconnected(self, client: ConnectionIn) -> None:
        """Called when the client has gone while its request was in flight."""


class ClientConnectionsProtocol(Protocol[Connection]):
    """What a connection needs of the connections that it is one of."""

    loop: asyncio.AbstractEventLoop
    memory_budget: MemoryBudget
    descriptor_budget: DescriptorBudget
    lifecycle: Lifecycle
    connections: set[Connection]
    handler: RequestHandler[Connection]

    def evict_idle(self) -> None:
        """Evicts an idle connection if clients hold all that they may."""
