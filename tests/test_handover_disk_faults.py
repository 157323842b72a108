"""The handover between processes on a disk that fails, fills up or writes by halves."""

import errno
import fcntl
import os
from types import SimpleNamespace

import pytest
from disk_errors import DISK_ERRORS, fail_call

from balancer.net.process.handover import FILE_PREFIX, FITS_MARKER, MAX_FAILED_POLLS, Handover


class Process:
    """One process's side of the agreement; its polls are made by hand."""

    def __init__(self, folder) -> None:
        self.shares: list[bool] = []
        self.lines: list[str] = []
        self.roomy = True
        loop = SimpleNamespace(call_later=lambda delay, call: SimpleNamespace(cancel=lambda: None))
        log = SimpleNamespace(line=self.lines.append)
        self.handover = Handover(loop, str(folder), self.shares.append, log)
        self.handover.fits = lambda: self.roomy

    def poll(self, times: int = 1) -> None:
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


JOINING = [(os, "open", False), (fcntl, "flock", False), (os, "rename", False), (os, "rename", True)]


@pytest.mark.parametrize("code", DISK_ERRORS)
@pytest.mark.parametrize(("module", "name", "after"), JOINING)
def test_a_process_that_cannot_join_keeps_to_half_until_the_disk_recovers(
    start, tmp_path, monkeypatch, module, name, after, code
):
    """Failure prevented: one full disk at the start, and the node serves with half until its end."""
    process = start()
    with monkeypatch.context() as patch:
        fail_call(patch, module, name, code, after)
        process.poll(10)
        assert process.shares == [True] and process.handover.shared
        assert process.lines == [f"handover: {os.strerror(code)}: this process keeps to half of the limits"]
    process.poll(3)
    assert process.shares == [True, False] and process.lines[1:] == ["handover: alone"]
    assert os.listdir(tmp_path) == [process.handover.name]
    second = start()
    second.poll()
    process.poll()
    assert process.handover.is_older and process.shares[-1] and second.shares == [True]


def test_what_a_failed_join_could_not_remove_does_not_stop_the_next_try(start, tmp_path, monkeypatch):
    """Failure prevented: files heap up in a failing folder, or the leftover's name blocks the next try."""
    process = start()
    with monkeypatch.context() as patch:
        fail_call(patch, os, "rename", errno.EIO)
        fail_call(patch, os, "unlink", errno.EIO)
        process.poll(10)
        assert os.listdir(tmp_path) == [f"{process.handover.name}.new"]
    process.poll()
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
    first.poll()
    if not alone:
        second.poll()
        first.poll()
    else:  # what another poll has to open, and who made it is dead
        (tmp_path / f"{FILE_PREFIX}{9:020d}-dead").write_bytes(b"")
    known = list(first.shares)
    with monkeypatch.context() as patch:
        fail_call(patch, module, name, code)
        first.poll(MAX_FAILED_POLLS - 1)
        assert first.shares == known and not first.failures()  # a moment changes nothing
        first.poll(10)
        assert first.shares[-1:] == [True] and len(first.failures()) == 1
        assert first.handover.is_older is not alone  # who leaves does not change with the disk
    first.poll(3)
    assert first.shares == ([True, False] if alone else [True])
    assert len(first.failures()) == 1 and first.lines[-1].endswith("alone" if alone else "process runs")


@pytest.mark.parametrize("code", [errno.ENOENT, errno.ELOOP, errno.ENXIO, errno.EACCES])
def test_a_file_that_is_no_process_of_this_node_is_no_fault(start, tmp_path, monkeypatch, code):
    process = start()
    process.poll()
    (tmp_path / f"{FILE_PREFIX}{9:020d}-other").write_bytes(FITS_MARKER)
    with monkeypatch.context() as patch:
        fail_call(patch, os, "open", code)
        process.poll(10)
    assert process.shares == [] and process.lines == []


@pytest.mark.parametrize("written", range(len(FITS_MARKER)))
def test_a_half_written_word_is_not_read_as_whole(start, monkeypatch, written):
    """A write that is short, or fails once a part of it is in the file, says nothing, and is made again."""
    elder, younger = start(), start()
    elder.poll()
    younger.poll()
    real = os.pwrite
    for error in (None, errno.ENOSPC, errno.EIO):
        with monkeypatch.context() as patch:

            def cut(file, data, offset, error=error):
                done = real(file, data[:written], offset)
                if error is not None:
                    raise OSError(error, os.strerror(error))
                return done

            patch.setattr(os, "pwrite", cut)
            elder.poll(3)
            assert not younger.handover.others_fit() and not elder.handover.fit_reported
    elder.poll()
    assert younger.handover.others_fit() and elder.shares == [True] and not elder.failures()


@pytest.mark.parametrize("code", DISK_ERRORS)
@pytest.mark.parametrize("name", ["pwrite", "ftruncate"])
def test_a_stale_word_is_taken_back_once_the_disk_lets_it(start, monkeypatch, name, code):
    """Failure prevented: the elder's word to a process that has ended lets the next one in too early."""
    elder, second = start(), start()
    elder.poll()
    second.poll()
    with monkeypatch.context() as patch:
        fail_call(patch, os, name, code, after=name == "pwrite")
        elder.poll(3)
        second.handover.close()
        elder.poll(3)
    elder.roomy = False
    third = start()
    third.poll()
    elder.poll()
    assert elder.handover.is_older and not third.handover.others_fit()
    elder.roomy = True
    elder.poll()
    assert third.handover.others_fit()


@pytest.mark.parametrize("name", ["unlink", "close"])
def test_a_process_ends_whatever_its_file_does(start, monkeypatch, name):
    """Failure prevented: the end of a process that has answered everything raises at its last step."""
    process = start()
    process.poll()
    with monkeypatch.context() as patch:
        fail_call(patch, os, name, errno.EIO, after=name == "close")
        process.handover.close()
    alone = start()
    alone.poll()
    assert alone.shares == []
