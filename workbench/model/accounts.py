"""Accounting of the value earned in a scenario: in total, per window, per class, and by cause of loss."""

from __future__ import annotations

from collections import Counter
from typing import Any

import numpy as np

from balancer.policy.interface import ClassSettings
from workbench.model.call import Cause, Request
from workbench.model.network import fixed_float
from workbench.scenario.model import Scenario

# Interval covered by one row of the result table.
TABLE_BIN_US = 5_000_000
# Resolution of the recorded sums, of the plots, and of the search for the worst window.
BIN_US = 1_000_000
LATE_RESPONSE = Cause("late", 0)
SUMMARY_PERCENTILES = (50, 90, 99)


class Bin:
    """Sums over the requests that were due in one interval of time."""

    __slots__ = (
        "attempts",
        "causes",
        "client_attempts",
        "latencies",
        "offered_value",
        "request_count",
        "served",
        "served_value",
    )

    def __init__(self) -> None:
        self.request_count = 0
        self.offered_value = 0.0
        self.served = 0
        self.served_value = 0.0
        self.client_attempts = 0
        self.attempts = 0
        # Lost value by cause.
        self.causes: Counter[Cause] = Counter()
        self.latencies: list[int] = []


class Accounts:
    """The outcomes of the clients' requests and the traffic counts that nodes report.

    Args:
        scenario: The scenario.
        classes: The settings of the request classes.
        begin_at: The time at which the scenario begins, in microseconds.
        tiers: The number of tiers.
    """

    def __init__(self, scenario: Scenario, classes: list[ClassSettings], begin_at: int, tiers: int) -> None:
        self.scenario = scenario
        self.classes = classes
        self.begin_at = begin_at
        self.bins: list[Bin] = []
        self.offered_by_class = [0.0] * len(classes)
        self.earned_by_class = [0.0] * len(classes)
        self.late_failed_value = 0.0
        self.work = 0.0
        self.useful_work = 0.0
        self.calls = [0] * tiers
        self.attempts = [0] * tiers
        self.rejections = [0] * tiers
        self.cross_zone_attempts = 0
        self.dials = 0
        self.probes = 0

    def bin_of(self, request: Request) -> Bin:
        """Return the bin that covers the time at which a request was due."""
        i = (request.due - self.begin_at) // BIN_US
        while len(self.bins) <= i:
            self.bins.append(Bin())
        return self.bins[i]

    def request_arrived(self, request: Request) -> None:
        """Count a request, and its value, as offered in the bin of its due time."""
        value = self.classes[request.request_class].worth
        interval = self.bin_of(request)
        interval.request_count += 1
        interval.offered_value += value
        self.offered_by_class[request.request_class] += value

    def request_ended(self, request: Request) -> float:
        """Record the end of a request, served or not, and return the value that was lost."""
        settings = self.classes[request.request_class]
        interval = self.bin_of(request)
        interval.client_attempts += request.client_attempts
        interval.attempts += request.attempts
        self.work += request.work
        earned = 0.0
        if request.served:
            self.useful_work += request.useful_work
            interval.latencies.append(request.done_at - request.due)
            earned = settings.worth * (
                1.0 if request.done_at <= request.objective_at else settings.late_worth
            )
            if request.done_at > request.objective_at:
                request.cause = LATE_RESPONSE
        elif request.done_at > request.objective_at:
            self.late_failed_value += settings.worth
        interval.served += request.served and request.done_at <= request.objective_at
        interval.served_value += earned
        self.earned_by_class[request.request_class] += earned
        if earned < settings.worth:
            interval.causes[request.cause] += settings.worth - earned  # type: ignore[assignment]
        return settings.worth - earned

    # ---- results --------------------------------------------------------------------------------------

    def merged_bins(self, length: int) -> list[Bin]:
        """Return the sums in bins of `length` microseconds, a multiple of `BIN_US`."""
        bins_per_row = length // BIN_US
        longer_bins = []
        for start in range(0, len(self.bins), bins_per_row):
            merged = Bin()
            for interval in self.bins[start : start + bins_per_row]:
                merged.request_count += interval.request_count
                merged.offered_value += interval.offered_value
                merged.served += interval.served
                merged.served_value += interval.served_value
                merged.client_attempts += interval.client_attempts
                merged.attempts += interval.attempts
                merged.causes.update(interval.causes)
                merged.latencies += interval.latencies
            longer_bins.append(merged)
        return longer_bins

    def worst_window(self) -> float:
        """Return the lowest ratio of earned to offered value in any window of the goal's length."""
        width = max(1, int(fixed_float(self.scenario.goal.window_s) * 1e6) // BIN_US)
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
        """Return the account in the format of result files; shares and deductions are from 0 to 1."""
        goal = self.scenario.goal
        offered, earned = sum(self.offered_by_class), sum(self.earned_by_class)
        requests = max(1, sum(interval.request_count for interval in self.bins))
        total = earned / offered if offered else 1.0
        by_class = self.share_by_class()
        scores = (total, self.worst_window(), min(by_class.values(), default=1.0))
        weights = (fixed_float(goal.whole), fixed_float(goal.worst_window), fixed_float(goal.worst_class))
        mean = sum(weight * score for weight, score in zip(weights, scores, strict=True)) / (
            sum(weights) or 1.0
        )
        prices = self.prices(requests, offered)
        client_attempts = sum(interval.client_attempts for interval in self.bins)
        return {
            "goal": max(0.0, min(1.0, mean - sum(prices.values()))),
            "whole": scores[0],
            "worst_window": scores[1],
            "worst_class": scores[2],
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
        """Return the ratio of earned to offered value for each class that had requests."""
        values = zip(self.scenario.request_classes, self.earned_by_class, self.offered_by_class, strict=True)
        return {settings.name: earned / offered for settings, earned, offered in values if offered}

    def prices(self, requests: int, offered: float) -> dict[str, float]:
        """Return the deductions from the goal for traffic, wasted work and late failures, by their key."""
        price = self.scenario.prices
        late_fail = fixed_float(price.late_fail) * self.late_failed_value / offered if offered else 0.0
        return {
            "cross_zone": fixed_float(price.cross_zone) * self.cross_zone_attempts / requests,
            "waste": fixed_float(price.waste)
            * max(0.0, self.work - self.useful_work)
            / max(self.useful_work, 1.0),
            "probe": fixed_float(price.probe) * self.probes / requests,
            "late_fail": late_fail,
            "handshake": fixed_float(price.handshake) * self.dials / requests,
        }

    def latency_percentiles(self) -> dict[str, float]:
        """Return percentiles of the latency of served requests, in milliseconds; empty if none was served."""
        latencies = np.array([v for interval in self.bins for v in interval.latencies]) / 1000
        if not len(latencies):
            return {}
        return {f"p{p:g}": float(np.percentile(latencies, p)) for p in SUMMARY_PERCENTILES}

    def lost_shares(self, offered: float) -> list[dict[str, Any]]:
        """Return the share of the offered value that was lost to each cause, largest first."""
        lost: Counter[Cause] = Counter()
        for interval in self.bins:
            lost.update(interval.causes)
        return [
            {"cause": cause.reason, "tier": cause.tier, "share": value / offered}
            for cause, value in sorted(lost.items(), key=lambda item: (-item[1], item[0]))
        ]

    def table(self, length: int = TABLE_BIN_US) -> list[dict[str, Any]]:
        """Return offered and served requests as rows that cover `length` microseconds each."""
        rows = []
        for i, interval in enumerate(self.merged_bins(length)):
            latencies = np.array(interval.latencies or [0]) / 1000
            rows.append(
                {
                    "at_s": i * length / 1e6,
                    "asked": interval.request_count,
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
