"""The published adaptive concurrency filter (Envoy's gradient controller), as its page describes it.

Source: "Adaptive Concurrency", the page PAPER. Statistics have its names. Where the page gives no figure
(the buffer), this is the filter's documented default.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, sqrt
from random import Random

from balancer.policy.interface import Actions, Outcome, Settings
from workbench.baselines.static import TwoChoices


@dataclass(frozen=True)
class GradientSettings:
    """The filter's parameters. Times in microseconds, shares from 0 to 1."""

    sample_aggregate_percentile: float = 0.9
    concurrency_update_interval: int = 100_000
    max_concurrency_limit: int = 1000
    min_concurrency: int = 3
    min_rtt_interval: int = 60_000_000
    min_rtt_request_count: int = 50
    min_rtt_jitter: float = 0.1
    min_rtt_buffer: float = 0.25
    max_windows_at_minimum: int = 5
    min_gradient: float = 0.5
    max_gradient: float = 2.0


class GradientController:
    """One concurrency limit over all servers. Time comes with each call; nothing is scheduled.

    Args:
        settings: The filter's parameters.
        rng: Draws the jitter of the minRTT interval.
        now: The time in microseconds.
    """

    def __init__(self, settings: GradientSettings, rng: Random, now: int) -> None:
        self.settings = settings
        self.rng = rng
        self.concurrency_limit = settings.min_concurrency
        self.gradient = 1.0
        self.burst_queue_size = 0.0  # the limit's headroom
        self.min_rtt = 0.0
        self.sample_rtt = 0.0
        self.rq_blocked = 0
        self.in_flight = 0
        self.samples: list[int] = []
        self.window_start = now
        self.windows_at_minimum = 0
        self.limit_before_min_rtt = settings.min_concurrency
        self.measures_min_rtt = True
        self.next_min_rtt = now

    @property
    def min_rtt_calculation_active(self) -> bool:
        """Whether the limit is at its minimum to measure minRTT."""
        return self.measures_min_rtt

    def admits(self, now: int) -> bool:
        """Whether a request may start. One that may not counts as blocked."""
        self.close_window(now)
        if self.in_flight < self.concurrency_limit:
            return True
        self.rq_blocked += 1
        return False

    def sample(self, now: int, latency: int) -> None:
        """Takes the round-trip time of a finished attempt."""
        self.samples.append(latency)
        if self.measures_min_rtt:
            if len(self.samples) >= self.settings.min_rtt_request_count:
                self.finish_min_rtt(now)
        else:
            self.close_window(now)

    def close_window(self, now: int) -> None:
        """Sets the limit where a window has lasted its time; an empty one changes nothing."""
        s = self.settings
        if self.measures_min_rtt or now < self.window_start + s.concurrency_update_interval:
            return
        self.window_start = now
        if self.samples:
            self.sample_rtt = self.take_percentile()
            raw = self.min_rtt * (1 + s.min_rtt_buffer) / max(self.sample_rtt, 1.0)
            self.gradient = min(s.max_gradient, max(s.min_gradient, raw))
            limit = self.gradient * self.concurrency_limit
            self.burst_queue_size = sqrt(limit)
            self.set_limit(int(limit + self.burst_queue_size))
        if now >= self.next_min_rtt or self.windows_at_minimum >= s.max_windows_at_minimum:
            self.start_min_rtt()

    def set_limit(self, limit: int) -> None:
        """Sets the limit within its bounds, and counts windows at the minimum."""
        s = self.settings
        self.concurrency_limit = min(s.max_concurrency_limit, max(s.min_concurrency, limit))
        self.windows_at_minimum = (
            self.windows_at_minimum + 1 if self.concurrency_limit <= s.min_concurrency else 0
        )

    def start_min_rtt(self) -> None:
        """Lowers the limit to its minimum for a minRTT calculation."""
        self.measures_min_rtt = True
        self.limit_before_min_rtt = self.concurrency_limit
        self.concurrency_limit = self.settings.min_concurrency
        self.samples.clear()

    def finish_min_rtt(self, now: int) -> None:
        """Sets minRTT, restores the limit and draws when to calculate it again."""
        s = self.settings
        self.min_rtt = self.take_percentile()
        self.measures_min_rtt = False
        self.windows_at_minimum = 0
        self.concurrency_limit = self.limit_before_min_rtt
        self.window_start = now
        self.next_min_rtt = now + int(s.min_rtt_interval * (1 + s.min_rtt_jitter * self.rng.random()))

    def take_percentile(self) -> float:
        """Returns the percentile of the samples, and clears them."""
        self.samples.sort()
        value = self.samples[ceil(len(self.samples) * self.settings.sample_aggregate_percentile) - 1]
        self.samples.clear()
        return float(value)


class PublishedGradient(TwoChoices):
    """The filter before all servers, which rejects at the limit, and two random choices behind it.

    Args:
        settings: The node's settings.
        seed: Of the random choices and the jitter.
        actions: Carries out what the policy decides.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        super().__init__(settings, seed, actions)
        self.controller: GradientController | None = None

    def start(self, now: int) -> None:
        """Starts the controller."""
        super().start(now)
        self.controller = GradientController(GradientSettings(), self.rng, now)

    def admits(self, now: int, request_class: int, remaining: int) -> bool:
        """Whether the limit admits a request."""
        return self.controller is not None and self.controller.admits(now)

    def on_attempt_sent(self, now: int, server: int) -> None:
        """Counts an attempt against the limit."""
        super().on_attempt_sent(now, server)
        if self.controller is not None:
            self.controller.in_flight += 1

    def on_attempt_ended(self, now: int, server: int, outcome: Outcome, latency: int) -> None:
        """Takes the latency of an attempt that was not cut short."""
        super().on_attempt_ended(now, server, outcome, latency)
        if self.controller is not None:
            self.controller.in_flight -= 1
            if outcome in (Outcome.OK, Outcome.TIMEOUT):
                self.controller.sample(now, latency)
