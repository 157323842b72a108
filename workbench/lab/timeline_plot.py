"""A plot of a run's timeline: served requests, sizes of views, a lane for each node, and shaded faults."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from matplotlib import pyplot

from workbench.lab.ground_truth import GroundTruth
from workbench.lab.process_history import FOREVER, NETWORK_FAULTS, ProcessIncarnation
from workbench.lab.timeline import TimelineRow, timeline_rows
from workbench.report.plots import COLOURS, FAULT_COLOUR

LEGEND = (
    "seconds since the clients started; green: ready, blue: starting, orange: stopping, black: paused, "
    "red line: network or clock fault"
)
SERVED, VIEWS, READY, STOPPING, STARTING, PAUSED = (COLOURS[i] for i in (0, 1, 2, 4, 5, 7))
FAULT = VIEWS
LANE_INCHES = 0.28
PROCESS_LANE_RATIO = 0.6  # Height of a process bar relative to a lane.
FAULT_LANE_RATIO = 0.2  # Height of a fault bar relative to a lane.


def plot(truth: GroundTruth, path: Path) -> None:
    """Draw the timeline of a run to an image file."""
    lane_inches = LANE_INCHES * len(truth.names)
    figure, (served, lanes) = pyplot.subplots(
        2,
        1,
        figsize=(11, 2.6 + lane_inches + 1.2),
        height_ratios=[2.6, lane_inches + 0.8],
        sharex=True,
        layout="constrained",
    )
    rows = timeline_rows(truth)
    plot_served(served, rows)
    plot_views(served.twinx(), truth, rows)
    plot_lanes(lanes, truth)
    for axis in (served, lanes):
        shade_faults(axis, truth)
        axis.grid(alpha=0.25)
    figure.suptitle(
        f"{truth.plan['title']} (seed {truth.plan['seed']}, {len(truth.names)} nodes)", fontsize=11
    )
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def plot_served(axis: Any, rows: list[TimelineRow]) -> None:
    """Draw the share of requests that were served."""
    shares = [100 * row.served / row.sent if row.sent else None for row in rows]
    axis.plot(middles(rows), shares, color=SERVED)
    axis.set_ylabel("served, %", color=SERVED)
    axis.set_ylim(-3, 103)


def plot_views(axis: Any, truth: GroundTruth, rows: list[TimelineRow]) -> None:
    """Draw the number of running nodes and the range of the views' sizes."""
    if not truth.has_fleet:
        return
    smallest, largest = [row.smallest_view for row in rows], [row.largest_view for row in rows]
    axis.fill_between(middles(rows), smallest, largest, color=VIEWS, alpha=0.3, step="mid")
    axis.plot(middles(rows), [row.members for row in rows], color=VIEWS, ls=":", drawstyle="steps-mid")
    axis.set_ylabel("members: running (dotted), range in views", color=VIEWS, fontsize=8)
    axis.set_ylim(0, len(truth.names) + 0.5)


def middles(rows: list[TimelineRow]) -> list[float]:
    """Return the middle of each row's second, at which its values are drawn."""
    return [row.at + 0.5 for row in rows]


def plot_lanes(axis: Any, truth: GroundTruth) -> None:
    """Draw a lane for each node, with its processes and the faults of its links and clock."""
    names = truth.names
    for lane, name in enumerate(reversed(names)):
        for process in truth.incarnations[name]:
            plot_process(axis, truth, lane, process)
        for period in truth.periods:
            if period.type in (*NETWORK_FAULTS, "clock") and name in period.on:
                end = min(period.end, truth.end)
                plot_bar(axis, truth, lane, period.begin, end, FAULT, FAULT_LANE_RATIO)
    axis.set_yticks(range(len(names)), list(reversed(names)), fontsize=7)
    axis.set_xlabel(LEGEND, fontsize=8)


def plot_process(axis: Any, truth: GroundTruth, lane: int, process: ProcessIncarnation) -> None:
    """Draw the states of one process; a later state covers an earlier one."""
    end = min(process.end, truth.end)
    plot_bar(axis, truth, lane, process.start, end, STARTING)
    if process.ready < end:
        plot_bar(axis, truth, lane, process.ready, end, READY)
    if process.stop_requested_at < end:
        plot_bar(axis, truth, lane, process.stop_requested_at, end, STOPPING)
    for paused_at, resumed_at in process.pauses:
        plot_bar(axis, truth, lane, paused_at, min(resumed_at, end), PAUSED)


def plot_bar(
    axis: Any,
    truth: GroundTruth,
    lane: int,
    begin: float,
    end: float,
    colour: str,
    height: float = PROCESS_LANE_RATIO,
) -> None:
    """Draw an interval in a lane."""
    left = begin - origin(truth)
    axis.barh(lane, end - begin, left=left, height=height, color=colour, lw=0)


def shade_faults(axis: Any, truth: GroundTruth) -> None:
    """Shade the period of each fault."""
    zero = origin(truth)
    for period in truth.periods:
        end = min(period.end, truth.end)
        axis.axvspan(period.begin - zero, end - zero, color=FAULT_COLOUR, alpha=0.25, lw=0)


def origin(truth: GroundTruth) -> float:
    """Return the time of the plot's zero: the clients' start, or 0 if they never started."""
    return truth.clients_start if truth.clients_start < FOREVER else 0.0
