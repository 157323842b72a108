"""Connects a node's policy with the fleet: minRTT recalculation, health checks and shares between zones.

The policy calls `interface.Fleet` while it handles an event; messages that come of it are sent by the next
tick, which `schedule` asks for. A package is imported only where the configuration asks for what is in it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from balancer.fleet.component import Outgoing
from balancer.fleet.config import FleetConfig
from balancer.fleet.membership.codec import PayloadCodec
from balancer.policy.interface import ListKind, Outcome, ServerEntry, Settings

if TYPE_CHECKING:
    from balancer.fleet.health_checks.decisions import HealthChecks
    from balancer.fleet.leases.client import LeaseClient
    from balancer.fleet.min_rtt.decisions import MinRttSlots
    from balancer.fleet.zone_routing.traffic import ZoneTraffic

SECOND = 1_000_000  # microseconds
Handler = Callable[[int, Any], list[Outgoing]]
HealthCheckResult = Callable[[int, bool], None]  # a server that another node checked; whether it is healthy
PublishShares = Callable[
    [dict[int, float], dict[int, int]], None
]  # by zone: share, additional round-trip time


class PolicyAdapter:
    """Implements `interface.Fleet`.

    Before `open` and after `close` the policy decides as on a node alone. The owner sets
    `on_health_check_result` and `on_shares` before `open`.

    Args:
        config: The process's place in its fleet.
        settings: The policy's settings.
        now: The monotonic clock, in microseconds.
        wall: Unix time, in microseconds.
        schedule: Called when the deadline has changed.
        log_line: Writes a line of the node's log.
    """

    def __init__(
        self,
        config: FleetConfig,
        settings: Settings,
        now: Callable[[], int],
        wall: Callable[[], int],
        schedule: Callable[[], None],
        log_line: Callable[[str], None],
    ) -> None:
        self.config = config
        self.settings = settings
        self.now = now
        self.schedule = schedule
        self.log_line = log_line
        self.on_health_check_result: HealthCheckResult
        self.on_shares: PublishShares
        self.health_checks: HealthChecks | None = None
        self.min_rtt_slots: MinRttSlots | None = None
        self.zone_traffic: ZoneTraffic | None = None
        self.alive: Callable[[], Sequence[str]] = tuple
        self.handlers: dict[int, Handler] = {}  # by message kind, of what is open
        if config.zones is not None:
            from balancer.fleet.zone_routing.traffic import ZoneTraffic

            self.zone_traffic = ZoneTraffic(
                config, config.zones, settings, now, wall, schedule, log_line, self.publish_shares
            )

    def wires(self) -> list[PayloadCodec]:
        """Returns the encoders and decoders of the message kinds.

        Health checks' messages are read by all that have voters, whether they check themselves or not.
        """
        wires: list[PayloadCodec] = []
        if self.config.voters:
            from balancer.fleet.health_checks.messages import HealthCheckWire

            wires.append(HealthCheckWire())
        if self.config.zones is not None:
            from balancer.fleet.zone_routing.messages import ZoneWire

            wires.append(ZoneWire())
        return wires

    def open(self, alive: Callable[[], Sequence[str]], rng: Random) -> None:
        """Begins a new incarnation. `alive`: returns names of the other members that are alive."""
        self.alive = alive
        if self.zone_traffic is not None:
            self.zone_traffic.open(alive, rng)
            self.handlers |= dict.fromkeys(self.zone_traffic.kinds, self.received_directives)

    def use_leases(self, lease_client: LeaseClient, rng: Random) -> None:
        """Opens what needs leases, which there are once voters are configured."""
        if self.config.health_checks:
            self.open_health_checks(lease_client, rng)
        if self.config.min_rtt_share:
            self.open_min_rtt_slots(lease_client, rng)

    def open_health_checks(self, lease_client: LeaseClient, rng: Random) -> None:
        """From here on one node a zone checks an ejected server."""
        from balancer.fleet.health_checks.decisions import HealthChecks
        from balancer.fleet.health_checks.messages import HealthCheckKind
        from balancer.fleet.health_checks.settings import health_check_settings

        config = self.config
        settings = health_check_settings(config.max_lease)
        self.health_checks = HealthChecks(
            config.name, config.zone, settings, lease_client, self.alive, self.on_health_check_result, rng
        )
        self.handlers |= dict.fromkeys(HealthCheckKind, self.health_checks.received)

    def open_min_rtt_slots(self, lease_client: LeaseClient, rng: Random) -> None:
        """From here on a share of the tier's nodes at most recalculates its minRTT at once."""
        from balancer.fleet.min_rtt.decisions import MinRttSlots
        from balancer.fleet.min_rtt.settings import MinRttSettings

        settings, policy = MinRttSettings(self.config.min_rtt_share), self.settings
        self.min_rtt_slots = MinRttSlots(policy.tier, policy.instances, settings, lease_client, rng)

    def close(self) -> None:
        """From here on the policy decides as on a node alone."""
        self.health_checks = self.min_rtt_slots = None
        self.handlers.clear()
        if self.zone_traffic is not None:
            self.zone_traffic.close()

    # ---- what the node sees -----------------------------------------------------------------------------

    def server_list(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], zone_numbers: Mapping[str, int]
    ) -> None:
        """Takes an endpoint list, as the policy gets it. `now`: by discovery's clock."""
        if self.zone_traffic is not None:
            self.zone_traffic.server_list(now, kind, entries, zone_numbers)

    def attempt_ended(self, server: int, outcome: Outcome, latency: int, connect_seconds: float) -> None:
        """Records the outcome of an attempt.

        Args:
            server: The server that it went to.
            outcome: How it ended.
            latency: Microseconds until it ended.
            connect_seconds: What a new connection for the attempt took, or 0.
        """
        if self.zone_traffic is not None:
            self.zone_traffic.attempt_ended(server, outcome, latency, connect_seconds)

    def publish_shares(self, shares: dict[int, float], round_trips: dict[int, int]) -> None:
        """Hands shares and additional round-trip times, by zone, to the policy."""
        self.on_shares(shares, round_trips)

    # ---- interface.Fleet --------------------------------------------------------------------------------

    def may_recalculate_min_rtt(self) -> bool:
        """Whether a minRTT recalculation may begin now."""
        slots = self.min_rtt_slots
        if slots is None:
            return True
        now = self.now()
        requested_before = slots.waiting_since is not None
        allowed = slots.may_start(now)
        if allowed:
            token = slots.token(now)
            slot = f"place={slots.slot} token={token}" if token is not None else "without a place"
            self.log_line(f"fleet pass begins {slot} waited={slots.start_delay / SECOND:.1f}")
        if allowed or not requested_before or slots.slot is None:
            self.schedule()
        return allowed

    def min_rtt_recalculated(self) -> None:
        """A minRTT recalculation is over."""
        slots = self.min_rtt_slots
        if slots is None or slots.started_at is None:
            return
        self.log_line(f"fleet pass over after={(self.now() - slots.started_at) / SECOND:.1f}")
        slots.finished()
        self.schedule()

    def may_probe(self, server: int) -> bool:
        """Whether an ejected server may be checked now, or a server of its zone may get calls at all."""
        if self.zone_traffic is not None and not self.zone_traffic.allows(server):
            return False
        if self.health_checks is None:
            return True
        now = self.now()
        allowed = self.health_checks.may_probe(now, server)
        if allowed:  # the policy asks only for what is due, and sends at once
            token = self.health_checks.token(now, server)
            self.log_line(f"fleet tries server={server} " + ("alone" if token is None else f"token={token}"))
        return allowed

    def server_ejected(self, server: int, wait: int) -> None:
        """The policy has ejected a server, for so many microseconds until its next check."""
        if self.zone_traffic is not None:
            self.zone_traffic.set_ejected(server, True)
        if self.health_checks is not None:
            self.health_checks.server_ejected(self.now(), server, wait)
            self.schedule()

    def server_readmitted(self, server: int, healthy: bool) -> None:
        """The policy ejects a server no longer; `healthy`: since a check of its own succeeded."""
        if self.zone_traffic is not None:
            self.zone_traffic.set_ejected(server, False)
        if self.health_checks is not None:
            self.health_checks.server_readmitted(self.now(), server, healthy)
            self.schedule()

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """Returns when `tick` is due."""
        active = [part for part in (self.health_checks, self.min_rtt_slots) if part is not None]
        deadlines = [part.deadline(now) for part in active]
        if self.zone_traffic is not None:
            deadlines += self.zone_traffic.deadlines()
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def tick(self, now: int) -> list[Outgoing]:
        """Does what is due."""
        outgoing: list[Outgoing] = []
        if self.health_checks is not None:
            outgoing += self.health_checks.tick(now)
        if self.min_rtt_slots is not None:
            outgoing += self.min_rtt_slots.tick(now)
        if self.zone_traffic is not None:
            outgoing += self.zone_traffic.tick(now)
        return outgoing

    def received(self, now: int, message: Any) -> list[Outgoing]:
        """Handles a message. One to what is off here does nothing."""
        handler = self.handlers.get(message.kind)
        return handler(now, message) if handler is not None else []

    def received_directives(self, now: int, message: Any) -> list[Outgoing]:
        """An operator's directives on zones, passed on by another member."""
        if self.zone_traffic is not None:
            self.zone_traffic.received(message)
        return []

    def member_forgotten(self, member: str) -> None:
        """Drops what is kept about a member that membership has forgotten."""
        if self.health_checks is not None:
            self.health_checks.forget(member)

    # ---- what operators see -----------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Returns a key of the page for each part that is on."""
        parts = {"probe": self.health_checks, "remeasure": self.min_rtt_slots}
        table = {name: part.view(now) for name, part in parts.items() if part is not None}
        return table if self.zone_traffic is None else table | self.zone_traffic.status(now)
