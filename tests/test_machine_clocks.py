"""The clocks of a machine on a virtual clock: drift, steps, and the way back to true time."""

from __future__ import annotations

import pytest

from workbench.explore.machine_clocks import EPOCH, MachineClocks
from workbench.simulator.heap import HeapClock

SECOND = 1_000_000


def test_a_step_moves_the_wall_clock_alone() -> None:
    clocks = MachineClocks(HeapClock(5 * SECOND), monotonic_start=7)
    clocks.step_wall(-3 * SECOND)
    assert clocks.monotonic() == 7 + 5 * SECOND
    assert clocks.wall() == EPOCH + 2 * SECOND


@pytest.mark.parametrize("rate", [0.99, 1.0, 1.01])
def test_a_monotonic_clock_drifts_by_its_rate_and_is_past_a_time_at_its_true_time(rate: float) -> None:
    true_clock = HeapClock(0)
    clocks = MachineClocks(true_clock, monotonic_start=10**9, rate=rate)
    at = 10**9 + 10 * SECOND
    true_clock.run(clocks.true_time(at))
    assert 0 <= clocks.monotonic() - at <= 1
    assert true_clock.now == pytest.approx(10 * SECOND / rate, abs=2)
