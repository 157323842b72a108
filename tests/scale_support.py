"""Scale runs for tests, in this process or as a subprocess.

A run in which the machine was the bottleneck doesn't count and is repeated.
"""

import subprocess
import sys
from typing import Any

from balancer.fleet.membership.swim import Claim, Status
from workbench.scale import run as scale_run
from workbench.scale.group import Group
from workbench.scale.messages import Traffic, Window
from workbench.scale.plan import Plan, build_group, parse_plan
from workbench.scale.run import Outcome

RUN_TIMEOUT_S = 90.0  # Only a failing test waits this long.
MAX_RUNS = 4  # The first run and its repetitions.
EXIT_RUN_NOT_COUNTED = 3


def command(*words: object) -> list[str]:
    """Return the command line of a scale run with these arguments."""
    return [sys.executable, "-m", "workbench", "scale", "run", *map(str, words)]


def run_command(*words: object) -> subprocess.CompletedProcess[str]:
    """Run a scale run as a subprocess, repeated if the machine was the bottleneck."""
    for _ in range(MAX_RUNS):
        completed = subprocess.run(command(*words), capture_output=True, text=True, timeout=RUN_TIMEOUT_S)
        if completed.returncode != EXIT_RUN_NOT_COUNTED:
            break
    return completed


def run_counted(plan: Plan) -> Outcome:
    """Run a plan in this process, repeated if the machine was the bottleneck."""
    for _ in range(MAX_RUNS):
        outcome = scale_run.run(plan)
        if outcome.counted:
            break
    return outcome


def group(**changes: Any) -> Group:
    """Return a group of 6 hollow nodes in 2 zones and 2 regions, with these changes to its plan."""
    return build_group(parse_plan({"hollow": 6, "zones": 2, "regions": 2} | changes), "127.1.1")


def claim(group: Group, index: int, incarnation: int = 1) -> Claim:
    """Return the claim that a node of the group is alive."""
    spec = group.member_specs[index]
    return Claim(spec.name, spec.address, Status.ALIVE, incarnation)


def window(**changes: Any) -> Window:
    """Return the measurements of a window of 10 s, with these changes."""
    figures: dict[str, Any] = {
        "seconds": 10.0,
        "cpu_s": 1.0,
        "nanoseconds": {},
        "calls": {},
        "traffic": Traffic(),
    }
    figures |= {"lateness_p99_ms": 1.0, "lateness_max_ms": 2.0, "resident_bytes": 10_000_000}
    return Window(**(figures | changes))
