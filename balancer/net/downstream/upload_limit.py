"""The limit on streamed request bodies, and which clients give up their connection to a server."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.pending_request import PendingRequest
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.traffic_events import CloseReason

# Streamed bodies take at most this part of the connections to servers, since the policy's limit on requests
# in flight does not count them.
MAX_UPLOADS_DIVISOR = 2


class UploadLimit:
    """Limits the streamed bodies that clients send at once, and makes stalled clients give way.

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
        max_uploads = max(1, self.descriptor_budget.max_servers() // MAX_UPLOADS_DIVISOR)
        return len(uploading) < max_uploads or self.end_longest_stalled(uploading)

    def release_server_connection(self) -> bool:
        """Make the longest stalled client that holds a connection to a server give way, if there is one."""
        holding = [
            client
            for client, request in self.by_client.items()
            if request.incoming_body() is not None or request.stream is not None
        ]
        return self.end_longest_stalled(holding)

    def end_longest_stalled(self, clients: Iterable[ClientConnection]) -> bool:
        """Make the longest stalled of these clients give way, and return whether one has stalled."""
        now = self.loop.time()
        stalled = [client for client in clients if client.is_stalled(now)]
        if stalled:
            min(stalled, key=ClientConnection.last_progress_at).give_way(CloseReason.STALLED)
        return bool(stalled)
