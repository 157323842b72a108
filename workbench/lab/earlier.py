"""The node as another revision of this repository has it, unpacked beside today's."""

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


def unpack(revision: str, folder: Path) -> str:
    """Puts a revision's node into `folder`, for processes that are started there, and gives the revision's
    whole name. PlanError where there is no such revision, or it has no fleet."""
    try:
        whole = full_revision(revision)
        package = package_with_fleet(whole)
    except RevisionError as e:
        raise PlanError(f"earlier: {str(e).removeprefix('git:')}") from None
    done = subprocess.run(["git", "archive", whole, package], cwd=ROOT, capture_output=True, timeout=60)
    if done.returncode:
        raise PlanError(f"earlier: {revision}: {done.stderr.decode(errors='replace').strip()}")
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return whole


def package_with_fleet(revision: str) -> str:
    """The node's package at a revision, under the name that it had then. RevisionError."""
    for package in (NODE_PACKAGE, FORMER_NODE_PACKAGE):
        if f"{package}/{FLEET_MODULE}" in list_files(revision, package):
            return package
    raise RevisionError(f"{revision}: it has no fleet: a revision with {FLEET_MODULE} is wanted")


def package_in(folder: Path) -> str:
    """The name of the node's package that was unpacked into a folder."""
    return NODE_PACKAGE if (folder / NODE_PACKAGE).exists() else FORMER_NODE_PACKAGE
