"""Slow start: a server that has just started gets less than a warm one, and more as it warms up."""

from __future__ import annotations

from math import exp

from balancer.policy.gradient import MAX_WINDOW_MULTIPLE, WINDOW
from balancer.policy.interface import Settings
from balancer.policy.server import Server
from balancer.policy.subset import Subset

MAX_EVEN_SHARES = 2.5  # with no warm member, a warming one takes its share of so many even parts
PEAK_FADE = 30.0  # seconds in which the maximum that a warm member answered fades to a third
MAX_MULTIPLE_SHARE = 0.8  # of the multiple of warm members' responses beyond which a server is overloaded


class SlowStart:
    """Measures what a warm member gets of this instance, and limits warming ones to a part of it."""

    def __init__(self, settings: Settings, subset: Subset) -> None:
        self.settings = settings
        self.subset = subset
        self.warm_rate = 0.0  # sends a second to a warm member, smoothed
        self.warm_sent = 0
        self.served_rate = 0.0  # responses a second from a warm member, smoothed
        self.peak_served_rate = 0.0  # the maximum of that; it fades
        self.warm_served = 0
        self.requests = 0  # requests, without clients' repeats, since `counted_since`
        self.counted_since = 0
        self.request_rate = 0.0  # of them a second, smoothed

    def count_request(self, now: int) -> None:
        """Keeps the rate of requests, the measure of a server's share while no member is warm."""
        self.requests += 1
        span = now - self.counted_since
        if span >= WINDOW * MAX_WINDOW_MULTIPLE:
            rate = self.requests * 1e6 / span
            weight = min(1.0, span / 2e6) if self.request_rate else 1.0
            self.request_rate += weight * (rate - self.request_rate)
            self.requests, self.counted_since = 0, now

    def measure_warm_rate(self, now: int, span: int) -> None:
        """Records what warm members were sent and answered in the window that ends now."""
        warm = 0
        for m in self.subset.members:
            warm += m.slow_start_until <= now and not m.ejected
        if warm:
            weight = min(1.0, span / 2e6)
            self.warm_rate += weight * (self.warm_sent * 1e6 / span / warm - self.warm_rate)
            self.served_rate += weight * (self.warm_served * 1e6 / span / warm - self.served_rate)
            faded = self.peak_served_rate * exp(-span / 1e6 / PEAK_FADE)
            self.peak_served_rate = max(self.served_rate, faded)
        self.warm_sent = self.warm_served = 0

    def fair_rate(self, now: int) -> float:
        """What a warm member gets of this instance, in requests a second; or would get, where none is warm.

        Failure prevented: a node that starts among servers that are all warming up has seen no warm one,
        takes their share of nothing, and sends nothing until the first is warm.
        Failure prevented: the last warm members get all requests; their rate then overloads warming ones.
        Failure prevented: under overload they are sent several times what they can do, and what they reject
        sets the pace of warming ones. A multiple of what they answer bounds it, or an even part where they
        hang.
        Failure prevented: the even part under overload is more than a warm member can do. The maximum of what
        one answered bounds it in turn.
        """
        even = self.request_rate / max(1, len(self.subset.members))
        multiple = max(1.0, MAX_MULTIPLE_SHARE * self.settings.fall_multiple)
        peak = self.peak_served_rate or MAX_EVEN_SHARES * even
        if any(m.slow_start_until <= now and not m.ejected for m in self.subset.members):
            return min(self.warm_rate, max(multiple * self.served_rate, min(even, peak)))
        return min(max(self.warm_rate, even), MAX_EVEN_SHARES * even, multiple * peak)

    def may_send(self, now: int, server: Server) -> bool:
        """Whether a server may get a request now, which in slow start costs one of its tokens.

        A warming server gets its present share of what a warm member gets of this instance.

        Failure prevented: all nodes together overload a warming server. A bucket of one request that starts
        empty keeps this instance's part within any window.
        """
        if server.slow_start_until <= now:
            return True
        s = self.settings
        warmth = s.slow_start_share + (1 - s.slow_start_share) * max(
            0.0, 1 - (server.slow_start_until - now) / s.slow_start_time
        )
        server.tokens = min(
            1.0, server.tokens + self.fair_rate(now) * warmth * (now - server.tokens_at) / 1e6
        )
        server.tokens_at = now
        if server.tokens < 1:
            return False
        server.tokens -= 1
        return True
