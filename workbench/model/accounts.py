"""What a day was worth: over all, in its worst window, for its worst class; and where each lost point
went."""

from __future__ import annotations

from collections import Counter
from typing import Any

import numpy as np

from balancer.policy.interface import ClassSettings
from workbench.model.call import Request
from workbench.model.network import fixed_float
from workbench.scenario.model import Scenario

TABLE_BIN_US = 5_000_000  # of the table by time
BIN_US = 1_000_000  # of the plot, and of the worst window's search
LATE = "late"


class Bin:
    """Some seconds of requests, by when they were due."""

    __slots__ = (
        "asked",
        "attempts",
        "causes",
        "client_attempts",
        "latencies",
        "offered_value",
        "served",
        "served_value",
    )

    def __init__(self) -> None:
        self.asked = 0
        self.offered_value = 0.0
        self.served = 0
        self.served_value = 0.0
        self.client_attempts = 0
        self.attempts = 0
        self.causes: Counter[tuple[str, int]] = Counter()  # worth lost by cause and tier
        self.latencies: list[int] = []


class Accounts:
    """Sees how each client's request ended, and the traffic that was counted on its way."""

    def __init__(self, day: Scenario, classes: list[ClassSettings], begin: int, tiers: int) -> None:
        self.day = day
        self.classes = classes
        self.begin = begin
        self.bins: list[Bin] = []
        self.offered_by_class = [0.0] * len(classes)
        self.earned_by_class = [0.0] * len(classes)
        self.late_failed_value = 0.0
        self.work = 0.0
        self.useful = 0.0
        self.calls = [0] * tiers
        self.attempts = [0] * tiers
        self.rejections = [0] * tiers
        self.crossings = 0
        self.dials = 0
        self.probes = 0

    def bin_of(self, request: Request) -> Bin:
        i = (request.due - self.begin) // BIN_US
        while len(self.bins) <= i:
            self.bins.append(Bin())
        return self.bins[i]

    def request_arrived(self, request: Request) -> None:
        worth = self.classes[request.request_class].worth
        interval = self.bin_of(request)
        interval.asked += 1
        interval.offered_value += worth
        self.offered_by_class[request.request_class] += worth

    def request_ended(self, request: Request) -> float:
        """A request's end, served or not; returns the worth that was lost."""
        settings = self.classes[request.request_class]
        interval = self.bin_of(request)
        interval.client_attempts += request.client_attempts
        interval.attempts += request.attempts
        self.work += request.work
        got = 0.0
        if request.served:
            self.useful += request.useful
            interval.latencies.append(request.done_at - request.due)
            got = settings.worth * (1.0 if request.done_at <= request.objective_at else settings.late_worth)
            if request.done_at > request.objective_at:
                request.cause = (LATE, 0)
        elif request.done_at > request.objective_at:
            self.late_failed_value += settings.worth
        interval.served += request.served and request.done_at <= request.objective_at
        interval.served_value += got
        self.earned_by_class[request.request_class] += got
        if got < settings.worth:
            interval.causes[request.cause] += settings.worth - got  # type: ignore[assignment]
        return settings.worth - got

    # ---- sums -----------------------------------------------------------------------------------------

    def merged_bins(self, length: int) -> list[Bin]:
        """The fine bins, joined to bins of `length` microseconds."""
        n = length // BIN_US
        out = []
        for start in range(0, len(self.bins), n):
            sum_ = Bin()
            for interval in self.bins[start : start + n]:
                sum_.asked += interval.asked
                sum_.offered_value += interval.offered_value
                sum_.served += interval.served
                sum_.served_value += interval.served_value
                sum_.client_attempts += interval.client_attempts
                sum_.attempts += interval.attempts
                sum_.causes.update(interval.causes)
                sum_.latencies += interval.latencies
            out.append(sum_)
        return out

    def worst_window(self) -> float:
        """The least share of worth served in any window of the goal's length, by steps of a second."""
        width = max(1, int(fixed_float(self.day.goal.window_s) * 1e6) // BIN_US)
        worth = np.array([interval.offered_value for interval in self.bins])
        got = np.array([interval.served_value for interval in self.bins])
        if len(worth) > width:
            ones = np.ones(width)
            worth, got = np.convolve(worth, ones, "valid"), np.convolve(got, ones, "valid")
        else:
            worth, got = worth.sum(keepdims=True), got.sum(keepdims=True)
        shares = got[worth > 0] / worth[worth > 0]
        return float(shares.min()) if len(shares) else 1.0

    def summary(self) -> dict[str, Any]:
        """The account as a result file has it: shares from 0 to 1, prices already times their rates."""
        goal, price = self.day.goal, self.day.prices
        asked, got = sum(self.offered_by_class), sum(self.earned_by_class)
        first = max(1, sum(interval.asked for interval in self.bins))
        whole = got / asked if asked else 1.0
        by_class = {
            c.name: g / a
            for c, g, a in zip(
                self.day.request_classes, self.earned_by_class, self.offered_by_class, strict=True
            )
            if a
        }
        window = self.worst_window()
        worst = min(by_class.values(), default=1.0)
        prices = {
            "cross_zone": fixed_float(price.cross_zone) * self.crossings / first,
            "waste": fixed_float(price.waste) * max(0.0, self.work - self.useful) / max(self.useful, 1.0),
            "probe": fixed_float(price.probe) * self.probes / first,
            "late_fail": fixed_float(price.late_fail) * self.late_failed_value / asked if asked else 0.0,
            "handshake": fixed_float(price.handshake) * self.dials / first,
        }
        weights = (fixed_float(goal.whole), fixed_float(goal.worst_window), fixed_float(goal.worst_class))
        parts = (whole, window, worst)
        mixed = sum(w * p for w, p in zip(weights, parts, strict=True)) / (sum(weights) or 1.0)
        tries = sum(interval.client_attempts for interval in self.bins)
        lost: Counter[tuple[str, int]] = Counter()
        for interval in self.bins:
            lost.update(interval.causes)
        latencies = np.array([v for interval in self.bins for v in interval.latencies]) / 1000
        return {
            "goal": max(0.0, min(1.0, mixed - sum(prices.values()))),
            "whole": whole,
            "worst_window": window,
            "worst_class": worst,
            "classes": by_class,
            "prices": prices,
            "requests": first,
            "tries_a_request": tries / first,
            "attempts_a_call": [a / c if c else 0.0 for a, c in zip(self.attempts, self.calls, strict=True)],
            "calls": self.calls,
            "refusals": self.rejections,
            "connections_dialled": self.dials,
            "latency_ms": {
                f"p{p:g}": float(np.percentile(latencies, p)) for p in (50, 90, 99) if len(latencies)
            },
            "lost": [
                {"cause": cause, "tier": tier, "share": worth / asked}
                for (cause, tier), worth in sorted(lost.items(), key=lambda item: (-item[1], item[0]))
            ],
        }

    def table(self, length: int = TABLE_BIN_US) -> list[dict[str, Any]]:
        """What came and went by `length` microseconds of the day."""
        rows = []
        for i, interval in enumerate(self.merged_bins(length)):
            latencies = np.array(interval.latencies or [0]) / 1000
            rows.append(
                {
                    "at_s": i * length / 1e6,
                    "asked": interval.asked,
                    "served": interval.served,
                    "worth": interval.offered_value,
                    "served_worth": interval.served_value,
                    "tries": interval.client_attempts,
                    "attempts": interval.attempts,
                    "p50_ms": float(np.percentile(latencies, 50)),
                    "p99_ms": float(np.percentile(latencies, 99)),
                    "lost": [
                        {"cause": cause, "tier": tier, "worth": worth}
                        for (cause, tier), worth in sorted(interval.causes.items())
                    ],
                }
            )
        return rows
