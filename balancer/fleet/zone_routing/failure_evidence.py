"""The health of each zone, assessed by the outcomes of this node's own calls in the last two windows.

A window is a period of fixed length over which the outcomes of calls are counted. The baseline latency of a
zone is its usual latency while it is healthy. Times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from balancer.fleet.zone_routing.settings import ZoneSettings

# Number of most recent connect times that are stored for a zone.
MAX_CONNECT_TIMES = 16
# Number of calls in the last two windows from which a server counts as assessed.
MIN_CALLS_TO_ASSESS_SERVER = 2


@dataclass
class CallCounter:
    """Outcomes of calls in a window, a period over which they are counted.

    Attributes:
        calls: Number of completed calls.
        failures: Number of failed calls.
        latency: Sum of the latencies of the answered calls in microseconds.
    """

    calls: int = 0
    failures: int = 0
    latency: int = 0

    @property
    def answered(self) -> int:
        """The number of calls that did not fail."""
        return self.calls - self.failures

    def record(self, ok: bool, latency: int) -> None:
        """Count one call; the latency is added only if the call succeeded."""
        self.calls += 1
        if ok:
            self.latency += latency
        else:
            self.failures += 1

    def add(self, other: CallCounter) -> None:
        """Add the counts of another counter to this one."""
        self.calls += other.calls
        self.failures += other.failures
        self.latency += other.latency


def sum_counters(counters: Mapping[int, CallCounter]) -> CallCounter:
    """Return the sum of the counters of all servers."""
    result = CallCounter()
    for counter in counters.values():
        result.add(counter)
    return result


@dataclass
class ZoneEvidence:
    """Outcomes of this node's calls to one zone, and what is derived from them.

    Attributes:
        current: Calls in the current window, by server.
        previous: Calls in the previous window, by server.
        baseline_latency: Smoothed latency of windows in which the zone was healthy; 0 if still unknown.
        consecutive_failures: Number of failed calls since the last success.
        performance: Share of answered calls times speed relative to the baseline latency, from 0 to 1.
        connect_times: Times in microseconds that opening the last connections took.
    """

    current: dict[int, CallCounter] = field(default_factory=dict)
    previous: dict[int, CallCounter] = field(default_factory=dict)
    baseline_latency: float = 0.0
    consecutive_failures: int = 0
    performance: float = 1.0
    connect_times: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_CONNECT_TIMES))

    def both_windows(self) -> dict[int, CallCounter]:
        """Return the outcomes of calls in the current and the previous window, by server.

        The previous window is included since the current one may have just begun.
        """
        joined: dict[int, CallCounter] = {}
        for window in (self.previous, self.current):
            for server, counter in window.items():
                joined.setdefault(server, CallCounter()).add(counter)
        return joined

    def clear(self) -> None:
        """Discard the outcomes of calls to the zone, but not its baseline latency and connect times."""
        self.current, self.previous = {}, {}
        self.consecutive_failures = 0
        self.performance = 1.0

    def close_window(self, span: int, settings: ZoneSettings) -> None:
        """End the current window, which lasted `span` microseconds, and update the baseline latency."""
        self.update_baseline_latency(span, settings)
        self.previous, self.current = self.current, {}

    def update_baseline_latency(self, span: int, settings: ZoneSettings) -> None:
        """Update the baseline latency from the current window if the zone was healthy in it."""
        window = sum_counters(self.current)
        is_healthy = window.answered > window.calls * (1 - settings.failure_rate_threshold)
        if window.answered < settings.min_calls or not is_healthy:
            return
        mean = window.latency / window.answered
        if self.baseline_latency == 0:
            self.baseline_latency = mean
        elif mean < settings.slow_factor / 2 * self.baseline_latency:
            # Windows far above the baseline are skipped. Otherwise the slow latency of a zone that slows down
            # gradually would become its baseline.
            self.baseline_latency += min(1.0, span / settings.baseline_time) * (mean - self.baseline_latency)


@dataclass(frozen=True)
class ZoneAssessment:
    """The assessment of one zone by the calls of the current and the previous window.

    Attributes:
        calls: Number of calls to the zone.
        answered: Number of calls that did not fail.
        bad_share: Share of bad servers among the zone's assessed servers.
        is_unreachable: Whether so many of the last calls to the zone failed in a row that it counts as
            unreachable.
    """

    calls: int
    answered: int
    bad_share: float
    is_unreachable: bool

    @property
    def is_mostly_answered(self) -> bool:
        """Whether more than half of the calls were answered."""
        return 2 * self.answered > self.calls

    def is_conclusive(self, min_calls: int) -> bool:
        """Return whether there is enough evidence to assess the zone."""
        return self.is_unreachable or self.calls >= min_calls


class FailureEvidence:
    """Outcomes of this node's calls to all zones."""

    def __init__(self, settings: ZoneSettings, now: int) -> None:
        self.settings = settings
        self.zones: dict[str, ZoneEvidence] = {}
        self.window_began_at = now

    def get_or_create(self, zone: str) -> ZoneEvidence:
        """Return the evidence on a zone; it is empty for a new zone."""
        return self.zones.setdefault(zone, ZoneEvidence())

    def record_outcome(self, zone: str, server: int, ok: bool, latency: int) -> None:
        """Record the outcome of a call."""
        evidence = self.get_or_create(zone)
        evidence.consecutive_failures = 0 if ok else evidence.consecutive_failures + 1
        evidence.current.setdefault(server, CallCounter()).record(ok, latency)

    def record_connection(self, zone: str, connect_time: int) -> None:
        """Record the time in microseconds that opening a connection to a server of the zone took."""
        self.get_or_create(zone).connect_times.append(connect_time)

    def clear(self, zone: str) -> None:
        """Discard the outcomes of calls to a zone, which do not reflect its state after an evacuation."""
        self.get_or_create(zone).clear()

    def extra_round_trip(self, zone: str, home: str) -> int:
        """Return the extra time of a round trip to a zone over one in the home zone; 0 if unknown."""
        remote, local = self.get_or_create(zone).connect_times, self.get_or_create(home).connect_times
        return max(0, min(remote) - min(local)) if remote and local else 0

    def close_window_if_ended(self, now: int) -> None:
        """Begin a new window if the current one has ended."""
        span = now - self.window_began_at
        if span < self.settings.window:
            return
        self.window_began_at = now
        for evidence in self.zones.values():
            evidence.close_window(span, self.settings)

    def performance(self, zone: str) -> float:
        """Return the last measured performance of a zone, from 0 to 1; see `measure_performance`."""
        return self.get_or_create(zone).performance

    def measure_performance(self, zone: str) -> None:
        """Measure a zone's performance: the share of answered calls times their speed.

        The speed is relative to the zone's baseline latency, its usual latency while it is healthy. Small
        delays, which occur under any load, are ignored. Without enough calls the performance gradually
        returns to 1.
        """
        settings, evidence = self.settings, self.get_or_create(zone)
        if evidence.consecutive_failures >= settings.consecutive_failures:
            evidence.performance = settings.initial_weight
            return
        counter = sum_counters(evidence.current)
        if counter.calls < settings.min_calls:
            counter = sum_counters(evidence.both_windows())
        if counter.calls < settings.min_calls:
            evidence.performance += settings.performance_recovery * (1 - evidence.performance)
            return
        mean = counter.latency / max(1, counter.answered)
        is_comparable = evidence.baseline_latency and mean
        speed = min(1.0, settings.latency_slack * evidence.baseline_latency / mean) if is_comparable else 1.0
        evidence.performance = max(settings.initial_weight, speed * counter.answered / counter.calls)

    def assess(self, zone: str, ejected: Collection[int]) -> ZoneAssessment:
        """Assess a zone by the outcomes of calls to its servers.

        Args:
            zone: The zone's name.
            ejected: The zone's servers that the policy has ejected; they count as bad.
        """
        evidence = self.get_or_create(zone)
        counters = evidence.both_windows()
        assessed, bad = set(ejected), set(ejected)
        for server, counter in counters.items():
            if counter.calls < MIN_CALLS_TO_ASSESS_SERVER:
                continue
            assessed.add(server)
            if self.is_bad(counter, evidence.baseline_latency):
                bad.add(server)
        all_calls = sum_counters(counters)
        is_unreachable = evidence.consecutive_failures >= self.settings.consecutive_failures
        bad_share = len(bad) / len(assessed) if assessed else 0.0
        return ZoneAssessment(
            all_calls.calls, all_calls.answered, 1.0 if is_unreachable else bad_share, is_unreachable
        )

    def is_bad(self, counter: CallCounter, baseline_latency: float) -> bool:
        """Return whether a server's failure rate is too high or its latency far above the zone's baseline."""
        settings = self.settings
        if counter.failures >= settings.failure_rate_threshold * counter.calls:
            return True
        slowest_latency = settings.slow_factor * baseline_latency * counter.answered
        return bool(baseline_latency and counter.answered and counter.latency > slowest_latency)
