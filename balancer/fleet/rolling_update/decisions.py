"""The state machine of a rolling update: the leader's part and the followers'.

No progress is stored: a process is done if its incarnation began after the plan, and unavailable if it has
left, died or does not serve. So a leader that takes over continues where the last one stopped. Each process
decides by its monotonic clock whether it is older than the plan, since messages contain the plan's age. It
reports that by an incarnation below or above the plan's number, which leaders of every version understand.

A process that is asked to end checks the token and its own age first, so that requests of a former leader and
repeated requests have no effect.

All times are microseconds of this process's monotonic clock. Incarnations and plans are numbered by Unix time
in microseconds, which orders them only as long as nobody has stepped a clock.
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
ANNOUNCEMENTS = 3  # how often the process that got an operator's command broadcasts it
MAX_UNAVAILABLE = 1000
IN_PROGRESS = (UpdateState.RUNS, UpdateState.PAUSED)


class Fleet(Protocol):
    """What the state machine sees of membership and of its own process."""

    def serving(self) -> bool:
        """Whether this process accepts clients."""

    def alive(self) -> list[str]:
        """Names of the other members that are alive."""

    def gone(self) -> list[str]:
        """Names of the members that have left or died recently and have not come back."""


class RollingUpdate:
    """One process's part: it leads while it holds the lease, and follows otherwise."""

    def __init__(self, name: str, zone: str, incarnation: int, fleet: Fleet, now: int) -> None:
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.fleet = fleet
        self.plan: UpdatePlan | None = None
        self.reports: dict[str, Report] = {}
        self.asked_to_end: dict[str, int] = {}  # the incarnation that this leader has asked, by process
        self.highest_token = 0
        self.announcements_left = 0
        self.started_at = now
        self.plan_started_at: int | None = None  # by this process's clock; None while the age is unknown
        self.next_tick_at = now
        self.leaving = False
        self.counts: Counter[str] = Counter()

    # ---- operators' commands ----------------------------------------------------------------------------

    def begin(self, wall: int, max_unavailable: int, now: int | None = None) -> UpdatePlan:
        """Starts a plan that replaces all processes running now, unless one is in progress.

        Args:
            wall: Unix time.
            max_unavailable: How many processes may be unavailable at a time.
            now: Without it, processes compare their incarnations with the plan's number.

        Returns:
            The plan that is in progress.
        """
        if self.plan is None or self.plan.state not in IN_PROGRESS:
            # Failure prevented: the clock was set back since the last plan, whose number is higher.
            number = wall if self.plan is None else max(wall, self.plan.number + 1)
            self.adopt(UpdatePlan(number, 1, max_unavailable, UpdateState.RUNS))
            self.plan_started_at = now
            self.announcements_left = ANNOUNCEMENTS
        assert self.plan is not None
        return self.plan

    def change(self, state: UpdateState) -> UpdatePlan | None:
        """Pauses, resumes or stops the plan in progress; a plan that is over does not change."""
        plan = self.plan
        if plan is not None and plan.state in IN_PROGRESS and plan.state != state:
            self.adopt(replace(plan, version=plan.version + 1, state=state))
            self.announcements_left = ANNOUNCEMENTS
        return self.plan

    # ---- the plan and this process's age ----------------------------------------------------------------

    def adopt(self, plan: UpdatePlan) -> None:
        """Makes a plan the current one; what is known of another plan's progress is dropped."""
        if self.plan is None or plan.number != self.plan.number:
            self.reports.clear()
            self.asked_to_end.clear()
            self.plan_started_at = None
        self.plan = plan

    def learn_plan(self, now: int, message: RollingUpdateMessage) -> None:
        """Adopts a newer plan, and takes over the plan's age.

        The time on the way makes an age too small, so the greatest one received is the best.
        """
        if message.plan.supersedes(self.plan):
            self.adopt(message.plan)
        if message.plan_age is None or self.plan is None or message.plan.number != self.plan.number:
            return
        started_at = now - message.plan_age
        if self.plan_started_at is None or started_at < self.plan_started_at:
            self.plan_started_at = started_at

    def is_outdated(self, plan: UpdatePlan) -> bool:
        """Whether this process was started before the plan."""
        if self.plan_started_at is None or self.plan is None or plan.number != self.plan.number:
            return self.incarnation <= plan.number
        return self.started_at <= self.plan_started_at

    def reported_incarnation(self, plan: UpdatePlan) -> int:
        """This process's incarnation, moved to the side of the plan's number that it belongs to."""
        if self.is_outdated(plan):
            return min(self.incarnation, plan.number)
        return max(self.incarnation, plan.number + 1)

    def wants_lease(self) -> bool:
        """Whether this process should acquire the lease to lead."""
        return self.plan is not None and self.plan.state == UpdateState.RUNS and not self.leaving

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self, token: int | None) -> int | None:
        """When `tick` is due; None if nothing is. `token`: of the lease, if this process holds it."""
        return self.next_tick_at if token is not None or self.announcements_left else None

    def tick(self, now: int, token: int | None) -> list[Outgoing]:
        """Leads if the lease is held, and broadcasts the plan."""
        plan = self.plan
        if plan is None or now < self.next_tick_at or (token is None and not self.announcements_left):
            return []
        self.next_tick_at = now + BROADCAST_INTERVAL_US
        if token is None or plan.state != UpdateState.RUNS:
            self.announcements_left -= self.announcements_left > 0
            return self.broadcast(now, plan, token or 0)
        requests = self.lead(now, plan, token)
        assert self.plan is not None
        return self.broadcast(now, self.plan, token) + requests

    def broadcast(self, now: int, plan: UpdatePlan, token: int) -> list[Outgoing]:
        """The plan, to all members that are alive."""
        message = self.message(now, RollingUpdateKind.PLAN, plan, token)
        return [AddressedMessage(name, message) for name in self.fleet.alive()]

    def message(
        self, now: int, kind: RollingUpdateKind, plan: UpdatePlan, token: int
    ) -> RollingUpdateMessage:
        """A message with this process's own state."""
        age = None if self.plan_started_at is None else now - self.plan_started_at
        incarnation, serving = self.reported_incarnation(plan), self.fleet.serving()
        return RollingUpdateMessage(
            kind, self.name, plan, incarnation, token, serving, self.zone, seq_of_age(age)
        )

    # ---- leading ----------------------------------------------------------------------------------------

    def lead(self, now: int, plan: UpdatePlan, token: int) -> list[Outgoing]:
        """Asks the next process to end if enough others are available; ends the plan when all are done."""
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
        """The other processes; None while a current report is missing, as of one that has just started."""
        reports: dict[str, Report] = {}
        for name in self.fleet.alive():
            report = self.reports.get(name)
            if report is None or now >= report.received_at + MAX_REPORT_AGE_US:
                return None
            reports[name] = report
        return FleetState(reports, unavailable_processes(reports, self.fleet.gone(), self.asked_to_end))

    def ask_to_end(self, now: int, plan: UpdatePlan, token: int, name: str) -> Outgoing:
        """The request to a process to end, which counts as unavailable from here on."""
        self.asked_to_end[name] = self.reports[name].incarnation
        self.counts["end_requests"] += 1
        return AddressedMessage(name, self.message(now, RollingUpdateKind.GO, plan, token))

    def finish(self, plan: UpdatePlan) -> None:
        """All other processes are done: the leader itself is the last to end, or the plan is over."""
        if self.is_outdated(plan):
            self.leaving = self.leaving or plan.max_unavailable > 0
            return
        self.plan = replace(plan, version=plan.version + 1, state=UpdateState.DONE)
        self.announcements_left = ANNOUNCEMENTS

    # ---- messages ---------------------------------------------------------------------------------------

    def received(self, now: int, message: RollingUpdateMessage) -> list[Outgoing]:
        """Handles a message; returns the answer."""
        if message.kind == RollingUpdateKind.REPORT:
            self.record_report(now, message)
            return []
        if message.token and message.token < self.highest_token:
            self.counts["old_token"] += 1
            return []
        self.highest_token = max(self.highest_token, message.token)
        self.learn_plan(now, message)
        if message.kind == RollingUpdateKind.GO and self.must_end(message):
            self.leaving = True
        assert self.plan is not None
        return [AddressedMessage(message.sender, self.message(now, RollingUpdateKind.REPORT, self.plan, 0))]

    def record_report(self, now: int, message: RollingUpdateMessage) -> None:
        """Keeps a process's report, and an operator's command that was lost on its way here."""
        self.learn_plan(now, message)
        if self.plan is not None and message.plan.number == self.plan.number:
            self.reports[message.sender] = Report(now, message.incarnation, message.serving, message.zone)

    def must_end(self, message: RollingUpdateMessage) -> bool:
        """Whether a request to end is valid under the current plan, and this process older than the plan."""
        plan = self.plan
        if plan is None or message.token <= 0 or message.plan != plan:
            return False
        return plan.state == UpdateState.RUNS and self.is_outdated(plan)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, token: int | None) -> dict[str, object]:
        """The plan for `GET /fleet`, with its progress on the process that leads."""
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
            table |= {"done": done, "told": len(self.asked_to_end), "out": sorted(self.fleet.gone())}
        return table
