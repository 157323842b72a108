"""One budget of descriptors for the connections of clients and to servers."""

from __future__ import annotations

from collections.abc import Callable

SPARE_CLIENTS = 4  # clients who hold their third of the descriptors have a few to open a new connection with


class DescriptorBudget:
    """How many connections each side has and may have; one that is just being closed counts until it is.

    Args:
        total: descriptors for connections of both sides.
        process_total: all descriptors that the process may have.
    """

    def __init__(self, total: int, process_total: int) -> None:
        self.resize(total, process_total)
        self.clients = 0
        self.servers = 0
        self.on_released: Callable[[], None] = lambda: None  # called when a descriptor has come free

    def resize(self, total: int, process_total: int) -> None:
        """Sets how many descriptors there are for connections, and for the process in all."""
        self.total = total
        # Clients may hold a third of all. Failure prevented: connections that stand idle here use up
        # their third, and they cannot open the next.
        self.max_idle_clients = max(1, process_total // 3 - SPARE_CLIENTS)

    def max_clients(self) -> int:
        """How many connections clients may have now: a quarter is always the servers'."""
        return self.total - max(self.servers, self.total // 4)

    def max_servers(self) -> int:
        """How many connections to servers there may be: half, so that new clients find descriptors."""
        return self.total // 2

    def exhausted(self) -> bool:
        """Whether there is no descriptor for one more connection of either side."""
        return self.clients + self.servers >= self.total

    def add_client(self) -> None:
        """Counts a client's connection that has come."""
        self.clients += 1

    def remove_client(self) -> None:
        """Counts a client's connection that has ended."""
        self.clients -= 1
        self.on_released()

    def add_server(self) -> None:
        """Counts a connection to a server that has been begun."""
        self.servers += 1

    def remove_server(self) -> None:
        """Counts a connection to a server that has ended."""
        self.servers -= 1
        self.on_released()
