"""The listed servers, updated from server-list events together with the subset."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from balancer.policy.ejection import OutlierEjection
from balancer.policy.gradient import GradientController
from balancer.policy.interface import Actions, ListKind, ServerEntry, Settings, State
from balancer.policy.server import PRIOR_WEIGHT, SUBSET_SAMPLE_WEIGHT, Average, Server
from balancer.policy.spillover import ZoneSpillover
from balancer.policy.start_times import StartTimes
from balancer.policy.subset import Subset
from balancer.policy.timers import TimerKind, timer_token

# The first backoff after a failed poll, and the longest backoff, are the longest interval allowed between
# polls divided by these numbers.
BASE_BACKOFF_DIVISOR = 20
MAX_BACKOFF_DIVISOR = 4
MAX_BACKOFF_DOUBLINGS = 3


class ServerList:
    """The servers that are listed or still have attempts in flight.

    Args:
        settings: The instance's settings.
        actions: The host's actions.
        rng: The instance's random number generator.
        servers: The servers by id, shared with the subset.
        subset: The members, which are selected from the listed servers.
        ejection: The ejected members.
        controller: The concurrency limit, whose bounds depend on the number of members.
        spillover: The share of requests for remote zones, whose minimum depends on the members.
    """

    def __init__(
        self,
        settings: Settings,
        actions: Actions,
        rng: Random,
        servers: dict[int, Server],
        subset: Subset,
        ejection: OutlierEjection,
        controller: GradientController,
        spillover: ZoneSpillover,
    ) -> None:
        self.settings = settings
        self.actions = actions
        self.rng = rng
        self.servers = servers
        self.subset = subset
        self.ejection = ejection
        self.controller = controller
        self.spillover = spillover
        self.start_times = StartTimes(settings.slow_start_time)
        self.average_by_kind: dict[int, Average] = {}
        self.has_initial_list = False  # A list other than a cached one has arrived.
        self.poll_failures = 0

    def update(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Update the servers from a complete list or from changes to it, or retry if the poll has failed."""
        if kind == ListKind.FAILED:
            self.retry_poll()
            return
        if kind != ListKind.CACHED:
            self.poll_failures = 0
        latest = {entry.server: entry for entry in entries}  # The last entry for a server applies.
        if self.start_times.observe(now, latest.values(), len(self.servers.keys() | latest.keys())):
            for server in self.servers.values():
                self.correct_slow_start(server)
        if kind != ListKind.CHANGES:
            self.remove_unlisted(latest)
        for entry in latest.values():
            self.apply(now, entry)
        self.has_initial_list |= kind != ListKind.CACHED
        self.forget_removed()
        self.reselect_members()

    def retry_poll(self) -> None:
        """Schedule the next poll with exponential backoff and jitter, well within the longest interval."""
        self.poll_failures += 1
        longest = self.settings.max_list_poll_interval
        base = max(self.settings.tick, longest // BASE_BACKOFF_DIVISOR)
        doubled = base << min(self.poll_failures - 1, MAX_BACKOFF_DOUBLINGS)
        delay = min(doubled, max(base, longest // MAX_BACKOFF_DIVISOR))
        self.actions.set_timer(int(delay * (0.5 + self.rng.random())), timer_token(TimerKind.POLL_LIST))

    def remove_unlisted(self, listed: Mapping[int, ServerEntry]) -> None:
        """Remove the servers that a full list does not contain."""
        for server in self.servers.values():
            if server.in_list and server.id not in listed:
                self.remove(server)

    def apply(self, now: int, entry: ServerEntry) -> None:
        """Add, update or remove a server according to one entry of a list."""
        server = self.servers.get(entry.server)
        if entry.state != State.READY:
            if server is not None:
                self.remove(server)
            return
        if server is None:
            average = self.average_by_kind.setdefault(
                entry.kind, Average(1.0, PRIOR_WEIGHT, SUBSET_SAMPLE_WEIGHT)
            )
            server = self.servers[entry.server] = Server(entry, average)
            self.begin_slow_start(now, server, entry)
        elif server.ready_at != entry.ready_at:
            if server.ejected:
                self.ejection.readmit(server)
            server.reset(entry)
            self.begin_slow_start(now, server, entry)
        server.in_list = True
        server.cell, server.zone = entry.cell, entry.zone

    def begin_slow_start(self, now: int, server: Server, entry: ServerEntry) -> None:
        """Begin the slow start of a server that is new or has restarted.

        Without a slow start, a restarted server looks idle and would get more requests than it can serve.
        """
        server.start = self.start_times.record(now, entry, self.has_initial_list)
        server.tokens_at = now
        self.correct_slow_start(server)

    def correct_slow_start(self, server: Server) -> None:
        """Set the end of a server's slow start according to the current estimate of its start time."""
        server.slow_start_until = self.start_times.slow_start_until(server.start)

    def remove(self, server: Server) -> None:
        """Remove a server that is draining or gone from the list, so that no attempt starts on it."""
        server.in_list = False
        if server.ejected:
            self.ejection.readmit(server)
        server.member = False

    def forget_removed(self) -> None:
        """Forget the servers that are not listed and have no attempts in flight."""
        for key, server in list(self.servers.items()):
            if not server.in_list and server.in_flight == 0 and server.uploads == 0:
                self.start_times.remember(key, server.start)
                del self.servers[key]

    def reselect_members(self) -> None:
        """Select the members again, and update everything that depends on their number."""
        self.subset.select_members()
        for server in [e for e in self.ejection.ejected if not e.member]:
            self.ejection.readmit(server)
        members = self.subset.members
        listed = sum(server.in_list for server in self.servers.values())
        self.controller.resize(len(members), self.settings.instances * len(members) / max(1, listed))
        self.spillover.resize(members)
        self.subset.update_available()
