"""The clocks of a machine on a virtual clock: drift, steps, and the conversion to true time."""

from __future__ import annotations

import pytest

from workbench.explore.machine_clocks import START_UNIX_TIME_US, MachineClocks
from workbench.simulator.heap import HeapClock

SECOND_US = 1_000_000


def test_wall_clock_step_leaves_the_monotonic_clock_unchanged() -> None:
    clocks = MachineClocks(HeapClock(5 * SECOND_US), monotonic_start=7)
    clocks.step_wall(-3 * SECOND_US)
    assert clocks.monotonic() == 7 + 5 * SECOND_US
    assert clocks.wall() == START_UNIX_TIME_US + 2 * SECOND_US


@pytest.mark.parametrize("rate", [0.99, 1.0, 1.01])
def test_monotonic_clock_drifts_at_rate_and_maps_to_true_time(rate: float) -> None:
    true_clock = HeapClock(0)
    clocks = MachineClocks(true_clock, monotonic_start=10**9, rate=rate)
    at = 10**9 + 10 * SECOND_US
    true_clock.run(clocks.true_time(at))
    assert 0 <= clocks.monotonic() - at <= 1
    assert true_clock.now == pytest.approx(10 * SECOND_US / rate, abs=2)
