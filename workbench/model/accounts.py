"""Accounts of a scenario's value: in total, for the worst window and class, and by cause of loss."""

from __future__ import annotations

from collections import Counter
from typing import Any

import numpy as np

from balancer.policy.interface import ClassSettings
from workbench.model.call import Cause, Request
from workbench.model.network import fixed_float
from workbench.scenario.model import Scenario

TABLE_BIN_US = 5_000_000  # of the table's rows
BIN_US = 1_000_000  # of the plot, and the step of the worst window
LATE = Cause("late", 0)
SUMMARY_PERCENTILES = (50, 90, 99)


class Bin:
    """Sums over the requests that were due in one interval of time."""

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
        self.causes: Counter[Cause] = Counter()  # the value lost
        self.latencies: list[int] = []


class Accounts:
    """Records how each client's request ended, and the traffic that nodes report.

    Args:
        day: The scenario.
        classes: The settings of its request classes.
        begin: The time at which it begins, in microseconds.
        tiers: The number of tiers.
    """

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
        """Returns the bin of a request, by the time it was due."""
        i = (request.due - self.begin) // BIN_US
        while len(self.bins) <= i:
            self.bins.append(Bin())
        return self.bins[i]

    def request_arrived(self, request: Request) -> None:
        """Records a request at the time it is due."""
        value = self.classes[request.request_class].worth
        interval = self.bin_of(request)
        interval.asked += 1
        interval.offered_value += value
        self.offered_by_class[request.request_class] += value

    def request_ended(self, request: Request) -> float:
        """Records the end of a request, served or not; returns the value that was lost."""
        settings = self.classes[request.request_class]
        interval = self.bin_of(request)
        interval.client_attempts += request.client_attempts
        interval.attempts += request.attempts
        self.work += request.work
        earned = 0.0
        if request.served:
            self.useful += request.useful
            interval.latencies.append(request.done_at - request.due)
            earned = settings.worth * (
                1.0 if request.done_at <= request.objective_at else settings.late_worth
            )
            if request.done_at > request.objective_at:
                request.cause = LATE
        elif request.done_at > request.objective_at:
            self.late_failed_value += settings.worth
        interval.served += request.served and request.done_at <= request.objective_at
        interval.served_value += earned
        self.earned_by_class[request.request_class] += earned
        if earned < settings.worth:
            interval.causes[request.cause] += settings.worth - earned  # type: ignore[assignment]
        return settings.worth - earned

    # ---- sums -----------------------------------------------------------------------------------------

    def merged_bins(self, length: int) -> list[Bin]:
        """Returns the bins, merged to bins of `length` microseconds."""
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
        """Returns the minimum share of value served in any window of the goal's length."""
        width = max(1, int(fixed_float(self.day.goal.window_s) * 1e6) // BIN_US)
        offered = np.array([interval.offered_value for interval in self.bins])
        earned = np.array([interval.served_value for interval in self.bins])
        if len(offered) > width:
            ones = np.ones(width)
            offered, earned = np.convolve(offered, ones, "valid"), np.convolve(earned, ones, "valid")
        else:
            offered, earned = offered.sum(keepdims=True), earned.sum(keepdims=True)
        shares = earned[offered > 0] / offered[offered > 0]
        return float(shares.min()) if len(shares) else 1.0

    def summary(self) -> dict[str, Any]:
        """Returns the account as result files have it: shares from 0 to 1, prices with their rates."""
        goal = self.day.goal
        offered, earned = sum(self.offered_by_class), sum(self.earned_by_class)
        requests = max(1, sum(interval.asked for interval in self.bins))
        total = earned / offered if offered else 1.0
        by_class = self.share_by_class()
        parts = (total, self.worst_window(), min(by_class.values(), default=1.0))
        weights = (fixed_float(goal.whole), fixed_float(goal.worst_window), fixed_float(goal.worst_class))
        mean = sum(w * p for w, p in zip(weights, parts, strict=True)) / (sum(weights) or 1.0)
        prices = self.prices(requests, offered)
        client_attempts = sum(interval.client_attempts for interval in self.bins)
        return {
            "goal": max(0.0, min(1.0, mean - sum(prices.values()))),
            "whole": parts[0],
            "worst_window": parts[1],
            "worst_class": parts[2],
            "classes": by_class,
            "prices": prices,
            "requests": requests,
            "tries_a_request": client_attempts / requests,
            "attempts_a_call": [a / c if c else 0.0 for a, c in zip(self.attempts, self.calls, strict=True)],
            "calls": self.calls,
            "refusals": self.rejections,
            "connections_dialled": self.dials,
            "latency_ms": self.latency_percentiles(),
            "lost": self.lost_shares(offered),
        }

    def share_by_class(self) -> dict[str, float]:
        """Returns the share of value that was served, for each class that had requests."""
        values = zip(self.day.request_classes, self.earned_by_class, self.offered_by_class, strict=True)
        return {c.name: earned / offered for c, earned, offered in values if offered}

    def prices(self, requests: int, offered: float) -> dict[str, float]:
        """Returns what traffic, wasted work and late failures cost, as shares of the value."""
        price = self.day.prices
        late_fail = fixed_float(price.late_fail) * self.late_failed_value / offered if offered else 0.0
        return {
            "cross_zone": fixed_float(price.cross_zone) * self.crossings / requests,
            "waste": fixed_float(price.waste) * max(0.0, self.work - self.useful) / max(self.useful, 1.0),
            "probe": fixed_float(price.probe) * self.probes / requests,
            "late_fail": late_fail,
            "handshake": fixed_float(price.handshake) * self.dials / requests,
        }

    def latency_percentiles(self) -> dict[str, float]:
        """Returns percentiles of the served requests' latency, in milliseconds."""
        latencies = np.array([v for interval in self.bins for v in interval.latencies]) / 1000
        if not len(latencies):
            return {}
        return {f"p{p:g}": float(np.percentile(latencies, p)) for p in SUMMARY_PERCENTILES}

    def lost_shares(self, offered: float) -> list[dict[str, Any]]:
        """Returns the share of value lost to each cause, the largest first."""
        lost: Counter[Cause] = Counter()
        for interval in self.bins:
            lost.update(interval.causes)
        return [
            {"cause": cause.reason, "tier": cause.tier, "share": value / offered}
            for cause, value in sorted(lost.items(), key=lambda item: (-item[1], item[0]))
        ]

    def table(self, length: int = TABLE_BIN_US) -> list[dict[str, Any]]:
        """Returns what was requested and served, one row for each `length` microseconds."""
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
                        {"cause": cause.reason, "tier": cause.tier, "worth": value}
                        for cause, value in sorted(interval.causes.items())
                    ],
                }
            )
        return rows
