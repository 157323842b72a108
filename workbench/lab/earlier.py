"""The node of another revision of this repository, unpacked beside today's."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

from workbench.baselines.revisions import (
    FORMER_NODE_PACKAGE,
    NODE_PACKAGE,
    ROOT,
    RevisionError,
    full_revision,
    list_files,
)
from workbench.lab.plan import PlanError

FLEET_MODULE = "fleet/config.py"  # within the node's package; a revision without it has no fleet
GIT_TIMEOUT_S = 60


def unpack(revision: str, folder: Path) -> str:
    """Unpacks a revision's node for processes that are started in its folder.

    Args:
        revision: A revision of this repository by any of its names.
        folder: Where the node's package goes.

    Returns:
        The revision's complete name.

    Raises:
        PlanError: There is no such revision, or it has no fleet.
    """
    try:
        full_name = full_revision(revision)
        package = package_with_fleet(full_name)
    except RevisionError as e:
        raise PlanError(f"earlier: {str(e).removeprefix('git:')}") from None
    done = subprocess.run(
        ["git", "archive", full_name, package], cwd=ROOT, capture_output=True, timeout=GIT_TIMEOUT_S
    )
    if done.returncode:
        raise PlanError(f"earlier: {revision}: {done.stderr.decode(errors='replace').strip()}")
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return full_name


def package_with_fleet(revision: str) -> str:
    """Returns the name that the node's package had at a revision.

    Raises:
        RevisionError: The node of this revision has no fleet.
    """
    for package in (NODE_PACKAGE, FORMER_NODE_PACKAGE):
        if f"{package}/{FLEET_MODULE}" in list_files(revision, package):
            return package
    raise RevisionError(f"{revision}: it has no fleet: a revision with {FLEET_MODULE} is wanted")


def package_in(folder: Path) -> str:
    """Returns the name of the node's package that was unpacked into a folder."""
    return NODE_PACKAGE if (folder / NODE_PACKAGE).exists() else FORMER_NODE_PACKAGE
