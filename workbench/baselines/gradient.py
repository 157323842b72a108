"""The published adaptive concurrency filter (Envoy's gradient controller), as its page states it, and no
more.

Source: "Adaptive Concurrency", the page PAPER. Statistics bear its names. Where the page gives no figure
(the buffer), the filter's documented default stands.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, sqrt
from random import Random

from balancer.policy.interface import Actions, Outcome, Settings
from workbench.baselines.plain import TwoDraws


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
    windows_at_minimum: int = 5
    gradient_least: float = 0.5
    gradient_most: float = 2.0


class GradientController:
    """One limit over all servers. Time comes with each call; nothing is scheduled."""

    def __init__(self, settings: GradientSettings, rng: Random, now: int) -> None:
        self.settings = settings
        self.rng = rng
        self.concurrency_limit = settings.min_concurrency
        self.gradient = 1.0
        self.burst_queue_size = 0.0  # the headroom
        self.min_rtt = 0.0
        self.sample_rtt = 0.0
        self.rq_blocked = 0
        self.in_flight = 0
        self.samples: list[int] = []
        self.window_start = now
        self.at_minimum = 0
        self.limit_before = settings.min_concurrency
        self.measuring = True
        self.next_min_rtt = now

    @property
    def min_rtt_calculation_active(self) -> bool:
        """Whether the limit is held at its least to measure minRTT."""
        return self.measuring

    def admits(self, now: int) -> bool:
        """Whether a call may start. A refusal counts as blocked."""
        self.roll(now)
        if self.in_flight < self.concurrency_limit:
            return True
        self.rq_blocked += 1
        return False

    def sample(self, now: int, latency: int) -> None:
        """A finished call's round-trip."""
        self.samples.append(latency)
        if self.measuring:
            if len(self.samples) >= self.settings.min_rtt_request_count:
                self.end_measuring(now)
        else:
            self.roll(now)

    def roll(self, now: int) -> None:
        """Closes a window that has lasted; an empty one changes nothing."""
        s = self.settings
        if self.measuring or now < self.window_start + s.concurrency_update_interval:
            return
        self.window_start = now
        if self.samples:
            self.sample_rtt = self.summary()
            raw = self.min_rtt * (1 + s.min_rtt_buffer) / max(self.sample_rtt, 1.0)
            self.gradient = min(s.gradient_most, max(s.gradient_least, raw))
            limit = self.gradient * self.concurrency_limit
            self.burst_queue_size = sqrt(limit)
            self.set_limit(int(limit + self.burst_queue_size))
        if now >= self.next_min_rtt or self.at_minimum >= s.windows_at_minimum:
            self.begin_measuring()

    def set_limit(self, limit: int) -> None:
        s = self.settings
        self.concurrency_limit = min(s.max_concurrency_limit, max(s.min_concurrency, limit))
        self.at_minimum = self.at_minimum + 1 if self.concurrency_limit <= s.min_concurrency else 0

    def begin_measuring(self) -> None:
        self.measuring = True
        self.limit_before = self.concurrency_limit
        self.concurrency_limit = self.settings.min_concurrency
        self.samples.clear()

    def end_measuring(self, now: int) -> None:
        s = self.settings
        self.min_rtt = self.summary()
        self.measuring = False
        self.at_minimum = 0
        self.concurrency_limit = self.limit_before
        self.window_start = now
        self.next_min_rtt = now + int(s.min_rtt_interval * (1 + s.min_rtt_jitter * self.rng.random()))

    def summary(self) -> float:
        """The percentile of the samples in hand, which are spent."""
        self.samples.sort()
        value = self.samples[ceil(len(self.samples) * self.settings.sample_aggregate_percentile) - 1]
        self.samples.clear()
        return float(value)


class PublishedGradient(TwoDraws):
    """The filter before all servers, its refusal at the limit, and two random draws behind it."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        super().__init__(settings, seed, actions)
        self.controller: GradientController | None = None

    def start(self, now: int) -> None:
        super().start(now)
        self.controller = GradientController(GradientSettings(), self.rng, now)

    def admits(self, now: int, klass: int, left: int) -> bool:
        return self.controller is not None and self.controller.admits(now)

    def began(self, now: int, server: int) -> None:
        super().began(now, server)
        if self.controller is not None:
            self.controller.in_flight += 1

    def ended(self, now: int, server: int, outcome: Outcome, latency: int) -> None:
        super().ended(now, server, outcome, latency)
        if self.controller is not None:
            self.controller.in_flight -= 1
            if outcome in (Outcome.OK, Outcome.TIMEOUT):
                self.controller.sample(now, latency)
