"""Which process a rolling update ends next: a function of what the processes have reported.

All times are microseconds of the leader's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from balancer.fleet.rolling_update.messages import UpdatePlan


@dataclass(frozen=True)
class Report:
    """The state of a process as it reported it.

    Attributes:
        received_at: When the report was received.
        incarnation: Above the plan's number if the process was started after the plan.
        serving: Whether the process accepts clients.
        zone: The process's zone.
    """

    received_at: int
    incarnation: int
    serving: bool
    zone: str


@dataclass(frozen=True)
class FleetState:
    """The other processes of the fleet, seen by the leader.

    Attributes:
        reports: Current reports by process name, one of each process that is alive.
        unavailable: Processes that have left, do not serve, or have been asked to end.
    """

    reports: Mapping[str, Report]
    unavailable: Collection[str]

    def outdated(self, plan: UpdatePlan) -> list[str]:
        """Names of the available processes that the plan is still to replace, sorted."""
        return sorted(
            name
            for name, report in self.reports.items()
            if report.incarnation <= plan.number and name not in self.unavailable
        )

    def serving_by_zone(self) -> Counter[str]:
        """Number of available processes in each zone."""
        return Counter(report.zone for name, report in self.reports.items() if name not in self.unavailable)


def unavailable_processes(
    reports: Mapping[str, Report], departed: Collection[str], asked_to_end: Mapping[str, int]
) -> set[str]:
    """Names of the processes that count as unavailable.

    Args:
        reports: Current reports by process name.
        departed: Processes that have left or died and have not come back.
        asked_to_end: By process name, the incarnation that the leader has asked to end.
    """
    unavailable = set(departed)
    for name, report in reports.items():
        if not report.serving or asked_to_end.get(name) == report.incarnation:
            unavailable.add(name)
    return unavailable


def next_to_end(plan: UpdatePlan, state: FleetState, own_zone: str, is_serving: bool) -> str | None:
    """The process to end now; None if none may end now or none is left.

    The last process of a zone that serves ends only while no other process is unavailable.

    Args:
        plan: The plan in progress.
        state: The other processes.
        own_zone: The leader's zone.
        is_serving: Whether the leader accepts clients.
    """
    if len(state.unavailable) >= plan.max_unavailable:
        return None
    serving = state.serving_by_zone()
    serving[own_zone] += is_serving
    for name in state.outdated(plan):
        if serving[state.reports[name].zone] > 1 or not state.unavailable:
            return name
    return None
