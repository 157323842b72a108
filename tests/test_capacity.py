"""The capacity model: its fits, what it calls an estimate, the command, and the page that it writes."""

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
from workbench.scale import mechanisms as m
from workbench.scale.capacity import capacity
from workbench.scale.collect import ScaleRow, collected, rows_of, scale_slopes
from workbench.scale.latency import chain
from workbench.scale.member import measure
from workbench.scale.membership import SCENARIOS
from workbench.scale.page import PageError, current_parts, rendered
from workbench.scale.quiet import QuietWatch, Stretch
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
def test_an_exact_law_is_found_again_beyond_its_points(fit, law):
    found = value_at(slope(fit, [law(n) for n in SIZES]), 3200)
    assert found.value == pytest.approx(law(3200))
    assert (found.low, found.high) == (pytest.approx(law(3200)), pytest.approx(law(3200)))
    assert not found.estimate


def test_the_interval_holds_the_law_behind_noisy_points_and_widens_beyond_them():
    noisy = slope("linear", [3 + 0.5 * n + e for n, e in zip(SIZES, (2, -3, 1, 3, -2), strict=True)])
    near, far = value_at(noisy, 400), value_at(noisy, 3200)
    assert far.low < 3 + 0.5 * 3200 < far.high
    assert far.high - far.low > near.high - near.low > 0


def test_few_points_and_far_reaches_are_estimates():
    few = value_at(slope("linear", [1, 2, 3, 4], SIZES[:4]), 400)
    far = value_at(slope("linear", [1, 2, 3, 4, 5]), 8001)
    assert few.doubts == {"x: 4 points"} and far.doubts == {"x: 10 times beyond the last point"}
    assert not value_at(slope("linear", [1, 2, 3, 4, 5]), 8000).estimate
    assert not value_at(
        slope("constant", [5], [1])
    ).estimate  # a cost that depends on no size reaches nowhere
    assert (
        value_cell(few.times(2), False).endswith("(estimate)")
        and few.by(far).doubts == few.doubts | far.doubts
    )


def test_a_run_that_ended_before_the_value_makes_a_lower_bound():
    points = [*slope("power", [1, 2, 4, 8, 16]).points[:4], Point(size=800, value=16, lower_bound=True)]
    found = value_at(msgspec.structs.replace(slope("power", [1, 2, 4, 8, 16]), points=points), 1600)
    assert found.at_least and value_cell(found, False).startswith("over ")


def test_nobody_measured_is_said_and_no_figure_stands_in():
    table = capacity(Target(), Slopes([]))
    assert all(
        r.quantity is None or not r.quantity.measured or r.quantity.sources == {"target"} for r in table.rows
    )
    assert {value_cell(r.quantity, r.missing) for r in table.rows} == {
        "not measured",
        "missing",
        "0.0938",
        "228",
        "50",
    }


def test_the_table_is_measured_slope_times_count():
    calm = slope("linear", [10 + n for n in SIZES], name="member.cpu_us")
    rows = capacity(Target(nodes=1300, zones=13), Slopes([calm])).roles
    flat, zone = [r for r in rows if r.what.endswith("processor time in calm")]
    assert flat.quantity.value == pytest.approx(1310 / 1e4) and zone.quantity.value == pytest.approx(
        110 / 1e4
    )
    assert flat.share == pytest.approx(0.131 / 1.4) and not zone.missing and not flat.missing


def test_a_sum_with_a_value_of_a_single_run_has_no_interval():
    """Failure prevented: the sum's interval is that of the other value alone, and lies beside it."""
    single = value_at(slope("constant", [7.0], sizes=[50])), value_at(slope("linear", [1, 2, 4, 4, 6]), 30)
    assert isnan(single[0].low) and not isnan(single[1].low)
    total = single[0].plus(single[1])
    assert isnan(total.low) and isnan(total.high) and not isnan(total.value)


def test_what_most_rests_on_counts_needs_of_needs():
    rows = [Row(Role.NODE, "a", "", m.CONFIGURATION_FALLBACK), Row(Event.RESTART, "b", "", m.FLAT_MEMBERSHIP)]
    rows.append(replace(rows[1], wanted=m.REPLACEMENT_BY_ZONE))
    table = replace(capacity(Target(), Slopes([])), roles=rows, events=[])
    assert table.resting() == {
        m.CONFIGURATION_FALLBACK: 1,
        m.CONFIGURATION: 1,
        m.REPLACEMENT_BY_ZONE: 1,
        m.SCOPED_LEASES: 1,
    }


def test_set_changes_the_target():
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
def test_bad_input_names_key_value_and_what_is_allowed(change, line):
    with pytest.raises(TargetError) as fault:
        target_of([change])
    assert str(fault.value) == line
    out = CliRunner().invoke(cli, ["scale", "capacity", "--set", change])
    assert isinstance(out.exception, InputError) and str(out.exception) == line


