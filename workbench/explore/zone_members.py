"""Fleets with membership by zone on a virtual network: SWIM in each zone, summaries between zones."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from time import process_time_ns
from typing import Any

from balancer.fleet.membership.swim import Address, Claim, OutgoingMessage, Status, Swim
from balancer.fleet.zone_membership.decisions import ZoneMembership
from balancer.fleet.zone_membership.group import Group
from balancer.fleet.zone_membership.messages import OutgoingZoneMessage, ZoneMembershipMessage
from balancer.fleet.zone_membership.records import Freshness, Record, ZoneEvent
from balancer.fleet.zone_membership.settings import ZoneMembershipSettings, ZoneMembershipTiming
from balancer.fleet.zone_membership.wire import ZoneMembershipWire
from workbench.explore.regional import RegionalNetwork

ZONE_COUNT = 13
REGION_COUNT = 5
ZONE_SIZE = 246
# Number of a zone's nodes that other nodes contact first.
SEEDS_PER_ZONE = 3
PORT = 7400
SECOND_US = 1_000_000
HOUR_S = 3600.0


@dataclass(frozen=True)
class SharedMember:
    """A member of a `ZoneView`."""

    claim: Claim


@dataclass
class ZoneView:
    """Members of a zone, shared by all of its nodes, for scenarios that do not need SWIM."""

    members: dict[str, SharedMember] = field(default_factory=dict)


class SharedGroup:
    """Group of one node that shares a `ZoneView` with the other nodes of its zone.

    Attributes:
        hidden: Names of members that this node does not see.
    """

    def __init__(self, me: Claim, view: ZoneView) -> None:
        self.local_claim = me
        self.view = view
        self.hidden: set[str] = set()

    @property
    def members(self) -> dict[str, SharedMember]:
        """Members of the zone by name."""
        return self.view.members

    def alive(self) -> list[str]:
        """Return the names of the other members, except those hidden from this node."""
        return [n for n in self.view.members if n != self.local_claim.name and n not in self.hidden]


class Node:
    """One process with its group and, unless it runs an old version, its membership by zone.

    Attributes:
        cpu_ns: Processor time of membership by zone without the codec, in nanoseconds.
        swim_cpu_ns: Processor time of SWIM without the codec, in nanoseconds.
        events: Events of membership by zone, with their times.
    """

    def __init__(self, fleet: Fleet, number: int, zone: int, incarnation: int, old: bool) -> None:
        self.fleet = fleet
        self.zone = zone
        self.name = f"{zone_name(zone)}-{number}"
        self.address = node_address(zone, number)
        self.incarnation = incarnation
        self.is_running = True
        self.cpu_ns = 0
        self.swim_cpu_ns = 0
        self.events: list[tuple[int, ZoneEvent]] = []
        network = fleet.network
        self.endpoint = network.attach(self.address, zone % fleet.regions, self.receive, old)
        self.swim: Swim | None = None
        self.zone_membership: ZoneMembership | None = None
        self.group = self._join_group()
        now, rng = network.clock.now, Random(fleet.rng.random())
        if self.swim is not None:
            network.clock.call_at(self.swim.due(), self.on_swim_timer, None)
        if not fleet.flat and not old:
            settings = ZoneMembershipSettings(fleet.zone_seeds(zone))
            region = f"r{zone % fleet.regions}"
            self.zone_membership = ZoneMembership(
                zone_name(zone), region, self.group, settings, fleet.timing, rng, now, self.on_event
            )
            network.clock.call_at(self.zone_membership.deadline(), self.on_zone_membership_timer, None)

    def _join_group(self) -> Group:
        fleet = self.fleet
        if fleet.shared:
            me = Claim(self.name, self.address, Status.ALIVE, self.incarnation)
            view = fleet.views.setdefault(self.zone, ZoneView())
            view.members[self.name] = SharedMember(me)
            return SharedGroup(me, view)
        zone = 0 if fleet.flat else self.zone
        seeds = [node_address(zone, i) for i in range(SEEDS_PER_ZONE)]
        self.swim = Swim(
            self.name,
            self.address,
            self.incarnation,
            seeds,
            Random(fleet.rng.random()),
            fleet.network.clock.now,
        )
        return self.swim

    def on_event(self, event: ZoneEvent) -> None:
        """Record an event of membership by zone with its time."""
        self.events.append((self.fleet.network.clock.now, event))

    # ---- time and messages ----------------------------------------------------------------------------

    def on_swim_timer(self, _: object) -> None:
        """Run the due timers of SWIM, and schedule the next."""
        clock = self.fleet.network.clock
        if self.is_running and self.swim is not None:
            self._run_swim(self.swim.tick, clock.now)
            clock.call_at(max(clock.now + 1, self.swim.due()), self.on_swim_timer, None)

    def on_zone_membership_timer(self, _: object) -> None:
        """Run the due timers of membership by zone, and schedule the next."""
        clock, zone_membership = self.fleet.network.clock, self.zone_membership
        if self.is_running and zone_membership is not None:
            self._run_zone_membership(lambda: zone_membership.tick(clock.now))
            clock.call_at(max(clock.now + 1, zone_membership.deadline()), self.on_zone_membership_timer, None)

    def receive(self, source: Address, message: Any) -> None:
        """Handle a message of the network."""
        now = self.fleet.network.clock.now
        zone_membership = self.zone_membership
        if isinstance(message, ZoneMembershipMessage):
            if zone_membership is not None:
                self._run_zone_membership(lambda: zone_membership.received(now, source, message))
        elif self.swim is not None:
            self._run_swim(self.swim.receive, now, source, message)

    def _run_zone_membership(self, call: Callable[[], list[OutgoingZoneMessage]]) -> None:
        began = process_time_ns()
        messages = call()
        self.cpu_ns += process_time_ns() - began
        for addressed in messages:
            self.fleet.network.send(self.address, addressed.to, addressed.message)

    def _run_swim(self, call: Callable[..., list[OutgoingMessage]], *arguments: Any) -> None:
        began = process_time_ns()
        sends = call(*arguments)
        self.swim_cpu_ns += process_time_ns() - began
        for send in sends:
            self.fleet.network.send(self.address, send.to, send.message)

    # ---- state ----------------------------------------------------------------------------------------

    def record(self, zone: int) -> Record | None:
        """Return the record of another zone, or None if this node has none."""
        if self.zone_membership is None:
            return None
        return self.zone_membership.records.zones.get(zone_name(zone))

    def freshness(self, zone: int) -> Freshness | None:
        """Return the freshness of another zone's summary, or None without one."""
        record = self.record(zone)
        return record.freshness if record is not None else None

    def size_of(self, zone: int) -> int | None:
        """Return the size of a zone as known to this node, or None if it is unknown."""
        if zone == self.zone:
            return len(self.group.alive()) + 1
        record = self.record(zone)
        return record.state.size if record is not None else None

    def age_of(self, zone: int) -> float | None:
        """Return the age of another zone's summary in seconds, or None without one."""
        record = self.record(zone)
        return record.age(self.fleet.network.clock.now) / SECOND_US if record is not None else None

    def selects_itself(self) -> bool:
        """Return whether this node selects itself as a gateway of its zone."""
        now = self.fleet.network.clock.now
        return self.zone_membership is not None and self.name in self.zone_membership.gateways(now)


