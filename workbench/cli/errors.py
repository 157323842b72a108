"""Errors of bad input, and output files that are written completely or not at all."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from workbench.files import write_files


class InputError(Exception):
    """Bad input of the user, with one line for each error; the command exits with status 2."""


def checked_output_path(path: str) -> Path:
    """Return the path of an output file, after checking that it can be written.

    Raises:
        InputError: No file can be written there.
    """
    target = Path(path)
    folder = target.parent
    if target.is_dir():
        raise InputError(f"{path}: is a folder: must be a file name")
    if not folder.is_dir():
        raise InputError(f"{path}: no such folder: {folder}")
    if not os.access(folder, os.W_OK):
        raise InputError(f"{path}: the folder is not writable")
    return target


def write_atomically(target: Path, write: Callable[[Path], None]) -> None:
    """Write a file completely or not at all, even if interrupted.

    Args:
        target: Path of the file.
        write: Called with a temporary path to write the content to.

    Raises:
        InputError: The file cannot be written.
    """
    try:
        write_files({target: write})
    except OSError as e:
        raise InputError(f"{target}: cannot be written: {e.strerror}") from None
