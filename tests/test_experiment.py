"""Experiments: plans checked whole, stores that survive, comparisons by a stated rule."""

import json
import os
import signal
import sqlite3
import subprocess
import sys
import threading

import msgspec
import numpy as np
import pytest

from workbench.baselines.revisions import RevisionError, load_policy_factory
from workbench.experiment import runner
from workbench.experiment.compare import compare
from workbench.experiment.plan import PlanError, list_tasks, parse_plan
from workbench.experiment.runner import PARENT_GONE, TaskResult, run_plan, run_task
from workbench.experiment.statistics import bootstrap_interval, holm_correction, sign_flip_p_value
from workbench.experiment.store import MIGRATIONS, Row, Store, StoreError

TINY = {"length_s": 2, "servers": 2}
TABLE = {
    "scenarios": ["quiet"],
    "seeds": 3,
    "set": TINY,
    "variant": [{"name": "a"}, {"name": "b", "policy": "random"}],
}


@pytest.mark.parametrize(
    ("change", "line"),
    [
        ({"scenarios": []}, "scenarios: []: must hold at least one"),
        ({"scenarios": ["nope"]}, "nope: no such file"),
        ({"seeds": 0}, "seeds: 0: must be at least 1"),
        ({"sedes": 1}, "sedes: unknown key: nearest is seeds"),
        ({"variant": [{"name": "a"}, {"name": "a"}]}, "variant[1].name: 'a': must be another"),
        ({"variant": [{"name": "a", "policy": "best"}]}, "variant[0].policy: 'best': must be one of"),
        ({"variant": [{"name": "a", "constants": {"CUT": 4}}]}, "variant[0]: policy.CUT: no such constant"),
        ({"variant": [{"name": "a", "revision": "nowhere"}]}, "variant[0]: git:nowhere: no such revision"),
        ({"variant": [{"name": "a", "policy": "random", "constants": {"X": 1}}]}, "variant[0].policy: '"),
        ({"variant": [{"name": "a", "set": {"load.x": 1}}]}, "quiet with --set: load.x: unknown key"),
        ({"grid": {"nodes.count": []}}, "grid.nodes.count: []: must hold at least one value"),
        ({"grid": {"nodes.count": [{}]}}, "grid.nodes.count[0]: {}: must be a number, text, true or false"),
    ],
)  # fmt: skip
def test_a_plans_faults_are_named(change, line):
    with pytest.raises(PlanError) as e:
        parse_plan({**TABLE, **change})
    assert str(e.value).startswith(f"plan: {line}")


def test_a_grid_makes_scenarios_and_seeds_come_in_pairs():
    plan = parse_plan({**TABLE, "grid": {"nodes.count": [1, 2], "load.shape": ["steady"]}})
    made = list_tasks(plan)
    assert len(made) == 2 * 2 * 3 and [t.seed for t in made] == sorted(t.seed for t in made)
    assert {t.scenario for t in made} == {f"quiet[nodes.count={n},load.shape=steady]" for n in (1, 2)}
    assert made[0].draw_scenario().nodes.count == 1 and len({t.key for t in made}) == len(made)


def test_constants_and_revisions_are_loaded_beside_todays_module():
    from balancer.policy import request_lifecycle as today

    load_policy_factory("", (("ATTEMPT_TIMEOUT_FACTOR", 4.0),))
    assert today.ATTEMPT_TIMEOUT_FACTOR == 8
    (task,) = list_tasks(
        parse_plan({**TABLE, "seeds": 1, "variant": [{"name": "a", "revision": "git:5fc5af5"}]})
    )
    result, error = run_task(task)
    assert error is None and result["made"]["module"].startswith("5fc5af5")
    assert "--revision 5fc5af5" in task.command()
    with pytest.raises(RevisionError):
        load_policy_factory("", (("WINDOW_NONE", 1.0),))


def rows(goals_a, goals_b, scenario="s", broken=0):
    task = list_tasks(parse_plan(TABLE))[0]
    out = []
    for variant, goals in (("a", goals_a), ("b", goals_b)):
        for seed, goal in enumerate(goals):
            out.append(Row(scenario, variant, seed, "", goal, broken, [], None, task))
    return out


