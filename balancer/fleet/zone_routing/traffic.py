"""Traffic between zones of one node: feeds the decisions with discovery's list and with the outcomes of
attempts, and publishes the shares that come of it to the policy.

Times are microseconds; `now` and `wall` are the process's monotonic clock and Unix time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from balancer.fleet.config import FleetConfig
from balancer.fleet.zone_routing.decisions import Listed, Zones
from balancer.fleet.zone_routing.messages import ZoneKind, ZoneMessage
from balancer.fleet.zone_routing.orders import Orders, Out
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.policy.interface import ListKind, Outcome, ServerEntry, Settings, State

NO_EVIDENCE = (Outcome.CANCELLED, Outcome.NOT_SENT)  # outcomes that tell nothing about a server
MIN_SHARE_CHANGE = 0.005  # a smaller change isn't worth publishing...
MIN_ROUND_TRIP_CHANGE = 500  # ...nor is a round-trip's by fewer microseconds than this, or by under a tenth
Publish = Callable[[dict[int, float], dict[int, int]], None]


@dataclass(frozen=True)
class Start:
    """A server's last start, as discovery has it and as this node learned of it."""

    ready_at: int  # by discovery's clock
    learned_at: int
    witnessed: bool  # the server was known with another start before

    def cold_until(self, cold_time: int, list_clock_offset: int) -> int:
        """When the slow start is over; 0 where the server started long ago.

        Failure prevented: the node's wall clock is off, so that a server counts as warm at once, or as cold
        for an hour.
        """
        if self.ready_at <= 0:
            return 0
        longest = self.learned_at + cold_time
        return longest if self.witnessed else min(longest, self.ready_at + cold_time - list_clock_offset)


