"""A node's connections to a server."""

from __future__ import annotations

from workbench.model.server import Server


class ConnectionPool:
    """The connections of a node to one server, which end with the server's process.

    Args:
        server: The server.
    """

    __slots__ = ("idle_since", "incarnation", "server")

    def __init__(self, server: Server) -> None:
        self.server = server
        self.incarnation = server.incarnation
        self.idle_since: list[int] = []  # of each idle connection, the oldest first

    def is_current(self) -> bool:
        """Returns whether the server's process is still the one that the connections belong to."""
        return self.incarnation == self.server.incarnation

    def take_idle(self) -> bool:
        """Takes an idle connection to the server's present process; returns False if there is none."""
        if not self.is_current():
            self.incarnation = self.server.incarnation
            self.idle_since.clear()
        if not self.idle_since:
            return False
        self.idle_since.pop()
        return True

    def give_back(self, now: int) -> None:
        """Keeps a connection after its attempt."""
        if self.is_current():
            self.idle_since.append(now)

    def close_used(self) -> None:
        """Closes the connection of an attempt."""
        if self.is_current():
            self.server.change_connections(-1)

    def close_idle(self) -> None:
        """Closes all idle connections."""
        self._close_oldest(len(self.idle_since))

    def close_idle_before(self, time: int) -> None:
        """Closes the connections that have been idle since before `time`."""
        expired = sum(since < time for since in self.idle_since)
        if expired:
            self._close_oldest(expired)

    def _close_oldest(self, count: int) -> None:
        del self.idle_since[:count]
        if self.is_current():
            self.server.change_connections(-count)
