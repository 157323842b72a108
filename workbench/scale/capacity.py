"""The capacity table: what each role and each event costs at the target size, from measured slopes."""

from __future__ import annotations

from workbench.scale.events import events
from workbench.scale.roles import roles
from workbench.scale.rows import Capacity, Event
from workbench.scale.slopes import Slopes
from workbench.scale.target import Target


def capacity(target: Target, slopes: Slopes) -> Capacity:
    """The table at a target size, events in the order of `Event`."""
    order: list[object] = list(Event)
    by_event = sorted(events(target, slopes), key=lambda row: order.index(row.subject))
    return Capacity(target, list(roles(target, slopes)), by_event)
