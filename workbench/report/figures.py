"""Figures of an experiment's report, each a picture with a caption that says what it shows."""

from __future__ import annotations

import io
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np
from matplotlib import pyplot
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from workbench.report.plots import COLOURS, limit_panel, shade_faults
from workbench.report.series import (
    OTHER_CAUSES,
    Array,
    ComparedAxes,
    Goals,
    LossShares,
    RunGroup,
    ScenarioSeries,
    Sweep,
)

WIDTH = 9.5  # inches, as all sizes here
ROW_HEIGHT = 0.42
TIME_HEIGHT = 2.8  # of a figure over the time of the day
GOAL_LABEL = "goal, 0 to 1"
TIME_LABEL = "time of the day, s"
NORMAL_QUANTILE = 1.96  # of a 95% interval
MIN_LOGARITHMIC_RATIO = 20  # of the greatest value to the least: beyond it the axis is logarithmic
PERCENTILE_MARKERS = {"p50": "o", "p90": "s", "p99": "^"}


@dataclass
class Picture:
    """A PNG and its caption."""

    name: str
    caption: str
    png: bytes


def draw_picture(name: str, caption: str, height: float, draw: Callable[[Axes], None]) -> Picture:
    """Returns a picture with one set of axes.

    Args:
        name: Of the picture.
        caption: What it shows.
        height: In inches.
        draw: Draws on the axes.
    """
    figure, axes = pyplot.subplots(figsize=(WIDTH, height), layout="constrained")
    draw(axes)
    axes.grid(alpha=0.25)
    return Picture(name, caption, render_png(figure))


def render_png(figure: Figure) -> bytes:
    """Renders a figure and closes it."""
    png = io.BytesIO()
    figure.savefig(png, format="png", dpi=110)
    pyplot.close(figure)
    return png.getvalue()


def put_legend_beside(axes: Axes) -> None:
    """Puts the legend beside the axes, where it covers nothing."""
    axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))


def set_rows(axes: Axes, labels: list[str]) -> None:
    """Labels the rows, the first on top."""
    axes.set_yticks(range(len(labels)), labels)
    axes.invert_yaxis()


def row_offset(index: int, count: int, spread: float) -> float:
    """Returns how far one of several variants is drawn from the middle of its row.

    Args:
        index: Of the variant.
        count: Of the variants.
        spread: The part of the row that they share.
    """
    return (index - (count - 1) / 2) * spread / count


def interval_half_width(values: Array) -> float:
    """Returns half the width of a mean's 95% interval."""
    if len(values) <= 1:
        return 0.0
    half_width: float = NORMAL_QUANTILE * float(values.std(ddof=1)) / len(values) ** 0.5
    return half_width


def goal_figure(goals: Goals, compared: ComparedAxes) -> Picture:
    """Draws the goals of all variants by scenario."""
    scenarios, variants = compared.scenarios, compared.variants

    def draw(axes: Axes) -> None:
        for index, variant in enumerate(variants):
            offset = row_offset(index, len(variants), 0.7)
            draw_goals(axes, goals, scenarios, variant, offset, COLOURS[index % len(COLOURS)])
        set_rows(axes, scenarios)
        axes.set_xlabel(GOAL_LABEL)
        put_legend_beside(axes)

    caption = (
        "Goal by scenario: the mean over the seeds, and its 95% interval from the spread between seeds. "
        "Days differ far more than variants do; the next figure pairs them."
    )
    height = 1.5 + ROW_HEIGHT * len(scenarios) * max(1, len(variants) / 2)
    return draw_picture("goal", caption, height, draw)


def draw_goals(
    axes: Axes, goals: Goals, scenarios: list[str], variant: str, offset: float, colour: str
) -> None:
    """Draws one variant's mean goals with their intervals, a row for each scenario."""
    rows = [row for row, name in enumerate(scenarios) if RunGroup(name, variant) in goals]
    values = [goals[RunGroup(scenarios[row], variant)] for row in rows]
    means = [float(goal.mean()) for goal in values]
    errors = [interval_half_width(goal) for goal in values]
    heights = [row + offset for row in rows]
    axes.errorbar(means, heights, xerr=errors, fmt="o", ms=4, capsize=2, color=colour, label=variant)


def pair_figure(differences: dict[str, Array], baseline: str, candidate: str) -> Picture:
    """Draws the differences of paired goals by scenario."""

    def draw(axes: Axes) -> None:
        rng = np.random.default_rng(1)
        for row, values in enumerate(differences.values()):
            heights = row + rng.uniform(-0.18, 0.18, len(values))
            error = interval_half_width(values)
            axes.plot(values, heights, "o", ms=3, alpha=0.6, color=COLOURS[0])
            axes.errorbar([values.mean()], [row], xerr=[error], fmt="D", ms=5, capsize=3, color=COLOURS[1])
        axes.axvline(0, color=COLOURS[7], lw=0.8)
        set_rows(axes, list(differences))
        axes.set_xlabel(f"goal of {candidate} less goal of {baseline}, the same seed")

    caption = (
        f"{candidate} against {baseline}: a dot for each seed, right of the line where {candidate} is "
        "better; the diamond is the mean with its 95% interval."
    )
    height = 1.3 + ROW_HEIGHT * max(2, len(differences))
    return draw_picture(f"pairs-{candidate}", caption, height, draw)


