"""The connection of a node's policy with the fleet: minRTT recalculation, health checks and zone shares.

The policy calls `interface.Fleet` while it handles an event; the resulting messages are sent by the next
tick, which `schedule` requests. A package is imported only if the configuration enables its feature.
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

MICROSECONDS_PER_SECOND = 1_000_000

# Takes the monotonic time and a message; returns the messages to send.
Handler = Callable[[int, Any], list[Outgoing]]
# Takes a server that another node checked, and whether it is healthy.
HealthCheckCallback = Callable[[int, bool], None]
# Takes each zone's share of requests, and each zone's additional round-trip time in microseconds.
ZoneSharesCallback = Callable[[dict[int, float], dict[int, int]], None]


class PolicyAdapter:
    """The implementation of `interface.Fleet` for a process of a fleet.

    Before `open` and after `close` the policy decides like that of a standalone node. The owner sets
    `on_health_check_result` and `on_shares` before `open`.

    Args:
        config: The process's fleet configuration.
        settings: The policy's settings.
        now: Returns the monotonic clock, in microseconds.
        wall: Returns Unix time, in microseconds.
        schedule: Called when the deadline has changed.
        log_line: Writes a line to the node's log.

    Attributes:
        handlers: The handlers of the enabled features, by message kind.
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
        self.on_health_check_result: HealthCheckCallback
        self.on_shares: ZoneSharesCallback
        self.health_checks: HealthChecks | None = None
        self.min_rtt_slots: MinRttSlots | None = None
        self.zone_traffic: ZoneTraffic | None = None
        self.alive: Callable[[], Sequence[str]] = tuple
        self.handlers: dict[int, Handler] = {}
        if config.zones is not None:
            from balancer.fleet.zone_routing.traffic import ZoneTraffic

            self.zone_traffic = ZoneTraffic(
                config, config.zones, settings, now, wall, schedule, log_line, self.publish_shares
            )

    def payload_codecs(self) -> list[PayloadCodec]:
        """Return the encoders and decoders of the message kinds.

        A process with voters decodes messages of shared health checks even if these are disabled in it.
        """
        codecs: list[PayloadCodec] = []
        if self.config.voters:
            from balancer.fleet.health_checks.messages import HealthCheckWire

            codecs.append(HealthCheckWire())
        if self.config.zones is not None:
            from balancer.fleet.zone_routing.messages import ZoneWire

            codecs.append(ZoneWire())
        return codecs

    def open(self, alive: Callable[[], Sequence[str]], rng: Random) -> None:
        """Start a new incarnation.

        Args:
            alive: Returns the names of the other members that are alive.
            rng: Chooses the members that zone directives are passed on to.
        """
        self.alive = alive
        if self.zone_traffic is not None:
            self.zone_traffic.open(alive, rng)
            self.handlers |= dict.fromkeys(self.zone_traffic.kinds, self.receive_directives)

    def enable_lease_features(self, lease_client: LeaseClient, rng: Random) -> None:
        """Enable the configured features that need leases; called only if voters are configured."""
        if self.config.health_checks:
            self.open_health_checks(lease_client, rng)
        if self.config.min_rtt_share:
            self.open_min_rtt_slots(lease_client, rng)

    def open_health_checks(self, lease_client: LeaseClient, rng: Random) -> None:
        """Let one node per zone check an ejected server on behalf of the others from now on."""
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
        """Limit the share of the tier's nodes that recalculate their minRTT at the same time."""
        from balancer.fleet.min_rtt.decisions import MinRttSlots
        from balancer.fleet.min_rtt.settings import MinRttSettings

        settings, policy = MinRttSettings(self.config.min_rtt_share), self.settings
        self.min_rtt_slots = MinRttSlots(policy.tier, policy.instances, settings, lease_client, rng)

    def close(self) -> None:
        """Disable all features; the policy then decides like that of a standalone node."""
        self.health_checks = self.min_rtt_slots = None
        self.handlers.clear()
        if self.zone_traffic is not None:
            self.zone_traffic.close()

    # ---- Events of the node -----------------------------------------------------------------------------

    def server_list(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], zone_numbers: Mapping[str, int]
    ) -> None:
        """Pass on an endpoint list to zone routing.

        Args:
            now: The time of discovery's clock.
            kind: Whether the list is complete, and whether it was received at all.
            entries: The servers of the list.
            zone_numbers: The numbers of zones, by name.
        """
        if self.zone_traffic is not None:
            self.zone_traffic.server_list(now, kind, entries, zone_numbers)

    def attempt_ended(self, server: int, outcome: Outcome, latency: int, connect_seconds: float) -> None:
        """Pass on the outcome of an attempt to zone routing.

        Args:
            server: The server that the attempt was sent to.
            outcome: The outcome of the attempt.
            latency: The duration of the attempt, in microseconds.
            connect_seconds: The time that a new connection for the attempt took to open; 0 if it used an open
                connection.
        """
        if self.zone_traffic is not None:
            self.zone_traffic.attempt_ended(server, outcome, latency, connect_seconds)

    def publish_shares(self, shares: dict[int, float], round_trips: dict[int, int]) -> None:
        """Pass on the shares and the additional round-trip times in microseconds, by zone, to the policy."""
        self.on_shares(shares, round_trips)

    # ---- Implementation of interface.Fleet --------------------------------------------------------------

    def may_recalculate_min_rtt(self) -> bool:
        """Return whether a minRTT recalculation may start now."""
        slots = self.min_rtt_slots
        if slots is None:
            return True
        now = self.now()
        requested_before = slots.waiting_since is not None
        allowed = slots.may_start(now)
        if allowed:
            token = slots.token(now)
            slot = f"place={slots.slot} token={token}" if token is not None else "without a place"
            self.log_line(
                f"fleet pass begins {slot} waited={slots.start_delay / MICROSECONDS_PER_SECOND:.1f}"
            )
        if allowed or not requested_before or slots.slot is None:
            self.schedule()
        return allowed

    def min_rtt_recalculated(self) -> None:
        """Record that the minRTT recalculation in progress has ended; the next tick releases its slot."""
        slots = self.min_rtt_slots
        if slots is None or slots.started_at is None:
            return
        self.log_line(
            f"fleet pass over after={(self.now() - slots.started_at) / MICROSECONDS_PER_SECOND:.1f}"
        )
        slots.finished()
        self.schedule()

    def may_probe(self, server: int) -> bool:
        """Return whether an ejected server may be checked now; False if its zone may get no calls."""
        if self.zone_traffic is not None and not self.zone_traffic.allows(server):
            return False
        if self.health_checks is None:
            return True
        now = self.now()
        allowed = self.health_checks.may_probe(now, server)
        if allowed:
            # The policy asks only when a check is due, and sends it at once if allowed.
            token = self.health_checks.token(now, server)
            self.log_line(f"fleet tries server={server} " + ("alone" if token is None else f"token={token}"))
        return allowed

    def server_ejected(self, server: int, wait: int) -> None:
        """Record that a server was ejected or failed a check; the next is due in `wait` microseconds."""
        if self.zone_traffic is not None:
            self.zone_traffic.set_ejected(server, True)
        if self.health_checks is not None:
            self.health_checks.server_ejected(self.now(), server, wait)
            self.schedule()

    def server_readmitted(self, server: int, healthy: bool) -> None:
        """Record that a server is no longer ejected.

        Args:
            server: The number of the server.
            healthy: Whether a check by this node succeeded. Otherwise another node's check did, or the server
                was replaced or left the subset.
        """
        if self.zone_traffic is not None:
            self.zone_traffic.set_ejected(server, False)
        if self.health_checks is not None:
            self.health_checks.server_readmitted(self.now(), server, healthy)
            self.schedule()

    # ---- Time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """Return when `tick` is due."""
        enabled = [feature for feature in (self.health_checks, self.min_rtt_slots) if feature is not None]
        deadlines = [feature.deadline(now) for feature in enabled]
        if self.zone_traffic is not None:
            deadlines += self.zone_traffic.deadlines()
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def tick(self, now: int) -> list[Outgoing]:
        """Perform the actions that are due and return the messages to send."""
        outgoing: list[Outgoing] = []
        if self.health_checks is not None:
            outgoing += self.health_checks.tick(now)
        if self.min_rtt_slots is not None:
            outgoing += self.min_rtt_slots.tick(now)
        if self.zone_traffic is not None:
            outgoing += self.zone_traffic.tick(now)
        return outgoing

    def received(self, now: int, message: Any) -> list[Outgoing]:
        """Handle a message; ignore one for a feature that is disabled in this process."""
        handler = self.handlers.get(message.kind)
        return handler(now, message) if handler is not None else []

    def receive_directives(self, now: int, message: Any) -> list[Outgoing]:
        """Apply an operator's zone directives, which another member has passed on."""
        if self.zone_traffic is not None:
            self.zone_traffic.received(message)
        return []

    def member_forgotten(self, member: str) -> None:
        """Drop the state of a member that membership has forgotten."""
        if self.health_checks is not None:
            self.health_checks.forget(member)

    # ---- Status -----------------------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Return a key of the page `GET /fleet` for each enabled feature."""
        features = {"probe": self.health_checks, "remeasure": self.min_rtt_slots}
        table = {name: feature.view(now) for name, feature in features.items() if feature is not None}
        return table if self.zone_traffic is None else table | self.zone_traffic.status(now)
