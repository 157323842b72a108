"""The capacity table: what each role and each event costs at the target size, from measured slopes."""

from __future__ import annotations

from workbench.scale.events import event_rows
from workbench.scale.roles import role_rows
from workbench.scale.rows import Capacity, Event
from workbench.scale.slopes import Slopes
from workbench.scale.target import Target


def capacity(target: Target, slopes: Slopes) -> Capacity:
    """Compute the table at a target size, with the events in the order of `Event`."""
    order: list[object] = list(Event)
    by_event = sorted(event_rows(target, slopes), key=lambda row: order.index(row.subject))
    return Capacity(target, list(role_rows(target, slopes)), by_event)
