"""Plots of one run."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402

# Told apart in print and by most colour-blind readers (Okabe and Ito).
COLOURS = ["#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#F0E442", "#000000"]
SHADE = "#bbbbbb"
MOST_CAUSES = 6


def plot_run(result: dict[str, Any], stats: list[dict[str, Any]], path: Path) -> None:
    """Worth by second with the faults shaded, what was lost to what, latency, and the front nodes' limits."""
    rows = result["seconds"]
    panels = 4 if stats else 3
    figure, axes = pyplot.subplots(
        panels, 1, figsize=(10, 2.6 * panels + 0.8), sharex=True, layout="constrained"
    )
    at = [r["at_s"] for r in rows]
    worth_panel(axes[0], at, rows)
    loss_panel(axes[1], at, result)
    latency_panel(axes[2], at, rows, result["day"])
    if stats:
        limit_panel(axes[3], stats)
    for axis in axes:
        shade(axis, result["day"])
        axis.grid(alpha=0.25)
        axis.margins(x=0)
    axes[-1].set_xlabel("time of the day, s")
    made = result["made"]
    title = result["day"]["title"] or "a day"
    figure.suptitle(
        f"{title}: goal {result['goal']:.3f} (policy {made['policy']}, seed {made['seed']})", fontsize=11
    )
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def shade(axis: Axes, day: dict[str, Any]) -> None:
    for fault in day["fault"]:
        start = fault["at_s"]
        axis.axvspan(start, start + max(0.2, fault["for_s"]), color=SHADE, alpha=0.3, lw=0)
        axis.text(
            start,
            1.0,
            " " + fault["type"].replace("_", " "),
            transform=axis.get_xaxis_transform(),
            fontsize=7,
            va="top",
        )


def worth_panel(axis: Axes, at: list[float], rows: list[dict[str, Any]]) -> None:
    axis.step(at, [r["worth"] for r in rows], where="post", color=COLOURS[7], lw=1, label="asked for")
    axis.fill_between(
        at,
        [r["served_worth"] for r in rows],
        step="post",
        color=COLOURS[0],
        alpha=0.5,
        label="served in time",
    )
    axis.set_ylabel("worth a second")
    axis.set_ylim(bottom=0)
    axis.legend(loc="lower right", fontsize=8)


def loss_panel(axis: Axes, at: list[float], result: dict[str, Any]) -> None:
    names = [t["name"] for t in result["day"]["tier"]]
    top = [(e["cause"], e["tier"]) for e in result["account"]["lost"][:MOST_CAUSES]]
    base = [0.0] * len(at)
    for (cause, tier), colour in zip(top, COLOURS, strict=False):
        worth = [
            sum(e["worth"] for e in r["lost"] if (e["cause"], e["tier"]) == (cause, tier))
            for r in result["seconds"]
        ]
        upper = [b + w for b, w in zip(base, worth, strict=True)]
        axis.fill_between(
            at, base, upper, step="post", color=colour, alpha=0.8, lw=0, label=f"{cause} ({names[tier]})"
        )
        base = upper
    axis.set_ylabel("worth lost a second")
    axis.set_ylim(bottom=0)
    if top:
        axis.legend(loc="upper right", fontsize=7)


def latency_panel(axis: Axes, at: list[float], rows: list[dict[str, Any]], day: dict[str, Any]) -> None:
    for key, colour in (("p50_ms", COLOURS[0]), ("p99_ms", COLOURS[1])):
        axis.step(
            at,
            [r[key] or float("nan") for r in rows],
            where="post",
            color=colour,
            lw=1,
            label=key.removesuffix("_ms"),
        )
    aim = min(c["aim_s"] for c in day["class"]) * 1000
    axis.axhline(aim, color=COLOURS[7], lw=0.8, ls="--", label="least aim")
    axis.set_yscale("log")
    axis.set_ylabel("latency, served, ms")
    axis.legend(loc="lower right", fontsize=8)


def limit_panel(axis: Axes, stats: list[dict[str, Any]]) -> None:
    for node in sorted({s["node"] for s in stats})[:4]:
        rows = [s for s in stats if s["node"] == node]
        at = [s["at_s"] for s in rows]
        colour = COLOURS[node % len(COLOURS)]
        axis.plot(
            at, [s["concurrency_limit"] for s in rows], color=colour, lw=1.2, label=f"limit, front/{node}"
        )
        axis.plot(
            at, [s["in_flight"] for s in rows], color=colour, lw=0.7, ls=":", label="its calls in flight"
        )
    axis.set_ylabel("calls at a node")
    axis.set_ylim(bottom=0)
    axis.legend(loc="upper right", fontsize=7, ncols=2)
