"""A fleet on the virtual clock: the front nodes of a model, which coordinate by leases.

Voters, lease clients and the policy adapter are those of real nodes. Messages take the delays of the model's
network and none is lost, and every node knows at once which others are running. Faults of leases are explored
by `explore/leases.py`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, NamedTuple

from balancer.fleet.component import Outgoing
from balancer.fleet.config import FleetConfig
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import LeaseMessage
from balancer.fleet.leases.settings import Electorate, LeaseSettings
from balancer.fleet.leases.voter import Voter
from balancer.fleet.policy_adapter import PolicyAdapter
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.policy import Balancer
from balancer.policy.interface import Actions, Events, Fleet, ListKind, Outcome, ServerEntry, Settings
from balancer.policy.request import Request
from balancer.policy.server import Server
from workbench.baselines.local import StrictlyLocal
from workbench.model.network import fixed_int
from workbench.model.site import World

# The Unix time at which the virtual clock is 0.
EPOCH_UNIX_MS = 1_700_000_000_000
# The number of calls that each connection is assumed to carry.
CALLS_PER_CONNECTION = 16
UNUSED_ADDRESS = ("127.0.0.1", 1)
HEARTBEAT_PERIOD_US = 1_000_000
# A process that starts within this time belongs to a fleet that runs already, so its voter does not abstain.
ESTABLISHED_FLEET_START_US = 1_000_000


@dataclass(frozen=True)
class FleetOptions:
    """The features of the fleet that are enabled.

    Attributes:
        health_checks: Whether one node per zone checks the health of an ejected server for the others.
        min_rtt_share: The share of nodes that may recalculate their minRTT at once; 0 for no limit.
        zones: The settings of zone routing, or None without it.
        strictly_local: Whether calls stay in their zone while it has servers, as a baseline.
        region_cost: The cost of a call to another region.
        keep_network_delay: Whether latencies include the network delay between zones, as a baseline.
        voter_count: The number of nodes that vote on leases.
        lease_us: The duration of a lease.
        max_lease_us: The maximum duration of a lease.
    """

    health_checks: bool = False
    min_rtt_share: float = 0.0
    zones: ZoneSettings | None = None
    strictly_local: bool = False
    region_cost: float = 1.0
    keep_network_delay: bool = False
    voter_count: int = 3
    lease_us: int = 3_000_000
    max_lease_us: int = 10_000_000

    def voter_names(self) -> tuple[str, ...]:
        """Return the names of the nodes that vote on leases."""
        return tuple(f"n{index}" for index in range(self.voter_count))


class LogLine(NamedTuple):
    """A line of a node's log, with the time in microseconds."""

    at: int
    node: str
    text: str


class Delivery(NamedTuple):
    """A message in transit to a node."""

    node: str
    message: Any


@dataclass
class FleetRecord:
    """The actions of the nodes during one run.

    Attributes:
        probes: The number of attempts that probed an ejected server, by server.
        readmitted: When nodes readmitted servers, in microseconds.
        rejected_in_recalculation: The number of requests rejected unsent during a minRTT recalculation, other
            than the first one of a node.
        max_recalculating: The maximum number of nodes that recalculated their minRTT at such a rejection.
        messages: The number of messages between nodes.
        log_lines: The log lines of all nodes.
    """

    probes: Counter[int] = field(default_factory=Counter)
    readmitted: list[int] = field(default_factory=list)
    rejected_in_recalculation: int = 0
    max_recalculating: int = 0
    messages: int = 0
    log_lines: list[LogLine] = field(default_factory=list)


