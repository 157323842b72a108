"""Replacing the process: the inherited listening socket, and two processes that are one node for a while."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import secrets
import socket
import stat
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from time import monotonic_ns

from balancer.net.process.log import Log
from balancer.net.process.system_faults import retry_shortage

FILE_PREFIX = "brackenladder-"
POLL_INTERVAL_S = 0.1  # between two polls for another process
SHRINK_TIMEOUT_S = 1.0  # that a new process gives the old one to shrink to its half
WAIT_STEP_S = 0.02  # between two checks whether the old process has shrunk
MAX_FAILED_POLLS = 3  # in a row, after which what was known before is too old; well under SHRINK_TIMEOUT_S
FITS_MARKER = b"fits\n"  # the older process keeps to its half
NOT_A_PROCESS_ERRORS = frozenset(  # errors of opening a file that no process of this node has made
    {errno.ENOENT, errno.ENOTDIR, errno.EISDIR, errno.ELOOP, errno.ENXIO, errno.EACCES, errno.EPERM}
)


def adopt_listening_socket(number: str) -> socket.socket | None:
    """The listening socket that was inherited under this descriptor; None if there is none such."""
    try:
        found = socket.socket(fileno=int(number))
    except (ValueError, OSError, OverflowError):
        return None
    try:
        if found.family == socket.AF_INET and found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return found
    except OSError:
        pass
    found.detach()  # whatever it is, it is not ours to close
    return None


class MarkerState(Enum):
    """What this process's file holds of FITS_MARKER."""

    ABSENT = "absent"
    UNCERTAIN = "uncertain"  # a write or a truncation may have failed halfway
    WRITTEN = "written"


