"""Time for which the accepted stamps of a sender's datagrams are remembered."""

from __future__ import annotations

import pytest

from balancer.fleet.membership.stamp_window import (
    MAX_SKEW_US,
    RETENTION_US,
    WINDOW_SIZE,
    StampStatus,
    StampWindow,
)

SECOND_US = 1_000_000
HOUR_US = 3600 * SECOND_US
# Interval between the datagrams of one sender in a group of some hundred members.
DATAGRAM_INTERVAL_US = 10 * SECOND_US
START_STAMP = 100 * HOUR_US


def window_after(duration: int) -> StampWindow:
    """Return the window of a sender from which datagrams have been received for a duration."""
    window = StampWindow(START_STAMP, START_STAMP)
    for stamp in range(START_STAMP, START_STAMP + duration + 1, DATAGRAM_INTERVAL_US):
        window.record(stamp, stamp)
    return window


@pytest.mark.parametrize("duration", [HOUR_US, 3 * HOUR_US, 24 * HOUR_US])
def test_stamps_of_infrequent_sender_are_limited_by_retention(duration: int) -> None:
    """Guards against the stamps of all senders filling the memory of a small node after a day."""
    assert (
        len(window_after(duration).current_stamps) <= RETENTION_US // DATAGRAM_INTERVAL_US + 1 < WINDOW_SIZE
    )


@pytest.mark.parametrize("age", [0, 10 * SECOND_US, 20 * SECOND_US, MAX_SKEW_US])
def test_recent_stamp_is_a_replay_after_a_day_of_traffic(age: int) -> None:
    window = window_after(24 * HOUR_US)
    assert window.classify(window.newest - age, window.newest_at) == StampStatus.REPLAY


def test_stamps_of_earlier_process_survive_step_of_an_hour() -> None:
    previous = window_after(24 * HOUR_US)
    stepped_back_stamp = previous.newest - HOUR_US
    window = StampWindow(stepped_back_stamp, previous.newest_at, stepped_back_stamp)
    window.inherit(previous, previous.newest_at)
    for elapsed in range(0, HOUR_US, DATAGRAM_INTERVAL_US):
        assert window.may_have_accepted(stepped_back_stamp + elapsed)
        window.record(stepped_back_stamp + elapsed + 1, previous.newest_at + elapsed)
    assert len(window.current_stamps) + len(window.previous_stamps) <= 2 * (
        RETENTION_US // DATAGRAM_INTERVAL_US + 1
    )


def test_stamps_of_earlier_process_are_forgotten_eventually() -> None:
    previous = window_after(HOUR_US)
    window = StampWindow(previous.newest, previous.newest_at)
    window.inherit(previous, previous.newest_at)
    for elapsed in range(0, RETENTION_US + HOUR_US, DATAGRAM_INTERVAL_US):
        window.record(previous.newest + elapsed, previous.newest_at + elapsed)
    assert not window.previous_stamps
