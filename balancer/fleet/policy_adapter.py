"""Connects a node's policy with the fleet: minRTT passes, probes of ejected servers, shares between zones.

The policy calls `interface.Fleet` while it handles an event; messages that come of it are sent by the next
tick, which `schedule` asks for. A package is imported only where the configuration asks for what is in it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from balancer.fleet.config import FleetConfig
from balancer.fleet.membership.codec import Part
from balancer.policy.interface import ListKind, Outcome, ServerEntry, Settings

if TYPE_CHECKING:
    from balancer.fleet.health_checks.decisions import Probe
    from balancer.fleet.leases.asker import Asker
    from balancer.fleet.min_rtt.decisions import Remeasure
    from balancer.fleet.zone_routing.traffic import ZoneTraffic

Out = list[tuple[str, Any]]  # a member's name, and a message to it
Handler = Callable[[int, Any], Out]
ProbeResult = Callable[[int, bool], None]  # a server that another node has probed, and whether it is well
Shares = Callable[[dict[int, float], dict[int, int]], None]  # by zone: share, additional round-trip time


class PolicyAdapter:
    """Implements `interface.Fleet`. Before `open` and after `close` the policy decides as on a node alone."""

    def __init__(
        self,
        config: FleetConfig,
        settings: Settings,
        now: Callable[[], int],
        wall: Callable[[], int],
        schedule: Callable[[], None],
        log_line: Callable[[str], None],
    ) -> None:
        """`schedule`: to be called when the deadline has changed. The owner sets `on_probe_result` and
        `on_shares` before `open`."""
        self.config = config
        self.settings = settings
        self.now = now
        self.schedule = schedule
        self.log_line = log_line
        self.on_probe_result: ProbeResult
        self.on_shares: Shares
        self.probe: Probe | None = None
        self.remeasure: Remeasure | None = None
        self.zone_traffic: ZoneTraffic | None = None
        self.alive: Callable[[], Sequence[str]] = tuple
        self.handlers: dict[int, Handler] = {}  # by message kind, of the parts that are open
        if config.zones is not None:
            from balancer.fleet.zone_routing.traffic import ZoneTraffic

            self.zone_traffic = ZoneTraffic(
                config, config.zones, settings, now, wall, schedule, log_line, self.publish_shares
            )

    def wires(self) -> list[Part]:
        """Probes' messages are read by all that have voters, whether they probe themselves or not."""
        wires: list[Part] = []
        if self.config.voters:
            from balancer.fleet.health_checks.messages import ProbeWire

            wires.append(ProbeWire())
        if self.config.zones is not None:
            from balancer.fleet.zone_routing.messages import ZoneWire

            wires.append(ZoneWire())
        return wires

    def open(self, alive: Callable[[], Sequence[str]], rng: Random) -> None:
        """A new life begins. `alive`: names of the other members that are alive."""
        self.alive = alive
        if self.zone_traffic is not None:
            self.zone_traffic.open(alive, rng)
            self.handlers |= dict.fromkeys(self.zone_traffic.kinds, self.zone_traffic.received)

    def use_leases(self, asker: Asker, rng: Random) -> None:
        """There are voters: what needs leases can begin."""
        if self.config.probe:
            self.open_probe(asker, rng)
        if self.config.remeasure:
            self.open_remeasure(asker, rng)

    def open_probe(self, asker: Asker, rng: Random) -> None:
        from balancer.fleet.health_checks.decisions import Probe
        from balancer.fleet.health_checks.messages import ProbeKind
        from balancer.fleet.health_checks.settings import settings_for

        config = self.config
        settings = settings_for(config.longest)
        self.probe = Probe(config.name, config.zone, settings, asker, self.alive, self.on_probe_result, rng)
        self.handlers |= dict.fromkeys(ProbeKind, self.probe.received)

    def open_remeasure(self, asker: Asker, rng: Random) -> None:
        from balancer.fleet.min_rtt.decisions import Remeasure, RemeasureSettings

        bounds = RemeasureSettings(self.config.remeasure)
        self.remeasure = Remeasure(self.settings.tier, self.settings.instances, bounds, asker, rng)

    def close(self) -> None:
        self.probe = self.remeasure = None
        self.handlers.clear()
        if self.zone_traffic is not None:
            self.zone_traffic.close()

    # ---- what the node sees -----------------------------------------------------------------------------

    def server_list(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], zone_numbers: Mapping[str, int]
    ) -> None:
        """Discovery's news, as the policy gets it. `now`: by discovery's clock."""
        if self.zone_traffic is not None:
            self.zone_traffic.server_list(now, kind, entries, zone_numbers)

    def attempt_ended(self, server: int, outcome: Outcome, latency: int, connect_seconds: float) -> None:
        """`connect_seconds`: what a new connection for the attempt took, or 0."""
        if self.zone_traffic is not None:
            self.zone_traffic.attempt_ended(server, outcome, latency, connect_seconds)

    def publish_shares(self, shares: dict[int, float], round_trips: dict[int, int]) -> None:
        self.on_shares(shares, round_trips)

    # ---- what the policy asks and tells -----------------------------------------------------------------

    def may_recalculate_min_rtt(self) -> bool:
        remeasure = self.remeasure
        if remeasure is None:
            return True
        now = self.now()
        asked_before = remeasure.since is not None
        allowed = remeasure.may(now)
        if allowed:
            token = remeasure.token(now)
            place = f"place={remeasure.place} token={token}" if token is not None else "without a place"
            self.log_line(f"fleet pass begins {place} waited={remeasure.waited / 1e6:.1f}")
        if allowed or not asked_before or remeasure.place is None:
            self.schedule()
        return allowed

    def min_rtt_recalculated(self) -> None:
        remeasure = self.remeasure
        if remeasure is None or remeasure.begun is None:
            return
        self.log_line(f"fleet pass over after={(self.now() - remeasure.begun) / 1e6:.1f}")
        remeasure.passed(self.now())
        self.schedule()

    def may_run_trial(self, server: int) -> bool:
        if self.zone_traffic is not None and not self.zone_traffic.allows(server):
            return False
        if self.probe is None:
            return True
        now = self.now()
        allowed = self.probe.may_try(now, server)
        if allowed:  # the policy asks only for what is due, and sends at once
            token = self.probe.token(now, server)
            self.log_line(f"fleet tries server={server} " + ("alone" if token is None else f"token={token}"))
        return allowed

    def server_ejected(self, server: int, wait: int) -> None:
        if self.zone_traffic is not None:
            self.zone_traffic.set_ejected(server, True)
        if self.probe is not None:
            self.probe.set_aside(self.now(), server, wait)
            self.schedule()

    def server_readmitted(self, server: int, healthy: bool) -> None:
        if self.zone_traffic is not None:
            self.zone_traffic.set_ejected(server, False)
        if self.probe is not None:
            self.probe.back(self.now(), server, healthy)
            self.schedule()

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """When `tick` is due."""
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

    def member_forgotten(self, member: str) -> None:
        """Membership has dropped a member."""
        if self.probe is not None:
            self.probe.forget(member)

    # ---- what operators see -----------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """A key of the page for each part that is on."""
        parts = {"probe": self.probe, "remeasure": self.remeasure}
        table = {name: part.view(now) for name, part in parts.items() if part is not None}
        return table if self.zone_traffic is None else table | self.zone_traffic.status(now)
