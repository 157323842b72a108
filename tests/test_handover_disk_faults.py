"""The handover between processes on a disk that fails, is full or writes only in part."""

import errno
import fcntl
import os
from types import SimpleNamespace

import pytest
from disk_errors import DISK_ERRORS, fail_call

from balancer.net.process.handover import FILE_PREFIX, MAX_FAILED_POLLS, WITHIN_BUDGET_MARKER, Handover


class Process:
    """The handover of one process, which polls only when the test calls `poll`."""

    def __init__(self, directory) -> None:
        self.shared_changes: list[bool] = []
        self.lines: list[str] = []
        self.within_budget = True
        loop = SimpleNamespace(call_later=lambda delay, call: SimpleNamespace(cancel=lambda: None))
        log = SimpleNamespace(line=self.lines.append)
        self.handover = Handover(loop, str(directory), self.shared_changes.append, log)
        self.handover.is_within_budget = lambda: self.within_budget

    def poll(self, count: int = 1) -> None:
        for _ in range(count):
            self.handover.poll()

    def failure_lines(self) -> list[str]:
        """Return the log lines that report that the process keeps to half of the limits."""
        return [line for line in self.lines if "half of the limits" in line]


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a process of the node; all of them end after the test."""
    processes: list[Process] = []

    def start_process() -> Process:
        processes.append(Process(tmp_path))
        return processes[-1]

    yield start_process
    for process in processes:
        process.handover.close()


JOIN_CALLS = [(os, "open", False), (fcntl, "flock", False), (os, "rename", False), (os, "rename", True)]


@pytest.mark.parametrize("code", DISK_ERRORS)
@pytest.mark.parametrize(("module", "name", "after"), JOIN_CALLS)
def test_process_keeps_to_half_until_disk_recovers(start, tmp_path, monkeypatch, module, name, after, code):
    """A disk that is full at the start does not leave the node with half of the limits until it ends."""
    process = start()
    with monkeypatch.context() as patch:
        fail_call(patch, module, name, code, after)
        process.poll(10)
        assert process.shared_changes == [True] and process.handover.is_shared
        assert process.lines == [f"handover: {os.strerror(code)}: this process keeps to half of the limits"]
    process.poll(3)
    assert process.shared_changes == [True, False] and process.lines[1:] == ["handover: alone"]
    assert os.listdir(tmp_path) == [process.handover.file_name]
    second = start()
    second.poll()
    process.poll()
    assert process.handover.is_older and process.shared_changes[-1] and second.shared_changes == [True]


def test_file_left_by_failed_attempt_is_reused(start, tmp_path, monkeypatch):
    """Failed attempts neither accumulate files nor fail because a file of the same name exists already."""
    process = start()
    with monkeypatch.context() as patch:
        fail_call(patch, os, "rename", errno.EIO)
        fail_call(patch, os, "unlink", errno.EIO)
        process.poll(10)
        assert os.listdir(tmp_path) == [f"{process.handover.file_name}.new"]
    process.poll()
    assert process.shared_changes == [True, False] and os.listdir(tmp_path) == [process.handover.file_name]


POLL_CALLS = [(os, "listdir"), (os, "open"), (os, "fstat"), (fcntl, "flock")]


@pytest.mark.parametrize("code", DISK_ERRORS)
@pytest.mark.parametrize(("module", "name"), POLL_CALLS)
@pytest.mark.parametrize("alone", [False, True])
def test_process_that_cannot_poll_keeps_to_half(start, tmp_path, monkeypatch, module, name, code, alone):
    """A disk error is not taken for the absence of other processes: two would use all of the limits each."""
    first, second = start(), start()
    first.poll()
    if not alone:
        second.poll()
        first.poll()
    else:  # The next poll has to open the file of a dead process.
        (tmp_path / f"{FILE_PREFIX}{9:020d}-dead").write_bytes(b"")
    changes_before = list(first.shared_changes)
    with monkeypatch.context() as patch:
        fail_call(patch, module, name, code)
        first.poll(MAX_FAILED_POLLS - 1)  # Fewer failed polls than the limit change nothing.
        assert first.shared_changes == changes_before and not first.failure_lines()
        first.poll(10)
        assert first.shared_changes[-1:] == [True] and len(first.failure_lines()) == 1
        assert first.handover.is_older is not alone  # Disk errors do not change which process is older.
    first.poll(3)
    assert first.shared_changes == ([True, False] if alone else [True])
    assert len(first.failure_lines()) == 1 and first.lines[-1].endswith("alone" if alone else "process runs")


@pytest.mark.parametrize("code", [errno.ENOENT, errno.ELOOP, errno.ENXIO, errno.EACCES])
def test_file_of_other_origin_is_not_a_fault(start, tmp_path, monkeypatch, code):
    process = start()
    process.poll()
    (tmp_path / f"{FILE_PREFIX}{9:020d}-other").write_bytes(WITHIN_BUDGET_MARKER)
    with monkeypatch.context() as patch:
        fail_call(patch, os, "open", code)
        process.poll(10)
    assert process.shared_changes == [] and process.lines == []


@pytest.mark.parametrize("written_bytes", range(len(WITHIN_BUDGET_MARKER)))
def test_partially_written_marker_is_ignored_and_rewritten(start, monkeypatch, written_bytes):
    """The marker does not count after a short write, or one that failed with part of it in the file."""
    older, younger = start(), start()
    older.poll()
    younger.poll()
    real_pwrite = os.pwrite
    for error in (None, errno.ENOSPC, errno.EIO):
        with monkeypatch.context() as patch:

            def write_partially(file, data, offset, error=error):
                count = real_pwrite(file, data[:written_bytes], offset)
                if error is not None:
                    raise OSError(error, os.strerror(error))
                return count

            patch.setattr(os, "pwrite", write_partially)
            older.poll(3)
            assert not younger.handover.others_within_budget() and not older.handover.has_reported
    older.poll()
    assert (
        younger.handover.others_within_budget()
        and older.shared_changes == [True]
        and not older.failure_lines()
    )


@pytest.mark.parametrize("code", DISK_ERRORS)
@pytest.mark.parametrize("name", ["pwrite", "ftruncate"])
def test_stale_marker_is_cleared_once_disk_recovers(start, monkeypatch, name, code):
    """A marker written for a process that has ended does not let the next process start too early."""
    older, second = start(), start()
    older.poll()
    second.poll()
    with monkeypatch.context() as patch:
        fail_call(patch, os, name, code, after=name == "pwrite")
        older.poll(3)
        second.handover.close()
        older.poll(3)
    older.within_budget = False
    third = start()
    third.poll()
    older.poll()
    assert older.handover.is_older and not third.handover.others_within_budget()
    older.within_budget = True
    older.poll()
    assert third.handover.others_within_budget()


@pytest.mark.parametrize("name", ["unlink", "close"])
def test_close_ignores_errors_of_its_file(start, monkeypatch, name):
    """A process that has responded to all requests does not fail at the last step of its shutdown."""
    process = start()
    process.poll()
    with monkeypatch.context() as patch:
        fail_call(patch, os, name, errno.EIO, after=name == "close")
        process.handover.close()
    alone = start()
    alone.poll()
    assert alone.shared_changes == []
