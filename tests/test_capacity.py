"""The capacity model: its fits, estimates, the command, and the generated page."""

from __future__ import annotations

import json
import os
from dataclasses import replace
from math import isnan, log
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from workbench.cli import cli
from workbench.cli.errors import InputError
from workbench.scale import mechanisms
from workbench.scale.capacity import capacity
from workbench.scale.collect import ScaleRow, build_measured_slopes, build_scale_run_slopes, parse_rows
from workbench.scale.latency import chain_quantile
from workbench.scale.member import measure
from workbench.scale.membership import SCENARIOS
from workbench.scale.page import PageError, current_parts, render_page
from workbench.scale.quiet import Interval, RunQueueMonitor
from workbench.scale.rows import Event, Role, Row
from workbench.scale.slopes import Point, Slope, Slopes, SlopesError, read_slopes, value_at
from workbench.scale.table import value_cell
from workbench.scale.target import Target, TargetError, target_of

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
SIZES = (50, 100, 200, 400, 800)


def slope(fit, values, sizes=SIZES, **changes):
    points = [Point(size=s, value=v) for s, v in zip(sizes, values, strict=True)]
    fields = {"name": "x", "what": "", "unit": "", "per": "members", "run": "", "seeds": [1], "commit": ""}
    return Slope(fit=fit, points=points, machine="", **fields | changes)


@pytest.mark.parametrize(
    ("fit", "law"),
    [
        ("constant", lambda n: 7.0),
        ("linear", lambda n: 3.0 + 0.5 * n),
        ("log", lambda n: 2.0 + 4.0 * log(n)),
        ("power", lambda n: 0.01 * n**1.5),
    ],
)
def test_fit_extrapolates_an_exact_law(fit, law):
    found = value_at(slope(fit, [law(n) for n in SIZES]), 3200)
    assert found.value == pytest.approx(law(3200))
    assert (found.low, found.high) == (pytest.approx(law(3200)), pytest.approx(law(3200)))
    assert not found.is_estimate


def test_interval_covers_the_law_and_widens_with_distance():
    noisy = slope("linear", [3 + 0.5 * n + e for n, e in zip(SIZES, (2, -3, 1, 3, -2), strict=True)])
    near, far = value_at(noisy, 400), value_at(noisy, 3200)
    assert far.low < 3 + 0.5 * 3200 < far.high
    assert far.high - far.low > near.high - near.low > 0


def test_few_points_or_far_extrapolation_give_estimates():
    few = value_at(slope("linear", [1, 2, 3, 4], SIZES[:4]), 400)
    far = value_at(slope("linear", [1, 2, 3, 4, 5]), 8001)
    assert few.estimate_reasons == {"x: 4 points"} and far.estimate_reasons == {
        "x: 10 times beyond the last point"
    }
    assert not value_at(slope("linear", [1, 2, 3, 4, 5]), 8000).is_estimate
    # A cost that does not depend on a size is not extrapolated.
    assert not value_at(slope("constant", [5], [1])).is_estimate
    assert (
        value_cell(few.scaled(2), False).endswith("(estimate)")
        and few.multiplied_by(far).estimate_reasons == few.estimate_reasons | far.estimate_reasons
    )


def test_unfinished_run_gives_a_lower_bound():
    points = [*slope("power", [1, 2, 4, 8, 16]).points[:4], Point(size=800, value=16, lower_bound=True)]
    found = value_at(msgspec.structs.replace(slope("power", [1, 2, 4, 8, 16]), points=points), 1600)
    assert found.is_lower_bound and value_cell(found, False).startswith("over ")


def test_table_without_slopes_says_not_measured():
    table = capacity(Target(), Slopes([]))
    assert all(
        r.quantity is None or not r.quantity.is_measured or r.quantity.sources == {"target"}
        for r in table.rows
    )
    assert {value_cell(r.quantity, r.is_missing) for r in table.rows} == {
        "not measured",
        "missing",
        "0.0938",
        "228",
        "50",
    }


