"""Verdicts of scale runs: members that misbehave are named, in whole runs and by the observer."""

from pathlib import Path

import pytest
from scale_support import claim, group, run_command, run_counted, window

from balancer.fleet.membership.codec import Codec
from workbench.scale.hollow import Network, list_datagrams
from workbench.scale.measurements import growth
from workbench.scale.messages import FalseDeath, ViewFault
from workbench.scale.meter import Meter
from workbench.scale.observer import Truth, view_fault
from workbench.scale.plan import plan_of
from workbench.scale.verdict import Death, Findings, checks, machine_limits

# ---- whole runs -------------------------------------------------------------------------------------------


def codec_calls(size, defects):
    """Calls of the codec, a member and period, in a group of this size."""
    plan = {"hollow": size, "start": "known", "workers": 1, "period_ms": 100, "seconds": 0.5}
    outcome = run_counted(plan_of(plan | {"defect": defects}))
    assert outcome.passed, outcome
    return next(f.value for f in outcome.figures if f.quantity == "calls.codec")


def test_a_component_that_is_quadratic_shows_in_the_slope() -> None:
    """A defect that encodes one datagram for each member known, at each tick. Work is counted in calls, which
    no load of the machine changes."""
    plain = {size: codec_calls(size, []) for size in (6, 24)}
    slow = {size: codec_calls(size, [{"kind": "quadratic", "count": size}]) for size in (6, 24)}
    assert abs(growth(plain)) < 0.15  # a member's calls do not grow with the group...
    assert growth(slow) > 0.6  # ...or nearly in proportion to it


def test_a_deaf_member_is_named(tmp_path: Path) -> None:
    plan = tmp_path / "plan.toml"
    plan.write_text('[[defect]]\nkind = "deaf"\n')
    words = ("--plan", plan, "--hollow", 8, "--period-ms", 100, "--join-s", 1, "--seconds", 0.2)
    done = run_command(*words)
    assert done.returncode == 1 and done.stdout.rstrip().endswith("failed")
    assert "views: failed\n  h00007: holds 0 of 7 alive, misses h00000, h00001" in done.stdout
    for member in range(4):
        assert f"  h{member:05}: holds 6 of 7 alive, misses h00007\n" in done.stdout
    late = done.stdout.partition("join: failed\n")[2].splitlines()[0]
    assert late == "  8 of 8 members did not know all in time: h00000, h00001, h00002, h00003, h00004"
    assert "false deaths: holds\n" in done.stdout  # it has never proved itself live, so it was no member


# ---- what is seen and said --------------------------------------------------------------------------------


def test_a_member_is_complete_once_it_holds_all_in_its_scope() -> None:
    for membership, wanted in (("flat", (1, 2, 3, 4, 5)), ("zone", (2, 4))):
        here = group(membership=membership)
        truth = Truth(here)
        watch = truth.watch(here.places[0])
        for index in wanted:
            assert not watch.complete and truth.incomplete() == truth.unjoined() == ["h00000"]
            watch.changed("join", claim(here, index))
        assert watch.complete and list(truth.joined_s) == ["h00000"] and not truth.unjoined()
        watch.changed("dead", claim(here, 2))
        assert truth.incomplete() == ["h00000"] and not truth.unjoined()


def test_ends_and_false_deaths_are_told_apart() -> None:
    here = group()
    truth = Truth(here)
    watch = truth.watch(here.places[0])
    for index in range(1, 6):
        watch.changed("join", claim(here, index))
    truth.stop(3)
    assert truth.ignorant() == ["h00000"] and watch.complete
    watch.changed("dead", claim(here, 3))
    assert not truth.ignorant() and len(truth.death_known_s["h00003"]) == 1 and not truth.false_death_count
    watch.changed("dead", claim(here, 4))
    assert truth.false_death_count == 1 and not watch.complete
    assert (truth.false_deaths[0].victim, truth.false_deaths[0].holder) == ("h00004", "h00000")
    watch.changed("alive", claim(here, 4))
    truth.restart(3, wall=100)
    assert not watch.complete
    watch.changed("join", claim(here, 3, 100))
    watch.changed("dead", claim(here, 3, 1))  # the earlier life's, told late
    assert truth.false_death_count == 1
    truth.cut(1)
    watch.changed("dead", claim(here, 5))  # rightly held dead across a cut
    assert truth.false_death_count == 1
    truth.cut(None)
    watch.changed("alive", claim(here, 3, 100))
    watch.changed("alive", claim(here, 5))
    assert watch.complete and list(truth.healed_s) == ["h00000"]


