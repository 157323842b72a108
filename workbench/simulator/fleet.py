"""A fleet on the virtual clock: the front nodes of a model, with their leases between them.

Voters, lease clients and the policy adapter are the node's own. The network between them is the model's,
without loss, and every node knows at once which others run. Faults of leases are explored by
`explore/leases.py`.
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
from balancer.policy.interface import Actions, Events, ListKind, Outcome, ServerEntry, Settings
from balancer.policy.interface import Fleet as Hook
from balancer.policy.request import Request
from balancer.policy.server import Server
from workbench.baselines.local import StrictlyLocal
from workbench.model.network import fixed_int
from workbench.model.site import World

EPOCH_MS = 1_700_000_000_000  # Unix time at the clock's 0, in milliseconds
CALLS_PER_CONNECTION = 16  # each connection is taken to carry so many calls
UNUSED_ADDRESS = ("127.0.0.1", 1)
HEARTBEAT_PERIOD_US = 1_000_000
ESTABLISHED_US = 1_000_000  # a process that starts so early belongs to a fleet that ran before


@dataclass(frozen=True)
class FleetOptions:
    """The parts of the fleet that are enabled. Times in microseconds."""

    health_checks: bool = False
    min_rtt_share: float = 0.0
    zones: ZoneSettings | None = None
    strict: bool = False  # a baseline: calls stay in their zone while it has servers
    region_cost: float = 1.0  # of a call to another region
    keep_network_delay: bool = False  # a baseline: latencies keep the delay between zones
    voters: int = 3
    lease: int = 3_000_000
    max_lease: int = 10_000_000

    def voter_names(self) -> tuple[str, ...]:
        """Returns the names of the nodes that vote on leases."""
        return tuple(f"n{i}" for i in range(self.voters))


class LogLine(NamedTuple):
    """A line of a node's log."""

    at: int
    node: str
    text: str


class Delivery(NamedTuple):
    """A message on its way to a node."""

    node: str
    message: Any


@dataclass
class FleetRecord:
    """What the nodes of one run did: probes of ejected servers, minRTT recalculations, messages."""

    probes: Counter[int] = field(default_factory=Counter)  # by server
    readmitted: list[int] = field(default_factory=list)  # when a node readmitted a server
    rejected_in_recalculation: int = 0
    max_recalculating: int = 0
    messages: int = 0
    log_lines: list[LogLine] = field(default_factory=list)


class ObservedBalancer(Balancer):
    """The balancer, with its probes and recalculations counted.

    Args:
        settings: The node's settings.
        seed: Of the balancer's draws.
        actions: Carries out what it decides.
        hook: The node's part in the fleet, if it has one.
        fleet: Holds the record.
    """

    def __init__(
        self, settings: Settings, seed: int, actions: Actions, hook: Hook | None, fleet: VirtualFleet
    ) -> None:
        super().__init__(settings, seed, actions, hook)
        self.fleet_record = fleet.record
        self.modules = fleet.modules
        self.modules.append(self)
        assert fleet.world is not None
        self.clock = fleet.world.clock
        self.hook = hook if isinstance(hook, PolicyAdapter) and fleet.options.zones is not None else None
        self.world = fleet.world
        self.home = settings.zone
        self.readmit = self.ejection.readmit
        self.ejection.readmit = self.count_readmitted  # type: ignore[method-assign]
        self.attempt_timeout = self.lifecycle.attempt_timeout
        self.lifecycle.attempt_timeout = self.count_probe  # type: ignore[method-assign]
        self.finish = self.lifecycle.finish
        self.lifecycle.finish = self.count_rejected  # type: ignore[method-assign]

    def count_readmitted(self, server: Server, healthy: bool = False) -> None:
        """Records that a server is readmitted."""
        self.fleet_record.readmitted.append(self.clock.now)
        self.readmit(server, healthy)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Passes an endpoint list on to the fleet as well."""
        super().server_list(now, kind, entries)
        if self.hook is not None:
            self.hook.server_list(now, kind, entries, {f"z{i}": i for i in range(self.world.zones)})

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
        """Passes an attempt's outcome on to the fleet as well."""
        super().outcome(now, request, attempt, server, outcome, latency, final, report)
        if self.hook is not None:
            # A connection is taken to be established in a round-trip of the network, drawn anew.
            delay = self.world.network.zone_delay(self.home, self.world.by_id[server].zone, request)
            self.hook.attempt_ended(
                server, outcome, latency, 2 * delay / 1e6 if request % CALLS_PER_CONNECTION == 0 else 0.0
            )

    def count_probe(self, now: int, request: Request, server: Server) -> int:
        """Records an attempt that probes an ejected server."""
        if server.outside_limit:
            self.fleet_record.probes[server.id] += 1
        return self.attempt_timeout(now, request, server)

    def count_rejected(self, request: Request, reject: bool) -> None:
        """Records a rejection during a minRTT recalculation."""
        if (
            reject
            and not request.attempts
            and self.controller.recalculating
            and self.controller.recalculations
        ):
            self.fleet_record.rejected_in_recalculation += 1
            recalculating = sum(
                m.controller.recalculating and m.controller.recalculations > 0 for m in self.modules
            )
            self.fleet_record.max_recalculating = max(self.fleet_record.max_recalculating, recalculating)
        self.finish(request, reject)


