"""The command `scale run`: figures of a known group, a run that is not counted, invalid input."""

import json
import sys
from pathlib import Path
from typing import Any

import pytest
from scale_support import run_command

from workbench.cli import main
from workbench.scale import verdict

# Tolerance against the simulation: a member sends a ping and an ack a period, and an exchange every 15.
DATAGRAMS_TOLERANCE = 0.05
# An exchange is ten times as long as the other datagrams, and 60 periods have only four of them.
BYTES_TOLERANCE = 0.1


def figures_in(path: Path) -> dict[str, Any]:
    """Read the rows of a result file by quantity."""
    return {row["quantity"]: row for row in json.loads(path.read_text())}


def test_small_run_costs_match_the_simulation(tmp_path: Path) -> None:
    """20 hollow members and a real node that all know each other cost what the simulation predicts.

    The protocol determines the datagrams of a calm group, so a run differs from the simulation only by the
    times of its exchanges.
    """
    out = tmp_path / "figures.json"
    words = ("--hollow", 20, "--real", 1, "--period-ms", 100, "--seconds", 6, "--start", "known")
    done = run_command(*words, "--simulate", "--out", out)
    assert done.returncode == 0, done.stdout + done.stderr
    found = figures_in(out)
    for quantity, tolerance in (("datagrams_out", DATAGRAMS_TOLERANCE), ("bytes_out", BYTES_TOLERANCE)):
        measured, simulated = found[quantity]["value"], found[f"simulated.{quantity}"]["value"]
        assert measured == pytest.approx(simulated, rel=tolerance), quantity
    assert found["datagrams_in"]["value"] == pytest.approx(found["datagrams_out"]["value"], rel=0.08)
    parts = sum(row["value"] for name, row in found.items() if name.startswith("cpu."))
    assert parts == pytest.approx(found["cpu"]["value"], rel=0.05)
    assert found["real.cpu"]["value"] > 0
    row = found["bytes_out"]
    assert row["size"] == 21 and row["counted"] and row["unit"] == "B/member/s"
    assert row["run"]["command"].startswith("workbench scale run --hollow 20") and row["run"]["cores"] >= 1


def test_run_limited_by_the_machine_is_not_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    out = tmp_path / "figures.json"
    words = ["--hollow", "4", "--workers", "1", "--period-ms", "100", "--start", "known", "--seconds", "0.2"]
    # The lateness of an event loop is never negative, so every run exceeds this limit.
    monkeypatch.setattr(verdict, "MAX_LATENESS_P99_MS", -1.0)
    monkeypatch.setattr(sys, "argv", ["workbench", "scale", "run", *words, "--out", str(out)])
    with pytest.raises(SystemExit) as end:
        main()
    output = capsys.readouterr().out
    assert end.value.code == 3 and output.endswith("not counted\n") and "passed" not in output
    assert "the machine was the limit: calm: worker 0: " in output
    assert not any(row["counted"] for row in json.loads(out.read_text()))


@pytest.mark.parametrize(
    ("words", "line"),
    [
        (("--hollow", "0"), "calm: hollow: 0: must be at least 1"),
        (("--plan", "nowhere"), "nowhere: no such file: shipped are calm, kill-one, kill-tenth"),
        (("--out", "/nowhere/x"), "/nowhere/x: no such folder: /nowhere"),
        (("--seconds", "long"), "Invalid value for '--seconds'"),
        (
            ("--membership", "zone", "--simulate"),
            "--simulate: zone: must be left out: only flat is simulated",
        ),
    ],
)
def test_invalid_input_exits_with_status_2(
    words: tuple[str, ...], line: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sys, "argv", ["workbench", "scale", "run", *words])
    with pytest.raises(SystemExit) as end:
        main()
    output = capsys.readouterr()
    assert end.value.code == 2 and line in output.err and not output.out
