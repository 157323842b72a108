"""Formatting of the capacity table as text for a terminal or as Markdown for the page."""

from __future__ import annotations

from collections.abc import Sequence
from math import isnan

from workbench.scale.rows import Capacity, Row
from workbench.scale.slopes import MIN_FIT_POINTS, Point, Quantity, Slope, Slopes

MILLION = 1e6
HEADERS = ("who or what", "cost", "value", "95% interval", "unit", "budget", "of it", "carried by", "from")
SLOPE_HEADERS = ("slope", "unit", "points (size: mean ± spread, runs)", "fit", "run", "commit, machine")


LATENCY_COLUMNS = {
    "added_p50_us": "added, median",
    "added_p99_us": "added, 99 in 100",
    "to_server_p50_us": "to the server, median",
    "to_server_p99_us": "to the server, 99 in 100",
    "to_client_p50_us": "to the client, median",
    "to_client_p99_us": "to the client, 99 in 100",
    "hop_p99888_us": "99.888 in 100",
    "chain_p50_us": "nine hops, median",
    "chain_p99_us": "nine hops, 99 in 100",
    "node_cpu_us_a_call": "processor time a call",
    "node_run_queue_us_a_call": "wait for a core a call",
}


def format_number(value: float) -> str:
    """Format with three significant figures, or as a whole number from 1,000 up to a million."""
    if 1000 <= abs(value) < MILLION:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def value_cell(quantity: Quantity | None, mechanism_missing: bool) -> str:
    """Format a value, or say why there is none."""
    if quantity is None and mechanism_missing:
        return "missing"
    if quantity is None or not quantity.is_measured:
        return "not measured"
    text = ("over " if quantity.is_lower_bound else "") + format_number(quantity.value)
    return text + (" (estimate)" if quantity.is_estimate else "")


def interval_cell(quantity: Quantity | None) -> str:
    """Format the 95% interval of a quantity."""
    if quantity is None or isnan(quantity.low) or isnan(quantity.value) or quantity.low == quantity.high:
        return "-"
    return f"{format_number(quantity.low)} to {format_number(quantity.high)}"


def mechanism_cell(row: Row) -> str:
    """Name the mechanism that bears the cost now, and the preferred one."""
    now = f"missing: {row.mechanism.name}" if row.is_missing else row.mechanism.name
    if row.preferred_mechanism is None:
        return now
    missing = "" if row.preferred_mechanism.is_built else ", missing"
    return f"{now}; wanted: {row.preferred_mechanism.name}{missing}"


def source_cell(row: Row) -> str:
    """Name the sources of a value, why it is an estimate, and the note."""
    if row.quantity is None or not row.quantity.is_measured:
        return row.note or "-"
    parts = [", ".join(sorted(row.quantity.sources))]
    parts += sorted(row.quantity.estimate_reasons)
    parts += [row.note] if row.note else []
    return "; ".join(parts)


def row_cells(row: Row) -> tuple[str, ...]:
    """Format all columns of a row."""
    share = row.budget_share
    return (
        row.subject.value,
        row.cost,
        value_cell(row.quantity, row.is_missing),
        interval_cell(row.quantity),
        row.unit or "-",
        "-" if row.budget is None else format_number(row.budget),
        "-" if share is None else f"{100 * share:,.0f}%",
        mechanism_cell(row),
        source_cell(row),
    )


def markdown_table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Format a Markdown table as lines."""
    return [
        "| " + " | ".join(headers) + " |",
        "| " + " | ".join("---" for _ in headers) + " |",
        *("| " + " | ".join(row) + " |" for row in rows),
    ]


def text_table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Format a text table as lines, with all columns but the last padded to equal width."""
    widths = [max(len(r[i]) for r in (headers, *rows)) for i in range(len(headers) - 1)]
    return [
        "  ".join([*(cell.ljust(width) for cell, width in zip(row, widths, strict=False)), row[-1]])
        for row in (headers, *rows)
    ]


