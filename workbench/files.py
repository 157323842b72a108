"""Files that appear whole and on the disk, or not at all."""

from __future__ import annotations

import os
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path


def sync(path: Path) -> None:
    """Returns once what was written to the file is on the disk. OSError."""
    with path.open("rb") as file:
        os.fsync(file.fileno())


def replace_files(files: Mapping[Path, bytes]) -> None:
    """Writes files; none takes the place of an older one before all are on the disk. OSError.

    Failure prevented: a full disk leaves new pages beside old numbers, or a file that is cut short.
    """
    parts = {target: target.with_name(f".{target.name}.part") for target in files}
    try:
        for target, part in parts.items():
            part.write_bytes(files[target])
            sync(part)
        for target, part in parts.items():
            part.replace(target)
    finally:
        for part in parts.values():
            with suppress(OSError):
                part.unlink(missing_ok=True)
