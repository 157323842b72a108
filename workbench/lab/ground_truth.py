"""The ground truth of a run: which processes ran, were paused, asked to stop or partitioned, and when.

It is rebuilt from the history alone. Checkers compare with it what nodes, servers and clients did.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from itertools import pairwise
from typing import Any, NamedTuple

from workbench.lab.history import Event
from workbench.lab.process_history import (
    FOREVER,
    NETWORK_FAULTS,
    Change,
    ProcessIncarnation,
    by_kind,
    changes_between,
    fault_periods,
    process_events,
    process_incarnations,
)
from workbench.model.site import CLOCK_START_US

NON_MEMBER_KINDS = ("wrong_key",)  # faulty nodes that never belong to the group
PRESENT_STATES = ("alive", "suspect")  # a suspected member may still refute it
LATENESS_PERIOD_S = 1.1  # the lab records its own lateness about once a second
SIMULTANEOUS_S = 0.05  # changes so close to each other are one change
FIRST_SAMPLE_S = 0.06  # after a change, until views are compared with it
INSTANT_S = 1e-9


class MemberState(NamedTuple):
    """What a node's view holds of one member."""

    state: str
    incarnation: int


class ZoneSummary(NamedTuple):
    """What a node holds of another zone: how fresh its knowledge is, and the number of nodes."""

    state: str
    size: int


class Agreement(NamedTuple):
    """A change, and the seconds until all views showed it; None where they did not before the next one."""

    at: float
    what: str
    seconds: float | None


View = dict[str, MemberState]


