"""The order in which client connections are evicted to make room for new ones."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from balancer.net.downstream.client_connection import ClientConnection

# Time that a client has to write a request head; until then, its connection is evicted last.
HEAD_WRITE_GRACE_S = 2.0


class EvictionRank(IntEnum):
    """The order in which connections without a request are evicted."""

    # The client has had its last response, or has not completed a request head in time.
    STALE = 0
    # The client has had a response and has sent nothing of a further request.
    IDLE = 1
    # The client may still be writing a request head.
    WRITING_HEAD = 2


class EvictionPriority(NamedTuple):
    """The priority of a connection: its rank, and the loop time of its last response or activity.

    The connection with the minimum is evicted first.
    """

    rank: EvictionRank
    since: float


def eviction_priority(connection: ClientConnection, now: float) -> EvictionPriority | None:
    """Return the connection's eviction priority at the loop time `now`, or None if it has a request.

    Clients that never complete a request cannot use up all connections, and clients that write slowly are not
    evicted before them.
    """
    if connection.current_request is not None or connection.pipelined or connection.transport is None:
        return None
    if connection.finished_at:
        return priority_if_flushed(connection, EvictionRank.STALE, connection.finished_at)
    if connection.reading_stopped:
        return None
    if connection.partial_request is None and connection.has_served:
        return priority_if_flushed(connection, EvictionRank.IDLE, connection.last_active_at)
    if connection.parser.is_reading_body():
        return None
    is_late = now - connection.last_active_at >= HEAD_WRITE_GRACE_S
    rank = EvictionRank.STALE if is_late else EvictionRank.WRITING_HEAD
    return EvictionPriority(rank, connection.last_active_at)


def priority_if_flushed(
    connection: ClientConnection, rank: EvictionRank, since: float
) -> EvictionPriority | None:
    """Return the priority, or None while part of a response is still buffered in the process."""
    return None if connection.has_unsent_data() else EvictionPriority(rank, since)
