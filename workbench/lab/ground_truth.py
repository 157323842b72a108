"""The ground truth of a run: when processes ran, were paused, were asked to stop or were partitioned.

It is derived from the history alone. Checkers compare it with what nodes, servers and clients did.
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

NON_MEMBER_KINDS = ("wrong_key",)  # Kinds of faulty nodes that never belong to the group.
PRESENT_STATES = ("alive", "suspect")  # A suspected member may still refute the suspicion.
LATENESS_WINDOW_S = 1.1  # The lab records its own lateness about once a second.
SIMULTANEOUS_CHANGES_S = 0.05  # Changes that are closer together count as one.
FIRST_SAMPLE_DELAY_S = 0.06  # Time from a change to the first comparison of the views with it.
INSTANT_S = 1e-9  # Length of an interval that stands for a point in time.


class MemberState(NamedTuple):
    """The state of one member in a node's view."""

    state: str
    incarnation: int


class ZoneSummary(NamedTuple):
    """A node's summary of another zone: its freshness and the number of nodes in the zone."""

    state: str
    size: int


class Agreement(NamedTuple):
    """A change and how long it took until all views showed it.

    Attributes:
        at: Seconds of the lab.
        description: What changed.
        seconds: The time until all views agreed; None if they did not before the next change.
    """

    at: float
    description: str
    seconds: float | None


View = dict[str, MemberState]


