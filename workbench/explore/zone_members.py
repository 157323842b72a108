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

ZONES = 13
REGIONS = 5
ZONE_SIZE = 246
SEEDS = 3  # nodes of a zone that others contact first
PORT = 7400
SECOND = 1_000_000
HOUR = 3600.0


@dataclass(frozen=True)
class SharedMember:
    """A member of a `ZoneView`."""

    claim: Claim


@dataclass
class ZoneView:
    """A zone's members, the same for all of its nodes at once, where SWIM is not of interest."""

    members: dict[str, SharedMember] = field(default_factory=dict)


class SharedGroup:
    """The group of one node, which shares a `ZoneView` with the other nodes of its zone."""

    def __init__(self, me: Claim, view: ZoneView) -> None:
        self.local_claim = me
        self.view = view
        self.hidden: set[str] = set()  # members that this node does not see

    @property
    def members(self) -> dict[str, SharedMember]:
        """The members of the zone by name."""
        return self.view.members

    def alive(self) -> list[str]:
        """Returns the names of the other members that this node sees."""
        return [n for n in self.view.members if n != self.local_claim.name and n not in self.hidden]


class Node:
    """One process: its group and, unless it is of an old version, its membership by zone."""

    def __init__(self, fleet: Fleet, number: int, zone: int, incarnation: int, old: bool) -> None:
        self.fleet = fleet
        self.zone = zone
        self.name = f"{zone_name(zone)}-{number}"
        self.address = node_address(zone, number)
        self.incarnation = incarnation
        self.open = True
        self.cpu_ns = 0  # of membership by zone, without the codec...
        self.swim_cpu_ns = 0  # ...and of SWIM
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

    def on_event(self, event: ZoneEvent) -> None:
        """Records an event of membership by zone with its time."""
        self.events.append((self.fleet.network.clock.now, event))

    # ---- time and messages ----------------------------------------------------------------------------

    def on_swim_timer(self, _: object) -> None:
        """Runs SWIM's timer, and schedules the next."""
        clock = self.fleet.network.clock
        if self.open and self.swim is not None:
            self._run_swim(self.swim.tick, clock.now)
            clock.call_at(max(clock.now + 1, self.swim.due()), self.on_swim_timer, None)

    def on_zone_membership_timer(self, _: object) -> None:
        """Runs the timer of membership by zone, and schedules the next."""
        clock, zone_membership = self.fleet.network.clock, self.zone_membership
        if self.open and zone_membership is not None:
            self._run_zone_membership(lambda: zone_membership.tick(clock.now))
            clock.call_at(max(clock.now + 1, zone_membership.deadline()), self.on_zone_membership_timer, None)

    def receive(self, source: Address, message: Any) -> None:
        """Handles a message of the network."""
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
        """Returns the record of another zone, None if there is none."""
        if self.zone_membership is None:
            return None
        return self.zone_membership.records.zones.get(zone_name(zone))

    def freshness(self, zone: int) -> Freshness | None:
        """Returns the freshness of another zone's summary."""
        record = self.record(zone)
        return record.freshness if record is not None else None

    def size_of(self, zone: int) -> int | None:
        """Returns the size of a zone as this node knows it."""
        if zone == self.zone:
            return len(self.group.alive()) + 1
        record = self.record(zone)
        return record.state.size if record is not None else None

    def age_of(self, zone: int) -> float | None:
        """Returns the age of another zone's summary in seconds."""
        record = self.record(zone)
        return record.age(self.fleet.network.clock.now) / SECOND if record is not None else None

    def selects_itself(self) -> bool:
        """Returns whether this node is a gateway by its own selection."""
        now = self.fleet.network.clock.now
        return self.zone_membership is not None and self.name in self.zone_membership.gateways(now)


class Fleet:
    """Zones of nodes on one virtual network.

    Args:
        zones: How many zones.
        zone_size: Nodes of each zone.
        seed: Of all random draws.
        regions: Over how many regions the zones are spread.
        loss: Probability with which a datagram is lost.
        shared: A zone's nodes see the same members at once, without SWIM.
        flat: One SWIM group over all nodes, without membership by zone.
        old: Which of a zone's nodes, by number, run a version without membership by zone.
        timing: Intervals and limits of the protocol.
    """

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

    def zone_seeds(self, own: int) -> dict[str, tuple[Address, ...]]:
        """Returns the seeds of all other zones."""
        return {
            zone_name(z): tuple(node_address(z, i) for i in range(SEEDS))
            for z in range(self.zones)
            if z != own
        }

    def start(self, zone: int, number: int, incarnation: int = 1, old: bool = False) -> Node:
        """Starts a node; `old`: of a version without membership by zone."""
        node = Node(self, number, zone, incarnation, old)
        self.nodes[node.address] = node
        return node

    def kill(self, node: Node, noticed: bool = True) -> None:
        """Ends a node; `noticed`: a shared group drops it at once."""
        node.open = False
        del self.nodes[node.address]
        self.network.detach(node.address)
        if self.shared and noticed:
            del self.views[node.zone].members[node.name]

    def notice_dead(self) -> None:
        """Drops the nodes that have been killed from the shared groups."""
        names = {n.name for n in self.nodes.values()}
        for view in self.views.values():
            view.members = {name: m for name, m in view.members.items() if name in names}

    def of_zone(self, zone: int) -> list[Node]:
        """Returns the nodes of a zone."""
        return [n for n in self.nodes.values() if n.zone == zone]

    def participants(self) -> list[Node]:
        """Returns the nodes that take part in membership by zone."""
        return [n for n in self.nodes.values() if n.zone_membership is not None]

    # ---- conditions ----------------------------------------------------------------------------------

    def all_know(self, zones: Iterable[int] | None = None, nodes: Iterable[Node] | None = None) -> bool:
        """Returns whether these nodes have fresh summaries of these zones; by default all."""
        wanted = list(range(self.zones) if zones is None else zones)
        return all(
            z == n.zone or n.freshness(z) == Freshness.FRESH
            for n in (self.participants() if nodes is None else nodes)
            for z in wanted
        )

    def sizes_right(self) -> bool:
        """Returns whether all nodes know the true size of each zone."""
        sizes = [len(self.of_zone(z)) for z in range(self.zones)]
        return all(n.size_of(z) == sizes[z] for n in self.participants() for z in range(self.zones))

    def groups_complete(self) -> bool:
        """Returns whether each node's group has all nodes of its zone alive."""
        sizes = [len(self.of_zone(z)) for z in range(self.zones)]
        return all(len(n.group.alive()) + 1 == sizes[n.zone] for n in self.nodes.values())

    def oldest_age(self) -> float:
        """Returns the greatest age, in seconds, of all summaries of all nodes."""
        ages = (n.age_of(z) for n in self.participants() for z in range(self.zones))
        return max((age for age in ages if age is not None), default=0.0)


def zone_name(zone: int) -> str:
    """Returns the name of a zone."""
    return f"zone-{zone}"


def node_address(zone: int, number: int) -> Address:
    """Returns the address of a node."""
    return f"10.{zone}.{number >> 8}.{number & 255}", PORT
