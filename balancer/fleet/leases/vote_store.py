"""The highest token that a voter may have granted, kept on a disk for its next incarnation.

A file for each voter, written completely under another name, synced and renamed, before anything beyond it is
granted; ahead by `CEILING_MARGIN`, so that not every grant waits for the disk. What cannot be read correctly
is named and not trusted: the voter then starts as one without memory. What cannot be read or written for now
(`ENOSPC`, `EIO`, a folder that is not mounted) is retried; until then nothing beyond the ceiling is
granted.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Callable
from pathlib import Path

from balancer.fleet.leases.ceiling import CeilingUnavailableError, TokenRange

CEILING_MARGIN = 60_000  # tokens follow milliseconds of Unix time: a write a minute
FILE_HEADER = b"brackenladder votes 1"  # files keep the node's former name
FILE_LINES = 3  # header, name of the voter, token; the checksum follows
FILE_MODE = 0o666  # less the process's umask
CHECKSUM_BYTES = 16


class VoteStoreError(Exception):
    """A file of votes that is not to be trusted; the message is one line."""


class VoteStoreUnavailableError(VoteStoreError):
    """A file of votes that cannot be read for now; what it holds may be complete."""


def checksum(body: bytes) -> bytes:
    """The last line of a file, made from the lines before it."""
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()


def read_file(path: Path) -> bytes | None:
    """What a voter's file holds; None where there is none in its folder.

    Raises:
        VoteStoreUnavailableError: The file or its folder cannot be read.
    """
    try:
        return path.read_bytes()
    except FileNotFoundError:
        if path.parent.is_dir():
            return None
        raise VoteStoreUnavailableError(f"{path.parent}: no such folder") from None
    except OSError as error:
        raise VoteStoreUnavailableError(f"{path}: {error.strerror}") from None


def load(path: Path, name: str) -> int:
    """The token in a voter's file; 0 where there is none.

    Raises:
        VoteStoreError: The file is torn, or not this voter's, or cannot be read.
    """
    data = read_file(path)
    if data is None:
        return 0
    body, _, digest = data.rstrip(b"\n").rpartition(b"\n")
    if digest != checksum(body):
        raise VoteStoreError(f"{path}: torn or changed: its checksum does not fit")
    lines = body.split(b"\n")
    if len(lines) != FILE_LINES or lines[0] != FILE_HEADER or not lines[2].isdigit():
        raise VoteStoreError(f"{path}: not a file of votes")
    if lines[1] != name.encode():
        raise VoteStoreError(f"{path}: the votes of {lines[1].decode(errors='replace')}, not of {name}")
    return int(lines[2])


def save(path: Path, name: str, token: int) -> None:
    """Replaces a voter's file; it is on the disk when this returns.

    Raises:
        OSError: The file could not be replaced; it is the one before or the new one, and complete either way.
    """
    body = b"\n".join([FILE_HEADER, name.encode(), str(token).encode()])
    part = path.with_suffix(".part")
    write_synced(part, body + b"\n" + checksum(body) + b"\n")
    os.rename(part, path)
    sync_folder(path.parent)


def write_synced(path: Path, data: bytes) -> None:
    """Writes a file from its beginning and syncs it.

    Raises:
        OSError: As a system call had it.
    """
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
    try:
        written = 0
        while written < len(data):
            written += os.write(descriptor, data[written:])
        os.fsync(descriptor)
    except OSError:
        close_after_error(descriptor)
        raise
    os.close(descriptor)


def close_after_error(descriptor: int) -> None:
    """Closes a file whose first error is the one to be reported."""
    try:
        os.close(descriptor)
    except OSError:
        return  # Linux has released the descriptor all the same


def sync_folder(folder: Path) -> None:
    """Makes a renaming durable.

    Raises:
        OSError: As a system call had it.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    except OSError:
        close_after_error(descriptor)
        raise
    os.close(descriptor)


class VoteStore:
    """One voter's file over one incarnation: read once, raised as needed.

    Args:
        path: Of the file.
        name: Of the voter.
        log_line: Hears once that the disk fails, and once that it works again.
    """

    def __init__(self, path: Path, name: str, log_line: Callable[[str], None]) -> None:
        self.path = path
        self.name = name
        self.log_line = log_line
        self.floor: int | None = None  # what the last incarnation left; None until it could be read
        self.failing = False

    def open(self) -> int:
        """The token that all grants of this incarnation are above, as far as it can be read now."""
        try:
            return self.read_floor()
        except VoteStoreUnavailableError as error:
            self.report_failure(str(error))
            return 0

    def read_floor(self) -> int:
        """What the last incarnation left, read once.

        Failure prevented: a disk fails at the start alone, and the higher token on it is overwritten.

        Raises:
            VoteStoreUnavailableError: The disk gives no answer for now.
        """
        if self.floor is None:
            self.floor = self.load_or_distrust()
        return self.floor

    def load_or_distrust(self) -> int:
        """The token in the file; 0, and a line in the log, where it is not to be trusted."""
        try:
            return load(self.path, self.name)
        except VoteStoreUnavailableError:
            raise
        except VoteStoreError as error:
            self.log_line(f"lease votes not trusted: {error}")
            return 0

    def raise_ceiling(self, token: int) -> TokenRange:
        """Called before a token beyond the ceiling is granted.

        Raises:
            CeilingUnavailableError: The disk fails.
        """
        try:
            floor = self.read_floor()
            ceiling = max(floor, token + CEILING_MARGIN)
            save(self.path, self.name, ceiling)
        except VoteStoreUnavailableError as error:
            self.report_failure(str(error))
            raise CeilingUnavailableError from error
        except OSError as error:
            self.report_failure(f"{self.path}: {error.strerror}")
            raise CeilingUnavailableError from error
        self.report_success()
        return TokenRange(floor, ceiling)

    def report_failure(self, why: str) -> None:
        """Logs a failure once, until the disk works again."""
        if not self.failing:
            self.failing = True
            self.log_line(f"lease votes cannot be kept, nothing beyond the ceiling is granted: {why}")

    def report_success(self) -> None:
        """Logs once that a disk that failed works again."""
        if self.failing:
            self.failing = False
            self.log_line(f"lease votes are kept again: {self.path}")
