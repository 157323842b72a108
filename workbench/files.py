"""Atomic replacement of files: a new file appears complete and synced to disk, or not at all."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable, Mapping
from contextlib import suppress
from functools import partial
from pathlib import Path

# Mode of the new files; a temporary file is created readable by its owner only.
FILE_MODE = 0o644

# Writes the contents of a file to the given path.
Writer = Callable[[Path], object]


def sync(path: Path) -> None:
    """Wait until the contents of a file are on the disk.

    Raises:
        OSError: The file cannot be synced.
    """
    with path.open("rb") as file:
        os.fsync(file.fileno())


def replace_files(files: Mapping[Path, bytes]) -> None:
    """Replace the contents of files in the manner of `write_files`.

    Raises:
        OSError: A file cannot be written.
    """
    write_files({target: partial(Path.write_bytes, data=data) for target, data in files.items()})


def write_files(writers: Mapping[Path, Writer]) -> None:
    """Replace files by the output of their writers, none before all new files are on the disk.

    A full disk therefore leaves neither a truncated file nor a mixture of new and old files.

    Raises:
        OSError: A file cannot be written.
    """
    temporary_files: dict[Path, Path] = {}
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
    """Create an empty hidden file in the folder of the target, with the target's suffix.

    Raises:
        OSError: The file cannot be created.
    """
    descriptor, name = tempfile.mkstemp(dir=target.parent, prefix=".", suffix=target.suffix)
    os.close(descriptor)
    return Path(name)
