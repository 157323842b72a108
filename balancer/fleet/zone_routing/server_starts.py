"""When the slow starts of a zone's servers are over, where wall clocks may be off.

Times are microseconds of this process's monotonic clock, except those of discovery's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from balancer.policy.interface import ListKind, ServerEntry


@dataclass(frozen=True)
class ServerStart:
    """A server's last start, as discovery has it and as this node learned of it.

    Attributes:
        ready_at: When the server became ready, by discovery's clock; 0 if it is not known.
        learned_at: When this node learned of it.
        is_witnessed: This node knew the server with another start before.
    """

    ready_at: int
    learned_at: int
    is_witnessed: bool

    def slow_start_until(self, slow_start_time: int, list_clock_offset: int) -> int:
        """Return when the slow start is over; 0 if the server started long ago.

        Failure prevented: the node's wall clock is off, so that a server counts as warm at once, or as in
        slow start for an hour.

        Args:
            slow_start_time: How long a slow start lasts.
            list_clock_offset: How far discovery's clock is ahead of the monotonic clock.
        """
        if self.ready_at <= 0:
            return 0
        latest = self.learned_at + slow_start_time
        return (
            latest if self.is_witnessed else min(latest, self.ready_at + slow_start_time - list_clock_offset)
        )


class ServerStarts:
    """The starts of all servers that discovery lists, ready or not.

    Args:
        slow_start_time: How long a slow start lasts.
        now: Returns the monotonic clock.
    """

    def __init__(self, slow_start_time: int, now: Callable[[], int]) -> None:
        self.slow_start_time = slow_start_time
        self.now = now
        self.by_server: dict[int, ServerStart] = {}
        self.list_clock_offset = 0

    def update(self, list_now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Take a list, or changes of it.

        Args:
            list_now: Discovery's clock.
            kind: Whether the entries are all servers or only those that changed.
            entries: The servers.
        """
        if kind != ListKind.CHANGES:
            listed = {entry.server for entry in entries}
            self.by_server = {server: start for server, start in self.by_server.items() if server in listed}
        for entry in entries:
            known = self.by_server.get(entry.server)
            if known is None or known.ready_at != entry.ready_at:
                is_witnessed = known is not None
                self.by_server[entry.server] = ServerStart(entry.ready_at, self.now(), is_witnessed)
        self.list_clock_offset = list_now - self.now()

    def slow_start_until(self, server: int) -> int:
        """Return when a listed server's slow start is over; 0 if it started long ago."""
        return self.by_server[server].slow_start_until(self.slow_start_time, self.list_clock_offset)
