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
from time import monotonic_ns

from balancer.net.process.log import Log
from balancer.net.process.system_faults import retry_shortage

PREFIX = "brackenladder-"
LOOK = 0.1  # seconds between two looks for another process
PATIENCE = 1.0  # seconds that a new process gives the old one to make room
STEP = 0.02
MOST_FAILED_LOOKS = 3  # in a row, after which what was known before is too old; well under PATIENCE
FITS = b"fits\n"  # an elder has made room
NOT_A_PROCESS = frozenset(  # errors of opening a file that no process of this node has made
    {errno.ENOENT, errno.ENOTDIR, errno.EISDIR, errno.ELOOP, errno.ENXIO, errno.EACCES, errno.EPERM}
)


def adopted(number: str) -> socket.socket | None:
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


class Handover:
    """Tells whether another process of this node runs, by locked files in a folder that both can write.

    `share` is called with True once another runs, and with False once it is alone again; `fits` says
    whether this process keeps within its half. While the folder's file system fails nobody can tell who
    runs: the process keeps to half of the limits and tries again at every look.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, folder: str, share: Callable[[bool], None], log: Log
    ) -> None:
        self.loop = loop
        self.folder = folder
        self.share = share
        self.log = log
        self.name = f"{PREFIX}{monotonic_ns():020d}-{secrets.token_hex(4)}"
        self.file = -1
        self.shared = False
        self.elder = False  # a younger process runs: it is this one that leaves
        self.told = False
        self.written = False  # the file may hold FITS, or a part of it
        self.known = False  # a look has succeeded
        self.failed_looks = 0  # in a row
        self.failing = False
        self.timer: asyncio.TimerHandle | None = None

    async def start(self, fits: Callable[[], bool]) -> None:
        """Joins; where another process runs, waits until that one has made room, or has had its time."""
        self.fits = fits
        with suppress(OSError):  # the look tries once more, and says what is wrong
            await retry_shortage(self.join, PATIENCE)
        self.look()
        if self.file < 0:
            return  # nobody can know of this process, and so nobody makes room for it
        end = self.loop.time() + PATIENCE
        while not self.has_room() and self.loop.time() < end:
            await asyncio.sleep(STEP)

    def has_room(self) -> bool:
        """Whether every other process has made room. False while that cannot be told."""
        try:
            return all(self.word(name) == FITS for name in self.others())
        except OSError:
            return False

    def join(self) -> None:
        """Makes this process's file, which is never seen under its name without its lock. OSError.

        A file that an earlier try could not remove is taken again: the name is this process's alone.
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
        self.file = file

    @staticmethod
    def remove(path: str) -> None:
        """Removes a file if that can be done; without its lock it counts for nothing anyway."""
        with suppress(OSError):
            os.unlink(path)

    def others(self) -> list[str]:
        """The files of other processes that run. What a dead one left is removed. OSError."""
        return [
            name
            for name in sorted(os.listdir(self.folder))
            if name.startswith(PREFIX)
            and not name.endswith(".new")
            and name != self.name
            and self.runs(os.path.join(self.folder, name))
        ]

    def runs(self, path: str) -> bool:
        """Whether a process holds the lock of this file. An OSError if that cannot be told."""
        try:
            file = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except OSError as e:
            if e.errno in NOT_A_PROCESS:
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

    def word(self, name: str) -> bytes:
        """What another process has written into its file."""
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                return file.read(len(FITS))
        except OSError:
            return b""

    def look(self) -> None:
        """Joins unless that has been done, and looks who runs: now and every so often."""
        fault: OSError | None = None
        others: list[str] = []
        try:
            if self.file < 0:
                self.join()
        except OSError as e:
            fault = e
        try:
            others = self.others()
            self.elder = any(name > self.name for name in others)
        except OSError as e:
            fault = fault or e
        if fault is None:
            self.agree(others)
        else:
            self.doubt(fault)
        with suppress(OSError):  # tried again at the next look; the younger waits for its patience
            self.say_whether_it_fits()
        self.timer = self.loop.call_later(LOOK, self.look)

    def agree(self, others: list[str]) -> None:
        """Takes over what a look has found."""
        if self.failing or bool(others) != self.shared:
            self.log.line("handover: another process runs" if others else "handover: alone")
        self.known, self.failing, self.failed_looks = True, False, 0
        self.set_shared(bool(others))

    def doubt(self, fault: OSError) -> None:
        """A look has failed; what was known before holds for a few looks more.

        Failure prevented: two processes that cannot agree take twice what one node may have.
        """
        self.failed_looks += 1
        if self.known and self.failed_looks < MOST_FAILED_LOOKS:
            return
        if not self.failing:
            self.failing = True
            self.log.line(f"handover: {fault.strerror}: this process keeps to half of the limits")
        self.set_shared(True)

    def set_shared(self, shared: bool) -> None:
        """Calls `share` on a change."""
        if shared != self.shared:
            self.shared = shared
            self.share(shared)

    def say_whether_it_fits(self) -> None:
        """An elder that has made room writes so into its file, and takes it back once it is alone. OSError.

        Failure prevented: what a failed write or truncation has left lets the next process in too early.
        """
        if self.file < 0:
            return
        if self.elder and (self.told or self.fits()):
            if not self.told:
                self.written = True
                self.told = os.pwrite(self.file, FITS, 0) == len(FITS)
            return
        self.told = False
        if self.written:
            os.ftruncate(self.file, 0)
            self.written = False

    def close(self) -> None:
        """This process is about to end."""
        if self.timer is not None:
            self.timer.cancel()
        if self.file >= 0:
            self.remove(os.path.join(self.folder, self.name))
            with suppress(OSError):
                os.close(self.file)
            self.file = -1
