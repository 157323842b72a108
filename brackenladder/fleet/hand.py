"""The fleet's hand in a node's module: who passes and who tries, as far as the configuration has it.

The module asks and tells through `interface.Fleet`, while it handles an event; what comes of it goes out with
the next tick, which `wake` asks for.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from brackenladder.fleet.config import FleetConfig
from brackenladder.fleet.duties.asker import Asker
from brackenladder.fleet.probe.decisions import Out, Probe
from brackenladder.fleet.probe.messages import ProbeMessage
from brackenladder.fleet.probe.settings import settings_for
from brackenladder.fleet.remeasure.decisions import Remeasure, RemeasureSettings


class Hand:
    """Implements `interface.Fleet`. Before `open` and after `close` a node does as one alone."""

    def __init__(
        self,
        config: FleetConfig,
        tier: int,
        instances: int,
        now: Callable[[], int],
        wake: Callable[[], None],
        tell: Callable[[str], None],
    ) -> None:
        self.config = config
        self.tier = tier
        self.instances = instances
        self.now = now
        self.wake = wake
        self.tell = tell  # a line for the log
        self.verdict: Callable[[int, bool], None]  # of a server that another node tried; set by whoever hosts
        self.probe: Probe | None = None
        self.remeasure: Remeasure | None = None

    def open(self, asker: Asker, alive: Callable[[], Sequence[str]], rng: Random) -> None:
        """A new life begins. `alive`: the other members that are held alive."""
        c = self.config
        if c.probe:
            settings = settings_for(c.longest)
            self.probe = Probe(c.name, c.zone, settings, asker, alive, self.verdict, rng)
        if c.remeasure:
            self.remeasure = Remeasure(self.tier, self.instances, RemeasureSettings(c.remeasure), asker, rng)

    def close(self) -> None:
        self.probe = self.remeasure = None

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
        if self.probe is None:
            return True
        now = self.now()
        may = self.probe.may_try(now, server)
        if may:  # the module asks for what is due alone, and sends at once
            token = self.probe.token(now, server)
            self.tell(f"fleet tries server={server} " + ("alone" if token is None else f"token={token}"))
        return may

    def set_aside(self, server: int, wait: int) -> None:
        if self.probe is not None:
            self.probe.set_aside(self.now(), server, wait)
            self.wake()

    def back(self, server: int, well: bool) -> None:
        if self.probe is not None:
            self.probe.back(self.now(), server, well)
            self.wake()

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """When to `tick` next."""
        dues = [part.deadline(now) for part in (self.probe, self.remeasure) if part is not None]
        return min((d for d in dues if d is not None), default=None)

    def tick(self, now: int) -> Out:
        """Does what is due."""
        return [sent for part in (self.probe, self.remeasure) if part is not None for sent in part.tick(now)]

    def received(self, now: int, message: ProbeMessage) -> Out:
        return [] if self.probe is None else self.probe.received(now, message)

    def forget(self, member: str) -> None:
        """A member is gone for good."""
        if self.probe is not None:
            self.probe.forget(member)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """Of each part that is on."""
        parts = {"probe": self.probe, "remeasure": self.remeasure}
        return {name: part.view(now) for name, part in parts.items() if part is not None}
