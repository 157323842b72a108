"""Events of the leases that a process holds, for its log and for tests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class LeaseEventKind(Enum):
    """What happened to a lease; the value is written to the log."""

    HELD = "held"
    RELEASED = "released"
    LOST = "lost"  # The lease expired because no majority renewed it.


@dataclass(frozen=True)
class LeaseEvent:
    """A lease that was acquired, released or lost, with its token.

    The token is a number that is higher for each new holder of the lease.
    """

    kind: LeaseEventKind
    lease: str
    token: int


LeaseListener = Callable[[LeaseEvent], None]


def ignore_event(event: LeaseEvent) -> None:
    """Ignore an event, as the default listener of a lease client."""