class Process:
    """The process of one front node, as a member of the fleet.

    Args:
        fleet: The fleet.
        world: The model.
        settings: The node's settings.
        seed: Of its draws.
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
        names = options.voter_names()
        lease_settings = LeaseSettings(lease=options.lease, max_lease=options.max_lease)
        lists = [Electorate(names)]
        self.adapter = PolicyAdapter(
            self.config(settings),
            settings,
            self.now,
            lambda: self.wall_clock() * 1000,
            self.schedule,
            self.log,
        )
        if options.strict and self.adapter.zone_traffic is not None:
            self.adapter.zone_traffic.router_class = StrictlyLocal
        self.adapter.on_health_check_result = self.apply_health_check
        self.lease_client = LeaseClient(
            self.name, seed & 0xFFFFFF, lists, lease_settings, self.rng, self.wall_clock
        )
        votes = lists if self.name in names else []
        self.voter = Voter(self.name, 1, votes, lease_settings, self.now())
        if self.clock.now <= world.begin_at + ESTABLISHED_US:
            self.voter.abstains_until = 0
            self.voter.recalled_tokens = dict.fromkeys(names, 0)
        self.adapter.on_shares = self.apply_zone_shares
        self.adapter.open(self.others, self.rng)
        self.adapter.enable_lease_features(self.lease_client, self.rng)

    def config(self, settings: Settings) -> FleetConfig:
        """Returns the fleet's section of the node's configuration."""
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
            lease=options.lease,
            max_lease=options.max_lease,
            votes=None,
            period=HEARTBEAT_PERIOD_US,
            health_checks=options.health_checks,
            min_rtt_share=options.min_rtt_share,
            clock_file=None,
            zones=self.zone_settings(self.world, settings.zone),
        )

    def now(self) -> int:
        """Returns the time of the virtual clock."""
        return self.clock.now

    def wall_clock(self) -> int:
        """Returns the Unix time in milliseconds."""
        return EPOCH_MS + self.clock.now // 1000

    def others(self) -> list[str]:
        """Returns the other running nodes, in order."""
        return [n for n in self.fleet.processes if n != self.name and self.fleet.runs(n)]

    def zone_settings(self, world: World, home: int) -> ZoneSettings | None:
        """Returns the settings of zone routing, with the costs between the model's regions."""
        options, regions = self.fleet.options, fixed_int(world.scenario.zones.regions)
        if options.zones is None or regions == 1:
            return options.zones
        far = [z for z in range(world.zones) if z % regions != home % regions]
        return replace(options.zones, costs={f"z{z}": options.region_cost for z in far})

    def log(self, text: str) -> None:
        """Records a line of the node's log."""
        self.fleet.record.log_lines.append(LogLine(self.clock.now, self.name, text))

    def apply_zone_shares(self, shares: dict[int, float], trips: dict[int, int]) -> None:
        """Passes new zone shares to the balancer."""
        node: Any = self.world.nodes[self.index]
        if node.module is not None:
            node.post(
                node.module.zone_shares, (shares, {} if self.fleet.options.keep_network_delay else trips)
            )

    def apply_health_check(self, server: int, healthy: bool) -> None:
        """Passes the result of a health check to the balancer."""
        node: Any = self.world.nodes[self.index]
        if node.module is not None:
            node.post(node.module.trial_result, (server, healthy))

    # ---- time and messages ------------------------------------------------------------------------------

    def schedule(self) -> None:
        """Schedules the timer for the next deadline."""
        now = self.clock.now
        deadlines = (self.voter.deadline(), self.lease_client.deadline(), self.adapter.deadline(now))
        due = min((d for d in deadlines if d is not None), default=None)
        if due is None:
            return
        at = max(now + 1, due)
        if self.timer_at <= now or at < self.timer_at:
            self.timer_at = at
            self.clock.call_at(at, self.on_timer, at)

    def on_timer(self, at: int) -> None:
        """Handles the deadlines that are due."""
        if (
            at != self.timer_at
            or not self.fleet.runs(self.name)
            or self.fleet.processes[self.name] is not self
        ):
            return
        self.timer_at = -1
        now = self.clock.now
        self.send([*self.voter.tick(now), *self.lease_client.tick(now)])
        self.send(self.adapter.tick(now))
        self.schedule()

    def send(self, outgoing: list[Outgoing]) -> None:
        """Sends messages to other nodes, or to this one."""
        for item in outgoing:
            name, message = str(item.to), item.message
            other = self.fleet.processes.get(name)
            if other is None:
                continue
            self.fleet.record.messages += name != self.name
            delay = self.world.network.zone_delay(self.zone, other.zone, self.rng.getrandbits(32))
            self.clock.call_at(
                self.clock.now + (delay if name != self.name else 1), self.arrive, Delivery(name, message)
            )

    def arrive(self, delivery: Delivery) -> None:
        """Delivers a message if its node runs."""
        if self.fleet.runs(delivery.node):
            self.fleet.processes[delivery.node].receive(delivery.message)

    def receive(self, message: Any) -> None:
        """Handles a message."""
        now = self.clock.now
        if isinstance(message, LeaseMessage):
            self.send([*self.voter.received(now, message), *self.lease_client.received(now, message)])
        else:
            self.send(self.adapter.received(now, message))
        self.schedule()


class VirtualFleet:
    """Makes the balancers of one run, as a `Policy`. Only front nodes are members of the fleet.

    Args:
        options: The parts that are enabled; None for nodes without a fleet.
    """

    def __init__(self, options: FleetOptions | None) -> None:
        self.options = options or FleetOptions()
        self.on = options is not None
        self.processes: dict[str, Process] = {}
        self.record = FleetRecord()
        self.modules: list[ObservedBalancer] = []
        self.world: World | None = None

    def __call__(self, settings: Settings, seed: int, actions: Actions, world: World) -> Events:
        """Returns the balancer of a node's new process."""
        self.world = world
        if settings.tier:
            return Balancer(settings, seed, actions)
        adapter = None
        if self.on:
            process = self.processes[f"n{settings.index}"] = Process(self, world, settings, seed)
            adapter = process.adapter
        return ObservedBalancer(settings, seed, actions, adapter, self)

    def runs(self, name: str) -> bool:
        """Returns whether a node runs."""
        assert self.world is not None
        node: Any = self.world.nodes[int(name[1:])]
        return bool(node.up and not node.draining)

    def crossings(self) -> int:
        """Returns the number of attempts that went to another zone."""
        assert self.world is not None
        return self.world.accounts.cross_zone_attempts
