"""Builders for the tests of zone membership."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Address, Claim, Status
from balancer.fleet.zone_membership.decisions import ZoneMembership
from balancer.fleet.zone_membership.records import Records, ZoneEvent, ZoneEventKind
from balancer.fleet.zone_membership.settings import ZoneMembershipSettings, ZoneMembershipTiming
from balancer.fleet.zone_membership.summaries import Gateway, Summary, Version, ZoneState
from balancer.fleet.zone_membership.wire import ZoneMembershipWire
from workbench.explore.virtual_network import GROUP_KEY
from workbench.explore.zone_members import SharedGroup, SharedMember, ZoneView

SEC = 1_000_000
START = 100 * SEC


def zone_state(zone: str = "b", size: int = 5, gateways: Iterable[Gateway] = ()) -> ZoneState:
    """Return the state of a zone of this size in region `north`."""
    return ZoneState(zone, "north", size, 7, tuple(gateways))


def summary(
    zone: str = "b",
    origin: str = "b-0",
    incarnation: int = 1,
    counter: int = 1,
    age: int = 0,
    size: int = 5,
) -> Summary:
    """Return a summary of a zone; its age is in microseconds."""
    return Summary(zone_state(zone, size), Version(origin, incarnation, counter), age)


def make_records(events: list[tuple[str, ZoneEventKind]] | None = None) -> Records:
    """Return the records of a node of zone a, in which summaries are stale after 30 s and lost after 60 s.

    Its events are appended to the list.
    """

    def notify(event: ZoneEvent) -> None:
        if events is not None:
            events.append((event.zone, event.kind))

    return Records("a", 30 * SEC, 60 * SEC, notify)


def make_codec() -> Codec:
    """Return a codec for the messages between zones."""
    return Codec([GROUP_KEY], [ZoneMembershipWire()])


def shared_member(name: str, port: int) -> SharedMember:
    """Return a live member of the node's own zone."""
    return SharedMember(Claim(name, ("h", port), Status.ALIVE, 1))


def make_node(
    seeds: Mapping[str, tuple[Address, ...]] | None = None, members: Iterable[tuple[str, int]] = ()
) -> tuple[ZoneMembership, ZoneView]:
    """Return the node `me` of zone a, and the view of its zone's members, which a test may change."""
    view = ZoneView({name: shared_member(name, port) for name, port in members})
    me = Claim("me", ("h", 1), Status.ALIVE, 7)
    settings = ZoneMembershipSettings(seeds or {})
    timing = ZoneMembershipTiming()
    node = ZoneMembership("a", "north", SharedGroup(me, view), settings, timing, Random(1), START)
    return node, view
