"""A request that is open, with the attempts made for it."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackenladder.interface import Effect
from brackenladder.policy.server import Server


@dataclass(slots=True, eq=False)
class Request:
    """An open request. At most one attempt is out at a time."""

    id: int
    klass: int
    effect: Effect
    useful_until: int
    patience: int
    uploading: bool = False
    attempts: int = 0
    out: Server | None = None
    ran_on: Server | None = None  # the first server that may have run it
    ran_at: int = 0
    begun: bool = False
    held: bool = False
    sent_at: int = 0
    tried: list[Server] = field(default_factory=list)
