"""A whole fleet keeps its properties when wall clocks are stepped by seconds or by an hour."""

import pytest

from workbench.explore.clock_faults import FIRST_STEP_AT_US, STEP_INTERVAL_US, STEPS_S, ClockStep
from workbench.explore.clocks import Trace, play
from workbench.explore.runtime_net import SECOND_US


def violations(trace: Trace) -> list[str]:
    """Return the violations as text."""
    return [str(violation) for violation in trace.violations]


@pytest.mark.parametrize("step_s", STEPS_S)
def test_properties_hold_when_clocks_step_during_run_or_restart(step_s: int) -> None:
    """Guards against a stepped clock by which a process has its datagrams rejected, is taken for its earlier
    incarnation, is replaced repeatedly, or alone follows its directives."""
    steps = [
        ClockStep(FIRST_STEP_AT_US, "n1", step_s),
        ClockStep(FIRST_STEP_AT_US + STEP_INTERVAL_US, "n3", step_s, "kill", SECOND_US // 2),
        ClockStep(FIRST_STEP_AT_US + 2 * STEP_INTERVAL_US, "n0", step_s, "term", 3 * SECOND_US),
    ]
    assert violations(play(1, steps)) == []


def test_properties_hold_after_an_hour_step_is_reverted() -> None:
    """After a clock that was an hour fast is corrected, the datagrams of its process must not be rejected for
    an hour, and the next incarnation must not be below the one before."""
    steps = [
        ClockStep(FIRST_STEP_AT_US, "n1", 3600),
        ClockStep(FIRST_STEP_AT_US + STEP_INTERVAL_US, "n1", -3600),
        ClockStep(FIRST_STEP_AT_US + 2 * STEP_INTERVAL_US, "n1", -3600, "kill", SECOND_US // 2),
    ]
    assert violations(play(2, steps)) == []


def test_properties_hold_for_drawn_steps_of_seed_4() -> None:
    """In seed 4, a wrong handling of steps makes members consider a running process dead and reject a new
    incarnation."""
    assert violations(play(4)) == []
