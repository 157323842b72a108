"""The timeline of a run as a picture: a lane for each node, faults shaded, served requests and views."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from matplotlib import pyplot

from workbench.lab.ground_truth import GroundTruth
from workbench.lab.process_history import FOREVER, NETWORK_FAULTS, ProcessIncarnation
from workbench.lab.timeline import Second, seconds_of
from workbench.report.plots import COLOURS, SHADE

LEGEND = (
    "seconds from the first client; green: ready, blue: starting, orange: told to end, black: paused, "
    "red line: cut or bad links"
)
SERVED, VIEWS, READY, STOPPING, STARTING, PAUSED = (COLOURS[i] for i in (0, 1, 2, 4, 5, 7))
FAULT = VIEWS
LANE_INCHES = 0.28
PROCESS_HEIGHT = 0.6  # of a lane
FAULT_HEIGHT = 0.2


def plot(truth: GroundTruth, path: Path) -> None:
    """Draws the timeline of a run to a file."""
    lane_inches = LANE_INCHES * len(truth.names)
    figure, (served, lanes) = pyplot.subplots(
        2,
        1,
        figsize=(11, 2.6 + lane_inches + 1.2),
        height_ratios=[2.6, lane_inches + 0.8],
        sharex=True,
        layout="constrained",
    )
    rows = seconds_of(truth)
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


def plot_served(axis: Any, rows: list[Second]) -> None:
    """Draws the share of the requests that was served."""
    shares = [100 * row.served / row.sent if row.sent else None for row in rows]
    axis.plot(middles(rows), shares, color=SERVED)
    axis.set_ylabel("served, %", color=SERVED)
    axis.set_ylim(-3, 103)


def plot_views(axis: Any, truth: GroundTruth, rows: list[Second]) -> None:
    """Draws the nodes that run and the range of the views' sizes."""
    if not truth.fleet:
        return
    least, most = [row.least_seen for row in rows], [row.most_seen for row in rows]
    axis.fill_between(middles(rows), least, most, color=VIEWS, alpha=0.3, step="mid")
    axis.plot(middles(rows), [row.members for row in rows], color=VIEWS, ls=":", drawstyle="steps-mid")
    axis.set_ylabel("members: run (dotted), least and most seen", color=VIEWS, fontsize=8)
    axis.set_ylim(0, len(truth.names) + 0.5)


def middles(rows: list[Second]) -> list[float]:
    """Returns where the rows are drawn."""
    return [row.at + 0.5 for row in rows]


def plot_lanes(axis: Any, truth: GroundTruth) -> None:
    """Draws a lane for each node: its processes and the faults on its links and clock."""
    names = truth.names
    for lane, name in enumerate(reversed(names)):
        for process in truth.incarnations[name]:
            plot_process(axis, truth, lane, process)
        for period in truth.periods:
            if period.type in (*NETWORK_FAULTS, "clock") and name in period.on:
                end = min(period.end, truth.end)
                plot_bar(axis, truth, lane, period.begin, end, FAULT, FAULT_HEIGHT)
    axis.set_yticks(range(len(names)), list(reversed(names)), fontsize=7)
    axis.set_xlabel(LEGEND, fontsize=8)


def plot_process(axis: Any, truth: GroundTruth, lane: int, process: ProcessIncarnation) -> None:
    """Draws the states of one process over each other."""
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
    height: float = PROCESS_HEIGHT,
) -> None:
    """Draws an interval in a lane."""
    left = begin - origin(truth)
    axis.barh(lane, end - begin, left=left, height=height, color=colour, lw=0)


def shade_faults(axis: Any, truth: GroundTruth) -> None:
    """Shades the time of each fault."""
    zero = origin(truth)
    for period in truth.periods:
        end = min(period.end, truth.end)
        axis.axvspan(period.begin - zero, end - zero, color=SHADE, alpha=0.25, lw=0)


def origin(truth: GroundTruth) -> float:
    """Returns the time at which the picture has 0: when the clients began, if they did."""
    return truth.go if truth.go < FOREVER else 0.0