@pytest.mark.parametrize(
    ("shift", "noise", "pairs", "verdict"),
    [
        (0.02, 0.005, 12, "better"),
        (-0.02, 0.005, 12, "worse"),
        (0.0, 0.02, 30, "not told apart"),
        (0.02, 0.005, 4, "not told apart"),  # too few
        (0.0, 0.0, 12, "not told apart"),  # the same throughout
    ],
)
def test_the_verdict_follows_the_rule(shift, noise, pairs, verdict):
    rng = np.random.default_rng(3)
    base = rng.uniform(0.3, 0.9, pairs)  # the spread between days is far wider than the difference
    found = compare(rows(base, base + shift + noise * rng.standard_normal(pairs)), "a", "b")
    assert found.overall.verdict == found.scenarios[0].verdict == verdict
    assert {"difference", "low", "high", "pairs", "verdict"} <= set(msgspec.to_builtins(found)["all"])
    assert found.overall.low <= found.overall.difference <= found.overall.high


def test_statistics_by_known_values():
    assert holm_correction([0.01, 0.04, 0.03]) == pytest.approx([0.03, 0.06, 0.06])
    assert sign_flip_p_value([np.array([0.1] * 5)]) == 2 / 32  # all signs alike, by both tails
    assert sign_flip_p_value([np.zeros(4)]) == 1.0
    low, high = bootstrap_interval(np.arange(100.0))
    assert low == pytest.approx(49.5 - 1.96 * 2.9, abs=0.5) and high == pytest.approx(
        49.5 + 1.96 * 2.9, abs=0.5
    )
    # Each scenario weighs alike, however many seeds it has.
    both = rows([0.5] * 10, [0.6] * 10, "many") + rows([0.5] * 5, [0.5] * 5, "few")
    assert compare(both, "a", "b").overall.difference == pytest.approx(0.05)


def count(path):
    with sqlite3.connect(path) as db:
        return db.execute(
            "SELECT count(*), count(DISTINCT scenario || variant || seed || digest) FROM runs"
        ).fetchone()


PLAN_TEXT = """
scenarios = ["quiet"]
seeds = 12
set = { length_s = 4, servers = 2 }
[[variant]]
name = "a"
"""


