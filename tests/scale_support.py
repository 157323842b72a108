"""Scale runs for tests: within this process or in one of their own, again where the machine was the limit."""

import subprocess
import sys
from typing import Any

from balancer.fleet.membership.swim import Claim, Status
from workbench.scale import run as scale_run
from workbench.scale.group import Group
from workbench.scale.messages import Traffic, Window
from workbench.scale.plan import Plan, build_group, parse_plan
from workbench.scale.run import Outcome

PATIENCE = 90.0  # seconds; only a failure waits so long
MAX_RUNS = 4  # of a run on which the machine was the limit
NOT_COUNTED = 3


def command(*words: object) -> list[str]:
    return [sys.executable, "-m", "workbench", "scale", "run", *map(str, words)]


def run_command(*words: object) -> subprocess.CompletedProcess[str]:
    """A run to its end, again where the machine was the limit."""
    for _ in range(MAX_RUNS):
        done = subprocess.run(command(*words), capture_output=True, text=True, timeout=PATIENCE)
        if done.returncode != NOT_COUNTED:
            break
    return done


def run_counted(plan: Plan) -> Outcome:
    """A run within this process, again where the machine was the limit."""
    for _ in range(MAX_RUNS):
        outcome = scale_run.run(plan)
        if outcome.counted:
            break
    return outcome


def group(**changes: Any) -> Group:
    return build_group(parse_plan({"hollow": 6, "zones": 2, "regions": 2} | changes), "127.1.1")


def claim(group: Group, index: int, incarnation: int = 1) -> Claim:
    spec = group.member_specs[index]
    return Claim(spec.name, spec.address, Status.ALIVE, incarnation)


def window(**changes: Any) -> Window:
    figures: dict[str, Any] = {
        "seconds": 10.0,
        "cpu_s": 1.0,
        "nanoseconds": {},
        "calls": {},
        "traffic": Traffic(),
    }
    figures |= {"lateness_p99_ms": 1.0, "lateness_max_ms": 2.0, "resident_bytes": 10_000_000}
    return Window(**(figures | changes))
