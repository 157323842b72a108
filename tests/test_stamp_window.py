"""How long the stamps of a sender's datagrams are remembered."""

from __future__ import annotations

import pytest

from balancer.fleet.membership.stamp_window import MAX_SKEW_US, MEMORY_US, WINDOW_SIZE, StampWindow, Verdict

SECOND = 1_000_000
HOUR = 3600 * SECOND
INTERVAL = 10 * SECOND  # between the datagrams of a sender in a group of some hundred
START = 100 * HOUR


def window_after(duration: int) -> StampWindow:
    """The window of a sender that has been heard for so long."""
    window = StampWindow(START, START)
    for stamp in range(START, START + duration + 1, INTERVAL):
        window.record(stamp, stamp)
    return window


@pytest.mark.parametrize("duration", [HOUR, 3 * HOUR, 24 * HOUR])
def test_the_stamps_of_a_quiet_sender_do_not_pile_up(duration: int) -> None:
    """Failure prevented: after a day the stamps of all senders fill the memory of a small node."""
    assert len(window_after(duration).seen) <= MEMORY_US // INTERVAL + 1 < WINDOW_SIZE


@pytest.mark.parametrize("age", [0, 10 * SECOND, 20 * SECOND, MAX_SKEW_US])
def test_what_was_accepted_lately_is_refused_again_after_a_day(age: int) -> None:
    window = window_after(24 * HOUR)
    assert window.judge(window.newest - age, window.newest_at) == Verdict.REPLAY


def test_what_was_accepted_of_an_earlier_process_is_remembered_for_a_step_of_an_hour() -> None:
    previous = window_after(24 * HOUR)
    back = previous.newest - HOUR
    window = StampWindow(back, previous.newest_at, back)
    window.inherit(previous, previous.newest_at)
    for elapsed in range(0, HOUR, INTERVAL):
        assert window.may_have_accepted(back + elapsed)
        window.record(back + elapsed + 1, previous.newest_at + elapsed)
    assert len(window.seen) + len(window.earlier) <= 2 * (MEMORY_US // INTERVAL + 1)


def test_stamps_of_an_earlier_process_are_forgotten_in_the_end() -> None:
    previous = window_after(HOUR)
    window = StampWindow(previous.newest, previous.newest_at)
    window.inherit(previous, previous.newest_at)
    for elapsed in range(0, MEMORY_US + HOUR, INTERVAL):
        window.record(previous.newest + elapsed, previous.newest_at + elapsed)
    assert not window.earlier
