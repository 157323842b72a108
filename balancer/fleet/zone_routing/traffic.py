"""The connection between zone routing and one node's policy.

The router receives discovery's list, the outcomes of attempts and operators' directives; the resulting shares
are published to the policy. Times are microseconds; `now` is the process's monotonic clock, and `wall_clock`
is Unix time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from balancer.fleet.component import Outgoing
from balancer.fleet.config import FleetConfig
from balancer.fleet.zone_routing.directives import ZoneDirectives
from balancer.fleet.zone_routing.messages import ZoneKind, ZoneMessage
from balancer.fleet.zone_routing.publication import Publish, SharePublisher
from balancer.fleet.zone_routing.router import ListedServer, ZoneRouter
from balancer.fleet.zone_routing.server_starts import ServerStarts
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.policy.interface import ListKind, Outcome, ServerEntry, Settings, State

# Outcomes that say nothing about the health of the server.
OUTCOMES_WITHOUT_EVIDENCE = (Outcome.CANCELLED, Outcome.NOT_SENT)


class ZoneTraffic:
    """Zone routing of one process, which can be opened and closed repeatedly.

    While it is closed, discovery's list of servers and the published shares of the zones are kept.

    Args:
        config: Configuration of the fleet, with the process's name and zone.
        zone_settings: Settings of zone routing.
        settings: The policy's settings.
        now: Returns the monotonic clock.
        wall_clock: Returns the wall clock in microseconds of Unix time.
        schedule: Callback that reschedules the timer after a change of the deadline.
        log_line: Writes a line to the log.
        publish: Callback for shares and extra round-trip times, both by zone number.
    """

    # Kinds of the messages that `received` handles.
    kinds = frozenset(ZoneKind)
    # Class of the router; the workbench replaces it by simpler routers for comparison.
    router_class = ZoneRouter

    def __init__(
        self,
        config: FleetConfig,
        zone_settings: ZoneSettings,
        settings: Settings,
        now: Callable[[], int],
        wall_clock: Callable[[], int],
        schedule: Callable[[], None],
        log_line: Callable[[str], None],
        publish: Publish,
    ) -> None:
        self.config = config
        self.zone_settings = zone_settings
        self.settings = settings
        self.now = now
        self.wall_clock = wall_clock
        self.schedule = schedule
        self.log_line = log_line
        self.publisher = SharePublisher(publish)
        self.router: ZoneRouter | None = None
        self.directives: ZoneDirectives | None = None
        self.alive: Callable[[], Sequence[str]] = tuple
        self.ready_servers: dict[int, ServerEntry] = {}
        self.starts = ServerStarts(settings.slow_start_time, now)
        self.zone_numbers: Mapping[str, int] = {}

    def open(self, alive: Callable[[], Sequence[str]], rng: Random) -> None:
        """Start routing with a new router and without operators' directives.

        Args:
            alive: Returns the names of the other alive members.
            rng: Random stream for the choice of members to gossip with.
        """
        self.alive = alive
        self.router = self.router_class(
            self.config.zone,
            self.zone_settings,
            self.settings.slow_start_time,
            self.settings.slow_start_share,
            self.now(),
            self.rank,
            self.log_line,
        )
        self.directives = ZoneDirectives(self.config.name, alive, self.wall_clock, rng, self.now)
        self.update_router()

    def close(self) -> None:
        """Discard the router and the directives.

        The policy keeps the last shares, since it cannot route to zones without shares.
        """
        self.router = self.directives = None

    def rank(self) -> float:
        """Return this node's position among the sorted member names, from 0 to below 1."""
        names = sorted([*self.alive(), self.config.name])
        return names.index(self.config.name) / len(names)

    # ---- Servers and outcomes ---------------------------------------------------------------------------

    def server_list(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], zone_numbers: Mapping[str, int]
    ) -> None:
        """Update the servers from a full list of discovery or from the changes to it.

        Args:
            now: Discovery's clock.
            kind: Kind of the list: all servers, or only those that changed; a failed list is ignored.
            entries: The servers.
            zone_numbers: The policy's zone numbers by zone name.
        """
        if kind == ListKind.FAILED:
            return
        if kind != ListKind.CHANGES:
            self.ready_servers.clear()
        for entry in entries:
            if entry.state == State.READY:
                self.ready_servers[entry.server] = entry
            else:
                self.ready_servers.pop(entry.server, None)
        self.starts.update(now, kind, entries)
        self.zone_numbers = zone_numbers
        self.update_router()

    def update_router(self) -> None:
        """Pass the ready servers to the router."""
        if self.router is None or not self.ready_servers:
            return
        names = {number: name for name, number in self.zone_numbers.items()}
        self.router.update_servers(
            {
                number: ListedServer(names[entry.zone], self.starts.slow_start_until(number))
                for number, entry in self.ready_servers.items()
            }
        )
        self.schedule()

    def attempt_ended(self, server: int, outcome: Outcome, latency: int, connect_seconds: float) -> None:
        """Record the outcome of an attempt.

        Args:
            server: The server's number.
            outcome: Outcome of the attempt.
            latency: Duration of the attempt in microseconds.
            connect_seconds: Time in seconds to open a new connection for the attempt; 0 if none was opened.
        """
        if self.router is None or outcome in OUTCOMES_WITHOUT_EVIDENCE:
            return
        if self.router.record_outcome(self.now(), server, outcome == Outcome.OK, latency):
            self.schedule()
        if connect_seconds:
            self.router.record_connection(server, int(connect_seconds * 1e6))

    def allows(self, server: int) -> bool:
        """Return whether zone routing allows calls to a server; it does so for all servers while closed."""
        return self.router is None or self.router.allows(server)

    def set_ejected(self, server: int, is_ejected: bool) -> None:
        """Record that the policy has ejected or readmitted a server."""
        if self.router is not None:
            self.router.set_ejected(server, is_ejected)

    # ---- Time and messages ------------------------------------------------------------------------------

    def deadlines(self) -> list[int | None]:
        """Return the times at which `tick` is due for the router and for the directives."""
        if self.router is None or self.directives is None or not self.ready_servers:
            return []
        return [self.router.deadline(), self.directives.deadline()]

    def tick(self, now: int) -> list[Outgoing]:
        """Evaluate the zones and publish their shares if that is due; return the messages with directives."""
        if self.router is None or self.directives is None:
            return []
        if self.ready_servers and self.router.tick(now):
            self.router.apply_directives(
                self.directives.remaining_durations(), self.directives.returning_zones()
            )
            shares, round_trips = self.router.shares(now), self.router.extra_round_trips()
            self.publisher.update(shares, round_trips, self.zone_numbers)
        return self.directives.tick(now)

    def received(self, message: ZoneMessage) -> None:
        """Store operators' directives received from another member."""
        if self.directives is not None:
            self.directives.received(message)

    # ---- Status page ------------------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Return the key `zones` of the operators' page, or an empty dictionary while routing is closed."""
        return {"zones": self.router.status(now)} if self.router is not None else {}
