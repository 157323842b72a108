"""The node as another revision of this repository has it, unpacked beside today's."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

from workbench.baselines.revisions import ROOT, RevisionError, full_revision
from workbench.lab.plan import PlanError

PART = "balancer"
NEEDED = "balancer/fleet/host.py"  # a revision without it has no fleet to be part of


def unpack(revision: str, folder: Path) -> str:
    """Puts a revision's node into `folder`, for processes that are started there, and gives the revision's
    whole name. PlanError where there is no such revision, or it has no fleet."""
    try:
        whole = full_revision(revision)
    except RevisionError as e:
        raise PlanError(f"earlier: {str(e).removeprefix('git:')}") from None
    done = subprocess.run(["git", "archive", whole, PART], cwd=ROOT, capture_output=True, timeout=60)
    if done.returncode:
        raise PlanError(f"earlier: {revision}: {done.stderr.decode(errors='replace').strip()}")
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(folder, filter="data")
    if not (folder / NEEDED).exists():
        raise PlanError(f"earlier: {revision}: it has no fleet: a revision with {NEEDED} is wanted")
    return whole
