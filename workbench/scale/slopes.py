"""Measured cost slopes: the file that holds them, their fits, and values beyond the measured sizes.

A slope is one measured quantity at several sizes, with the run that gave it. Files are TOML or JSON with a
list `slope`; rows of a later file take the place of earlier ones of the same name, so new measurements need
no change of code.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from importlib.resources import files
from math import exp, inf, isnan, log, nan, sqrt
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import numpy as np
from msgspec import Meta, Struct, field
from scipy import stats

from workbench.scenario.check import type_errors

SHIPPED = files("workbench.scale") / "slopes.toml"
MIN_POINTS = 5  # of a fit that is not an estimate
MAX_REACH = 10.0  # times beyond the last point, of a fit that is not an estimate
CONFIDENCE = 0.95

Over0 = Annotated[float, Meta(extra_json_schema={"exclusiveMinimum": 0})]
From0 = Annotated[float, Meta(extra_json_schema={"minimum": 0})]
Some = Annotated[int, Meta(extra_json_schema={"minimum": 1})]
FitKind = Literal["constant", "linear", "log", "power"]


class SlopesError(Exception):
    """A file of slopes that cannot be used: a line for each fault."""


class Point(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The mean of some runs at one size."""

    size: Over0
    value: float
    spread: From0 = 0.0  # standard deviation between runs; 0 where there was one
    runs: Some = 1
    lower_bound: bool = False  # at least one run ended before the value was reached


