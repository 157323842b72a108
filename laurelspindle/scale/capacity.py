"""The capacity table: what each role and each event costs at the target size, from measured slopes."""

from __future__ import annotations

from laurelspindle.scale.events import events
from laurelspindle.scale.roles import roles
from laurelspindle.scale.rows import Capacity, Event
from laurelspindle.scale.slopes import Slopes
from laurelspindle.scale.target import Target


def capacity(target: Target, slopes: Slopes) -> Capacity:
    """The table at a target size, events in the order of `Event`."""
    order: list[object] = list(Event)
    by_event = sorted(events(target, slopes), key=lambda row: order.index(row.subject))
    return Capacity(target, list(roles(target, slopes)), by_event)
