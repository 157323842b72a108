"""The figures of a server's machine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """A machine's figures. Times in microseconds, work in core-microseconds of the reference core."""

    name: str
    id: int
    tier: int
    zone: int
    cell: int
    kind: int
    cores: int
    speed: float
    slots: int
    queue: int
    thrash: float
    thrash_at: float
    pause: float
    pause_every: float
    cold_from: float
    cold: int
    connection_cap: int
    handshake: float
    handshake_rtts: float
    probe: float
    error_rate: float
    cancel: bool