class ZoneTraffic:
    """Open from `open` to `close`, each time anew; discovery's list and what was published stay."""

    kinds = frozenset(ZoneKind)  # of the messages for `received`
    zones_class = Zones  # a workbench may measure against another

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
        """`schedule`: to be called when the deadline has changed. `publish`: gets shares and additional
        round-trip times by zone number."""
        self.config = config
        self.zone_settings = zone_settings
        self.settings = settings
        self.now = now
        self.wall = wall
        self.schedule = schedule
        self.log_line = log_line
        self.publish = publish
        self.zones: Zones | None = None
        self.orders: Orders | None = None
        self.alive: Callable[[], Sequence[str]] = tuple
        self.ready_servers: dict[int, ServerEntry] = {}
        self.starts: dict[int, Start] = {}  # of the servers that discovery lists, ready or not
        self.list_clock_offset = 0  # of discovery's clock against `now`
        self.zone_numbers: Mapping[str, int] = {}
        self.published_shares: dict[str, float] = {}
        self.published_round_trips: dict[str, int] = {}

    def open(self, alive: Callable[[], Sequence[str]], rng: Random) -> None:
        """A new life begins. `alive`: the names of the other members that are alive."""
        self.alive = alive
        config, settings, now = self.config, self.settings, self.now()
        self.zones = self.zones_class(
            config.zone,
            self.zone_settings,
            settings.slow_start_time,
            settings.slow_start_share,
            now,
            self.rank,
            self.log_line,
        )
        self.orders = Orders(config.name, alive, self.wall, rng, self.now)
        self.update_zones()

    def close(self) -> None:
        """The policy keeps the last shares: there is no way to go on without."""
        self.zones = self.orders = None

    def rank(self) -> float:
        """This node's place among the members, from 0 to 1."""
        names = sorted([*self.alive(), self.config.name])
        return names.index(self.config.name) / len(names)

    # ---- what the node sees -----------------------------------------------------------------------------

    def server_list(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], zone_numbers: Mapping[str, int]
    ) -> None:
        """Discovery's news, as the policy gets it. `now`: by discovery's clock."""
        if kind == ListKind.FAILED:
            return
        if kind != ListKind.CHANGES:
            self.ready_servers.clear()
            listed = {entry.server for entry in entries}
            self.starts = {server: start for server, start in self.starts.items() if server in listed}
        for entry in entries:
            self.note_start(entry)
            if entry.state == State.READY:
                self.ready_servers[entry.server] = entry
            else:
                self.ready_servers.pop(entry.server, None)
        self.list_clock_offset = now - self.now()
        self.zone_numbers = zone_numbers
        self.update_zones()

    def note_start(self, entry: ServerEntry) -> None:
        """Keeps when this node learned of a server's start."""
        known = self.starts.get(entry.server)
        if known is None or known.ready_at != entry.ready_at:
            self.starts[entry.server] = Start(entry.ready_at, self.now(), witnessed=known is not None)

    def update_zones(self) -> None:
        """Hands the list to the decisions."""
        if self.zones is None or not self.ready_servers:
            return
        names = {number: name for name, number in self.zone_numbers.items()}
        cold_time, offset = self.settings.slow_start_time, self.list_clock_offset
        self.zones.listed(
            {
                number: Listed(names[entry.zone], self.starts[number].cold_until(cold_time, offset))
                for number, entry in self.ready_servers.items()
            }
        )
        self.schedule()

    def attempt_ended(self, server: int, outcome: Outcome, latency: int, connect_seconds: float) -> None:
        """`connect_seconds`: what a new connection for the attempt took, or 0."""
        if self.zones is None or outcome in NO_EVIDENCE:
            return
        if self.zones.ended(self.now(), server, outcome == Outcome.OK, latency):
            self.schedule()
        if connect_seconds:
            self.zones.connected(server, int(connect_seconds * 1e6))

    def allows(self, server: int) -> bool:
        """Whether the server's zone takes calls from here."""
        return self.zones is None or self.zones.allows(server)

    def set_ejected(self, server: int, ejected: bool) -> None:
        """The policy has ejected a server, or does not any more."""
        if self.zones is not None:
            self.zones.set_aside(server, ejected)

    # ---- time and messages ------------------------------------------------------------------------------

    def deadlines(self) -> list[int | None]:
        """When `tick` is due, for one reason or another."""
        if self.zones is None or self.orders is None or not self.ready_servers:
            return []
        return [self.zones.deadline(), self.orders.deadline()]

    def tick(self, now: int) -> Out:
        """Does what is due."""
        if self.zones is None or self.orders is None:
            return []
        if self.ready_servers and self.zones.tick(now):
            self.zones.ordered(self.orders.left(), self.orders.returned())
            self.publish_changes(now, self.zones)
        return self.orders.tick(now)

    def publish_changes(self, now: int, zones: Zones) -> None:
        """Tells the policy of shares and round-trip times that have changed enough."""
        shares, round_trips = zones.shares(now), zones.trips()
        if not self.shares_changed(shares) and not self.round_trips_changed(round_trips):
            return
        self.published_shares, self.published_round_trips = shares, round_trips
        numbers = self.zone_numbers
        self.publish(
            {numbers[zone]: share for zone, share in shares.items()},
            {numbers[zone]: time for zone, time in round_trips.items()},
        )

    def shares_changed(self, shares: dict[str, float]) -> bool:
        before = self.published_shares
        if list(shares) != list(before):
            return True
        return any(abs(shares[zone] - before[zone]) > MIN_SHARE_CHANGE for zone in shares)

    def round_trips_changed(self, round_trips: dict[str, int]) -> bool:
        before = self.published_round_trips
        return any(
            abs(time - before.get(zone, 0)) > max(MIN_ROUND_TRIP_CHANGE, time // 10)
            for zone, time in round_trips.items()
        )

    def received(self, now: int, message: ZoneMessage) -> Out:
        """An operator's directives, passed on by another member."""
        if self.orders is not None:
            self.orders.received(message)
        return []

    # ---- what operators see -----------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """The key `zones` of the page, while this is open."""
        return {"zones": self.zones.view(now)} if self.zones is not None else {}
