"""The timeline of a run: a row a second, agreements, costs and verdicts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

from workbench.lab.ground_truth import GroundTruth, seconds
from workbench.lab.history import Event
from workbench.lab.process_history import FOREVER
from workbench.lab.violations import Violation

MAX_SHOWN_VIOLATIONS = 8  # of one checker
END_OF_SECOND = 0.999


@dataclass
class Second:
    """One second of a run.

    Attributes:
        at: Whole seconds from the clients' begin.
        sent: Requests that clients sent.
        served: Those of them that were served.
        lost: The others by their answer.
        attempts: Attempts that came to servers.
        faults: What happened, for a person to read.
        members: Nodes that ran at its end.
        least_seen: Members of the smallest view at its end, its own node included.
        most_seen: Members of the largest view.
        agreed: Whether all views were right.
    """

    at: int
    sent: int = 0
    served: int = 0
    lost: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    faults: list[str] = field(default_factory=list)
    members: int = 0
    least_seen: int = 0
    most_seen: int = 0
    agreed: bool = True


class Incident(NamedTuple):
    """Something that happened to the nodes, for a person to read."""

    at: float
    what: str


class Seconds:
    """The rows of a timeline, filled in from the events of a run."""

    def __init__(self, truth: GroundTruth) -> None:
        self.truth = truth
        count = max(1, int(truth.end - truth.go)) if truth.go < FOREVER else 0
        self.rows = [Second(at) for at in range(count)]

    def row(self, at: float) -> Second | None:
        """Returns the row of a time; None before the clients' begin and after the end."""
        index = int(at - self.truth.go)
        return self.rows[index] if 0 <= index < len(self.rows) else None

    def count_request(self, event: Event) -> None:
        """Counts a request in the second in which it was sent."""
        row = self.row(seconds(event["sent"]))
        if row is None:
            return
        row.sent += 1
        if event["answer"] == "ok":
            row.served += 1
        else:
            row.lost[event["answer"]] += 1

    def count_attempt(self, event: Event) -> None:
        """Counts an attempt in the second in which it began."""
        row = self.row(seconds(event["began"]))
        if row is not None:
            row.attempts += 1

    def add_incident(self, incident: Incident) -> None:
        """Adds what happened to its second."""
        row = self.row(incident.at)
        if row is not None:
            row.faults.append(incident.what)

    def sample_views(self, row: Second) -> None:
        """Compares the views at the end of a second with the nodes that run."""
        at = self.truth.go + row.at + END_OF_SECOND
        members = self.truth.members_at(at)
        sizes = [len(self.truth.present_in_view(name, at)) for name in members]
        row.members = len(members)
        row.least_seen = min(sizes, default=0) + 1
        row.most_seen = max(sizes, default=0) + 1
        row.agreed = self.truth.agreed(at) if self.truth.fleet else True


def seconds_of(truth: GroundTruth) -> list[Second]:
    """Returns a row a second from the first client on."""
    table = Seconds(truth)
    if not table.rows:
        return []
    for event in truth.of("request"):
        table.count_request(event)
    for event in truth.of("attempt"):
        table.count_attempt(event)
    for incident in incidents(truth):
        table.add_incident(incident)
    for row in table.rows:
        table.sample_views(row)
    return table.rows


def incidents(truth: GroundTruth) -> list[Incident]:
    """Returns faults and the ends of processes in words, in order."""
    found = []
    for e in truth.of("fault"):
        on = ", ".join(e["on"]) or "all"
        found.append(Incident(e["t"], f"{e['type']} {e['what']}s: {on}"))
    for e in truth.of("process"):
        if e["what"] == "ready" and e["t"] > truth.go:
            found.append(Incident(e["t"], f"{e['node']} is back"))
        elif e["what"] == "exit" and not e["asked"]:
            found.append(Incident(e["t"], f"{e['node']} ended by itself, status {e['status']}"))
    return sorted(found)


def timeline(truth: GroundTruth) -> Table:
    """Returns the rows as a person reads them."""
    table = Table(box=None, pad_edge=False)
    for name in ("s", "asked", "served %", "tries", "run", "views"):
        table.add_column(name, justify="right")
    table.add_column("lost to")
    table.add_column("faults")
    for row in seconds_of(truth):
        table.add_row(
            str(row.at),
            str(row.sent),
            f"{100 * row.served / row.sent:.1f}" if row.sent else "-",
            f"{row.attempts / row.sent:.2f}" if row.sent else "-",
            str(row.members),
            Text(view_sizes(row) if truth.fleet else "-", style="" if row.agreed else "yellow"),
            ", ".join(f"{count} {answer}" for answer, count in row.lost.most_common()),
            "; ".join(row.faults),
        )
    return table


