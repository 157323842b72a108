"""The figures of a run as rows: one quantity each, at one size, with the run that gave it."""

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

CALM = ""  # the calm's quantities have no prefix
JOIN = "join."
FAULT = "fault."
SIMULATED = "simulated."
CPU_COMPONENTS = (*COMPONENTS, RUNTIME, SOCKET, LOOP)
CPU_UNIT = "us/member/s"


class RunInfo(Struct, frozen=True):
    """Where a figure comes from."""

    command: str
    seed: int
    commit: str
    cores: int


class Row(Struct, kw_only=True):
    """One figure. `spread`: the least and the greatest of what `value` is the mean or median of, over the
    workers for costs and over the members for times."""

    quantity: str
    unit: str
    size: int
    value: float
    spread: tuple[float, float] | None = None
    run: RunInfo
    counted: bool = True


class Phase(Struct):
    """One stretch of a run: a window of each worker with members, of the idle one, and who ran in each."""

    prefix: str
    windows: list[Window]
    idle: Window
    members: list[int]  # by worker


class Figure(Struct):
    """A row before its run is known."""

    quantity: str
    unit: str
    value: float
    spread: tuple[float, float] | None = None


def phase_figures(phase: Phase, period_s: float) -> Iterator[Figure]:
    """What a member spent in a phase."""

    def rate(quantity: str, unit: str, amounts: list[float], per_s: float = 1.0) -> Figure:
        """`amounts` by worker, a member and `per_s` seconds."""
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
    yield memory(phase)
    late = [w.lateness_p99_ms for w in windows]
    yield Figure(phase.prefix + "worker.lateness_p99", "ms", max(late), (min(late), max(late)))
    busy = [w.cpu_s / w.seconds for w in windows]
    yield Figure(phase.prefix + "worker.cpu", "cores", max(busy), (min(busy), max(busy)))


def memory(phase: Phase) -> Figure:
    """Resident bytes of the workers beyond those of the idle one, by member."""
    extra = [w.resident_bytes - phase.idle.resident_bytes for w in phase.windows]
    shares = [e / m for e, m in zip(extra, phase.members, strict=True) if m]
    return Figure(
        phase.prefix + "memory", "B/member", sum(extra) / sum(phase.members), (min(shares), max(shares))
    )


def time_figures(findings: Findings, joined: bool) -> Iterator[Figure]:
    """When the members had joined, knew of each end, and agreed again after a cut. `joined`: they found one
    another, and did not begin with the whole group."""
    if joined and findings.joined_s and len(findings.joined_s) >= findings.join_expected:
        yield from spread_times("join", findings.joined_s)
    known = [d for d in findings.deaths if d.known_s and len(d.known_s) >= d.expected]
    if known and len(known) == len(findings.deaths):
        yield from spread_times("death", [t for d in known for t in d.known_s])
    if findings.healed_s:
        yield from spread_times("heal", findings.healed_s)


def spread_times(name: str, times: list[float]) -> Iterator[Figure]:
    """The time by which all knew, and half of them."""
    spread = min(times), max(times)
    yield Figure(f"{name}.all", "s", max(times), spread)
    yield Figure(f"{name}.median", "s", median(times), spread)


def growth(by_size: dict[int, float]) -> float:
    """The power of the group's size that a quantity grows with: 0 where it does not, 1 in proportion."""
    sizes = np.log(list(by_size))
    return float(np.polyfit(sizes, np.log(list(by_size.values())), 1)[0])


def rows(figures: list[Figure], size: int, run: RunInfo, counted: bool) -> list[Row]:
    """The figures as they are written."""
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


def table(found: list[Row]) -> Table:
    """The rows as a person reads them, what was simulated beside what was measured."""
    simulated = {r.quantity.removeprefix(SIMULATED): r for r in found if r.quantity.startswith(SIMULATED)}
    out = Table("quantity", "unit")
    for column in ("value", "least", "greatest", *(("simulated", "difference") if simulated else ())):
        out.add_column(column, justify="right")
    for row in found:
        if row.quantity.startswith(SIMULATED):
            continue
        low, high = (shown(v) for v in row.spread) if row.spread else ("", "")
        cells = [row.quantity, row.unit, shown(row.value), low, high]
        other = simulated.get(row.quantity)
        if other is not None:
            difference = f"{row.value / other.value - 1:+.1%}" if other.value else ""
            cells += [shown(other.value), difference]
        out.add_row(*cells)
    return out


def shown(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def encoded(found: list[Row]) -> bytes:
    """The rows as JSON, one a line, in a list."""
    return b"[\n" + b",\n".join(msgspec.json.encode(r) for r in found) + b"\n]\n"
