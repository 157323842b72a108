"""The results of a run as rows: one quantity each, at one size, with the run it comes from."""

from __future__ import annotations

from collections.abc import Iterator
from statistics import median

import msgspec
import numpy as np
from msgspec import Struct
from rich.table import Table

from workbench.scale.messages import Window
from workbench.scale.meter import COMPONENTS, LOOP, RUNTIME, SOCKET
from workbench.scale.verdict import Findings

# Quantities of the calm phase have no prefix.
CALM_PREFIX = ""
JOIN_PREFIX = "join."
FAULT_PREFIX = "fault."
SIMULATED_PREFIX = "simulated."
CPU_COMPONENTS = (*COMPONENTS, RUNTIME, SOCKET, LOOP)
CPU_UNIT = "us/member/s"


class RunInfo(Struct, frozen=True):
    """The run that a figure comes from."""

    command: str
    seed: int
    commit: str
    cores: int


class Row(Struct, kw_only=True):
    """One figure as it is stored.

    `value` is a mean or median, over the workers for costs and over the members for times; `spread` is the
    least and the greatest of them. `counted` is false if the machine was the limit.
    """

    quantity: str
    unit: str
    size: int
    value: float
    spread: tuple[float, float] | None = None
    run: RunInfo
    counted: bool = True


class Phase(Struct):
    """One phase of a run.

    `windows` has one window for each worker with members, `idle` is that of the worker without, and `members`
    is the number of members that ran in each worker.
    """

    prefix: str
    windows: list[Window]
    idle: Window
    members: list[int]


class Figure(Struct):
    """A row without the run it comes from."""

    quantity: str
    unit: str
    value: float
    spread: tuple[float, float] | None = None


def phase_figures(phase: Phase, period_s: float) -> Iterator[Figure]:
    """Yield the mean cost of a member in a phase, without that of an idle worker."""

    def rate(quantity: str, unit: str, amounts: list[float], per_s: float = 1.0) -> Figure:
        """Return the mean of `amounts`, one for each worker, for a member and `per_s` seconds."""
        shares = [
            amount / members / window.seconds * per_s
            for amount, members, window in zip(amounts, phase.members, phase.windows, strict=True)
            if members and window.seconds > 0
        ]
        mean_s = sum(w.seconds for w in phase.windows) / len(phase.windows)
        value = sum(amounts) / sum(phase.members) / mean_s * per_s
        return Figure(phase.prefix + quantity, unit, value, (min(shares), max(shares)))

    windows, idle = phase.windows, phase.idle
    idle_ns = sum(idle.nanoseconds.values())
    yield rate("cpu", CPU_UNIT, [(w.cpu_s - idle.cpu_s) * 1e6 for w in windows])
    for name in CPU_COMPONENTS:
        baseline = idle_ns if name == LOOP else 0
        spent = [(w.nanoseconds.get(name, 0) - baseline) / 1e3 for w in windows]
        yield rate(f"cpu.{name}", CPU_UNIT, spent)
    yield rate("datagrams_out", "1/member/s", [w.traffic.datagrams_out for w in windows])
    yield rate("datagrams_in", "1/member/s", [w.traffic.datagrams_in for w in windows])
    yield rate("bytes_out", "B/member/s", [w.traffic.bytes_out for w in windows])
    yield rate("bytes_in", "B/member/s", [w.traffic.bytes_in for w in windows])
    for name in COMPONENTS:
        calls: list[float] = [w.calls.get(name, 0) for w in windows]
        yield rate(f"calls.{name}", "1/member/period", calls, period_s)
    yield memory_figure(phase)
    late = [w.lateness_p99_ms for w in windows]
    yield Figure(phase.prefix + "worker.lateness_p99", "ms", max(late), (min(late), max(late)))
    busy = [w.cpu_s / w.seconds for w in windows]
    yield Figure(phase.prefix + "worker.cpu", "cores", max(busy), (min(busy), max(busy)))


def memory_figure(phase: Phase) -> Figure:
    """Return the resident bytes of a member: those of the workers beyond the idle worker's."""
    extra = [w.resident_bytes - phase.idle.resident_bytes for w in phase.windows]
    shares = [e / m for e, m in zip(extra, phase.members, strict=True) if m]
    return Figure(
        phase.prefix + "memory", "B/member", sum(extra) / sum(phase.members), (min(shares), max(shares))
    )


def time_figures(findings: Findings, joined: bool) -> Iterator[Figure]:
    """Yield the times until members joined, learnt of each death, and agreed again after a partition.

    Args:
        findings: The times that the run has recorded.
        joined: Whether the members discovered one another, and did not start with the whole group.
    """
    if joined and findings.joined_s and len(findings.joined_s) >= findings.join_expected:
        yield from time_range_figures("join", findings.joined_s)
    known = [d for d in findings.deaths if d.known_s and len(d.known_s) >= d.expected]
    if known and len(known) == len(findings.deaths):
        yield from time_range_figures("death", [t for d in known for t in d.known_s])
    if findings.healed_s:
        yield from time_range_figures("heal", findings.healed_s)


def time_range_figures(name: str, times: list[float]) -> Iterator[Figure]:
    """Yield the greatest and the median of some times."""
    spread = min(times), max(times)
    yield Figure(f"{name}.all", "s", max(times), spread)
    yield Figure(f"{name}.median", "s", median(times), spread)


def growth_exponent(by_size: dict[int, float]) -> float:
    """Return the exponent of a quantity's growth with the group's size: 0 if constant, 1 if proportional."""
    sizes = np.log(list(by_size))
    return float(np.polyfit(sizes, np.log(list(by_size.values())), 1)[0])


def build_rows(figures: list[Figure], size: int, run: RunInfo, counted: bool) -> list[Row]:
    """Add the size and the run to figures."""
    return [
        Row(
            quantity=figure.quantity,
            unit=figure.unit,
            size=size,
            value=figure.value,
            spread=figure.spread,
            run=run,
            counted=counted,
        )
        for figure in figures
    ]


def format_table(found: list[Row]) -> Table:
    """Format rows as a table for the terminal, with simulated values beside measured ones."""
    simulated = {
        r.quantity.removeprefix(SIMULATED_PREFIX): r for r in found if r.quantity.startswith(SIMULATED_PREFIX)
    }
    out = Table("quantity", "unit")
    for column in ("value", "least", "greatest", *(("simulated", "difference") if simulated else ())):
        out.add_column(column, justify="right")
    for row in found:
        if row.quantity.startswith(SIMULATED_PREFIX):
            continue
        low, high = (format_value(v) for v in row.spread) if row.spread else ("", "")
        cells = [row.quantity, row.unit, format_value(row.value), low, high]
        other = simulated.get(row.quantity)
        if other is not None:
            difference = f"{row.value / other.value - 1:+.1%}" if other.value else ""
            cells += [format_value(other.value), difference]
        out.add_row(*cells)
    return out


def format_value(value: float) -> str:
    """Format a value with three significant figures, or as a whole number from 1,000 on."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def encode_rows(found: list[Row]) -> bytes:
    """Encode rows as a JSON list with one row a line."""
    return b"[\n" + b",\n".join(msgspec.json.encode(r) for r in found) + b"\n]\n"
