"""Slow start: a server that has just started gets a growing share of the requests of a warm one.

A server is warming during its slow start and warm after it. The even share is the rate that each member of
the subset would get if the instance's requests were spread evenly.
"""

from __future__ import annotations

from math import exp

from balancer.policy.gradient import MAX_WINDOW_FACTOR, SAMPLE_WINDOW_US
from balancer.policy.interface import Settings
from balancer.policy.server import Server
from balancer.policy.subset import Subset

# While no member is warm, the rate of a warm member is assumed to be at most this multiple of the even share.
MAX_EVEN_SHARES = 2.5
# The time constant with which the peak rate of responses from a warm member decays.
PEAK_DECAY_TIME_S = 30.0
# The rate of a warm member is bounded by its rate of responses times this share of `fall_multiple`, which is
# the multiple of its capacity beyond which a server fails.
FALL_MULTIPLE_SHARE = 0.8


class SlowStart:
    """The limit on requests to warming members, as a share of the measured rate of a warm member.

    Rates are per second and per member.
    """

    def __init__(self, settings: Settings, subset: Subset) -> None:
        self.settings = settings
        self.subset = subset
        self.warm_rate = 0.0  # Smoothed rate of attempts sent to a warm member.
        self.warm_sent = 0
        self.served_rate = 0.0  # Smoothed rate of responses from a warm member.
        self.peak_served_rate = 0.0  # The decaying maximum of the served rate.
        self.warm_served = 0
        self.requests = 0  # The number of requests since `counted_since`, without clients' retries.
        self.counted_since = 0
        self.request_rate = 0.0  # Smoothed rate of requests to this instance.

    def count_request(self, now: int) -> None:
        """Update the request rate, which determines a server's share while no member is warm."""
        self.requests += 1
        span = now - self.counted_since
        if span >= SAMPLE_WINDOW_US * MAX_WINDOW_FACTOR:
            rate = self.requests * 1e6 / span
            weight = min(1.0, span / 2e6) if self.request_rate else 1.0
            self.request_rate += weight * (rate - self.request_rate)
            self.requests, self.counted_since = 0, now

    def measure_warm_rate(self, now: int, span: int) -> None:
        """Update the rates of warm members from their attempts and responses in the window ending now."""
        warm = 0
        for m in self.subset.members:
            warm += m.slow_start_until <= now and not m.ejected
        if warm:
            weight = min(1.0, span / 2e6)
            self.warm_rate += weight * (self.warm_sent * 1e6 / span / warm - self.warm_rate)
            self.served_rate += weight * (self.warm_served * 1e6 / span / warm - self.served_rate)
            decayed_peak = self.peak_served_rate * exp(-span / 1e6 / PEAK_DECAY_TIME_S)
            self.peak_served_rate = max(self.served_rate, decayed_peak)
        self.warm_sent = self.warm_served = 0

    def fair_rate(self, now: int) -> float:
        """Return the rate of requests that a warm member gets or, if no member is warm, would get.

        - If no member is warm, the rate is based on the even share of the requests. Otherwise a node that
          starts among warming servers would have no rate to take a share of, and would send nothing until
          the first server is warm. A multiple of the even share also bounds the rate, since the last warm
          members get all requests, and that rate would overload warming members.
        - If a member is warm, the rate is at most a multiple of its responses, because under overload warm
          members are sent several times what they can serve. If warm members do not respond at all, the
          even share applies.
        - The even share may exceed what a warm member can serve under overload, so the peak rate of
          responses bounds it in turn.
        """
        even = self.request_rate / max(1, len(self.subset.members))
        multiple = max(1.0, FALL_MULTIPLE_SHARE * self.settings.fall_multiple)
        peak = self.peak_served_rate or MAX_EVEN_SHARES * even
        if any(m.slow_start_until <= now and not m.ejected for m in self.subset.members):
            return min(self.warm_rate, max(multiple * self.served_rate, min(even, peak)))
        return min(max(self.warm_rate, even), MAX_EVEN_SHARES * even, multiple * peak)

    def may_send(self, now: int, server: Server) -> bool:
        """Return whether a server may get a request now, and take a token for it during slow start.

        A warming server gets its current share of a warm member's rate. Each request takes one token, and
        tokens accumulate at that rate. A server holds at most one token and starts with none, so that this
        instance stays within its part in any period. Otherwise all nodes together could overload the server.
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
