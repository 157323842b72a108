"""What a report shows, gathered from a store: plain numbers, before anything is drawn."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import numpy as np

from workbench.experiment.store import Row, Store

Array = np.ndarray[Any, Any]
CAUSES = 6  # shown one by one


def names(rows: list[Row], against: str = "") -> tuple[list[str], list[str]]:
    """Scenarios and variants in order; the one that the others are held against comes first: `against`, or
    the first there is of baseline, before and today."""
    scenarios = sorted({r.scenario for r in rows})
    variants = sorted({r.variant for r in rows})
    for name in (against, "baseline", "before", "today"):
        if name in variants:
            variants.remove(name)
            variants.insert(0, name)
            break
    return scenarios, variants


def goals(rows: list[Row]) -> dict[tuple[str, str], Array]:
    """Goals by scenario and variant, in order of seed."""
    out: dict[tuple[str, str], list[float]] = defaultdict(list)
    for r in sorted(rows, key=lambda r: r.seed):
        if r.goal is not None:
            out[r.scenario, r.variant].append(r.goal)
    return {k: np.array(v) for k, v in out.items()}


def losses(rows: list[Row]) -> dict[tuple[str, str], dict[str, float]]:
    """Mean share of the worth lost, by scenario and variant, then by cause and tier; small causes
    together."""
    sums: dict[tuple[str, str], dict[str, float]] = defaultdict(lambda: defaultdict(float))
    runs: dict[tuple[str, str], int] = defaultdict(int)
    total: dict[str, float] = defaultdict(float)
    for r in rows:
        if r.goal is None:
            continue
        runs[r.scenario, r.variant] += 1
        for e in r.losses:
            label = f"{e.cause}, tier {e.tier}"
            sums[r.scenario, r.variant][label] += e.share
            total[label] += e.share
    top = set(sorted(total, key=lambda k: -total[k])[:CAUSES])
    out: dict[tuple[str, str], dict[str, float]] = {}
    for key, by_cause in sums.items():
        out[key] = defaultdict(float)
        for label, share in by_cause.items():
            out[key][label if label in top else "other"] += share / runs[key]
    return {k: dict(v) for k, v in out.items()}


class Days:
    """Whole results of one scenario, read one by one: means over the seeds by second of the day."""

    def __init__(self, store: Store, rows: list[Row], scenario: str, most: int) -> None:
        self.scenario = scenario
        self.served: dict[str, Array] = {}
        self.latency: dict[str, dict[str, float]] = {}
        self.faults: list[dict[str, Any]] = []
        self.stats: list[dict[str, Any]] = []
        by_variant: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for r in rows:
            if r.scenario == scenario and r.goal is not None and len(by_variant[r.variant]) < most:
                by_variant[r.variant].append(store.result(r.task))
        for variant, results in by_variant.items():
            self.served[variant] = mean_served(results)
            keys = results[0]["account"]["latency_ms"]
            self.latency[variant] = {
                k: float(np.mean([r["account"]["latency_ms"].get(k, np.nan) for r in results])) for k in keys
            }
            self.faults = results[0]["day"]["fault"]
            self.stats = results[0].get("stats", [])


def mean_served(results: list[dict[str, Any]]) -> Array:
    """Worth served of the worth asked for, by second, over all results."""
    length = max(len(r["seconds"]) for r in results)
    got, asked = np.zeros(length), np.zeros(length)
    for r in results:
        for i, s in enumerate(r["seconds"]):
            got[i] += s["served_worth"]
            asked[i] += s["worth"]
    share: Array = got / np.maximum(asked, 1e-9)
    return share


def sweep(rows: list[Row]) -> tuple[str, dict[str, dict[float, Array]]] | None:
    """Where the scenarios are points of one numeric key: the key, and goals by variant (and scenario) and
    value."""
    found: dict[str, dict[float, list[float]]] = defaultdict(lambda: defaultdict(list))
    keys = set()
    sources = {r.task.source for r in rows}
    for r in rows:
        point = r.scenario.removeprefix(r.task.source)
        if not point.startswith("[") or "," in point or r.goal is None:
            return None
        key, _, value = point[1:-1].partition("=")
        try:
            number = float(value)
        except ValueError:
            return None
        keys.add(key)
        label = r.variant if len(sources) == 1 else f"{r.task.source}, {r.variant}"
        found[label][number].append(r.goal)
    if len(keys) != 1 or len(next(iter(found.values()))) < 3:
        return None
    return keys.pop(), {v: {x: np.array(g) for x, g in sorted(at.items())} for v, at in found.items()}
