"""Is B better than A, where, by how much, and how sure.

The rule. Pairs are runs of one scenario and seed, so both variants met the same draws. A difference is B's
goal less A's; its 95% interval is a bootstrap of the pairs' mean (BCa, percentiles where that has no value).
A p-value comes from the signs: were A and B the same, each pair's difference would be as likely to have the
other sign. Over the scenarios, p-values are corrected by Holm's method. The verdict is "better" or "worse"
where the corrected p is under 0.05, the interval leaves 0 out and there are five pairs or more; otherwise
"not told apart". "Over all" weighs each scenario alike: pairs are drawn anew within each scenario.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import numpy as np
from scipy import stats

from workbench.experiment.plan import LEAST_PAIRS
from workbench.experiment.store import Row

ALPHA = 0.05
RESAMPLES = 4000
EXACT_UP_TO = 12  # pairs: so many signs are tried all
OVER_ALL = "over all"
Array = np.ndarray[Any, Any]


def interval(differences: Array) -> tuple[float, float]:
    """The 95% bootstrap interval of a mean."""
    if len(differences) < 2 or np.ptp(differences) == 0:
        value = float(differences.mean()) if len(differences) else 0.0
        return value, value
    with np.errstate(all="ignore"):
        found = stats.bootstrap(
            (differences,),
            np.mean,
            n_resamples=RESAMPLES,
            method="BCa",
            random_state=np.random.default_rng(1),
        ).confidence_interval
    if np.isnan(found.low) or np.isnan(found.high):
        means = resampled(differences)
        return float(np.quantile(means, 0.025)), float(np.quantile(means, 0.975))
    return float(found.low), float(found.high)


def t_interval(differences: Array) -> tuple[float, float, float]:
    """The mean of paired differences and its 95% interval by Student's t, for two pairs or more."""
    mean = float(differences.mean())
    half = float(stats.t.ppf(0.975, len(differences) - 1) * differences.std(ddof=1) / len(differences) ** 0.5)
    return mean, mean - half, mean + half


def resampled(differences: Array, seed: int = 1) -> Array:
    rng = np.random.default_rng(seed)
    n = len(differences)
    means: Array = differences[rng.integers(0, n, (RESAMPLES, n))].mean(axis=1)
    return means


