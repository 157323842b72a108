"""Experiments: validation of plans, execution and resumption, the store, and comparisons."""

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
from workbench.experiment.runner import EXIT_PARENT_DIED, TaskResult, run_plan, run_task
from workbench.experiment.statistics import bootstrap_interval, holm_correction, sign_flip_p_value
from workbench.experiment.store import MIGRATIONS, Row, Store, StoreError

SMALL_DAY = {"length_s": 2, "servers": 2}
PLAN_TABLE = {
    "scenarios": ["quiet"],
    "seeds": 3,
    "set": SMALL_DAY,
    "variant": [{"name": "a"}, {"name": "b", "policy": "random"}],
}


@pytest.mark.parametrize(
    ("change", "line"),
    [
        ({"scenarios": []}, "scenarios: []: must hold at least one"),
        ({"scenarios": ["nope"]}, "nope: no such file"),
        ({"seeds": 0}, "seeds: 0: must be at least 1"),
        ({"sedes": 1}, "sedes: unknown key: nearest is seeds"),
        ({"variant": [{"name": "a"}, {"name": "a"}]}, "variant[1].name: 'a': must be unique"),
        ({"variant": [{"name": "a", "policy": "best"}]}, "variant[0].policy: 'best': must be one of"),
        ({"variant": [{"name": "a", "constants": {"CUT": 4}}]}, "variant[0]: policy.CUT: no such constant"),
        ({"variant": [{"name": "a", "revision": "nowhere"}]}, "variant[0]: git:nowhere: no such revision"),
        ({"variant": [{"name": "a", "policy": "random", "constants": {"X": 1}}]}, "variant[0].policy: '"),
        ({"variant": [{"name": "a", "set": {"load.x": 1}}]}, "quiet with --set: load.x: unknown key"),
        ({"grid": {"nodes.count": []}}, "grid.nodes.count: []: must hold at least one value"),
        ({"grid": {"nodes.count": [{}]}}, "grid.nodes.count[0]: {}: must be a number, text, true or false"),
    ],
)  # fmt: skip
def test_parse_plan_names_the_invalid_key(change, line):
    with pytest.raises(PlanError) as e:
        parse_plan({**PLAN_TABLE, **change})
    assert str(e.value).startswith(f"plan: {line}")


def test_list_tasks_expands_the_grid_in_order_of_seed():
    plan = parse_plan({**PLAN_TABLE, "grid": {"nodes.count": [1, 2], "load.shape": ["steady"]}})
    tasks = list_tasks(plan)
    assert len(tasks) == 2 * 2 * 3 and [t.seed for t in tasks] == sorted(t.seed for t in tasks)
    assert {t.scenario for t in tasks} == {f"quiet[nodes.count={n},load.shape=steady]" for n in (1, 2)}
    assert tasks[0].draw_scenario().nodes.count == 1 and len({t.key for t in tasks}) == len(tasks)


def test_policy_revision_leaves_the_imported_module_unchanged():
    from balancer.policy import request_lifecycle as imported_module

    load_policy_factory("", (("ATTEMPT_TIMEOUT_FACTOR", 4.0),))
    assert imported_module.ATTEMPT_TIMEOUT_FACTOR == 8
    (task,) = list_tasks(
        parse_plan({**PLAN_TABLE, "seeds": 1, "variant": [{"name": "a", "revision": "git:5fc5af5"}]})
    )
    result, error = run_task(task)
    assert error is None and result["made"]["module"].startswith("5fc5af5")
    assert "--revision 5fc5af5" in task.command()
    with pytest.raises(RevisionError):
        load_policy_factory("", (("WINDOW_NONE", 1.0),))


def rows(goals_a, goals_b, scenario="s", rule_violations=0):
    """Return runs of the variants a and b with these goals, one for each seed."""
    task = list_tasks(parse_plan(PLAN_TABLE))[0]
    result = []
    for variant, goals in (("a", goals_a), ("b", goals_b)):
        for seed, goal in enumerate(goals):
            result.append(Row(scenario, variant, seed, "", goal, rule_violations, [], None, task))
    return result


