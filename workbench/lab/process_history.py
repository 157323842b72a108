"""The processes and faults of a run, reconstructed from its history."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from workbench.lab.history import Event

FOREVER = float("inf")
NETWORK_FAULTS = ("cut", "links")
ENDING_SUFFIX = "-> ending"  # End of the log line by which a node announces its shutdown.
# Process events that change what the other nodes' views should show.
VISIBLE_PROCESS_EVENTS = ("kill", "term", "ends", "stop", "cont", "ready")


@dataclass
class ProcessIncarnation:
    """One process of a node. Times are seconds of the lab.

    Attributes:
        number: The position among the node's processes, from 1.
        start: When the process was started.
        clock: Milliseconds by which its wall clock was off at its start.
        ready: When it was ready for clients.
        stop_requested_at: When it received SIGTERM or SIGKILL, or started to shut down without either.
        end: When it exited.
        stopped_by_itself: Whether it shut down without a signal from the lab.
        pauses: Start and end of each pause by SIGSTOP.
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
        """Return whether the process runs at a time and has not been asked to stop."""
        return self.start <= at < min(self.stop_requested_at, self.end)

    def was_paused(self, begin: float, end: float) -> bool:
        """Return whether the process was paused at some time of an interval."""
        return any(paused_at < end and begin < resumed_at for paused_at, resumed_at in self.pauses)

    def apply(self, what: str, at: float) -> None:
        """Apply an event of the process, named as in the history."""
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
    """The period during which a fault was active.

    Attributes:
        type: The fault's type in the plan.
        begin: When the fault started, in seconds of the lab.
        on: Names of the affected nodes.
        way: The direction of a partition: "both", "out" or "in".
        end: When the fault ended, in seconds of the lab.
        most: Maximum number of nodes that a rolling update may have down at once.
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
        """Return whether the fault was active at some time of an interval."""
        return self.begin < end and begin < self.end

    def separates(self, one: str, other: str) -> bool:
        """Return whether the fault is a partition with two nodes on different sides."""
        return self.type == "cut" and (one in self.on) != (other in self.on)


class Change(NamedTuple):
    """A change of what the nodes' views should show, at a time in seconds of the lab."""

    at: float
    description: str


@dataclass
class ProcessEvent:
    """One event of a process, recorded by the lab or derived from the node's log.

    Attributes:
        at: Seconds of the lab.
        node: The name of the node.
        what: The kind of event, named as in the history, or "ends" for a shutdown without a signal.
        event: The event of the history.
    """

    at: float
    node: str
    what: str
    event: Event


def process_events(processes: Iterable[Event], logs: Iterable[Event]) -> list[ProcessEvent]:
    """Return the events of all processes in order, including shutdowns that only the nodes' logs report."""
    found = [ProcessEvent(e["t"], e["node"], e["what"], e) for e in processes]
    found += [ProcessEvent(e["t"], e["node"], "ends", e) for e in logs if e["text"].endswith(ENDING_SUFFIX)]
    return sorted(found, key=lambda step: step.at)


def process_incarnations(
    names: Sequence[str], steps: Iterable[ProcessEvent]
) -> dict[str, list[ProcessIncarnation]]:
    """Return the processes of each node, ordered by their start."""
    found: dict[str, list[ProcessIncarnation]] = {name: [] for name in names}
    for step in steps:
        of_node = found[step.node]
        if step.what == "start":
            of_node.append(ProcessIncarnation(step.event["life"], step.at, step.event.get("clock_ms", 0)))
        elif of_node:
            of_node[-1].apply(step.what, step.at)
    return found


def fault_periods(faults: Iterable[Event]) -> list[FaultPeriod]:
    """Return the faults of a run, ordered by their start."""
    found: list[FaultPeriod] = []
    for event in faults:
        if event["what"] == "begin":
            found.append(started_fault(event))
            continue
        for period in found:
            if period.type == event["type"] and period.on == event["on"] and period.end == FOREVER:
                period.end = event["t"]
                break
    return found


def started_fault(event: Event) -> FaultPeriod:
    """Return the fault that starts with an event; fields that older histories lack have defaults."""
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
    """Return what changed for the views: processes between two times, and all network and clock faults."""
    found = [
        Change(step.at, f"{step.node} {step.what}")
        for step in steps
        if step.what in VISIBLE_PROCESS_EVENTS and begin < step.at <= end
    ]
    for event in faults:
        if event["type"] in (*NETWORK_FAULTS, "clock"):
            found.append(Change(event["t"], f"{event['type']} {event['what']}s"))
    return sorted(found)


def by_kind(events: Iterable[Event]) -> Mapping[str, list[Event]]:
    """Return the events of a history, grouped by their kind."""
    found: dict[str, list[Event]] = {}
    for event in events:
        found.setdefault(event["event"], []).append(event)
    return found
