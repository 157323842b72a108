"""The figures of an experiment's report. Each is a picture, its caption and what it shows."""

from __future__ import annotations

import io
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy as np
from matplotlib import pyplot
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from workbench.experiment.compare import Comparison
from workbench.report.plots import COLOURS, limit_panel, shade
from workbench.report.series import Array, Days

WIDE = 9.5
ROW = 0.42
Goals = dict[tuple[str, str], Array]


@dataclass
class Picture:
    """A PNG and its caption."""

    name: str
    caption: str
    png: bytes


def picture(name: str, caption: str, height: float, draw: Callable[[Axes], None]) -> Picture:
    """One set of axes, drawn and closed."""
    figure, axes = pyplot.subplots(figsize=(WIDE, height), layout="constrained")
    draw(axes)
    axes.grid(alpha=0.25)
    return finished(name, caption, figure)


def finished(name: str, caption: str, figure: Figure) -> Picture:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110)
    pyplot.close(figure)
    return Picture(name, caption, out.getvalue())


def beside(axes: Axes) -> None:
    """The legend beside the axes, where it covers nothing."""
    axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))


def spread(values: Array) -> float:
    """Half of a mean's 95% interval."""
    return 1.96 * float(values.std(ddof=1)) / len(values) ** 0.5 if len(values) > 1 else 0.0


def goal_figure(goals: Goals, scenarios: list[str], variants: list[str]) -> Picture:
    def draw(axes: Axes) -> None:
        for i, variant in enumerate(variants):
            rows = [(y, goals[s, variant]) for y, s in enumerate(scenarios) if (s, variant) in goals]
            at = [y + (i - (len(variants) - 1) / 2) * 0.7 / len(variants) for y, _ in rows]
            means, errors = [float(g.mean()) for _, g in rows], [spread(g) for _, g in rows]
            axes.errorbar(
                means, at, xerr=errors, fmt="o", ms=4, capsize=2, color=COLOURS[i % 8], label=variant
            )
        axes.set_yticks(range(len(scenarios)), scenarios)
        axes.invert_yaxis()
        axes.set_xlabel("goal, 0 to 1")
        beside(axes)

    caption = (
        "Goal by scenario: the mean over the seeds, and its 95% interval from the spread between seeds. Days "
    )
    caption += "differ far more than variants do; the next figure pairs them."
    return picture("goal", caption, 1.5 + ROW * len(scenarios) * max(1, len(variants) / 2), draw)


def pair_figure(pairs: dict[str, Array], a: str, b: str) -> Picture:
    def draw(axes: Axes) -> None:
        rng = np.random.default_rng(1)
        for y, (_, d) in enumerate(pairs.items()):
            axes.plot(d, y + rng.uniform(-0.18, 0.18, len(d)), "o", ms=3, alpha=0.6, color=COLOURS[0])
            axes.errorbar([d.mean()], [y], xerr=[spread(d)], fmt="D", ms=5, capsize=3, color=COLOURS[1])
        axes.axvline(0, color=COLOURS[7], lw=0.8)
        axes.set_yticks(range(len(pairs)), list(pairs))
        axes.invert_yaxis()
        axes.set_xlabel(f"goal of {b} less goal of {a}, the same seed")

    caption = f"{b} against {a}: a dot for each seed, right of the line where {b} is better; the "
    caption += "diamond is the mean "
    caption += "with its 95% interval."
    return picture(f"pairs-{b}", caption, 1.3 + ROW * max(2, len(pairs)), draw)


def loss_figure(losses: dict[tuple[str, str], dict[str, float]]) -> Picture:
    rows = sorted(losses)
    causes = sorted({c for by in losses.values() for c in by}, key=lambda c: (c == "other", c))

    def draw(axes: Axes) -> None:
        left = np.zeros(len(rows))
        for cause, colour in zip(causes, COLOURS, strict=False):
            shares = np.array([100 * losses[row].get(cause, 0.0) for row in rows])
            axes.barh(range(len(rows)), shares, left=left, color=colour, label=cause, height=0.7)
            left += shares
        axes.set_yticks(range(len(rows)), [f"{s}: {v}" for s, v in rows], fontsize=8)
        axes.invert_yaxis()
        axes.set_xlabel("share of the worth asked for that was lost, %")
        beside(axes)

    caption = "Where the lost worth went, by cause and tier (0 is the first), mean over the seeds."
    return picture("losses", caption, 1.3 + 0.3 * len(rows), draw)


