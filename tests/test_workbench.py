"""The workbench's command line, and the independence of the balancer from the workbench."""

import json
import subprocess
import sys

import pytest
from click.testing import CliRunner

from workbench.cli import cli, main

SMALL_DAY = ["--set", "length_s=3", "--servers", "3"]


def run(*args, cwd=None):
    """Run a command in a separate process, and return its status, output and error output."""
    completed = subprocess.run(
        [sys.executable, "-m", "workbench", *args], capture_output=True, text=True, cwd=cwd, timeout=120
    )
    return completed.returncode, completed.stdout, completed.stderr


def test_node_imports_no_workbench_modules():
    code = (
        "import sys, balancer, balancer.net.node, balancer.__main__;"
        "print([m for m in sys.modules if m.split('.')[0] in"
        " ('workbench','numpy','click','rich','msgspec','matplotlib','tomli_w')])"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert out.stdout.strip() == "[]"


def test_simulate_prints_a_report_and_writes_its_files(tmp_path):
    file, plot = tmp_path / "r.json", tmp_path / "r.png"
    status, out, err = run(
        "simulate", "quiet", *SMALL_DAY, "--json", str(file), "--plot", str(plot), "--profile"
    )
    assert status == 0 and err == ""
    for word in ("from s", "goal", "rules            all kept", "us a call", "module"):
        assert word in out
    result = json.loads(file.read_text())
    assert 0 <= result["goal"] <= 1 and set(result["rules"].values()) == {0}
    assert {"calls", "cpu_us_a_call", "module_share", "peak_mb"} <= set(result["speed"])
    assert result["made"]["overrides"] == ["length_s=3", "servers=3"] and result["made"]["seed"] == 1
    assert plot.read_bytes().startswith(b"\x89PNG")
    assert sorted(p.name for p in tmp_path.iterdir()) == ["r.json", "r.png"]


@pytest.mark.parametrize(
    ("args", "line"),
    [
        (["simulate", "nowhere"], "nowhere: no such file: shipped are cut, "),
        (
            ["simulate", "quiet", "--set", "load.fraction=-1"],
            "quiet with --set: load.fraction: -1: must be over 0",
        ),
        (["simulate", "quiet", "--json", "no/such/r.json"], "no/such/r.json: no such folder: no/such"),
        (["simulate", "quiet", *SMALL_DAY, "--follow", "99999"], "--follow 99999: the day has "),
        (["scenario", "check", "quiet", "nope"], "nope: no such file"),
        (["scenario", "show", "quiet", "--set", "x"], "--set x: not of the form KEY=VALUE"),
    ],
)
def test_bad_input_exits_2_with_one_line(args, line, capsys, monkeypatch, tmp_path):
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(sys, "argv", ["workbench", *args])
    with pytest.raises(SystemExit) as e:
        main()
    out = capsys.readouterr()
    assert e.value.code == 2 and out.err.startswith(line) and out.err.count("\n") == 1
    assert list(tmp_path.iterdir()) == []


def test_broken_rule_exits_1(tmp_path):
    """The policy `random` overloads replaced servers while they are cold, which breaks a rule."""
    changes = ["servers=3", "fault[0].part=0.9", "fault[0].at_s=3", "load.fraction=0.9", "length_s=15"]
    args = [x for change in changes for x in ("--set", change)]
    status, out, _ = run("simulate", "replace", "--policy", "random", "--seed", "2", *args)
    assert status == 1 and "BROKEN: cold_server" in out and "pushed over while cold" in out


def test_scenario_commands():
    runner = CliRunner()
    listed = runner.invoke(cli, ["scenario", "list"]).output
    assert "restart" in listed and "Half of the front" in listed
    assert json.loads(runner.invoke(cli, ["scenario", "schema"]).output)["$defs"]["Scenario"]
    assert runner.invoke(cli, ["scenario", "check", "quiet", "soak"]).output == "2 sound\n"
    assert "seed = 9" in runner.invoke(cli, ["scenario", "show", "quiet", "--seed", "9"]).output