class ObservedBalancer(Balancer):
    """A balancer that counts its probes, readmissions and rejections and passes events on to the fleet.

    Args:
        settings: The node's settings.
        seed: The seed of the balancer's random draws.
        actions: Carries out the balancer's decisions.
        hook: The fleet's interface at this node, or None for a node without a fleet.
        fleet: Holds the record.
    """

    def __init__(
        self, settings: Settings, seed: int, actions: Actions, hook: Fleet | None, fleet: VirtualFleet
    ) -> None:
        super().__init__(settings, seed, actions, hook)
        self.fleet_record = fleet.record
        self.balancers = fleet.balancers
        self.balancers.append(self)
        assert fleet.world is not None
        self.clock = fleet.world.clock
        self.hook = hook if isinstance(hook, PolicyAdapter) and fleet.options.zones is not None else None
        self.world = fleet.world
        self.home_zone = settings.zone
        self.original_readmit = self.ejection.readmit
        self.ejection.readmit = self.count_readmitted  # type: ignore[method-assign]
        self.original_attempt_timeout = self.lifecycle.attempt_timeout
        self.lifecycle.attempt_timeout = self.count_probe  # type: ignore[method-assign]
        self.original_finish = self.lifecycle.finish
        self.lifecycle.finish = self.count_rejected  # type: ignore[method-assign]

    def count_readmitted(self, server: Server, healthy: bool = False) -> None:
        """Record the time at which a server is readmitted, then readmit it."""
        self.fleet_record.readmitted.append(self.clock.now)
        self.original_readmit(server, healthy)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Handle an endpoint list and pass it on to the fleet."""
        super().server_list(now, kind, entries)
        if self.hook is not None:
            self.hook.server_list(now, kind, entries, {f"z{zone}": zone for zone in range(self.world.zones)})

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        """Handle an attempt's outcome and pass it on to the fleet."""
        super().outcome(now, request, attempt, server, outcome, latency, final, report)
        if self.hook is not None:
            # A connection is assumed to be established in one round trip, with its own draw of the delay.
            delay = self.world.network.zone_delay(self.home_zone, self.world.by_id[server].zone, request)
            self.hook.attempt_ended(
                server, outcome, latency, 2 * delay / 1e6 if request % CALLS_PER_CONNECTION == 0 else 0.0
            )

    def count_probe(self, now: int, request: Request, server: Server) -> int:
        """Count an attempt if it probes an ejected server, and return its time-out in microseconds."""
        if server.outside_limit:
            self.fleet_record.probes[server.id] += 1
        return self.original_attempt_timeout(now, request, server)

    def count_rejected(self, request: Request, reject: bool) -> None:
        """Finish a request; count it if rejected unsent in a minRTT recalculation after the first."""
        if (
            reject
            and not request.attempts
            and self.controller.recalculating
            and self.controller.recalculations
        ):
            self.fleet_record.rejected_in_recalculation += 1
            recalculating = sum(
                balancer.controller.recalculating and balancer.controller.recalculations > 0
                for balancer in self.balancers
            )
            self.fleet_record.max_recalculating = max(self.fleet_record.max_recalculating, recalculating)
        self.original_finish(request, reject)


