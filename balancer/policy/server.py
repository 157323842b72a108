"""What is known of one server: its state, and its averages of round-trips and failures."""

from __future__ import annotations

from balancer.policy.interface import ServerEntry
from balancer.policy.start_times import ServerStart

SMOOTH = 0.1  # weight of the newest sample in a server's averages
PRIOR = 3.0  # an average starts as if it had seen so many samples of its first value
SMOOTH_ALL = 0.02  # the same for averages over the entire subset
FADE = 5_000_000  # what is known of a member's speed is forgotten after so long without an outcome
FAIL_WEIGHT = 8  # a member that fails all its requests counts as so many times slower


class Average:
    """A running mean: plain while samples are few, exponential later. `prior` samples of `value` start it."""

    __slots__ = ("min_weight", "value", "weight")

    def __init__(self, value: float, prior: float, min_weight: float) -> None:
        self.value = value
        self.weight = prior
        self.min_weight = min_weight

    def add(self, sample: float) -> None:
        """Adds a sample."""
        self.weight += 1
        self.value += max(self.min_weight, 1 / self.weight) * (sample - self.value)


class Server:
    """What this instance knows of one server."""

    def __init__(self, entry: ServerEntry, kind: Average) -> None:
        self.id = entry.server
        self.kind_id = entry.kind
        self.kind = kind  # round-trips of servers of this kind, relative to the class's mean
        self.in_list = False
        self.member = False
        self.in_flight = 0
        self.uploads = 0  # attempts whose request bodies are still on their way
        self.ejected = False
        self.outside_limit = False  # its requests do not count against the limit
        self.probe_in_flight = False
        self.ready_at = -1
        self.last_outcome_at = 0
        self.cell = self.zone = 0
        self.reset(entry)

    def reset(self, entry: ServerEntry) -> None:
        """Forgets what was learned of the server's former process."""
        self.ready_at = entry.ready_at
        self.start = ServerStart(entry.ready_at, 0, running=False, clock_trusted=False)
        self.deviation = Average(1.0, PRIOR, SMOOTH)  # this server's round-trips, relative to its kind's
        self.failure_rate = 0.0
        self.rejection_rates: dict[int, float] = {}  # by class: share of requests rejected, smoothed
        self.consecutive_failures = 0
        self.calls = 0
        self.silent = False
        self.probe_at = 0
        self.ejections = 0
        self.slow_start_until = 0
        self.tokens = 0.0
        self.tokens_at = 0

    def slowness(self, now: int, request_class: int, mean_rtt: float) -> float:
        """The round-trip expected of it, relative to the mean: by its kind, its own past and its failures.

        Failure prevented: a member once found slow is never picked again, so its estimate is never renewed.
        What is its own fades while no outcome comes.
        Failure prevented: a member that rejects one class alone has few of its attempts in flight and wins
        picks.
        """
        fade = max(0.0, 1 - (now - self.last_outcome_at) / FADE)
        failing = self.failure_rate + self.rejection_rates.get(request_class, 0.0)
        own = self.deviation.value * (1 + FAIL_WEIGHT * failing)
        slowness = self.kind.value * (1 + (own - 1) * fade)
        if self.in_flight and now - self.last_outcome_at > mean_rtt:
            # Failure prevented: a member that has just slowed down looks as before until its attempts end.
            slowness *= (now - self.last_outcome_at) / mean_rtt
        return slowness

    def load(self, now: int, request_class: int, mean_rtt: float) -> float:
        """Attempts in flight, this one included, in expected time: the measure of a pick."""
        return (self.in_flight + 1) * self.slowness(now, request_class, mean_rtt)
