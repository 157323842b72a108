"""The allowance of clients that read their responses, on a hand-fed clock."""

from __future__ import annotations

import pytest

from balancer.net.downstream.read_pace import (
    FILL_S,
    MAX_ALLOWANCE_S,
    OVERDUE_FACTOR,
    START_ALLOWANCE_S,
    ReadPace,
)

# The pace at which clients may read, in bytes a second.
GRANTED_RATE = 64_000
# The bytes that the buffers of a client's machine take before the client reads.
FILL_BYTES = 65_536
OBSERVATION_INTERVAL_S = 0.1


class Reader:
    """A client of which the node observes how much its machine has acknowledged, at regular intervals."""

    def __init__(self, fill_bytes: int = FILL_BYTES) -> None:
        self.now = 100.0
        self.pace = ReadPace(self.now)
        self.read_bytes = fill_bytes
        self.pace.observe(self.now, self.read_bytes, is_waiting=False)

    def wait(self, seconds: float, is_waiting: bool = True) -> float | None:
        """Let time pass without progress, and return the time until the client has stalled, if it does."""
        started_at = self.now
        for _ in range(round(seconds / OBSERVATION_INTERVAL_S)):
            self.now += OBSERVATION_INTERVAL_S
            self.pace.observe(self.now, self.read_bytes, is_waiting)
            if self.pace.stalled_since is not None:
                return self.pace.stalled_since - started_at
        return None

    def read(self, size: int) -> None:
        """Read some bytes."""
        self.read_bytes += size
        self.pace.observe(self.now, self.read_bytes, is_waiting=True)


@pytest.mark.parametrize(
    ("step_s", "fill_bytes"), [(0.1, 0), (0.5, 2304), (1.0, 2304), (2.0, FILL_BYTES), (9.5, 8 << 20)]
)
def test_client_at_the_granted_pace_does_not_stall(step_s: float, fill_bytes: int) -> None:
    """Large buffers show steady reading in steps of seconds, which counted as stalls of 0.25 s."""
    reader = Reader(fill_bytes)
    for _ in range(int(120 / step_s)):
        assert reader.wait(step_s) is None
        reader.read(int(step_s * GRANTED_RATE))


@pytest.mark.parametrize("fill_bytes", [0, 2304, FILL_BYTES, 8 << 20])
def test_client_that_never_reads_stalls(fill_bytes: int) -> None:
    """The longer the more its machine has taken, but not for longer than the bound."""
    stalled_after = Reader(fill_bytes).wait(2 * MAX_ALLOWANCE_S)
    assert stalled_after is not None
    expected = min(START_ALLOWANCE_S + 2 * fill_bytes / GRANTED_RATE, MAX_ALLOWANCE_S)
    assert stalled_after == pytest.approx(expected)


def test_client_that_stops_for_good_stalls_however_much_it_has_read() -> None:
    reader = Reader()
    for _ in range(100):
        reader.read(1 << 20)
        assert reader.wait(OBSERVATION_INTERVAL_S) is None
    stalled_after = reader.wait(2 * MAX_ALLOWANCE_S)
    assert stalled_after is not None and stalled_after <= MAX_ALLOWANCE_S


def test_client_that_reads_a_few_bytes_at_a_time_stalls() -> None:
    reader = Reader()
    for second in range(20):
        reader.read(1000)
        if reader.wait(1.0) is not None:
            assert second < MAX_ALLOWANCE_S
            return
    pytest.fail("the client has not stalled")


def test_time_in_which_the_server_sends_nothing_does_not_count() -> None:
    reader = Reader()
    assert reader.wait(100.0, is_waiting=False) is None
    assert reader.wait(START_ALLOWANCE_S) is None


def test_progress_after_the_buffers_are_full_proves_that_the_client_reads() -> None:
    reader = Reader()
    reader.wait(OBSERVATION_INTERVAL_S)
    reader.read(1000)
    assert reader.pace.overdue_since(reader.now) is not None  # Its machine may have taken the bytes.
    reader.wait(FILL_S)
    reader.read(1000)
    assert reader.pace.overdue_since(reader.now) is None


@pytest.mark.parametrize("step_s", [0.1, 0.5, 2.0])
def test_client_is_overdue_after_twice_its_longest_step(step_s: float) -> None:
    """A client that stops soon shows by its own pace, long before it has used up its allowance."""
    reader = Reader(8 << 20)
    for step in range(10):
        reader.wait(step_s)
        reader.read(int(step_s * GRANTED_RATE))
        assert reader.pace.overdue_since(reader.now) is None or step * step_s <= FILL_S
    last_read_at = reader.now
    limit_s = OVERDUE_FACTOR * max(step_s, FILL_S)
    reader.wait(limit_s - OBSERVATION_INTERVAL_S)
    assert reader.pace.overdue_since(reader.now) is None
    reader.wait(2 * OBSERVATION_INTERVAL_S)
    assert reader.pace.overdue_since(reader.now) == last_read_at
    assert reader.pace.stalled_since is None


def test_client_that_is_not_waited_for_is_not_overdue() -> None:
    reader = Reader()
    reader.wait(FILL_S)
    assert reader.pace.overdue_since(reader.now) is not None
    reader.wait(OBSERVATION_INTERVAL_S, is_waiting=False)
    assert reader.pace.overdue_since(reader.now) is None
