"""Events of a process's leases, for its log and its tests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class LeaseEventKind(Enum):
    """What happened to a lease; the value stands in the log."""

    HELD = "held"
    RELEASED = "released"
    LOST = "lost"  # expired without a majority's renewal


@dataclass(frozen=True)
class LeaseEvent:
    """A lease was acquired, released or lost under a token."""

    kind: LeaseEventKind
    lease: str
    token: int


LeaseListener = Callable[[LeaseEvent], None]


def ignore_event(event: LeaseEvent) -> None:
    """A listener for a client whose events nobody needs."""
