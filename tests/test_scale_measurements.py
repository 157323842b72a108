"""Figures of scale runs: cost of a member beyond an idle worker, times, and the meter."""

import time

import msgspec
import pytest
from scale_support import window

from workbench.scale.measurements import (
    Phase,
    Row,
    RunInfo,
    build_rows,
    format_table,
    phase_figures,
    time_figures,
)
from workbench.scale.messages import Traffic
from workbench.scale.meter import LOOP, Meter
from workbench.scale.verdict import Death, Findings


def test_costs_are_per_member_without_the_idle_worker() -> None:
    nanoseconds = {"membership": 400_000_000, "codec": 200_000_000, LOOP: 300_000_000}
    busy = window(
        nanoseconds=nanoseconds, calls={"codec": 400}, traffic=Traffic(200, 190, 40_000, 38_000), cpu_s=1.1
    )
    idle = window(cpu_s=0.1, nanoseconds={LOOP: 100_000_000}, resident_bytes=9_000_000)
    found = {f.quantity: f for f in phase_figures(Phase("", [busy, busy], idle, [10, 10]), 0.5)}
    assert found["cpu"].value == pytest.approx(10_000) and found["cpu"].spread == pytest.approx((10_000,) * 2)
    assert found["cpu.membership"].value == pytest.approx(4_000)
    assert found["cpu.loop"].value == pytest.approx(2_000)
    assert found["datagrams_out"].value == pytest.approx(2.0) and found["bytes_in"].value == pytest.approx(
        380
    )
    assert found["calls.codec"].value == pytest.approx(2.0) and found["memory"].value == pytest.approx(
        100_000
    )
    assert found["worker.cpu"].value == pytest.approx(0.11)
    made = build_rows(list(found.values()), 20, RunInfo("workbench scale run", 1, "unknown", 8), True)
    assert msgspec.json.decode(msgspec.json.encode(made[0]), type=Row) == made[0]
    assert format_table(made).row_count == len(made)


def test_times_are_reported_only_if_all_members_know() -> None:
    joined = Findings(joined_s=[1.0, 2.0, 6.0], join_expected=3)
    assert [(f.quantity, f.value, f.spread) for f in time_figures(joined, True)] == [
        ("join.all", 6.0, (1.0, 6.0)),
        ("join.median", 2.0, (1.0, 6.0)),
    ]
    assert not list(time_figures(joined, False))  # Members that started with the whole group
    joined.join_expected = 4
    assert not list(time_figures(joined, True))
    known = Findings(deaths=[Death("h00001", 2, [3.0, 5.0])], healed_s=[1.0])
    assert [f.quantity for f in time_figures(known, True)] == [
        "death.all",
        "death.median",
        "heal.all",
        "heal.median",
    ]
    known.deaths.append(Death("h00002", 2, [3.0]))
    assert [f.quantity for f in time_figures(known, True)] == ["heal.all", "heal.median"]


def test_time_is_charged_to_the_innermost_component() -> None:
    meter = Meter()

    def burn(milliseconds: int) -> None:
        end = time.thread_time_ns() + milliseconds * 1_000_000
        while time.thread_time_ns() < end:
            pass

    def outer() -> None:
        burn(2)
        meter.run("inner", burn, 4)

    meter.run("outer", outer)
    nanoseconds, calls = meter.read()
    assert nanoseconds["outer"] >= 2_000_000 and nanoseconds["inner"] >= 4_000_000
    assert nanoseconds["outer"] < nanoseconds["inner"] and calls == {"outer": 1, "inner": 1}
