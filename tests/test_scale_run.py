"""The command `scale run`: known figures, a run that is not counted, bad input."""

import json
import sys
from pathlib import Path
from typing import Any

import pytest
from scale_support import run_command

from workbench.cli import main
from workbench.scale import verdict

DATAGRAMS_WITHIN = 0.05  # of those in simulation: a ping and an ack a period, and an exchange each 15
BYTES_WITHIN = 0.1  # an exchange is ten times as long as the others, and 60 periods see four of them


def figures_in(path: Path) -> dict[str, Any]:
    return {row["quantity"]: row for row in json.loads(path.read_text())}


def test_a_small_run_costs_what_the_same_components_cost_in_simulation(tmp_path: Path) -> None:
    """20 hollow members and a real node that all know each other: the datagrams of a calm are given by the
    protocol, so a run differs from the simulation only by the moments of its exchanges."""
    out = tmp_path / "figures.json"
    words = ("--hollow", 20, "--real", 1, "--period-ms", 100, "--seconds", 6, "--start", "known")
    done = run_command(*words, "--simulate", "--out", out)
    assert done.returncode == 0, done.stdout + done.stderr
    found = figures_in(out)
    for quantity, tolerance in (("datagrams_out", DATAGRAMS_WITHIN), ("bytes_out", BYTES_WITHIN)):
        measured, simulated = found[quantity]["value"], found[f"simulated.{quantity}"]["value"]
        assert measured == pytest.approx(simulated, rel=tolerance), quantity
    assert found["datagrams_in"]["value"] == pytest.approx(found["datagrams_out"]["value"], rel=0.08)
    parts = sum(row["value"] for name, row in found.items() if name.startswith("cpu."))
    assert parts == pytest.approx(found["cpu"]["value"], rel=0.05)
    assert found["real.cpu"]["value"] > 0
    row = found["bytes_out"]
    assert row["size"] == 21 and row["counted"] and row["unit"] == "B/member/s"
    assert row["run"]["command"].startswith("workbench scale run --hollow 20") and row["run"]["cores"] >= 1


def test_a_run_on_which_the_machine_was_the_limit_is_not_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    out = tmp_path / "figures.json"
    words = ["--hollow", "4", "--workers", "1", "--period-ms", "100", "--start", "known", "--seconds", "0.2"]
    monkeypatch.setattr(verdict, "MAX_LATENESS_P99_MS", -1.0)  # no loop is that early
    monkeypatch.setattr(sys, "argv", ["workbench", "scale", "run", *words, "--out", str(out)])
    with pytest.raises(SystemExit) as end:
        main()
    told = capsys.readouterr().out
    assert end.value.code == 3 and told.endswith("not counted\n") and "passed" not in told
    assert "the machine was the limit: calm: worker 0: " in told
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
def test_bad_input_ends_with_status_2(
    words: tuple[str, ...], line: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sys, "argv", ["workbench", "scale", "run", *words])
    with pytest.raises(SystemExit) as end:
        main()
    told = capsys.readouterr()
    assert end.value.code == 2 and line in told.err and not told.out
