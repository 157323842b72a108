"""Replacement of files: each new one appears complete and on the disk, or not at all."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable, Mapping
from contextlib import suppress
from functools import partial
from pathlib import Path

FILE_MODE = 0o644  # a temporary file begins readable by its owner alone

Writer = Callable[[Path], object]  # writes a file's contents to the path that it is given


def sync(path: Path) -> None:
    """Returns once what was written to the file is on the disk.

    Raises:
        OSError: The file cannot be synced.
    """
    with path.open("rb") as file:
        os.fsync(file.fileno())


def replace_files(files: Mapping[Path, bytes]) -> None:
    """Replaces files by new contents, as `write_files` does.

    Raises:
        OSError: A file cannot be written.
    """
    write_files({target: partial(Path.write_bytes, data=data) for target, data in files.items()})


def write_files(writers: Mapping[Path, Writer]) -> None:
    """Replaces files by what their writers write; none before all new ones are on the disk.

    Failure prevented: a full disk leaves new pages beside old numbers, or a file that is cut short.

    Raises:
        OSError: A file cannot be written.
    """
    temporary_files: dict[Path, Path] = {}  # by target
    try:
        for target, write in writers.items():
            temporary_files[target] = temporary_file(target)
            write(temporary_files[target])
            temporary_files[target].chmod(FILE_MODE)
            sync(temporary_files[target])
        for target, temporary in temporary_files.items():
            temporary.replace(target)
    finally:
        for temporary in temporary_files.values():
            with suppress(OSError):
                temporary.unlink(missing_ok=True)


def temporary_file(target: Path) -> Path:
    """Creates an empty hidden file beside the target, with the target's suffix.

    Raises:
        OSError: The file cannot be created.
    """
    descriptor, name = tempfile.mkstemp(dir=target.parent, prefix=".", suffix=target.suffix)
    os.close(descriptor)
    return Path(name)
