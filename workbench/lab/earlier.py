"""Extraction of the node's package from another revision of this repository, to run both in one lab."""

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

# Path within the node's package. A revision without this file has no fleet.
FLEET_MODULE = "fleet/config.py"
GIT_TIMEOUT_S = 60


def unpack(revision: str, folder: Path) -> str:
    """Extract the node's package of a revision into a folder, in which its processes are then started.

    Args:
        revision: A revision of this repository, in any form that Git accepts.
        folder: The directory that the package is extracted into.

    Returns:
        The full hash of the revision.

    Raises:
        PlanError: The revision does not exist, or its node has no fleet.
    """
    try:
        full_hash = full_revision(revision)
        package = package_with_fleet(full_hash)
    except RevisionError as e:
        raise PlanError(f"earlier: {str(e).removeprefix('git:')}") from None
    completed = subprocess.run(
        ["git", "archive", full_hash, package], cwd=ROOT, capture_output=True, timeout=GIT_TIMEOUT_S
    )
    if completed.returncode:
        raise PlanError(f"earlier: {revision}: {completed.stderr.decode(errors='replace').strip()}")
    with tarfile.open(fileobj=io.BytesIO(completed.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return full_hash


def package_with_fleet(revision: str) -> str:
    """Return the name of the node's package at a revision.

    Raises:
        RevisionError: The node of this revision has no fleet.
    """
    for package in (NODE_PACKAGE, FORMER_NODE_PACKAGE):
        if f"{package}/{FLEET_MODULE}" in list_files(revision, package):
            return package
    raise RevisionError(f"{revision}: it has no fleet: {FLEET_MODULE} does not exist in this revision")


def unpacked_package(folder: Path) -> str:
    """Return the name of the node's package that was extracted into a folder."""
    return NODE_PACKAGE if (folder / NODE_PACKAGE).exists() else FORMER_NODE_PACKAGE
