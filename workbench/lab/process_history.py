"""The processes and the faults of a run, as its history records them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from workbench.lab.history import Event

FOREVER = float("inf")
NETWORK_FAULTS = ("cut", "links")
ENDING_SUFFIX = "-> ending"  # how a node's log says that it shuts down
EXPECTED_TO_BE_SEEN = ("kill", "term", "ends", "stop", "cont", "ready")  # by the other nodes' views


@dataclass
class ProcessIncarnation:
    """One process of a node, from its start to its end. Times are seconds of the lab.

    Attributes:
        number: Which of the node's processes it is; the first one is 1.
        start: When it was started.
        clock: Milliseconds that its wall clock was off as it started.
        ready: When it was ready for clients.
        stop_requested_at: When it got SIGTERM or SIGKILL, or began to shut down without either.
        end: When it exited.
        stopped_by_itself: Whether it shut down without a signal of the lab.
        pauses: Begin and end of each SIGSTOP.
    """

    number: int
    start: float
    clock: int = 0
    ready: float = FOREVER
    stop_requested_at: float = FOREVER
    end: float = FOREVER
    stopped_by_itself: bool = False
    pauses: list[list[float]] = field(default_factory=list)

    def runs(self, at: float) -> bool:
        """Whether the process runs at a time and was not asked to stop."""
        return self.start <= at < min(self.stop_requested_at, self.end)

    def paused(self, begin: float, end: float) -> bool:
        """Whether the process was paused at some time of an interval."""
        return any(paused_at < end and begin < resumed_at for paused_at, resumed_at in self.pauses)

    def apply(self, what: str, at: float) -> None:
        """Takes in an event of the process; `what` is the history's word for it."""
        if what == "ready":
            self.ready = at
        elif what in ("kill", "term", "ends"):
            self.stopped_by_itself = what == "ends" and self.stop_requested_at == FOREVER
            self.stop_requested_at = min(self.stop_requested_at, at)
        elif what == "exit":
            self.end = at
        elif what == "stop":
            self.pauses.append([at, FOREVER])
        elif what == "cont" and self.pauses:
            self.pauses[-1][1] = at


@dataclass
class FaultPeriod:
    """A fault between its begin and its end.

    Attributes:
        type: The fault's type in the plan.
        begin: When it began, in seconds of the lab.
        on: Names of the nodes that it affects.
        way: The direction of a partition: "both", "out" or "in".
        end: When it ended, in seconds of the lab.
        most: Nodes that a rolling update may have down at once.
        number: The fault's index in the plan.
    """

    type: str
    begin: float
    on: list[str]
    way: str
    end: float = FOREVER
    most: int = 1
    number: int = 0

    def overlaps(self, begin: float, end: float) -> bool:
        """Whether the fault was active at some time of an interval."""
        return self.begin < end and begin < self.end

    def separates(self, one: str, other: str) -> bool:
        """Whether the fault is a partition with two nodes on different sides."""
        return self.type == "cut" and (one in self.on) != (other in self.on)


class Change(NamedTuple):
    """A change of what the nodes' views should show."""

    at: float
    what: str


@dataclass
class ProcessEvent:
    """One step of a process, from the lab's own events or from the node's log."""

    at: float
    node: str
    what: str
    event: Event


def process_events(processes: Iterable[Event], logs: Iterable[Event]) -> list[ProcessEvent]:
    """All steps of all processes in order; a node that shuts down without a signal says so in its log."""
    found = [ProcessEvent(e["t"], e["node"], e["what"], e) for e in processes]
    found += [ProcessEvent(e["t"], e["node"], "ends", e) for e in logs if e["text"].endswith(ENDING_SUFFIX)]
    return sorted(found, key=lambda step: step.at)


def process_incarnations(
    names: Sequence[str], steps: Iterable[ProcessEvent]
) -> dict[str, list[ProcessIncarnation]]:
    """The processes of each node, in the order of their starts."""
    found: dict[str, list[ProcessIncarnation]] = {name: [] for name in names}
    for step in steps:
        of_node = found[step.node]
        if step.what == "start":
            of_node.append(ProcessIncarnation(step.event["life"], step.at, step.event.get("clock_ms", 0)))
        elif of_node:
            of_node[-1].apply(step.what, step.at)
    return found


def fault_periods(faults: Iterable[Event]) -> list[FaultPeriod]:
    """The faults of a run in the order of their begins."""
    found: list[FaultPeriod] = []
    for event in faults:
        if event["what"] == "begin":
            found.append(begun_fault(event))
            continue
        for period in found:
            if period.type == event["type"] and period.on == event["on"] and period.end == FOREVER:
                period.end = event["t"]
                break
    return found


def begun_fault(event: Event) -> FaultPeriod:
    """A fault that begins with an event; fields that earlier histories lack have defaults."""
    return FaultPeriod(
        event["type"],
        event["t"],
        event["on"],
        event.get("way", "both"),
        most=event.get("most", 1),
        number=event.get("number", 0),
    )


def changes_between(
    begin: float, end: float, steps: Iterable[ProcessEvent], faults: Iterable[Event]
) -> list[Change]:
    """What changed for the views: processes between two times, and network and clock faults."""
    found = [
        Change(step.at, f"{step.node} {step.what}")
        for step in steps
        if step.what in EXPECTED_TO_BE_SEEN and begin < step.at <= end
    ]
    for event in faults:
        if event["type"] in (*NETWORK_FAULTS, "clock"):
            found.append(Change(event["t"], f"{event['type']} {event['what']}s"))
    return sorted(found)


def by_kind(events: Iterable[Event]) -> Mapping[str, list[Event]]:
    """The events of a history by their kind."""
    found: dict[str, list[Event]] = {}
    for event in events:
        found.setdefault(event["event"], []).append(event)
    return found