def view_sizes(row: Second) -> str:
    """Returns the sizes of the smallest and the largest view, or the one size of all."""
    if row.least_seen == row.most_seen:
        return f"{row.least_seen}"
    return f"{row.least_seen} to {row.most_seen}"


@dataclass(frozen=True)
class Costs:
    """What a node cost a second while clients ran, and what clients got.

    Attributes:
        cpu: Share of a core.
        memory_mb: Resident megabytes at most.
        datagrams: Datagrams that a node sent a second.
        bytes: Bytes of them a second.
        requests: Requests of the clients.
        lost: Those that were not served.
        attempts: Attempts for each request.
    """

    cpu: float
    memory_mb: float
    datagrams: float
    bytes: float
    requests: int
    lost: int
    attempts: float


def costs(truth: GroundTruth) -> Costs:
    """Returns the costs of a run, by the first and last sample of each process."""
    first: dict[tuple[str, int], Event] = {}
    last: dict[tuple[str, int], Event] = {}
    for e in truth.of("sample"):
        if truth.go <= e["t"] <= truth.end:
            key = (e["node"], e["life"])
            first.setdefault(key, e)
            last[key] = e
    spans = [(first[k], last[k]) for k in first if last[k]["t"] > first[k]["t"]]
    duration = sum(b["t"] - a["t"] for a, b in spans) or 1.0
    requests = {e["request"] for e in truth.of("request")}
    served = {e["request"] for e in truth.of("request") if e["answer"] == "ok"}
    return Costs(
        cpu=sum(b["cpu_s"] - a["cpu_s"] for a, b in spans) / duration,
        memory_mb=max((b["memory_mb"] for _, b in spans), default=0.0),
        datagrams=sum(b["sent"] - a["sent"] for a, b in spans) / duration,
        bytes=sum(b["bytes_out"] - a["bytes_out"] for a, b in spans) / duration,
        requests=len(requests),
        lost=len(requests - served),
        attempts=len(truth.of("attempt")) / max(1, len(requests)),
    )


def report(truth: GroundTruth, violations: Mapping[str, list[Violation]]) -> RenderableType:
    """Returns the timeline, agreements, costs and each checker's verdict."""
    parts: list[RenderableType] = []
    if truth.go < FOREVER:
        parts += [timeline(truth), ""]
    if truth.fleet and truth.changes:
        parts += [agreement_table(truth), ""]
    cost = costs(truth)
    parts.append(
        f"{cost.requests} requests, {cost.lost} lost, {cost.attempts:.2f} attempts each; a node: "
        f"{100 * cost.cpu:.1f}% of a core, {cost.memory_mb:.0f} MB, "
        f"{cost.datagrams:.1f} datagrams and {cost.bytes:.0f} bytes a second"
    )
    parts.append(verdicts(violations))
    ending = incomplete_ending(truth)
    if ending:
        parts.append(ending)
    return Group(*parts)


def agreement_table(truth: GroundTruth) -> Table:
    """Returns how long it took until all views showed each change."""
    table = Table("s", "what changed", "all views showed it after", box=None, pad_edge=False)
    for at, what, took in truth.agreements():
        shown_after = "not before the next" if took is None else f"{took:.1f} s"
        table.add_row(f"{at - truth.go:.1f}", what, shown_after)
    return table


def incomplete_ending(truth: GroundTruth) -> str:
    """Returns why a run is not complete or does not count; "" if it does."""
    end = truth.of("end")
    if not end:
        return "the lab was ended before the run was over"
    if end[0]["trouble"]:
        return f"broken off: {end[0]['trouble']}"
    if not end[0]["counted"]:
        return f"not counted: the machine was late by {end[0]['late_ms']:.0f} ms, 50 are allowed"
    return ""


def verdicts(violations: Mapping[str, list[Violation]]) -> RenderableType:
    """Returns each checker's verdict with its first violations."""
    lines = []
    for name, found in violations.items():
        lines.append(f"{name:14}{'kept' if not found else f'BROKEN {len(found)} times'}")
        lines += [f"    {violation}" for violation in found[:MAX_SHOWN_VIOLATIONS]]
        if len(found) > MAX_SHOWN_VIOLATIONS:
            lines.append(f"    and {len(found) - MAX_SHOWN_VIOLATIONS} more")
    return Text("\n".join(lines))
