"""Which client connections may be evicted for a new one, and in which order."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from balancer.net.downstream.client_connection import ClientConnection

HEAD_WRITE_TIME_S = 2.0  # that a client may take to write a head: until then it is evicted last


class EvictionRank(IntEnum):
    """The order in which connections without a request are evicted."""

    STALE = 0  # has had its last response, or has been long silent without a complete head
    IDLE = 1  # has served, and no further request has begun
    WRITING_HEAD = 2  # its client may still be writing its head


class EvictionPriority(NamedTuple):
    """A connection's place in the order; the minimum is evicted first."""

    rank: EvictionRank
    since: float


def eviction_priority(connection: ClientConnection, now: float) -> EvictionPriority | None:
    """The connection's place in the order of eviction; None if it has a request.

    Failure prevented: clients that never finish a request use up all connections, or clients that are slow
    to write are evicted for them.
    """
    if connection.current is not None or connection.pipelined or connection.transport is None:
        return None
    if connection.finished_at:
        return when_flushed(connection, EvictionRank.STALE, connection.finished_at)
    if connection.reading_stopped:
        return None
    if connection.partial is None and connection.has_served:
        return when_flushed(connection, EvictionRank.IDLE, connection.last_active_at)
    if connection.parser.is_reading_body():
        return None
    is_late = now - connection.last_active_at >= HEAD_WRITE_TIME_S
    rank = EvictionRank.STALE if is_late else EvictionRank.WRITING_HEAD
    return EvictionPriority(rank, connection.last_active_at)


def when_flushed(connection: ClientConnection, rank: EvictionRank, since: float) -> EvictionPriority | None:
    """This priority, or None while part of a response has not left the process."""
    return None if connection.has_unsent_data() else EvictionPriority(rank, since)
