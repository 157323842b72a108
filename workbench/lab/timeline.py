"""The text report of a run: a timeline with a row per second, agreements, costs and verdicts."""

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

MAX_SHOWN_VIOLATIONS = 8  # Limit for each checker.
VIEW_SAMPLE_OFFSET_S = 0.999  # Time within a second at which the views are compared.


@dataclass
class TimelineRow:
    """One second of a run.

    Attributes:
        at: Whole seconds since the clients started.
        sent: Requests that clients sent in this second.
        served: Those of them that were served.
        lost: The number of the others by their answer.
        attempts: Attempts that started at servers.
        faults: Descriptions of faults and process events.
        members: Nodes that ran at the end of the second.
        smallest_view: Members of the smallest view at the end of the second, including its own node.
        largest_view: Members of the largest view, including its own node.
        agreed: Whether all views were correct.
    """

    at: int
    sent: int = 0
    served: int = 0
    lost: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    faults: list[str] = field(default_factory=list)
    members: int = 0
    smallest_view: int = 0
    largest_view: int = 0
    agreed: bool = True


class Incident(NamedTuple):
    """A fault or process event, described in words."""

    at: float
    description: str


class TimelineBuilder:
    """The rows of a timeline, computed from the events of a run."""

    def __init__(self, truth: GroundTruth) -> None:
        self.truth = truth
        count = max(1, int(truth.end - truth.clients_start)) if truth.clients_start < FOREVER else 0
        self.rows = [TimelineRow(at) for at in range(count)]

    def row(self, at: float) -> TimelineRow | None:
        """Return the row of a time; None before the clients' start and after the end of the run."""
        index = int(at - self.truth.clients_start)
        return self.rows[index] if 0 <= index < len(self.rows) else None

    def count_request(self, event: Event) -> None:
        """Count a request in the second in which the client sent it."""
        row = self.row(seconds(event["sent"]))
        if row is None:
            return
        row.sent += 1
        if event["answer"] == "ok":
            row.served += 1
        else:
            row.lost[event["answer"]] += 1

    def count_attempt(self, event: Event) -> None:
        """Count an attempt in the second in which it started."""
        row = self.row(seconds(event["began"]))
        if row is not None:
            row.attempts += 1

    def add_incident(self, incident: Incident) -> None:
        """Add an incident to the second in which it occurred."""
        row = self.row(incident.at)
        if row is not None:
            row.faults.append(incident.description)

    def sample_views(self, row: TimelineRow) -> None:
        """Compare the views at the end of a second with the nodes that run."""
        at = self.truth.clients_start + row.at + VIEW_SAMPLE_OFFSET_S
        members = self.truth.members_at(at)
        sizes = [len(self.truth.present_in_view(name, at)) for name in members]
        row.members = len(members)
        row.smallest_view = min(sizes, default=0) + 1
        row.largest_view = max(sizes, default=0) + 1
        row.agreed = self.truth.views_agree(at) if self.truth.has_fleet else True


def timeline_rows(truth: GroundTruth) -> list[TimelineRow]:
    """Return one row for each second from the clients' start on."""
    table = TimelineBuilder(truth)
    if not table.rows:
        return []
    for event in truth.events_of("request"):
        table.count_request(event)
    for event in truth.events_of("attempt"):
        table.count_attempt(event)
    for incident in incidents(truth):
        table.add_incident(incident)
    for row in table.rows:
        table.sample_views(row)
    return table.rows


def incidents(truth: GroundTruth) -> list[Incident]:
    """Return faults, restarts and unexpected exits in order."""
    found = []
    for e in truth.events_of("fault"):
        on = ", ".join(e["on"]) or "all"
        found.append(Incident(e["t"], f"{e['type']} {e['what']}s: {on}"))
    for e in truth.events_of("process"):
        if e["what"] == "ready" and e["t"] > truth.clients_start:
            found.append(Incident(e["t"], f"{e['node']} is back"))
        elif e["what"] == "exit" and not e["asked"]:
            found.append(Incident(e["t"], f"{e['node']} ended by itself, status {e['status']}"))
    return sorted(found)


