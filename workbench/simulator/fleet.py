"""A fleet on the virtual clock: the front nodes of a world with their leases between them.

Voters, lease clients and the policy adapter are the node's own; the network between them is the world's,
without loss, and who is there is known at once. What faults do to leases, `explore/leases.py` tries.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

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

EPOCH = 1_700_000_000_000  # milliseconds of Unix time at the clock's 0
DIALS = 16  # calls to each new connection
NOWHERE = ("127.0.0.1", 1)


@dataclass(frozen=True)
class Uses:
    """What of the fleet is on. Times in microseconds."""

    probe: bool = False
    remeasure: float = 0.0
    zones: ZoneSettings | None = None
    strict: bool = False  # calls stay in their zone until it is empty: a baseline
    far_cost: float = 1.0  # of a call to another region
    together: bool = False  # the length of the way is left in the samples, to see the harm
    voters: int = 3
    lease: int = 3_000_000
    longest: int = 10_000_000


@dataclass
class Notes:
    """What the nodes of one run did: trials of servers set aside, passes, messages."""

    trials: Counter[int] = field(default_factory=Counter)  # by server
    readmitted: list[int] = field(default_factory=list)  # when a node took a server back
    refused_in_pass: int = 0
    most_in_pass: int = 0
    messages: int = 0
    lines: list[tuple[int, str, str]] = field(default_factory=list)  # when, who, what


class Watched(Balancer):
    """The module, with its trials and passes counted."""

    def __init__(
        self, settings: Settings, seed: int, actions: Actions, hook: Hook | None, fleet: VirtualFleet
    ) -> None:
        super().__init__(settings, seed, actions, hook)
        self.notes = fleet.notes
        self.all = fleet.modules
        self.all.append(self)
        assert fleet.world is not None
        self.clock = fleet.world.clock
        self.hook = hook if isinstance(hook, PolicyAdapter) and fleet.uses.zones is not None else None
        self.world = fleet.world
        self.home = settings.zone
        self.readmit = self.ejection.readmit
        self.ejection.readmit = self.count_readmitted  # type: ignore[method-assign]
        self.attempt_timeout = self.lifecycle.attempt_timeout
        self.lifecycle.attempt_timeout = self.count_trial  # type: ignore[method-assign]
        self.finish = self.lifecycle.finish
        self.lifecycle.finish = self.count_rejected  # type: ignore[method-assign]

    def count_readmitted(self, server: Server, healthy: bool = False) -> None:
        self.notes.readmitted.append(self.clock.now)
        self.readmit(server, healthy)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
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
        super().outcome(now, request, attempt, server, outcome, latency, final, report)
        if self.hook is not None:
            # A connection is taken to come up in a round-trip of the world's network, drawn anew.
            way = self.world.network.between(self.home, self.world.by_id[server].zone, request)
            self.hook.attempt_ended(server, outcome, latency, 2 * way / 1e6 if request % DIALS == 0 else 0.0)

    def count_trial(self, now: int, request: Request, server: Server) -> int:
        if server.outside_limit:
            self.notes.trials[server.id] += 1
        return self.attempt_timeout(now, request, server)

    def count_rejected(self, request: Request, reject: bool) -> None:
        if (
            reject
            and not request.attempts
            and self.controller.recalculating
            and self.controller.recalculations
        ):
            self.notes.refused_in_pass += 1
            on = sum(m.controller.recalculating and m.controller.recalculations > 0 for m in self.all)
            self.notes.most_in_pass = max(self.notes.most_in_pass, on)
        self.finish(request, reject)


class Process:
    """One front node's part in the fleet."""

    def __init__(self, fleet: VirtualFleet, world: World, settings: Settings, seed: int) -> None:
        self.fleet = fleet
        self.world = world
        self.clock = world.clock
        self.index = settings.index
        self.zone = settings.zone
        self.name = f"n{settings.index}"
        self.armed = -1
        self.rng = Random(f"fleet {self.name} {seed}")
        uses = fleet.uses
        names = tuple(f"n{i}" for i in range(uses.voters))
        config = FleetConfig(
            name=self.name, zone=f"z{settings.zone}", region="", listen=NOWHERE, advertise=NOWHERE, seeds=(),
            keys=(), voters=names, old_voters=(), lease=uses.lease, max_lease=uses.longest, votes=None,
            period=1_000_000, health_checks=uses.probe, min_rtt_share=uses.remeasure, clock_file=None,
            zones=self.zone_settings(world, settings.zone),
        )  # fmt: skip
        lease_settings = LeaseSettings(lease=uses.lease, max_lease=uses.longest)
        lists = [Electorate(names)]
        self.adapter = PolicyAdapter(
            config, settings, self.now, lambda: self.wall() * 1000, self.arm, self.tell
        )
        if uses.strict and self.adapter.zone_traffic is not None:
            self.adapter.zone_traffic.router_class = StrictlyLocal
        self.adapter.on_health_check_result = self.verdict
        self.lease_client = LeaseClient(
            self.name, seed & 0xFFFFFF, lists, lease_settings, self.rng, self.wall
        )
        votes = lists if self.name in names else []
        self.voter = Voter(self.name, 1, votes, lease_settings, self.now())
        if self.clock.now <= world.begin + 1_000_000:  # as the day begins, the fleet has stood for long
            self.voter.abstains_until = 0
            self.voter.recalled_tokens = dict.fromkeys(names, 0)
        self.adapter.on_shares = self.spread
        self.adapter.open(self.others, self.rng)
        self.adapter.use_leases(self.lease_client, self.rng)

    def now(self) -> int:
        return self.clock.now

    def wall(self) -> int:
        return EPOCH + self.clock.now // 1000

    def others(self) -> list[str]:
        """Those that run, in order."""
        return [n for n in self.fleet.processes if n != self.name and self.fleet.runs(n)]

    def zone_settings(self, world: World, home: int) -> ZoneSettings | None:
        """With the costs of the world's regions."""
        uses, regions = self.fleet.uses, fixed_int(world.day.zones.regions)
        if uses.zones is None or regions == 1:
            return uses.zones
        far = [z for z in range(world.zones) if z % regions != home % regions]
        return replace(uses.zones, costs={f"z{z}": uses.far_cost for z in far})

    def tell(self, text: str) -> None:
        """A line of the fleet's log."""
        self.fleet.notes.lines.append((self.clock.now, self.name, text))

    def spread(self, shares: dict[int, float], trips: dict[int, int]) -> None:
        node: Any = self.world.nodes[self.index]
        if node.module is not None:
            node.post(node.module.zone_shares, (shares, {} if self.fleet.uses.together else trips))

    def verdict(self, server: int, well: bool) -> None:
        node: Any = self.world.nodes[self.index]
        if node.module is not None:
            node.post(node.module.trial_result, (server, well))

    # ---- time and messages ------------------------------------------------------------------------------

    def arm(self) -> None:
        now = self.clock.now
        dues = (self.voter.deadline(), self.lease_client.deadline(), self.adapter.deadline(now))
        due = min((d for d in dues if d is not None), default=None)
        if due is None:
            return
        at = max(now + 1, due)
        if self.armed <= now or at < self.armed:
            self.armed = at
            self.clock.call_at(at, self.wake, at)

    def wake(self, at: int) -> None:
        if at != self.armed or not self.fleet.runs(self.name) or self.fleet.processes[self.name] is not self:
            return
        self.armed = -1
        now = self.clock.now
        self.carry([*self.voter.tick(now), *self.lease_client.tick(now)])
        self.carry(self.adapter.tick(now))
        self.arm()

    def carry(self, outgoing: list[Outgoing]) -> None:
        for sent in outgoing:
            name, message = str(sent.to), sent.message
            other = self.fleet.processes.get(name)
            if other is None:
                continue
            self.fleet.notes.messages += name != self.name
            delay = self.world.network.between(self.zone, other.zone, self.rng.getrandbits(32))
            self.clock.call_at(
                self.clock.now + (delay if name != self.name else 1), self.arrive, (name, message)
            )

    def arrive(self, what: tuple[str, Any]) -> None:
        name, message = what
        if self.fleet.runs(name):
            self.fleet.processes[name].take(message)

    def take(self, message: Any) -> None:
        now = self.clock.now
        if isinstance(message, LeaseMessage):
            self.carry([*self.voter.received(now, message), *self.lease_client.received(now, message)])
        else:
            self.carry(self.adapter.received(now, message))
        self.arm()


class VirtualFleet:
    """Makes the modules of one run, as a `Policy`; those behind the front stand alone, and all without
    `uses`."""

    def __init__(self, uses: Uses | None) -> None:
        self.uses = uses or Uses()
        self.on = uses is not None
        self.processes: dict[str, Process] = {}
        self.notes = Notes()
        self.modules: list[Watched] = []
        self.world: World | None = None

    def __call__(self, settings: Settings, seed: int, actions: Actions, world: World) -> Events:
        self.world = world
        if settings.tier:
            return Balancer(settings, seed, actions)
        adapter = None
        if self.on:
            process = self.processes[f"n{settings.index}"] = Process(self, world, settings, seed)
            adapter = process.adapter
        return Watched(settings, seed, actions, adapter, self)

    def runs(self, name: str) -> bool:
        """Whether a node is up."""
        assert self.world is not None
        node: Any = self.world.nodes[int(name[1:])]
        return bool(node.up and not node.leaving)

    def crossings(self) -> int:
        """Attempts that went to another zone."""
        assert self.world is not None
        return self.world.accounts.crossings