class Slope(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One measured quantity."""

    name: str
    what: str
    unit: str
    per: str  # what the sizes are: members of a group, calls a second, ...
    fit: FitKind
    run: str  # the command
    seeds: list[int]
    commit: str
    machine: str
    points: list[Point]
    note: str = ""


class SlopesFile(Struct, frozen=True, forbid_unknown_fields=True):
    """What a file holds."""

    slope: list[Slope] = field(default_factory=list)


@dataclass(frozen=True)
class Quantity:
    """A value with its 95% interval, where it comes from, and why it may be no more than an estimate."""

    value: float
    low: float = nan
    high: float = nan
    sources: frozenset[str] = frozenset()
    doubts: frozenset[str] = frozenset()  # empty: not an estimate
    at_least: bool = False

    @property
    def estimate(self) -> bool:
        return bool(self.doubts)

    @property
    def measured(self) -> bool:
        return not isnan(self.value)

    def times(self, factor: float) -> Quantity:
        """The same, so many times."""
        return Quantity(
            self.value * factor,
            self.low * factor,
            self.high * factor,
            self.sources,
            self.doubts,
            self.at_least,
        )

    def by(self, other: Quantity) -> Quantity:
        """The product; its interval is that of both ends, wider than 95%."""
        return self.joined(other, self.value * other.value, self.low * other.low, self.high * other.high)

    def plus(self, other: Quantity) -> Quantity:
        """The sum; its interval is that of both ends, wider than 95%."""
        return self.joined(other, self.value + other.value, self.low + other.low, self.high + other.high)

    def joined(self, other: Quantity, value: float, low: float, high: float) -> Quantity:
        return Quantity(
            value,
            low,
            high,
            self.sources | other.sources,
            self.doubts | other.doubts,
            self.at_least or other.at_least,
        )


UNMEASURED = Quantity(nan)


def arithmetic(value: float) -> Quantity:
    """A figure that follows from the target alone."""
    return Quantity(value, value, value, frozenset({"target"}))


def same(x: float) -> float:
    return x


AXES: dict[FitKind, tuple[Callable[[float], float], Callable[[float], float], Callable[[float], float]]] = {
    "linear": (same, same, same),
    "log": (log, same, same),
    "power": (log, log, exp),
}


def quantile_of_t(degrees: int) -> float:
    """Half the width of a 95% interval in standard errors; infinite where nothing is left to judge by."""
    return float(stats.t.ppf(0.5 + CONFIDENCE / 2, degrees)) if degrees > 0 else inf


def value_at(slope: Slope, size: float | None = None) -> Quantity:
    """The quantity at a size, by the slope's fit. None: it does not depend on a size."""
    doubts = doubts_of(slope, size)
    at_least = any(p.lower_bound for p in slope.points)
    if slope.fit == "constant":
        value, half = constant(slope.points)
        low, high = value - half, value + half
    elif size is None:
        raise ValueError(f"{slope.name}: its fit is {slope.fit}: a size is needed")
    else:
        value, low, high = line(slope.points, size, *AXES[slope.fit])
    return Quantity(value, not_negative(low), not_negative(high), frozenset({slope.name}), doubts, at_least)


def not_negative(bound: float) -> float:
    """Nothing that is measured here can be negative. Where there is no bound, there is none after this.

    Failure prevented: `max(0.0, nan)` is 0, and a value of a single run adds nothing to a sum's interval.
    """
    return bound if isnan(bound) else max(0.0, bound)


def doubts_of(slope: Slope, size: float | None) -> frozenset[str]:
    """Why a value is an estimate; nothing where it is not. A constant without a size reaches nowhere."""
    found = set()
    if len(slope.points) < MIN_POINTS and (size is not None or slope.fit != "constant"):
        found.add(f"{slope.name}: {len(slope.points)} points")
    last = max(p.size for p in slope.points)
    if size is not None and size > MAX_REACH * last:
        found.add(f"{slope.name}: {size / last:.0f} times beyond the last point")
    return frozenset(found)


def constant(points: list[Point]) -> tuple[float, float]:
    """Mean of the points and half of its 95% interval; one point is judged by its runs."""
    values = np.array([p.value for p in points])
    if len(points) > 1:
        half = quantile_of_t(len(points) - 1) * float(values.std(ddof=1)) / sqrt(len(points))
    elif points[0].runs > 1:
        half = quantile_of_t(points[0].runs - 1) * points[0].spread / sqrt(points[0].runs)
    else:
        half = nan
    return float(values.mean()), half


def line(
    points: list[Point],
    size: float,
    of_size: Callable[[float], float],
    of_value: Callable[[float], float],
    back: Callable[[float], float],
) -> tuple[float, float, float]:
    """Least squares on the given axes: the line's value at a size and its 95% interval there."""
    x = np.array([of_size(p.size) for p in points])
    y = np.array([of_value(p.value) for p in points])
    count = len(points)
    centred = x - x.mean()
    squares = float((centred**2).sum())
    gradient = float((centred * (y - y.mean())).sum()) / squares
    at = of_size(size) - float(x.mean())
    middle = float(y.mean()) + gradient * at
    if count < 3:
        return back(middle), nan, nan
    residuals = y - y.mean() - gradient * centred
    error = sqrt(float((residuals**2).sum()) / (count - 2) * (1 / count + at**2 / squares))
    half = quantile_of_t(count - 2) * error
    return back(middle), back(middle - half), back(middle + half)


# ---- files ----------------------------------------------------------------------------------------------


class Slopes:
    """All slopes by name."""

    def __init__(self, slopes: list[Slope]) -> None:
        self.by_name = {s.name: s for s in slopes}

    def __contains__(self, name: str) -> bool:
        return name in self.by_name

    def at(self, name: str, size: float | None = None) -> Quantity:
        """A quantity's value at a size; one without a value where it was never measured."""
        slope = self.by_name.get(name)
        return UNMEASURED if slope is None else value_at(slope, size)


def faults_of(table: dict[str, Any], source: str) -> list[str]:
    """What is wrong with a decoded file, a line each."""
    found = [f"{source}: {line}" for line in type_errors(table, SlopesFile)]
    if found:
        return found
    for slope in msgspec.convert(table, SlopesFile).slope:
        where = f"{source}: {slope.name}.points"
        sizes = {p.size for p in slope.points}
        if not slope.points:
            found.append(f"{where}: []: must hold at least one")
        elif slope.fit != "constant" and len(sizes) < 2:
            found.append(f"{where}: {len(sizes)} sizes: must hold two for a {slope.fit} fit")
        elif slope.fit == "power" and any(p.value <= 0 for p in slope.points):
            found.append(f"{where}: a value of 0 or less: must be over 0 for a power fit")
    return found


def decoded(text: str, source: str) -> dict[str, Any]:
    """The table of a TOML or JSON file, by its name's ending. SlopesError."""
    try:
        table = msgspec.json.decode(text) if source.endswith(".json") else tomllib.loads(text)
    except (msgspec.DecodeError, tomllib.TOMLDecodeError) as e:
        raise SlopesError(f"{source}: cannot be read: {e}") from None
    if isinstance(table, list):
        table = {"slope": table}
    if not isinstance(table, dict):
        raise SlopesError(f"{source}: must be a table with a list 'slope', or a list of slopes")
    return table


def read_slopes(*extra: str) -> Slopes:
    """The shipped file, then others whose rows replace those of the same name. SlopesError."""
    texts = [("slopes.toml", SHIPPED.read_text())]
    for source in extra:
        try:
            texts.append((source, Path(source).read_text()))
        except (OSError, UnicodeDecodeError) as e:
            raise SlopesError(f"{source}: cannot be read: {e}") from None
    slopes: list[Slope] = []
    for source, text in texts:
        table = decoded(text, source)
        found = faults_of(table, source)
        if found:
            raise SlopesError("\n".join(found))
        slopes += msgspec.convert(table, SlopesFile).slope
    return Slopes(slopes)
