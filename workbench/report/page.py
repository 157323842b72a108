"""Report of an experiment: a self-contained HTML page, and its data as CSV and JSON."""

from __future__ import annotations

import base64
import csv
import io
import json
from html import escape
from pathlib import Path
from typing import Any

import msgspec

from workbench.experiment.compare import Comparison, Result, compare
from workbench.experiment.store import Row, Store
from workbench.files import replace_files
from workbench.report import figures, series

# Maximum number of full results that are read for each scenario and variant.
MAX_RESULTS = 40
# Maximum number of listed runs that failed or broke a rule.
MAX_PROBLEMS = 50
COMPARISON_KEYS = ("scenario", "difference", "low", "high", "p", "pairs", "ups", "downs", "verdict")
COMPARISON_HEADINGS = ("scenario", "difference", "95% interval", "p", "pairs", "up, down", "verdict")
STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em; color: #111 }
table { border-collapse: collapse; margin: 1em 0; font-size: 13px }
td, th { padding: .25em .7em; text-align: left; border-bottom: 1px solid #ddd; font-variant-numeric:
tabular-nums } figure { margin: 1.5em 0; break-inside: avoid } img { max-width: 100% }
figcaption, .how { color: #444; font-size: 13px } .better { color: #00613f } .worse { color: #a03000 }
code { font-size: 12px; overflow-wrap: anywhere }
"""


def build_report(store: Store, command: str, against: str = "") -> dict[str, bytes]:
    """Return the files of a report by name: `index.html`, `comparisons.csv`, `runs.csv`, `report.json`.

    Args:
        store: The store of the experiment.
        command: Command that makes the report again; it is shown on the page.
        against: The baseline variant; by default the one that `series.experiment_dimensions` selects.

    Raises:
        StoreError: The store cannot be read.
    """
    rows = store.rows()
    dimensions = series.experiment_dimensions(rows, against)
    baseline, *candidates = dimensions.variants
    comparisons = [compare(rows, baseline, candidate) for candidate in candidates]
    pictures = draw_pictures(store, rows, dimensions)
    lines = [line for comparison in comparisons for line in comparison_lines(comparison)]
    runs = [run_line(row) for row in rows]
    numbers = {"comparisons": msgspec.to_builtins(comparisons), "runs": runs}
    return {
        "index.html": html_page(store.path.stem, rows, comparisons, pictures, command).encode(),
        "comparisons.csv": csv_table(lines),
        "runs.csv": csv_table(runs),
        "report.json": json.dumps(numbers, indent=1).encode(),
    }


def comparison_lines(comparison: Comparison) -> list[dict[str, Any]]:
    """Return the rows of `comparisons.csv` for one comparison."""
    return [
        {
            "a": comparison.baseline,
            "b": comparison.candidate,
            **{key: result[key] for key in COMPARISON_KEYS},
        }
        for result in msgspec.to_builtins(comparison.results())
    ]


def run_line(row: Row) -> dict[str, Any]:
    """Return the row of `runs.csv` for one run."""
    return {
        "scenario": row.scenario,
        "variant": row.variant,
        "seed": row.seed,
        "goal": row.goal,
        "broken": row.rule_violations,
        "error": error_lines(row) or "",
    }


def error_lines(row: Row) -> list[str]:
    """Return a list with the last line of a run's error, empty if the run has no error."""
    return (row.error or "").strip().splitlines()[-1:]


def draw_pictures(
    store: Store, rows: list[Row], dimensions: series.ExperimentDimensions
) -> list[figures.Picture]:
    """Return all pictures of a report, in the order of the page."""
    pictures = []
    sweep = series.find_sweep(rows)
    if sweep is not None:
        pictures.append(figures.draw_sweep_figure(sweep))
    pictures.append(figures.draw_goal_figure(series.goals_by_group(rows), dimensions))
    pictures += pair_pictures(rows, dimensions)
    losses = series.mean_loss_shares(rows)
    if losses:
        pictures.append(figures.draw_loss_figure(losses))
    pictures += scenario_pictures(store, rows, dimensions.scenarios)
    return pictures


def pair_pictures(rows: list[Row], dimensions: series.ExperimentDimensions) -> list[figures.Picture]:
    """Return one picture for each candidate, of its paired differences from the baseline."""
    baseline, *candidates = dimensions.variants
    pictures = []
    for candidate in candidates:
        differences = series.paired_differences(rows, dimensions.scenarios, baseline, candidate)
        if differences:
            pictures.append(figures.draw_pair_figure(differences, baseline, candidate))
    return pictures


def scenario_pictures(store: Store, rows: list[Row], scenarios: list[str]) -> list[figures.Picture]:
    """Return the pictures that need full results: latency, and served value and limits by scenario."""
    all_series = [series.scenario_series(store, rows, scenario, MAX_RESULTS) for scenario in scenarios]
    completed = [scenario for scenario in all_series if scenario.served]
    if not completed:
        return []
    pictures = [figures.draw_latency_figure(completed)]
    for scenario in completed:
        pictures.append(figures.draw_served_figure(scenario))
        limits = figures.draw_limit_figure(scenario)
        if limits is not None:
            pictures.append(limits)
    return pictures


def csv_table(lines: list[dict[str, Any]]) -> bytes:
    """Return lines as CSV, with their keys as the header."""
    text = io.StringIO()
    if lines:
        writer = csv.DictWriter(text, list(lines[0]), lineterminator="\n")
        writer.writeheader()
        writer.writerows(lines)
    return text.getvalue().encode()


def html_page(
    name: str, rows: list[Row], comparisons: list[Comparison], pictures: list[figures.Picture], command: str
) -> str:
    """Return the whole page.

    Args:
        name: Name of the experiment, used as the title.
        rows: Runs of the experiment.
        comparisons: Comparisons of each candidate with the baseline.
        pictures: Pictures in the order of the page.
        command: Command that makes the page again.
    """
    failed = [row for row in rows if row.error is not None]
    broken = [row for row in rows if row.rule_violations]
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{escape(name)}</title>",
        f"<style>{STYLE}</style>",
        f"<h1>{escape(name)}</h1><p>{len(rows)} runs, {len(failed)} failed; {len(broken)} broke a rule.</p>",
        f"<p class=how>Made by <code>{escape(command)}</code>; docs/experiments.md describes the rule for "
        "verdicts.</p>",
    ]
    parts += [html_comparison(comparison) for comparison in comparisons]
    parts += [html_picture(picture, command) for picture in pictures]
    if failed or broken:
        parts += html_problems(failed + broken)
    return "\n".join(parts) + "</html>\n"


