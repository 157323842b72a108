"""What the events of an ordinary or a bad day take at the target size."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from workbench.scale import mechanisms as m
from workbench.scale.rows import Event, Row
from workbench.scale.slopes import Slopes, arithmetic
from workbench.scale.target import Target


@dataclass(frozen=True)
class Timed:
    """A row of seconds until something is known or done."""

    event: Event
    what: str
    slope: str
    size: float
    note: str = ""
    enough: bool = False  # the flat group does it as it is


def events(t: Target, s: Slopes) -> Iterator[Row]:
    """Cost and time of the day's events."""
    everyone = float(t.nodes)
    one_group = (
        Timed(
            Event.RESTART,
            f"until all {t.nodes:,} know the new process",
            "membership.news_s",
            everyone,
            enough=True,
        ),
        Timed(
            Event.RESTART,
            "the same while all members are news",
            "membership.news_busy_s",
            everyone,
            "as in the first minutes after the whole fleet's start",
        ),
        Timed(
            Event.RESTART,
            "until a death without a word is known to all",
            "membership.death_s",
            everyone,
            enough=True,
        ),
        Timed(
            Event.RESTART,
            "a death known to all, on sockets",
            "sockets.kill-one.death.all",
            everyone,
            enough=True,
        ),
        Timed(
            Event.RELEASE,
            f"{t.release_batch} back at once until all know all",
            "membership.zone_back_s",
            everyone,
            "as a thirteenth of the fleet",
        ),
        Timed(
            Event.RACK,
            f"{t.rack_nodes} deaths known to all",
            "membership.zone_lost_s",
            everyone,
            "at most: a thirteenth's time",
            enough=True,
        ),
        Timed(
            Event.ZONE_LOST,
            f"{t.zone_nodes:.0f} deaths known to all",
            "membership.zone_lost_s",
            everyone,
            enough=True,
        ),
        Timed(
            Event.ZONE_BACK,
            f"{t.zone_nodes:.0f} cold nodes until all know all",
            "membership.zone_back_s",
            everyone,
        ),
        Timed(
            Event.REGION,
            "until both sides know all again",
            "membership.region_back_s",
            everyone,
            "cut for 150 s: the dead are forgotten after 60 s, so an hour is taken to be the same",
        ),
        Timed(Event.WHOLE, f"{t.nodes:,} start at once until all know all", "membership.join_s", everyone),
        Timed(Event.WHOLE, "the same on sockets, from the start of all", "sockets.join.all", everyone),
    )
    by_zone = (
        Timed(Event.RESTART, "until a death without a word is known", "membership.death_s", t.zone_nodes),
        Timed(
            Event.RESTART,
            "until a death has corrected its zone's size everywhere",
            "federation.death_s",
            everyone,
        ),
        Timed(Event.ZONE_BACK, "a joint start until all know all", "membership.join_s", t.zone_nodes),
        Timed(
            Event.REGION,
            "until all zones know each other's sizes again",
            "federation.region_back_s",
            everyone,
        ),
        Timed(Event.WHOLE, "until every node knows every zone", "federation.start_s", everyone),
    )
    yield Row(
        Event.RESTART,
        "how often one comes, failures included",
        "s",
        m.FLAT_MEMBERSHIP,
        arithmetic(t.restart_every_s),
    )
    for row in one_group:
        quantity = s.at(row.slope, row.size)
        yield Row(
            row.event,
            f"one group: {row.what}",
            "s",
            m.FLAT_MEMBERSHIP,
            quantity,
            note=row.note,
            wanted=None if row.enough else m.ZONE_MEMBERSHIP,
        )
    for row in by_zone:
        text = f"a group a zone, {t.zone_nodes:.0f}: {row.what}"
        quantity = s.at(row.slope, row.size)
        yield Row(row.event, text, "s", m.ZONE_MEMBERSHIP, quantity, note=row.note, alternative=True)
    yield release(t, s)
    yield Row(Event.ZONE_LOST, "leases of the lost zone", "", m.SCOPED_LEASES)
    yield Row(Event.REGION, "leases inside it for the hour", "", m.SCOPED_LEASES)
    yield from changes(t)


def release(t: Target, s: Slopes) -> Row:
    """A batch of restarts, one after the other."""
    return Row(
        Event.RELEASE,
        f"{t.release_batch} restarts, one out at a time, led by one member",
        "s",
        m.REPLACEMENT,
        s.at("replace.s_a_process", t.release_batch).times(t.release_batch),
        note="no figure for more out at a time",
        wanted=m.REPLACEMENT_BY_ZONE,
    )


def changes(t: Target) -> Iterator[Row]:
    """A configuration change; there is nothing that carries one, so no row has a value."""
    for event, mechanism in (
        (Event.CHANGE_CALM, m.CONFIGURATION),
        (Event.CHANGE_RESTART, m.CONFIGURATION),
        (Event.CHANGE_RELEASE, m.CONFIGURATION),
        (Event.CHANGE_RACK, m.CONFIGURATION),
        (Event.CHANGE_ZONE, m.CONFIGURATION_FALLBACK),
        (Event.CHANGE_REGION, m.CONFIGURATION_FALLBACK),
    ):
        yield Row(
            event, "until it is in force everywhere that can be reached", "s", mechanism, None, t.change_s
        )
