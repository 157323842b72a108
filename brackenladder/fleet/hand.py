"""The fleet's hand in a node's module: who passes and who tries, as far as the configuration has it.

The module asks and tells through `interface.Fleet`, while it handles an event; what comes of it goes out with
the next tick, which `wake` asks for. A part's package is imported only where the configuration has the part.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from brackenladder.fleet.config import FleetConfig
from brackenladder.fleet.membership.codec import Part
from brackenladder.interface import ListKind, Outcome, ServerEntry, Settings

if TYPE_CHECKING:
    from brackenladder.fleet.duties.asker import Asker
    from brackenladder.fleet.probe.decisions import Probe
    from brackenladder.fleet.remeasure.decisions import Remeasure
    from brackenladder.fleet.zones.traffic import ZoneTraffic

Out = list[tuple[str, Any]]  # a member's name, and a message to it
Handler = Callable[[int, Any], Out]


class Hand:
    """Implements `interface.Fleet`. Before `open` and after `close` a node does as one alone."""

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
        self.wake = wake
        self.tell = tell  # a line for the log
        self.verdict: Callable[[int, bool], None]  # of a server that another node tried; set by whoever hosts
        self.spread: Callable[
            [dict[int, float], dict[int, int]], None
        ]  # shares and ways by zone; set with it
        self.probe: Probe | None = None
        self.remeasure: Remeasure | None = None
        self.zone_traffic: ZoneTraffic | None = None
        self.alive: Callable[[], Sequence[str]] = tuple
        self.handlers: dict[int, Handler] = {}  # by message kind, of the parts that are open
        if config.zones is not None:
            from brackenladder.fleet.zones.traffic import ZoneTraffic

            self.zone_traffic = ZoneTraffic(
                config, config.zones, settings, now, wall, wake, tell, self.publish_shares
            )

    def wires(self) -> list[Part]:
        """Probes' messages are read by all that have voters, whether they probe themselves or not."""
        wires: list[Part] = []
        if self.config.voters:
            from brackenladder.fleet.probe.messages import ProbeWire

            wires.append(ProbeWire())
        if self.config.zones is not None:
            from brackenladder.fleet.zones.messages import ZoneWire

            wires.append(ZoneWire())
        return wires

    def open(self, alive: Callable[[], Sequence[str]], rng: Random) -> None:
        """A new life begins. `alive`: the other members that are held alive."""
        self.alive = alive
        if self.zone_traffic is not None:
            self.zone_traffic.open(alive, rng)
            self.handlers |= dict.fromkeys(self.zone_traffic.kinds, self.zone_traffic.received)

    def vote(self, asker: Asker, rng: Random) -> None:
        """There are voters: duties can be had."""
        if self.config.probe:
            self.open_probe(asker, rng)
        if self.config.remeasure:
            self.open_remeasure(asker, rng)

    def open_probe(self, asker: Asker, rng: Random) -> None:
        from brackenladder.fleet.probe.decisions import Probe
        from brackenladder.fleet.probe.messages import ProbeKind
        from brackenladder.fleet.probe.settings import settings_for

        config = self.config
        settings = settings_for(config.longest)
        self.probe = Probe(config.name, config.zone, settings, asker, self.alive, self.verdict, rng)
        self.handlers |= dict.fromkeys(ProbeKind, self.probe.received)

    def open_remeasure(self, asker: Asker, rng: Random) -> None:
        from brackenladder.fleet.remeasure.decisions import Remeasure, RemeasureSettings

        bounds = RemeasureSettings(self.config.remeasure)
        self.remeasure = Remeasure(self.settings.tier, self.settings.instances, bounds, asker, rng)

    def close(self) -> None:
        self.probe = self.remeasure = None
        self.handlers.clear()
        if self.zone_traffic is not None:
            self.zone_traffic.close()

    # ---- what the node sees -----------------------------------------------------------------------------

    def server_list(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], numbers: Mapping[str, int]
    ) -> None:
        """Discovery's news, as the module gets it; `numbers`: of the zones. `now`: by the list's clock."""
        if self.zone_traffic is not None:
            self.zone_traffic.server_list(now, kind, entries, numbers)

    def ended(self, server: int, outcome: Outcome, latency: int, dial: float) -> None:
        """An attempt has ended; `dial`: seconds that a new connection for it took, or 0."""
        if self.zone_traffic is not None:
            self.zone_traffic.attempt_ended(server, outcome, latency, dial)

    def publish_shares(self, shares: dict[int, float], round_trips: dict[int, int]) -> None:
        self.spread(shares, round_trips)

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
        if self.zone_traffic is not None and not self.zone_traffic.allows(server):
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
        if self.zone_traffic is not None:
            self.zone_traffic.set_ejected(server, True)
        if self.probe is not None:
            self.probe.set_aside(self.now(), server, wait)
            self.wake()

    def back(self, server: int, well: bool) -> None:
        if self.zone_traffic is not None:
            self.zone_traffic.set_ejected(server, False)
        if self.probe is not None:
            self.probe.back(self.now(), server, well)
            self.wake()

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """When to `tick` next."""
        deadlines = [part.deadline(now) for part in (self.probe, self.remeasure) if part is not None]
        if self.zone_traffic is not None:
            deadlines += self.zone_traffic.deadlines()
        return min((d for d in deadlines if d is not None), default=None)

    def tick(self, now: int) -> Out:
        """Does what is due."""
        parts = (self.probe, self.remeasure, self.zone_traffic)
        return [sent for part in parts if part is not None for sent in part.tick(now)]

    def received(self, now: int, message: Any) -> Out:
        """A message to a part that is off here does nothing."""
        handler = self.handlers.get(message.kind)
        return handler(now, message) if handler is not None else []

    def forget(self, member: str) -> None:
        """A member is gone for good."""
        if self.probe is not None:
            self.probe.forget(member)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """Of each part that is on."""
        parts = {"probe": self.probe, "remeasure": self.remeasure}
        table = {name: part.view(now) for name, part in parts.items() if part is not None}
        return table if self.zone_traffic is None else table | self.zone_traffic.status(now)