class GroundTruth:
    """A history, read once. Times are seconds of the lab.

    Args:
        events: The history.

    Attributes:
        plan: The plan of the run, by the keys of its file.
        names: The nodes' names in order.
        zones: The zone of each node.
        slack: Seconds that an answer may be late.
        stop_sending: Microseconds until a node must have stopped sending to a draining server.
        agree: Seconds after the last change until all views must agree.
        faulty_nodes: The kind of fault of each faulty node, in the plan's word.
        go: When the clients began.
        end: When the run was over and the processes were stopped.
        incarnations: The processes of each node.
        periods: The faults.
        changes: What the views should have shown, and from when.
    """

    def __init__(self, events: list[Event]) -> None:
        self.events = events
        self.by_event = by_kind(events)
        self._read_parameters(events[0])
        self.faulty_nodes = {e["node"]: e["kind"] for e in self.of("mischief")}
        self.go = next((e["t"] for e in self.of("go")), FOREVER)
        stopping = self.of("stopping")
        self.end: float = stopping[0]["t"] if stopping else events[-1]["t"]
        steps = process_events(self.of("process"), self.of("log"))
        self.incarnations = process_incarnations(self.names, steps)
        self.periods = fault_periods(self.of("fault"))
        self.changes = changes_between(self.go, self.end, steps, self.of("fault"))
        self.lateness = [(e["t"], e["late_ms"] / 1000) for e in self.of("lab")]
        self.views: dict[str, tuple[list[float], list[Event]]] = {}
        for name in self.names:
            seen = [e for e in self.of("view") if e["node"] == name]
            self.views[name] = ([e["t"] for e in seen], seen)

    def _read_parameters(self, head: Event) -> None:
        self.plan: dict[str, Any] = head["plan"]
        self.names: list[str] = [name for name, _ in head["nodes"]]
        self.zones: dict[str, int] = dict(head["nodes"])
        self.slack: float = head["slack"] / 1e6
        self.stop_sending: int = head["stop_sending"]
        self.max_attempts: int = head["max_attempts"]
        self.fleet: bool = self.plan["fleet"]
        self.supervised: bool = self.plan.get("supervise", False)
        self.by_zone: bool = self.plan.get("by_zone", False)
        self.agree: float = float(self.plan["agree_s"])

    def of(self, event: str) -> list[Event]:
        """Returns all events of a kind, in order."""
        return self.by_event.get(event, [])

    def late(self, begin: float, end: float) -> float:
        """Returns the seconds that the lab was late by around an interval.

        What the lab saw then may have happened so much earlier.
        """
        first, last = begin - LATENESS_PERIOD_S, end + LATENESS_PERIOD_S
        return max((late for at, late in self.lateness if first <= at <= last), default=0.0)

    def last_change(self) -> float:
        """Returns when the views last had something new to show; the clients' begin if nothing changed."""
        return max([self.go, *(change.at for change in self.changes)])

    # ---- processes ------------------------------------------------------------------------------------

    def incarnation_at(self, name: str, at: float) -> ProcessIncarnation | None:
        """Returns the process of a node that was started last before a time."""
        return next((x for x in reversed(self.incarnations[name]) if x.start <= at), None)

    def members_at(self, at: float) -> set[str]:
        """Returns the nodes that run and belong to the group; a paused one still does."""
        return {
            name
            for name in self.names
            if self.faulty_nodes.get(name) not in NON_MEMBER_KINDS
            and (process := self.incarnation_at(name, at)) is not None
            and process.runs(at)
        }

    def replaced_at(self, name: str, process: ProcessIncarnation) -> float:
        """Returns when a successor of a process was ready; the direct one may have ended before it was."""
        successors = (x for x in self.incarnations[name] if x.start > process.start)
        return next((x.ready for x in successors if x.ready < FOREVER), FOREVER)

    def excused(self, name: str, begin: float, end: float) -> bool:
        """Whether a node may have left a request of an interval unanswered.

        It may if it was killed or paused in it, or if the request came after it was asked to stop.
        """
        for process in self.incarnations[name]:
            if process.paused(begin, end) or begin <= process.end <= end:
                return True
            if process.stop_requested_at <= begin and process is self.incarnation_at(name, begin):
                return True
        return False

    def steady(self, name: str, begin: float, end: float) -> bool:
        """Whether a node and the voters ran and could be reached during a whole interval."""
        voters = self.names[: int(self.plan.get("voters", 0))]
        for who in {name, *voters}:
            process = self.incarnation_at(who, end)
            if process is None or not process.runs(end):
                return False
            if process.start > begin or process.paused(begin, end):
                return False
        return not self.network_fault(begin, end)

    def undisturbed(self, name: str, begin: float, end: float) -> bool:
        """Whether one process of a node ran for a whole interval without any network fault.

        A stepped wall clock disturbs nothing.
        """
        process = self.incarnation_at(name, begin)
        if process is None or not process.runs(end) or process.paused(begin, end):
            return False
        return not self.network_fault(begin, end)

    # ---- the network ----------------------------------------------------------------------------------

    def network_fault(self, begin: float, end: float) -> bool:
        """Whether a partition or a bad link was active anywhere at some time of an interval."""
        return any(p.type in NETWORK_FAULTS and p.overlaps(begin, end) for p in self.periods)

    def partitioned(self, one: str, other: str, begin: float, end: float) -> bool:
        """Whether a partition, one way or both, separated two nodes at some time of an interval."""
        return any(p.separates(one, other) and p.overlaps(begin, end) for p in self.periods)

    def may_seem_dead(self, by: str, name: str, at: float) -> bool:
        """Whether a node may hold another one dead: something happened to either, or between, lately."""
        since = at - self.agree
        if any(self.faulty_nodes.get(who) in NON_MEMBER_KINDS for who in (name, by)):
            return True
        if any(self.disturbed_lately(who, since, at) for who in (name, by)):
            return True
        now = self.incarnation_at(name, at)
        if now is None or not now.runs(at):
            return True
        others = [n for n in self.names if n not in (name, by)]
        links = [(by, name), *((name, other) for other in others)]
        if any(self.partitioned(one, other, since, at) for one, other in links):
            return True
        return any(p.type == "links" and p.overlaps(since, at) for p in self.periods)

    def disturbed_lately(self, name: str, since: float, at: float) -> bool:
        """Whether a process of a node started, was asked to stop, ended or was paused in an interval."""
        return any(
            process.paused(since, at)
            or any(since <= x <= at for x in (process.start, process.stop_requested_at, process.end))
            for process in self.incarnations[name]
        )

    # ---- views ----------------------------------------------------------------------------------------

    def last_view(self, name: str, at: float) -> Event | None:
        """Returns the last view of the process that a node has at a time."""
        times, views = self.views[name]
        index = bisect_right(times, at) - 1
        process = self.incarnation_at(name, at)
        if index < 0 or process is None or views[index]["life"] != process.number:
            return None
        return views[index]

    def view_at(self, name: str, at: float) -> View:
        """Returns what a node's process last reported of the members."""
        view = self.last_view(name, at)
        return {} if view is None else {n: MemberState(*state) for n, state in view["members"].items()}

    def present_in_view(self, name: str, at: float) -> set[str]:
        """Returns the members that a node's view holds alive or suspected."""
        return {n for n, member in self.view_at(name, at).items() if member.state in PRESENT_STATES}

    def membership_incarnation_at(self, name: str, at: float) -> int:
        """Returns what a node's process last reported of its own incarnation number; 0: nothing yet."""
        view = self.last_view(name, at)
        return 0 if view is None else int(view["own"])

    def group(self, name: str, members: set[str]) -> set[str]:
        """Returns those of the members that are of a node's own group, without itself."""
        apart = {n for n in members if self.by_zone and self.zones[n] != self.zones[name]}
        return members - apart - {name}

    def summaries_at(self, name: str, at: float) -> dict[str, ZoneSummary]:
        """Returns what a node's process last reported of the other zones, by zone."""
        process = self.incarnation_at(name, at)
        reported = [e for e in self.of("summaries") if e["node"] == name and e["t"] <= at]
        if process is None or not reported or reported[-1]["life"] != process.number:
            return {}
        return {zone: ZoneSummary(*summary) for zone, summary in reported[-1]["zones"].items()}

    def paused_now(self, name: str, at: float) -> bool:
        """Whether a node's process is paused at a time."""
        process = self.incarnation_at(name, at)
        return process is not None and process.paused(at, at + INSTANT_S)

    def agreed(self, at: float) -> bool:
        """Whether each member sees just those that it can reach; a paused one is not asked."""
        members = self.members_at(at)
        return all(
            self.present_in_view(name, at) == self.reachable(name, members, at)
            for name in members
            if not self.paused_now(name, at)
        )

    def reachable(self, name: str, members: set[str], at: float) -> set[str]:
        """Returns the members on a node's side of every two-way partition that are not paused."""
        partitions = [p for p in self.periods if p.way == "both" and p.begin <= at < p.end]
        return {
            other
            for other in self.group(name, members)
            if not self.paused_now(other, at) and not any(p.separates(name, other) for p in partitions)
        }

    def agreements(self) -> list[Agreement]:
        """Returns for each change how long it took until all views showed it.

        Changes during a one-way partition are left out: one side hears the other and is not heard, so there
        is no single state to agree on.
        """
        view_times = sorted({at for times, _ in self.views.values() for at in times})
        changes = merge_simultaneous(self.changes)
        found = []
        for change, following in pairwise([*changes, Change(self.end, "")]):
            if not self.one_way_partition(change.at):
                found.append(self.agreement_on(change, following.at, view_times))
        return found

    def one_way_partition(self, at: float) -> bool:
        """Whether a partition in one direction is active."""
        return any(p.type == "cut" and p.way != "both" and p.begin <= at < p.end for p in self.periods)

    def agreement_on(self, change: Change, until: float, view_times: Sequence[float]) -> Agreement:
        """Returns when all views first agreed between a change and the next one."""
        first = change.at + FIRST_SAMPLE_S
        samples = [first, *(at for at in view_times if first < at < until)]
        agreed_at = next((at for at in samples if self.agreed(at)), None)
        return Agreement(*change, None if agreed_at is None else max(0.0, agreed_at - change.at))


def merge_simultaneous(changes: Sequence[Change]) -> list[Change]:
    """Joins changes that came at about the same time."""
    merged: list[Change] = []
    for change in changes:
        if merged and change.at - merged[-1].at < SIMULTANEOUS_S:
            merged[-1] = Change(merged[-1].at, f"{merged[-1].what}, {change.what}")
        else:
            merged.append(change)
    return merged


def seconds(clock: int) -> float:
    """Converts a time on the lab's clock, in microseconds, to seconds as in an event's `t`."""
    return (clock - CLOCK_START_US) / 1e6
