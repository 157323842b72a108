"""Verdicts of scale runs: defective members are named, in whole runs and by the observer."""

from pathlib import Path

import pytest
from scale_support import claim, group, run_command, run_counted, window

from balancer.fleet.membership.codec import Codec
from workbench.scale.hollow import Network, list_datagrams
from workbench.scale.measurements import growth_exponent
from workbench.scale.messages import FalseDeath, ViewFault
from workbench.scale.meter import Meter
from workbench.scale.observer import GroundTruth, view_fault
from workbench.scale.plan import parse_plan
from workbench.scale.verdict import Death, Findings, checks, machine_limits

# ---- whole runs -------------------------------------------------------------------------------------------


def codec_calls(size, defects):
    """Return the calls of the codec for each member and period in a group of this size."""
    plan = {"hollow": size, "start": "known", "workers": 1, "period_ms": 100, "seconds": 0.5}
    outcome = run_counted(parse_plan(plan | {"defect": defects}))
    assert outcome.passed, outcome
    return next(f.value for f in outcome.figures if f.quantity == "calls.codec")


def test_quadratic_component_shows_in_the_growth_exponent() -> None:
    """A member with a defect encodes one datagram for each known member at each tick.

    Work is counted in calls, which do not depend on the load of the machine.
    """
    plain = {size: codec_calls(size, []) for size in (6, 24)}
    slow = {size: codec_calls(size, [{"kind": "quadratic", "count": size}]) for size in (6, 24)}
    assert abs(growth_exponent(plain)) < 0.15  # The calls of a member do not grow with the group
    assert growth_exponent(slow) > 0.6  # With the defect they grow nearly in proportion to the group


def test_deaf_member_is_named(tmp_path: Path) -> None:
    plan = tmp_path / "plan.toml"
    plan.write_text('[[defect]]\nkind = "deaf"\n')
    words = ("--plan", plan, "--hollow", 8, "--period-ms", 100, "--join-s", 1, "--seconds", 0.2)
    done = run_command(*words)
    assert done.returncode == 1 and done.stdout.rstrip().endswith("failed")
    assert "views: failed\n  h00007: holds 0 of 7 alive, missing h00000, h00001" in done.stdout
    for member in range(4):
        assert f"  h{member:05}: holds 6 of 7 alive, missing h00007\n" in done.stdout
    late = done.stdout.partition("join: failed\n")[2].splitlines()[0]
    assert (
        late
        == "  8 of 8 members did not know the whole group in time: h00000, h00001, h00002, h00003, h00004"
    )
    # The deaf member has never proved itself live, so no member has accepted it or declared it dead.
    assert "false deaths: holds\n" in done.stdout


# ---- observer and checks ----------------------------------------------------------------------------------


def test_member_is_complete_once_it_holds_all_in_scope() -> None:
    for membership, wanted in (("flat", (1, 2, 3, 4, 5)), ("zone", (2, 4))):
        here = group(membership=membership)
        ground_truth = GroundTruth(here)
        watch = ground_truth.add_watch(here.member_specs[0])
        for index in wanted:
            assert (
                not watch.is_complete
                and ground_truth.incomplete_members() == ground_truth.unjoined_members() == ["h00000"]
            )
            watch.on_change("join", claim(here, index))
        assert (
            watch.is_complete
            and list(ground_truth.joined_s) == ["h00000"]
            and not ground_truth.unjoined_members()
        )
        watch.on_change("dead", claim(here, 2))
        assert ground_truth.incomplete_members() == ["h00000"] and not ground_truth.unjoined_members()


