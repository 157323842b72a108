"""The budget of file descriptors that client connections and connections to servers share."""

from __future__ import annotations

from collections.abc import Callable

# Clients may use a third of all descriptors. This many of them stay free of idle connections, for new ones.
SPARE_CLIENT_DESCRIPTORS = 4


class DescriptorBudget:
    """Counts and limits the connections of clients and the connections to servers.

    A connection counts until it is closed completely.

    Args:
        total: The number of descriptors for connections of clients and to servers together.
        process_total: The number of all descriptors of the process.
    """

    def __init__(self, total: int, process_total: int) -> None:
        self.resize(total, process_total)
        self.clients = 0
        self.servers = 0
        self.on_released: Callable[[], None] = lambda: None  # Called when a descriptor is released.

    def resize(self, total: int, process_total: int) -> None:
        """Change the limits.

        Args:
            total: The number of descriptors for connections of clients and to servers together.
            process_total: The number of all descriptors of the process.
        """
        self.total = total
        # Clients with requests hold no more connections than this.
        self.max_request_clients = max(1, process_total // 3)
        # Clients may use a third of all descriptors. Their idle connections leave
        # SPARE_CLIENT_DESCRIPTORS of these free, so that clients can always open a new connection.
        self.max_idle_clients = max(1, self.max_request_clients - SPARE_CLIENT_DESCRIPTORS)

    def max_clients(self) -> int:
        """Return the current limit of client connections, which leaves a quarter of the total to servers."""
        return self.total - max(self.servers, self.total // 4)

    def max_servers(self) -> int:
        """Return the limit of connections to servers: half of the total, so that clients have the rest."""
        return self.total // 2

    def is_exhausted(self) -> bool:
        """Return whether no descriptor is left for another connection, of a client or to a server."""
        return self.clients + self.servers >= self.total

    def add_client(self) -> None:
        """Count a client connection that was accepted."""
        self.clients += 1

    def remove_client(self) -> None:
        """Stop counting a client connection that was closed."""
        self.clients -= 1
        self.on_released()

    def add_server(self) -> None:
        """Count a connection to a server that is being opened."""
        self.servers += 1

    def remove_server(self) -> None:
        """Stop counting a connection to a server that was closed."""
        self.servers -= 1
        self.on_released()
