"""Reports, figures and the lab's histories on a disk that fails or fills up."""

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
from workbench.report.page import write

# ---- reports and figures --------------------------------------------------------------------------


REPORT = {"index.html": b"new page", "runs.csv": b"new runs", "report.json": b"new numbers"}


def fail_at(patch: pytest.MonkeyPatch, owner: Any, name: str, error: int, place: int) -> None:
    """The call fails from its so-manyth on."""
    real = getattr(owner, name)
    calls: list[object] = []

    def failing(*args: Any, **kwargs: Any) -> Any:
        calls.append(args)
        if len(calls) > place:
            raise OSError(error, os.strerror(error))
        return real(*args, **kwargs)

    patch.setattr(owner, name, failing)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("place", range(len(REPORT)))
@pytest.mark.parametrize(("owner", "name"), [(Path, "write_bytes"), (os, "fsync"), (Path, "replace")])
def test_a_report_is_replaced_by_files_that_are_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, place: int, error: int
) -> None:
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
def test_a_command_that_cannot_write_its_file_ends_with_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, error: int
) -> None:
    def replace(path: Path) -> None:
        path.write_bytes(b"new")

    (target := tmp_path / "figures.json").write_bytes(b"old")
    with monkeypatch.context() as patch:
        fail_at(patch, owner, name, error, 0)
        with pytest.raises(InputError) as e:
            write_atomically(target, replace)
    assert str(e.value) == f"{target}: cannot be written: {os.strerror(error)}"
    assert [path.read_bytes() for path in tmp_path.iterdir()] == [b"old"]


def test_rows_of_a_measurement_that_was_stopped_as_it_wrote_go_on(tmp_path: Path) -> None:
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


def test_a_history_on_a_full_disk_says_so_once_and_takes_no_more() -> None:
    """Failure prevented: lines are left out of a history that goes on, or the writer raises."""
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
def test_a_history_that_was_not_synced_is_not_said_to_be_kept(
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


def test_a_lab_whose_history_cannot_be_written_ends_with_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    keep = tmp_path / "kept"
    monkeypatch.setattr(lab_run, "History", lambda path: History(Path("/dev/full")))
    words = ["lab", "run", "calm", "--nodes", "1", "--keep", str(keep)]
    with pytest.raises(InputError, match="^/dev/full: cannot be written: No space left on device$"):
        cli.main(words, standalone_mode=False)
