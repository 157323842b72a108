"""The state that a node keeps for each server that is or was ejected.

Each ejected server has a lease in its zone. The holder of the lease probes the server and announces the
probes to the other nodes of the zone.

All times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.fleet.health_checks.messages import ProbeAnnouncement


@dataclass
class EjectedServer:
    """A server that this node has ejected.

    Attributes:
        waiting_since: Time at which the server was ejected, or another node last reported its recovery.
        probe_due_at: Time at which this node's next probe is due.
        announced_until: Time until which another node's announcement is valid and this node need not probe.
        idle_until: Time before which this node does not acquire the lease, because it had no requests to
            probe with.
        failure_unannounced: Whether a probe of this node has failed and has not been announced yet.
        announced_token: Token of the lease under which this node has announced its probes.
        announced_at: Time of this node's first announcement under `announced_token`.
    """

    waiting_since: int
    probe_due_at: int
    announced_until: int = 0
    idle_until: int = 0
    failure_unannounced: bool = False
    announced_token: int = 0
    announced_at: int = 0

    def acquire_after(self) -> int:
        """Return the time before which this node does not acquire the server's lease."""
        return max(self.announced_until, self.idle_until)

    def idle_at(self, idle_timeout: int) -> int:
        """Return the time from which this node counts as an idle holder of the lease.

        An idle holder has not made its probe because it has no requests to probe with.
        """
        return max(self.probe_due_at, self.announced_at) + idle_timeout


@dataclass
class RecoveredServer:
    """A server that this node has probed successfully and whose recovery it still announces.

    `token` is the token of the server's lease under which this node has probed.
    """

    token: int
    announcements_left: int
    next_announcement_at: int


@dataclass(frozen=True)
class LastAnnouncement:
    """The latest announcement of a server's lease holder; the server need not be ejected on this node."""

    token: int
    valid_until: int


class AnnouncementHistory:
    """The last announcements for a limited number of servers, those that were announced most recently."""

    def __init__(self, max_servers: int) -> None:
        self.max_servers = max_servers
        self.last_announcements: dict[int, LastAnnouncement] = {}

    def __len__(self) -> int:
        """Return the number of servers that have an announcement."""
        return len(self.last_announcements)

    def record(self, probe: ProbeAnnouncement, valid_until: int) -> None:
        """Remember an announcement, and drop the oldest ones if there are more than `max_servers`."""
        self.last_announcements.pop(probe.server, None)
        self.last_announcements[probe.server] = LastAnnouncement(probe.token, valid_until)
        while len(self.last_announcements) > self.max_servers:
            del self.last_announcements[next(iter(self.last_announcements))]

    def highest_token(self, server: int) -> int:
        """Return the token of the last announcement about a server; 0 if there is none."""
        last = self.last_announcements.get(server)
        return last.token if last is not None else 0

    def valid_until(self, server: int) -> int:
        """Return the time until which the last announcement about a server is valid; 0 if there is none."""
        last = self.last_announcements.get(server)
        return last.valid_until if last is not None else 0