def test_deaths_and_false_deaths_are_distinguished() -> None:
    here = group()
    ground_truth = GroundTruth(here)
    watch = ground_truth.add_watch(here.member_specs[0])
    for index in range(1, 6):
        watch.on_change("join", claim(here, index))
    ground_truth.stop(3)
    assert ground_truth.members_with_stale_views() == ["h00000"] and watch.is_complete
    watch.on_change("dead", claim(here, 3))
    assert (
        not ground_truth.members_with_stale_views()
        and len(ground_truth.death_known_s["h00003"]) == 1
        and not ground_truth.false_death_count
    )
    watch.on_change("dead", claim(here, 4))
    assert ground_truth.false_death_count == 1 and not watch.is_complete
    assert (ground_truth.false_deaths[0].victim, ground_truth.false_deaths[0].holder) == ("h00004", "h00000")
    watch.on_change("alive", claim(here, 4))
    ground_truth.restart(3, wall=100)
    assert not watch.is_complete
    watch.on_change("join", claim(here, 3, 100))
    watch.on_change("dead", claim(here, 3, 1))  # Late news of the death before the restart
    assert ground_truth.false_death_count == 1
    ground_truth.cut(1)
    watch.on_change("dead", claim(here, 5))  # Rightly held dead across a partition
    assert ground_truth.false_death_count == 1
    ground_truth.cut(None)
    watch.on_change("alive", claim(here, 3, 100))
    watch.on_change("alive", claim(here, 5))
    assert watch.is_complete and list(ground_truth.healed_s) == ["h00000"]


def test_whole_view_is_compared_by_name() -> None:
    here = group()
    states = {"h00001": "alive", "h00002": "suspect", "h00003": "dead", "h00005": "alive"}
    names = {p.name for p in here.member_specs} - {"h00005"}
    found = view_fault(here, here.member_specs[0], states, names)
    assert found == ViewFault("h00000", 2, 4, ["h00003", "h00004"], 2, ["h00005"], 1)
    whole = {f"h0000{i}": "alive" for i in range(1, 5)} | {"h00005": "dead"}
    assert view_fault(here, here.member_specs[0], whole, names) is None


def test_checks_name_the_failing_members() -> None:
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
        "join": ["2 of 4 members did not know the whole group in time: h00002, h00003"],
        "views": ["h00003: holds 1 of 3 alive, missing h00000 and 1 more, ended members held alive: h00001"],
        "deaths": ["h00001: death known to 2 of 3"],
        "false deaths": ["h00002: alive, but 1 held it dead, first h00003 at 4.2 s"],
    }
    assert not any(c.failures for c in checks(Findings()))


def test_overloaded_machine_is_reported() -> None:
    assert machine_limits("calm", [window(lateness_p99_ms=50.0, cpu_s=8.0)]) == []
    assert machine_limits("calm", [window(), window(lateness_p99_ms=51.0, cpu_s=8.1)]) == [
        "calm: worker 1: 51 ms late at the 99th percentile: at most 50",
        "calm: worker 1: 81% of a core: at most 80%",
    ]


def test_growth_is_the_exponent_of_the_size() -> None:
    assert growth_exponent({10: 3.0, 20: 6.0, 40: 12.0}) == pytest.approx(1.0)
    assert growth_exponent({10: 3.0, 20: 12.0, 40: 48.0}) == pytest.approx(2.0)
    assert growth_exponent({10: 3.0, 20: 3.0}) == pytest.approx(0.0)


def test_group_list_is_complete_and_its_sender_no_member() -> None:
    here = group(hollow=50, membership="zone")
    codec = Codec([b"a key of the tests' own"])
    incarnations = {p.name: 1_800_000_000_000_000 + p.index for p in here.member_specs}
    datagrams = list_datagrams(here, here.member_specs[1], incarnations, codec, 1)
    messages = [Codec([b"a key of the tests' own"]).decode(data, 1) for data in datagrams]
    assert len(messages) == 2 and messages[0].sender not in here.by_name
    held = {c.name: c.incarnation for message in messages for c in message.claims}
    assert held == {p.name: incarnations[p.name] for p in here.member_specs if p.zone == 1}


def test_partition_separates_a_region_in_both_directions() -> None:
    here = group()
    network = Network(here, Meter())
    inside, outside = here.member_specs[1], here.member_specs[0]
    assert (inside.region, outside.region) == (1, 0)
    assert not network.is_separated(0, inside.address)
    network.cut_region = 1
    assert network.is_separated(0, inside.address) and network.is_separated(1, outside.address)
    assert not network.is_separated(1, here.member_specs[3].address) and not network.is_separated(
        0, here.member_specs[2].address
    )