@pytest.mark.parametrize(
    ("shift", "noise", "pairs", "verdict"),
    [
        (0.02, 0.005, 12, "better"),
        (-0.02, 0.005, 12, "worse"),
        (0.0, 0.02, 30, "not told apart"),
        (0.02, 0.005, 4, "not told apart"),  # Fewer than `MIN_PAIRS`.
        (0.0, 0.0, 12, "not told apart"),  # All goals are equal.
    ],
)
def test_compare_verdict_follows_the_decision_rule(shift, noise, pairs, verdict):
    rng = np.random.default_rng(3)
    # The spread between days is far wider than the difference between the variants.
    base = rng.uniform(0.3, 0.9, pairs)
    comparison = compare(rows(base, base + shift + noise * rng.standard_normal(pairs)), "a", "b")
    assert comparison.overall.verdict == comparison.scenarios[0].verdict == verdict
    assert {"difference", "low", "high", "pairs", "verdict"} <= set(msgspec.to_builtins(comparison)["all"])
    assert comparison.overall.low <= comparison.overall.difference <= comparison.overall.high


def test_statistics_match_known_values():
    assert holm_correction([0.01, 0.04, 0.03]) == pytest.approx([0.03, 0.06, 0.06])
    # Two of the 32 sign assignments, all plus and all minus, are as extreme as equal differences.
    assert sign_flip_p_value([np.array([0.1] * 5)]) == 2 / 32
    assert sign_flip_p_value([np.zeros(4)]) == 1.0
    low, high = bootstrap_interval(np.arange(100.0))
    assert low == pytest.approx(49.5 - 1.96 * 2.9, abs=0.5) and high == pytest.approx(
        49.5 + 1.96 * 2.9, abs=0.5
    )
    # All scenarios have the same weight, regardless of their number of seeds.
    both = rows([0.5] * 10, [0.6] * 10, "many") + rows([0.5] * 5, [0.5] * 5, "few")
    assert compare(both, "a", "b").overall.difference == pytest.approx(0.05)


def count_runs(path):
    """Return the number of stored runs and the number of distinct ones."""
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


