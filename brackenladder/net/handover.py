"""Replacing the process: the inherited listening socket, and two processes that are one node for a while."""

from __future__ import annotations

import asyncio
import fcntl
import os
import secrets
import socket
import stat
from collections.abc import Callable
from contextlib import suppress
from time import monotonic_ns

from brackenladder.net.log import Log

PREFIX = "brackenladder-"
LOOK = 0.1  # seconds between two looks for another process
PATIENCE = 1.0  # seconds that a new process gives the old one to make room
STEP = 0.02
FITS = b"fits\n"  # an elder has made room


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
    whether this process keeps within its half.
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
        self.timer: asyncio.TimerHandle | None = None

    async def start(self, fits: Callable[[], bool]) -> None:
        """Joins; where another process runs, waits until that one has made room, or has had its time."""
        self.fits = fits
        try:
            self.join()
        except OSError as e:
            # Failure prevented: two processes that cannot agree take twice what one node may have.
            self.log.line(f"handover: {e.strerror}: this process keeps to half of the limits")
            self.share(True)
            return
        self.look()
        end = self.loop.time() + PATIENCE
        while any(self.word(name) != FITS for name in self.others()) and self.loop.time() < end:
            await asyncio.sleep(STEP)

    def join(self) -> None:
        """Makes this process's file, which is never seen under its name without its lock."""
        path = os.path.join(self.folder, self.name)
        self.file = os.open(path + ".new", os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        os.rename(path + ".new", path)

    def others(self) -> list[str]:
        """The files of other processes that run. What a dead one left is removed."""
        try:
            names = sorted(os.listdir(self.folder))
        except OSError:
            return []
        return [
            name
            for name in names
            if name.startswith(PREFIX)
            and not name.endswith(".new")
            and name != self.name
            and self.runs(os.path.join(self.folder, name))
        ]

    def runs(self, path: str) -> bool:
        """Whether a process holds the lock of this file."""
        try:
            file = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            if not stat.S_ISREG(os.fstat(file).st_mode):
                return False
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            os.close(file)
        with suppress(OSError):
            os.unlink(path)
        return False

    def word(self, name: str) -> bytes:
        """What another process has written into its file."""
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                return file.read(len(FITS))
        except OSError:
            return b""

    def look(self) -> None:
        """Looks who runs, now and every so often."""
        others = self.others()
        self.elder = any(name > self.name for name in others)
        if bool(others) != self.shared:
            self.shared = bool(others)
            self.log.line("handover: another process runs" if others else "handover: alone")
            self.share(self.shared)
        with suppress(OSError):  # the folder is full: the younger waits for its patience, and no longer
            if self.elder and not self.told and self.fits():
                self.told = os.pwrite(self.file, FITS, 0) == len(FITS)
            elif self.told and not self.elder:
                self.told = False
                os.ftruncate(self.file, 0)
        self.timer = self.loop.call_later(LOOK, self.look)

    def close(self) -> None:
        """This process is about to end."""
        if self.timer is not None:
            self.timer.cancel()
        if self.file >= 0:
            with suppress(OSError):
                os.unlink(os.path.join(self.folder, self.name))
            os.close(self.file)
            self.file = -1
