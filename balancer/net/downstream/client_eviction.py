"""The order in which client connections are evicted to make room for new ones."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from balancer.net.downstream.client_connection import ClientConnection

# Time after its last activity during which a client without a complete request head is taken to be writing
# the head. Such a client is evicted only after all others without a request.
HEAD_WRITE_GRACE_S = 2.0
# Time without sending any of a body after which a client can be evicted at all.
BODY_PAUSE_S = 0.05


class EvictionRank(IntEnum):
    """The order in which connections without a complete request are evicted: the lowest rank first."""

    # The node has closed its side after the last response, or the client has not completed a request head and
    # has sent nothing for HEAD_WRITE_GRACE_S.
    STALE = 0
    # The client has stopped within the body of a request, or reads its response too slowly.
    STALLED = 1
    # The client has had a response and has sent nothing of a further request.
    IDLE = 2
    # The client may still be writing a request: its head, as it was active within HEAD_WRITE_GRACE_S, or its
    # body, in which it has paused.
    WRITING = 3


class EvictionPriority(NamedTuple):
    """The priority of a connection: its rank, and the loop time of its last response or activity.

    The connection with the lowest rank, and among those the earliest time, is evicted first.
    """

    rank: EvictionRank
    since: float


def eviction_priority(connection: ClientConnection, now: float) -> EvictionPriority | None:
    """Return the connection's eviction priority at the loop time `now`, or None if it has a request.

    The order keeps clients that never complete a request from using up all connections, and evicts these
    clients before clients that merely write slowly.
    """
    if connection.transport is None:
        return None
    stalled_since = connection.stalled_since(now)
    if connection.write_blocked and stalled_since is not None:
        return EvictionPriority(EvictionRank.STALLED, stalled_since)
    if connection.pipelined:
        return None
    if is_pausing_in_body(connection, now):
        rank = EvictionRank.WRITING if stalled_since is None else EvictionRank.STALLED
        return EvictionPriority(rank, connection.last_active_at)
    if connection.current_request is not None:
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
    rank = EvictionRank.STALE if is_late else EvictionRank.WRITING
    return EvictionPriority(rank, connection.last_active_at)


def is_pausing_in_body(connection: ClientConnection, now: float) -> bool:
    """Return whether the node waits for more of a body, of which the client has sent nothing for a while."""
    is_waiting = connection.is_waiting_for_body() and not connection.reading_paused
    return is_waiting and now - connection.last_active_at >= BODY_PAUSE_S


def priority_if_flushed(
    connection: ClientConnection, rank: EvictionRank, since: float
) -> EvictionPriority | None:
    """Return the priority, or None while part of a response is still buffered in the process."""
    return None if connection.has_unsent_data() else EvictionPriority(rank, since)
