"""How each zone does, judged by the outcomes of this node's own calls over the last window.

Times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from balancer.fleet.zone_routing.settings import ZoneSettings

MAX_CONNECT_TIMES = 16  # that are kept for a zone, the last ones
MIN_CALLS_TO_JUDGE_SERVER = 2


@dataclass
class CallCounter:
    """Outcomes of calls in a window.

    Attributes:
        calls: Calls that have ended.
        failures: Those that failed.
        latency: Latency of those that were answered, summed.
    """

    calls: int = 0
    failures: int = 0
    latency: int = 0

    @property
    def answered(self) -> int:
        """Calls that did not fail."""
        return self.calls - self.failures

    def record(self, ok: bool, latency: int) -> None:
        """Count one call."""
        self.calls += 1
        if ok:
            self.latency += latency
        else:
            self.failures += 1

    def add(self, other: CallCounter) -> None:
        """Add another counter's calls."""
        self.calls += other.calls
        self.failures += other.failures
        self.latency += other.latency


def total(counters: Mapping[int, CallCounter]) -> CallCounter:
    """Return the calls to all servers together."""
    result = CallCounter()
    for counter in counters.values():
        result.add(counter)
    return result


@dataclass
class ZoneEvidence:
    """What this node has seen of one zone.

    Attributes:
        current: Calls in the current window, by server.
        previous: Calls in the window before, by server.
        usual_latency: Smoothed latency in windows in which the zone did well; 0 if not known yet.
        consecutive_failures: The zone's last calls that failed, in a row.
        pace: The part of its usual work that the zone does, from 0 to 1.
        connect_times: How long the last connections took to come up.
    """

    current: dict[int, CallCounter] = field(default_factory=dict)
    previous: dict[int, CallCounter] = field(default_factory=dict)
    usual_latency: float = 0.0
    consecutive_failures: int = 0
    pace: float = 1.0
    connect_times: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_CONNECT_TIMES))

    def both_windows(self) -> dict[int, CallCounter]:
        """Return the calls of both windows by server: the current one alone may have just begun."""
        joined: dict[int, CallCounter] = {}
        for window in (self.previous, self.current):
            for server, counter in window.items():
                joined.setdefault(server, CallCounter()).add(counter)
        return joined

    def clear(self) -> None:
        """Forget the outcomes; the usual latency and the connect times stay."""
        self.current, self.previous = {}, {}
        self.consecutive_failures = 0
        self.pace = 1.0

    def close_window(self, span: int, settings: ZoneSettings) -> None:
        """Begin a new window after one of `span` microseconds, and follow the usual latency."""
        self.update_usual_latency(span, settings)
        self.previous, self.current = self.current, {}

    def update_usual_latency(self, span: int, settings: ZoneSettings) -> None:
        """Follow the current window's latency if the zone did well in it."""
        window = total(self.current)
        did_well = window.answered > window.calls * (1 - settings.failure_rate_threshold)
        if window.answered < settings.min_calls or not did_well:
            return
        mean = window.latency / window.answered
        if self.usual_latency == 0:
            self.usual_latency = mean
        elif mean < settings.slow_factor / 2 * self.usual_latency:
            # Failure prevented: a zone that slows down little by little counts as usual in the end.
            self.usual_latency += min(1.0, span / settings.baseline_time) * (mean - self.usual_latency)


@dataclass(frozen=True)
class Verdict:
    """The judgement on one zone, by two windows at most.

    Attributes:
        calls: Calls to the zone.
        answered: Those that did not fail.
        bad_share: Share of its judged servers that are bad.
        is_unreachable: Its last calls failed in a row, however few they were.
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
        """Return whether there were enough calls to judge the zone."""
        return self.is_unreachable or self.calls >= min_calls


class FailureEvidence:
    """What this node has seen of all zones, by the zones' names."""

    def __init__(self, settings: ZoneSettings, now: int) -> None:
        self.settings = settings
        self.zones: dict[str, ZoneEvidence] = {}
        self.window_began_at = now

    def of(self, zone: str) -> ZoneEvidence:
        """Return what was seen of a zone, empty at first."""
        return self.zones.setdefault(zone, ZoneEvidence())

    def record_outcome(self, zone: str, server: int, ok: bool, latency: int) -> None:
        """Record the end of a call."""
        evidence = self.of(zone)
        evidence.consecutive_failures = 0 if ok else evidence.consecutive_failures + 1
        evidence.current.setdefault(server, CallCounter()).record(ok, latency)

    def record_connection(self, zone: str, connect_time: int) -> None:
        """Record a connection to a server of the zone that came up."""
        self.of(zone).connect_times.append(connect_time)

    def clear(self, zone: str) -> None:
        """Forget the outcomes of calls to a zone: they show nothing of how it is after an evacuation."""
        self.of(zone).clear()

    def extra_round_trip(self, zone: str, home: str) -> int:
        """Return how much longer a round trip to a zone takes than one at home; 0 if it is not known."""
        there, here = self.of(zone).connect_times, self.of(home).connect_times
        return max(0, min(there) - min(here)) if there and here else 0

    def close_window_if_over(self, now: int) -> None:
        """Begin a new window once the current one has lasted for its time."""
        span = now - self.window_began_at
        if span < self.settings.window:
            return
        self.window_began_at = now
        for evidence in self.zones.values():
            evidence.close_window(span, self.settings)

    def pace(self, zone: str) -> float:
        """Return the part of its usual work that a zone did when it was last measured."""
        return self.of(zone).pace

    def measure_pace(self, zone: str) -> None:
        """Measure a zone's pace anew: the part of calls that are answered, and how fast.

        Small delays, which any load brings, do not count. Without calls the pace returns to 1 gradually.
        """
        settings, evidence = self.settings, self.of(zone)
        if evidence.consecutive_failures >= settings.consecutive_failures:
            evidence.pace = settings.initial_weight
            return
        counter = total(evidence.current)
        if counter.calls < settings.min_calls:
            counter = total(evidence.both_windows())
        if counter.calls < settings.min_calls:
            evidence.pace += settings.pace_recovery * (1 - evidence.pace)
            return
        mean = counter.latency / max(1, counter.answered)
        is_comparable = evidence.usual_latency and mean
        speed = min(1.0, settings.latency_slack * evidence.usual_latency / mean) if is_comparable else 1.0
        evidence.pace = max(settings.initial_weight, speed * counter.answered / counter.calls)

    def verdict(self, zone: str, ejected: Collection[int]) -> Verdict:
        """Judge a zone.

        Args:
            zone: The zone's name.
            ejected: Its servers that are ejected now; they count as bad.
        """
        evidence = self.of(zone)
        counters = evidence.both_windows()
        judged, bad = set(ejected), set(ejected)
        for server, counter in counters.items():
            if counter.calls < MIN_CALLS_TO_JUDGE_SERVER:
                continue
            judged.add(server)
            if self.is_bad(counter, evidence.usual_latency):
                bad.add(server)
        calls = total(counters)
        is_unreachable = evidence.consecutive_failures >= self.settings.consecutive_failures
        bad_share = len(bad) / len(judged) if judged else 0.0
        return Verdict(calls.calls, calls.answered, 1.0 if is_unreachable else bad_share, is_unreachable)

    def is_bad(self, counter: CallCounter, usual_latency: float) -> bool:
        """Return whether a server fails too many of its calls, or is far slower than is usual in its zone."""
        settings = self.settings
        if counter.failures >= settings.failure_rate_threshold * counter.calls:
            return True
        slowest_latency = settings.slow_factor * usual_latency * counter.answered
        return bool(usual_latency and counter.answered and counter.latency > slowest_latency)
