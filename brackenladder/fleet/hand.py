"""The fleet's hand in a node's module: who passes and who tries, as far as the configuration has it.

The module asks and tells through `interface.Fleet`, while it handles an event; what comes of it goes out with
the next tick, which `wake` asks for.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from brackenladder.fleet.config import FleetConfig
from brackenladder.fleet.duties.asker import Asker
from brackenladder.fleet.membership.codec import Part
from brackenladder.fleet.probe.decisions import Out, Probe
from brackenladder.fleet.probe.messages import ProbeMessage, ProbeWire
from brackenladder.fleet.probe.settings import settings_for
from brackenladder.fleet.remeasure.decisions import Remeasure, RemeasureSettings
from brackenladder.fleet.zones.decisions import Listed, Zones
from brackenladder.fleet.zones.messages import ZoneMessage, ZoneWire
from brackenladder.fleet.zones.orders import Orders
from brackenladder.interface import ListKind, Outcome, ServerEntry, Settings, State

UNCOUNTED = (Outcome.CANCELLED, Outcome.NOT_SENT)  # say nothing of a server
WAY = 500  # microseconds, or a tenth: nor is a way that is longer or shorter by that
MOVED = 0.005  # a share that has moved less is not worth telling the module
Spread = Callable[[dict[int, float], dict[int, int]], None]


class Hand:
    """Implements `interface.Fleet`. Before `open` and after `close` a node does as one alone."""

    zones_kind = Zones  # a workbench may measure against another

    def __init__(
        self,
        config: FleetConfig,
        settings: Settings,
        now: Callable[[], int],
        wall: Callable[[], int],
        wake: Callable[[], None],
        tell: Callable[[str], None],
    ) -> None:
        self.config = config
        self.settings = settings
        self.now = now
        self.wall = wall
        self.wake = wake
        self.tell = tell  # a line for the log
        self.verdict: Callable[[int, bool], None]  # of a server that another node tried; set by whoever hosts
        self.spread: Spread  # shares and ways by the zones' numbers, to the module; set with it
        self.probe: Probe | None = None
        self.remeasure: Remeasure | None = None
        self.zones: Zones | None = None
        self.orders: Orders | None = None
        self.alive: Callable[[], Sequence[str]] = tuple
        self.entries: dict[int, ServerEntry] = {}  # ready servers, as discovery has them
        self.ahead = 0  # the list's clock before ours
        self.numbers: Mapping[str, int] = {}  # of the zones
        self.shares: dict[str, float] = {}  # as the module was told last...
        self.trips: dict[str, int] = {}  # ...and the ways

    def open(self, alive: Callable[[], Sequence[str]], rng: Random) -> None:
        """A new life begins. `alive`: the other members that are held alive."""
        c, s = self.config, self.settings
        self.alive = alive
        if c.zones is not None:
            now = self.now()
            self.zones = self.zones_kind(
                c.zone, c.zones, s.cold_time, s.cold_share, now, self.place, self.tell
            )
            self.orders = Orders(c.name, alive, self.wall, rng, now)
            self.tell_zones()

    def vote(self, asker: Asker, rng: Random) -> None:
        """There are voters: duties can be had."""
        c, s = self.config, self.settings
        if c.probe:
            settings = settings_for(c.longest)
            self.probe = Probe(c.name, c.zone, settings, asker, self.alive, self.verdict, rng)
        if c.remeasure:
            self.remeasure = Remeasure(s.tier, s.instances, RemeasureSettings(c.remeasure), asker, rng)

    def close(self) -> None:
        """A module that was told of zones keeps its last shares: there is no way to be without."""
        self.probe = self.remeasure = self.zones = self.orders = None

    def wires(self) -> list[Part]:
        """Probes' messages are read by all that have voters, whether they probe themselves or not."""
        wires: list[Part] = []
        if self.config.voters:
            wires.append(ProbeWire())
        if self.config.zones is not None:
            wires.append(ZoneWire())
        return wires

    def place(self) -> float:
        """Where this node stands among the members, from 0 to 1."""
        names = sorted([*self.alive(), self.config.name])
        return names.index(self.config.name) / len(names)

    # ---- what the node sees -----------------------------------------------------------------------------

    def server_list(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], numbers: Mapping[str, int]
    ) -> None:
        """Discovery's news, as the module gets it; `numbers`: of the zones. `now`: by the list's clock."""
        if kind == ListKind.FAILED:
            return
        if kind != ListKind.CHANGES:
            self.entries.clear()
        for e in entries:
            if e.state == State.READY:
                self.entries[e.server] = e
            else:
                self.entries.pop(e.server, None)
        self.ahead = now - self.now()
        self.numbers = numbers
        self.tell_zones()

    def tell_zones(self) -> None:
        """The zones' part gets the list as it stands."""
        if self.zones is None or not self.entries:
            return
        names = {number: name for name, number in self.numbers.items()}
        cold = self.settings.cold_time - self.ahead
        self.zones.listed(
            {
                number: Listed(names[e.zone], e.ready_at + cold if e.ready_at > 0 else 0)
                for number, e in self.entries.items()
            }
        )
        self.wake()

    def ended(self, server: int, outcome: Outcome, latency: int, dial: float) -> None:
        """An attempt has ended; `dial`: seconds that a new connection for it took, or 0."""
        if self.zones is not None and outcome not in UNCOUNTED:
            if self.zones.ended(self.now(), server, outcome == Outcome.OK, latency):
                self.wake()
            if dial:
                self.zones.connected(server, int(dial * 1e6))

    # ---- what the module asks and tells -----------------------------------------------------------------

    def may_pass(self) -> bool:
        r = self.remeasure
        if r is None:
            return True
        now = self.now()
        before = r.since
        may = r.may(now)
        if may:
            token = r.token(now)
            place = f"place={r.place} token={token}" if token is not None else "without a place"
            self.tell(f"fleet pass begins {place} waited={r.waited / 1e6:.1f}")
        if may or before is None or r.place is None:
            self.wake()
        return may

    def passed(self) -> None:
        r = self.remeasure
        if r is not None and r.begun is not None:
            self.tell(f"fleet pass over after={(self.now() - r.begun) / 1e6:.1f}")
            r.passed(self.now())
            self.wake()

    def may_try(self, server: int) -> bool:
        if self.zones is not None and not self.zones.allows(server):
            return False
        if self.probe is None:
            return True
        now = self.now()
        may = self.probe.may_try(now, server)
        if may:  # the module asks for what is due alone, and sends at once
            token = self.probe.token(now, server)
            self.tell(f"fleet tries server={server} " + ("alone" if token is None else f"token={token}"))
        return may

    def set_aside(self, server: int, wait: int) -> None:
        if self.zones is not None:
            self.zones.set_aside(server, True)
        if self.probe is not None:
            self.probe.set_aside(self.now(), server, wait)
            self.wake()

    def back(self, server: int, well: bool) -> None:
        if self.zones is not None:
            self.zones.set_aside(server, False)
        if self.probe is not None:
            self.probe.back(self.now(), server, well)
            self.wake()

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """When to `tick` next."""
        dues = [part.deadline(now) for part in (self.probe, self.remeasure) if part is not None]
        if self.zones is not None and self.orders is not None and self.entries:
            dues += [self.zones.deadline(), self.orders.deadline()]
        return min((d for d in dues if d is not None), default=None)

    def tick(self, now: int) -> Out:
        """Does what is due."""
        out = [sent for part in (self.probe, self.remeasure) if part is not None for sent in part.tick(now)]
        if self.zones is None or self.orders is None:
            return out
        if self.entries and self.zones.tick(now):
            self.zones.ordered(self.orders.left(), self.orders.returned())
            self.tell_shares(now, self.zones)
        return out + self.orders.tick(now)

    def tell_shares(self, now: int, zones: Zones) -> None:
        """The module hears of shares that have moved."""
        shares, trips = zones.shares(now), zones.trips()
        before, ways = self.shares, self.trips
        moved = list(shares) != list(before) or any(abs(shares[z] - before[z]) > MOVED for z in shares)
        if moved or any(abs(trip - ways.get(z, 0)) > max(WAY, trip // 10) for z, trip in trips.items()):
            self.shares, self.trips = shares, trips
            numbers = self.numbers
            self.spread({numbers[z]: x for z, x in shares.items()}, {numbers[z]: t for z, t in trips.items()})

    def received(self, now: int, message: ProbeMessage | ZoneMessage) -> Out:
        if isinstance(message, ZoneMessage):
            if self.orders is not None:
                self.orders.received(message)
            return []
        return [] if self.probe is None else self.probe.received(now, message)

    def forget(self, member: str) -> None:
        """A member is gone for good."""
        if self.probe is not None:
            self.probe.forget(member)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """Of each part that is on."""
        parts = {"probe": self.probe, "remeasure": self.remeasure}
        table = {name: part.view(now) for name, part in parts.items() if part is not None}
        return table if self.zones is None else table | {"zones": self.zones.view(now)}
