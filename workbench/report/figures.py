"""Figures of an experiment's report, each a PNG image with a caption."""

from __future__ import annotations

import io
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np
from matplotlib import pyplot
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from workbench.report.plots import COLOURS, draw_limit_panel, shade_faults
from workbench.report.series import (
    OTHER_CAUSES,
    Array,
    ExperimentDimensions,
    Goals,
    LossShares,
    RunGroup,
    ScenarioSeries,
    Sweep,
)

FIGURE_WIDTH_INCHES = 9.5
ROW_HEIGHT_INCHES = 0.42
TIME_FIGURE_HEIGHT_INCHES = 2.8
GOAL_LABEL = "goal, 0 to 1"
TIME_LABEL = "time of the day, s"
# Quantile of the standard normal distribution for a two-sided 95% interval.
NORMAL_QUANTILE = 1.96
# An axis is logarithmic if its largest value is at least this many times its smallest.
MIN_LOGARITHMIC_RATIO = 20
PERCENTILE_MARKERS = {"p50": "o", "p90": "s", "p99": "^"}


@dataclass
class Picture:
    """A PNG and its caption."""

    name: str
    caption: str
    png: bytes


def draw_picture(name: str, caption: str, height: float, draw: Callable[[Axes], None]) -> Picture:
    """Return a picture with one set of axes.

    Args:
        name: Name of the picture.
        caption: Text below the picture.
        height: Height in inches.
        draw: Called with the axes to draw on.
    """
    figure, axes = pyplot.subplots(figsize=(FIGURE_WIDTH_INCHES, height), layout="constrained")
    draw(axes)
    axes.grid(alpha=0.25)
    return Picture(name, caption, render_png(figure))


def render_png(figure: Figure) -> bytes:
    """Render a figure as a PNG and close it."""
    png = io.BytesIO()
    figure.savefig(png, format="png", dpi=110)
    pyplot.close(figure)
    return png.getvalue()


def place_legend_outside(axes: Axes) -> None:
    """Put the legend to the right of the axes, where it covers no data."""
    axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))


def label_rows(axes: Axes, labels: list[str]) -> None:
    """Label the rows of the y axis, with the first label at the top."""
    axes.set_yticks(range(len(labels)), labels)
    axes.invert_yaxis()


def row_offset(index: int, count: int, spread: float) -> float:
    """Return the offset of one of several variants from the middle of its row.

    Args:
        index: Index of the variant.
        count: Number of variants.
        spread: Share of the row's height that the variants occupy together.
    """
    return (index - (count - 1) / 2) * spread / count


def interval_half_width(values: Array) -> float:
    """Return half the width of the mean's 95% interval, or 0 for fewer than two values."""
    if len(values) <= 1:
        return 0.0
    half_width: float = NORMAL_QUANTILE * float(values.std(ddof=1)) / len(values) ** 0.5
    return half_width


def draw_goal_figure(goals: Goals, dimensions: ExperimentDimensions) -> Picture:
    """Draw the mean goal of each variant by scenario."""
    scenarios, variants = dimensions.scenarios, dimensions.variants

    def draw(axes: Axes) -> None:
        for index, variant in enumerate(variants):
            offset = row_offset(index, len(variants), 0.7)
            draw_goals(axes, goals, scenarios, variant, offset, COLOURS[index % len(COLOURS)])
        label_rows(axes, scenarios)
        axes.set_xlabel(GOAL_LABEL)
        place_legend_outside(axes)

    caption = (
        "Goal by scenario: the mean over the seeds with its 95% interval. Days differ far more than variants "
        "do, so the next figure compares the variants on the same seeds."
    )
    height = 1.5 + ROW_HEIGHT_INCHES * len(scenarios) * max(1, len(variants) / 2)
    return draw_picture("goal", caption, height, draw)


def draw_goals(
    axes: Axes, goals: Goals, scenarios: list[str], variant: str, offset: float, colour: str
) -> None:
    """Draw one variant's mean goals with their 95% intervals, one row for each scenario."""
    rows = [row for row, name in enumerate(scenarios) if RunGroup(name, variant) in goals]
    values = [goals[RunGroup(scenarios[row], variant)] for row in rows]
    means = [float(goal.mean()) for goal in values]
    errors = [interval_half_width(goal) for goal in values]
    heights = [row + offset for row in rows]
    axes.errorbar(means, heights, xerr=errors, fmt="o", ms=4, capsize=2, color=colour, label=variant)


