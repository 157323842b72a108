"""What a day was worth: over all, in its worst window, for its worst class; and where each lost point
went."""

from __future__ import annotations

from collections import Counter
from typing import Any

import numpy as np

from balancer.policy.interface import ClassSettings
from workbench.model.call import Request
from workbench.model.network import num
from workbench.scenario.model import Scenario

BIN = 5_000_000  # of the table by time
FINE = 1_000_000  # of the plot, and of the worst window's search
LATE = "late"


class Bin:
    """Some seconds of requests, by when they were due."""

    __slots__ = ("asked", "worth", "served_worth", "served", "tries", "attempts", "causes", "latencies")

    def __init__(self) -> None:
        self.asked = 0
        self.worth = 0.0
        self.served = 0
        self.served_worth = 0.0
        self.tries = 0
        self.attempts = 0
        self.causes: Counter[tuple[str, int]] = Counter()  # worth lost by cause and tier
        self.latencies: list[int] = []


class Accounts:
    """Sees how each client's request ended, and the traffic that was counted on its way."""

    def __init__(self, day: Scenario, classes: list[ClassSettings], begin: int, tiers: int) -> None:
        self.day = day
        self.classes = classes
        self.begin = begin
        self.fine: list[Bin] = []
        self.asked_worth = [0.0] * len(classes)
        self.got_worth = [0.0] * len(classes)
        self.late_fail = 0.0
        self.work = 0.0
        self.useful = 0.0
        self.calls = [0] * tiers
        self.attempts = [0] * tiers
        self.refusals = [0] * tiers
        self.crossings = 0
        self.dials = 0
        self.probes = 0

    def bin_of(self, request: Request) -> Bin:
        i = (request.due - self.begin) // FINE
        while len(self.fine) <= i:
            self.fine.append(Bin())
        return self.fine[i]

    def asked(self, request: Request) -> None:
        worth = self.classes[request.klass].worth
        b = self.bin_of(request)
        b.asked += 1
        b.worth += worth
        self.asked_worth[request.klass] += worth

    def ended(self, request: Request) -> float:
        """A request's end, served or not; returns the worth that was lost."""
        klass = self.classes[request.klass]
        b = self.bin_of(request)
        b.tries += request.tries
        b.attempts += request.attempts
        self.work += request.work
        got = 0.0
        if request.served:
            self.useful += request.useful
            b.latencies.append(request.done_at - request.due)
            got = klass.worth * (1.0 if request.done_at <= request.aim_at else klass.late_worth)
            if request.done_at > request.aim_at:
                request.cause = (LATE, 0)
        elif request.done_at > request.aim_at:
            self.late_fail += klass.worth
        b.served += request.served and request.done_at <= request.aim_at
        b.served_worth += got
        self.got_worth[request.klass] += got
        if got < klass.worth:
            b.causes[request.cause] += klass.worth - got  # type: ignore[assignment]
        return klass.worth - got

    # ---- sums -----------------------------------------------------------------------------------------

    def joined(self, length: int) -> list[Bin]:
        """The fine bins, joined to bins of `length` microseconds."""
        n = length // FINE
        out = []
        for start in range(0, len(self.fine), n):
            sum_ = Bin()
            for b in self.fine[start : start + n]:
                sum_.asked += b.asked
                sum_.worth += b.worth
                sum_.served += b.served
                sum_.served_worth += b.served_worth
                sum_.tries += b.tries
                sum_.attempts += b.attempts
                sum_.causes.update(b.causes)
                sum_.latencies += b.latencies
            out.append(sum_)
        return out

    def worst_window(self) -> float:
        """The least share of worth served in any window of the goal's length, by steps of a second."""
        width = max(1, int(num(self.day.goal.window_s) * 1e6) // FINE)
        worth = np.array([b.worth for b in self.fine])
        got = np.array([b.served_worth for b in self.fine])
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
        asked, got = sum(self.asked_worth), sum(self.got_worth)
        first = max(1, sum(b.asked for b in self.fine))
        whole = got / asked if asked else 1.0
        by_class = {
            c.name: g / a
            for c, g, a in zip(self.day.request_classes, self.got_worth, self.asked_worth, strict=True)
            if a
        }
        window = self.worst_window()
        worst = min(by_class.values(), default=1.0)
        prices = {
            "cross_zone": num(price.cross_zone) * self.crossings / first,
            "waste": num(price.waste) * max(0.0, self.work - self.useful) / max(self.useful, 1.0),
            "probe": num(price.probe) * self.probes / first,
            "late_fail": num(price.late_fail) * self.late_fail / asked if asked else 0.0,
            "handshake": num(price.handshake) * self.dials / first,
        }
        weights = (num(goal.whole), num(goal.worst_window), num(goal.worst_class))
        parts = (whole, window, worst)
        mixed = sum(w * p for w, p in zip(weights, parts, strict=True)) / (sum(weights) or 1.0)
        tries = sum(b.tries for b in self.fine)
        lost: Counter[tuple[str, int]] = Counter()
        for b in self.fine:
            lost.update(b.causes)
        latencies = np.array([v for b in self.fine for v in b.latencies]) / 1000
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
            "refusals": self.refusals,
            "connections_dialled": self.dials,
            "latency_ms": {
                f"p{p:g}": float(np.percentile(latencies, p)) for p in (50, 90, 99) if len(latencies)
            },
            "lost": [
                {"cause": cause, "tier": tier, "share": worth / asked}
                for (cause, tier), worth in sorted(lost.items(), key=lambda item: (-item[1], item[0]))
            ],
        }

    def table(self, length: int = BIN) -> list[dict[str, Any]]:
        """What came and went by `length` microseconds of the day."""
        rows = []
        for i, b in enumerate(self.joined(length)):
            latencies = np.array(b.latencies or [0]) / 1000
            rows.append(
                {
                    "at_s": i * length / 1e6,
                    "asked": b.asked,
                    "served": b.served,
                    "worth": b.worth,
                    "served_worth": b.served_worth,
                    "tries": b.tries,
                    "attempts": b.attempts,
                    "p50_ms": float(np.percentile(latencies, 50)),
                    "p99_ms": float(np.percentile(latencies, 99)),
                    "lost": [
                        {"cause": cause, "tier": tier, "worth": worth}
                        for (cause, tier), worth in sorted(b.causes.items())
                    ],
                }
            )
        return rows
