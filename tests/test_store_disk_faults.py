"""Stores of experiments on a disk that fails, fills up or is cut off in the middle."""

import errno
import os
import sqlite3
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from failing_calls import fail_calls, in_child

from workbench.cli import cli
from workbench.cli.errors import InputError
from workbench.experiment.plan import list_tasks, parse_plan
from workbench.experiment.store import Store, StoreError
from workbench.experiment.task import Task

TASKS = list_tasks(parse_plan({"scenarios": ["quiet"], "seeds": 6, "variant": [{"name": "a"}]}))
SYNCS = ("fsync", "fdatasync")
STORED = "stored"


def result_of(task: Task) -> dict[str, Any]:
    """A run's result of several pages."""
    padding = os.urandom(9000).hex()
    return {"goal": 0.5, "rules": {}, "account": {"lost": []}, "made": {}, "seed": task.seed} | {
        "padding": padding
    }


RESULTS = {task.key: result_of(task) for task in TASKS}


def put(store: Store, *chosen: Task) -> None:
    for task in chosen:
        store.put(task, RESULTS[task.key])


def assert_whole(path: Path) -> list[int]:
    """Every run that the store tells of is whole. Their seeds."""
    store = Store(path)
    rows = store.rows()
    assert {row.task.key for row in rows} == store.completed_keys()
    for row in rows:
        assert store.result(row.task) == RESULTS[row.task.key]
    store.close()
    return [row.seed for row in rows]


def assert_resumes(path: Path) -> None:
    store = Store(path)
    put(store, *TASKS)
    store.close()
    assert assert_whole(path) == [task.seed for task in TASKS]


def message_of(path: Path, use: Callable[[], object]) -> str:
    """What came of a use of the store: STORED, or the one line of its error."""
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
    (SYNCS, errno.EIO),
    (SYNCS, errno.ENOSPC),
    (("ftruncate",), errno.ENOSPC),
    (("openat",), errno.EMFILE),
    (("openat",), errno.EIO),
]
ALWAYS_USED = ("pwrite64", "fsync")


@pytest.mark.parametrize(("calls", "error"), WRITE_FAULTS)
@pytest.mark.parametrize("stage", ["make", "open", "put"])
def test_a_store_on_a_failing_disk_says_so_and_loses_nothing(
    tmp_path: Path, stage: str, calls: tuple[str, ...], error: int
) -> None:
    """Failure prevented: a run that is said to be stored has not reached the disk."""
    path = tmp_path / "s.sqlite"
    if stage != "make":
        store = Store(path)
        put(store, *TASKS[:2])
        store.close()

    def use() -> str:
        if stage == "put":
            store = Store(path)
            fail_calls(calls, error)
            return message_of(path, lambda: put(store, TASKS[2]))
        fail_calls(calls, error)
        return message_of(path, lambda: put(Store(path), TASKS[2]))

    said = in_child(use)
    assert said == STORED or said.startswith(f"{path}: "), said
    if calls[0] in ALWAYS_USED:
        assert said != STORED
    seeds = assert_whole(path)
    committed = [] if stage == "make" else [1, 2]
    assert seeds[: len(committed)] == committed and set(seeds) <= {*committed, 3}
    assert 3 in seeds or said != STORED
    assert_resumes(path)


@pytest.mark.parametrize("use", ["rows", "completed_keys", "result"])
def test_a_store_that_cannot_be_read_is_one_line(tmp_path: Path, use: str) -> None:
    """Failure prevented: a traceback, or what could be read of a store, taken for the whole."""
    path = tmp_path / "s.sqlite"
    store = Store(path)
    put(store, *TASKS)
    store.close()

    def read() -> str:
        store = Store(path, write=False)
        store.db.execute("PRAGMA cache_size = 1")
        fail_calls(("pread64",), errno.EIO)
        return message_of(path, lambda: store.result(TASKS[0]) if use == "result" else getattr(store, use)())

    # SQLite reports EIO of a read as damage of the file system
    assert in_child(read) in (f"{path}: disk I/O error", f"{path}: database disk image is malformed")


def test_what_a_failed_sync_has_left_is_written_anew_before_more_is_stored(tmp_path: Path) -> None:
    """Failure prevented: pages that never reached the disk stand in the log before those of later runs."""
    path = tmp_path / "s.sqlite"
    store = Store(path)
    put(store, TASKS[0])
    store.close()

    def use() -> str:
        store = Store(path)
        put(store, TASKS[1])
        fail_calls(SYNCS, errno.EIO)
        return message_of(path, lambda: put(store, TASKS[2]))

    assert in_child(use) == f"{path}: disk I/O error"
    again = Store(path)
    seeds = [row.seed for row in again.rows()]
    (alone := tmp_path / "alone.sqlite").write_bytes(path.read_bytes())  # without its log
    again.close()
    assert seeds[:2] == [1, 2] and assert_whole(alone) == seeds


def stopped_store(folder: Path) -> tuple[bytes, bytes]:
    """The file and the log of a store whose process was killed after the last run."""
    path = folder / "stopped.sqlite"

    def use() -> str:
        store = Store(path)
        put(store, *TASKS)
        return STORED

    assert in_child(use) == STORED
    return path.read_bytes(), path.with_name("stopped.sqlite-wal").read_bytes()


