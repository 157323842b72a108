"""Who is told to end next, and who follows.

Nothing of the progress is kept anywhere: a process is done if its life began after the plan did, and out if
it has left, died or does not serve. Each process decides by its monotonic clock whether its own life began
before the plan: messages carry the plan's age. In its reports it says so by a life below or above the plan's
number, which holders of every version read. So a holder that comes after another goes on where that one
stopped.
Whoever is told to end looks at the token and at its own life first: an old holder's word, and a second one,
do nothing.

Times are microseconds of this process's monotonic clock; lives and plans are numbered by Unix time in
microseconds, which orders them only as long as nobody has stepped a clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from typing import Protocol

from balancer.fleet.rolling_update.messages import Plan, ReplaceKind, ReplaceMessage, State, seq_of_age

EVERY = 500_000  # the holder asks all members how they stand
FRESH = 2_000_000  # a report older than this counts as none
TELLS = 3  # times that an operator's word is passed on by whoever got it
MOST = 1000

Out = list[tuple[str, ReplaceMessage]]


class Fleet(Protocol):
    """What the decisions see of membership and of their own process."""

    def serving(self) -> bool:
        """Whether this process takes clients."""

    def alive(self) -> list[str]:
        """The other members that are held alive."""

    def gone(self) -> list[str]:
        """Those that left or died not long ago and have not come back."""


@dataclass(frozen=True)
class Report:
    """How a member stands, as it said."""

    at: int
    life: int
    serving: bool
    zone: str


class Replacement:
    """One process's part: it leads while it holds the lease, and follows otherwise."""

    def __init__(self, name: str, zone: str, life: int, fleet: Fleet, now: int) -> None:
        self.name = name
        self.zone = zone
        self.life = life
        self.fleet = fleet
        self.plan: Plan | None = None
        self.reports: dict[str, Report] = {}
        self.told: dict[str, int] = {}  # the life of each that this holder has told to end
        self.token = 0  # the highest that was seen
        self.tells = 0
        self.started = now
        self.plan_begun: int | None = None  # when, by this process's clock; None if nobody has said its age
        self.next = now
        self.leaving = False
        self.counts: Counter[str] = Counter()

    # ---- the operator's hand ----------------------------------------------------------------------------

    def begin(self, wall: int, most: int, now: int | None = None) -> Plan:
        """A new plan, of which all that run now are still to be replaced. One that runs already goes on.
        `now`: without it, processes tell by their lives' numbers alone whether they are older."""
        if self.plan is None or self.plan.state in (State.STOPPED, State.DONE):
            # Failure prevented: the clock was set back since the last plan, whose number is higher.
            number = wall if self.plan is None else max(wall, self.plan.number + 1)
            self.adopt(Plan(number, 1, most, State.RUNS))
            self.plan_begun = now
            self.tells = TELLS
        assert self.plan is not None
        return self.plan

    def change(self, state: State) -> Plan | None:
        """Pauses, goes on or stops; a plan that is over stays as it is."""
        plan = self.plan
        if plan is not None and plan.state in (State.RUNS, State.PAUSED) and plan.state != state:
            self.adopt(replace(plan, version=plan.version + 1, state=state))
            self.tells = TELLS
        return self.plan

    def adopt(self, plan: Plan) -> None:
        if self.plan is None or plan.number != self.plan.number:
            self.reports.clear()
            self.told.clear()
            self.plan_begun = None
        self.plan = plan

    def learn_age(self, now: int, m: ReplaceMessage) -> None:
        """Another knows how long ago the plan was begun. The time on the way makes an age too small, so the
        greatest told is the best."""
        if m.plan_age is None or self.plan is None or m.plan.number != self.plan.number:
            return
        begun = now - m.plan_age
        self.plan_begun = begun if self.plan_begun is None else min(begun, self.plan_begun)

    def is_old(self, plan: Plan) -> bool:
        """Whether this process's life began before the plan."""
        if self.plan_begun is None or self.plan is None or plan.number != self.plan.number:
            return self.life <= plan.number
        return self.started <= self.plan_begun

    def reported_life(self, plan: Plan) -> int:
        """This life's number, on the side of the plan's that it belongs to."""
        return min(self.life, plan.number) if self.is_old(plan) else max(self.life, plan.number + 1)

    def wants(self) -> bool:
        """Whether this process should ask for the lease."""
        return self.plan is not None and self.plan.state == State.RUNS and not self.leaving

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self, token: int | None) -> int | None:
        """When to `tick` next. `token`: of the lease, if it is held."""
        return self.next if token is not None or self.tells else None

    def tick(self, now: int, token: int | None) -> Out:
        """Leads, if the lease is held; passes an operator's word on."""
        plan = self.plan
        if plan is None or now < self.next or (token is None and not self.tells):
            return []
        self.next = now + EVERY
        if token is None or plan.state != State.RUNS:
            self.tells -= self.tells > 0
            return self.to_all(now, plan, token or 0)
        out = self.lead(now, plan, token)
        assert self.plan is not None
        return self.to_all(now, self.plan, token) + out

    def to_all(self, now: int, plan: Plan, token: int) -> Out:
        message = self.message(now, ReplaceKind.PLAN, plan, token)
        return [(name, message) for name in self.fleet.alive()]

    def message(self, now: int, kind: ReplaceKind, plan: Plan, token: int) -> ReplaceMessage:
        age = None if self.plan_begun is None else now - self.plan_begun
        life, serving = self.reported_life(plan), self.fleet.serving()
        return ReplaceMessage(kind, self.name, plan, life, token, serving, self.zone, seq_of_age(age))

    # ---- leading ----------------------------------------------------------------------------------------

    def lead(self, now: int, plan: Plan, token: int) -> Out:
        """Tells the next one to end, if so few are out that it may."""
        self.token = max(self.token, token)
        others = self.fleet.alive()
        fresh = {n: r for n in others if (r := self.reports.get(n)) is not None and now < r.at + FRESH}
        if len(fresh) < len(others):
            return []  # whoever has not said how it stands may be one that has just come up
        out = set(self.fleet.gone()) | {n for n, r in fresh.items() if not r.serving}
        out |= {n for n, r in fresh.items() if self.told.get(n) == r.life}  # told, and not gone yet
        left = sorted(n for n, r in fresh.items() if r.life <= plan.number and n not in out)
        if not left and not out and not self.is_old(plan):
            self.plan = replace(plan, version=plan.version + 1, state=State.DONE)
            self.tells = TELLS
            return []
        if len(out) >= plan.most:
            return []
        zones = Counter(r.zone for n, r in fresh.items() if n not in out)
        zones[self.zone] += self.fleet.serving()
        for name in left:
            # The last one of a zone that serves goes only while nobody else is out.
            if zones[fresh[name].zone] > 1 or not out:
                self.told[name] = fresh[name].life
                self.counts["told"] += 1
                return [(name, self.message(now, ReplaceKind.GO, plan, token))]
        if not left and not out and self.is_old(plan):
            self.leaving = True  # the others go on: this one was the last
        return []

    # ---- messages ---------------------------------------------------------------------------------------

    def received(self, now: int, m: ReplaceMessage) -> Out:
        """Takes a message in."""
        if m.kind == ReplaceKind.REPORT:
            if m.plan.newer(self.plan):  # an operator's word that was lost on its way here
                self.adopt(m.plan)
            self.learn_age(now, m)
            if self.plan is not None and m.plan.number == self.plan.number:
                self.reports[m.sender] = Report(now, m.life, m.serving, m.zone)
            return []
        if m.token and m.token < self.token:
            self.counts["old_token"] += 1
            return []
        self.token = max(self.token, m.token)
        if m.plan.newer(self.plan):
            self.adopt(m.plan)
        self.learn_age(now, m)
        if m.kind == ReplaceKind.GO and self.must_go(m):
            self.leaving = True
        assert self.plan is not None
        return [(m.sender, self.message(now, ReplaceKind.REPORT, self.plan, 0))]

    def must_go(self, m: ReplaceMessage) -> bool:
        """Whether this process is one of those to be replaced, by the plan as it stands."""
        plan = self.plan
        return m.token > 0 and m.plan == plan and plan.state == State.RUNS and self.is_old(plan)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, token: int | None) -> dict[str, object]:
        """The plan as this process knows it; how many are done, only its holder knows."""
        if self.plan is None:
            return {"state": "none"}
        table: dict[str, object] = {
            "state": self.plan.state.name.lower(),
            "begun_us": self.plan.number,
            "most": self.plan.most,
            "leads": token is not None,
        }
        if token is not None:
            done = sum(r.life > self.plan.number for r in self.reports.values())
            table |= {"done": done, "told": len(self.told), "out": sorted(self.fleet.gone())}
        return table
