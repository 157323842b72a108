"""The complete model: servers in tiers, nodes, clients, network, discovery, faults, referee and accounts."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from math import floor
from typing import Protocol

from balancer.policy.interface import ClassSettings, Effect, Group, Settings
from workbench.model.accounts import Accounts
from workbench.model.call import Attempt, Call, Caller, Port, Request
from workbench.model.clients import Clients
from workbench.model.clock import Clock
from workbench.model.discovery import Discovery
from workbench.model.environment import ServerView
from workbench.model.faults import ActiveFault
from workbench.model.front import Front
from workbench.model.network import Network, fixed_float, fixed_int
from workbench.model.referee import Referee
from workbench.model.server import Server
from workbench.model.server_spec import ServerSpec
from workbench.model.streams import Streams
from workbench.model.trace import CallTrace, TraceLog
from workbench.scenario.model import Kind, Scenario

# Minimum speed of a server, relative to the mean of its kind.
MIN_SPEED_SHARE = 0.3
# Start time of the clock, an arbitrary time above zero.
CLOCK_START_US = 10_000_000

EFFECTS = {"safe": Effect.IDEMPOTENT, "keyed": Effect.IDEMPOTENCY_KEY, "unsafe": Effect.NOT_IDEMPOTENT}
# Effects by the names that scenarios and stored histories use.
EFFECT_WORDS = {effect: word for word, effect in EFFECTS.items()}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


def class_settings(scenario: Scenario) -> list[ClassSettings]:
    """Return the settings of the request classes in the form that nodes receive."""
    return [
        ClassSettings(
            EFFECTS[c.effect],
            int(fixed_float(c.aim_s) * 1e6),
            int(fixed_float(c.deadline_s) * 1e6),
            fixed_float(c.worth),
            fixed_float(c.late_worth),
            GROUPS[c.group],
            int(fixed_float(c.window_s) * 1e6),
        )
        for c in scenario.request_classes
    ]


def mean_request_work(scenario: Scenario) -> float:
    """Return the mean work of a request over all classes, in core-microseconds of the reference core."""
    shares = [fixed_float(c.share) for c in scenario.request_classes]
    works = [fixed_float(c.work_ms) for c in scenario.request_classes]
    return sum(work * share for work, share in zip(works, shares, strict=True)) / sum(shares) * 1000


def work_table(scenario: Scenario) -> list[list[float]]:
    """Return the mean work of a call, by tier and class, in core-microseconds of the reference core."""
    return [
        [fixed_float(t.work) * fixed_float(c.work_ms) * 1000 for c in scenario.request_classes]
        for t in scenario.tier
    ]


def assign_by_shares(shares: list[float], count: int) -> list[int]:
    """Return `count` indices into `shares`, each as often as its share and evenly interleaved."""
    turns = sorted(((i + 0.5) / share, k) for k, share in enumerate(shares) for i in range(count))
    return [k for _, k in turns][:count]


class Hosts(Protocol):
    """The factory of a model's nodes, implemented by the simulator and the emulator."""

    def node(self, world: World, name: str, tier: int, settings: Settings) -> Port:
        """Return a node that has not been started; `tier` is the tier that the node sends to."""


