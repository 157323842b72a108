"""Connects zone routing with one node's policy.

Feeds the router with discovery's list, outcomes of attempts and operators' directives, and publishes the
shares that follow to the policy. Times are microseconds; `now` and `wall` are the process's monotonic clock
and Unix time.
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

OUTCOMES_WITHOUT_EVIDENCE = (Outcome.CANCELLED, Outcome.NOT_SENT)  # they show nothing of the server


class ZoneTraffic:
    """Zone routing of one process, open from `open` to `close`, any number of times.

    Discovery's list and the published shares survive `close`.

    Args:
        config: The process's name and zone.
        zone_settings: Thresholds and times of zone routing.
        settings: The policy's settings.
        now: Returns the monotonic clock.
        wall: Returns Unix time.
        schedule: To be called when the deadline has changed.
        log_line: Takes a line for the log.
        publish: Takes shares and extra round-trip times by zone number.
    """

    kinds = frozenset(ZoneKind)  # of the messages for `received`
    router_class = ZoneRouter  # the workbench measures it against another

    def __init__(
        self,
        config: FleetConfig,
        zone_settings: ZoneSettings,
        settings: Settings,
        now: Callable[[], int],
        wall: Callable[[], int],
        schedule: Callable[[], None],
        log_line: Callable[[str], None],
        publish: Publish,
    ) -> None:
        self.config = config
        self.zone_settings = zone_settings
        self.settings = settings
        self.now = now
        self.wall = wall
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
        """Begin a new incarnation.

        Args:
            alive: Returns the names of the other members that are alive.
            rng: Chooses the members that directives are passed on to.
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
        self.directives = ZoneDirectives(self.config.name, alive, self.wall, rng, self.now)
        self.update_router()

    def close(self) -> None:
        """Stop. The policy keeps the last shares, since it cannot route to zones without any."""
        self.router = self.directives = None

    def rank(self) -> float:
        """Return this node's place among the members, from 0 to 1."""
        names = sorted([*self.alive(), self.config.name])
        return names.index(self.config.name) / len(names)

    # ---- what the node sees -----------------------------------------------------------------------------

    def server_list(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], zone_numbers: Mapping[str, int]
    ) -> None:
        """Take a list, or changes of it, as the policy gets it from discovery.

        Args:
            now: Discovery's clock.
            kind: Whether the entries are all servers or only those that changed. A failure changes nothing.
            entries: The servers.
            zone_numbers: The policy's numbers of zones by name.
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
        """Give the list to the router."""
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
        """Take the outcome of an attempt.

        Args:
            server: The server's number.
            outcome: How the attempt ended.
            latency: Microseconds from its begin to its end.
            connect_seconds: What a new connection for it took, or 0.
        """
        if self.router is None or outcome in OUTCOMES_WITHOUT_EVIDENCE:
            return
        if self.router.record_outcome(self.now(), server, outcome == Outcome.OK, latency):
            self.schedule()
        if connect_seconds:
            self.router.record_connection(server, int(connect_seconds * 1e6))

    def allows(self, server: int) -> bool:
        """Return whether the server's zone takes calls from here."""
        return self.router is None or self.router.allows(server)

    def set_ejected(self, server: int, ejected: bool) -> None:
        """Take that the policy has ejected a server, or does not eject it any more."""
        if self.router is not None:
            self.router.set_ejected(server, ejected)

    # ---- time and messages ------------------------------------------------------------------------------

    def deadlines(self) -> list[int | None]:
        """Return the times at which `tick` is due."""
        if self.router is None or self.directives is None or not self.ready_servers:
            return []
        return [self.router.deadline(), self.directives.deadline()]

    def tick(self, now: int) -> list[Outgoing]:
        """Do what is due, and return messages to be sent."""
        if self.router is None or self.directives is None:
            return []
        if self.ready_servers and self.router.tick(now):
            self.router.apply_directives(self.directives.remaining(), self.directives.returned())
            shares, round_trips = self.router.shares(now), self.router.extra_round_trips()
            self.publisher.update(shares, round_trips, self.zone_numbers)
        return self.directives.tick(now)

    def received(self, message: ZoneMessage) -> None:
        """Take over operators' directives that another member passes on."""
        if self.directives is not None:
            self.directives.received(message)

    # ---- what operators see -----------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Return the key `zones` of the operators' page, or nothing while this is closed."""
        return {"zones": self.router.status(now)} if self.router is not None else {}
