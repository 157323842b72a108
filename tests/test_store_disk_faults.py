"""The store of experiments on a disk that fails or fills up, and with truncated or corrupt files."""

import errno
import os
import sqlite3
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from failing_calls import fail_calls, run_in_child

from workbench.cli import cli
from workbench.cli.errors import InputError
from workbench.experiment.plan import list_tasks, parse_plan
from workbench.experiment.store import Store, StoreError
from workbench.experiment.task import Task

TASKS = list_tasks(parse_plan({"scenarios": ["quiet"], "seeds": 6, "variant": [{"name": "a"}]}))
SYNC_CALLS = ("fsync", "fdatasync")
STORED = "stored"


def result_of(task: Task) -> dict[str, Any]:
    """Return a result that takes several database pages."""
    padding = os.urandom(9000).hex()
    return {"goal": 0.5, "rules": {}, "account": {"lost": []}, "made": {}, "seed": task.seed} | {
        "padding": padding
    }


RESULTS = {task.key: result_of(task) for task in TASKS}


def put(store: Store, *tasks: Task) -> None:
    for task in tasks:
        store.put(task, RESULTS[task.key])


def assert_complete(path: Path) -> list[int]:
    """Assert that every listed run has its complete result, and return the seeds of the runs."""
    store = Store(path)
    rows = store.rows()
    assert {row.task.key for row in rows} == store.completed_keys()
    for row in rows:
        assert store.result(row.task) == RESULTS[row.task.key]
    store.close()
    return [row.seed for row in rows]


def assert_resumes(path: Path) -> None:
    """Assert that all runs can still be stored."""
    store = Store(path)
    put(store, *TASKS)
    store.close()
    assert assert_complete(path) == [task.seed for task in TASKS]


def outcome_of(path: Path, use: Callable[[], object]) -> str:
    """Call `use`, and return STORED or the one-line message of its error."""
    try:
        use()
    except StoreError as e:
        assert str(e).startswith(f"{path}: ") and "\n" not in str(e)
        return str(e)
    return STORED


WRITE_FAULTS = [
    (("pwrite64",), errno.ENOSPC),
    (("pwrite64",), errno.EIO),
    (("pwrite64",), errno.EDQUOT),
    (SYNC_CALLS, errno.EIO),
    (SYNC_CALLS, errno.ENOSPC),
    (("ftruncate",), errno.ENOSPC),
    (("openat",), errno.EMFILE),
    (("openat",), errno.EIO),
]
ALWAYS_CALLED = ("pwrite64", "fsync")


@pytest.mark.parametrize(("calls", "error"), WRITE_FAULTS)
@pytest.mark.parametrize("stage", ["create", "open", "put"])
def test_failing_disk_raises_and_loses_no_stored_run(
    tmp_path: Path, stage: str, calls: tuple[str, ...], error: int
) -> None:
    """A run is only reported as stored if it is on the disk, and earlier runs survive the failure."""
    path = tmp_path / "s.sqlite"
    if stage != "create":
        store = Store(path)
        put(store, *TASKS[:2])
        store.close()

    def use() -> str:
        if stage == "put":
            store = Store(path)
            fail_calls(calls, error)
            return outcome_of(path, lambda: put(store, TASKS[2]))
        fail_calls(calls, error)
        return outcome_of(path, lambda: put(Store(path), TASKS[2]))

    message = run_in_child(use)
    assert message == STORED or message.startswith(f"{path}: "), message
    if calls[0] in ALWAYS_CALLED:
        assert message != STORED
    seeds = assert_complete(path)
    committed = [] if stage == "create" else [1, 2]
    assert seeds[: len(committed)] == committed and set(seeds) <= {*committed, 3}
    assert 3 in seeds or message != STORED
    assert_resumes(path)