def cut_lengths(length: int) -> list[int]:
    """Places about the pages and frames of a file."""
    places = {0, 1, 16, 31, 32, length - 1}
    for page in range(0, length, 4096 + 24):
        places |= {page, page + 32, page + 33, page + 32 + 24, page + 2048}
    return sorted(place for place in places if 0 <= place < length)


@pytest.mark.parametrize("rest", ["missing", "zeros"])
def test_a_log_that_was_cut_anywhere_gives_the_runs_before_the_cut(tmp_path: Path, rest: str) -> None:
    """A kill or a loss of power leaves the end of the log unwritten: each run is whole or not there."""
    body, log = stopped_store(tmp_path)
    seen = set()
    for cut in cut_lengths(len(log)):
        path = tmp_path / f"{cut}.sqlite"
        path.write_bytes(body)
        tail = b"" if rest == "missing" else bytes(len(log) - cut)
        path.with_name(f"{cut}.sqlite-wal").write_bytes(log[:cut] + tail)
        seeds = assert_whole(path)
        assert seeds == [task.seed for task in TASKS][: len(seeds)]
        seen.add(len(seeds))
    assert seen >= {0, 1, 3, 5}
    assert_resumes(path)


def test_a_file_that_was_cut_anywhere_is_damaged_or_empty(tmp_path: Path) -> None:
    """Failure prevented: the runs in the first half of a copy are compared as if they were all."""
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
    for cut in (0, 1):  # to SQLite a file that nobody has written to yet
        path.write_bytes(body[:cut])
        assert Store(path, write=False).rows() == []


@pytest.mark.parametrize(
    ("damage", "words"),
    [
        ("task = '{'", ["compare", "a", "a"]),
        ("lost = 'x'", ["compare", "a", "a"]),
        ("result = substr(result, 1, length(result) - 9)", ["report", "-o"]),
        ("result = x'00'", ["report", "-o"]),
    ],
)
def test_a_row_that_is_not_whole_ends_a_command_with_one_line(
    tmp_path: Path, damage: str, words: list[str]
) -> None:
    path = tmp_path / "s.sqlite"
    store = Store(path)
    put(store, *TASKS[:1])
    store.close()
    with sqlite3.connect(path) as db:
        db.execute(f"UPDATE runs SET {damage}")
    words = ["experiment", words[0], str(path), *words[1:]]
    with pytest.raises(InputError, match="s.sqlite: ") as e:
        cli.main([*words, *([str(tmp_path / "out")] if words[-1] == "-o" else [])], standalone_mode=False)
    assert "\n" not in str(e.value) and not (tmp_path / "out").exists()


PLAN_TEXT = """
scenarios = ["quiet"]
seeds = 3
set = { length_s = 2, servers = 2 }
[[variant]]
name = "a"
"""
WHOLE_RUNS = 1
FAILING_RUN = f"""
import sys
from failing_calls import fail_calls
from workbench.cli import main
from workbench.experiment.store import Store

whole_put, puts = Store.put, []

def put(store, *args):
    puts.append(args)
    if len(puts) == {WHOLE_RUNS} + 1:
        fail_calls(calls, error)
    whole_put(store, *args)

if __name__ == "__main__":  # workers are started from this file too
    calls, error = sys.argv.pop(1).split(","), int(sys.argv.pop(1))
    Store.put = put
    main()
"""


def run_experiment(folder: Path, *program: str) -> subprocess.Popen[str]:
    words = ["experiment", "run", str(folder / "p.toml"), "--store", str(folder), "--jobs", "1"]
    tests = Path(__file__).parent
    env = os.environ | {"PYTHONPATH": os.pathsep.join([str(tests.parent), str(tests)])}
    env |= {"OPENBLAS_NUM_THREADS": "1"}  # the runs need none, and starting them costs a process more
    return subprocess.Popen(
        [sys.executable, *program, *words], env=env, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )


def test_an_experiment_whose_disk_fails_ends_with_one_line_and_is_resumed(tmp_path: Path) -> None:
    faults = {"full": ("pwrite64", errno.ENOSPC), "sync": (",".join(SYNCS), errno.EIO)}
    (tmp_path / "failing.py").write_text(FAILING_RUN)
    runs = {}
    for name, (calls, error) in faults.items():
        (tmp_path / name).mkdir()
        (tmp_path / name / "p.toml").write_text(PLAN_TEXT)
        runs[name] = run_experiment(tmp_path / name, str(tmp_path / "failing.py"), calls, str(error))
    said = {name: process.communicate(timeout=60) for name, process in runs.items()}
    again = {}
    for name, process in runs.items():
        path = tmp_path / name / "p.sqlite"
        out, err = said[name]
        assert process.returncode == 2 and out == "", (out, err)
        assert err.startswith(f"{path}: ") and err.count("\n") == 1
        with sqlite3.connect(path) as db:
            (kept,) = db.execute("SELECT count(*) FROM runs").fetchone()
        assert kept in ((WHOLE_RUNS, WHOLE_RUNS + 1) if name == "sync" else (WHOLE_RUNS,))
        again[name] = kept, run_experiment(tmp_path / name, "-m", "workbench")
    for kept, process in again.values():
        out, err = process.communicate(timeout=60)
        assert process.returncode == 0, err
        assert f"{3 - kept} runs made, 0 failed, {kept} kept from before" in out
