"""The highest number that a voter may have granted, kept for its next life where a deployment has a disk.

A file for each voter, written whole under another name, synced and renamed, before anything beyond it is
granted; ahead by `AHEAD`, so that not every grant waits for the disk. What cannot be read right is named and
not trusted: the voter then starts as one that comes back from nothing. What cannot be read or written for
now (`ENOSPC`, `EIO`, a folder that is not mounted) is tried again; until then nothing beyond the ceiling is
granted.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Callable
from pathlib import Path

from balancer.fleet.leases.voter import CeilingUnavailable, VoteRange

AHEAD = 60_000  # numbers follow milliseconds of Unix time: a write a minute
MAGIC = b"brackenladder votes 1"
FILE_MODE = 0o666  # less the process's umask


class StoreFault(Exception):
    """A file of votes that is not to be trusted: one line."""


class StoreUnavailable(StoreFault):
    """A file of votes that cannot be read for now; what it holds may be whole."""


def checksum(body: bytes) -> bytes:
    """What the last line of a file has to say of the lines before it."""
    return hashlib.blake2b(body, digest_size=16).hexdigest().encode()


def read_file(path: Path) -> bytes | None:
    """What a voter's file holds; None where there is none in its folder. StoreUnavailable."""
    try:
        return path.read_bytes()
    except FileNotFoundError:
        if path.parent.is_dir():
            return None
        raise StoreUnavailable(f"{path.parent}: no such folder") from None
    except OSError as e:
        raise StoreUnavailable(f"{path}: {e.strerror}") from None


def load(path: Path, name: str) -> int:
    """The number in a voter's file; 0 where there is none. StoreFault."""
    data = read_file(path)
    if data is None:
        return 0
    body, _, digest = data.rstrip(b"\n").rpartition(b"\n")
    if digest != checksum(body):
        raise StoreFault(f"{path}: torn or changed: its checksum does not fit")
    lines = body.split(b"\n")
    if len(lines) != 3 or lines[0] != MAGIC or not lines[2].isdigit():
        raise StoreFault(f"{path}: not a file of votes")
    if lines[1] != name.encode():
        raise StoreFault(f"{path}: the votes of {lines[1].decode(errors='replace')}, not of {name}")
    return int(lines[2])


def save(path: Path, name: str, number: int) -> None:
    """Replaces the file; it is on the disk when this returns. An OSError where it cannot be: the file is then
    the one before or the new one, and whole either way."""
    body = b"\n".join([MAGIC, name.encode(), str(number).encode()])
    part = path.with_suffix(".part")
    write_synced(part, body + b"\n" + checksum(body) + b"\n")
    os.rename(part, path)
    sync_folder(path.parent)


def write_synced(path: Path, data: bytes) -> None:
    """Writes a file from its beginning and syncs it. OSError."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
    try:
        written = 0
        while written < len(data):
            written += os.write(descriptor, data[written:])
        os.fsync(descriptor)
    except OSError:
        close_after_fault(descriptor)
        raise
    os.close(descriptor)


def close_after_fault(descriptor: int) -> None:
    """Closes a file whose first fault is the one to be told."""
    try:
        os.close(descriptor)
    except OSError:
        return  # Linux has released the descriptor all the same


def sync_folder(folder: Path) -> None:
    """Makes a renaming last. OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    except OSError:
        close_after_fault(descriptor)
        raise
    os.close(descriptor)


class VoteStore:
    """One voter's file over one life: read once, raised as needed. `log_line` hears once that the disk fails,
    and once that it works again."""

    def __init__(self, path: Path, name: str, log_line: Callable[[str], None]) -> None:
        self.path = path
        self.name = name
        self.log_line = log_line
        self.floor: int | None = None  # what the last life left; None until it could be read
        self.failing = False

    def open(self) -> int:
        """The number that all grants of this life are above, as far as it can be read now."""
        try:
            return self.read_floor()
        except StoreUnavailable as fault:
            self.failed(str(fault))
            return 0

    def read_floor(self) -> int:
        """What the last life left. StoreUnavailable where the disk does not say.

        Failure prevented: a disk fails at the start alone, and the higher number on it is overwritten.
        """
        if self.floor is None:
            try:
                self.floor = load(self.path, self.name)
            except StoreUnavailable:
                raise
            except StoreFault as fault:
                self.log_line(f"duty votes not trusted: {fault}")
                self.floor = 0
        return self.floor

    def raised(self, number: int) -> VoteRange:
        """Called before a number beyond the ceiling is granted. CeilingUnavailable while the disk fails."""
        try:
            floor = self.read_floor()
            ceiling = max(floor, number + AHEAD)
            save(self.path, self.name, ceiling)
        except StoreUnavailable as fault:
            self.failed(str(fault))
            raise CeilingUnavailable from fault
        except OSError as fault:
            self.failed(f"{self.path}: {fault.strerror}")
            raise CeilingUnavailable from fault
        if self.failing:
            self.failing = False
            self.log_line(f"duty votes are kept again: {self.path}")
        return VoteRange(floor, ceiling)

    def failed(self, why: str) -> None:
        """Says so once, until the disk works again."""
        if not self.failing:
            self.failing = True
            self.log_line(f"duty votes cannot be kept, nothing beyond the ceiling is granted: {why}")