def test_a_whole_view_is_compared_by_name() -> None:
    here = group()
    states = {"h00001": "alive", "h00002": "suspect", "h00003": "dead", "h00005": "alive"}
    names = {p.name for p in here.places} - {"h00005"}
    found = view_fault(here, here.places[0], states, names)
    assert found == ViewFault("h00000", 2, 4, ["h00003", "h00004"], 2, ["h00005"], 1)
    whole = {f"h0000{i}": "alive" for i in range(1, 5)} | {"h00005": "dead"}
    assert view_fault(here, here.places[0], whole, names) is None


def test_the_checks_name_who_fails() -> None:
    found = Findings(
        members=4,
        joined_s=[1.0, 2.0],
        join_expected=4,
        join_faults=["h00002", "h00003"],
        deaths=[Death("h00001", 3, [1.0, 2.0]), Death("h00000", 1, [1.0])],
        false_deaths=[FalseDeath("h00002", "h00003", 4.25)],
        false_death_count=1,
        view_faults=[ViewFault("h00003", 1, 3, ["h00000"], 2, ["h00001"], 1)],
    )
    assert {c.name: c.failures for c in checks(found)} == {
        "join": ["2 of 4 members did not know all in time: h00002, h00003"],
        "views": ["h00003: holds 1 of 3 alive, misses h00000 and 1 more, holds alive who ended: h00001"],
        "deaths": ["h00001: its end is known to 2 of 3"],
        "false deaths": ["h00002: runs, but 1 held it dead, first h00003 at 4.2 s"],
    }
    assert not any(c.failures for c in checks(Findings()))


def test_a_machine_that_does_not_keep_up_is_told() -> None:
    assert machine_limits("calm", [window(lateness_p99_ms=50.0, cpu_s=8.0)]) == []
    assert machine_limits("calm", [window(), window(lateness_p99_ms=51.0, cpu_s=8.1)]) == [
        "calm: worker 1: 51 ms late at the 99th percentile: at most 50",
        "calm: worker 1: 81% of a core: at most 80%",
    ]


def test_growth_is_the_power_of_the_size() -> None:
    assert growth({10: 3.0, 20: 6.0, 40: 12.0}) == pytest.approx(1.0)
    assert growth({10: 3.0, 20: 12.0, 40: 48.0}) == pytest.approx(2.0)
    assert growth({10: 3.0, 20: 3.0}) == pytest.approx(0.0)


def test_the_list_that_members_begin_with_has_all_and_is_nobody_s_own() -> None:
    here = group(hollow=50, membership="zone")
    codec = Codec([b"a key of the tests' own"])
    incarnations = {p.name: 1_800_000_000_000_000 + p.index for p in here.places}
    datagrams = list_datagrams(here, here.places[1], incarnations, codec, 1)
    messages = [Codec([b"a key of the tests' own"]).decode(data, 1) for data in datagrams]
    assert len(messages) == 2 and messages[0].sender not in here.by_name
    held = {c.name: c.incarnation for message in messages for c in message.claims}
    assert held == {p.name: incarnations[p.name] for p in here.places if p.zone == 1}


def test_a_cut_takes_what_crosses_the_region_s_border() -> None:
    here = group()
    network = Network(here, Meter())
    inside, outside = here.places[1], here.places[0]
    assert (inside.region, outside.region) == (1, 0)
    assert not network.separated(0, inside.address)
    network.cut_region = 1
    assert network.separated(0, inside.address) and network.separated(1, outside.address)
    assert not network.separated(1, here.places[3].address) and not network.separated(
        0, here.places[2].address
    )
