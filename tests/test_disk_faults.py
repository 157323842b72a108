"""Writes and syncs that fail for a while, and files that a kill has left half done."""

import errno
import fcntl
import os
import sqlite3
import subprocess
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

import pytest
from failing_calls import fail_calls, in_child

from balancer.net.process.handover import FILE_PREFIX, FITS_MARKER, MAX_FAILED_POLLS, Handover
from workbench.cli import cli
from workbench.cli.errors import InputError, write_atomically
from workbench.experiment.plan import list_tasks, parse_plan
from workbench.experiment.store import Store, StoreError
from workbench.experiment.task import Task
from workbench.lab import measure
from workbench.lab import run as lab_run
from workbench.lab.history import History
from workbench.report.page import write

DISK_ERRORS = (errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS, errno.ENFILE)


# ---- hand-overs -----------------------------------------------------------------------------------


class Process:
    """One process's side of the agreement; its looks are taken by hand."""

    def __init__(self, folder) -> None:
        self.shares: list[bool] = []
        self.lines: list[str] = []
        self.roomy = True
        loop = SimpleNamespace(call_later=lambda delay, call: SimpleNamespace(cancel=lambda: None))
        log = SimpleNamespace(line=self.lines.append)
        self.handover = Handover(loop, str(folder), self.shares.append, log)
        self.handover.fits = lambda: self.roomy

    def look(self, times: int = 1) -> None:
        for _ in range(times):
            self.handover.poll()

    def failures(self) -> list[str]:
        """The lines that say that it keeps to half."""
        return [line for line in self.lines if "half of the limits" in line]


@pytest.fixture
def start(tmp_path):
    """Makes processes of one node, and ends them."""
    made: list[Process] = []

    def make() -> Process:
        made.append(Process(tmp_path))
        return made[-1]

    yield make
    for process in made:
        process.handover.close()


def fail(patch, module, name: str, code: int, after: bool = False) -> None:
    """The call fails; `after`: once the kernel has done what was asked for."""
    real = getattr(module, name)

    def failing(*args, **kwargs):
        if after:
            real(*args, **kwargs)
        raise OSError(code, os.strerror(code))

    patch.setattr(module, name, failing)


JOINING = [(os, "open", False), (fcntl, "flock", False), (os, "rename", False), (os, "rename", True)]


@pytest.mark.parametrize("code", DISK_ERRORS)
@pytest.mark.parametrize(("module", "name", "after"), JOINING)
def test_a_process_that_cannot_join_keeps_to_half_until_the_disk_recovers(
    start, tmp_path, monkeypatch, module, name, after, code
):
    """Failure prevented: one full disk at the start, and the node serves with half until its end."""
    process = start()
    with monkeypatch.context() as patch:
        fail(patch, module, name, code, after)
        process.look(10)
        assert process.shares == [True] and process.handover.shared
        assert process.lines == [f"handover: {os.strerror(code)}: this process keeps to half of the limits"]
    process.look(3)
    assert process.shares == [True, False] and process.lines[1:] == ["handover: alone"]
    assert os.listdir(tmp_path) == [process.handover.name]
    second = start()
    second.look()
    process.look()
    assert process.handover.is_older and process.shares[-1] and second.shares == [True]


def test_what_a_failed_join_could_not_remove_does_not_stop_the_next_try(start, tmp_path, monkeypatch):
    """Failure prevented: files heap up in a failing folder, or the leftover's name blocks the next try."""
    process = start()
    with monkeypatch.context() as patch:
        fail(patch, os, "rename", errno.EIO)
        fail(patch, os, "unlink", errno.EIO)
        process.look(10)
        assert os.listdir(tmp_path) == [f"{process.handover.name}.new"]
    process.look()
    assert process.shares == [True, False] and os.listdir(tmp_path) == [process.handover.name]


LOOKING = [(os, "listdir"), (os, "open"), (os, "fstat"), (fcntl, "flock")]


@pytest.mark.parametrize("code", DISK_ERRORS)
@pytest.mark.parametrize(("module", "name"), LOOKING)
@pytest.mark.parametrize("alone", [False, True])
def test_a_process_that_cannot_see_the_others_keeps_to_half(
    start, tmp_path, monkeypatch, module, name, code, alone
):
    """Failure prevented: an error of the folder is read as nobody there, and two take a whole node each."""
    first, second = start(), start()
    first.look()
    if not alone:
        second.look()
        first.look()
    else:  # what another look has to open, and who made it is dead
        (tmp_path / f"{FILE_PREFIX}{9:020d}-dead").write_bytes(b"")
    known = list(first.shares)
    with monkeypatch.context() as patch:
        fail(patch, module, name, code)
        first.look(MAX_FAILED_POLLS - 1)
        assert first.shares == known and not first.failures()  # a moment changes nothing
        first.look(10)
        assert first.shares[-1:] == [True] and len(first.failures()) == 1
        assert first.handover.is_older is not alone  # who leaves does not change with the disk
    first.look(3)
    assert first.shares == ([True, False] if alone else [True])
    assert len(first.failures()) == 1 and first.lines[-1].endswith("alone" if alone else "process runs")