def html_picture(picture: figures.Picture, command: str) -> str:
    """Return the HTML of a picture and its caption, with the image embedded."""
    caption = escape(picture.caption)
    data = base64.b64encode(picture.png).decode()
    return (
        f'<figure><img alt="{caption}" src="data:image/png;base64,{data}">'
        f"<figcaption>{caption} Made again by <code>{escape(command)}</code>.</figcaption></figure>"
    )


def html_problems(rows: list[Row]) -> list[str]:
    """Return the list of runs that failed or broke rules, each with the command that replays it."""
    parts = ["<h2>Failed runs and broken rules</h2><ul>"]
    for row in rows[:MAX_PROBLEMS]:
        problem = (error_lines(row) or [f"{row.rule_violations} broken rules"])[0]
        parts.append(f"<li>{escape(problem)}: <code>{escape(row.task.command())}</code></li>")
    parts.append("</ul>")
    return parts


def html_comparison(comparison: Comparison) -> str:
    """Return the heading and the table of a comparison."""
    heading = f"<h2>{escape(comparison.candidate)} against {escape(comparison.baseline)}</h2>"
    head = "".join(f"<th>{text}" for text in COMPARISON_HEADINGS)
    body = "".join(html_result(result) for result in comparison.results())
    return f"{heading}<table><tr>{head}</tr>{body}</table>"


def html_result(result: Result) -> str:
    """Return one row of a comparison's table."""
    return (
        f"<tr><td>{escape(result.scenario)}<td>{result.difference:+.4f}"
        f"<td>{result.low:+.4f} to {result.high:+.4f}"
        f"<td>{result.p_value:.3f}<td>{result.pairs}<td>{result.increases}, {result.decreases}"
        f'<td class="{result.verdict.split()[0]}">{result.verdict}</tr>'
    )


def write_report(files: dict[str, bytes], folder: Path) -> None:
    """Write the files of a report, each completely or not at all.

    Args:
        files: Contents by file name.
        folder: Target folder; created if it does not exist.

    Raises:
        OSError: A file cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    replace_files({folder / name: data for name, data in files.items()})
