"""Replacement of a running process by a new one of the same node.

The new process inherits the listening socket. While the old and the new process run, they detect each other
by locked files, and each of them uses half of the node's limits, such as those on descriptors and memory.
"""

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
POLL_INTERVAL_S = 0.1  # Interval between polls for other processes.
SHRINK_TIMEOUT_S = 1.0  # Time that a new process waits for the older one to shrink to half of the limits.
SHRINK_CHECK_INTERVAL_S = 0.02
# Consecutive failed polls after which the result of the last successful poll is out of date. The time that
# these polls take is well below SHRINK_TIMEOUT_S.
MAX_FAILED_POLLS = 3
WITHIN_BUDGET_MARKER = b"fits\n"  # Content of the file of an older process that keeps to half of the limits.
# Errors of opening a file that was not created by a process of this node.
NOT_A_PROCESS_ERRORS = frozenset(
    {errno.ENOENT, errno.ENOTDIR, errno.EISDIR, errno.ELOOP, errno.ENXIO, errno.EACCES, errno.EPERM}
)


def adopt_listening_socket(descriptor: str) -> socket.socket | None:
    """Return the inherited listening socket with this descriptor, or None if it is no listening socket."""
    try:
        inherited = socket.socket(fileno=int(descriptor))
    except (ValueError, OSError, OverflowError):
        return None
    try:
        if inherited.family == socket.AF_INET and inherited.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        ):
            return inherited
    except OSError:
        pass
    inherited.detach()  # The descriptor belongs to something else and stays open.
    return None


class MarkerState(Enum):
    """Whether the file of this process contains WITHIN_BUDGET_MARKER.

    By the marker, an older process reports to a younger one that it keeps to half of the node's limits.

    Attributes:
        ABSENT: The file is empty.
        UNCERTAIN: A write or a truncation has failed, perhaps partway.
        WRITTEN: The file contains the marker.
    """

    ABSENT = "absent"
    UNCERTAIN = "uncertain"
    WRITTEN = "written"


