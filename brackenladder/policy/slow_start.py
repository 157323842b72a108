"""Slow start: a server that has just started gets less than a warm one, and more as it warms up."""

from __future__ import annotations

from brackenladder.interface import Settings
from brackenladder.policy.gradient import WINDOW, WINDOW_STRETCH
from brackenladder.policy.server import Server
from brackenladder.policy.subset import Subset

EVEN_MOST = 2.5  # with no warm member, a cold one takes its share of so many even parts of the requests


class SlowStart:
    """Measures what a warm member gets of this copy, and keeps cold ones to their part of it."""

    def __init__(self, settings: Settings, subset: Subset) -> None:
        self.settings = settings
        self.subset = subset
        self.warm_rate = 0.0  # sends a second to a warm member, smoothed
        self.warm_sent = 0
        self.asked = 0  # requests, without clients' repeats, since `asked_at`
        self.asked_at = 0
        self.ask_rate = 0.0  # of them a second, smoothed

    def count_asked(self, now: int) -> None:
        """Keeps the rate of requests, the measure of a server's share while no member is warm."""
        self.asked += 1
        span = now - self.asked_at
        if span >= WINDOW * WINDOW_STRETCH:
            rate = self.asked * 1e6 / span
            self.ask_rate += min(1.0, span / 2e6 if self.ask_rate else 1.0) * (rate - self.ask_rate)
            self.asked, self.asked_at = 0, now

    def measure_warm_rate(self, now: int, span: int) -> None:
        """Takes in the calls sent to warm members in the window that ends now."""
        warm = 0
        for m in self.subset.members:
            warm += m.cold_until <= now and not m.ejected
        if warm:
            rate = self.warm_sent * 1e6 / span / warm
            self.warm_rate += min(1.0, span / 2e6) * (rate - self.warm_rate)
        self.warm_sent = 0

    def fair_rate(self, now: int) -> float:
        """What a warm member gets of this copy, in calls a second; or would get, where none is warm.

        Failure prevented: a node that starts among servers that all are cold has seen no warm one, takes
        their share of nothing, and sends nothing until the first is warm.
        Failure prevented: the last warm members take all calls; what they got then pushes cold ones over.
        """
        if any(m.cold_until <= now and not m.ejected for m in self.subset.members):
            return self.warm_rate
        even = self.ask_rate / max(1, len(self.subset.members))
        return min(max(self.warm_rate, even), EVEN_MOST * even)

    def may_send(self, now: int, srv: Server) -> bool:
        """Slow start: a cold server takes its present share of what a warm member gets from this copy.

        Failure prevented: all nodes together push a cold server over. A bucket of one call that starts
        empty keeps this copy's part within any window.
        """
        if srv.cold_until <= now:
            return True
        s = self.settings
        warmth = s.cold_share + (1 - s.cold_share) * max(0.0, 1 - (srv.cold_until - now) / s.cold_time)
        srv.tokens = min(1.0, srv.tokens + self.fair_rate(now) * warmth * (now - srv.tokens_at) / 1e6)
        srv.tokens_at = now
        if srv.tokens < 1:
            return False
        srv.tokens -= 1
        return True
