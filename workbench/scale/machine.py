"""Limits on what a run may use of this machine: worker processes by its cores, and half of its memory."""

from __future__ import annotations

import os
from pathlib import Path

from workbench.scale.plan import Plan, PlanError

# Fewest members for which a worker process is worth its cost.
MEMBERS_PER_WORKER = 10
# Cores that are left for the parent, the real nodes and the machine itself.
SPARE_CORES = 2
# Approximate memory of one member's entry for another.
BYTES_PER_VIEW_ENTRY = 800
# Approximate memory of a member without its entries for others.
BYTES_PER_MEMBER = 100_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def default_workers(hollow: int) -> int:
    """Return the number of workers for some hollow members, limited by the cores of the machine."""
    cores = len(os.sched_getaffinity(0))
    return max(1, min(cores - SPARE_CORES, hollow // MEMBERS_PER_WORKER))


def memory_limit() -> int:
    """Return the bytes that all workers together may use."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES // 2


def resident_memory(pid: int) -> int:
    """Return the resident bytes of a process, or 0 if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def check_memory_need(plan: Plan) -> None:
    """Check that a group fits in half of the machine's memory.

    Raises:
        PlanError: The group would need more.
    """
    members = plan.hollow + plan.real
    known = members if plan.membership == "flat" else members // plan.zones + 1
    need = plan.hollow * (known * BYTES_PER_VIEW_ENTRY + BYTES_PER_MEMBER)
    limit = memory_limit()
    if need > limit:
        raise PlanError(
            f"hollow: {plan.hollow}: would take some {need >> 20} MB:"
            f" must fit in half of this machine's memory, {limit >> 20} MB"
        )
