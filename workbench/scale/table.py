"""The capacity table as text for a terminal or as Markdown for the page."""

from __future__ import annotations

from collections.abc import Sequence
from math import isnan

from workbench.scale.rows import Capacity, Row
from workbench.scale.slopes import MIN_POINTS, Point, Quantity, Slope, Slopes

MILLION = 1e6
HEAD = ("who or what", "cost", "value", "95% interval", "unit", "budget", "of it", "carried by", "from")
SLOPE_HEAD = ("slope", "unit", "points (size: mean ± spread, runs)", "fit", "run", "commit, machine")


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


def number(value: float) -> str:
    """Three significant figures; thousands whole, up to a million."""
    if 1000 <= abs(value) < MILLION:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def value_cell(quantity: Quantity | None, mechanism_missing: bool) -> str:
    if quantity is None and mechanism_missing:
        return "missing"
    if quantity is None or not quantity.measured:
        return "not measured"
    text = ("over " if quantity.at_least else "") + number(quantity.value)
    return text + (" (estimate)" if quantity.estimate else "")


def interval_cell(quantity: Quantity | None) -> str:
    if quantity is None or isnan(quantity.low) or isnan(quantity.value) or quantity.low == quantity.high:
        return "-"
    return f"{number(quantity.low)} to {number(quantity.high)}"


def carrier_cell(row: Row) -> str:
    now = f"missing: {row.mechanism.name}" if row.missing else row.mechanism.name
    if row.wanted is None:
        return now
    missing = "" if row.wanted.built else ", missing"
    return f"{now}; wanted: {row.wanted.name}{missing}"


def source_cell(row: Row) -> str:
    if row.quantity is None or not row.quantity.measured:
        return row.note or "-"
    parts = [", ".join(sorted(row.quantity.sources))]
    parts += sorted(row.quantity.doubts)
    parts += [row.note] if row.note else []
    return "; ".join(parts)


def cells(row: Row) -> tuple[str, ...]:
    share = row.share
    return (
        row.subject.value,
        row.what,
        value_cell(row.quantity, row.missing),
        interval_cell(row.quantity),
        row.unit or "-",
        "-" if row.budget is None else number(row.budget),
        "-" if share is None else f"{100 * share:,.0f}%",
        carrier_cell(row),
        source_cell(row),
    )


def markdown(head: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    return [
        "| " + " | ".join(head) + " |",
        "| " + " | ".join("---" for _ in head) + " |",
        *("| " + " | ".join(row) + " |" for row in rows),
    ]


def plain(head: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Columns of even width; the last one runs on."""
    widths = [max(len(r[i]) for r in (head, *rows)) for i in range(len(head) - 1)]
    return [
        "  ".join([*(cell.ljust(width) for cell, width in zip(row, widths, strict=False)), row[-1]])
        for row in (head, *rows)
    ]


def conclusion(capacity: Capacity) -> list[str]:
    """What is farthest beyond its budget, what is missing, and on what most rests."""
    farthest = capacity.farthest()
    share = farthest.share or 0.0
    lines = [
        f"Farthest beyond its budget: {farthest.subject.value}, {farthest.what}:"
        f" {value_cell(farthest.quantity, False)} {farthest.unit} against {number(farthest.budget or 0.0)},"
        f" {share:,.1f} times ({farthest.note or farthest.mechanism.name}).",
        "Rows that rest on each missing mechanism, directly or through another:",
    ]
    ranked = sorted(capacity.resting().items(), key=lambda item: (-item[1], item[0].name))
    lines += [f"- {mechanism.name}: {count} of {len(capacity.costs)}" for mechanism, count in ranked]
    return lines


def sections(capacity: Capacity, slopes: Slopes) -> dict[str, str]:
    """The page's generated parts, by the names of their markers."""
    return {
        "roles": joined(markdown(HEAD, [cells(r) for r in capacity.roles])),
        "events": joined(markdown(HEAD, [cells(r) for r in capacity.events])),
        "first": joined(conclusion(capacity)),
        "latency": latency_table(slopes),
        "slopes": slopes_table(slopes),
    }


def joined(lines: Sequence[str]) -> str:
    return "\n".join(lines) + "\n"


def report(capacity: Capacity, form: str) -> str:
    """The whole table. `form`: text or markdown."""
    draw = markdown if form == "markdown" else plain
    lines: list[str] = []
    for title, rows in (("By role", capacity.roles), ("By event", capacity.events)):
        lines += [f"### {title}" if form == "markdown" else title.upper(), ""]
        lines += [*draw(HEAD, [cells(r) for r in rows]), ""]
    lines += ["### What comes first" if form == "markdown" else "WHAT COMES FIRST", "", *conclusion(capacity)]
    return joined(lines)


def latency_table(slopes: Slopes) -> str:
    """Added time by rate of calls: mean and spread of the rounds that count, in microseconds."""
    found = {name: slopes.by_name.get(f"latency.{name}") for name in LATENCY_COLUMNS}
    rates = sorted({point.size for slope in found.values() if slope for point in slope.points})
    head = ("calls a second", "rounds", *LATENCY_COLUMNS.values())
    rows = []
    for rate in rates:
        points = [next((p for p in s.points if p.size == rate), None) if s else None for s in found.values()]
        runs = max((p.runs for p in points if p), default=0)
        rows.append((f"{rate:g}", str(runs), *(spread_cell(p) for p in points)))
    return joined(markdown(head, rows))


def spread_cell(point: Point | None) -> str:
    if point is None:
        return "-"
    return number(point.value) + (f" ± {number(point.spread)}" if point.runs > 1 else "")


def point_cell(slope: Slope) -> str:
    parts = []
    for point in slope.points:
        over = "over " if point.lower_bound else ""
        runs = f"± {number(point.spread)}, {point.runs}" if point.runs > 1 else "1"
        parts.append(f"{point.size:g}: {over}{number(point.value)} ({runs})")
    return "; ".join(parts)


def slope_cells(slope: Slope) -> tuple[str, ...]:
    few = f", {len(slope.points)} points" if len(slope.points) < MIN_POINTS else ""
    seeds = f", seeds {', '.join(map(str, slope.seeds))}" if slope.seeds else ""
    origin = f"{slope.commit}, {slope.machine}" + (f"; {slope.note}" if slope.note else "")
    return (
        f"`{slope.name}`: {slope.what}",
        slope.unit,
        point_cell(slope),
        f"{slope.fit} in {slope.per}{few}",
        f"`{slope.run}`{seeds}",
        origin,
    )


def slopes_table(slopes: Slopes) -> str:
    """All slopes, as Markdown."""
    rows = [slope_cells(s) for _, s in sorted(slopes.by_name.items())]
    return joined(markdown(SLOPE_HEAD, rows))
