"""The model as a whole: servers in tiers, nodes, clients, network, discovery, faults, referee, accounts."""

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

MIN_SPEED_SHARE = 0.3  # minimum speed, relative to the mean of its kind
BEGIN = 10_000_000  # arbitrary start time of the clock, in microseconds

EFFECTS = {"safe": Effect.IDEMPOTENT, "keyed": Effect.IDEMPOTENCY_KEY, "unsafe": Effect.NOT_IDEMPOTENT}
EFFECT_WORDS = {
    effect: word for word, effect in EFFECTS.items()
}  # as scenarios and stored histories spell them
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


def class_settings(day: Scenario) -> list[ClassSettings]:
    """Returns the settings of the request classes, as nodes receive them."""
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
        for c in day.request_classes
    ]


def mean_request_work(day: Scenario) -> float:
    """Returns the mean work of a request over the classes, in core-microseconds of the reference core."""
    shares = [fixed_float(c.share) for c in day.request_classes]
    works = [fixed_float(c.work_ms) for c in day.request_classes]
    return sum(work * share for work, share in zip(works, shares, strict=True)) / sum(shares) * 1000


def work_table(day: Scenario) -> list[list[float]]:
    """Returns the mean work of a call, by tier and class, in core-microseconds of the reference core."""
    return [
        [fixed_float(t.work) * fixed_float(c.work_ms) * 1000 for c in day.request_classes] for t in day.tier
    ]


def assign_by_shares(shares: list[float], count: int) -> list[int]:
    """Assigns `count` places to the owners of the shares: in proportion, and evenly mixed."""
    turns = sorted(((i + 0.5) / share, k) for k, share in enumerate(shares) for i in range(count))
    return [k for _, k in turns][:count]


class Hosts(Protocol):
    """Makes the nodes of a model."""

    def node(self, world: World, name: str, tier: int, settings: Settings) -> Port:
        """Returns a node that is not started yet; `tier` is the tier that it sends to."""


