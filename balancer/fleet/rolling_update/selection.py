"""Selection of the process that a rolling update ends next, based on the reports of the processes.

All times are microseconds of the leader's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from balancer.fleet.rolling_update.messages import UpdatePlan


@dataclass(frozen=True)
class Report:
    """The state that a process has reported to the leader of the rolling update.

    Attributes:
        received_at: Time at which the report was received.
        incarnation: Reported incarnation; above the plan's number if the process was started after the plan.
        serving: Whether the process accepts clients.
        zone: Zone of the process.
    """

    received_at: int
    incarnation: int
    serving: bool
    zone: str


@dataclass(frozen=True)
class FleetState:
    """The state of the other processes of the fleet, as known to the leader.

    Attributes:
        reports: Recent reports by process name, one for each process that is alive.
        unavailable: Processes that have left, do not serve, or have been asked to end.
    """

    reports: Mapping[str, Report]
    unavailable: Collection[str]

    def outdated(self, plan: UpdatePlan) -> list[str]:
        """Return the sorted names of the available processes that have not been replaced yet."""
        return sorted(
            name
            for name, report in self.reports.items()
            if report.incarnation <= plan.number and name not in self.unavailable
        )

    def serving_by_zone(self) -> Counter[str]:
        """Return the number of available processes by zone."""
        return Counter(report.zone for name, report in self.reports.items() if name not in self.unavailable)


def unavailable_processes(
    reports: Mapping[str, Report], departed: Collection[str], asked_to_end: Mapping[str, int]
) -> set[str]:
    """Return the names of the processes that count as unavailable.

    Args:
        reports: Recent reports by process name.
        departed: Processes that have left or died and have not returned.
        asked_to_end: Incarnation that the leader has asked to end, by process name.
    """
    unavailable = set(departed)
    for name, report in reports.items():
        if not report.serving or asked_to_end.get(name) == report.incarnation:
            unavailable.add(name)
    return unavailable


def next_to_end(plan: UpdatePlan, state: FleetState, leader_zone: str, is_serving: bool) -> str | None:
    """Return the name of the process to end now; None if no process may end now or all are replaced.

    The last available process of a zone may end only while no process of the fleet is unavailable.

    Args:
        plan: The plan in progress.
        state: State of the processes other than the leader.
        leader_zone: Zone of the leader.
        is_serving: Whether the leader accepts clients.
    """
    if len(state.unavailable) >= plan.max_unavailable:
        return None
    serving = state.serving_by_zone()
    serving[leader_zone] += is_serving
    for name in state.outdated(plan):
        if serving[state.reports[name].zone] > 1 or not state.unavailable:
            return name
    return None