def loss_figure(losses: LossShares) -> Picture:
    """Draws the lost value of each scenario and variant, stacked by cause."""
    groups = sorted(losses)
    causes = {cause for by_cause in losses.values() for cause in by_cause}
    ordered_causes = sorted(causes, key=lambda cause: (cause == OTHER_CAUSES, cause))

    def draw(axes: Axes) -> None:
        left = np.zeros(len(groups))
        for cause, colour in zip(ordered_causes, COLOURS, strict=False):
            shares = np.array([100 * losses[group].get(cause, 0.0) for group in groups])
            axes.barh(range(len(groups)), shares, left=left, color=colour, label=cause, height=0.7)
            left += shares
        labels = [f"{group.scenario}: {group.variant}" for group in groups]
        axes.set_yticks(range(len(groups)), labels, fontsize=8)
        axes.invert_yaxis()
        axes.set_xlabel("share of the worth asked for that was lost, %")
        put_legend_beside(axes)

    caption = "Where the lost worth went, by cause and tier (0 is the first), mean over the seeds."
    return draw_picture("losses", caption, 1.3 + 0.3 * len(groups), draw)


def served_figure(series: ScenarioSeries) -> Picture:
    """Draws the share of the requested value that was served, by second of the day."""

    def draw(axes: Axes) -> None:
        for index, (variant, share) in enumerate(series.served.items()):
            colour = COLOURS[index % len(COLOURS)]
            axes.step(range(len(share)), 100 * share, where="post", color=colour, lw=1.1, label=variant)
        shade_faults(axes, series.faults)
        axes.set_ylim(0, 104)
        axes.set_xlabel(TIME_LABEL)
        axes.set_ylabel("worth served, %")
        put_legend_beside(axes)

    caption = (
        f"{series.scenario}: worth served in time, by the second in which it was asked for, mean over the "
        "seeds; grey are the first seed's faults (other seeds draw other times)."
    )
    return draw_picture(f"served-{series.scenario}", caption, TIME_HEIGHT, draw)


def latency_figure(scenarios: list[ScenarioSeries]) -> Picture:
    """Draws percentiles of latency by scenario and variant."""

    def draw(axes: Axes) -> None:
        variants = list(scenarios[0].latency)
        for index, variant in enumerate(variants):
            offset = row_offset(index, len(variants), 0.6)
            heights = [row + offset for row in range(len(scenarios))]
            colour = COLOURS[index % len(COLOURS)]
            for key, marker in PERCENTILE_MARKERS.items():
                values = [series.latency.get(variant, {}).get(key, np.nan) for series in scenarios]
                axes.plot(values, heights, marker, ms=5, color=colour, label=f"{variant} {key}", ls="")
        axes.set_xscale("log")
        set_rows(axes, [series.scenario for series in scenarios])
        axes.set_xlabel("latency of served requests, ms (logarithmic)")
        put_legend_beside(axes)

    caption = (
        "Latency at the client, over all tries, of the requests that were served: median, p90, p99, each the "
        "mean over the seeds."
    )
    return draw_picture("latency", caption, 1.5 + ROW_HEIGHT * 1.4 * len(scenarios), draw)


def limit_figure(series: ScenarioSeries) -> Picture | None:
    """Draws the limits of the first front nodes, where there are statistics."""
    if not series.stats:
        return None

    def draw(axes: Axes) -> None:
        limit_panel(axes, series.stats)
        shade_faults(axes, series.faults)
        axes.set_xlabel(TIME_LABEL)

    caption = (
        f"{series.scenario}, one seed: limit and calls in flight of the first front nodes, by their own "
        "statistics."
    )
    return draw_picture(f"limits-{series.scenario}", caption, TIME_HEIGHT, draw)


def sweep_figure(sweep: Sweep) -> Picture:
    """Draws the goals over the values of a key, a curve for each variant."""

    def draw(axes: Axes) -> None:
        for index, (variant, by_value) in enumerate(sweep.goals.items()):
            means = [float(goals.mean()) for goals in by_value.values()]
            errors = [interval_half_width(goals) for goals in by_value.values()]
            colour = COLOURS[index % len(COLOURS)]
            axes.errorbar(
                list(by_value), means, yerr=errors, fmt="o-", ms=4, capsize=2, color=colour, label=variant
            )
        values = sorted({value for by_value in sweep.goals.values() for value in by_value})
        if values[0] > 0 and values[-1] / values[0] >= MIN_LOGARITHMIC_RATIO:
            axes.set_xscale("log")
        axes.set_xlabel(sweep.key)
        axes.set_ylabel(GOAL_LABEL)
        put_legend_beside(axes)

    caption = f"Goal over {sweep.key}: means over the seeds, with their 95% intervals."
    return draw_picture("sweep", caption, 3.6, draw)