class World:
    """A scenario that runs on a clock, with all components of the model.

    Args:
        scenario: The scenario, with a drawn value in place of each range.
        clock: The clock on which all events are scheduled.
        hosts: The factory of the nodes.
    """

    def __init__(self, scenario: Scenario, clock: Clock, hosts: Hosts) -> None:
        self.scenario = scenario
        self.clock = clock
        self.hosts = hosts
        self.streams = Streams(scenario.seed)
        self.begin_at = clock.now
        self.length = int(fixed_float(scenario.length_s) * 1e6)
        self.zones = fixed_int(scenario.zones.count)
        self.boot_delay = int(fixed_float(scenario.nodes.boot_ms) * 1000)
        self.answer_slack = int(fixed_float(scenario.rules.answer_slack_ms) * 1000)
        self.fall_time = int(fixed_float(scenario.rules.fall_s) * 1e6)
        self.fall_multiple = fixed_float(scenario.rules.fall_multiple)
        self.shared_slowdown = 1.0
        self.on_step: Callable[[Request, str, str], None] | None = None
        self.followed_request = -1
        self.trace_log: TraceLog | None = None
        self.call_numbers = itertools.count(1)
        self.classes = class_settings(scenario)
        self.tick = int(fixed_float(scenario.nodes.tick_ms) * 1000)
        request_work = mean_request_work(scenario)
        self.mean_work = [fixed_float(t.work) * request_work for t in scenario.tier]
        self.work_table = work_table(scenario)
        self.mean_calls = [fixed_float(t.calls) for t in scenario.tier[1:]] + [0.0]
        self.network = Network(scenario, self.streams)
        self.referee = Referee(
            self.classes,
            int(fixed_float(scenario.rules.stop_sending_ms) * 1000),
            scenario.nodes.second_copies,
        )
        self.accounts = Accounts(scenario, self.classes, self.begin_at, len(scenario.tier))
        self.front = Front(scenario, clock, self.streams, self.zones)
        self.discovery = Discovery(scenario, self, len(scenario.tier))
        self.tiers: list[list[Server]] = []
        self.by_id: dict[int, Server] = {}
        self.replacement_numbers = itertools.count()
        self.add_initial_servers(self.draw_specs())
        self.nodes = [self.create_front_node(index) for index in range(self.instances[0])]
        self.clients = Clients(self, self.arrival_rate())
        self.active_faults: list[ActiveFault] = []

    # ---- servers and nodes --------------------------------------------------------------------------------

    def add_initial_servers(self, specs: list[list[ServerSpec]]) -> None:
        """Add the servers of all tiers and list them in discovery."""
        self.instances = [fixed_int(self.scenario.nodes.count)] + [len(tier) for tier in specs[:-1]]
        for tier in specs:
            self.tiers.append([])
            for spec in tier:
                self.discovery.add_initial(self.add_server(spec, first=True))

    def create_front_node(self, index: int) -> Port:
        """Return a new node of the front; zones are assigned round-robin."""
        return self.hosts.node(self, f"front/{index}", 0, self.node_settings(0, index % self.zones, index))

    def draw_specs(self) -> list[list[ServerSpec]]:
        """Draw the machines of each tier: kinds and zones by their shares, each cell within one zone."""
        specs: list[list[ServerSpec]] = []
        weights = [fixed_float(self.scenario.zones.servers.get(str(z), 1.0)) for z in range(self.zones)]
        ids = self.streams.random("ids")
        used_ids: set[int] = set()
        for tier_index, tier in enumerate(self.scenario.tier):
            count = max(1, round(fixed_int(self.scenario.servers) * fixed_float(tier.size)))
            kinds = assign_by_shares([fixed_float(kind.share) for kind in tier.kind], count)
            cell_size = fixed_int(tier.cell_size)
            zones, zone_sizes = assign_by_shares(weights, count), Counter[int]()
            tier_specs = []
            for i in range(count):
                number = ids.randrange(1, 2**32)
                while number in used_ids:
                    number = ids.randrange(1, 2**32)
                used_ids.add(number)
                zone = zones[i]
                # The zone is part of the number of a cell, so that no cell spans two zones.
                cell = zone_sizes[zone] // cell_size * self.zones + zone
                zone_sizes[zone] += 1
                tier_specs.append(
                    self.draw_spec(f"{tier.name}/{i}", number, tier_index, zone, cell, kinds[i])
                )
            specs.append(tier_specs)
        return specs

    def draw_spec(self, name: str, number: int, tier: int, zone: int, cell: int, kind: int) -> ServerSpec:
        """Draw the properties of one machine."""
        settings: Kind = self.scenario.tier[tier].kind[kind]
        cores = fixed_int(settings.cores)
        rng = self.streams.random(f"{name}/speed")
        return ServerSpec(
            name=name,
            id=number,
            tier=tier,
            zone=zone,
            cell=cell,
            kind=kind,
            cores=cores,
            speed=fixed_float(settings.speed)
            * max(MIN_SPEED_SHARE, rng.gauss(1.0, fixed_float(settings.speed_cv))),
            slots=max(1, round(fixed_float(settings.slots_per_core) * cores)),
            queue_size=round(fixed_float(settings.queue_per_core) * cores),
            thrash=fixed_float(settings.thrash),
            thrash_at=fixed_float(settings.thrash_at),
            pause_length=fixed_float(settings.pause_ms) * 1000,
            pause_interval=fixed_float(settings.pause_every_s) * 1e6,
            cold_capacity_share=fixed_float(settings.cold_from),
            warm_up_time=int(fixed_float(settings.cold_s) * 1e6),
            connection_cap=max(1, round(fixed_float(settings.connections_per_core) * cores)),
            handshake_work=fixed_float(settings.handshake_us),
            handshake_rtts=fixed_float(settings.handshake_rtts),
            probe_work=fixed_float(settings.probe_us),
            error_rate=fixed_float(settings.error_rate),
            cancel=settings.cancel,
        )

    def add_server(self, spec: ServerSpec, first: bool = False) -> Server:
        """Add an initial machine, or one that replaces another of the same kind and place."""
        if not first:
            number = next(self.replacement_numbers)
            rng = self.streams.random(f"replacement/{number}")
            spec = replace(spec, name=f"{spec.name}+{number}", id=rng.randrange(2**32, 2**33) & 0xFFFFFFFF)
            while spec.id in self.by_id:
                spec = replace(spec, id=rng.randrange(1, 2**32))
        server = Server(self, spec)
        server.up = first
        tier = self.tiers[spec.tier]
        if spec.tier + 1 < len(self.scenario.tier):
            settings = self.node_settings(spec.tier + 1, spec.zone, len(tier))
            server.node = self.hosts.node(self, f"node/{spec.name}", spec.tier + 1, settings)
        tier.append(server)
        self.by_id[spec.id] = server
        server.update_speed()
        return server

    def node_settings(self, tier: int, zone: int, index: int) -> Settings:
        """Return the settings that a node receives when it is created."""
        scenario = self.scenario
        kinds = [kind for scenario_tier in scenario.tier for kind in scenario_tier.kind]
        return Settings(
            classes=tuple(self.classes),
            tier=tier,
            tiers=len(scenario.tier),
            zone=zone,
            instances=self.instances[tier],
            index=index,
            tick=self.tick,
            max_attempts=fixed_int(scenario.nodes.max_attempts),
            cancel=True,
            probes=scenario.nodes.probes,
            peers=scenario.nodes.peers,
            hedging=scenario.nodes.second_copies,
            retry_after=scenario.nodes.retry_after and tier == 0,
            max_retry_after=int(fixed_float(scenario.clients.max_retry_after_s) * 1e6),
            list_on_request=scenario.discovery.mode == "ask",
            max_list_poll_interval=10_000_000 if scenario.discovery.mode == "ask" else 0,
            slow_start_time=max(int(fixed_float(kind.cold_s) * 1e6) for kind in kinds),
            slow_start_share=min(fixed_float(kind.cold_from) for kind in kinds),
            fall_multiple=fixed_float(scenario.rules.fall_multiple),
            fall_time=self.fall_time,
            answer_slack=self.answer_slack,
            cross_zone_price=fixed_float(scenario.prices.cross_zone),
        )

    def arrival_rate(self) -> float:
        """Return the requests per microsecond: the load's fraction of the capacity of the bottleneck tier."""
        calls_per_request = 1.0
        tier_rates = []
        for tier_index, tier in enumerate(self.tiers):
            calls_per_request *= fixed_float(self.scenario.tier[tier_index].calls) if tier_index else 1.0
            paused_shares = [
                server.spec.pause_length / (server.spec.pause_length + server.spec.pause_interval)
                if server.spec.pause_length
                else 0.0
                for server in tier
            ]
            available = sum(
                server.cores * server.full_speed * (1 - paused_share)
                for server, paused_share in zip(tier, paused_shares, strict=True)
            )
            tier_rates.append(available / (calls_per_request * self.mean_work[tier_index]))
        self.capacity = min(tier_rates)
        return fixed_float(self.scenario.load.fraction) * self.capacity

    # ---- services for the components ------------------------------------------------------------------

    def call_count(self, tier: int, key: int) -> int:
        """Return the number of calls that a server makes to the next tier for one call, drawn by its key."""
        mean = self.mean_calls[tier]
        minimum = floor(mean)
        return minimum + ((key >> 16) < (mean - minimum) * 2**16)

    def call(self, root: Request, key: int, tier: int, until: int, caller: Caller) -> Call:
        """Return a new call, with a trace if its request is traced."""
        call = Call(next(self.call_numbers), root, key, tier, until, caller)
        if root.trace is not None:
            call.trace = CallTrace(tier, self.clock.now, until)
        return call

    def is_notified_of_start(self, attempt: Attempt, server: ServerView) -> bool:
        """Return whether the node that sent an attempt had been notified of the server's last start."""
        return attempt.port.starts.get(server.id, -1) == server.ready_at

    def trace(self, request: Request, actor: str, step: str) -> None:
        """Report a step of a request to `on_step` if it is the followed request."""
        if request.index == self.followed_request and self.on_step is not None:
            self.on_step(request, actor, step)

    # ---- execution ------------------------------------------------------------------------------------

    def start(self) -> None:
        """Begin the scenario now: start faults, clients and nodes, the front's nodes spread over time."""
        self.begin_at = self.accounts.begin_at = self.clock.now
        if self.trace_log is not None:
            self.trace_log.begin_at = self.begin_at
        self.active_faults = [ActiveFault(self, fault, i) for i, fault in enumerate(self.scenario.fault)]
        for tier in self.tiers:
            for server in tier:
                if server.node is not None:
                    server.node.boot()
        spread = fixed_float(self.scenario.nodes.start_spread_ms) * 1000
        rng = self.streams.random("starts")
        for i, node in enumerate(self.nodes):
            delay = 0 if i == 0 else int(spread * rng.random())
            self.clock.call_at(self.begin_at + delay, lambda n: n.boot(), node)
        self.clients.start()

    def finished(self) -> bool:
        """Return whether every request of the scenario has arrived and ended."""
        return self.clients.unfinished == 0
