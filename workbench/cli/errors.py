"""What a command says of bad input, and how it writes files."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from workbench.files import write_files


class Bad(Exception):
    """A user's input that cannot be used: a line for each fault; the command ends with status 2."""


def writable(path: str) -> Path:
    """A place for a file, looked at before any work is done. Bad."""
    target = Path(path)
    folder = target.parent
    if target.is_dir():
        raise Bad(f"{path}: is a folder: a file's name is wanted")
    if not folder.is_dir():
        raise Bad(f"{path}: no such folder: {folder}")
    if not os.access(folder, os.W_OK):
        raise Bad(f"{path}: the folder cannot be written to")
    return target


def write_whole(target: Path, write: Callable[[Path], None]) -> None:
    """The file appears whole or not at all, whatever stops the writing. Bad."""
    try:
        write_files({target: write})
    except OSError as e:
        raise Bad(f"{target}: cannot be written: {e.strerror}") from None
