"""Plots of one run over the time of the day."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot
from matplotlib.axes import Axes

# Palette of Okabe and Ito: distinguishable in print and by most colour-blind readers.
COLOURS = ["#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#F0E442", "#000000"]
FAULT_COLOUR = "#bbbbbb"
MAX_CAUSES = 6
MAX_NODES = 4
# Shorter faults are drawn this wide, so that they are visible.
MIN_FAULT_WIDTH_S = 0.2


def plot_run(result: dict[str, Any], stats: list[dict[str, Any]], path: Path) -> None:
    """Draw a run by second: value, causes of loss, latency and concurrency limits, with faults shaded.

    Args:
        result: Result of the run.
        stats: Statistics of the front nodes; if empty, no limits are drawn.
        path: Image file; its suffix selects the format.
    """
    seconds = result["seconds"]
    panels = 4 if stats else 3
    figure, axes = pyplot.subplots(
        panels, 1, figsize=(10, 2.6 * panels + 0.8), sharex=True, layout="constrained"
    )
    times = [second["at_s"] for second in seconds]
    draw_value_panel(axes[0], times, seconds)
    draw_loss_panel(axes[1], times, result)
    draw_latency_panel(axes[2], times, seconds, result["day"])
    if stats:
        draw_limit_panel(axes[3], stats)
    for panel in axes:
        shade_faults(panel, result["day"]["fault"])
        panel.grid(alpha=0.25)
        panel.margins(x=0)
    axes[-1].set_xlabel("time of the day, s")
    figure.suptitle(plot_title(result), fontsize=11)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def plot_title(result: dict[str, Any]) -> str:
    """Return the title of a run, with its goal, policy and seed."""
    made = result["made"]
    title = result["day"]["title"] or "a day"
    return f"{title}: goal {result['goal']:.3f} (policy {made['policy']}, seed {made['seed']})"


def shade_faults(axes: Axes, faults: list[dict[str, Any]]) -> None:
    """Shade the time of each fault and label it with the fault's type."""
    for fault in faults:
        start = fault["at_s"]
        end = start + max(MIN_FAULT_WIDTH_S, fault["for_s"])
        axes.axvspan(start, end, color=FAULT_COLOUR, alpha=0.3, lw=0)
        label = " " + fault["type"].replace("_", " ")
        axes.text(start, 1.0, label, transform=axes.get_xaxis_transform(), fontsize=7, va="top")


def draw_value_panel(axes: Axes, times: list[float], seconds: list[dict[str, Any]]) -> None:
    """Draw the requested and the served value of each second."""
    requested = [second["worth"] for second in seconds]
    served = [second["served_worth"] for second in seconds]
    axes.step(times, requested, where="post", color=COLOURS[7], lw=1, label="requested")
    axes.fill_between(times, served, step="post", color=COLOURS[0], alpha=0.5, label="served in time")
    axes.set_ylabel("worth a second")
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower right", fontsize=8)


def draw_loss_panel(axes: Axes, times: list[float], result: dict[str, Any]) -> None:
    """Draw the lost value of each second, stacked by the day's largest causes."""
    tiers = [tier["name"] for tier in result["day"]["tier"]]
    largest = result["account"]["lost"][:MAX_CAUSES]
    lower = [0.0] * len(times)
    for loss, colour in zip(largest, COLOURS, strict=False):
        cause, tier = loss["cause"], loss["tier"]
        values = [lost_value(second, cause, tier) for second in result["seconds"]]
        upper = [below + value for below, value in zip(lower, values, strict=True)]
        label = f"{cause} ({tiers[tier]})"
        axes.fill_between(times, lower, upper, step="post", color=colour, alpha=0.8, lw=0, label=label)
        lower = upper
    axes.set_ylabel("worth lost a second")
    axes.set_ylim(bottom=0)
    if largest:
        axes.legend(loc="upper right", fontsize=7)


def lost_value(second: dict[str, Any], cause: str, tier: int) -> float:
    """Return the value lost in one second to a cause in a tier."""
    values: list[float] = [
        loss["worth"] for loss in second["lost"] if loss["cause"] == cause and loss["tier"] == tier
    ]
    return sum(values)


def draw_latency_panel(
    axes: Axes, times: list[float], seconds: list[dict[str, Any]], day: dict[str, Any]
) -> None:
    """Draw the p50 and p99 latency of served requests, and the strictest latency objective."""
    for key, colour in (("p50_ms", COLOURS[0]), ("p99_ms", COLOURS[1])):
        latencies = [second[key] or float("nan") for second in seconds]
        axes.step(times, latencies, where="post", color=colour, lw=1, label=key.removesuffix("_ms"))
    objective_ms = min(request_class["aim_s"] for request_class in day["class"]) * 1000
    axes.axhline(objective_ms, color=COLOURS[7], lw=0.8, ls="--", label="strictest latency objective")
    axes.set_yscale("log")
    axes.set_ylabel("latency, served, ms")
    axes.legend(loc="lower right", fontsize=8)


def draw_limit_panel(axes: Axes, stats: list[dict[str, Any]]) -> None:
    """Draw the concurrency limit and the calls in flight of the first nodes."""
    nodes = sorted({sample["node"] for sample in stats})[:MAX_NODES]
    for node in nodes:
        samples = [sample for sample in stats if sample["node"] == node]
        times = [sample["at_s"] for sample in samples]
        limits = [sample["concurrency_limit"] for sample in samples]
        in_flight = [sample["in_flight"] for sample in samples]
        colour = COLOURS[node % len(COLOURS)]
        axes.plot(times, limits, color=colour, lw=1.2, label=f"limit, front/{node}")
        axes.plot(times, in_flight, color=colour, lw=0.7, ls=":", label="its calls in flight")
    axes.set_ylabel("calls at a node")
    axes.set_ylim(bottom=0)
    axes.legend(loc="upper right", fontsize=7, ncols=2)