def served_figure(days: Days) -> Picture:
    def draw(axes: Axes) -> None:
        for i, (variant, share) in enumerate(days.served.items()):
            axes.step(
                range(len(share)), 100 * share, where="post", color=COLOURS[i % 8], lw=1.1, label=variant
            )
        shade(axes, {"fault": days.faults})
        axes.set_ylim(0, 104)
        axes.set_xlabel("time of the day, s")
        axes.set_ylabel("worth served, %")
        beside(axes)

    caption = f"{days.scenario}: worth served in time, by the second in which it was asked for, mean over "
    caption += "the seeds; "
    caption += "grey are the first seed's faults (other seeds draw other times)."
    return picture(f"served-{days.scenario}", caption, 2.8, draw)


def latency_figure(days: list[Days]) -> Picture:
    def draw(axes: Axes) -> None:
        variants = list(days[0].latency)
        for i, variant in enumerate(variants):
            for key, marker in (("p50", "o"), ("p90", "s"), ("p99", "^")):
                at = [y + (i - (len(variants) - 1) / 2) * 0.6 / len(variants) for y in range(len(days))]
                values = [d.latency.get(variant, {}).get(key, np.nan) for d in days]
                axes.plot(values, at, marker, ms=5, color=COLOURS[i % 8], label=f"{variant} {key}", ls="")
        axes.set_xscale("log")
        axes.set_yticks(range(len(days)), [d.scenario for d in days])
        axes.invert_yaxis()
        axes.set_xlabel("latency of served requests, ms (logarithmic)")
        beside(axes)

    caption = "Latency at the client, over all tries, of the requests that were served: median, p90, "
    caption += "p99, each the "
    caption += "mean over the seeds."
    return picture("latency", caption, 1.5 + ROW * 1.4 * len(days), draw)


def limit_figure(days: Days) -> Picture | None:
    if not days.stats:
        return None

    def draw(axes: Axes) -> None:
        limit_panel(axes, days.stats)
        shade(axes, {"fault": days.faults})
        axes.set_xlabel("time of the day, s")

    caption = f"{days.scenario}, one seed: limit and calls in flight of the first front "
    caption += "nodes, by their own statistics."
    return picture(f"limits-{days.scenario}", caption, 2.8, draw)


def sweep_figure(key: str, curves: dict[str, dict[float, Array]]) -> Picture:
    def draw(axes: Axes) -> None:
        for i, (variant, at) in enumerate(curves.items()):
            xs = list(at)
            means, errors = [float(at[x].mean()) for x in xs], [spread(at[x]) for x in xs]
            axes.errorbar(
                xs, means, yerr=errors, fmt="o-", ms=4, capsize=2, color=COLOURS[i % 8], label=variant
            )
        values = sorted({x for at in curves.values() for x in at})
        if values[0] > 0 and values[-1] / values[0] >= 20:
            axes.set_xscale("log")
        axes.set_xlabel(key)
        axes.set_ylabel("goal, 0 to 1")
        beside(axes)

    caption = f"Goal over {key}: means over the seeds, with their 95% intervals."
    return picture("sweep", caption, 3.6, draw)


def table_rows(found: Comparison) -> list[dict[str, Any]]:
    """A comparison's lines for CSV and page."""
    keys = ("scenario", "difference", "low", "high", "p", "pairs", "ups", "downs", "verdict")
    return [
        {"a": found.baseline, "b": found.candidate, **{k: e[k] for k in keys}}
        for e in msgspec.to_builtins(found.results())
    ]
