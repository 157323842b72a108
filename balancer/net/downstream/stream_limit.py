"""The limit on streamed messages, and which of their clients give up their connection to a server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.pending_request import PendingRequest
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.traffic_events import GiveWayCause

# Request bodies that are streamed take at most this part of the connections to servers. The policy's limit on
# requests in flight does not count them.
MAX_UPLOADS_DIVISOR = 2

# Returns the time since which a client should give way at the loop time, or None if it should not.
GiveWayRule = Callable[[ClientConnection, float], float | None]


class StreamLimit:
    """Limits streamed bodies, and makes clients give way that do not send or read what the node waits for.

    Clients that have stalled, by the rule of `ClientConnection.stalled_since`, give way first. Clients that
    read on never do, since their responses would be lost. In between are those that have not read for longer
    than they did before: they give way while the node has more requests than clients may have, as some of
    them then belong to others than the node's clients.

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
        # At a handover each process gets half of the descriptors, but the clients stay with the older one.
        self.max_client_requests = descriptor_budget.max_request_clients

    def admit(self) -> bool:
        """Return whether another streamed body may start; at the limit, a stalled one gives way to it."""
        uploading = self.uploading_clients()
        return len(uploading) < self.max_uploads() or self.end_stalled(uploading, GiveWayCause.UPLOADS)

    def max_uploads(self) -> int:
        """Return the maximum number of streamed bodies."""
        return max(1, self.descriptor_budget.max_servers() // MAX_UPLOADS_DIVISOR)

    def uploading_clients(self) -> list[ClientConnection]:
        """Return the clients that have not sent all of a streamed body."""
        return [client for client, request in self.by_client.items() if request.incoming_body() is not None]

    def unread_clients(self) -> list[ClientConnection]:
        """Return the clients that do not read their streamed response as fast as the server sends it."""
        return [
            client
            for client, request in self.by_client.items()
            if request.stream is not None and client.write_blocked
        ]

    def end_excess_unread(self) -> None:
        """Make clients that do not read streamed responses give way, as many as exceed the limit."""
        for _ in range(len(self.unread_clients()) - self.max_client_requests):
            if not self.end_unread(GiveWayCause.UNREAD_RESPONSES):
                return

    def end_unread(self, cause: GiveWayCause) -> bool:
        """Make a client give way that does not read a streamed response, and return whether there is one."""
        unread = self.unread_clients()
        if self.end_stalled(unread, cause):
            return True
        has_others = len(self.by_client) > self.max_client_requests
        return has_others and self.end_longest(unread, cause, ClientConnection.overdue_since)

    def release_server_connection(self) -> bool:
        """Make a client give way that holds a connection to a server, and return whether there is one."""
        cause = GiveWayCause.SERVER_CONNECTIONS
        return self.end_stalled(self.uploading_clients(), cause) or self.end_unread(cause)

    def end_stalled(self, clients: Iterable[ClientConnection], cause: GiveWayCause) -> bool:
        """Make the longest stalled of these clients give way, and return whether one has stalled."""
        return self.end_longest(clients, cause, ClientConnection.stalled_since)

    def end_longest(
        self, clients: Iterable[ClientConnection], cause: GiveWayCause, rule: GiveWayRule
    ) -> bool:
        """Make that one of these clients give way which should have for the longest time, if there is one.

        Args:
            clients: The clients to choose from.
            cause: What the node lacks.
            rule: Returns since when a client should give way.

        Returns:
            Whether one has given way.
        """
        now = self.loop.time()
        waited_for = [(since, c.number, c) for c in clients if (since := rule(c, now)) is not None]
        if waited_for:
            _, _, longest = min(waited_for)
            longest.give_way(cause)
        return bool(waited_for)
