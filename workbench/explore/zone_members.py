"""Membership by zone on a virtual network: SWIM in each zone, the zones' summaries between them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from time import process_time_ns
from typing import Any

from balancer.fleet.membership.swim import Address, Claim, OutgoingMessage, Status, Swim
from balancer.fleet.zone_membership.decisions import Federation, Group
from balancer.fleet.zone_membership.messages import FederationMessage, FederationWire
from balancer.fleet.zone_membership.records import Event, Freshness
from balancer.fleet.zone_membership.settings import FederationTiming, ZoneMembershipSettings
from workbench.explore.regional import RegionalNetwork

ZONES = 13
REGIONS = 5
ZONE_SIZE = 246
SEEDS = 3  # nodes of a zone that others ask first
PORT = 7400
SECOND = 1_000_000
HOUR = 3600.0


@dataclass(frozen=True)
class SharedMember:
    """A member of a `ZoneView`."""

    claim: Claim


@dataclass
class ZoneView:
    """A zone's members as all of its nodes see them at once, where SWIM itself is not of interest."""

    members: dict[str, SharedMember] = field(default_factory=dict)


class SharedGroup:
    """One node's part of a `ZoneView`."""

    def __init__(self, me: Claim, view: ZoneView) -> None:
        self.me = me
        self.view = view
        self.hidden: set[str] = set()  # members that this node does not see

    @property
    def members(self) -> dict[str, SharedMember]:
        return self.view.members

    def alive(self) -> list[str]:
        return [n for n in self.view.members if n != self.me.name and n not in self.hidden]


class Node:
    """One process: its group and, unless it is of an old version, its federation."""

    def __init__(self, fleet: Fleet, number: int, zone: int, incarnation: int, old: bool) -> None:
        self.fleet = fleet
        self.zone = zone
        self.name = f"{zone_name(zone)}-{number}"
        self.address = node_address(zone, number)
        self.incarnation = incarnation
        self.open = True
        self.cpu_ns = 0  # of the federation, without the codec...
        self.swim_cpu_ns = 0  # ...and of SWIM
        self.events: list[tuple[int, Event]] = []
        network = fleet.network
        self.endpoint = network.attach(self.address, zone % fleet.regions, self.receive, old)
        self.swim: Swim | None = None
        self.federation: Federation | None = None
        self.group = self.join_group()
        now, rng = network.clock.now, Random(fleet.rng.random())
        if self.swim is not None:
            network.clock.call_at(self.swim.due(), self.wake_swim, None)
        if not fleet.flat and not old:
            settings = ZoneMembershipSettings(fleet.zone_seeds(zone))
            region = f"r{zone % fleet.regions}"
            self.federation = Federation(
                zone_name(zone), region, self.group, settings, fleet.timing, rng, now, self.notify
            )
            network.clock.call_at(self.federation.deadline(), self.wake_federation, None)

    def join_group(self) -> Group:
        fleet = self.fleet
        if fleet.shared:
            me = Claim(self.name, self.address, Status.ALIVE, self.incarnation)
            view = fleet.views.setdefault(self.zone, ZoneView())
            view.members[self.name] = SharedMember(me)
            return SharedGroup(me, view)
        zone = 0 if fleet.flat else self.zone
        seeds = [node_address(zone, i) for i in range(SEEDS)]
        self.swim = Swim(
            self.name,
            self.address,
            self.incarnation,
            seeds,
            Random(fleet.rng.random()),
            fleet.network.clock.now,
        )
        return self.swim

    def notify(self, event: Event) -> None:
        self.events.append((self.fleet.network.clock.now, event))

    # ---- time and messages ----------------------------------------------------------------------------

    def wake_swim(self, _: object) -> None:
        clock = self.fleet.network.clock
        if self.open and self.swim is not None:
            self.timed_swim(self.swim.tick, clock.now)
            clock.call_at(max(clock.now + 1, self.swim.due()), self.wake_swim, None)

    def wake_federation(self, _: object) -> None:
        clock, federation = self.fleet.network.clock, self.federation
        if self.open and federation is not None:
            self.timed(lambda: federation.tick(clock.now))
            clock.call_at(max(clock.now + 1, federation.deadline()), self.wake_federation, None)

    def receive(self, source: Address, message: Any) -> None:
        now = self.fleet.network.clock.now
        federation = self.federation
        if isinstance(message, FederationMessage):
            if federation is not None:
                self.timed(lambda: federation.received(now, source, message))
        elif self.swim is not None:
            self.timed_swim(self.swim.receive, now, source, message)

    def timed(self, act: Callable[[], list[tuple[Address, FederationMessage]]]) -> None:
        began = process_time_ns()
        out = act()
        self.cpu_ns += process_time_ns() - began
        for to, message in out:
            self.fleet.network.send(self.address, to, message)

    def timed_swim(self, act: Callable[..., list[OutgoingMessage]], *what: Any) -> None:
        began = process_time_ns()
        out = act(*what)
        self.swim_cpu_ns += process_time_ns() - began
        for send in out:
            self.fleet.network.send(self.address, send.to, send.message)

    # ---- what it knows --------------------------------------------------------------------------------

    def freshness(self, zone: int) -> Freshness | None:
        record = self.federation.records.zones.get(zone_name(zone)) if self.federation else None
        return record.freshness if record is not None else None

    def size_of(self, zone: int) -> int | None:
        if zone == self.zone:
            return len(self.group.alive()) + 1
        record = self.federation.records.zones.get(zone_name(zone)) if self.federation else None
        return record.state.size if record is not None else None

    def age_of(self, zone: int) -> float | None:
        record = self.federation.records.zones.get(zone_name(zone)) if self.federation else None
        return record.age(self.fleet.network.clock.now) / SECOND if record is not None else None

    def names_gateways(self) -> bool:
        """Whether it counts itself among its zone's gateways."""
        now = self.fleet.network.clock.now
        return self.federation is not None and self.name in self.federation.gateways(now)