def start(tmp_path):
    (tmp_path / "p.toml").write_text(PLAN_TEXT)
    args = [sys.executable, "-m", "workbench", "experiment", "run", str(tmp_path / "p.toml")]
    args += ["--store", str(tmp_path), "--jobs", "2"]
    return subprocess.Popen(args, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def test_killed_at_any_moment_it_is_resumed_and_workers_end_with_it(tmp_path):
    path = tmp_path / "p.sqlite"
    first = start(tmp_path)
    while not path.exists() or not has_rows(path):
        assert first.poll() is None, first.communicate()
    os.kill(first.pid, signal.SIGKILL)
    first.communicate(timeout=60)  # returns once every worker has let go of its output: none is left behind
    kept, _ = count(path)
    second = start(tmp_path)
    out, err = second.communicate(timeout=120)
    assert second.returncode == 0, err
    assert 0 < kept < 12 and f"{12 - kept} runs made, 0 failed, {kept} kept" in out
    assert count(path) == (12, 12)


def test_a_worker_whose_parent_died_before_it_began_ends_at_once():
    """Failure prevented: a signal asked for at the parent's death never comes where that is over already."""
    no_parent = "0"  # the id of none of this machine's processes
    begin = "import sys; from workbench.experiment.runner import begin_worker; begin_worker(int(sys.argv[1]))"
    wait_for_ever = "; import threading; threading.Event().wait()"
    worker = subprocess.run([sys.executable, "-c", begin + wait_for_ever, no_parent], timeout=60)
    assert worker.returncode == PARENT_GONE


def has_rows(path):
    try:
        return count(path)[0] > 0
    except sqlite3.Error:  # not made yet, or being made
        return False


def test_two_at_once_on_one_store_do_not_spoil_it(tmp_path):
    both = [start(tmp_path), start(tmp_path)]
    outs = [p.communicate(timeout=120) for p in both]
    assert [p.returncode for p in both] == [0, 0], outs
    assert count(tmp_path / "p.sqlite") == (12, 12)


def test_a_run_that_raises_is_kept_as_failed_and_the_rest_goes_on(tmp_path, monkeypatch):
    def task(t):
        return TaskResult(None, "Traceback: boom") if t.seed == 2 else run_task(t)

    class Here:
        """A pool whose workers are this thread."""

        def __init__(self, *args):
            self._processes = {}

        def __enter__(self):
            return self

        def __exit__(self, *args):
            return None

        def submit(self, call, t):
            future = runner.Future()
            future.set_result(task(t))
            return future

    monkeypatch.setattr(runner, "ProcessPoolExecutor", Here)
    store = Store(tmp_path / "s.sqlite")
    plan = parse_plan(TABLE)
    out = run_plan(plan, store, 1)
    assert (out.completed, out.failed) == (6, 2)
    failed = [r for r in store.rows() if r.error]
    assert {(r.seed, r.error) for r in failed} == {(2, "Traceback: boom")}
    assert compare(store.rows(), "a", "b").failed_runs[0].seed == 2
    again = run_plan(plan, store, 1)  # a failed run is tried again
    assert (again.completed, again.already_stored) == (2, 4)
    until = run_plan(plan, store, 1, target_width=1.0)
    assert until.completed > 0 and len({r.seed for r in store.rows()}) >= runner.MIN_PAIRS


def test_a_store_that_cannot_be_used_is_one_line(tmp_path):
    broken = tmp_path / "broken.sqlite"
    broken.write_bytes(b"SQLite format 3\x00" + os.urandom(5000))
    newer = tmp_path / "newer.sqlite"
    with sqlite3.connect(newer) as db:
        db.execute(f"PRAGMA user_version = {len(MIGRATIONS) + 1}")
    for path, write in ((broken, True), (newer, True), (tmp_path / "none.sqlite", False), (tmp_path, True)):
        with pytest.raises(StoreError) as e:
            Store(path, write)
        assert str(e.value).startswith(str(path)) and "\n" not in str(e.value)


def test_a_full_disk_is_one_line_and_what_was_put_stays(tmp_path):
    store = Store(tmp_path / "s.sqlite")
    first, second = list_tasks(parse_plan(TABLE))[:2]
    result, _ = run_task(first)
    store.put(first, result)
    store.db.execute("PRAGMA max_page_count = 1")  # as a disk without room
    with pytest.raises(StoreError, match="full"):
        store.put(second, {**result, "padding": os.urandom(100_000).hex()})
    store.close()
    again = Store(tmp_path / "s.sqlite")
    assert [r.task for r in again.rows()] == [first] and again.result(first) == json.loads(json.dumps(result))


def test_an_older_store_is_brought_up_to_date(tmp_path):
    path = tmp_path / "old.sqlite"
    with sqlite3.connect(path) as db:
        db.execute(MIGRATIONS[0])
        db.execute("PRAGMA user_version = 1")
    stores = []
    threads = [threading.Thread(target=lambda: stores.append(Store(path))) for _ in range(3)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    with sqlite3.connect(path) as db:
        assert db.execute("PRAGMA user_version").fetchone() == (len(MIGRATIONS),)
    assert len(stores) == 3


def test_a_report_is_one_page_with_its_numbers_beside_it(tmp_path):
    from workbench.report.page import report, write

    store = Store(tmp_path / "s.sqlite")
    plan = parse_plan({**TABLE, "seeds": 2, "grid": {"nodes.count": [1, 2, 3]}})
    for task in list_tasks(plan):
        store.put(task, *run_task(task))
    write(report(store, "workbench experiment report <s>"), tmp_path / "out")
    page = (tmp_path / "out" / "index.html").read_text()
    assert page.count("data:image/png;base64,") >= 6 and "http" not in page and "&lt;s&gt;" in page
    assert page.count("<figcaption>") == page.count("<img") and "Goal over nodes.count" in page
    runs = (tmp_path / "out" / "runs.csv").read_text().splitlines()
    assert len(runs) == 1 + 12 and runs[0].startswith("scenario,variant,seed,goal")
    numbers = json.loads((tmp_path / "out" / "report.json").read_text())
    assert numbers["comparisons"][0]["b"] == "b" and len(numbers["runs"]) == 12