def conclusion_lines(capacity: Capacity) -> list[str]:
    """Return lines on the most exceeded budget and the missing mechanisms with the most dependent rows."""
    row = capacity.most_exceeded()
    share = row.budget_share or 0.0
    lines = [
        f"Farthest beyond its budget: {row.subject.value}, {row.cost}:"
        f" {value_cell(row.quantity, False)} {row.unit} against {format_number(row.budget or 0.0)},"
        f" {share:,.1f} times ({row.note or row.mechanism.name}).",
        "Rows that rest on each missing mechanism, directly or through another:",
    ]
    ranked = sorted(
        capacity.row_counts_by_missing_mechanism().items(), key=lambda item: (-item[1], item[0].name)
    )
    lines += [f"- {mechanism.name}: {count} of {len(capacity.distinct_costs)}" for mechanism, count in ranked]
    return lines


def sections(capacity: Capacity, slopes: Slopes) -> dict[str, str]:
    """Return the generated parts of the page by the names of their markers."""
    return {
        "roles": join_lines(markdown_table(HEADERS, [row_cells(r) for r in capacity.roles])),
        "events": join_lines(markdown_table(HEADERS, [row_cells(r) for r in capacity.events])),
        "first": join_lines(conclusion_lines(capacity)),
        "latency": latency_table(slopes),
        "slopes": slopes_table(slopes),
    }


def join_lines(lines: Sequence[str]) -> str:
    """Join lines, with a newline at the end."""
    return "\n".join(lines) + "\n"


def report(capacity: Capacity, output_format: str) -> str:
    """Format the whole table; `output_format` is text or markdown."""
    render = markdown_table if output_format == "markdown" else text_table
    lines: list[str] = []
    for title, rows in (("By role", capacity.roles), ("By event", capacity.events)):
        lines += [f"### {title}" if output_format == "markdown" else title.upper(), ""]
        lines += [*render(HEADERS, [row_cells(r) for r in rows]), ""]
    lines += [
        "### What comes first" if output_format == "markdown" else "WHAT COMES FIRST",
        "",
        *conclusion_lines(capacity),
    ]
    return join_lines(lines)


def latency_table(slopes: Slopes) -> str:
    """Format the latency added at each rate: mean and spread of the runs that count, in microseconds."""
    found = {name: slopes.by_name.get(f"latency.{name}") for name in LATENCY_COLUMNS}
    rates = sorted({point.size for slope in found.values() if slope for point in slope.points})
    headers = ("calls a second", "rounds", *LATENCY_COLUMNS.values())
    rows = []
    for rate in rates:
        points = [next((p for p in s.points if p.size == rate), None) if s else None for s in found.values()]
        runs = max((p.runs for p in points if p), default=0)
        rows.append((f"{rate:g}", str(runs), *(spread_cell(p) for p in points)))
    return join_lines(markdown_table(headers, rows))


def spread_cell(point: Point | None) -> str:
    """Format the mean and the spread of a point."""
    if point is None:
        return "-"
    return format_number(point.value) + (f" ± {format_number(point.spread)}" if point.runs > 1 else "")


def point_cell(slope: Slope) -> str:
    """Format all points of a slope."""
    parts = []
    for point in slope.points:
        lower_bound_prefix = "over " if point.lower_bound else ""
        runs = f"± {format_number(point.spread)}, {point.runs}" if point.runs > 1 else "1"
        parts.append(f"{point.size:g}: {lower_bound_prefix}{format_number(point.value)} ({runs})")
    return "; ".join(parts)


def slope_cells(slope: Slope) -> tuple[str, ...]:
    """Format all columns of a slope."""
    point_count_note = f", {len(slope.points)} points" if len(slope.points) < MIN_FIT_POINTS else ""
    seeds = f", seeds {', '.join(map(str, slope.seeds))}" if slope.seeds else ""
    origin = f"{slope.commit}, {slope.machine}" + (f"; {slope.note}" if slope.note else "")
    return (
        f"`{slope.name}`: {slope.what}",
        slope.unit,
        point_cell(slope),
        f"{slope.fit} in {slope.per}{point_count_note}",
        f"`{slope.run}`{seeds}",
        origin,
    )


def slopes_table(slopes: Slopes) -> str:
    """Format all slopes as Markdown, sorted by name."""
    rows = [slope_cells(s) for _, s in sorted(slopes.by_name.items())]
    return join_lines(markdown_table(SLOPE_HEADERS, rows))
