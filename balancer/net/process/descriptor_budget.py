"""One budget of descriptors for the connections of clients and to servers."""

from __future__ import annotations

from collections.abc import Callable

MARGIN = 4  # clients who hold their third of the descriptors have a few to open a new connection with


class Descriptors:
    """How many connections each side has and may have. What is just being closed counts until it is."""

    def __init__(self, total: int, all_there_are: int) -> None:
        self.resize(total, all_there_are)
        self.clients = 0
        self.servers = 0
        self.freed: Callable[[], None] = lambda: None  # called when there may be room again

    def resize(self, total: int, all_there_are: int) -> None:
        """So many are for connections, of all that this process may have."""
        self.total = total
        # Clients may hold a third of all. Failure prevented: connections that stand idle here are their
        # whole third, and they cannot open the next.
        self.kept = max(1, all_there_are // 3 - MARGIN)

    def for_clients(self) -> int:
        """So many connections clients may have now: a quarter is always the servers'."""
        return self.total - max(self.servers, self.total // 4)

    def for_servers(self) -> int:
        """So many the servers may have: half at most, or clients would be shut out by their own requests."""
        return self.total // 2

    def full(self) -> bool:
        """Whether there is no room for one more of either."""
        return self.clients + self.servers >= self.total

    def client(self, change: int) -> None:
        """A client's connection has come or ended."""
        self.clients += change
        if change < 0:
            self.freed()

    def server(self, change: int) -> None:
        """A connection to a server has been begun or has ended."""
        self.servers += change
        if change < 0:
            self.freed()