@pytest.mark.parametrize("code", [errno.ENOENT, errno.ELOOP, errno.ENXIO, errno.EACCES])
def test_a_file_that_is_no_process_of_this_node_is_no_fault(start, tmp_path, monkeypatch, code):
    process = start()
    process.look()
    (tmp_path / f"{FILE_PREFIX}{9:020d}-other").write_bytes(FITS_MARKER)
    with monkeypatch.context() as patch:
        fail(patch, os, "open", code)
        process.look(10)
    assert process.shares == [] and process.lines == []


@pytest.mark.parametrize("written", range(len(FITS_MARKER)))
def test_a_half_written_word_is_not_read_as_whole(start, monkeypatch, written):
    """A write that is short, or fails once a part of it is in the file, says nothing, and is made again."""
    elder, younger = start(), start()
    elder.look()
    younger.look()
    real = os.pwrite
    for error in (None, errno.ENOSPC, errno.EIO):
        with monkeypatch.context() as patch:

            def cut(file, data, offset, error=error):
                done = real(file, data[:written], offset)
                if error is not None:
                    raise OSError(error, os.strerror(error))
                return done

            patch.setattr(os, "pwrite", cut)
            elder.look(3)
            assert not younger.handover.has_room() and not elder.handover.fit_reported
    elder.look()
    assert younger.handover.has_room() and elder.shares == [True] and not elder.failures()


@pytest.mark.parametrize("code", DISK_ERRORS)
@pytest.mark.parametrize("name", ["pwrite", "ftruncate"])
def test_a_stale_word_is_taken_back_once_the_disk_lets_it(start, monkeypatch, name, code):
    """Failure prevented: the elder's word to a process that has ended lets the next one in too early."""
    elder, second = start(), start()
    elder.look()
    second.look()
    with monkeypatch.context() as patch:
        fail(patch, os, name, code, after=name == "pwrite")
        elder.look(3)
        second.handover.close()
        elder.look(3)
    elder.roomy = False
    third = start()
    third.look()
    elder.look()
    assert elder.handover.is_older and not third.handover.has_room()
    elder.roomy = True
    elder.look()
    assert third.handover.has_room()


@pytest.mark.parametrize("name", ["unlink", "close"])
def test_a_process_ends_whatever_its_file_does(start, monkeypatch, name):
    """Failure prevented: the end of a process that has answered everything raises at its last step."""
    process = start()
    process.look()
    with monkeypatch.context() as patch:
        fail(patch, os, name, errno.EIO, after=name == "close")
        process.handover.close()
    alone = start()
    alone.look()
    assert alone.shares == []


# ---- stores of experiments ------------------------------------------------------------------------

TASKS = list_tasks(parse_plan({"scenarios": ["quiet"], "seeds": 6, "variant": [{"name": "a"}]}))
SYNCS = ("fsync", "fdatasync")
STORED = "stored"


def result_of(task: Task) -> dict:
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


def told(path: Path, use) -> str:
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
def test_a_store_on_a_failing_disk_says_so_and_loses_nothing(tmp_path, stage, calls, error):
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
            return told(path, lambda: put(store, TASKS[2]))
        fail_calls(calls, error)
        return told(path, lambda: put(Store(path), TASKS[2]))

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
def test_a_store_that_cannot_be_read_is_one_line(tmp_path, use):
    """Failure prevented: a traceback, or what could be read of a store, taken for the whole."""
    path = tmp_path / "s.sqlite"
    store = Store(path)
    put(store, *TASKS)
    store.close()

    def read() -> str:
        store = Store(path, write=False)
        store.db.execute("PRAGMA cache_size = 1")
        fail_calls(("pread64",), errno.EIO)
        return told(path, lambda: store.result(TASKS[0]) if use == "result" else getattr(store, use)())

    # SQLite reports EIO of a read as damage of the file system
    assert in_child(read) in (f"{path}: disk I/O error", f"{path}: database disk image is malformed")


def test_what_a_failed_sync_has_left_is_written_anew_before_more_is_stored(tmp_path):
    """Failure prevented: pages that never reached the disk stand in the log before those of later runs."""
    path = tmp_path / "s.sqlite"
    store = Store(path)
    put(store, TASKS[0])
    store.close()

    def use() -> str:
        store = Store(path)
        put(store, TASKS[1])
        fail_calls(SYNCS, errno.EIO)
        return told(path, lambda: put(store, TASKS[2]))

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


def cuts(length: int) -> list[int]:
    """Places about the pages and frames of a file."""
    places = {0, 1, 16, 31, 32, length - 1}
    for page in range(0, length, 4096 + 24):
        places |= {page, page + 32, page + 33, page + 32 + 24, page + 2048}
    return sorted(place for place in places if 0 <= place < length)


