"""Reports, output files and lab histories on a disk that fails or fills up."""

import errno
import os
import tempfile
from pathlib import Path
from typing import Any

import pytest
from disk_errors import fail_call

from workbench.cli import cli
from workbench.cli.errors import InputError, write_atomically
from workbench.lab import measure
from workbench.lab import run as lab_run
from workbench.lab.history import History
from workbench.report.page import write_report

# ---- Reports and output files ---------------------------------------------------------------------


REPORT = {"index.html": b"new page", "runs.csv": b"new runs", "report.json": b"new numbers"}


def fail_later_calls(
    patch: pytest.MonkeyPatch, owner: Any, name: str, error: int, successful_calls: int
) -> None:
    """Patch a function so that every call after the first `successful_calls` ones raises the error."""
    real = getattr(owner, name)
    calls: list[object] = []

    def failing(*args: Any, **kwargs: Any) -> Any:
        calls.append(args)
        if len(calls) > successful_calls:
            raise OSError(error, os.strerror(error))
        return real(*args, **kwargs)

    patch.setattr(owner, name, failing)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("place", range(len(REPORT)))
@pytest.mark.parametrize(("owner", "name"), [(Path, "write_bytes"), (os, "fsync"), (Path, "replace")])
def test_failed_report_write_leaves_only_complete_files(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, place: int, error: int
) -> None:
    old = dict.fromkeys(REPORT, b"old")
    write_report(old, tmp_path)
    with monkeypatch.context() as patch:
        fail_later_calls(patch, owner, name, error, place)
        with pytest.raises(OSError, match=os.strerror(error)):
            write_report(REPORT, tmp_path)
    contents = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    replaced = list(REPORT)[: place if name == "replace" else 0]
    assert contents == old | {name: REPORT[name] for name in replaced}
    write_report(REPORT, tmp_path)
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == REPORT


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize(
    ("owner", "name"),
    [(tempfile, "mkstemp"), (Path, "write_bytes"), (Path, "chmod"), (os, "fsync"), (Path, "replace")],
)
def test_unwritable_output_file_raises_one_line_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, error: int
) -> None:
    def replace(path: Path) -> None:
        path.write_bytes(b"new")

    (target := tmp_path / "figures.json").write_bytes(b"old")
    with monkeypatch.context() as patch:
        fail_later_calls(patch, owner, name, error, 0)
        with pytest.raises(InputError) as e:
            write_atomically(target, replace)
    assert str(e.value) == f"{target}: cannot be written: {os.strerror(error)}"
    assert [path.read_bytes() for path in tmp_path.iterdir()] == [b"old"]


def test_append_continues_after_a_torn_measurement_row(tmp_path: Path) -> None:
    """A torn last line neither makes loading fail nor corrupts the row that is appended after it."""
    path = tmp_path / "rows.jsonl"
    rows = [{"plan": "calm", "seed": seed} for seed in (1, 2)]
    for row in rows:
        measure.append(path, row)
    complete_file = path.read_bytes()
    for cut in range(len(complete_file) + 1):
        path.write_bytes(complete_file[:cut])
        complete_rows = complete_file[:cut].count(b"\n")
        assert measure.load(path) == rows[:complete_rows]
        measure.append(path, rows[1])
        assert measure.load(path) == [*rows[:complete_rows], rows[1]]


# ---- Histories of the lab --------------------------------------------------------------------------


def test_history_on_a_full_disk_records_the_error_and_stops() -> None:
    """After a failed write, no more lines are written, so a history has no gaps; nothing is raised."""
    history = History(Path("/dev/full"))
    for second in range(3):
        history.write(second, "run")
    assert (
        history.event_count == 0
        and history.write_error == "/dev/full: cannot be written: No space left on device"
    )
    history.close()
    assert history.file.closed


@pytest.mark.parametrize("name", ["fsync", "flush"])
def test_history_that_fails_to_sync_reports_a_fault(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    history = History(tmp_path / "history.jsonl")
    history.write(0.0, "run")
    with monkeypatch.context() as patch:
        if name == "fsync":
            fail_call(patch, os, "fsync", errno.EIO)
        else:
            os.dup2(full := os.open("/dev/full", os.O_WRONLY), history.file.fileno())
            os.close(full)
            history.file.write(b"{")
        history.close()
    assert history.write_error.startswith(f"{history.path}: cannot be written: ")


def test_lab_run_with_unwritable_history_raises_one_line_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    keep = tmp_path / "kept"
    monkeypatch.setattr(lab_run, "History", lambda path: History(Path("/dev/full")))
    arguments = ["lab", "run", "calm", "--nodes", "1", "--keep", str(keep)]
    with pytest.raises(InputError, match="^/dev/full: cannot be written: No space left on device$"):
        cli.main(arguments, standalone_mode=False)