def draw_pair_figure(differences: dict[str, Array], baseline: str, candidate: str) -> Picture:
    """Draw the differences of the goals of paired runs by scenario."""

    def draw(axes: Axes) -> None:
        rng = np.random.default_rng(1)
        for row, values in enumerate(differences.values()):
            heights = row + rng.uniform(-0.18, 0.18, len(values))
            error = interval_half_width(values)
            axes.plot(values, heights, "o", ms=3, alpha=0.6, color=COLOURS[0])
            axes.errorbar([values.mean()], [row], xerr=[error], fmt="D", ms=5, capsize=3, color=COLOURS[1])
        axes.axvline(0, color=COLOURS[7], lw=0.8)
        label_rows(axes, list(differences))
        axes.set_xlabel(f"goal of {candidate} minus goal of {baseline}, same seed")

    caption = (
        f"{candidate} against {baseline}: each dot is a seed, to the right of the line if {candidate} is "
        "better; the diamond is the mean with its 95% interval."
    )
    height = 1.3 + ROW_HEIGHT_INCHES * max(2, len(differences))
    return draw_picture(f"pairs-{candidate}", caption, height, draw)


def draw_loss_figure(losses: LossShares) -> Picture:
    """Draw the lost value of each scenario and variant as bars stacked by cause."""
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
        axes.set_xlabel("lost share of the requested worth, %")
        place_legend_outside(axes)

    caption = "Lost worth by cause and tier (0 is the first tier), mean over the seeds."
    return draw_picture("losses", caption, 1.3 + 0.3 * len(groups), draw)


def draw_served_figure(series: ScenarioSeries) -> Picture:
    """Draw the share of the requested value that was served, by second of the day."""

    def draw(axes: Axes) -> None:
        for index, (variant, share) in enumerate(series.served.items()):
            colour = COLOURS[index % len(COLOURS)]
            axes.step(range(len(share)), 100 * share, where="post", color=colour, lw=1.1, label=variant)
        shade_faults(axes, series.faults)
        axes.set_ylim(0, 104)
        axes.set_xlabel(TIME_LABEL)
        axes.set_ylabel("worth served, %")
        place_legend_outside(axes)

    caption = (
        f"{series.scenario}: worth served in time by the second in which it was requested, mean over the "
        "seeds; grey areas are the faults of the first seed (other seeds draw other times)."
    )
    return draw_picture(f"served-{series.scenario}", caption, TIME_FIGURE_HEIGHT_INCHES, draw)


def draw_latency_figure(scenarios: list[ScenarioSeries]) -> Picture:
    """Draw percentiles of latency by scenario and variant."""

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
        label_rows(axes, [series.scenario for series in scenarios])
        axes.set_xlabel("latency of served requests, ms (logarithmic)")
        place_legend_outside(axes)

    caption = (
        "Latency of served requests at the client, over all its attempts: median, p90 and p99, each the mean "
        "over the seeds."
    )
    return draw_picture("latency", caption, 1.5 + ROW_HEIGHT_INCHES * 1.4 * len(scenarios), draw)


def draw_limit_figure(series: ScenarioSeries) -> Picture | None:
    """Draw the concurrency limits of the first front nodes; return None if the run has no statistics."""
    if not series.stats:
        return None

    def draw(axes: Axes) -> None:
        draw_limit_panel(axes, series.stats)
        shade_faults(axes, series.faults)
        axes.set_xlabel(TIME_LABEL)

    caption = (
        f"{series.scenario}, one seed: concurrency limit and calls in flight of the first front nodes, from "
        "their statistics."
    )
    return draw_picture(f"limits-{series.scenario}", caption, TIME_FIGURE_HEIGHT_INCHES, draw)


def draw_sweep_figure(sweep: Sweep) -> Picture:
    """Draw the mean goal over the values of a key, one curve for each variant."""

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
        place_legend_outside(axes)

    caption = f"Goal over {sweep.key}: means over the seeds with their 95% intervals."
    return draw_picture("sweep", caption, 3.6, draw)