def test_row_value_is_the_slope_at_the_group_size():
    calm = slope("linear", [10 + n for n in SIZES], name="member.cpu_us")
    rows = capacity(Target(nodes=1300, zones=13), Slopes([calm])).roles
    flat, zone = [r for r in rows if r.cost.endswith("processor time in calm")]
    assert flat.quantity.value == pytest.approx(1310 / 1e4) and zone.quantity.value == pytest.approx(
        110 / 1e4
    )
    assert flat.budget_share == pytest.approx(0.131 / 1.4) and not zone.is_missing and not flat.is_missing


def test_sum_with_a_single_run_value_has_no_interval():
    """A sum has no interval if one of its values has none.

    With the interval of the other value alone, the sum could lie outside of its interval.
    """
    single = value_at(slope("constant", [7.0], sizes=[50])), value_at(slope("linear", [1, 2, 4, 4, 6]), 30)
    assert isnan(single[0].low) and not isnan(single[1].low)
    total = single[0].plus(single[1])
    assert isnan(total.low) and isnan(total.high) and not isnan(total.value)


def test_missing_mechanisms_count_indirect_dependencies():
    rows = [
        Row(Role.NODE, "a", "", mechanisms.CONFIGURATION_FALLBACK),
        Row(Event.RESTART, "b", "", mechanisms.FLAT_MEMBERSHIP),
    ]
    rows.append(replace(rows[1], preferred_mechanism=mechanisms.REPLACEMENT_BY_ZONE))
    table = replace(capacity(Target(), Slopes([])), roles=rows, events=[])
    assert table.row_counts_by_missing_mechanism() == {
        mechanisms.CONFIGURATION_FALLBACK: 1,
        mechanisms.CONFIGURATION: 1,
        mechanisms.REPLACEMENT_BY_ZONE: 1,
        mechanisms.SCOPED_LEASES: 1,
    }


def test_set_option_changes_the_target():
    assert target_of(["nodes=6400", "added_ms=0.5"]) == Target(nodes=6400, added_ms=0.5)
    out = CliRunner().invoke(cli, ["scale", "capacity", "--set", "nodes=6400", "--format", "markdown"])
    assert out.exit_code == 0 and "one group of 6,400" in out.output


@pytest.mark.parametrize(
    ("change", "line"),
    [
        ("nodes=0", "nodes: 0: must be at least 1"),
        ("nodes=many", "nodes: 'many': must be a whole number"),
        ("nodes=1.5", "nodes: 1.5: must be a whole number"),
        ("nodes", "nodes: must be KEY=VALUE, as in nodes=6400"),
        ("nodez=5", "nodez: unknown key: nearest is nodes"),
        ("added_ms=nan", "added_ms: nan: must be a number"),
        ("zones=4", "regions: 5: must be at most zones, 4"),
        ("nodes=200", "release_batch: 250: must be at most nodes, 200"),
    ],
)
def test_invalid_change_names_key_value_and_allowed_range(change, line):
    with pytest.raises(TargetError) as fault:
        target_of([change])
    assert str(fault.value) == line
    out = CliRunner().invoke(cli, ["scale", "capacity", "--set", change])
    assert isinstance(out.exception, InputError) and str(out.exception) == line


def test_extra_slopes_files_are_added_and_validated(tmp_path):
    row = msgspec.to_builtins(slope("linear", [1, 2, 3, 4, 5], name="member.cpu_us"))
    file = tmp_path / "more.json"
    file.write_text(json.dumps([row]))
    assert read_slopes(str(file)).at("member.cpu_us", 50).value == pytest.approx(1.0, abs=1)
    for invalid_row, text in (
        (row | {"fit": "cubic"}, "slope[0].fit: 'cubic': must be one of constant, linear, log, power"),
        (row | {"points": []}, "member.cpu_us.points: []: must hold at least one"),
        (
            row | {"points": row["points"][:1]},
            "member.cpu_us.points: 1 sizes: must hold two for a linear fit",
        ),
    ):
        file.write_text(json.dumps([invalid_row]))
        with pytest.raises(SlopesError) as fault:
            read_slopes(str(file))
        assert str(fault.value) == f"{file}: {text}"


