"""Duration and cost of operational events, such as restarts and the loss of a zone, at the target size."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from workbench.scale import mechanisms
from workbench.scale.rows import Event, Row
from workbench.scale.slopes import Slopes, derived_from_target
from workbench.scale.target import Target


@dataclass(frozen=True)
class TimedRow:
    """A row whose value is the seconds until something is known or done."""

    event: Event
    description: str
    slope: str
    size: float
    note: str = ""
    is_sufficient: bool = False  # The flat group is good enough: no other mechanism is needed


def event_rows(target: Target, slopes: Slopes) -> Iterator[Row]:
    """Yield the rows of all events."""
    node_count = float(target.nodes)
    flat_group_rows = (
        TimedRow(
            Event.RESTART,
            f"until all {target.nodes:,} know the new process",
            "membership.news_s",
            node_count,
            is_sufficient=True,
        ),
        TimedRow(
            Event.RESTART,
            "the same while all members are news",
            "membership.news_busy_s",
            node_count,
            "as in the first minutes after the whole fleet's start",
        ),
        TimedRow(
            Event.RESTART,
            "until a death without a word is known to all",
            "membership.death_s",
            node_count,
            is_sufficient=True,
        ),
        TimedRow(
            Event.RESTART,
            "a death known to all, on sockets",
            "sockets.kill-one.death.all",
            node_count,
            is_sufficient=True,
        ),
        TimedRow(
            Event.RELEASE,
            f"{target.release_batch} back at once until all know all",
            "membership.zone_back_s",
            node_count,
            "as a thirteenth of the fleet",
        ),
        TimedRow(
            Event.RACK,
            f"{target.rack_nodes} deaths known to all",
            "membership.zone_lost_s",
            node_count,
            "at most: a thirteenth's time",
            is_sufficient=True,
        ),
        TimedRow(
            Event.ZONE_LOST,
            f"{target.nodes_per_zone:.0f} deaths known to all",
            "membership.zone_lost_s",
            node_count,
            is_sufficient=True,
        ),
        TimedRow(
            Event.ZONE_BACK,
            f"{target.nodes_per_zone:.0f} cold nodes until all know all",
            "membership.zone_back_s",
            node_count,
        ),
        TimedRow(
            Event.REGION,
            "until both sides know all again",
            "membership.region_back_s",
            node_count,
            "cut for 150 s: the dead are forgotten after 60 s, so an hour is taken to be the same",
        ),
        TimedRow(
            Event.WHOLE, f"{target.nodes:,} start at once until all know all", "membership.join_s", node_count
        ),
        TimedRow(Event.WHOLE, "the same on sockets, from the start of all", "sockets.join.all", node_count),
    )
    zone_group_rows = (
        TimedRow(
            Event.RESTART,
            "until a death without a word is known",
            "membership.death_s",
            target.nodes_per_zone,
        ),
        TimedRow(
            Event.RESTART,
            "until a death has corrected its zone's size everywhere",
            "federation.death_s",
            node_count,
        ),
        TimedRow(
            Event.ZONE_BACK, "a joint start until all know all", "membership.join_s", target.nodes_per_zone
        ),
        TimedRow(
            Event.REGION,
            "until all zones know each other's sizes again",
            "federation.region_back_s",
            node_count,
        ),
        TimedRow(Event.WHOLE, "until every node knows every zone", "federation.start_s", node_count),
    )
    yield Row(
        Event.RESTART,
        "how often one comes, failures included",
        "s",
        mechanisms.FLAT_MEMBERSHIP,
        derived_from_target(target.restart_interval_s),
    )
    for row in flat_group_rows:
        quantity = slopes.at(row.slope, row.size)
        yield Row(
            row.event,
            f"one group: {row.description}",
            "s",
            mechanisms.FLAT_MEMBERSHIP,
            quantity,
            note=row.note,
            preferred_mechanism=None if row.is_sufficient else mechanisms.ZONE_MEMBERSHIP,
        )
    for row in zone_group_rows:
        text = f"a group a zone, {target.nodes_per_zone:.0f}: {row.description}"
        quantity = slopes.at(row.slope, row.size)
        yield Row(
            row.event, text, "s", mechanisms.ZONE_MEMBERSHIP, quantity, note=row.note, is_alternative=True
        )
    yield release_row(target, slopes)
    yield Row(Event.ZONE_LOST, "leases of the lost zone", "", mechanisms.SCOPED_LEASES)
    yield Row(Event.REGION, "leases inside it for the hour", "", mechanisms.SCOPED_LEASES)
    yield from configuration_change_rows(target)


def release_row(target: Target, slopes: Slopes) -> Row:
    """Return the row of a batch of restarts, one after the other."""
    return Row(
        Event.RELEASE,
        f"{target.release_batch} restarts, one out at a time, led by one member",
        "s",
        mechanisms.REPLACEMENT,
        slopes.at("replace.s_a_process", target.release_batch).scaled(target.release_batch),
        note="no figure for more out at a time",
        preferred_mechanism=mechanisms.REPLACEMENT_BY_ZONE,
    )


def configuration_change_rows(target: Target) -> Iterator[Row]:
    """Yield the rows of a configuration change.

    No row has a value, since no mechanism distributes the configuration.
    """
    for event, mechanism in (
        (Event.CHANGE_CALM, mechanisms.CONFIGURATION),
        (Event.CHANGE_RESTART, mechanisms.CONFIGURATION),
        (Event.CHANGE_RELEASE, mechanisms.CONFIGURATION),
        (Event.CHANGE_RACK, mechanisms.CONFIGURATION),
        (Event.CHANGE_ZONE, mechanisms.CONFIGURATION_FALLBACK),
        (Event.CHANGE_REGION, mechanisms.CONFIGURATION_FALLBACK),
    ):
        yield Row(
            event,
            "until it is in force everywhere that can be reached",
            "s",
            mechanism,
            None,
            target.change_s,
        )