@pytest.mark.parametrize("use", ["rows", "completed_keys", "result"])
def test_unreadable_store_raises_one_line_error(tmp_path: Path, use: str) -> None:
    """A read error is reported in one line; the runs read before it are not returned as if complete."""
    path = tmp_path / "s.sqlite"
    store = Store(path)
    put(store, *TASKS)
    store.close()

    def read() -> str:
        store = Store(path, write=False)
        store.db.execute("PRAGMA cache_size = 1")
        fail_calls(("pread64",), errno.EIO)
        return outcome_of(path, lambda: store.result(TASKS[0]) if use == "result" else getattr(store, use)())

    # SQLite reports a read error as an I/O error or as a malformed database.
    assert run_in_child(read) in (f"{path}: disk I/O error", f"{path}: database disk image is malformed")


def test_open_checkpoints_pages_left_by_a_failed_sync(tmp_path: Path) -> None:
    """Pages that a failed sync left in memory are written again, so later runs do not depend on them."""
    path = tmp_path / "s.sqlite"
    store = Store(path)
    put(store, TASKS[0])
    store.close()

    def use() -> str:
        store = Store(path)
        put(store, TASKS[1])
        fail_calls(SYNC_CALLS, errno.EIO)
        return outcome_of(path, lambda: put(store, TASKS[2]))

    assert run_in_child(use) == f"{path}: disk I/O error"
    reopened = Store(path)
    seeds = [row.seed for row in reopened.rows()]
    (copy_without_log := tmp_path / "alone.sqlite").write_bytes(path.read_bytes())
    reopened.close()
    assert seeds[:2] == [1, 2] and assert_complete(copy_without_log) == seeds


def stopped_store(folder: Path) -> tuple[bytes, bytes]:
    """Return the main file and the write-ahead log of a store whose process ended without closing it."""
    path = folder / "stopped.sqlite"

    def use() -> str:
        store = Store(path)
        put(store, *TASKS)
        return STORED

    assert run_in_child(use) == STORED
    return path.read_bytes(), path.with_name("stopped.sqlite-wal").read_bytes()


def cut_lengths(length: int) -> list[int]:
    """Return lengths at and near the boundaries of a log's headers, frames and pages."""
    lengths = {0, 1, 16, 31, 32, length - 1}
    for page in range(0, length, 4096 + 24):
        lengths |= {page, page + 32, page + 33, page + 32 + 24, page + 2048}
    return sorted(cut for cut in lengths if 0 <= cut < length)


@pytest.mark.parametrize("rest", ["missing", "zeros"])
def test_truncated_write_ahead_log_keeps_runs_before_the_cut(tmp_path: Path, rest: str) -> None:
    """A kill or a power loss leaves the end of the log unwritten; each run is complete or absent."""
    body, log = stopped_store(tmp_path)
    run_counts = set()
    for cut in cut_lengths(len(log)):
        path = tmp_path / f"{cut}.sqlite"
        path.write_bytes(body)
        tail = b"" if rest == "missing" else bytes(len(log) - cut)
        path.with_name(f"{cut}.sqlite-wal").write_bytes(log[:cut] + tail)
        seeds = assert_complete(path)
        assert seeds == [task.seed for task in TASKS][: len(seeds)]
        run_counts.add(len(seeds))
    assert run_counts >= {0, 1, 3, 5}
    assert_resumes(path)


def test_truncated_store_file_is_reported_damaged_or_empty(tmp_path: Path) -> None:
    """A partial copy is rejected; its runs must not be compared as if they were all."""
    path = tmp_path / "s.sqlite"
    store = Store(path)
    put(store, *TASKS)
    store.close()
    body = path.read_bytes()
    for cut in (15, 99, 100, 511, 512, 4095, *range(4096, len(body), 4096)):
        path.write_bytes(body[:cut])
        with pytest.raises(StoreError) as e:
            Store(path, write=False)
        assert str(e.value).startswith(f"{path}: ") and "\n" not in str(e.value)
    # SQLite takes a file of 0 or 1 bytes for a new database.
    for cut in (0, 1):
        path.write_bytes(body[:cut])
        assert Store(path, write=False).rows() == []