def test_files_of_slopes_are_added_and_checked(tmp_path):
    row = msgspec.to_builtins(slope("linear", [1, 2, 3, 4, 5], name="member.cpu_us"))
    file = tmp_path / "more.json"
    file.write_text(json.dumps([row]))
    assert read_slopes(str(file)).at("member.cpu_us", 50).value == pytest.approx(1.0, abs=1)
    for broken, text in (
        (row | {"fit": "cubic"}, "slope[0].fit: 'cubic': must be one of constant, linear, log, power"),
        (row | {"points": []}, "member.cpu_us.points: []: must hold at least one"),
        (
            row | {"points": row["points"][:1]},
            "member.cpu_us.points: 1 sizes: must hold two for a linear fit",
        ),
    ):
        file.write_text(json.dumps([broken]))
        with pytest.raises(SlopesError) as fault:
            read_slopes(str(file))
        assert str(fault.value) == f"{file}: {text}"


def test_each_shipped_slope_names_its_run():
    slopes = read_slopes()
    assert all(s.run and s.commit and s.machine for s in slopes.by_name.values())


def test_printed_values_become_points_with_their_spread():
    lines = [
        json.dumps({"name": "membership.join_s", "size": 50, "seed": s, "value": v, "limit": s == 2})
        for s, v in ((1, 4), (2, 6))
    ]
    rows = [row for line in lines for row in rows_of(line.encode())]
    (made,) = collected(rows, "abc", "a machine", "")
    assert made["points"] == [{"size": 50, "value": 5.0, "runs": 2, "spread": 1.414, "lower_bound": True}]
    assert made["seeds"] == [1, 2] and msgspec.convert(made, Slope).unit == "s"
    assert rows_of(json.dumps({"rate": 150, "repeat": 0, "counts": False}).encode()) == []


def test_rows_of_a_scale_run_are_taken_in():
    origin = {
        "command": "workbench scale run --hollow 50 --out a/b.json",
        "seed": 1,
        "commit": "abc",
        "cores": 8,
    }
    row = {"quantity": "cpu", "unit": "us/member/s", "spread": [1, 2], "run": origin}
    rows = [row | {"size": s, "value": 10.0 + s, "counted": s < 800} for s in SIZES]
    rows.append(row | {"size": 50, "value": 1, "quantity": "worker.cpu", "counted": True})
    rows.append(row | {"size": 50, "value": 1, "quantity": "join.all", "unit": "s"})  # one size: no growth
    made = scale_slopes(msgspec.convert(rows, list[ScaleRow]))
    (found,) = msgspec.convert(made, list[Slope])
    assert (
        found.name == "sockets.cpu"
        and found.fit == "linear"
        and [p.size for p in found.points] == [*SIZES[:4]]
    )
    assert value_at(found, 1000).value == pytest.approx(1010) and value_at(found, 1000).estimate


def test_a_stretch_in_which_a_process_waited_for_a_core_does_not_count():
    watch = QuietWatch([os.getpid()], 0, 100, 50)
    watch.stretches = [Stretch(0, 100, True), Stretch(100, 200, False), Stretch(200, 300, True)]
    assert watch.quiet(10, 90) and watch.quiet(210, 300)
    assert not watch.quiet(90, 110) and not watch.quiet(150, 160)
    assert not watch.quiet(250, 301)  # it is not known yet
    watch.allowed = -1
    watch.end(400)
    assert watch.stretches[-1] == Stretch(0, 400, False)


def test_nine_equal_hops_add_up():
    assert chain([100] * 1000, 9, 99.0) == pytest.approx(900, abs=90)
    half = chain([0] * 500 + [1000] * 500, 9, 50.0)
    assert 4000 <= half <= 5100


def test_the_measuring_programs_repeat_by_their_seed_and_stay_in_step():
    group = {r.name: r.value for r in SCENARIOS["calm"](20, 3)}
    again = {r.name: r.value for r in SCENARIOS["calm"](20, 3)}
    exact = ("membership.calm.datagrams", "membership.calm.bytes", "membership.death_s")
    assert [group[n] for n in exact] == [again[n] for n in exact]
    alone = {r.name: r.value for r in measure(20, 3)}
    assert alone["member.datagrams"] == pytest.approx(group["membership.calm.datagrams"], rel=0.15)
    assert not isnan(alone["member.cpu_us"])


def test_the_page_is_what_the_model_says():
    text = PAGE.read_text()
    assert rendered(text, current_parts()) == text, "run: python -m workbench.scale.page docs/CAPACITY.md"
    with pytest.raises(PageError, match="markers: none"):
        rendered("no markers", current_parts())
