"""The connection of a node's policy with the fleet: minRTT recalculation, health checks and zone shares.

The minRTT is the baseline response time, which a node recalculates under a low limit on its concurrency. The
health checks are those of ejected servers, which get no requests because they failed. The zone shares are the
zones' parts of the requests.

The policy calls `interface.Fleet` while it handles an event. The messages that result are sent at the next
tick, which `schedule` requests. The package of a feature is imported only if the configuration enables it.
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

# Takes the monotonic time and a received message; returns the messages to send.
Handler = Callable[[int, Any], list[Outgoing]]
# Takes the number of a server that another node checked, and whether the server is healthy.
HealthCheckCallback = Callable[[int, bool], None]
# Takes the zones' shares of the requests, and the additional round-trip times to remote zones in
# microseconds; the keys of these mappings are numbers of zones.
ZoneSharesCallback = Callable[[dict[int, float], dict[int, int]], None]


class PolicyAdapter:
    """The implementation of `interface.Fleet` for a process of a fleet.

    Before `open` and after `close` the policy decides as it does on a node without a fleet. The node sets the
    callbacks `on_health_check_result` and `on_shares` before `open`.

    Args:
        config: The process's fleet configuration.
        settings: The policy's settings.
        now: Returns the monotonic clock, in microseconds.
        wall: Returns Unix time, in microseconds.
        schedule: Called when the time at which `tick` is due has changed.
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
        """Return the encoders and decoders of the messages that the adapter's features exchange.

        A process whose configuration names voters (processes that vote on leases) decodes the messages of
        shared health checks even if it does not share health checks itself.
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
        """Start a new incarnation of the process, which has joined its group.

        Args:
            alive: Returns the names of the other members that are alive.
            rng: Chooses the members that zone directives (operators' orders to leave a zone) are passed on
                to.
        """
        self.alive = alive
        if self.zone_traffic is not None:
            self.zone_traffic.open(alive, rng)
            self.handlers |= dict.fromkeys(self.zone_traffic.kinds, self.receive_directives)

    def enable_lease_features(self, lease_client: LeaseClient, rng: Random) -> None:
        """Enable those of shared health checks and limited minRTT recalculations that are configured.

        They need leases, so this is called only if voters, which grant leases, are configured.
        """
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
        """Disable all features; the policy then decides as it does on a node without a fleet."""
        self.health_checks = self.min_rtt_slots = None
        self.handlers.clear()
        if self.zone_traffic is not None:
            self.zone_traffic.close()

    # ---- Events of the node -----------------------------------------------------------------------------

    def server_list(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], zone_numbers: Mapping[str, int]
    ) -> None:
        """Pass on a server list to zone routing.

        Args:
            now: Unix time in microseconds, in which discovery states when a server's process started.
            kind: Whether the list has all servers or only those that changed, and whether it was received at
                all.
            entries: The servers of the list.
            zone_numbers: The numbers of zones, by the name of the zone.
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
        """Pass on the decisions of zone routing to the policy.

        Args:
            shares: Each zone's share of the requests, by the number of the zone.
            round_trips: The additional round-trip time to each remote zone, in microseconds.
        """
        self.on_shares(shares, round_trips)

    # ---- Implementation of interface.Fleet --------------------------------------------------------------

    def may_recalculate_min_rtt(self) -> bool:
        """Return whether a minRTT recalculation may start now.

        If the fleet limits recalculations, this node needs one of the tier's slots (leases that limit how
        many nodes recalculate at a time), or must have waited long enough.
        """
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
        """Return whether this node may check an ejected server now.

        It may not if zone routing allows no calls to the server's zone, or if the check is left to another
        node.
        """
        if self.zone_traffic is not None and not self.zone_traffic.allows(server):
            return False
        if self.health_checks is None:
            return True
        now = self.now()
        allowed = self.health_checks.may_probe(now, server)
        if allowed:
            # The policy calls this only when a check is due, and checks the server at once if it may.
            token = self.health_checks.token(now, server)
            self.log_line(f"fleet tries server={server} " + ("alone" if token is None else f"token={token}"))
        return allowed

    def server_ejected(self, server: int, wait: int) -> None:
        """Record that a server was ejected, or failed its check while ejected.

        The next check of the server is due in `wait` microseconds.
        """
        if self.zone_traffic is not None:
            self.zone_traffic.set_ejected(server, True)
        if self.health_checks is not None:
            self.health_checks.server_ejected(self.now(), server, wait)
            self.schedule()

    def server_readmitted(self, server: int, healthy: bool) -> None:
        """Record that a server is no longer ejected.

        Args:
            server: The number of the server.
            healthy: Whether the reason is a successful check by this node. Otherwise a check by another node
                succeeded, or the server was replaced or left the subset, the servers that this node uses.
        """
        if self.zone_traffic is not None:
            self.zone_traffic.set_ejected(server, False)
        if self.health_checks is not None:
            self.health_checks.server_readmitted(self.now(), server, healthy)
            self.schedule()

    # ---- Time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """Return when `tick` of any feature is due; None if never."""
        enabled = [feature for feature in (self.health_checks, self.min_rtt_slots) if feature is not None]
        deadlines = [feature.deadline(now) for feature in enabled]
        if self.zone_traffic is not None:
            deadlines += self.zone_traffic.deadlines()
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def tick(self, now: int) -> list[Outgoing]:
        """Perform the actions of all features that are due, and return the messages to send."""
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
        """Apply operators' directives to leave a zone, which another member has passed on."""
        if self.zone_traffic is not None:
            self.zone_traffic.received(message)
        return []

    def member_forgotten(self, member: str) -> None:
        """Drop the health checks' state of a member that left or died and that membership forgot."""
        if self.health_checks is not None:
            self.health_checks.forget(member)

    # ---- Status -----------------------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Return the keys and values of the enabled features for the page `GET /fleet`."""
        features = {"probe": self.health_checks, "remeasure": self.min_rtt_slots}
        table = {name: feature.view(now) for name, feature in features.items() if feature is not None}
        return table if self.zone_traffic is None else table | self.zone_traffic.status(now)
