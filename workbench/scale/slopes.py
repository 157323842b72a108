"""Measured cost slopes: their files, fits and extrapolation.

A slope is one measured quantity at several sizes, with the run it comes from. Files are TOML or JSON with a
list `slope`; rows of a later file replace earlier ones of the same name, so new measurements need no code
change.
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

SHIPPED_SLOPES = files("workbench.scale") / "slopes.toml"
# A fit with fewer points yields an estimate.
MIN_FIT_POINTS = 5
# Values at a size more than this many times the last point are estimates.
MAX_EXTRAPOLATION_RATIO = 10.0
CONFIDENCE = 0.95

PositiveFloat = Annotated[float, Meta(extra_json_schema={"exclusiveMinimum": 0})]
NonNegativeFloat = Annotated[float, Meta(extra_json_schema={"minimum": 0})]
PositiveInt = Annotated[int, Meta(extra_json_schema={"minimum": 1})]
FitKind = Literal["constant", "linear", "log", "power"]


class SlopesError(Exception):
    """An invalid file of slopes; the message has one line for each error."""


class Point(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The mean of some runs at one size.

    `spread` is the standard deviation between runs, 0 for a single one. `lower_bound` is true if at least one
    run ended before the value was reached.
    """

    size: PositiveFloat
    value: float
    spread: NonNegativeFloat = 0.0
    runs: PositiveInt = 1
    lower_bound: bool = False


