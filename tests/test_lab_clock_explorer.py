"""The explorer of stepped wall clocks: its faults reach the processes, and it detects each violation."""

from random import Random

import pytest

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.voter import Voter
from balancer.fleet.membership.swim import Status, Swim
from balancer.fleet.rolling_update.decisions import RollingUpdate
from balancer.fleet.zone_routing.directives import ZoneDirectives
from workbench.explore.clock_faults import FIRST_STEP_AT_US, STEPS_S, ClockStep, draw_clock_steps
from workbench.explore.clocks import PROPERTIES, ClockFleet, play
from workbench.explore.faults import draw_faults
from workbench.explore.runtime_net import SECOND_US

NAMES = [f"n{i}" for i in range(5)]


def test_clock_steps_are_drawn_by_seed_from_a_separate_stream():
    before = draw_faults(Random("faults 7"), NAMES, 30 * SECOND_US)
    drawn = [draw_clock_steps(seed, NAMES) for seed in range(60)]
    assert drawn == [draw_clock_steps(seed, NAMES) for seed in range(60)]
    assert draw_faults(Random("faults 7"), NAMES, 30 * SECOND_US) == before
    kinds = {(step.step_s, step.restart) for steps in drawn for step in steps}
    assert kinds == {(step, restart) for step in STEPS_S for restart in ("none", "kill", "term")}


def test_fleet_without_clock_steps_violates_nothing_and_repeats():
    trace = play(1, [])
    assert not trace.violations and trace.holders >= 2 and trace.incarnations == 10
    assert play(1, []) == trace


@pytest.mark.parametrize("step_s", STEPS_S)
@pytest.mark.parametrize("restart", ["none", "kill", "term"])
def test_clock_step_moves_one_wall_clock_and_no_monotonic_clock(step_s, restart):
    fleet = ClockFleet(1, [])
    for process in fleet.processes:
        process.start()
    stepped, other = fleet.processes[3], fleet.processes[0]
    before, offset = stepped.runtime.now(), stepped.runtime.wall() - other.runtime.wall()
    fleet.apply_step(ClockStep(0, "n3", step_s, restart, down_us=SECOND_US if restart != "none" else 0))
    fleet.network.clock.run(2 * SECOND_US)
    assert offset == 0 and stepped.runtime.wall() - other.runtime.wall() == step_s * SECOND_US
    assert stepped.runtime.now() - before == fleet.now
    assert stepped.incarnation == (1 if restart == "none" else 2) and other.incarnation == 1


def return_no_messages(*args):
    return []


def raise_error(*args):
    raise RuntimeError("deliberate failure")


def report_dead(self, name):
    return Status.DEAD


# For each property, the attributes that a mutant replaces, with the replacements.
MUTATIONS = {
    "dead": [(Swim, "status", report_dead)],
    "believed": [(Swim, "accept", return_no_messages)],
    "holders": [(LeaseClient, "held_token", lambda self, now, lease: 7)],
    "token": [
        (LeaseClient, "next_token", lambda self, request: 1),
        (Voter, "is_too_low", lambda self, lease, token, holder: False),
    ],
    "lease": [(Voter, "abstains", lambda self, now: True)],
    "directive": [(ZoneDirectives, "received", return_no_messages)],
    "replacement": [(RollingUpdate, "must_end", lambda self, message: False)],
    "fault": [(ZoneDirectives, "received", raise_error)],
}


@pytest.mark.parametrize("name", PROPERTIES)
def test_mutant_of_each_property_is_detected(monkeypatch, name):
    for owner, attribute, substitute in MUTATIONS[name]:
        monkeypatch.setattr(owner, attribute, substitute)
    steps = [ClockStep(FIRST_STEP_AT_US, "n1", 5, "kill", SECOND_US)] if name in ("believed", "lease") else []
    trace = ClockFleet(1, steps).play(stop_at_first=True)
    assert name in trace.violated_properties()
