"""The order in which client connections are evicted to make room for new ones."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from balancer.net.downstream.client_connection import ClientConnection

# Time after its last activity during which a client without a complete request head is taken to be writing
# the head. Such a client is evicted only after all others without a request.
HEAD_WRITE_GRACE_S = 2.0


# Time without sending any of a body after which a client is evicted for others.
BODY_PAUSE_S = 0.05
# Time without reading any of a response after which a client is evicted for others.
UNREAD_STALL_S = 0.25


class EvictionRank(IntEnum):
    """The order in which connections without a request are evicted: the lowest rank first."""

    # The node has closed its side after the last response, or the client has not completed a request head and
    # has sent nothing for HEAD_WRITE_GRACE_S.
    STALE = 0
    # The client has stopped within the body of a request, or reads nothing of its response.
    STALLED = 1
    # The client has had a response and has sent nothing of a further request.
    IDLE = 2
    # The client may still be writing a request head, as it was active within HEAD_WRITE_GRACE_S.
    WRITING_HEAD = 3


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
    if connection.write_blocked and now - connection.last_progress_at() >= UNREAD_STALL_S:
        return EvictionPriority(EvictionRank.STALLED, connection.last_progress_at())
    if connection.pipelined:
        return None
    is_pausing = now - connection.last_active_at >= BODY_PAUSE_S and not connection.reading_paused
    if connection.is_waiting_for_body() and is_pausing:
        return EvictionPriority(EvictionRank.STALLED, connection.last_active_at)
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
    rank = EvictionRank.STALE if is_late else EvictionRank.WRITING_HEAD
    return EvictionPriority(rank, connection.last_active_at)


def priority_if_flushed(
    connection: ClientConnection, rank: EvictionRank, since: float
) -> EvictionPriority | None:
    """Return the priority, or None while part of a response is still buffered in the process."""
    return None if connection.has_unsent_data() else EvictionPriority(rank, since)
