"""The explorer of stepped wall clocks: its faults reach the processes, and each property can fail."""

from random import Random

import pytest

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.voter import Voter
from balancer.fleet.membership.swim import Status, Swim
from balancer.fleet.rolling_update.decisions import RollingUpdate
from balancer.fleet.zone_routing.directives import ZoneDirectives
from workbench.explore.clock_faults import FIRST_AT, STEPS_S, ClockStep, draw_clock_steps
from workbench.explore.clocks import PROPERTIES, ClockFleet, play
from workbench.explore.faults import draw_faults
from workbench.explore.runtime_net import SECOND

NAMES = [f"n{i}" for i in range(5)]


def test_steps_are_drawn_by_seed_from_a_stream_of_their_own():
    before = draw_faults(Random("faults 7"), NAMES, 30 * SECOND)
    drawn = [draw_clock_steps(seed, NAMES) for seed in range(60)]
    assert drawn == [draw_clock_steps(seed, NAMES) for seed in range(60)]
    assert draw_faults(Random("faults 7"), NAMES, 30 * SECOND) == before
    kinds = {(step.step_s, step.restart) for steps in drawn for step in steps}
    assert kinds == {(step, restart) for step in STEPS_S for restart in ("none", "kill", "term")}


def test_a_fleet_whose_clocks_are_right_keeps_every_property_and_repeats():
    trace = play(1, [])
    assert not trace.violations and trace.holders >= 2 and trace.incarnations == 10
    assert play(1, []) == trace


@pytest.mark.parametrize("step_s", STEPS_S)
@pytest.mark.parametrize("restart", ["none", "kill", "term"])
def test_a_step_moves_the_wall_clock_of_one_machine_and_no_monotonic_clock(step_s, restart):
    fleet = ClockFleet(1, [])
    for process in fleet.processes:
        process.start()
    stepped, other = fleet.processes[3], fleet.processes[0]
    before, offset = stepped.runtime.now(), stepped.runtime.wall() - other.runtime.wall()
    fleet.begin(ClockStep(0, "n3", step_s, restart, down=SECOND if restart != "none" else 0))
    fleet.network.clock.run(2 * SECOND)
    assert offset == 0 and stepped.runtime.wall() - other.runtime.wall() == step_s * SECOND
    assert stepped.runtime.now() - before == fleet.now
    assert stepped.incarnation == (1 if restart == "none" else 2) and other.incarnation == 1


def takes_nothing(*args):
    return []


def raises(*args):
    raise RuntimeError("on purpose")


def says_dead(self, name):
    return Status.DEAD


BROKEN = {  # what is put in the place of which part of the program
    "dead": [(Swim, "status", says_dead)],
    "believed": [(Swim, "accept", takes_nothing)],
    "holders": [(LeaseClient, "held_token", lambda self, now, lease: 7)],
    "token": [
        (LeaseClient, "next_token", lambda self, request: 1),
        (Voter, "is_too_low", lambda self, lease, token, holder: False),
    ],
    "lease": [(Voter, "abstains", lambda self, now: True)],
    "directive": [(ZoneDirectives, "received", takes_nothing)],
    "replacement": [(RollingUpdate, "must_end", lambda self, message: False)],
    "fault": [(ZoneDirectives, "received", raises)],
}


@pytest.mark.parametrize("name", PROPERTIES)
def test_each_property_is_seen_to_fail(monkeypatch, name):
    for owner, attribute, substitute in BROKEN[name]:
        monkeypatch.setattr(owner, attribute, substitute)
    steps = [ClockStep(FIRST_AT, "n1", 5, "kill", SECOND)] if name in ("believed", "lease") else []
    trace = ClockFleet(1, steps).play(stop_at_first=True)
    assert name in trace.properties()