class GroundTruth:
    """The facts of one history. Times are seconds of the lab unless stated otherwise.

    Args:
        events: The history.

    Attributes:
        plan: The plan of the run, by the keys of its file.
        names: The names of the nodes in order.
        zones: The zone of each node.
        slack_s: How late an answer may be.
        stop_sending_us: Time within which a node must stop sending to a draining server.
        max_attempts: The maximum number of attempts for one request.
        has_fleet: Whether the nodes form a fleet.
        is_supervised: Whether a process that exits by itself with status 0 is started again.
        by_zone: Whether membership is by zone.
        agreement_time_s: Time after the last change within which all views must agree.
        faulty_nodes: The kind of fault of each faulty node, as the plan names it.
        clients_start: When the clients started; infinite if they never did.
        end: When the run ended and the processes were stopped.
        incarnations: The processes of each node.
        periods: The faults.
        changes: The changes that the views should have shown.
        lateness: Times at which the lab recorded its own lateness, and the lateness in seconds.
        views: The times and events of each node's recorded views.
    """

    def __init__(self, events: list[Event]) -> None:
        self.events = events
        self.by_event = by_kind(events)
        self._read_parameters(events[0])
        self.faulty_nodes = {e["node"]: e["kind"] for e in self.events_of("mischief")}
        self.clients_start = next((e["t"] for e in self.events_of("go")), FOREVER)
        stopping = self.events_of("stopping")
        self.end: float = stopping[0]["t"] if stopping else events[-1]["t"]
        steps = process_events(self.events_of("process"), self.events_of("log"))
        self.incarnations = process_incarnations(self.names, steps)
        self.periods = fault_periods(self.events_of("fault"))
        self.changes = changes_between(self.clients_start, self.end, steps, self.events_of("fault"))
        self.lateness = [(e["t"], e["late_ms"] / 1000) for e in self.events_of("lab")]
        self.views: dict[str, tuple[list[float], list[Event]]] = {}
        for name in self.names:
            reported = [e for e in self.events_of("view") if e["node"] == name]
            self.views[name] = ([e["t"] for e in reported], reported)

    def _read_parameters(self, run_event: Event) -> None:
        self.plan: dict[str, Any] = run_event["plan"]
        self.names: list[str] = [name for name, _ in run_event["nodes"]]
        self.zones: dict[str, int] = dict(run_event["nodes"])
        self.slack_s: float = run_event["slack"] / 1e6
        self.stop_sending_us: int = run_event["stop_sending"]
        self.max_attempts: int = run_event["max_attempts"]
        self.has_fleet: bool = self.plan["fleet"]
        self.is_supervised: bool = self.plan.get("supervise", False)
        self.by_zone: bool = self.plan.get("by_zone", False)
        self.agreement_time_s: float = float(self.plan["agree_s"])

    def events_of(self, event: str) -> list[Event]:
        """Return all events of a kind in order."""
        return self.by_event.get(event, [])

    def max_lateness(self, begin: float, end: float) -> float:
        """Return the lab's maximum lateness around an interval, in seconds.

        What the lab observed then may have happened earlier by up to this time.
        """
        first, last = begin - LATENESS_WINDOW_S, end + LATENESS_WINDOW_S
        return max((lateness for at, lateness in self.lateness if first <= at <= last), default=0.0)

    def last_change(self) -> float:
        """Return when the expected views last changed; the clients' start if they never did."""
        return max([self.clients_start, *(change.at for change in self.changes)])

    # ---- processes ------------------------------------------------------------------------------------

    def incarnation_at(self, name: str, at: float) -> ProcessIncarnation | None:
        """Return the latest process of a node that was started by a time."""
        return next((process for process in reversed(self.incarnations[name]) if process.start <= at), None)

    def members_at(self, at: float) -> set[str]:
        """Return the nodes that run and belong to the group, including paused ones."""
        return {
            name
            for name in self.names
            if self.faulty_nodes.get(name) not in NON_MEMBER_KINDS
            and (process := self.incarnation_at(name, at)) is not None
            and process.runs(at)
        }

    def replaced_at(self, name: str, process: ProcessIncarnation) -> float:
        """Return when a successor of a process was ready; the direct one may have ended before that."""
        successors = (x for x in self.incarnations[name] if x.start > process.start)
        return next((x.ready for x in successors if x.ready < FOREVER), FOREVER)

    def may_leave_unanswered(self, name: str, begin: float, end: float) -> bool:
        """Return whether a node may have left a request unanswered that was pending during an interval.

        It may if its process ended or was paused in the interval, or if it had been asked to stop before.
        """
        for process in self.incarnations[name]:
            if process.was_paused(begin, end) or begin <= process.end <= end:
                return True
            if process.stop_requested_at <= begin and process is self.incarnation_at(name, begin):
                return True
        return False

    def could_reach_voters(self, name: str, begin: float, end: float) -> bool:
        """Return whether a node and all voters ran, unpaused and without network faults, for an interval."""
        voters = self.names[: int(self.plan.get("voters", 0))]
        for node in {name, *voters}:
            process = self.incarnation_at(node, end)
            if process is None or not process.runs(end):
                return False
            if process.start > begin or process.was_paused(begin, end):
                return False
        return not self.has_network_fault(begin, end)

    def ran_undisturbed(self, name: str, begin: float, end: float) -> bool:
        """Return whether one process of a node ran, unpaused and without network faults, for an interval.

        A stepped wall clock does not count as a disturbance.
        """
        process = self.incarnation_at(name, begin)
        if process is None or not process.runs(end) or process.was_paused(begin, end):
            return False
        return not self.has_network_fault(begin, end)

    # ---- network -------------------------------------------------------------------------------------

    def has_network_fault(self, begin: float, end: float) -> bool:
        """Return whether any partition or link fault was active at some time of an interval."""
        return any(p.type in NETWORK_FAULTS and p.overlaps(begin, end) for p in self.periods)

    def were_partitioned(self, one: str, other: str, begin: float, end: float) -> bool:
        """Return whether a partition in either direction separated two nodes at some time of an interval."""
        return any(p.separates(one, other) and p.overlaps(begin, end) for p in self.periods)

    def may_seem_dead(self, observer: str, name: str, at: float) -> bool:
        """Return whether an observer may hold a node dead.

        It may if either of them, or a link that the detection uses, was disturbed within the agreement time.
        """
        since = at - self.agreement_time_s
        if any(self.faulty_nodes.get(node) in NON_MEMBER_KINDS for node in (name, observer)):
            return True
        if any(self.was_disturbed(node, since, at) for node in (name, observer)):
            return True
        process = self.incarnation_at(name, at)
        if process is None or not process.runs(at):
            return True
        others = [n for n in self.names if n not in (name, observer)]
        links = [(observer, name), *((name, other) for other in others)]
        if any(self.were_partitioned(one, other, since, at) for one, other in links):
            return True
        return any(p.type == "links" and p.overlaps(since, at) for p in self.periods)

    def was_disturbed(self, name: str, since: float, at: float) -> bool:
        """Return whether a process of a node started, had to stop, ended or was paused in an interval."""
        return any(
            process.was_paused(since, at)
            or any(since <= x <= at for x in (process.start, process.stop_requested_at, process.end))
            for process in self.incarnations[name]
        )

    # ---- views ----------------------------------------------------------------------------------------

    def last_view(self, name: str, at: float) -> Event | None:
        """Return the last view that the node's process at a time had reported by then."""
        times, views = self.views[name]
        index = bisect_right(times, at) - 1
        process = self.incarnation_at(name, at)
        if index < 0 or process is None or views[index]["life"] != process.number:
            return None
        return views[index]

    def view_at(self, name: str, at: float) -> View:
        """Return the members as a node's process last reported them."""
        view = self.last_view(name, at)
        return {} if view is None else {n: MemberState(*state) for n, state in view["members"].items()}

    def present_in_view(self, name: str, at: float) -> set[str]:
        """Return the members that are alive or suspected in a node's view."""
        return {n for n, member in self.view_at(name, at).items() if member.state in PRESENT_STATES}

    def membership_incarnation_at(self, name: str, at: float) -> int:
        """Return the incarnation number that a node's process last reported of itself; 0 if none."""
        view = self.last_view(name, at)
        return 0 if view is None else int(view["own"])

    def group(self, name: str, members: set[str]) -> set[str]:
        """Return the members that belong to a node's group, without the node itself."""
        other_zones = {n for n in members if self.by_zone and self.zones[n] != self.zones[name]}
        return members - other_zones - {name}

    def summaries_at(self, name: str, at: float) -> dict[str, ZoneSummary]:
        """Return the summaries of the other zones that a node's process last reported."""
        process = self.incarnation_at(name, at)
        reported = [e for e in self.events_of("summaries") if e["node"] == name and e["t"] <= at]
        if process is None or not reported or reported[-1]["life"] != process.number:
            return {}
        return {zone: ZoneSummary(*summary) for zone, summary in reported[-1]["zones"].items()}

    def is_paused(self, name: str, at: float) -> bool:
        """Return whether a node's process is paused at a time."""
        process = self.incarnation_at(name, at)
        return process is not None and process.was_paused(at, at + INSTANT_S)

    def views_agree(self, at: float) -> bool:
        """Return whether each member that is not paused sees exactly the members that it can reach."""
        members = self.members_at(at)
        return all(
            self.present_in_view(name, at) == self.reachable_members(name, members, at)
            for name in members
            if not self.is_paused(name, at)
        )

    def reachable_members(self, name: str, members: set[str], at: float) -> set[str]:
        """Return the unpaused members of a node's group on its side of every two-way partition."""
        partitions = [p for p in self.periods if p.way == "both" and p.begin <= at < p.end]
        return {
            other
            for other in self.group(name, members)
            if not self.is_paused(other, at) and not any(p.separates(name, other) for p in partitions)
        }

    def agreements(self) -> list[Agreement]:
        """Return how long it took after each change until all views showed it.

        Changes during a one-way partition are left out: only one of the two sides receives messages from the
        other, so there is no single state to agree on.
        """
        view_times = sorted({at for times, _ in self.views.values() for at in times})
        changes = merge_simultaneous(self.changes)
        found = []
        for change, following in pairwise([*changes, Change(self.end, "")]):
            if not self.has_one_way_partition(change.at):
                found.append(self.agreement_after(change, following.at, view_times))
        return found

    def has_one_way_partition(self, at: float) -> bool:
        """Return whether a one-way partition is active at a time."""
        return any(p.type == "cut" and p.way != "both" and p.begin <= at < p.end for p in self.periods)

    def agreement_after(self, change: Change, until: float, view_times: Sequence[float]) -> Agreement:
        """Return the agreement on a change, by the views recorded until the next change."""
        first = change.at + FIRST_SAMPLE_DELAY_S
        samples = [first, *(at for at in view_times if first < at < until)]
        agreed_at = next((at for at in samples if self.views_agree(at)), None)
        return Agreement(*change, None if agreed_at is None else max(0.0, agreed_at - change.at))


def merge_simultaneous(changes: Sequence[Change]) -> list[Change]:
    """Merge changes that occurred at about the same time."""
    merged: list[Change] = []
    for change in changes:
        if merged and change.at - merged[-1].at < SIMULTANEOUS_CHANGES_S:
            merged[-1] = Change(merged[-1].at, f"{merged[-1].description}, {change.description}")
        else:
            merged.append(change)
    return merged


def seconds(clock_us: int) -> float:
    """Convert a time on the lab's clock from microseconds to seconds, as in an event's `t`."""
    return (clock_us - CLOCK_START_US) / 1e6
