"""An experiment's report: one HTML page that opens without a network, with its numbers as CSV and JSON
beside it."""

from __future__ import annotations

import base64
import csv
import io
import json
from html import escape
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from workbench.experiment.compare import Comparison, compare
from workbench.experiment.store import Row, Store
from workbench.files import replace_files
from workbench.report import figures, series

MOST_DAYS = 40  # whole results of a scenario and variant that go into its curves
STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em; color: #111 }
table { border-collapse: collapse; margin: 1em 0; font-size: 13px }
td, th { padding: .25em .7em; text-align: left; border-bottom: 1px solid #ddd; font-variant-numeric:
tabular-nums } figure { margin: 1.5em 0; break-inside: avoid } img { max-width: 100% }
figcaption, .how { color: #444; font-size: 13px } .better { color: #00613f } .worse { color: #a03000 }
code { font-size: 12px; overflow-wrap: anywhere }
"""


def report(store: Store, command: str, against: str = "") -> dict[str, bytes]:
    """The files of a report, by name: `index.html`, `comparisons.csv`, `runs.csv`, `report.json`."""
    rows = store.rows()
    scenarios, variants = series.names(rows, against)
    found = [compare(rows, variants[0], b) for b in variants[1:]]
    pictures = draw(store, rows, scenarios, variants)
    lines = [line for f in found for line in figures.table_rows(f)]
    runs = [
        {"scenario": r.scenario, "variant": r.variant, "seed": r.seed, "goal": r.goal,
         "broken": r.rule_violations, "error": (r.error or "").strip().splitlines()[-1:] or ""}
        for r in rows
    ]  # fmt: skip
    numbers = {"comparisons": msgspec.to_builtins(found), "runs": runs}
    return {
        "index.html": page(store.path.stem, rows, found, pictures, command).encode(),
        "comparisons.csv": table(lines),
        "runs.csv": table(runs),
        "report.json": json.dumps(numbers, indent=1).encode(),
    }


def draw(store: Store, rows: list[Row], scenarios: list[str], variants: list[str]) -> list[figures.Picture]:
    goals = series.goals(rows)
    pictures = []
    curves = series.sweep(rows)
    if curves is not None:
        pictures.append(figures.sweep_figure(*curves))
    pictures.append(figures.goal_figure(goals, scenarios, variants))
    first = variants[0]
    by_seed = {(r.scenario, r.variant, r.seed): r.goal for r in rows if r.goal is not None}
    for b in variants[1:]:
        pairs = {}
        for s in scenarios:
            seeds = sorted(seed for (name, v, seed) in by_seed if name == s and v == b)
            both = [seed for seed in seeds if (s, first, seed) in by_seed]
            if both:
                pairs[s] = np.array([by_seed[s, b, seed] - by_seed[s, first, seed] for seed in both])
        if pairs:
            pictures.append(figures.pair_figure(pairs, first, b))
    lost = series.losses(rows)
    if lost:
        pictures.append(figures.loss_figure(lost))
    days = [series.Days(store, rows, s, MOST_DAYS) for s in scenarios]
    days = [d for d in days if d.served]
    if days:
        pictures.append(figures.latency_figure(days))
    for d in days:
        pictures.append(figures.served_figure(d))
        limits = figures.limit_figure(d)
        pictures += [limits] if limits else []
    return pictures


def table(rows: list[dict[str, Any]]) -> bytes:
    out = io.StringIO()
    if rows:
        writer = csv.DictWriter(out, list(rows[0]), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)
    return out.getvalue().encode()


def page(
    name: str, rows: list[Row], found: list[Comparison], pictures: list[figures.Picture], command: str
) -> str:
    failed = [r for r in rows if r.error is not None]
    broken = [r for r in rows if r.rule_violations]
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{escape(name)}</title>",
        f"<style>{STYLE}</style>",
        f"<h1>{escape(name)}</h1><p>{len(rows)} runs, {len(failed)} failed; {len(broken)} broke a rule.</p>",
        f"<p class=how>Made by <code>{escape(command)}</code>; the rule of the verdicts stands in "
        "docs/experiments.md.</p>",
    ]
    for f in found:
        parts.append(f"<h2>{escape(f.candidate)} against {escape(f.baseline)}</h2>{comparison(f)}")
    for p in pictures:
        data = base64.b64encode(p.png).decode()
        parts.append(
            f'<figure><img alt="{escape(p.caption)}" src="data:image/png;base64,{data}">'
            f"<figcaption>{escape(p.caption)} Made again by "
            f"<code>{escape(command)}</code>.</figcaption></figure>"
        )
    if failed or broken:
        parts.append("<h2>Failed runs and broken rules</h2><ul>")
        for r in (failed + broken)[:50]:
            what = (r.error or "").strip().splitlines()[-1:] or [f"{r.rule_violations} broken rules"]
            parts.append(f"<li>{escape(what[0])}: <code>{escape(r.task.command())}</code></li>")
        parts.append("</ul>")
    return "\n".join(parts) + "</html>\n"


def comparison(found: Comparison) -> str:
    head = "<tr><th>scenario<th>difference<th>95% interval<th>p<th>pairs<th>up, down<th>verdict</tr>"
    body = "".join(
        f"<tr><td>{escape(e.scenario)}<td>{e.difference:+.4f}<td>{e.low:+.4f} to {e.high:+.4f}"
        f"<td>{e.p_value:.3f}<td>{e.pairs}<td>{e.increases}, {e.decreases}"
        f'<td class="{e.verdict.split()[0]}">{e.verdict}</tr>'
        for e in found.results()
    )
    return f"<table>{head}{body}</table>"


def write(files: dict[str, bytes], folder: Path) -> None:
    """All files, each whole or not at all. OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    replace_files({folder / name: data for name, data in files.items()})
