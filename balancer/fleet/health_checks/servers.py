"""What a node knows of each server that is, or was, ejected.

All times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.fleet.health_checks.messages import ProbeAnnouncement


@dataclass
class EjectedServer:
    """A server that this node has ejected.

    Attributes:
        waiting_since: When it was ejected, or another node last found it recovered.
        probe_due_at: When this node's next probe is due.
        covered_until: Until when another node's announcement is valid, so that this node need not probe.
        idle_until: This node had no requests to probe with, and does not acquire the lease before this time.
        failure_unannounced: This node's probe has failed, and the other nodes do not know yet.
        announced_token: Token under which this node's probes were announced.
        announced_at: When they were first announced under that token.
    """

    waiting_since: int
    probe_due_at: int
    covered_until: int = 0
    idle_until: int = 0
    failure_unannounced: bool = False
    announced_token: int = 0
    announced_at: int = 0

    def acquire_after(self) -> int:
        """The time before which this node does not acquire the server's lease."""
        return max(self.covered_until, self.idle_until)

    def idle_at(self, idle_timeout: int) -> int:
        """When a lease holder that has not probed turns out to have no requests to probe with."""
        return max(self.probe_due_at, self.announced_at) + idle_timeout


@dataclass
class RecoveredServer:
    """A server that this node has probed with success, while it holds the lease to announce that."""

    token: int
    announcements_left: int
    next_announcement_at: int


@dataclass(frozen=True)
class LastAnnouncement:
    """The newest announcement of a server's lease holder, whether the server is ejected here or not."""

    token: int
    valid_until: int


class AnnouncementHistory:
    """The last announcement of each server, of the servers that were announced most recently."""

    def __init__(self, max_servers: int) -> None:
        self.max_servers = max_servers
        self.last: dict[int, LastAnnouncement] = {}

    def __len__(self) -> int:
        """How many servers are known."""
        return len(self.last)

    def record(self, probe: ProbeAnnouncement, valid_until: int) -> None:
        """Remembers an announcement, and forgets the oldest ones beyond the limit."""
        self.last.pop(probe.server, None)
        self.last[probe.server] = LastAnnouncement(probe.token, valid_until)
        while len(self.last) > self.max_servers:
            del self.last[next(iter(self.last))]

    def highest_token(self, server: int) -> int:
        """The token of the newest announcement; 0 if there is none."""
        last = self.last.get(server)
        return last.token if last is not None else 0

    def valid_until(self, server: int) -> int:
        """Until when the newest announcement is valid; 0 if there is none."""
        last = self.last.get(server)
        return last.valid_until if last is not None else 0