def timeline(truth: GroundTruth) -> Table:
    """Return the rows as a table for the terminal."""
    table = Table(box=None, pad_edge=False)
    for name in ("s", "asked", "served %", "tries", "run", "views"):
        table.add_column(name, justify="right")
    table.add_column("lost to")
    table.add_column("faults")
    for row in timeline_rows(truth):
        table.add_row(
            str(row.at),
            str(row.sent),
            f"{100 * row.served / row.sent:.1f}" if row.sent else "-",
            f"{row.attempts / row.sent:.2f}" if row.sent else "-",
            str(row.members),
            Text(view_sizes(row) if truth.has_fleet else "-", style="" if row.agreed else "yellow"),
            ", ".join(f"{count} {answer}" for answer, count in row.lost.most_common()),
            "; ".join(row.faults),
        )
    return table


def view_sizes(row: TimelineRow) -> str:
    """Return the sizes of the smallest and the largest view, or one number if they are equal."""
    if row.smallest_view == row.largest_view:
        return f"{row.smallest_view}"
    return f"{row.smallest_view} to {row.largest_view}"


@dataclass(frozen=True)
class Costs:
    """The average resource usage of a node while clients ran, and the result of the clients' requests.

    Attributes:
        cpu: Share of one core that a node used.
        memory_mb: Maximum resident memory of any node.
        datagrams: Datagrams that a node sent per second.
        bytes: Bytes that a node sent in datagrams per second.
        requests: Number of the clients' requests.
        lost: Number of requests that were not served.
        attempts: Mean number of attempts per request.
    """

    cpu: float
    memory_mb: float
    datagrams: float
    bytes: float
    requests: int
    lost: int
    attempts: float


def costs(truth: GroundTruth) -> Costs:
    """Return the costs of a run, from the first and last sample of each process."""
    first: dict[tuple[str, int], Event] = {}
    last: dict[tuple[str, int], Event] = {}
    for e in truth.events_of("sample"):
        if truth.clients_start <= e["t"] <= truth.end:
            key = (e["node"], e["life"])
            first.setdefault(key, e)
            last[key] = e
    spans = [(first[k], last[k]) for k in first if last[k]["t"] > first[k]["t"]]
    duration_s = sum(b["t"] - a["t"] for a, b in spans) or 1.0
    requests = {e["request"] for e in truth.events_of("request")}
    served = {e["request"] for e in truth.events_of("request") if e["answer"] == "ok"}
    return Costs(
        cpu=sum(b["cpu_s"] - a["cpu_s"] for a, b in spans) / duration_s,
        memory_mb=max((b["memory_mb"] for _, b in spans), default=0.0),
        datagrams=sum(b["sent"] - a["sent"] for a, b in spans) / duration_s,
        bytes=sum(b["bytes_out"] - a["bytes_out"] for a, b in spans) / duration_s,
        requests=len(requests),
        lost=len(requests - served),
        attempts=len(truth.events_of("attempt")) / max(1, len(requests)),
    )


def report(truth: GroundTruth, violations: Mapping[str, list[Violation]]) -> RenderableType:
    """Return the whole report: timeline, agreements, costs and the checkers' verdicts."""
    parts: list[RenderableType] = []
    if truth.clients_start < FOREVER:
        parts += [timeline(truth), ""]
    if truth.has_fleet and truth.changes:
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
    """Return a table of how long it took after each change until all views showed it."""
    table = Table("s", "what changed", "all views showed it after", box=None, pad_edge=False)
    for at, description, took in truth.agreements():
        shown_after = "not before the next" if took is None else f"{took:.1f} s"
        table.add_row(f"{at - truth.clients_start:.1f}", description, shown_after)
    return table


def incomplete_ending(truth: GroundTruth) -> str:
    """Return why a run is incomplete or does not count; "" for a run that counts."""
    end = truth.events_of("end")
    if not end:
        return "incomplete: the lab was ended before the end of the run"
    if end[0]["trouble"]:
        return f"aborted: {end[0]['trouble']}"
    if not end[0]["counted"]:
        return f"not counted: the machine was late by {end[0]['late_ms']:.0f} ms, at most 50 ms are allowed"
    return ""


def verdicts(violations: Mapping[str, list[Violation]]) -> RenderableType:
    """Return the verdict of each checker with its first violations."""
    lines = []
    for name, found in violations.items():
        lines.append(f"{name:14}{'kept' if not found else f'BROKEN {len(found)} times'}")
        lines += [f"    {violation}" for violation in found[:MAX_SHOWN_VIOLATIONS]]
        if len(found) > MAX_SHOWN_VIOLATIONS:
            lines.append(f"    and {len(found) - MAX_SHOWN_VIOLATIONS} more")
    return Text("\n".join(lines))
