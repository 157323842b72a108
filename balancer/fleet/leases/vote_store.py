"""Storage of the highest token that a voter may have granted, for the voter's next incarnation.

Each voter has one file that contains its ceiling, the highest token that it may grant without another disk
write. Before the voter grants a token above the ceiling, it writes a new file under a temporary name, syncs
it and renames it. The new ceiling is `CEILING_MARGIN_TOKENS` above the token, so that not every grant waits
for the disk.

A damaged file is logged and ignored: the voter then starts without stored votes. A file that cannot be read
or written at present (`ENOSPC`, `EIO`, a folder that is not mounted) is retried; until that succeeds, nothing
above the ceiling is granted.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Callable
from pathlib import Path

from balancer.fleet.leases.ceiling import CeilingUnavailableError, TokenRange

# Number of tokens between a stored ceiling and the token that required it. Tokens follow Unix time in
# milliseconds, so this margin means one write a minute.
CEILING_MARGIN_TOKENS = 60_000
FILE_HEADER = b"brackenladder votes 1"  # Another header would invalidate stored files.
BODY_LINES = 3  # Lines before the checksum: header, name of the voter, token.
FILE_MODE = 0o666  # The process's umask removes bits from this mode.
CHECKSUM_BYTES = 16


class VoteStoreError(Exception):
    """A vote file is damaged or belongs to another voter; the message is one line."""


class VoteStoreUnavailableError(VoteStoreError):
    """A vote file cannot be read at present; its content may be intact."""


def checksum(body: bytes) -> bytes:
    """Return the checksum that the last line of a vote file contains, computed from the lines before it."""
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()


def read_file(path: Path) -> bytes | None:
    """Return the content of a vote file, or None if its folder exists without the file.

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
    """Return the ceiling stored in a vote file, or 0 if there is no file.

    Raises:
        VoteStoreError: The file is damaged, belongs to another voter, or cannot be read.
    """
    data = read_file(path)
    if data is None:
        return 0
    body, _, digest = data.rstrip(b"\n").rpartition(b"\n")
    if digest != checksum(body):
        raise VoteStoreError(f"{path}: torn or changed: checksum mismatch")
    lines = body.split(b"\n")
    if len(lines) != BODY_LINES or lines[0] != FILE_HEADER or not lines[2].isdigit():
        raise VoteStoreError(f"{path}: not a vote file")
    if lines[1] != name.encode():
        raise VoteStoreError(f"{path}: has the votes of {lines[1].decode(errors='replace')}, not of {name}")
    return int(lines[2])


def save(path: Path, name: str, token: int) -> None:
    """Replace a vote file by one with the given token as ceiling; return once it is on the disk.

    Raises:
        OSError: The file may not have been replaced; it is the previous or the new one, and complete in
            either case.
    """
    body = b"\n".join([FILE_HEADER, name.encode(), str(token).encode()])
    temporary_path = path.with_suffix(".part")
    write_synced(temporary_path, body + b"\n" + checksum(body) + b"\n")
    os.rename(temporary_path, path)
    sync_folder(path.parent)


def write_synced(path: Path, data: bytes) -> None:
    """Truncate a file, write its content and sync it.

    Raises:
        OSError: A system call failed.
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
    """Close a file after an error, without replacing that error by one of closing."""
    try:
        os.close(descriptor)
    except OSError:
        return  # Linux releases the descriptor even if closing fails.


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that a rename in it is durable.

    Raises:
        OSError: A system call failed.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    except OSError:
        close_after_error(descriptor)
        raise
    os.close(descriptor)


class VoteStore:
    """The vote file of one voter during one incarnation: read once, and replaced when the ceiling rises.

    Args:
        path: Path of the file.
        name: Name of the voter.
        log_line: Writes a line to the log, once when the disk starts to fail and once when it works again.
    """

    def __init__(self, path: Path, name: str, log_line: Callable[[str], None]) -> None:
        self.path = path
        self.name = name
        self.log_line = log_line
        self.floor: int | None = None  # Last incarnation's ceiling; None until it was read.
        self.is_failing = False

    def open(self) -> int:
        """Return the voter's floor, the token up to which it grants nothing; 0 if the file cannot be read."""
        try:
            return self.read_floor()
        except VoteStoreUnavailableError as error:
            self.report_failure(str(error))
            return 0

    def read_floor(self) -> int:
        """Return the ceiling of the last incarnation, which is read once.

        The stored ceiling is read before the first write. Otherwise, after a disk failure that lasts only
        during the start, a lower ceiling could overwrite the higher one in the file.

        Raises:
            VoteStoreUnavailableError: The file cannot be read at present.
        """
        if self.floor is None:
            self.floor = self.load_or_zero()
        return self.floor

    def load_or_zero(self) -> int:
        """Return the ceiling in the vote file; if it is damaged or another voter's, log that and return 0.

        Raises:
            VoteStoreUnavailableError: The file cannot be read at present.
        """
        try:
            return load(self.path, self.name)
        except VoteStoreUnavailableError:
            raise
        except VoteStoreError as error:
            self.log_line(f"lease votes not trusted: {error}")
            return 0

    def raise_ceiling(self, token: int) -> TokenRange:
        """Store a ceiling above a token, before that token is granted.

        Returns:
            The range of tokens that may be granted from now on.

        Raises:
            CeilingUnavailableError: The disk fails.
        """
        try:
            floor = self.read_floor()
            ceiling = max(floor, token + CEILING_MARGIN_TOKENS)
            save(self.path, self.name, ceiling)
        except VoteStoreUnavailableError as error:
            self.report_failure(str(error))
            raise CeilingUnavailableError from error
        except OSError as error:
            self.report_failure(f"{self.path}: {error.strerror}")
            raise CeilingUnavailableError from error
        self.report_success()
        return TokenRange(floor, ceiling)

    def report_failure(self, reason: str) -> None:
        """Log the first of successive failures of the disk."""
        if not self.is_failing:
            self.is_failing = True
            self.log_line(f"lease votes cannot be kept, nothing beyond the ceiling is granted: {reason}")

    def report_success(self) -> None:
        """Log that the disk works again, if it failed before."""
        if self.is_failing:
            self.is_failing = False
            self.log_line(f"lease votes are kept again: {self.path}")
