"""The end of each server's slow start, computed so that a wrong wall clock cannot distort it.

The slow start is the time after a server's start in which it gets fewer calls than others. Times are
microseconds of this process's monotonic clock, except those of discovery's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from balancer.policy.interface import ListKind, ServerEntry


@dataclass(frozen=True)
class ServerStart:
    """The last start of a server.

    Attributes:
        ready_at: Time at which the server became ready, by discovery's clock; 0 if unknown.
        learned_at: Time at which this node learned of the start.
        is_observed: Whether the server was listed with another start before, so that this node observed the
            restart.
    """

    ready_at: int
    learned_at: int
    is_observed: bool

    def slow_start_until(self, slow_start_time: int, list_clock_offset: int) -> int:
        """Return the end of the server's slow start, or 0 if the time of its start is unknown.

        An observed restart counts from the time at which this node learned of it, and any slow start ends at
        the latest one slow-start time after that time. If the end were computed from discovery's clock alone,
        a node whose wall clock is wrong would end the slow start at once, or prolong it by an hour.

        Args:
            slow_start_time: Duration of a slow start.
            list_clock_offset: Difference between discovery's clock and the monotonic clock.
        """
        if self.ready_at <= 0:
            return 0
        latest = self.learned_at + slow_start_time
        return (
            latest if self.is_observed else min(latest, self.ready_at + slow_start_time - list_clock_offset)
        )


class ServerStarts:
    """The starts of all servers in discovery's list, ready or not.

    Args:
        slow_start_time: Duration of a slow start.
        now: Returns the monotonic clock.
    """

    def __init__(self, slow_start_time: int, now: Callable[[], int]) -> None:
        self.slow_start_time = slow_start_time
        self.now = now
        self.by_server: dict[int, ServerStart] = {}
        self.list_clock_offset = 0

    def update(self, list_now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Update the starts from a full list of servers or from the changes to it.

        Args:
            list_now: Discovery's clock.
            kind: Kind of the list: all servers, or only those that changed.
            entries: The servers.
        """
        if kind != ListKind.CHANGES:
            listed = {entry.server for entry in entries}
            self.by_server = {server: start for server, start in self.by_server.items() if server in listed}
        for entry in entries:
            previous = self.by_server.get(entry.server)
            if previous is None or previous.ready_at != entry.ready_at:
                is_observed = previous is not None
                self.by_server[entry.server] = ServerStart(entry.ready_at, self.now(), is_observed)
        self.list_clock_offset = list_now - self.now()

    def slow_start_until(self, server: int) -> int:
        """Return the end of a listed server's slow start, or 0 if its start is unknown."""
        return self.by_server[server].slow_start_until(self.slow_start_time, self.list_clock_offset)