class World:
    """One scenario, running on a clock.

    Args:
        day: The scenario, its ranges drawn.
        clock: Schedules all that happens.
        hosts: Makes the nodes.
    """

    def __init__(self, day: Scenario, clock: Clock, hosts: Hosts) -> None:
        self.day = day
        self.clock = clock
        self.hosts = hosts
        self.streams = Streams(day.seed)
        self.begin = clock.now
        self.length = int(fixed_float(day.length_s) * 1e6)
        self.zones = fixed_int(day.zones.count)
        self.boot = int(fixed_float(day.nodes.boot_ms) * 1000)
        self.slack = int(fixed_float(day.rules.answer_slack_ms) * 1000)
        self.fall_time = int(fixed_float(day.rules.fall_s) * 1e6)
        self.fall_multiple = fixed_float(day.rules.fall_multiple)
        self.shared_slow = 1.0
        self.on_step: Callable[[Request, str, str], None] | None = None
        self.followed_request = -1
        self.trace_log: TraceLog | None = None
        self.call_numbers = itertools.count(1)
        self.classes = class_settings(day)
        self.tick = int(fixed_float(day.nodes.tick_ms) * 1000)
        mean = mean_request_work(day)
        self.mean_work = [fixed_float(t.work) * mean for t in day.tier]
        self.work_table = work_table(day)
        self.mean_calls = [fixed_float(t.calls) for t in day.tier[1:]] + [0.0]
        self.network = Network(day, self.streams)
        self.referee = Referee(
            self.classes, int(fixed_float(day.rules.stop_sending_ms) * 1000), day.nodes.second_copies
        )
        self.accounts = Accounts(day, self.classes, self.begin, len(day.tier))
        self.front = Front(day, clock, self.streams, self.zones)
        self.discovery = Discovery(day, self, len(day.tier))
        self.tiers: list[list[Server]] = []
        self.by_id: dict[int, Server] = {}
        self.replacement_numbers = itertools.count()
        self.add_initial_servers(self.draw_specs())
        self.nodes = [self.front_node(index) for index in range(self.instances[0])]
        self.clients = Clients(self, self.rate())
        self.active_faults: list[ActiveFault] = []

    # ---- servers and nodes --------------------------------------------------------------------------------

    def add_initial_servers(self, specs: list[list[ServerSpec]]) -> None:
        """Adds the servers of all tiers, which discovery has in its lists from the start."""
        self.instances = [fixed_int(self.day.nodes.count)] + [len(tier) for tier in specs[:-1]]
        for tier in specs:
            self.tiers.append([])
            for spec in tier:
                self.discovery.add_initial(self.add_server(spec, first=True))

    def front_node(self, index: int) -> Port:
        """Returns a node of the front; its zone is given in turn."""
        return self.hosts.node(self, f"front/{index}", 0, self.settings(0, index % self.zones, index))

    def draw_specs(self) -> list[list[ServerSpec]]:
        """Draws the machines of each tier: kinds and zones by their shares, cells within a zone."""
        specs: list[list[ServerSpec]] = []
        weights = [fixed_float(self.day.zones.servers.get(str(z), 1.0)) for z in range(self.zones)]
        ids = self.streams.random("ids")
        taken: set[int] = set()
        for t, tier in enumerate(self.day.tier):
            count = max(1, round(fixed_int(self.day.servers) * fixed_float(tier.size)))
            kinds = assign_by_shares([fixed_float(k.share) for k in tier.kind], count)
            cell = fixed_int(tier.cell_size)
            zones, inside = assign_by_shares(weights, count), Counter[int]()
            tier_specs = []
            for i in range(count):
                number = ids.randrange(1, 2**32)
                while number in taken:
                    number = ids.randrange(1, 2**32)
                taken.add(number)
                zone = zones[i]
                within = inside[zone] // cell * self.zones + zone  # cells lie within a zone
                inside[zone] += 1
                tier_specs.append(self.spec(f"{tier.name}/{i}", number, t, zone, within, kinds[i]))
            specs.append(tier_specs)
        return specs

    def spec(self, name: str, number: int, tier: int, zone: int, cell: int, kind: int) -> ServerSpec:
        """Draws the figures of one machine."""
        k: Kind = self.day.tier[tier].kind[kind]
        cores = fixed_int(k.cores)
        rng = self.streams.random(f"{name}/speed")
        return ServerSpec(
            name=name,
            id=number,
            tier=tier,
            zone=zone,
            cell=cell,
            kind=kind,
            cores=cores,
            speed=fixed_float(k.speed) * max(MIN_SPEED_SHARE, rng.gauss(1.0, fixed_float(k.speed_cv))),
            slots=max(1, round(fixed_float(k.slots_per_core) * cores)),
            queue=round(fixed_float(k.queue_per_core) * cores),
            thrash=fixed_float(k.thrash),
            thrash_at=fixed_float(k.thrash_at),
            pause=fixed_float(k.pause_ms) * 1000,
            pause_every=fixed_float(k.pause_every_s) * 1e6,
            cold_from=fixed_float(k.cold_from),
            cold=int(fixed_float(k.cold_s) * 1e6),
            connection_cap=max(1, round(fixed_float(k.connections_per_core) * cores)),
            handshake=fixed_float(k.handshake_us),
            handshake_rtts=fixed_float(k.handshake_rtts),
            probe=fixed_float(k.probe_us),
            error_rate=fixed_float(k.error_rate),
            cancel=k.cancel,
        )

    def add_server(self, spec: ServerSpec, first: bool = False) -> Server:
        """Adds a machine: an initial one, or one that replaces another of the same kind and place."""
        if not first:
            number = next(self.replacement_numbers)
            rng = self.streams.random(f"replacement/{number}")
            spec = replace(spec, name=f"{spec.name}+{number}", id=rng.randrange(2**32, 2**33) & 0xFFFFFFFF)
            while spec.id in self.by_id:
                spec = replace(spec, id=rng.randrange(1, 2**32))
        server = Server(self, spec)
        server.up = first
        tier = self.tiers[spec.tier]
        if spec.tier + 1 < len(self.day.tier):
            settings = self.settings(spec.tier + 1, spec.zone, len(tier))
            server.node = self.hosts.node(self, f"node/{spec.name}", spec.tier + 1, settings)
        tier.append(server)
        self.by_id[spec.id] = server
        server.update_speed()
        return server

    def settings(self, tier: int, zone: int, index: int) -> Settings:
        """Returns the settings that a node receives at its start."""
        day = self.day
        kinds = [k for t in day.tier for k in t.kind]
        return Settings(
            classes=tuple(self.classes),
            tier=tier,
            tiers=len(day.tier),
            zone=zone,
            instances=self.instances[tier],
            index=index,
            tick=self.tick,
            max_attempts=fixed_int(day.nodes.max_attempts),
            cancel=True,
            probes=day.nodes.probes,
            peers=day.nodes.peers,
            hedging=day.nodes.second_copies,
            retry_after=day.nodes.retry_after and tier == 0,
            max_retry_after=int(fixed_float(day.clients.max_retry_after_s) * 1e6),
            list_on_request=day.discovery.mode == "ask",
            max_list_poll_interval=10_000_000 if day.discovery.mode == "ask" else 0,
            slow_start_time=max(int(fixed_float(k.cold_s) * 1e6) for k in kinds),
            slow_start_share=min(fixed_float(k.cold_from) for k in kinds),
            fall_multiple=fixed_float(day.rules.fall_multiple),
            fall_time=self.fall_time,
            answer_slack=self.slack,
            cross_zone_price=fixed_float(day.prices.cross_zone),
        )

    def rate(self) -> float:
        """Returns the requests a microsecond: the load's fraction of the capacity of the tightest tier."""
        visits = 1.0
        rates = []
        for t, tier in enumerate(self.tiers):
            visits *= fixed_float(self.day.tier[t].calls) if t else 1.0
            paused_shares = [
                s.spec.pause / (s.spec.pause + s.spec.pause_every) if s.spec.pause else 0.0 for s in tier
            ]
            available = sum(
                s.cores * s.full_speed * (1 - p) for s, p in zip(tier, paused_shares, strict=True)
            )
            rates.append(available / (visits * self.mean_work[t]))
        self.capacity = min(rates)
        return fixed_float(self.day.load.fraction) * self.capacity

    # ---- what its parts ask ---------------------------------------------------------------------------

    def calls(self, tier: int, key: int) -> int:
        """Returns how many calls a server makes to the next tier for a call."""
        mean = self.mean_calls[tier]
        minimum = floor(mean)
        return minimum + ((key >> 16) < (mean - minimum) * 2**16)

    def call(self, root: Request, key: int, tier: int, until: int, caller: Caller) -> Call:
        """Returns a new call, with a trace if its request has one."""
        call = Call(next(self.call_numbers), root, key, tier, until, caller)
        if root.trace is not None:
            call.trace = CallTrace(tier, self.clock.now, until)
        return call

    def knows_start(self, attempt: Attempt, server: ServerView) -> bool:
        """Returns whether the node that sent an attempt was notified of the server's last start."""
        return attempt.port.starts.get(server.id, -1) == server.ready_at

    def trace(self, request: Request, who: str, what: str) -> None:
        """Reports a step of the request that is followed."""
        if request.index == self.followed_request and self.on_step is not None:
            self.on_step(request, who, what)

    # ---- its run --------------------------------------------------------------------------------------

    def start(self) -> None:
        """Begins the scenario now: faults, clients and nodes, the front's spread over some time."""
        self.begin = self.accounts.begin = self.clock.now
        if self.trace_log is not None:
            self.trace_log.begin = self.begin
        self.active_faults = [ActiveFault(self, fault, i) for i, fault in enumerate(self.day.fault)]
        for tier in self.tiers:
            for server in tier:
                if server.node is not None:
                    server.node.boot()
        spread = fixed_float(self.day.nodes.start_spread_ms) * 1000
        rng = self.streams.random("starts")
        for i, node in enumerate(self.nodes):
            delay = 0 if i == 0 else int(spread * rng.random())
            self.clock.call_at(self.begin + delay, lambda n: n.boot(), node)
        self.clients.start()

    def finished(self) -> bool:
        """Returns whether all requests have arrived and ended."""
        return self.clients.unfinished == 0