class Slope(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One measured quantity.

    `per` says what the sizes are, such as members of a group or calls a second; `run` is the command.
    """

    name: str
    what: str
    unit: str
    per: str
    fit: FitKind
    run: str
    seeds: list[int]
    commit: str
    machine: str
    points: list[Point]
    note: str = ""


class SlopesFile(Struct, frozen=True, forbid_unknown_fields=True):
    """The content of a slopes file."""

    slope: list[Slope] = field(default_factory=list)


@dataclass(frozen=True)
class Quantity:
    """A value with its 95% interval, its sources, and the reasons if it is only an estimate."""

    value: float
    low: float = nan
    high: float = nan
    sources: frozenset[str] = frozenset()
    estimate_reasons: frozenset[str] = frozenset()
    is_lower_bound: bool = False

    @property
    def is_estimate(self) -> bool:
        """Whether the value is only an estimate."""
        return bool(self.estimate_reasons)

    @property
    def is_measured(self) -> bool:
        """Whether there is a value."""
        return not isnan(self.value)

    def scaled(self, factor: float) -> Quantity:
        """Return the quantity multiplied by a number."""
        return Quantity(
            self.value * factor,
            self.low * factor,
            self.high * factor,
            self.sources,
            self.estimate_reasons,
            self.is_lower_bound,
        )

    def multiplied_by(self, other: Quantity) -> Quantity:
        """Return the product; its interval is the product of the bounds, and covers more than 95%."""
        return self.combined(other, self.value * other.value, self.low * other.low, self.high * other.high)

    def plus(self, other: Quantity) -> Quantity:
        """Return the sum; its interval is the sum of the bounds, and covers more than 95%."""
        return self.combined(other, self.value + other.value, self.low + other.low, self.high + other.high)

    def combined(self, other: Quantity, value: float, low: float, high: float) -> Quantity:
        """Return a value that depends on two quantities, with the sources and estimate reasons of both."""
        return Quantity(
            value,
            low,
            high,
            self.sources | other.sources,
            self.estimate_reasons | other.estimate_reasons,
            self.is_lower_bound or other.is_lower_bound,
        )


UNMEASURED = Quantity(nan)


def derived_from_target(value: float) -> Quantity:
    """Return a quantity that follows from the target without a measurement."""
    return Quantity(value, value, value, frozenset({"target"}))


def identity(x: float) -> float:
    """Return the argument."""
    return x


AXIS_TRANSFORMS: dict[
    FitKind, tuple[Callable[[float], float], Callable[[float], float], Callable[[float], float]]
] = {
    "linear": (identity, identity, identity),
    "log": (log, identity, identity),
    "power": (log, log, exp),
}


def t_quantile(degrees_of_freedom: int) -> float:
    """Return half the width of a 95% interval in standard errors; infinite without degrees of freedom."""
    return float(stats.t.ppf(0.5 + CONFIDENCE / 2, degrees_of_freedom)) if degrees_of_freedom > 0 else inf


def value_at(slope: Slope, size: float | None = None) -> Quantity:
    """Evaluate a slope's fit at a size; only a constant one needs no size."""
    estimate_reasons = estimate_reasons_of(slope, size)
    is_lower_bound = any(p.lower_bound for p in slope.points)
    if slope.fit == "constant":
        value, half_interval = fit_constant(slope.points)
        low, high = value - half_interval, value + half_interval
    elif size is None:
        raise ValueError(f"{slope.name}: a {slope.fit} fit needs a size")
    else:
        value, low, high = fit_line(slope.points, size, *AXIS_TRANSFORMS[slope.fit])
    return Quantity(
        value,
        clip_negative_bound(low),
        clip_negative_bound(high),
        frozenset({slope.name}),
        estimate_reasons,
        is_lower_bound,
    )


def clip_negative_bound(bound: float) -> float:
    """Clip a bound at 0, since no measured quantity is negative; NaN, which means no bound, stays NaN.

    `max(0.0, nan)` is 0: without this rule a value of a single run would add nothing to the interval of a
    sum.
    """
    return bound if isnan(bound) else max(0.0, bound)


def estimate_reasons_of(slope: Slope, size: float | None) -> frozenset[str]:
    """Return why a value is an estimate, if it is one; a constant without a size is not extrapolated."""
    found = set()
    if len(slope.points) < MIN_FIT_POINTS and (size is not None or slope.fit != "constant"):
        found.add(f"{slope.name}: {len(slope.points)} points")
    last = max(p.size for p in slope.points)
    if size is not None and size > MAX_EXTRAPOLATION_RATIO * last:
        found.add(f"{slope.name}: {size / last:.0f} times beyond the last point")
    return frozenset(found)


def fit_constant(points: list[Point]) -> tuple[float, float]:
    """Return the mean of the points and half of its 95% interval; a single point's is that of its runs."""
    values = np.array([p.value for p in points])
    if len(points) > 1:
        half_interval = t_quantile(len(points) - 1) * float(values.std(ddof=1)) / sqrt(len(points))
    elif points[0].runs > 1:
        half_interval = t_quantile(points[0].runs - 1) * points[0].spread / sqrt(points[0].runs)
    else:
        half_interval = nan
    return float(values.mean()), half_interval


def fit_line(
    points: list[Point],
    size: float,
    transform_size: Callable[[float], float],
    transform_value: Callable[[float], float],
    invert_value: Callable[[float], float],
) -> tuple[float, float, float]:
    """Fit a line by least squares on transformed axes; return value and 95% interval at a size."""
    x = np.array([transform_size(p.size) for p in points])
    y = np.array([transform_value(p.value) for p in points])
    count = len(points)
    centred = x - x.mean()
    sum_of_squares = float((centred**2).sum())
    gradient = float((centred * (y - y.mean())).sum()) / sum_of_squares
    at = transform_size(size) - float(x.mean())
    centre = float(y.mean()) + gradient * at
    if count < 3:
        return invert_value(centre), nan, nan
    residuals = y - y.mean() - gradient * centred
    standard_error = sqrt(float((residuals**2).sum()) / (count - 2) * (1 / count + at**2 / sum_of_squares))
    half_interval = t_quantile(count - 2) * standard_error
    return invert_value(centre), invert_value(centre - half_interval), invert_value(centre + half_interval)


# ---- files ----------------------------------------------------------------------------------------------


class Slopes:
    """All slopes by name."""

    def __init__(self, slopes: list[Slope]) -> None:
        self.by_name = {s.name: s for s in slopes}

    def __contains__(self, name: str) -> bool:
        return name in self.by_name

    def at(self, name: str, size: float | None = None) -> Quantity:
        """Return a quantity at a size, or one without a value if it was never measured."""
        slope = self.by_name.get(name)
        return UNMEASURED if slope is None else value_at(slope, size)


def validation_errors(table: dict[str, Any], source: str) -> list[str]:
    """Return the errors of a decoded file, one line each."""
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


def decode_table(text: str, source: str) -> dict[str, Any]:
    """Decode a file as JSON if its name ends in .json, otherwise as TOML.

    Raises:
        SlopesError: The file cannot be decoded.
    """
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
    """Read the shipped file, then others whose rows replace those of the same name.

    Raises:
        SlopesError: A file cannot be read or is invalid.
    """
    texts = [("slopes.toml", SHIPPED_SLOPES.read_text())]
    for source in extra:
        try:
            texts.append((source, Path(source).read_text()))
        except (OSError, UnicodeDecodeError) as e:
            raise SlopesError(f"{source}: cannot be read: {e}") from None
    slopes: list[Slope] = []
    for source, text in texts:
        table = decode_table(text, source)
        found = validation_errors(table, source)
        if found:
            raise SlopesError("\n".join(found))
        slopes += msgspec.convert(table, SlopesFile).slope
    return Slopes(slopes)
