"""The deadlines of a client that sends a request, on a clock that is set by hand."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from balancer.net.downstream.read_deadline import HEAD_TIMEOUT_S, MIN_BODY_PROGRESS_BYTES, ReadDeadline

SWEEP_INTERVAL_S = HEAD_TIMEOUT_S / 16
BAD_PEER_TIMEOUT_S = 3.0


class Clock:
    """An event loop that is only a clock."""

    def __init__(self) -> None:
        self.now = 100.0

    def time(self) -> float:
        """Return the time."""
        return self.now


def start_streamed_body() -> tuple[Clock, ReadDeadline]:
    """Return the clock and the deadline of a client whose streamed body may be sent from now on."""
    clock = Clock()
    deadline = ReadDeadline(cast(asyncio.AbstractEventLoop, clock), clock.now)
    deadline.start_head()
    deadline.start_body()
    deadline.suspend()
    deadline.resume()
    return clock, deadline


def find_lateness(clock: Clock, deadline: ReadDeadline, last_read_at: float, limit_s: float) -> float | None:
    """Sweep until the client is found too slow, and return when; None if that takes over `limit_s`."""
    start = clock.now
    while clock.now < start + limit_s:
        clock.now += SWEEP_INTERVAL_S
        due = deadline.expires_at is not None and clock.now >= deadline.expires_at
        if due and not deadline.extend_body(clock.now, last_read_at, is_streamed=True):
            return clock.now
    return None


@pytest.mark.parametrize("stops_after_s", [0.0, 0.05, 0.5, 2.0])
@pytest.mark.parametrize("sent_bytes", [0, 100_000])
def test_stopped_streamed_body_is_found_in_time(stops_after_s: float, sent_bytes: int) -> None:
    """A client that sent much before it stopped got a second period, and held its connection for over 4 s."""
    clock, deadline = start_streamed_body()
    deadline.body_bytes = sent_bytes
    clock.now += stops_after_s
    found_at = find_lateness(clock, deadline, clock.now, 2 * HEAD_TIMEOUT_S)
    assert found_at is not None and found_at - 100.0 - stops_after_s <= BAD_PEER_TIMEOUT_S


def test_streamed_body_at_the_granted_rate_is_not_late() -> None:
    clock, deadline = start_streamed_body()
    for _ in range(20):
        deadline.body_bytes += MIN_BODY_PROGRESS_BYTES
        assert find_lateness(clock, deadline, clock.now, 0.8 * HEAD_TIMEOUT_S) is None


def test_waiting_for_the_server_does_not_count_as_a_stop() -> None:
    clock, deadline = start_streamed_body()
    deadline.suspend()
    assert find_lateness(clock, deadline, clock.now, 10.0) is None
    deadline.resume()
    deadline.body_bytes = 1  # What the client sent meanwhile is read.
    assert find_lateness(clock, deadline, clock.now, 0.8 * HEAD_TIMEOUT_S) is None


def test_stop_before_the_server_takes_more_is_found_at_once() -> None:
    clock, deadline = start_streamed_body()
    last_read_at = clock.now
    deadline.suspend()
    clock.now += HEAD_TIMEOUT_S
    deadline.resume()
    found_at = find_lateness(clock, deadline, last_read_at, HEAD_TIMEOUT_S)
    assert found_at is not None and found_at - last_read_at <= BAD_PEER_TIMEOUT_S
