"""The error for bad input, and output files that are complete or not written at all."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from workbench.files import write_files


class InputError(Exception):
    """Bad input of the user, one line for each error; the command exits with status 2."""


def writable(path: str) -> Path:
    """Returns the path of an output file, checked before any work is done.

    Raises:
        InputError: No file can be written there.
    """
    target = Path(path)
    folder = target.parent
    if target.is_dir():
        raise InputError(f"{path}: is a folder: a file's name is wanted")
    if not folder.is_dir():
        raise InputError(f"{path}: no such folder: {folder}")
    if not os.access(folder, os.W_OK):
        raise InputError(f"{path}: the folder cannot be written to")
    return target


def write_atomically(target: Path, write: Callable[[Path], None]) -> None:
    """Writes a file completely or not at all, whatever interrupts it.

    Args:
        target: The file.
        write: Writes the content to a temporary path.

    Raises:
        InputError: The file cannot be written.
    """
    try:
        write_files({target: write})
    except OSError as e:
        raise InputError(f"{target}: cannot be written: {e.strerror}") from None
