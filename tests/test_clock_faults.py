"""Wall clocks that are stepped, by seconds and by an hour, disturb nothing in a whole fleet."""

import pytest

from workbench.explore.clock_faults import APART, FIRST_AT, STEPS_S, ClockStep
from workbench.explore.clocks import Trace, play
from workbench.explore.runtime_net import SECOND


def found(trace: Trace) -> list[str]:
    """What did not hold, in words."""
    return [str(violation) for violation in trace.violations]


@pytest.mark.parametrize("step_s", STEPS_S)
def test_every_property_holds_while_processes_run_and_restart_with_stepped_clocks(step_s: int) -> None:
    """Failure prevented: a process whose wall clock steps is unheard, taken for its last life, replaced again
    and again, or the only one that follows its directives."""
    steps = [
        ClockStep(FIRST_AT, "n1", step_s),
        ClockStep(FIRST_AT + APART, "n3", step_s, "kill", SECOND // 2),
        ClockStep(FIRST_AT + 2 * APART, "n0", step_s, "term", 3 * SECOND),
    ]
    assert found(play(1, steps)) == []


def test_every_property_holds_after_a_step_of_an_hour_that_is_taken_back() -> None:
    """Failure prevented: a clock that was an hour fast is set right, and its process stays unheard for the
    hour; or the next life is below the one before."""
    steps = [
        ClockStep(FIRST_AT, "n1", 3600),
        ClockStep(FIRST_AT + APART, "n1", -3600),
        ClockStep(FIRST_AT + 2 * APART, "n1", -3600, "kill", SECOND // 2),
    ]
    assert found(play(2, steps)) == []


def test_drawn_steps_that_broke_properties_break_none() -> None:
    """The first drawn seed in which a process that ran on was held dead and a new life was not believed."""
    assert found(play(4)) == []
