"""Tests of scenario files: validation, overrides, drawing of ranges, and the schema."""

import json

import msgspec
import pytest

from workbench.scenario import load as scenarios
from workbench.scenario.check import scenario_errors
from workbench.scenario.load import ScenarioError, draw, parse_scenario
from workbench.scenario.model import Scenario

INVALID_TABLES = [
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


@pytest.mark.parametrize(("table", "line"), INVALID_TABLES, ids=[line[:30] for _, line in INVALID_TABLES])
def test_error_names_path_value_and_allowed_values(table, line):
    (error,) = scenario_errors(table)
    assert error.startswith(line)


def test_load_reports_all_errors_of_a_file(tmp_path):
    file = tmp_path / "bad.toml"
    file.write_text("servers = 0\n[load]\nfraction = -1\nswing = 2\n")
    with pytest.raises(ScenarioError) as raised:
        scenarios.load(str(file))
    assert [line.split(": ")[:2] for line in str(raised.value).splitlines()] == [
        [str(file), "servers"],
        [str(file), "load.fraction"],
        [str(file), "load.swing"],
    ]


@pytest.mark.parametrize("name", scenarios.shipped_scenarios())
def test_drawn_scenario_has_no_ranges_and_redraws_equal(name):
    """A drawn scenario written as TOML and drawn again is equal to itself."""
    drawn = draw(scenarios.load(name), 5)
    table = scenarios.tomllib.loads(scenarios.to_toml(drawn))
    redrawn = draw(parse_scenario(table))
    assert redrawn == drawn and drawn.seed == 5 and drawn.title
    assert not any(isinstance(v, list) and len(v) == 2 and type(v[0]) is float for v in flattened(table))


def flattened(value):
    """Return each scalar of a nested value, and each list before its items."""
    if isinstance(value, dict):
        return [x for v in value.values() for x in flattened(v)]
    return [value, *(x for v in value for x in flattened(v))] if isinstance(value, list) else [value]


def test_added_range_changes_no_other_drawn_value():
    """Each key draws from a stream of its own, so that an added range leaves all other draws as they are."""
    plain, changed = parse_scenario({}), parse_scenario({"network": {"loss": [0.0, 0.1]}})
    plain_table, changed_table = (scenarios.to_table(draw(s, 3)) for s in (plain, changed))
    assert plain_table.pop("network") != changed_table.pop("network")
    assert plain_table == changed_table


@pytest.mark.parametrize(
    ("override", "error"),
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
def test_overrides_are_validated_like_files(override, error):
    if error:
        with pytest.raises(ScenarioError, match=error.replace("[", r"\[")):
            scenarios.load("quiet", [override])
    else:
        assert scenarios.load("quiet", [override]) != scenarios.load("quiet")


def test_schema_contains_section_keys_and_bounds():
    schema = json.loads(msgspec.json.encode(msgspec.json.schema(Scenario)))
    load = schema["$defs"]["Load"]["properties"]["fraction"]
    assert load["exclusiveMinimum"] == 0 and schema["$defs"]["Load"]["additionalProperties"] is False