class Handover:
    """Finds out whether another process of this node runs, by locked files in a folder that both can write.

    While the folder's file system fails, it is unknown who runs: the process keeps to half of the limits
    and retries at every poll.

    Args:
        loop: the event loop.
        folder: where the files are; the same for all processes of this node.
        on_shared: called with True once another process runs, and with False once this one is alone again.
        log: gets a line on each change.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, folder: str, on_shared: Callable[[bool], None], log: Log
    ) -> None:
        self.loop = loop
        self.folder = folder
        self.on_shared = on_shared
        self.log = log
        self.name = f"{FILE_PREFIX}{monotonic_ns():020d}-{secrets.token_hex(4)}"
        self.descriptor = -1
        self.shared = False
        self.is_older = False  # a younger process runs: it is this one that is replaced
        self.marker = MarkerState.ABSENT
        self.has_polled = False  # a poll has succeeded
        self.failed_polls = 0  # in a row
        self.failing = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def fit_reported(self) -> bool:
        """Whether the younger process was notified that this one keeps to its half."""
        return self.marker is MarkerState.WRITTEN

    async def start(self, fits: Callable[[], bool]) -> None:
        """Creates the file; where another process runs, waits until that one has shrunk, or times out.

        Args:
            fits: whether this process keeps within its half of the limits.
        """
        self.fits = fits
        with suppress(OSError):  # the poll retries, and logs the fault
            await retry_shortage(self.create_file, SHRINK_TIMEOUT_S)
        self.poll()
        if self.descriptor < 0:
            return  # nobody can know of this process, and so nobody shrinks for it
        end = self.loop.time() + SHRINK_TIMEOUT_S
        while not self.others_fit() and self.loop.time() < end:
            await asyncio.sleep(WAIT_STEP_S)

    def others_fit(self) -> bool:
        """Whether every other process keeps to its half. False while that is unknown."""
        try:
            return all(self.read_marker(name) == FITS_MARKER for name in self.running_processes())
        except OSError:
            return False

    def create_file(self) -> None:
        """Makes this process's file, which is never seen under its name without its lock.

        A file that an earlier attempt could not remove is taken again: the name is this process's alone.

        Raises:
            OSError: the file could not be made; nothing of it counts.
        """
        path = os.path.join(self.folder, self.name)
        flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
        file = os.open(path + ".new", flags, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.rename(path + ".new", path)
        except OSError:
            self.remove(path + ".new")
            self.remove(path)  # a rename may report a failure and have been made
            with suppress(OSError):
                os.close(file)
            raise
        self.descriptor = file

    @staticmethod
    def remove(path: str) -> None:
        """Removes a file if that can be done; without its lock it counts for nothing anyway."""
        with suppress(OSError):
            os.unlink(path)

    def running_processes(self) -> list[str]:
        """The names of the files of other processes that run. The file of a dead one is removed.

        Raises:
            OSError: it is unknown now which processes run.
        """
        return [
            name
            for name in sorted(os.listdir(self.folder))
            if name.startswith(FILE_PREFIX)
            and not name.endswith(".new")
            and name != self.name
            and self.is_running(os.path.join(self.folder, name))
        ]

    def is_running(self, path: str) -> bool:
        """Whether a process holds the lock of this file.

        Raises:
            OSError: it is unknown now.
        """
        try:
            file = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except OSError as e:
            if e.errno in NOT_A_PROCESS_ERRORS:
                return False
            raise
        try:
            if not stat.S_ISREG(os.fstat(file).st_mode):
                return False
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        finally:
            os.close(file)
        self.remove(path)
        return False

    def read_marker(self, name: str) -> bytes:
        """What another process has written into its file; nothing if it cannot be read."""
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                return file.read(len(FITS_MARKER))
        except OSError:
            return b""

    def poll(self) -> None:
        """Creates the file if need be, and looks which processes run: now and after each interval."""
        fault: OSError | None = None
        others: list[str] = []
        try:
            if self.descriptor < 0:
                self.create_file()
        except OSError as e:
            fault = e
        try:
            others = self.running_processes()
            self.is_older = any(name > self.name for name in others)
        except OSError as e:
            fault = fault or e
        if fault is None:
            self.on_polled(others)
        else:
            self.on_poll_failed(fault)
        with suppress(OSError):  # retried at the next poll; the younger waits for its timeout
            self.report_fit()
        self.timer = self.loop.call_later(POLL_INTERVAL_S, self.poll)

    def on_polled(self, others: list[str]) -> None:
        """Takes over what a poll has found."""
        if self.failing or bool(others) != self.shared:
            self.log.line("handover: another process runs" if others else "handover: alone")
        self.has_polled, self.failing, self.failed_polls = True, False, 0
        self.set_shared(bool(others))

    def on_poll_failed(self, fault: OSError) -> None:
        """Holds on to what was known before for a few polls more, then keeps to half of the limits.

        Failure prevented: two processes that cannot agree take twice what one node may have.
        """
        self.failed_polls += 1
        if self.has_polled and self.failed_polls < MAX_FAILED_POLLS:
            return
        if not self.failing:
            self.failing = True
            self.log.line(f"handover: {fault.strerror}: this process keeps to half of the limits")
        self.set_shared(True)

    def set_shared(self, shared: bool) -> None:
        """Calls `on_shared` on a change."""
        if shared != self.shared:
            self.shared = shared
            self.on_shared(shared)

    def report_fit(self) -> None:
        """Writes into the file of an older process whether it has shrunk, and clears it once it is alone.

        Failure prevented: the remains of a failed write or truncation let the next process start too early.

        Raises:
            OSError: the file could not be written; the next poll retries.
        """
        if self.descriptor < 0:
            return
        if self.is_older and (self.fit_reported or self.fits()):
            self.write_marker()
        else:
            self.clear_marker()

    def write_marker(self) -> None:
        """Writes the marker, unless the file holds it.

        Raises:
            OSError: the file could not be written.
        """
        if not self.fit_reported:
            self.marker = MarkerState.UNCERTAIN
            if os.pwrite(self.descriptor, FITS_MARKER, 0) == len(FITS_MARKER):
                self.marker = MarkerState.WRITTEN

    def clear_marker(self) -> None:
        """Removes the marker, where the file may hold any of it.

        Raises:
            OSError: the file could not be truncated.
        """
        if self.marker is not MarkerState.ABSENT:
            self.marker = MarkerState.UNCERTAIN
            os.ftruncate(self.descriptor, 0)
            self.marker = MarkerState.ABSENT

    def close(self) -> None:
        """Removes the file: this process is about to end."""
        if self.timer is not None:
            self.timer.cancel()
        if self.descriptor >= 0:
            self.remove(os.path.join(self.folder, self.name))
            with suppress(OSError):
                os.close(self.descriptor)
            self.descriptor = -1