class Fleet:
    """Zones of nodes. `shared`: a zone's nodes see the same members at once, without SWIM. `flat`: one SWIM
    group over all, and no federation. `old`: which of a zone's nodes, by number, are of a version without."""

    def __init__(
        self,
        zones: int,
        zone_size: int,
        seed: int = 1,
        *,
        regions: int = REGIONS,
        loss: float = 0.0,
        shared: bool = False,
        flat: bool = False,
        old: Callable[[int], bool] = lambda number: False,
        timing: FederationTiming | None = None,
    ) -> None:
        self.zones = zones
        self.regions = min(regions, zones)
        self.shared = shared
        self.flat = flat
        self.timing = timing or FederationTiming()
        self.network = RegionalNetwork(seed, loss, [FederationWire()])
        self.rng = Random(seed + 1)
        self.views: dict[int, ZoneView] = {}
        self.nodes: dict[Address, Node] = {}
        for zone in range(zones):
            for number in range(zone_size):
                self.start(zone, number, old=old(number))

    def zone_seeds(self, own: int) -> dict[str, tuple[Address, ...]]:
        return {
            zone_name(z): tuple(node_address(z, i) for i in range(SEEDS))
            for z in range(self.zones)
            if z != own
        }

    def start(self, zone: int, number: int, incarnation: int = 1, old: bool = False) -> Node:
        node = Node(self, number, zone, incarnation, old)
        self.nodes[node.address] = node
        return node

    def kill(self, node: Node, noticed: bool = True) -> None:
        """Ends a node. `noticed`: of shared groups, whether they do not hold it alive any more."""
        node.open = False
        del self.nodes[node.address]
        self.network.detach(node.address)
        if self.shared and noticed:
            del self.views[node.zone].members[node.name]

    def notice_dead(self) -> None:
        """Shared groups notice the nodes that have been killed."""
        names = {n.name for n in self.nodes.values()}
        for view in self.views.values():
            view.members = {name: m for name, m in view.members.items() if name in names}

    def of_zone(self, zone: int) -> list[Node]:
        return [n for n in self.nodes.values() if n.zone == zone]

    def speaking(self) -> list[Node]:
        """The nodes that have a federation."""
        return [n for n in self.nodes.values() if n.federation is not None]

    # ---- what must come to hold -----------------------------------------------------------------------

    def all_know(self, zones: Iterable[int] | None = None, nodes: Iterable[Node] | None = None) -> bool:
        """Whether the nodes hold fresh summaries of the zones."""
        wanted = list(range(self.zones) if zones is None else zones)
        return all(
            z == n.zone or n.freshness(z) == Freshness.FRESH
            for n in (self.speaking() if nodes is None else nodes)
            for z in wanted
        )

    def sizes_right(self) -> bool:
        """Whether all hold the true size of each zone."""
        sizes = [len(self.of_zone(z)) for z in range(self.zones)]
        return all(n.size_of(z) == sizes[z] for n in self.speaking() for z in range(self.zones))

    def groups_complete(self) -> bool:
        """Whether each node's group holds all of its zone alive."""
        sizes = [len(self.of_zone(z)) for z in range(self.zones)]
        return all(len(n.group.alive()) + 1 == sizes[n.zone] for n in self.nodes.values())

    def oldest(self) -> float:
        """The greatest age, in seconds, of a summary that a node holds."""
        ages = (n.age_of(z) for n in self.speaking() for z in range(self.zones))
        return max((age for age in ages if age is not None), default=0.0)


def zone_name(zone: int) -> str:
    return f"zone-{zone}"


def node_address(zone: int, number: int) -> Address:
    return f"10.{zone}.{number >> 8}.{number & 255}", PORT
