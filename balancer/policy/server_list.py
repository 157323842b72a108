"""The listed servers: takes in the events of the server list, and keeps the subset up to date with it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from balancer.policy.ejection import OutlierEjection
from balancer.policy.gradient import GradientController
from balancer.policy.interface import Actions, ListKind, ServerEntry, Settings, State
from balancer.policy.server import PRIOR, SMOOTH_ALL, Average, Server
from balancer.policy.spillover import ZoneSpillover
from balancer.policy.start_times import StartTimes
from balancer.policy.subset import Subset
from balancer.policy.timers import TimerKind, timer_token

POLLS_PER_INTERVAL = 20  # the first backoff is this part of the longest interval allowed between polls
MAX_BACKOFF_SHARE = 4  # and the longest one this part of it
MAX_BACKOFF_DOUBLINGS = 3


class ServerList:
    """The servers that are listed, and those that still have attempts in flight.

    Args:
        settings: The instance's settings.
        actions: The host's actions.
        rng: The instance's random stream.
        servers: The servers by id, shared with the subset.
        subset: The members taken from them.
        ejection: The members that are ejected.
        controller: The limit, whose bounds depend on the number of members.
        spillover: The share of remote zones, whose minimum depends on the members.
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
        self.has_initial_list = False  # one that is not from before this process
        self.poll_failures = 0

    def update(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Records a list, a part of one, or that a poll has failed."""
        if kind == ListKind.FAILED:
            self.retry_poll()
            return
        if kind != ListKind.CACHED:
            self.poll_failures = 0
        latest = {entry.server: entry for entry in entries}  # of an entry that comes twice the last holds
        if self.start_times.observe(now, latest.values(), len(self.servers.keys() | latest.keys())):
            for server in self.servers.values():
                self.correct_slow_start(server)
        if kind != ListKind.CHANGES:
            self.remove_unlisted(latest)
        for entry in latest.values():
            self.apply(now, entry)
        self.has_initial_list |= kind != ListKind.CACHED
        self.forget_removed()
        self.refill()

    def retry_poll(self) -> None:
        """Schedules the next poll: exponential backoff with jitter, well inside the longest interval."""
        self.poll_failures += 1
        longest = self.settings.max_list_poll_interval
        base = max(self.settings.tick, longest // POLLS_PER_INTERVAL)
        doubled = base << min(self.poll_failures - 1, MAX_BACKOFF_DOUBLINGS)
        delay = min(doubled, max(base, longest // MAX_BACKOFF_SHARE))
        self.actions.set_timer(int(delay * (0.5 + self.rng.random())), timer_token(TimerKind.POLL_LIST))

    def remove_unlisted(self, listed: Mapping[int, ServerEntry]) -> None:
        """Removes the servers that a full list leaves out."""
        for server in self.servers.values():
            if server.in_list and server.id not in listed:
                self.remove(server)

    def apply(self, now: int, entry: ServerEntry) -> None:
        """Records one entry of a list."""
        server = self.servers.get(entry.server)
        if entry.state != State.READY:
            if server is not None:
                self.remove(server)
            return
        if server is None:
            average = self.average_by_kind.setdefault(entry.kind, Average(1.0, PRIOR, SMOOTH_ALL))
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
        """Begins the slow start of a server that is new or has restarted.

        Failure prevented: a restarted server looks idle and attracts more requests than it can serve.
        """
        server.start = self.start_times.record(now, entry, self.has_initial_list)
        server.tokens_at = now
        self.correct_slow_start(server)

    def correct_slow_start(self, server: Server) -> None:
        """Sets the end of a server's slow start by what is known of its start now."""
        server.slow_start_until = self.start_times.slow_start_until(server.start)

    def remove(self, server: Server) -> None:
        """The server is draining or gone: no new attempt goes to it from now on."""
        server.in_list = False
        if server.ejected:
            self.ejection.readmit(server)
        server.member = False

    def forget_removed(self) -> None:
        """Forgets the servers that are not listed and have no attempts in flight."""
        for key, server in list(self.servers.items()):
            if not server.in_list and server.in_flight == 0 and server.uploads == 0:
                self.start_times.remember(key, server.start)
                del self.servers[key]

    def refill(self) -> None:
        """Selects the members anew, and updates everything that depends on their number."""
        self.subset.refill()
        for server in [e for e in self.ejection.ejected if not e.member]:
            self.ejection.readmit(server)
        members = self.subset.members
        listed = sum(server.in_list for server in self.servers.values())
        self.controller.resize(len(members), self.settings.instances * len(members) / max(1, listed))
        self.spillover.resize(members)
        self.subset.update_available()
