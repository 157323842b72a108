"""A node's connections to a server."""

from __future__ import annotations

from workbench.model.server import Server


class ConnectionPool:
    """The connections of a node to one server, which end with the server's process.

    Args:
        server: The server.

    Attributes:
        incarnation: The incarnation of the server's process that the connections lead to.
        idle_since: When each idle connection became idle, the oldest first.
    """

    __slots__ = ("idle_since", "incarnation", "server")

    def __init__(self, server: Server) -> None:
        self.server = server
        self.incarnation = server.incarnation
        self.idle_since: list[int] = []

    def is_current(self) -> bool:
        """Return whether the connections lead to the server's current process."""
        return self.incarnation == self.server.incarnation

    def acquire_idle(self) -> bool:
        """Take an idle connection to the server's current process; return False if there is none."""
        if not self.is_current():
            self.incarnation = self.server.incarnation
            self.idle_since.clear()
        if not self.idle_since:
            return False
        self.idle_since.pop()
        return True

    def release(self, now: int) -> None:
        """Return the connection of an ended attempt to the pool, so that it can be reused."""
        if self.is_current():
            self.idle_since.append(now)

    def close_active(self) -> None:
        """Close the connection of an attempt, which is not idle."""
        if self.is_current():
            self.server.change_connections(-1)

    def close_idle(self) -> None:
        """Close all idle connections."""
        self._close_oldest(len(self.idle_since))

    def close_idle_before(self, time: int) -> None:
        """Close the connections that have been idle since before `time`."""
        expired = sum(since < time for since in self.idle_since)
        if expired:
            self._close_oldest(expired)

    def _close_oldest(self, count: int) -> None:
        del self.idle_since[:count]
        if self.is_current():
            self.server.change_connections(-count)
