"""The highest number that a voter may have granted, kept for its next life where a deployment has a disk.

A file for each voter, written whole under another name, synced and renamed, before anything beyond it is
granted; ahead by `AHEAD`, so that not every grant waits for the disk. What cannot be read right is named and
not trusted: the voter then starts as one that comes back from nothing.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Callable
from pathlib import Path

AHEAD = 60_000  # numbers follow milliseconds of Unix time: a write a minute
MAGIC = b"brackenladder votes 1"


class StoreFault(Exception):
    """A file of votes that is not to be trusted: one line."""


def checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=16).hexdigest().encode()


def load(path: Path, name: str) -> int:
    """The number in a voter's file; 0 where there is none. StoreFault."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return 0
    except OSError as e:
        raise StoreFault(f"{path}: {e.strerror}") from None
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
    """Replaces the file; it is on the disk when this returns. An OSError where it cannot be."""
    body = b"\n".join([MAGIC, name.encode(), str(number).encode()])
    part = path.with_suffix(".part")
    with part.open("wb") as file:
        file.write(body + b"\n" + checksum(body) + b"\n")
        file.flush()
        os.fsync(file.fileno())
    part.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def keeper(path: Path, name: str) -> Callable[[int], int]:
    """What a voter calls before it grants a number beyond its ceiling; gives the new ceiling."""

    def raised(number: int) -> int:
        save(path, name, number + AHEAD)
        return number + AHEAD

    return raised
