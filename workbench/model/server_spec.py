"""The properties of a server's machine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """The properties of a machine, drawn when it is created.

    Times are in microseconds, work is in core-microseconds of the reference core. `speed` is relative to the
    reference core, `cold_capacity_share` is the share of capacity right after a start, and `cancel` tells
    whether work stops when its attempt is cancelled.
    """

    name: str
    id: int
    tier: int
    zone: int
    cell: int
    kind: int
    cores: int
    speed: float
    slots: int
    queue_size: int
    thrash: float
    thrash_at: float
    pause_length: float
    pause_interval: float
    cold_capacity_share: float
    warm_up_time: int
    connection_cap: int
    handshake_work: float
    handshake_rtts: float
    probe_work: float
    error_rate: float
    cancel: bool