def start_experiment(tmp_path):
    """Start an experiment of 12 runs in a separate process."""
    (tmp_path / "p.toml").write_text(PLAN_TEXT)
    args = [sys.executable, "-m", "workbench", "experiment", "run", str(tmp_path / "p.toml")]
    args += ["--store", str(tmp_path), "--jobs", "2"]
    return subprocess.Popen(args, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def test_killed_run_leaves_no_workers_and_is_resumed(tmp_path):
    path = tmp_path / "p.sqlite"
    first = start_experiment(tmp_path)
    while not path.exists() or not has_rows(path):
        assert first.poll() is None, first.communicate()
    os.kill(first.pid, signal.SIGKILL)
    # This returns when every worker has closed its inherited output, so no worker is left running.
    first.communicate(timeout=60)
    kept, _ = count_runs(path)
    second = start_experiment(tmp_path)
    out, err = second.communicate(timeout=120)
    assert second.returncode == 0, err
    assert 0 < kept < 12 and f"{12 - kept} runs made, 0 failed, {kept} kept" in out
    assert count_runs(path) == (12, 12)


def test_worker_exits_when_its_parent_died_before_startup():
    """The death signal is not sent if the parent is already dead, so the worker compares the parent's id."""
    # No process has this id.
    dead_parent = "0"
    initialize = (
        "import sys; from workbench.experiment.runner import initialize_worker;"
        " initialize_worker(int(sys.argv[1]))"
    )
    wait_forever = "; import threading; threading.Event().wait()"
    worker = subprocess.run([sys.executable, "-c", initialize + wait_forever, dead_parent], timeout=60)
    assert worker.returncode == EXIT_PARENT_DIED


def has_rows(path):
    try:
        return count_runs(path)[0] > 0
    except sqlite3.Error:
        # The table does not exist yet, or is being created.
        return False


def test_two_concurrent_runs_share_one_store(tmp_path):
    processes = [start_experiment(tmp_path), start_experiment(tmp_path)]
    outputs = [p.communicate(timeout=120) for p in processes]
    assert [p.returncode for p in processes] == [0, 0], outputs
    assert count_runs(tmp_path / "p.sqlite") == (12, 12)


def test_failed_run_is_stored_and_retried(tmp_path, monkeypatch):
    def run_or_fail(t):
        return TaskResult(None, "Traceback: boom") if t.seed == 2 else run_task(t)

    class InlineExecutor:
        """A process pool that runs each task in the submitting thread."""

        def __init__(self, *args):
            self._processes = {}

        def __enter__(self):
            return self

        def __exit__(self, *args):
            return None

        def submit(self, call, t):
            future = runner.Future()
            future.set_result(run_or_fail(t))
            return future

    monkeypatch.setattr(runner, "ProcessPoolExecutor", InlineExecutor)
    store = Store(tmp_path / "s.sqlite")
    plan = parse_plan(PLAN_TABLE)
    first = run_plan(plan, store, 1)
    assert (first.completed, first.failed) == (6, 2)
    failed = [r for r in store.rows() if r.error]
    assert {(r.seed, r.error) for r in failed} == {(2, "Traceback: boom")}
    assert compare(store.rows(), "a", "b").failed_runs[0].seed == 2
    second = run_plan(plan, store, 1)
    assert (second.completed, second.already_stored) == (2, 4)
    extended = run_plan(plan, store, 1, target_width=1.0)
    assert extended.completed > 0 and len({r.seed for r in store.rows()}) >= runner.MIN_PAIRS


def test_unusable_store_raises_one_line_error(tmp_path):
    corrupt = tmp_path / "broken.sqlite"
    corrupt.write_bytes(b"SQLite format 3\x00" + os.urandom(5000))
    newer = tmp_path / "newer.sqlite"
    with sqlite3.connect(newer) as db:
        db.execute(f"PRAGMA user_version = {len(MIGRATIONS) + 1}")
    for path, write in ((corrupt, True), (newer, True), (tmp_path / "none.sqlite", False), (tmp_path, True)):
        with pytest.raises(StoreError) as e:
            Store(path, write)
        assert str(e.value).startswith(str(path)) and "\n" not in str(e.value)


def test_full_disk_raises_one_line_and_keeps_stored_runs(tmp_path):
    store = Store(tmp_path / "s.sqlite")
    first, second = list_tasks(parse_plan(PLAN_TABLE))[:2]
    result, _ = run_task(first)
    store.put(first, result)
    # SQLite then reports that the database is full, as on a full disk.
    store.db.execute("PRAGMA max_page_count = 1")
    with pytest.raises(StoreError, match="full"):
        store.put(second, {**result, "padding": os.urandom(100_000).hex()})
    store.close()
    reopened = Store(tmp_path / "s.sqlite")
    assert [r.task for r in reopened.rows()] == [first] and reopened.result(first) == json.loads(
        json.dumps(result)
    )


def test_concurrent_opens_migrate_an_older_store(tmp_path):
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


def test_report_is_a_self_contained_page_with_csv_and_json(tmp_path):
    from workbench.report.page import build_report, write_report

    store = Store(tmp_path / "s.sqlite")
    plan = parse_plan({**PLAN_TABLE, "seeds": 2, "grid": {"nodes.count": [1, 2, 3]}})
    for task in list_tasks(plan):
        store.put(task, *run_task(task))
    write_report(build_report(store, "workbench experiment report <s>"), tmp_path / "out")
    page = (tmp_path / "out" / "index.html").read_text()
    assert page.count("data:image/png;base64,") >= 6 and "http" not in page and "&lt;s&gt;" in page
    assert page.count("<figcaption>") == page.count("<img") and "Goal over nodes.count" in page
    runs = (tmp_path / "out" / "runs.csv").read_text().splitlines()
    assert len(runs) == 1 + 12 and runs[0].startswith("scenario,variant,seed,goal")
    numbers = json.loads((tmp_path / "out" / "report.json").read_text())
    assert numbers["comparisons"][0]["b"] == "b" and len(numbers["runs"]) == 12
