"""The published adaptive concurrency filter (Envoy's gradient controller), as its documentation describes it.

Source: "Adaptive Concurrency", the page PAPER. Statistics have the names of that page. The buffer, for which
the page gives no figure, is the filter's documented default.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, sqrt
from random import Random

from balancer.policy.interface import Actions, Outcome, Settings
from workbench.baselines.static import TwoChoices


@dataclass(frozen=True)
class GradientSettings:
    """The filter's parameters. Times are in microseconds, shares from 0 to 1."""

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
    """A concurrency limit over all servers. Callers pass in the time; the controller sets no timers.

    Args:
        settings: The filter's parameters.
        rng: Draws the jitter of the minRTT interval.
        now: The time in microseconds.

    Attributes:
        burst_queue_size: The headroom of the limit.
        rq_blocked: The number of requests that were not admitted.
    """

    def __init__(self, settings: GradientSettings, rng: Random, now: int) -> None:
        self.settings = settings
        self.rng = rng
        self.concurrency_limit = settings.min_concurrency
        self.gradient = 1.0
        self.burst_queue_size = 0.0
        self.min_rtt = 0.0
        self.sample_rtt = 0.0
        self.rq_blocked = 0
        self.in_flight = 0
        self.samples: list[int] = []
        self.window_start = now
        self.windows_at_minimum = 0
        self.limit_before_min_rtt = settings.min_concurrency
        self.is_measuring_min_rtt = True
        self.next_min_rtt = now

    @property
    def min_rtt_calculation_active(self) -> bool:
        """Whether the limit is at its minimum for a minRTT calculation."""
        return self.is_measuring_min_rtt

    def admits(self, now: int) -> bool:
        """Return whether a request is admitted; a request that is not counts as blocked."""
        self.close_window(now)
        if self.in_flight < self.concurrency_limit:
            return True
        self.rq_blocked += 1
        return False

    def sample(self, now: int, latency: int) -> None:
        """Record the round-trip time of a finished attempt, in microseconds."""
        self.samples.append(latency)
        if self.is_measuring_min_rtt:
            if len(self.samples) >= self.settings.min_rtt_request_count:
                self.finish_min_rtt(now)
        else:
            self.close_window(now)

    def close_window(self, now: int) -> None:
        """Update the limit if the window is over; a window without samples leaves it unchanged."""
        settings = self.settings
        if self.is_measuring_min_rtt or now < self.window_start + settings.concurrency_update_interval:
            return
        self.window_start = now
        if self.samples:
            self.sample_rtt = self.pop_percentile()
            unbounded_gradient = self.min_rtt * (1 + settings.min_rtt_buffer) / max(self.sample_rtt, 1.0)
            self.gradient = min(settings.max_gradient, max(settings.min_gradient, unbounded_gradient))
            limit = self.gradient * self.concurrency_limit
            self.burst_queue_size = sqrt(limit)
            self.set_limit(int(limit + self.burst_queue_size))
        if now >= self.next_min_rtt or self.windows_at_minimum >= settings.max_windows_at_minimum:
            self.start_min_rtt()

    def set_limit(self, limit: int) -> None:
        """Set the limit within its bounds, and count consecutive windows at the minimum."""
        settings = self.settings
        self.concurrency_limit = min(settings.max_concurrency_limit, max(settings.min_concurrency, limit))
        self.windows_at_minimum = (
            self.windows_at_minimum + 1 if self.concurrency_limit <= settings.min_concurrency else 0
        )

    def start_min_rtt(self) -> None:
        """Lower the limit to its minimum for a minRTT calculation."""
        self.is_measuring_min_rtt = True
        self.limit_before_min_rtt = self.concurrency_limit
        self.concurrency_limit = self.settings.min_concurrency
        self.samples.clear()

    def finish_min_rtt(self, now: int) -> None:
        """Set minRTT, restore the limit and draw the time of the next minRTT calculation."""
        settings = self.settings
        self.min_rtt = self.pop_percentile()
        self.is_measuring_min_rtt = False
        self.windows_at_minimum = 0
        self.concurrency_limit = self.limit_before_min_rtt
        self.window_start = now
        self.next_min_rtt = now + int(
            settings.min_rtt_interval * (1 + settings.min_rtt_jitter * self.rng.random())
        )

    def pop_percentile(self) -> float:
        """Return the percentile of the samples, and clear them."""
        self.samples.sort()
        value = self.samples[ceil(len(self.samples) * self.settings.sample_aggregate_percentile) - 1]
        self.samples.clear()
        return float(value)


class PublishedGradient(TwoChoices):
    """The filter, which rejects requests above the limit, and the less loaded of two random servers.

    Args:
        settings: The node's settings.
        seed: The seed of the random choices and the jitter.
        actions: Carries out the policy's decisions.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        super().__init__(settings, seed, actions)
        self.controller: GradientController | None = None

    def start(self, now: int) -> None:
        """Start the watch on the server list, and the controller."""
        super().start(now)
        self.controller = GradientController(GradientSettings(), self.rng, now)

    def admits(self, now: int, request_class: int, remaining: int) -> bool:
        """Return whether the limit admits a request."""
        return self.controller is not None and self.controller.admits(now)

    def on_attempt_sent(self, now: int, server: int) -> None:
        """Count an attempt that is sent, also against the limit."""
        super().on_attempt_sent(now, server)
        if self.controller is not None:
            self.controller.in_flight += 1

    def on_attempt_ended(self, now: int, server: int, outcome: Outcome, latency: int) -> None:
        """Count an attempt that has ended; record its latency if it succeeded or timed out."""
        super().on_attempt_ended(now, server, outcome, latency)
        if self.controller is not None:
            self.controller.in_flight -= 1
            if outcome in (Outcome.OK, Outcome.TIMEOUT):
                self.controller.sample(now, latency)