class Fleet:
    """Zones of nodes on one virtual network.

    Args:
        zones: Number of zones.
        zone_size: Number of nodes of each zone.
        seed: Seed of all random draws.
        regions: Number of regions over which the zones are spread.
        loss: Probability that a datagram is lost.
        shared: Whether the nodes of a zone share one view of its members, without SWIM.
        flat: Whether all nodes form one SWIM group, without membership by zone.
        old: Returns whether a node, by its number in the zone, runs a version without membership by zone.
        timing: Intervals and limits of the protocol.
    """

    def __init__(
        self,
        zones: int,
        zone_size: int,
        seed: int = 1,
        *,
        regions: int = REGION_COUNT,
        loss: float = 0.0,
        shared: bool = False,
        flat: bool = False,
        old: Callable[[int], bool] = lambda number: False,
        timing: ZoneMembershipTiming | None = None,
    ) -> None:
        self.zones = zones
        self.regions = min(regions, zones)
        self.shared = shared
        self.flat = flat
        self.timing = timing or ZoneMembershipTiming()
        self.network = RegionalNetwork(seed, loss, [ZoneMembershipWire()])
        self.rng = Random(seed + 1)
        self.views: dict[int, ZoneView] = {}
        self.nodes: dict[Address, Node] = {}
        for zone in range(zones):
            for number in range(zone_size):
                self.start(zone, number, old=old(number))

    def zone_seeds(self, own_zone: int) -> dict[str, tuple[Address, ...]]:
        """Return the addresses of the seeds of all other zones by zone name."""
        return {
            zone_name(z): tuple(node_address(z, i) for i in range(SEEDS_PER_ZONE))
            for z in range(self.zones)
            if z != own_zone
        }

    def start(self, zone: int, number: int, incarnation: int = 1, old: bool = False) -> Node:
        """Start a node, of a version without membership by zone if `old`."""
        node = Node(self, number, zone, incarnation, old)
        self.nodes[node.address] = node
        return node

    def kill(self, node: Node, remove_from_view: bool = True) -> None:
        """Stop a node without notice; a shared group drops it immediately if `remove_from_view`."""
        node.is_running = False
        del self.nodes[node.address]
        self.network.detach(node.address)
        if self.shared and remove_from_view:
            del self.views[node.zone].members[node.name]

    def remove_dead_from_views(self) -> None:
        """Drop the nodes that have been killed from the shared groups."""
        names = {n.name for n in self.nodes.values()}
        for view in self.views.values():
            view.members = {name: m for name, m in view.members.items() if name in names}

    def nodes_in_zone(self, zone: int) -> list[Node]:
        """Return the nodes of a zone."""
        return [n for n in self.nodes.values() if n.zone == zone]

    def participants(self) -> list[Node]:
        """Return the nodes that take part in membership by zone."""
        return [n for n in self.nodes.values() if n.zone_membership is not None]

    # ---- conditions ----------------------------------------------------------------------------------

    def all_summaries_fresh(
        self, zones: Iterable[int] | None = None, nodes: Iterable[Node] | None = None
    ) -> bool:
        """Return whether the nodes have fresh summaries of the zones; by default all nodes and zones."""
        wanted = list(range(self.zones) if zones is None else zones)
        return all(
            z == n.zone or n.freshness(z) == Freshness.FRESH
            for n in (self.participants() if nodes is None else nodes)
            for z in wanted
        )

    def sizes_are_correct(self) -> bool:
        """Return whether all nodes know the true size of each zone."""
        sizes = [len(self.nodes_in_zone(z)) for z in range(self.zones)]
        return all(n.size_of(z) == sizes[z] for n in self.participants() for z in range(self.zones))

    def groups_are_complete(self) -> bool:
        """Return whether each node's group lists all nodes of its zone as alive."""
        sizes = [len(self.nodes_in_zone(z)) for z in range(self.zones)]
        return all(len(n.group.alive()) + 1 == sizes[n.zone] for n in self.nodes.values())

    def oldest_age(self) -> float:
        """Return the highest age, in seconds, of all summaries at all nodes."""
        ages = (n.age_of(z) for n in self.participants() for z in range(self.zones))
        return max((age for age in ages if age is not None), default=0.0)


def zone_name(zone: int) -> str:
    """Return the name of a zone."""
    return f"zone-{zone}"


def node_address(zone: int, number: int) -> Address:
    """Return the address of a node by its zone and its number in the zone."""
    return f"10.{zone}.{number >> 8}.{number & 255}", PORT