class Process:
    """The process of one front node, as a member of the fleet.

    Args:
        fleet: The fleet.
        world: The model.
        settings: The node's settings.
        seed: The seed of the process's random draws.
    """

    def __init__(self, fleet: VirtualFleet, world: World, settings: Settings, seed: int) -> None:
        self.fleet = fleet
        self.world = world
        self.clock = world.clock
        self.index = settings.index
        self.zone = settings.zone
        self.name = f"n{settings.index}"
        self.timer_at = -1
        self.rng = Random(f"fleet {self.name} {seed}")
        options = fleet.options
        voter_names = options.voter_names()
        lease_settings = LeaseSettings(lease=options.lease_us, max_lease=options.max_lease_us)
        electorates = [Electorate(voter_names)]
        self.adapter = PolicyAdapter(
            self.fleet_config(settings),
            settings,
            self.now,
            lambda: self.wall_clock() * 1000,
            self.schedule,
            self.log,
        )
        if options.strictly_local and self.adapter.zone_traffic is not None:
            self.adapter.zone_traffic.router_class = StrictlyLocal
        self.adapter.on_health_check_result = self.apply_health_check
        self.lease_client = LeaseClient(
            self.name, seed & 0xFFFFFF, electorates, lease_settings, self.rng, self.wall_clock
        )
        voter_electorates = electorates if self.name in voter_names else []
        self.voter = Voter(self.name, 1, voter_electorates, lease_settings, self.now())
        if self.clock.now <= world.begin_at + ESTABLISHED_FLEET_START_US:
            self.voter.abstains_until = 0
            self.voter.recalled_tokens = dict.fromkeys(voter_names, 0)
        self.adapter.on_shares = self.apply_zone_shares
        self.adapter.open(self.other_running_nodes, self.rng)
        self.adapter.enable_lease_features(self.lease_client, self.rng)

    def fleet_config(self, settings: Settings) -> FleetConfig:
        """Return the fleet's section of the node's configuration."""
        options = self.fleet.options
        return FleetConfig(
            name=self.name,
            zone=f"z{settings.zone}",
            region="",
            listen=UNUSED_ADDRESS,
            advertise=UNUSED_ADDRESS,
            seeds=(),
            keys=(),
            voters=options.voter_names(),
            old_voters=(),
            lease=options.lease_us,
            max_lease=options.max_lease_us,
            votes=None,
            period=HEARTBEAT_PERIOD_US,
            health_checks=options.health_checks,
            min_rtt_share=options.min_rtt_share,
            clock_file=None,
            zones=self.zone_settings(self.world, settings.zone),
        )

    def now(self) -> int:
        """Return the time of the virtual clock in microseconds."""
        return self.clock.now

    def wall_clock(self) -> int:
        """Return the Unix time in milliseconds."""
        return EPOCH_UNIX_MS + self.clock.now // 1000

    def other_running_nodes(self) -> list[str]:
        """Return the names of the other running nodes, in the order in which they first started."""
        return [name for name in self.fleet.processes if name != self.name and self.fleet.is_running(name)]

    def zone_settings(self, world: World, home_zone: int) -> ZoneSettings | None:
        """Return the settings of zone routing, with the costs between the model's regions."""
        options, region_count = self.fleet.options, fixed_int(world.scenario.zones.regions)
        if options.zones is None or region_count == 1:
            return options.zones
        remote_zones = [
            zone for zone in range(world.zones) if zone % region_count != home_zone % region_count
        ]
        return replace(options.zones, costs={f"z{zone}": options.region_cost for zone in remote_zones})

    def log(self, text: str) -> None:
        """Record a line of the node's log."""
        self.fleet.record.log_lines.append(LogLine(self.clock.now, self.name, text))

    def apply_zone_shares(self, shares: dict[int, float], additional_rtt: dict[int, int]) -> None:
        """Notify the balancer of new zone shares and of the additional round-trip times to other zones."""
        node: Any = self.world.nodes[self.index]
        if node.active_policy is not None:
            node.post(
                node.active_policy.zone_shares,
                (shares, {} if self.fleet.options.keep_network_delay else additional_rtt),
            )

    def apply_health_check(self, server: int, healthy: bool) -> None:
        """Notify the balancer of the result of a health check by another node."""
        node: Any = self.world.nodes[self.index]
        if node.active_policy is not None:
            node.post(node.active_policy.trial_result, (server, healthy))

    # ---- time and messages ------------------------------------------------------------------------------

    def schedule(self) -> None:
        """Schedule the timer for the next deadline of the voter, the lease client or the adapter."""
        now = self.clock.now
        deadlines = (self.voter.deadline(), self.lease_client.deadline(), self.adapter.deadline(now))
        next_deadline = min((d for d in deadlines if d is not None), default=None)
        if next_deadline is None:
            return
        at = max(now + 1, next_deadline)
        if self.timer_at <= now or at < self.timer_at:
            self.timer_at = at
            self.clock.call_at(at, self.on_timer, at)

    def on_timer(self, at: int) -> None:
        """Handle the deadlines that have passed; ignore a superseded timer or that of an ended process."""
        if (
            at != self.timer_at
            or not self.fleet.is_running(self.name)
            or self.fleet.processes[self.name] is not self
        ):
            return
        self.timer_at = -1
        now = self.clock.now
        self.send([*self.voter.tick(now), *self.lease_client.tick(now)])
        self.send(self.adapter.tick(now))
        self.schedule()

    def send(self, outgoing: list[Outgoing]) -> None:
        """Send messages to other nodes or to this one."""
        for item in outgoing:
            name, message = str(item.to), item.message
            receiver = self.fleet.processes.get(name)
            if receiver is None:
                continue
            self.fleet.record.messages += name != self.name
            delay = self.world.network.zone_delay(self.zone, receiver.zone, self.rng.getrandbits(32))
            self.clock.call_at(
                self.clock.now + (delay if name != self.name else 1), self.arrive, Delivery(name, message)
            )

    def arrive(self, delivery: Delivery) -> None:
        """Deliver a message if its node is running."""
        if self.fleet.is_running(delivery.node):
            self.fleet.processes[delivery.node].receive(delivery.message)

    def receive(self, message: Any) -> None:
        """Handle a message and send the responses to it."""
        now = self.clock.now
        if isinstance(message, LeaseMessage):
            self.send([*self.voter.received(now, message), *self.lease_client.received(now, message)])
        else:
            self.send(self.adapter.received(now, message))
        self.schedule()


class VirtualFleet:
    """Creates the balancers of one run, as a `PolicyFactory`. Only front nodes are members of the fleet.

    Args:
        options: The features that are enabled; None for nodes without a fleet.
    """

    def __init__(self, options: FleetOptions | None) -> None:
        self.options = options or FleetOptions()
        self.enabled = options is not None
        self.processes: dict[str, Process] = {}
        self.record = FleetRecord()
        self.balancers: list[ObservedBalancer] = []
        self.world: World | None = None

    def __call__(self, settings: Settings, seed: int, actions: Actions, world: World) -> Events:
        """Return the balancer of a new process of a node."""
        self.world = world
        if settings.tier:
            return Balancer(settings, seed, actions)
        adapter = None
        if self.enabled:
            process = self.processes[f"n{settings.index}"] = Process(self, world, settings, seed)
            adapter = process.adapter
        return ObservedBalancer(settings, seed, actions, adapter, self)

    def is_running(self, name: str) -> bool:
        """Return whether a node is running and not draining."""
        assert self.world is not None
        node: Any = self.world.nodes[int(name[1:])]
        return bool(node.up and not node.draining)

    def cross_zone_attempts(self) -> int:
        """Return the number of attempts that went to another zone."""
        assert self.world is not None
        return self.world.accounts.cross_zone_attempts