def test_each_shipped_slope_names_its_run():
    slopes = read_slopes()
    assert all(s.run and s.commit and s.machine for s in slopes.by_name.values())


def test_printed_values_become_points_with_spread():
    lines = [
        json.dumps({"name": "membership.join_s", "size": 50, "seed": s, "value": v, "limit": s == 2})
        for s, v in ((1, 4), (2, 6))
    ]
    rows = [row for line in lines for row in parse_rows(line.encode())]
    (slope_row,) = build_measured_slopes(rows, "abc", "a machine", "")
    assert slope_row["points"] == [
        {"size": 50, "value": 5.0, "runs": 2, "spread": 1.414, "lower_bound": True}
    ]
    assert slope_row["seeds"] == [1, 2] and msgspec.convert(slope_row, Slope).unit == "s"
    assert parse_rows(json.dumps({"rate": 150, "repeat": 0, "counts": False}).encode()) == []


def test_scale_run_rows_become_slopes():
    origin = {
        "command": "workbench scale run --hollow 50 --out a/b.json",
        "seed": 1,
        "commit": "abc",
        "cores": 8,
    }
    row = {"quantity": "cpu", "unit": "us/member/s", "spread": [1, 2], "run": origin}
    rows = [row | {"size": s, "value": 10.0 + s, "counted": s < 800} for s in SIZES]
    rows.append(row | {"size": 50, "value": 1, "quantity": "worker.cpu", "counted": True})
    # A single size shows no growth, so it yields no slope.
    rows.append(row | {"size": 50, "value": 1, "quantity": "join.all", "unit": "s"})
    slope_rows = build_scale_run_slopes(msgspec.convert(rows, list[ScaleRow]))
    (found,) = msgspec.convert(slope_rows, list[Slope])
    assert (
        found.name == "sockets.cpu"
        and found.fit == "linear"
        and [p.size for p in found.points] == [*SIZES[:4]]
    )
    assert value_at(found, 1000).value == pytest.approx(1010) and value_at(found, 1000).is_estimate


def test_interval_with_a_wait_for_a_core_is_not_quiet():
    monitor = RunQueueMonitor([os.getpid()], 0, 100, 50)
    monitor.intervals = [Interval(0, 100, True), Interval(100, 200, False), Interval(200, 300, True)]
    assert monitor.is_quiet(10, 90) and monitor.is_quiet(210, 300)
    assert not monitor.is_quiet(90, 110) and not monitor.is_quiet(150, 160)
    assert not monitor.is_quiet(250, 301)  # The last interval has not ended
    monitor.max_wait_ns = -1
    monitor.end_interval(400)
    assert monitor.intervals[-1] == Interval(0, 400, False)


def test_chain_quantile_of_nine_equal_hops_is_their_sum():
    assert chain_quantile([100] * 1000, 9, 99.0) == pytest.approx(900, abs=90)
    half = chain_quantile([0] * 500 + [1000] * 500, 9, 50.0)
    assert 4000 <= half <= 5100


def test_measuring_programs_are_deterministic_and_agree():
    group = {r.name: r.value for r in SCENARIOS["calm"](20, 3)}
    again = {r.name: r.value for r in SCENARIOS["calm"](20, 3)}
    exact = ("membership.calm.datagrams", "membership.calm.bytes", "membership.death_s")
    assert [group[n] for n in exact] == [again[n] for n in exact]
    alone = {r.name: r.value for r in measure(20, 3)}
    assert alone["member.datagrams"] == pytest.approx(group["membership.calm.datagrams"], rel=0.15)
    assert not isnan(alone["member.cpu_us"])


def test_capacity_page_matches_the_model():
    text = PAGE.read_text()
    assert render_page(text, current_parts()) == text, "run: python -m workbench.scale.page docs/CAPACITY.md"
    with pytest.raises(PageError, match="markers: none"):
        render_page("no markers", current_parts())
