"""Confidence intervals, sign-flip tests and the correction for multiple comparisons."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

import numpy as np
from scipy import stats

# Quantiles of a two-sided 95% interval.
LOWER_QUANTILE = 0.025
UPPER_QUANTILE = 0.975
RESAMPLE_COUNT = 4000
# Up to this many pairs, the sign-flip test enumerates every assignment of signs.
MAX_EXACT_PAIRS = 12
SIGN_BATCH_COUNT = 10
SIGNS_PER_BATCH = RESAMPLE_COUNT // 4
SUM_TOLERANCE = 1e-12
BOOTSTRAP_SEED = 1
SIGN_SEED = 2

Array = np.ndarray[Any, Any]


class Interval(NamedTuple):
    """A 95% confidence interval."""

    low: float
    high: float


class MeanInterval(NamedTuple):
    """A mean and its 95% confidence interval."""

    mean: float
    low: float
    high: float


def bootstrap_interval(differences: Array) -> Interval:
    """Return the 95% BCa bootstrap interval of a mean, or the percentile interval if BCa is undefined."""
    if len(differences) < 2 or np.ptp(differences) == 0:
        value = float(differences.mean()) if len(differences) else 0.0
        return Interval(value, value)
    with np.errstate(all="ignore"):
        interval = stats.bootstrap(
            (differences,),
            np.mean,
            n_resamples=RESAMPLE_COUNT,
            method="BCa",
            random_state=np.random.default_rng(BOOTSTRAP_SEED),
        ).confidence_interval
    if np.isnan(interval.low) or np.isnan(interval.high):
        return percentile_interval(resampled_means(differences))
    return Interval(float(interval.low), float(interval.high))


def percentile_interval(means: Array) -> Interval:
    """Return the central 95% of bootstrap means."""
    return Interval(float(np.quantile(means, LOWER_QUANTILE)), float(np.quantile(means, UPPER_QUANTILE)))


def t_interval(differences: Array) -> MeanInterval:
    """Return the mean of at least two paired differences and its 95% interval by Student's t."""
    mean = float(differences.mean())
    quantile = stats.t.ppf(UPPER_QUANTILE, len(differences) - 1)
    half_width = float(quantile * differences.std(ddof=1) / len(differences) ** 0.5)
    return MeanInterval(mean, mean - half_width, mean + half_width)


def resampled_means(differences: Array, seed: int = BOOTSTRAP_SEED) -> Array:
    """Return the means of `RESAMPLE_COUNT` bootstrap samples."""
    rng = np.random.default_rng(seed)
    size = len(differences)
    means: Array = differences[rng.integers(0, size, (RESAMPLE_COUNT, size))].mean(axis=1)
    return means


def sign_flip_p_value(groups: Sequence[Array]) -> float:
    """Test paired differences by two-sided sign flips, exactly for up to `MAX_EXACT_PAIRS` pairs.

    Args:
        groups: Differences of each scenario; scenarios have the same weight regardless of their pairs.

    Returns:
        The share of sign assignments for which the mean of the group means is at least as far from 0 as
        the observed one.
    """
    groups = [group for group in groups if len(group)]
    pairs = sum(map(len, groups))
    if not pairs or all(np.all(group == 0) for group in groups):
        return 1.0
    weights = np.concatenate([np.full(len(group), 1 / len(group) / len(groups)) for group in groups])
    values = np.concatenate(groups) * weights
    if pairs <= MAX_EXACT_PAIRS:
        signs = 1.0 - 2.0 * ((np.arange(2**pairs)[:, None] >> np.arange(pairs)) & 1)
        return float(np.mean(at_least_as_extreme(signs, values)))
    rng = np.random.default_rng(SIGN_SEED)
    extreme = 0
    for _ in range(SIGN_BATCH_COUNT):
        signs = rng.integers(0, 2, (SIGNS_PER_BATCH, pairs), dtype=np.int8) * 2.0 - 1.0
        extreme += int(np.sum(at_least_as_extreme(signs, values)))
    return (extreme + 1) / (SIGN_BATCH_COUNT * SIGNS_PER_BATCH + 1)


def at_least_as_extreme(signs: Array, values: Array) -> Array:
    """Return, for each row of signs, whether the signed sum is at least as far from 0 as the plain sum."""
    extreme: Array = np.abs(signs @ values) >= abs(values.sum()) - SUM_TOLERANCE
    return extreme


def holm_correction(p_values: Sequence[float]) -> list[float]:
    """Correct p-values for multiple comparisons by Holm's step-down method, keeping their order."""
    corrected = [1.0] * len(p_values)
    largest = 0.0
    for rank, index in enumerate(np.argsort(p_values)):
        largest = max(largest, min(1.0, p_values[index] * (len(p_values) - rank)))
        corrected[int(index)] = largest
    return corrected