class Handover:
    """Detects other processes of this node by locked files in a directory that all of them can write.

    Each process holds the lock of a file of its own; the name of an older process's file sorts first. While
    the directory's file system fails, it is unknown whether other processes run. This process then keeps to
    half of the node's limits, and retries at every poll.

    Args:
        loop: The event loop.
        directory: The directory of the files, the same for all processes of this node.
        on_shared: Called with True once another process runs, and with False once this one is alone again.
        log: Receives a line for each change.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, directory: str, on_shared: Callable[[bool], None], log: Log
    ) -> None:
        self.loop = loop
        self.directory = directory
        self.on_shared = on_shared
        self.log = log
        self.file_name = f"{FILE_PREFIX}{monotonic_ns():020d}-{secrets.token_hex(4)}"
        self.descriptor = -1
        self.is_shared = False
        self.is_older = False  # Whether a younger process, which replaces this one, runs.
        self.marker = MarkerState.ABSENT
        self.has_polled = False  # Whether a poll has succeeded.
        self.failed_polls = 0  # Consecutive failed polls.
        self.is_failing = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def has_reported(self) -> bool:
        """Whether this process has reported to the younger one that it keeps to half of the limits."""
        return self.marker is MarkerState.WRITTEN

    async def start(self, is_within_budget: Callable[[], bool]) -> None:
        """Create the file, and wait for an older process to shrink to half of the limits, up to a timeout.

        Args:
            is_within_budget: Returns whether this process keeps to its current limits, which are half of the
                node's limits while another process runs.
        """
        self.is_within_budget = is_within_budget
        with suppress(OSError):  # The poll retries and logs the error.
            await retry_shortage(self.create_file, SHRINK_TIMEOUT_S)
        self.poll()
        if self.descriptor < 0:
            return  # Without a file, no other process detects this one and shrinks.
        deadline = self.loop.time() + SHRINK_TIMEOUT_S
        while not self.others_within_budget() and self.loop.time() < deadline:
            await asyncio.sleep(SHRINK_CHECK_INTERVAL_S)

    def others_within_budget(self) -> bool:
        """Return whether every other process keeps to half of the limits; False while that is unknown."""
        try:
            return all(self.read_marker(name) == WITHIN_BUDGET_MARKER for name in self.running_processes())
        except OSError:
            return False

    def create_file(self) -> None:
        """Create and lock the file of this process.

        The file is locked under a temporary name and then renamed, so that it is never unlocked under its
        final name. A file that a failed attempt left behind is reused, since the name is unique to this
        process.

        Raises:
            OSError: The file could not be created or locked; the attempt has no effect on other processes.
        """
        path = os.path.join(self.directory, self.file_name)
        flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
        file = os.open(path + ".new", flags, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.rename(path + ".new", path)
        except OSError:
            self.remove(path + ".new")
            self.remove(path)  # A rename may report an error although it took effect.
            with suppress(OSError):
                os.close(file)
            raise
        self.descriptor = file

    @staticmethod
    def remove(path: str) -> None:
        """Remove a file, ignoring errors, since a file without a lock has no meaning."""
        with suppress(OSError):
            os.unlink(path)

    def running_processes(self) -> list[str]:
        """Return the file names of the other running processes, and remove the files of dead ones.

        Raises:
            OSError: The directory or a file could not be read, so the running processes are unknown.
        """
        return [
            name
            for name in sorted(os.listdir(self.directory))
            if name.startswith(FILE_PREFIX)
            and not name.endswith(".new")
            and name != self.file_name
            and self.is_running(os.path.join(self.directory, name))
        ]

    def is_running(self, path: str) -> bool:
        """Return whether a process holds the lock of this file; remove a file without a lock.

        Raises:
            OSError: The file could not be opened or checked.
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
        """Return what a process has written into its file; empty if the file cannot be read."""
        try:
            with open(os.path.join(self.directory, name), "rb") as file:
                return file.read(len(WITHIN_BUDGET_MARKER))
        except OSError:
            return b""

    def poll(self) -> None:
        """Check which processes run, now and periodically; create this process's file if it is missing."""
        fault: OSError | None = None
        others: list[str] = []
        try:
            if self.descriptor < 0:
                self.create_file()
        except OSError as e:
            fault = e
        try:
            others = self.running_processes()
            self.is_older = any(name > self.file_name for name in others)
        except OSError as e:
            fault = fault or e
        if fault is None:
            self.on_polled(others)
        else:
            self.on_poll_failed(fault)
        with suppress(OSError):  # Retried at the next poll; the younger process waits up to its timeout.
            self.update_marker()
        self.timer = self.loop.call_later(POLL_INTERVAL_S, self.poll)

    def on_polled(self, others: list[str]) -> None:
        """Apply the result of a successful poll.

        Args:
            others: The file names of the other running processes.
        """
        if self.is_failing or bool(others) != self.is_shared:
            self.log.line("handover: another process runs" if others else "handover: alone")
        self.has_polled, self.is_failing, self.failed_polls = True, False, 0
        self.set_shared(bool(others))

    def on_poll_failed(self, fault: OSError) -> None:
        """Rely on the last successful poll for a few failed polls, then keep to half of the limits.

        Two processes that cannot detect each other would otherwise use twice the node's limits together.
        """
        self.failed_polls += 1
        if self.has_polled and self.failed_polls < MAX_FAILED_POLLS:
            return
        if not self.is_failing:
            self.is_failing = True
            self.log.line(f"handover: {fault.strerror}: this process keeps to half of the limits")
        self.set_shared(True)

    def set_shared(self, shared: bool) -> None:
        """Record whether the limits are shared, and call `on_shared` if that has changed."""
        if shared != self.is_shared:
            self.is_shared = shared
            self.on_shared(shared)

    def update_marker(self) -> None:
        """Write the marker once this process is the older one and has shrunk; clear it in all other cases.

        The marker is cleared after a failed write or truncation too, since what remains in the file would
        let the next process start before this one has shrunk.

        Raises:
            OSError: The file could not be written; the next poll retries.
        """
        if self.descriptor < 0:
            return
        if self.is_older and (self.has_reported or self.is_within_budget()):
            self.write_marker()
        else:
            self.clear_marker()

    def write_marker(self) -> None:
        """Write the marker, unless the file contains it already.

        Raises:
            OSError: The file could not be written.
        """
        if not self.has_reported:
            self.marker = MarkerState.UNCERTAIN
            if os.pwrite(self.descriptor, WITHIN_BUDGET_MARKER, 0) == len(WITHIN_BUDGET_MARKER):
                self.marker = MarkerState.WRITTEN

    def clear_marker(self) -> None:
        """Remove the marker if the file may contain any part of it.

        Raises:
            OSError: The file could not be truncated.
        """
        if self.marker is not MarkerState.ABSENT:
            self.marker = MarkerState.UNCERTAIN
            os.ftruncate(self.descriptor, 0)
            self.marker = MarkerState.ABSENT

    def close(self) -> None:
        """Stop polling, and remove the file before this process ends."""
        if self.timer is not None:
            self.timer.cancel()
        if self.descriptor >= 0:
            self.remove(os.path.join(self.directory, self.file_name))
            with suppress(OSError):
                os.close(self.descriptor)
            self.descriptor = -1