def sign_p(groups: list[Array]) -> float:
    """Two-sided: how often random signs make the mean of the groups' means as far from 0 as it is."""
    groups = [g for g in groups if len(g)]
    n = sum(map(len, groups))
    if not n or all(np.all(g == 0) for g in groups):
        return 1.0
    weights = np.concatenate([np.full(len(g), 1 / len(g) / len(groups)) for g in groups])
    values = np.concatenate(groups) * weights
    if n <= EXACT_UP_TO:
        signs = 1.0 - 2.0 * ((np.arange(2**n)[:, None] >> np.arange(n)) & 1)
        sums = signs @ values
        return float(np.mean(np.abs(sums) >= abs(values.sum()) - 1e-12))
    rng = np.random.default_rng(2)
    extreme = 0
    for _ in range(10):
        signs = rng.integers(0, 2, (RESAMPLES // 4, n), dtype=np.int8) * 2.0 - 1.0
        extreme += int(np.sum(np.abs(signs @ values) >= abs(values.sum()) - 1e-12))
    return (extreme + 1) / (10 * (RESAMPLES // 4) + 1)


def holm(values: list[float]) -> list[float]:
    """Holm's step-down correction."""
    order = np.argsort(values)
    out = [1.0] * len(values)
    worst = 0.0
    for rank, i in enumerate(order):
        worst = max(worst, min(1.0, values[i] * (len(values) - rank)))
        out[int(i)] = worst
    return out


def verdict(difference: float, low: float, high: float, p: float, pairs: int) -> str:
    if pairs < LEAST_PAIRS or p >= ALPHA or low <= 0 <= high:
        return "not told apart"
    return "better" if difference > 0 else "worse"


def compare(rows: list[Row], a: str, b: str) -> dict[str, Any]:
    """B against A: for each scenario and over all `difference`, `low`, `high`, `p`, `pairs`, `verdict`, sign
    counts, means, the worst seeds with the commands that replay them, broken rules, and where the loss
    moved."""
    runs: dict[tuple[str, int], dict[str, Row]] = defaultdict(dict)
    for row in rows:
        if row.variant in (a, b) and row.goal is not None:
            runs[row.scenario, row.seed][row.variant] = row
    pairs = {key: both for key, both in runs.items() if len(both) == 2}
    scenarios = sorted({scenario for scenario, _ in pairs})
    groups: list[Array] = []
    entries: list[dict[str, Any]] = []
    for scenario in scenarios:
        chosen = [both for (name, _), both in sorted(pairs.items()) if name == scenario]
        differences = np.array([float(both[b].goal or 0) - float(both[a].goal or 0) for both in chosen])
        groups.append(differences)
        low, high = interval(differences)
        entries.append(
            {
                "scenario": scenario,
                "difference": float(differences.mean()),
                "low": low,
                "high": high,
                "p": sign_p([differences]),
                **counts(differences),
                "mean_a": float(np.mean([both[a].goal for both in chosen])),
                "mean_b": float(np.mean([both[b].goal for both in chosen])),
                "broken_a": sum(both[a].broken for both in chosen),
                "broken_b": sum(both[b].broken for both in chosen),
                "worst": worst(chosen, differences, b),
                "moved": moved(chosen, a, b),
            }
        )
    for entry, p in zip(entries, holm([e["p"] for e in entries]), strict=True):
        entry["p"] = p
        entry["verdict"] = verdict(entry["difference"], entry["low"], entry["high"], p, entry["pairs"])
    failed = [row for row in rows if row.variant in (a, b) and row.error is not None]
    return {
        "a": a,
        "b": b,
        "scenarios": entries,
        "all": over_all(groups, entries),
        "failed": [{"variant": r.variant, "scenario": r.scenario, "seed": r.seed} for r in failed],
    }


def over_all(groups: list[Array], entries: list[dict[str, Any]]) -> dict[str, Any]:
    """All scenarios, each weighing alike."""
    if not groups:
        zero = {"difference": 0.0, "low": 0.0, "high": 0.0, "p": 1.0, **counts(np.array([]))}
        return {"scenario": OVER_ALL, **zero, "verdict": "not told apart"}
    means = np.mean([resampled(g, i) for i, g in enumerate(groups)], axis=0)
    difference = float(np.mean([g.mean() for g in groups]))
    low, high = float(np.quantile(means, 0.025)), float(np.quantile(means, 0.975))
    together = np.concatenate(groups)
    p = sign_p(groups)
    return {
        "scenario": OVER_ALL,
        "difference": difference,
        "low": low,
        "high": high,
        "p": p,
        **counts(together),
        "mean_a": float(np.mean([e["mean_a"] for e in entries])),
        "mean_b": float(np.mean([e["mean_b"] for e in entries])),
        "broken_a": sum(e["broken_a"] for e in entries),
        "broken_b": sum(e["broken_b"] for e in entries),
        "verdict": verdict(difference, low, high, p, len(together)),
    }


def counts(differences: Array) -> dict[str, int]:
    return {
        "pairs": len(differences),
        "ups": int(np.sum(differences > 0)),
        "downs": int(np.sum(differences < 0)),
    }


def worst(chosen: list[dict[str, Row]], differences: Array, b: str, kept: int = 3) -> list[dict[str, Any]]:
    """The seeds on which B does worst against A, and the commands that play them again."""
    out = []
    for i in np.argsort(differences)[:kept]:
        if differences[i] < 0:
            row = chosen[int(i)][b]
            out.append({"seed": row.seed, "difference": float(differences[i]), "command": row.task.command()})
    return out


def moved(chosen: list[dict[str, Row]], a: str, b: str, kept: int = 4) -> list[dict[str, Any]]:
    """Causes of loss by tier whose share of the worth changed most, B less A, in the mean."""
    sums: dict[tuple[str, int], float] = defaultdict(float)
    for both in chosen:
        for name, sign in ((a, -1), (b, 1)):
            for entry in both[name].lost:
                sums[entry["cause"], entry["tier"]] += sign * entry["share"] / len(chosen)
    top = sorted(sums.items(), key=lambda item: (-abs(item[1]), item[0]))[:kept]
    return [
        {"cause": cause, "tier": tier, "change": change}
        for (cause, tier), change in top
        if abs(change) > 5e-4
    ]
