"""The limit on streamed messages, and which of their clients give up their connection to a server."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.pending_request import PendingRequest
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.traffic_events import GiveWayCause

# Request bodies that are streamed, and streamed responses that are not read, each take at most this part of
# the connections to servers. The policy's limit on requests in flight does not count them.
MAX_STREAMS_DIVISOR = 2


class StreamLimit:
    """Limits streamed bodies and unread streamed responses, and makes stalled clients give way.

    A client has stalled if it neither sends more of its body nor reads more of its response, although the
    node and the server are ready. The longest stalled one gives way first.

    Args:
        loop: The event loop.
        descriptor_budget: The limit on connections to servers.
        by_client: The pending requests by client.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptor_budget: DescriptorBudget,
        by_client: Mapping[ClientConnection, PendingRequest],
    ) -> None:
        self.loop = loop
        self.descriptor_budget = descriptor_budget
        self.by_client = by_client

    def admit(self) -> bool:
        """Return whether another streamed body may start; at the limit, a stalled one gives way to it."""
        uploading = [
            client for client, request in self.by_client.items() if request.incoming_body() is not None
        ]
        return len(uploading) < self.max_streams() or self.end_longest_stalled(
            uploading, GiveWayCause.UPLOADS
        )

    def end_excess_unread(self) -> None:
        """Make stalled clients that do not read streamed responses give way, as many as exceed the limit."""
        unread = [
            client
            for client, request in self.by_client.items()
            if request.stream is not None and client.write_blocked
        ]
        for _ in range(len(unread) - self.max_streams()):
            self.end_longest_stalled(
                (client for client in unread if client.write_blocked), GiveWayCause.UNREAD_RESPONSES
            )

    def max_streams(self) -> int:
        """Return the maximum number of streamed bodies, and that of unread streamed responses."""
        return max(1, self.descriptor_budget.max_servers() // MAX_STREAMS_DIVISOR)

    def release_server_connection(self) -> bool:
        """Make the longest stalled client that holds a connection to a server give way, if there is one."""
        holding = [
            client
            for client, request in self.by_client.items()
            if request.incoming_body() is not None or request.stream is not None
        ]
        return self.end_longest_stalled(holding, GiveWayCause.SERVER_CONNECTIONS)

    def end_longest_stalled(self, clients: Iterable[ClientConnection], cause: GiveWayCause) -> bool:
        """Make the longest stalled of these clients give way, and return whether one has stalled.

        Args:
            clients: The clients to choose from.
            cause: What the node lacks.
        """
        now = self.loop.time()
        stalled = [client for client in clients if client.is_stalled(now)]
        if stalled:
            min(stalled, key=ClientConnection.last_progress_at).give_way(cause)
        return bool(stalled)