@pytest.mark.parametrize(
    ("damage", "arguments"),
    [
        ("task = '{'", ["compare", "a", "a"]),
        ("lost = 'x'", ["compare", "a", "a"]),
        ("result = substr(result, 1, length(result) - 9)", ["report", "-o"]),
        ("result = x'00'", ["report", "-o"]),
    ],
)
def test_corrupt_row_ends_the_command_with_one_line(
    tmp_path: Path, damage: str, arguments: list[str]
) -> None:
    path = tmp_path / "s.sqlite"
    store = Store(path)
    put(store, *TASKS[:1])
    store.close()
    with sqlite3.connect(path) as db:
        db.execute(f"UPDATE runs SET {damage}")
    arguments = ["experiment", arguments[0], str(path), *arguments[1:]]
    with pytest.raises(InputError, match="s.sqlite: ") as e:
        cli.main(
            [*arguments, *([str(tmp_path / "out")] if arguments[-1] == "-o" else [])], standalone_mode=False
        )
    assert "\n" not in str(e.value) and not (tmp_path / "out").exists()


PLAN_TEXT = """
scenarios = ["quiet"]
seeds = 3
set = { length_s = 2, servers = 2 }
[[variant]]
name = "a"
"""
COMPLETE_RUNS = 1
FAILING_RUN = f"""
import sys
from failing_calls import fail_calls
from workbench.cli import main
from workbench.experiment.store import Store

real_put, puts = Store.put, []

def put(store, *args):
    puts.append(args)
    if len(puts) == {COMPLETE_RUNS} + 1:
        fail_calls(calls, error)
    real_put(store, *args)

# Worker processes import this file too.
if __name__ == "__main__":
    calls, error = sys.argv.pop(1).split(","), int(sys.argv.pop(1))
    Store.put = put
    main()
"""


def run_experiment(folder: Path, *program: str) -> subprocess.Popen[str]:
    arguments = ["experiment", "run", str(folder / "p.toml"), "--store", str(folder), "--jobs", "1"]
    tests = Path(__file__).parent
    env = os.environ | {"PYTHONPATH": os.pathsep.join([str(tests.parent), str(tests)])}
    # The runs use no BLAS threads, and starting the threads costs each process more than the run.
    env |= {"OPENBLAS_NUM_THREADS": "1"}
    return subprocess.Popen(
        [sys.executable, *program, *arguments],
        env=env,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_experiment_with_a_failing_disk_exits_and_is_resumed(tmp_path: Path) -> None:
    faults = {"full": ("pwrite64", errno.ENOSPC), "sync": (",".join(SYNC_CALLS), errno.EIO)}
    (tmp_path / "failing.py").write_text(FAILING_RUN)
    runs = {}
    for name, (calls, error) in faults.items():
        (tmp_path / name).mkdir()
        (tmp_path / name / "p.toml").write_text(PLAN_TEXT)
        runs[name] = run_experiment(tmp_path / name, str(tmp_path / "failing.py"), calls, str(error))
    outputs = {name: process.communicate(timeout=60) for name, process in runs.items()}
    resumed = {}
    for name, process in runs.items():
        path = tmp_path / name / "p.sqlite"
        out, err = outputs[name]
        assert process.returncode == 2 and out == "", (out, err)
        assert err.startswith(f"{path}: ") and err.count("\n") == 1
        with sqlite3.connect(path) as db:
            (kept,) = db.execute("SELECT count(*) FROM runs").fetchone()
        assert kept in ((COMPLETE_RUNS, COMPLETE_RUNS + 1) if name == "sync" else (COMPLETE_RUNS,))
        resumed[name] = kept, run_experiment(tmp_path / name, "-m", "workbench")
    for kept, process in resumed.values():
        out, err = process.communicate(timeout=60)
        assert process.returncode == 0, err
        assert f"{3 - kept} runs made, 0 failed, {kept} kept from before" in out
