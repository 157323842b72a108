"""The state machine of a rolling update, for the leader and its followers.

An operator starts an update with a plan, whose number is the Unix time of its start. An incarnation is one
run of a process, numbered by the Unix time of its start. Progress is not stored, but derived: a process has
been replaced if its incarnation began after the plan, and is unavailable if it has left, has died or does not
serve. So a new leader continues where the previous one stopped.

Messages contain the age of the plan, and each process compares it with its own age on its monotonic clock. A
process that is older than the plan reports an incarnation up to the plan's number, a younger one an
incarnation above it. Leaders of every version understand this.

A process that is asked to end first checks the leader's token and its own age, so that requests of a former
leader and repeated requests have no effect.

All times are microseconds of this process's monotonic clock. Incarnations and plans are numbered by Unix time
in microseconds, which orders them correctly only if no wall clock is stepped.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Protocol

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.component import Outgoing
from balancer.fleet.rolling_update.messages import (
    RollingUpdateKind,
    RollingUpdateMessage,
    UpdatePlan,
    UpdateState,
    seq_of_age,
)
from balancer.fleet.rolling_update.selection import FleetState, Report, next_to_end, unavailable_processes

BROADCAST_INTERVAL_US = 500_000
MAX_REPORT_AGE_US = 2_000_000
# Number of times that a process broadcasts an operator's command, and that the leader broadcasts the end of a
# plan.
COMMAND_BROADCASTS = 3
MAX_UNAVAILABLE = 1000  # Largest value of `max_unavailable` that an operator may choose.
IN_PROGRESS = (UpdateState.RUNS, UpdateState.PAUSED)


class Fleet(Protocol):
    """View of the membership and of this process that the state machine needs."""

    def serving(self) -> bool:
        """Return whether this process accepts clients."""

    def alive(self) -> list[str]:
        """Return the names of the other members that are alive."""

    def departed(self) -> list[str]:
        """Return the names of members that have left or died recently and have not returned."""


class RollingUpdate:
    """The rolling update on one process, which leads while it holds the lease and follows otherwise."""

    def __init__(self, name: str, zone: str, incarnation: int, fleet: Fleet, now: int) -> None:
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.fleet = fleet
        self.plan: UpdatePlan | None = None
        self.reports: dict[str, Report] = {}
        self.asked_to_end: dict[str, int] = {}  # Incarnation that this leader has asked to end, by process.
        self.highest_token = 0
        self.broadcasts_left = 0
        self.started_at = now
        self.plan_started_at: int | None = None  # By this process's clock; None if unknown.
        self.next_tick_at = now
        self.leaving = False
        self.counts: Counter[str] = Counter()

    # ---- Commands of operators --------------------------------------------------------------------------

    def begin(self, unix_time: int, max_unavailable: int, now: int | None = None) -> UpdatePlan:
        """Start a plan that replaces all processes running now, unless another plan is in progress.

        Args:
            unix_time: Unix time in microseconds.
            max_unavailable: Maximum number of processes that may be unavailable at a time.
            now: The current time. If it is None, the plan's age is unknown and processes compare their
                incarnations with the plan's number.

        Returns:
            The plan in progress.
        """
        if self.plan is None or self.plan.state not in IN_PROGRESS:
            # If the wall clock was set back, Unix time may be lower than the number of the last plan.
            number = unix_time if self.plan is None else max(unix_time, self.plan.number + 1)
            self.adopt(UpdatePlan(number, 1, max_unavailable, UpdateState.RUNS))
            self.plan_started_at = now
            self.broadcasts_left = COMMAND_BROADCASTS
        assert self.plan is not None
        return self.plan

    def change_state(self, state: UpdateState) -> UpdatePlan | None:
        """Pause, resume or stop the plan in progress; a plan that has ended is not changed."""
        plan = self.plan
        if plan is not None and plan.state in IN_PROGRESS and plan.state != state:
            self.adopt(replace(plan, version=plan.version + 1, state=state))
            self.broadcasts_left = COMMAND_BROADCASTS
        return self.plan

    # ---- The plan and the age of this process -----------------------------------------------------------

    def adopt(self, plan: UpdatePlan) -> None:
        """Make a plan the current one; if its number differs, drop the progress of the previous plan."""
        if self.plan is None or plan.number != self.plan.number:
            self.reports.clear()
            self.asked_to_end.clear()
            self.plan_started_at = None
        self.plan = plan

    def merge_plan(self, now: int, message: RollingUpdateMessage) -> None:
        """Adopt a newer plan, and use the age of the plan that a message states.

        Transmission delay makes the ages in messages too small. The plan's start is derived from each age,
        and the earliest start is kept.
        """
        if message.plan.supersedes(self.plan):
            self.adopt(message.plan)
        if message.plan_age is None or self.plan is None or message.plan.number != self.plan.number:
            return
        started_at = now - message.plan_age
        if self.plan_started_at is None or started_at < self.plan_started_at:
            self.plan_started_at = started_at

    def is_outdated(self, plan: UpdatePlan) -> bool:
        """Return whether this process was started before the plan."""
        if self.plan_started_at is None or self.plan is None or plan.number != self.plan.number:
            return self.incarnation <= plan.number
        return self.started_at <= self.plan_started_at

    def reported_incarnation(self, plan: UpdatePlan) -> int:
        """Return this process's incarnation, adjusted to the plan's number.

        The value is above the plan's number exactly if this process was started after the plan.
        """
        if self.is_outdated(plan):
            return min(self.incarnation, plan.number)
        return max(self.incarnation, plan.number + 1)

    def wants_lease(self) -> bool:
        """Return whether this process should acquire the lease in order to lead."""
        return self.plan is not None and self.plan.state == UpdateState.RUNS and not self.leaving

    # ---- Timers -----------------------------------------------------------------------------------------

    def deadline(self, token: int | None) -> int | None:
        """Return when `tick` is due, or None if nothing is due.

        Args:
            token: Token of the lease; None if this process does not hold it.
        """
        return self.next_tick_at if token is not None or self.broadcasts_left else None

    def tick(self, now: int, token: int | None) -> list[Outgoing]:
        """Lead the update if this process holds the lease, and broadcast the plan.

        Args:
            now: The current time.
            token: Token of the lease; None if this process does not hold it.
        """
        plan = self.plan
        if plan is None or now < self.next_tick_at or (token is None and not self.broadcasts_left):
            return []
        self.next_tick_at = now + BROADCAST_INTERVAL_US
        if token is None or plan.state != UpdateState.RUNS:
            self.broadcasts_left -= self.broadcasts_left > 0
            return self.broadcast(now, plan, token or 0)
        requests = self.lead(now, plan, token)
        assert self.plan is not None
        return self.broadcast(now, self.plan, token) + requests

    def broadcast(self, now: int, plan: UpdatePlan, token: int) -> list[Outgoing]:
        """Return messages with the plan, one for each other member that is alive."""
        message = self.message(now, RollingUpdateKind.PLAN, plan, token)
        return [AddressedMessage(name, message) for name in self.fleet.alive()]

    def message(
        self, now: int, kind: RollingUpdateKind, plan: UpdatePlan, token: int
    ) -> RollingUpdateMessage:
        """Return a message of the given kind with a plan, its age, and the state of this process."""
        age = None if self.plan_started_at is None else now - self.plan_started_at
        incarnation, serving = self.reported_incarnation(plan), self.fleet.serving()
        return RollingUpdateMessage(
            kind, self.name, plan, incarnation, token, serving, self.zone, seq_of_age(age)
        )

    # ---- Leader -----------------------------------------------------------------------------------------

    def lead(self, now: int, plan: UpdatePlan, token: int) -> list[Outgoing]:
        """Ask the next process to end if enough others are available; finish when all are replaced."""
        self.highest_token = max(self.highest_token, token)
        state = self.fleet_state(now)
        if state is None:
            return []
        name = next_to_end(plan, state, self.zone, self.fleet.serving())
        if name is not None:
            return [self.ask_to_end(now, plan, token, name)]
        if not state.outdated(plan) and not state.unavailable:
            self.finish(plan)
        return []

    def fleet_state(self, now: int) -> FleetState | None:
        """Return the state of the other processes.

        Returns:
            None while a process that is alive has not reported recently, for example because it has just
            started.
        """
        reports: dict[str, Report] = {}
        for name in self.fleet.alive():
            report = self.reports.get(name)
            if report is None or now >= report.received_at + MAX_REPORT_AGE_US:
                return None
            reports[name] = report
        return FleetState(reports, unavailable_processes(reports, self.fleet.departed(), self.asked_to_end))

    def ask_to_end(self, now: int, plan: UpdatePlan, token: int, name: str) -> Outgoing:
        """Return the request to a process to end; the process counts as unavailable from now on."""
        self.asked_to_end[name] = self.reports[name].incarnation
        self.counts["end_requests"] += 1
        return AddressedMessage(name, self.message(now, RollingUpdateKind.GO, plan, token))

    def finish(self, plan: UpdatePlan) -> None:
        """Finish the update after all other processes have been replaced.

        If the leader is outdated, that is started before the plan, it ends itself. Otherwise it marks the
        plan as done.
        """
        if self.is_outdated(plan):
            self.leaving = self.leaving or plan.max_unavailable > 0
            return
        self.plan = replace(plan, version=plan.version + 1, state=UpdateState.DONE)
        self.broadcasts_left = COMMAND_BROADCASTS

    # ---- Messages ---------------------------------------------------------------------------------------

    def received(self, now: int, message: RollingUpdateMessage) -> list[Outgoing]:
        """Handle a message and return the answer to it, if any."""
        if message.kind == RollingUpdateKind.REPORT:
            self.record_report(now, message)
            return []
        if message.token and message.token < self.highest_token:
            self.counts["old_token"] += 1
            return []
        self.highest_token = max(self.highest_token, message.token)
        self.merge_plan(now, message)
        if message.kind == RollingUpdateKind.GO and self.must_end(message):
            self.leaving = True
        assert self.plan is not None
        return [AddressedMessage(message.sender, self.message(now, RollingUpdateKind.REPORT, self.plan, 0))]

    def record_report(self, now: int, message: RollingUpdateMessage) -> None:
        """Record a process's report, and adopt its plan if that is newer because a broadcast was lost."""
        self.merge_plan(now, message)
        if self.plan is not None and message.plan.number == self.plan.number:
            self.reports[message.sender] = Report(now, message.incarnation, message.serving, message.zone)

    def must_end(self, message: RollingUpdateMessage) -> bool:
        """Return whether this process must end: it was started before the plan, and the request is valid.

        A valid request carries a lease token and the current plan, and that plan is running.
        """
        plan = self.plan
        if plan is None or message.token <= 0 or message.plan != plan:
            return False
        return plan.state == UpdateState.RUNS and self.is_outdated(plan)

    # ---- Status for operators ---------------------------------------------------------------------------

    def view(self, token: int | None) -> dict[str, object]:
        """Return the plan for `GET /fleet`, and on the leader also the progress of the update."""
        if self.plan is None:
            return {"state": "none"}
        table: dict[str, object] = {
            "state": self.plan.state.name.lower(),
            "begun_us": self.plan.number,
            "most": self.plan.max_unavailable,
            "leads": token is not None,
        }
        if token is not None:
            done = sum(report.incarnation > self.plan.number for report in self.reports.values())
            table |= {"done": done, "told": len(self.asked_to_end), "out": sorted(self.fleet.departed())}
        return table
