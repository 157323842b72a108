"""Scenarios: every fault named at once, and days drawn from ranges."""

import json

import msgspec
import pytest

from workbench.scenario import load as scenarios
from workbench.scenario.check import scenario_errors
from workbench.scenario.load import ScenarioError, draw, parse_scenario
from workbench.scenario.model import Scenario

WRONG = [
    (
        {"tier": [{"name": "a", "kind": [{"name": "k", "speed": -3}]}]},
        "tier[0].kind[0].speed: -3: must be over 0",
    ),
    ({"load": {"fration": 1}}, "load.fration: unknown key: nearest is fraction"),
    ({"qqqq": 1}, "qqqq: unknown key: known are title, seed"),
    ({"load": {"fraction": [2, 1]}}, "load.fraction: [2, 1]: must have its lower end first"),
    ({"load": {"fraction": [1, 2, 3]}}, "load.fraction: [1, 2, 3]: must be a number or a range [low, high]"),
    ({"load": {"fraction": "much"}}, "load.fraction: 'much': must be a number or a range"),
    ({"load": {"fraction": True}}, "load.fraction: true: must be a number"),
    ({"load": {"fraction": float("nan")}}, "load.fraction: nan: must be a number"),
    ({"servers": 2.5}, "servers: 2.5: must be a whole number or a range"),
    ({"network": {"loss": [0.5, 1.5]}}, "network.loss: [0.5, 1.5]: must be at most 1"),
    ({"load": {"shape": "round"}}, "load.shape: 'round': must be one of"),
    ({"load": 3}, "load: 3: must be a table"),
    ({"nodes": {"probes": 1}}, "nodes.probes: 1: must be true or false"),
    ({"fault": [{}]}, "fault[0].type: missing: must be given"),
    ({"fault": {"type": "slow"}}, "fault: {'type': 'slow'}: must be a list of tables"),
    ({"tier": []}, "tier: []: must hold at least one"),
    ({"title": 3}, "title: 3: must be text"),
    ({"class": [{"name": "a", "aim_s": 9}]}, "class[0].aim_s: 9: must be at most deadline_s, 6"),
    ({"class": [{"name": "a", "share": 0}]}, "class[0].share: 0: must be over 0"),
    ({"fault": [{"type": "cut", "zone": 1}]}, "fault[0].zone: 1: must be under zones.count, 1"),
    ({"fault": [{"type": "slow", "tier": 3}]}, "fault[0].tier: 3: must be under the number of tiers, 3"),
    ([], "file: []: must be a table"),
]


@pytest.mark.parametrize(("table", "line"), WRONG, ids=[line[:30] for _, line in WRONG])
def test_a_fault_names_path_found_and_allowed(table, line):
    (found,) = scenario_errors(table)
    assert found.startswith(line)


def test_all_faults_of_a_file_are_found_at_once(tmp_path):
    file = tmp_path / "bad.toml"
    file.write_text("servers = 0\n[load]\nfraction = -1\nswing = 2\n")
    with pytest.raises(ScenarioError) as e:
        scenarios.load(str(file))
    assert [line.split(": ")[:2] for line in str(e.value).splitlines()] == [
        [str(file), "servers"],
        [str(file), "load.fraction"],
        [str(file), "load.swing"],
    ]


@pytest.mark.parametrize("name", scenarios.shipped())
def test_a_drawn_day_is_a_scenario_that_draws_to_itself(name):
    day = draw(scenarios.load(name), 5)
    table = scenarios.tomllib.loads(scenarios.to_toml(day))
    again = draw(parse_scenario(table))
    assert again == day and day.seed == 5 and day.title
    assert not any(isinstance(v, list) and len(v) == 2 and type(v[0]) is float for v in flat(table))


def flat(value):
    if isinstance(value, dict):
        return [x for v in value.values() for x in flat(v)]
    return [value, *(x for v in value for x in flat(v))] if isinstance(value, list) else [value]


def test_one_range_more_shifts_no_other_draw():
    plain, changed = parse_scenario({}), parse_scenario({"network": {"loss": [0.0, 0.1]}})
    a, b = (scenarios.to_table(draw(s, 3)) for s in (plain, changed))
    assert a.pop("network") != b.pop("network")
    assert a == b


@pytest.mark.parametrize(
    ("override", "wrong"),
    [
        ("load.fraction=0.9", ""),
        ("tier[0].kind[1].speed=2", ""),
        ("load.shape=ramp", ""),
        ("load.fraction", "not of the form KEY=VALUE"),
        ("fault[3].part=1", "no such key: fault.3"),
        ("load.fraktion=1", "load.fraktion: unknown key"),
        ("load.fraction=-1", "load.fraction: -1: must be over 0"),
    ],
)
def test_overrides_are_checked_as_files_are(override, wrong):
    if wrong:
        with pytest.raises(ScenarioError, match=wrong.replace("[", r"\[")):
            scenarios.load("quiet", [override])
    else:
        assert scenarios.load("quiet", [override]) != scenarios.load("quiet")


def test_the_schema_names_every_section_and_its_bounds():
    schema = json.loads(msgspec.json.encode(msgspec.json.schema(Scenario)))
    load = schema["$defs"]["Load"]["properties"]["fraction"]
    assert load["exclusiveMinimum"] == 0 and schema["$defs"]["Load"]["additionalProperties"] is False
