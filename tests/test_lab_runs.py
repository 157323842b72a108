"""Tests of lab runs with real processes, faults and faulty nodes, and of the commands load and emulate."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from support import OLD_PACKAGE_REVISION

from workbench.lab.checkers import CHECKERS, check
from workbench.lab.ground_truth import GroundTruth
from workbench.lab.history import read

TIMEOUT_S = 90.0  # Reached only if the test fails.

SHORT_PLAN = """
nodes = 5
length_s = 6.0
agree_s = 8.0
join_s = 5.0
period_ms = 150
set = {"load.fraction" = 0.15}
"""
TOLERATED_FAULTS = """
[[fault]]
type = "kill"
nodes = ["n1"]
at_s = 0.5
for_s = 3.0
[[fault]]
type = "cut"
nodes = ["n2", "n3"]
at_s = 1.0
for_s = 1.5
servers = true
[[fault]]
type = "links"
at_s = 2.0
for_s = 2.0
loss = 0.1
duplicate = 0.1
jitter_ms = 5.0
[[fault]]
type = "clock"
nodes = ["n0"]
at_s = 1.0
for_s = 2.0
offset_ms = 3600000.0
[[fault]]
type = "clock"
nodes = ["n4"]
at_s = 1.0
for_s = 3.0
offset_ms = -3600000.0
restart = "term"
down_s = 0.2
"""
FAULTY_NODES = {
    "a": {"n0": "mute", "n1": "twice", "n2": "raises", "n3": "rewind", "n4": "spoil"},
    "b": {"n1": "slander", "n2": "crash", "n4": "deaf"},
    "c": {"n0": "blind", "n3": "pile"},
    "d": {"n3": "greedy", "n4": "greedy"},
    "e": {"any": "hasty"},
    "f": {"n1": "unruly"},
    "g": {"any": "pushy"},
    "h": {"n3": "rash"},
    "i": {"n0": "stray"},
}
# The checker that must report each kind of faulty node.
DETECTED_BY = {
    "mute": "answers",
    "spoil": "answers",
    "twice": "attempts",
    "raises": "logs",
    "rewind": "incarnations",
    "slander": "deaths",
    "crash": "processes",
    "deaf": "drains",
    "blind": "views",
    "pile": "cold",
    "greedy": "duties",
    "hasty": "replacement",
    "unruly": "passes",
    "pushy": "trials",
    "stray": "left",
    "rash": "turns",
}
ROLLING_UPDATE = """
voters = 3
supervise = true
[[fault]]
type = "fleet_replace"
at_s = 0.5
for_s = 30.0
"""
SILENT_SERVERS = """
zones = 1
probe = true
lease_ms = 1000
[[trouble]]
type = "silent"
at_s = 0.2
for_s = 20.0
part = 0.25
"""
FAILING_ZONE = """
near = true
[[trouble]]
type = "zone_failing"
zone = 0
share = 0.7
at_s = 0.5
for_s = 20.0
"""
EVACUATED_BY_DIRECTIVE = """
near = true
[[fault]]
type = "zone_leave"
nodes = ["n0"]
through = "n4"
at_s = 0.5
for_s = 10.0
"""
SCENARIO_AND_KILL = """
scenario = "{scenario}"
[[fault]]
type = "kill"
nodes = ["{victim}"]
at_s = 1.0
back = false
"""


def start(tmp_path, name, text, *args):
    """Start `workbench lab run` for a plan, as a separate process."""
    file = tmp_path / f"{name}.toml"
    file.write_text(text)
    arguments = ["lab", "run", str(file), "--keep", str(tmp_path / name), *args]
    return subprocess.Popen(
        [sys.executable, "-m", "workbench", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def faulty_nodes(kinds):
    return "".join(f'[[mischief]]\nkind = "{k}"\nnodes = ["{n}"]\n' for n, k in kinds.items())


@pytest.fixture(scope="module")
def runs(tmp_path_factory):
    """Run labs concurrently, with and without faulty nodes; return the status, output and events of each."""
    folder = tmp_path_factory.mktemp("runs")
    scenario = Path(__file__).parent.parent / "workbench" / "scenarios" / "lab.toml"
    drains = folder / "drains.toml"
    drains.write_text(
        scenario.read_text() + '\n[[fault]]\ntype = "replace"\nat_s = 1.0\nfor_s = 2.0\npart = 0.5\n'
    )
    texts = {"clean": SHORT_PLAN + "voters = 3\n" + TOLERATED_FAULTS}
    texts["a"] = SHORT_PLAN + faulty_nodes(FAULTY_NODES["a"])
    texts["b"] = (
        SHORT_PLAN + SCENARIO_AND_KILL.format(scenario=drains, victim="n3") + faulty_nodes(FAULTY_NODES["b"])
    )
    colder = SHORT_PLAN.replace(
        "set = {", 'set = {"tier[0].kind[0].cold_from" = 0.05, "rules.fall_multiple" = 0.5, '
    )
    texts["c"] = (
        colder + SCENARIO_AND_KILL.format(scenario=drains, victim="n2") + faulty_nodes(FAULTY_NODES["c"])
    )
    texts["d"] = SHORT_PLAN + "voters = 3\n" + faulty_nodes(FAULTY_NODES["d"])
    texts["e"] = SHORT_PLAN + ROLLING_UPDATE + '[[mischief]]\nkind = "hasty"\npart = 1.0\n'
    duty = SHORT_PLAN.replace("= 6.0", "= 12.0") + "voters = 3\n"
    silent = duty.replace("0.15", '0.6, servers = 4, "discovery.silent_notice_s" = 90.0') + SILENT_SERVERS
    all_ = '[[mischief]]\nkind = "{}"\npart = 1.0\n'
    texts["f"] = duty + "remeasure = 0.2\n" + faulty_nodes(FAULTY_NODES["f"])
    texts["uses"] = duty + "remeasure = 0.4\n" + all_.format("brisk")
    texts["h"] = duty + FAILING_ZONE + faulty_nodes(FAULTY_NODES["h"])
    texts["i"] = SHORT_PLAN + EVACUATED_BY_DIRECTIVE + faulty_nodes(FAULTY_NODES["i"])
    texts["zones"] = duty + FAILING_ZONE
    texts["g"] = silent + all_.format("pushy")
    texts["aside"] = silent + all_.format("brisk")
    killed = '[[fault]]\ntype = "kill"\ncount = 1\nat_s = 3.0\nfor_s = 0.1\n'
    texts["replace"] = SHORT_PLAN + ROLLING_UPDATE + killed
    earlier = faulty_nodes({"n1": "earlier", "n3": "earlier"})
    texts["earlier"] = f'{SHORT_PLAN}voters = 3\nearlier = "{OLD_PACKAGE_REVISION}"\n{killed}{earlier}'
    labs = {name: start(folder, name, text) for name, text in texts.items()}
    out = {}
    for name, lab in labs.items():
        printed, _ = lab.communicate(timeout=TIMEOUT_S)
        out[name] = (lab.returncode, printed, read(str(folder / name / "history.jsonl")))
    return out


def test_real_processes_keep_all_rules_under_faults(runs):
    status, printed, events = runs["clean"]
    # Status 3: the machine was too late for the run to count; the checkers' verdicts still hold.
    assert status in (0, 3), printed
    found = check(events)
    assert not any(found.values()), printed
    truth = GroundTruth(events)
    assert [process.clock for process in truth.incarnations["n4"]] == [0, -3_600_000]
    assert len(truth.incarnations["n1"]) == 2 and len(truth.events_of("request")) > 100
    assert sorted(p.type for p in truth.periods) == ["clock", "clock", "cut", "kill", "links"]
    assert truth.agreements()[-1][2] is not None
    for word in ("kill begins: n1", "n1 is back", "all views showed it after", "attempts each"):
        assert word in printed
    holders = {(e["node"], e["token"]) for e in truth.events_of("duty")}
    assert len(holders) >= 1 and truth.events_of("duty")[-1]["t"] > truth.end - 3.0
    assert set(found) == set(CHECKERS)


def test_nodes_of_an_earlier_revision_join_the_fleet(runs):
    """The package of earlier revisions has another name; datagrams, votes and status pages are compatible."""
    status, printed, events = runs["earlier"]
    assert status in (0, 3), printed
    assert not any(check(events).values()), printed
    truth = GroundTruth(events)
    assert truth.agreements()[-1][2] is not None and len(truth.events_of("request")) > 100


def test_rolling_update_completes_although_a_process_is_killed(runs):
    status, printed, events = runs["replace"]
    assert status in (0, 3), printed
    truth = GroundTruth(events)
    assert not any(check(events).values()), printed
    (period,) = [p for p in truth.periods if p.type == "fleet_replace"]
    assert all(len(processes) >= 2 for processes in truth.incarnations.values())
    assert (
        any("fleet replacement done" in e["text"] for e in truth.events_of("log")) and period.end < truth.end
    )


def test_leases_limit_min_rtt_recalculations_and_probes(runs):
    """Each node recalculates minRTT every few seconds, two at once; one node probes an ejected server."""
    for name in ("uses", "aside", "zones"):
        status, printed, events = runs[name]
        assert status in (0, 3), printed
        truth = GroundTruth(events)
        assert not any(check(events).values()), printed
        lines = [e["text"] for e in truth.events_of("log")]
        if name == "uses":
            assert sum("fleet pass begins place=" in line for line in lines) >= 3, printed
        elif name == "zones":
            left = {e["node"] for e in truth.events_of("log") if "fleet zone z0 evacuated" in e["text"]}
            assert left == {"n0", "n3"}, printed
        else:
            assert sum("eject server=" in line for line in lines) >= 2, printed
            assert any("fleet tries server=" in line for line in lines), printed


def check_late_run(events):
    """Check a run that does not count because the machine was late, without an allowance for its lateness.

    The allowance may be longer than the fault of a node lasts, so that no checker can tell the fault.
    """
    return check([e for e in events if e["event"] != "lab"])


@pytest.mark.parametrize(
    ("run", "node", "kind"), [(r, n, k) for r, ks in FAULTY_NODES.items() for n, k in ks.items()]
)
def test_checker_detects_its_kind_of_faulty_node(runs, run, node, kind):
    """Each checker detects its fault in a run of real processes and names the faulty node."""
    status, printed, events = runs[run]
    assert status in (1, 3), printed
    broken = check(events)[DETECTED_BY[kind]]
    if not broken and "not counted: the machine was late" in printed:
        broken = check_late_run(events)[DETECTED_BY[kind]]
    # Some kinds are not reported by name: "slander" shows in the nodes that believe the claims, "pile" in no
    # single node, and "hasty" and "pushy" run on every node.
    assert broken and (
        kind in ("slander", "pile", "hasty", "pushy") or any(node in str(b) for b in broken)
    ), printed


def pids_of(file):
    """Return the process ids of the nodes in a history."""
    try:
        lines = file.read_text().splitlines()
    except FileNotFoundError:
        return []
    events = [json.loads(line) for line in lines if line.endswith("}")]
    return [e["pid"] for e in events if e["event"] == "process" and e["what"] == "start"]


def alive(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


def wait_for(condition):
    end = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, "the condition did not become true in time"
        time.sleep(0.02)


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGKILL])
def test_no_process_outlives_an_interrupted_or_killed_lab(tmp_path, how):
    """Nodes that outlived a killed lab would keep their ports and disturb later runs."""
    lab = start(tmp_path, "x", SHORT_PLAN + 'earlier = "HEAD"\n' + faulty_nodes({"n1": "earlier"}))
    history = tmp_path / "x" / "history.jsonl"
    wait_for(lambda: history.exists() and '"event":"go"' in history.read_text())
    pids = pids_of(history)
    assert len(pids) == 5 and all(map(alive, pids))
    folders = [os.path.basename(os.readlink(f"/proc/{pid}/cwd")) for pid in pids]
    assert [folder == "earlier" for folder in folders] == [False, True, False, False, False]
    os.kill(lab.pid, how)
    assert lab.wait(TIMEOUT_S) == (130 if how == signal.SIGINT else -signal.SIGKILL)
    wait_for(lambda: not any(map(alive, pids)))
    events = read(str(history))
    assert (events[-1]["event"] == "end") is (how == signal.SIGINT)
    lab.stdout.close()


@pytest.mark.parametrize(
    ("kind", "word", "statuses", "broken"),
    [
        ("unready", "n1: not ready after 3 s", (1,), set()),
        # Status 3: the machine was too late; the verdicts still hold.
        (
            "flood",
            "n1: floods its log",
            (1, 3),
            {"logs", "processes"},
        ),
    ],
)
def test_node_that_prevents_the_start_is_reported_by_name(tmp_path, kind, word, statuses, broken):
    lab = start(tmp_path, "x", SHORT_PLAN + "ready_s = 3.0\n" + faulty_nodes({"n1": kind}), "--nodes", "3")
    printed, _ = lab.communicate(timeout=TIMEOUT_S)
    assert lab.returncode in statuses and word in printed
    verdicts = check(read(str(tmp_path / "x" / "history.jsonl")))
    assert all(any("n1" in str(violation) for violation in verdicts[name]) for name in broken)
    assert not any(map(alive, pids_of(tmp_path / "x" / "history.jsonl")))


def test_show_and_check_read_a_kept_history(runs, tmp_path):
    file = tmp_path / "h.jsonl"
    file.write_text("".join(json.dumps(e) + "\n" for e in runs["a"][2]))
    picture = tmp_path / "p.png"
    for words, status in ((["check", str(file)], 1), (["show", str(file), "--plot", str(picture)], 0)):
        done = subprocess.run(
            [sys.executable, "-m", "workbench", "lab", *words],
            capture_output=True,
            text=True,
            timeout=120,
        )
        assert done.returncode == status, done.stderr
        assert "answers" in done.stdout and "BROKEN" in done.stdout
    assert picture.stat().st_size > 10_000


# ---- load and emulate -------------------------------------------------------------------------------------


def test_node_started_by_hand_serves_load_from_emulate(tmp_path):
    """A node can be run by hand between emulated servers and discovery, and a load generator."""
    command = [sys.executable, "-u", "-m", "workbench"]
    words = ["emulate", "lab", "--seconds", "80", "--set", "nodes.count=1"]
    with subprocess.Popen([*command, *words], stdout=subprocess.PIPE, text=True) as servers:
        line = servers.stdout.readline()
        name, _, path = line.split(" ")[0].partition("=")
        assert name == "LB_CONFIG" and "servers answer on" in servers.stdout.readline()
        config = json.loads(Path(path).read_text())
        node = subprocess.Popen(
            [sys.executable, "-m", "balancer"], env=os.environ | {name: path}, stderr=subprocess.DEVNULL
        )
        try:
            load = ["load", config["listen"], "--rate", "100", "--seconds", "1"]
            load += ["--class", "tile-get:safe:0.7:2000", "--class", "alert-set:keyed:0.3:2000"]
            seen = []

            def served():
                done = subprocess.run([*command, *load], capture_output=True, text=True, timeout=60)
                seen[:] = [done.stdout]
                return done.returncode == 0

            wait_for(served)
            assert "tile-get" in seen[0] and "alert-set" in seen[0] and "p99.9 ms" in seen[0]
        finally:
            node.kill()
            node.wait()
            servers.send_signal(signal.SIGINT)
        assert "attempts came to the servers" in servers.communicate(timeout=TIMEOUT_S)[0]
        assert servers.returncode == 0 and not Path(path).exists()


@pytest.mark.parametrize(
    ("words", "line"),
    [
        (["load", "http://10.0.0.1:80"], "must be http://127.x.y.z:port, since load stays on this machine"),
        (["load", "127.0.0.1:1", "--class", "a:odd"], "must be NAME:"),
        (["load", "127.0.0.1:1", "--class", "a:safe:x"], "share and budget must be numbers"),
        (["emulate", "trouble"], "3 tiers, discovery push: must be one tier and push"),
        (["lab", "run", "nowhere"], "nowhere: no such file: shipped are by-hand, by-zone, calm"),
        (["lab", "run", "calm", "--keep", "/dev/null/x"], "/dev/null/x: cannot be made: Not a directory"),
        (["fleet", "replace", "begin", "nowhere"], "nowhere: not an address of the form host:port"),
        (["fleet", "replace", "pause", "127.0.0.1:1"], "127.0.0.1:1: [Errno 111] Connection refused"),
        (["fleet", "hold", "x" * 65, "--node", "127.0.0.1:1", "true"], "a lease's name has 1 to 64"),
        (["lab", "check", "/nowhere/h"], "/nowhere/h: cannot be read: No such file or directory"),
    ],
)
def test_invalid_input_is_reported_in_one_line(words, line):
    done = subprocess.run(
        [sys.executable, "-m", "workbench", *words], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 2 and line in done.stderr and done.stderr.count("\n") == 1