@pytest.mark.parametrize("rest", ["missing", "zeros"])
def test_a_log_that_was_cut_anywhere_gives_the_runs_before_the_cut(tmp_path, rest):
    """A kill or a loss of power leaves the end of the log unwritten: each run is whole or not there."""
    body, log = stopped_store(tmp_path)
    seen = set()
    for cut in cuts(len(log)):
        path = tmp_path / f"{cut}.sqlite"
        path.write_bytes(body)
        tail = b"" if rest == "missing" else bytes(len(log) - cut)
        path.with_name(f"{cut}.sqlite-wal").write_bytes(log[:cut] + tail)
        seeds = assert_whole(path)
        assert seeds == [task.seed for task in TASKS][: len(seeds)]
        seen.add(len(seeds))
    assert seen >= {0, 1, 3, 5}
    assert_resumes(path)


def test_a_file_that_was_cut_anywhere_is_damaged_or_empty(tmp_path):
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
def test_a_row_that_is_not_whole_ends_a_command_with_one_line(tmp_path, damage, words):
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


def test_an_experiment_whose_disk_fails_ends_with_one_line_and_is_resumed(tmp_path):
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


# ---- reports and figures --------------------------------------------------------------------------

REPORT = {"index.html": b"new page", "runs.csv": b"new runs", "report.json": b"new numbers"}


def fail_at(patch, owner, name: str, error: int, place: int) -> None:
    """The call fails from its so-manyth on."""
    real, calls = getattr(owner, name), []

    def failing(*args, **kwargs):
        calls.append(args)
        if len(calls) > place:
            raise OSError(error, os.strerror(error))
        return real(*args, **kwargs)

    patch.setattr(owner, name, failing)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("place", range(len(REPORT)))
@pytest.mark.parametrize(("owner", "name"), [(Path, "write_bytes"), (os, "fsync"), (Path, "replace")])
def test_a_report_is_replaced_by_files_that_are_whole(tmp_path, monkeypatch, owner, name, place, error):
    old = dict.fromkeys(REPORT, b"old")
    write(old, tmp_path)
    with monkeypatch.context() as patch:
        fail_at(patch, owner, name, error, place)
        with pytest.raises(OSError, match=os.strerror(error)):
            write(REPORT, tmp_path)
    found = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    replaced = list(REPORT)[: place if name == "replace" else 0]
    assert found == old | {name: REPORT[name] for name in replaced}
    write(REPORT, tmp_path)
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == REPORT


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize(
    ("owner", "name"),
    [(tempfile, "mkstemp"), (Path, "write_bytes"), (Path, "chmod"), (os, "fsync"), (Path, "replace")],
)
def test_a_command_that_cannot_write_its_file_ends_with_one_line(tmp_path, monkeypatch, owner, name, error):
    (target := tmp_path / "figures.json").write_bytes(b"old")
    with monkeypatch.context() as patch:
        fail_at(patch, owner, name, error, 0)
        with pytest.raises(InputError) as e:
            write_atomically(target, lambda path: path.write_bytes(b"new"))
    assert str(e.value) == f"{target}: cannot be written: {os.strerror(error)}"
    assert [path.read_bytes() for path in tmp_path.iterdir()] == [b"old"]


def test_rows_of_a_measurement_that_was_stopped_as_it_wrote_go_on(tmp_path):
    """Failure prevented: a torn last line ends the next start, or is glued to the row after it."""
    path = tmp_path / "rows.jsonl"
    rows = [{"plan": "calm", "seed": seed} for seed in (1, 2)]
    for row in rows:
        measure.append(path, row)
    whole = path.read_bytes()
    for cut in range(len(whole) + 1):
        path.write_bytes(whole[:cut])
        kept = whole[:cut].count(b"\n")
        assert measure.load(path) == rows[:kept]
        measure.append(path, rows[1])
        assert measure.load(path) == [*rows[:kept], rows[1]]


# ---- the lab's histories --------------------------------------------------------------------------


def test_a_history_on_a_full_disk_says_so_once_and_takes_no_more():
    """Failure prevented: lines are left out of a history that goes on, or the writer raises."""
    history = History(Path("/dev/full"))
    for second in range(3):
        history.write(second, "run")
    assert history.lines == 0 and history.fault == "/dev/full: cannot be written: No space left on device"
    history.close()
    assert history.file.closed


@pytest.mark.parametrize("name", ["fsync", "flush"])
def test_a_history_that_was_not_synced_is_not_said_to_be_kept(tmp_path, monkeypatch, name):
    history = History(tmp_path / "history.jsonl")
    history.write(0.0, "run")
    with monkeypatch.context() as patch:
        if name == "fsync":
            fail(patch, os, "fsync", errno.EIO)
        else:
            os.dup2(full := os.open("/dev/full", os.O_WRONLY), history.file.fileno())
            os.close(full)
            history.file.write(b"{")
        history.close()
    assert history.fault.startswith(f"{history.path}: cannot be written: ")


def test_a_lab_whose_history_cannot_be_written_ends_with_one_line(tmp_path, monkeypatch):
    keep = tmp_path / "kept"
    monkeypatch.setattr(lab_run, "History", lambda path: History(Path("/dev/full")))
    words = ["lab", "run", "calm", "--nodes", "1", "--keep", str(keep)]
    with pytest.raises(InputError, match="^/dev/full: cannot be written: No space left on device$"):
        cli.main(words, standalone_mode=False)
