"""What a run may take of this machine: processes by its cores, and half of its memory."""

from __future__ import annotations

import os
from pathlib import Path

from workbench.scale.plan import Plan, PlanError

MEMBERS_PER_WORKER = 10  # fewer are not worth a process
SPARE_CORES = 2  # for the parent, the real nodes and the machine itself
BYTES_PER_ENTRY = 800  # one member's knowledge of another, roughly
BYTES_PER_MEMBER = 100_000  # and what it takes beside that
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def default_workers(hollow: int) -> int:
    """As many as the cores bear and the members are worth."""
    cores = len(os.sched_getaffinity(0))
    return max(1, min(cores - SPARE_CORES, hollow // MEMBERS_PER_WORKER))


def memory_limit() -> int:
    """Bytes that all workers together may take."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES // 2


def resident(pid: int) -> int:
    """Bytes of a process in memory; 0 once it is gone."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def check_memory_need(plan: Plan) -> None:
    """Refuses a group that would take more than half of the machine's memory. PlanError."""
    members = plan.hollow + plan.real
    known = members if plan.membership == "flat" else members // plan.zones + 1
    need = plan.hollow * (known * BYTES_PER_ENTRY + BYTES_PER_MEMBER)
    limit = memory_limit()
    if need > limit:
        raise PlanError(
            f"hollow: {plan.hollow}: would take some {need >> 20} MB:"
            f" must fit in half of this machine's memory, {limit >> 20} MB"
        )
