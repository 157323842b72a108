"""Plans of scale runs: validation, shipped plans, choice of victims and order of faults."""

from random import Random
from typing import Any

import pytest

from balancer.fleet.config import FleetConfigError
from workbench.scale import machine
from workbench.scale import run as scale_run
from workbench.scale.machine import check_memory_need
from workbench.scale.plan import (
    PlanError,
    build_group,
    choose_victims,
    defects_by_member,
    parse_plan,
    read_plan,
    shipped_plans,
)
from workbench.scale.run import check_membership, fault_actions

# ---- invalid plans ---------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("table", "line"),
    [
        ({"hollow": 0}, "hollow: 0: must be at least 1"),
        ({"hollow": "x"}, "hollow: 'x': must be a whole number"),
        ({"hollow": 60_000}, "hollow: 60000: must be at most 50000"),
        ({"real": 41}, "real: 41: must be at most 40"),
        ({"zones": 65}, "zones: 65: must be at most 64"),
        ({"hollow": 3, "zones": 4}, "zones: 4: must be at most hollow, 3"),
        ({"zones": 2, "regions": 3}, "regions: 3: must be at most zones, 2"),
        ({"membership": "ring"}, "membership: 'ring': must be one of flat, zone"),
        ({"start": "late"}, "start: 'late': must be one of known, together"),
        ({"seconds": 0}, "seconds: 0: must be over 0"),
        ({"period_ms": 99}, "period_ms: 99: must be at least 100"),
        ({"seed": -1}, "seed: -1: must be at least 0"),
        ({"hollows": 1}, "hollows: unknown key: nearest is hollow"),
        ({"fault": [{"type": "burn"}]}, "fault[0].type: 'burn': must be one of"),
        ({"fault": [{"type": "kill"}]}, "fault[0]: must have one of count, part and zone"),
        ({"fault": [{"type": "kill", "count": 1, "part": 0.1}]}, "fault[0]: must have one of"),
        ({"fault": [{"type": "kill", "count": 100}]}, "fault[0].count: 100: must be under hollow, 100"),
        ({"fault": [{"type": "kill", "zone": 1}]}, "fault[0].zone: 1: must be under zones, 1"),
        (
            {"real": 1, "zones": 2, "fault": [{"type": "kill", "zone": 0}]},
            "fault[0].zone: 0: must be another: the real nodes are in zone 0",
        ),
        ({"fault": [{"type": "cut", "for_s": 1}]}, "fault[0].region: missing: must be given for a cut"),
        (
            {"fault": [{"type": "cut", "region": 0, "for_s": 1}]},
            "fault[0].region: 0: must be one of several regions, there are 1",
        ),
        (
            {"zones": 2, "regions": 2, "fault": [{"type": "cut", "region": 1}]},
            "fault[0].for_s: 0: must be over 0 for a cut",
        ),
        ({"fault": [{"type": "kill", "count": 1, "at_s": -1}]}, "fault[0].at_s: -1: must be at least 0"),
        ({"defect": [{"kind": "mute"}]}, "defect[0].kind: 'mute': must be one of deaf, quadratic"),
    ],
)
def test_invalid_plan_is_rejected_with_one_line(table: dict[str, Any], line: str) -> None:
    with pytest.raises(PlanError) as fault:
        parse_plan(table)
    assert str(fault.value).startswith(f"plan: {line}") and "\n" not in str(fault.value)


def test_group_over_half_of_the_memory_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(machine, "memory_limit", lambda: 1 << 29)
    check_memory_need(parse_plan({"hollow": 500}))
    with pytest.raises(
        PlanError, match="hollow: 1000: would take some 8.. MB: must fit in half of .* 512 MB"
    ):
        check_memory_need(parse_plan({"hollow": 1000}))
    check_memory_need(parse_plan({"hollow": 1000, "zones": 10, "membership": "zone"}))


def test_unsupported_membership_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    group = build_group(parse_plan({"hollow": 4, "zones": 2, "membership": "zone"}), "127.1.1")
    table = group.fleet_table(group.member_specs[0], "key")
    assert table["seeds"] == ["127.1.1.100:10000", "127.1.1.100:10002"]
    others = {"z1": ["127.1.1.100:10001", "127.1.1.100:10003"]}
    assert table["membership"] == {"scope": "zone", "zone_seeds": others}

    def reject_membership(table: object, node: object) -> None:
        raise FleetConfigError("fleet.membership: unknown key: known are name\nmore")

    monkeypatch.setattr(scale_run, "read_fleet", reject_membership)
    with pytest.raises(PlanError) as fault:
        check_membership(group, "key")
    assert str(fault.value) == "membership: 'zone': fleet.membership: unknown key: known are name"


# ---- the plan ---------------------------------------------------------------------------------------------


def test_every_shipped_plan_is_valid() -> None:
    assert set(shipped_plans()) == {"calm", "kill-one", "kill-tenth", "zone-out", "region-cut"}
    for name in shipped_plans():
        assert read_plan(name).title


def test_victims_are_drawn_by_the_seed() -> None:
    plan = parse_plan({"hollow": 40, "real": 2, "zones": 4, "regions": 2})
    group = build_group(plan, "127.1.1")

    def victim_names(**fault: float) -> list[str]:
        kill = parse_plan({"hollow": 40, "zones": 4, "fault": [{"type": "kill"} | fault]}).fault[0]
        return [p.name for p in choose_victims(kill, list(group.member_specs), Random(7))]

    assert len(victim_names(part=0.1)) == 4 and victim_names(part=0.1) == victim_names(part=0.1)
    assert victim_names(zone=1) == [f"h{i:05d}" for i in range(1, 40, 4)]
    assert len(victim_names(count=39)) == 39
    two = parse_plan({"hollow": 9, "defect": [{"kind": "deaf"}, {"kind": "quadratic", "count": 2}]})
    assert defects_by_member(two) == {"h00008": "deaf", "h00007": "quadratic", "h00006": "quadratic"}


def test_fault_actions_are_in_order_of_time() -> None:
    kills = [{"type": "kill", "count": 1, "at_s": 5, "for_s": 10}, {"type": "kill", "count": 1, "at_s": 7}]
    found = [(a.at_s, a.fault_index, a.is_start) for a in fault_actions(parse_plan({"fault": kills}))]
    assert found == [(5, 0, True), (7, 1, True), (15, 0, False)]
