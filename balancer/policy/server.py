"""The state of one server, and its averages of round-trip times and failures."""

from __future__ import annotations

from balancer.policy.interface import ServerEntry
from balancer.policy.start_times import ServerStart

SERVER_SAMPLE_WEIGHT = 0.1  # The weight of a new sample in the averages of one server.
PRIOR_WEIGHT = 3.0  # The number of samples that the initial value of an average stands for.
SUBSET_SAMPLE_WEIGHT = 0.02  # The weight of a new sample in averages over the entire subset.
# A member's measured speed has no effect after this time without an outcome.
DEVIATION_DECAY_TIME_US = 5_000_000
# If a member fails or rejects all its requests, its slowness grows by this multiple of itself.
FAILURE_SLOWNESS_FACTOR = 8


class Average:
    """A running mean of samples, arithmetic at first and exponential later.

    Args:
        value: The initial value.
        prior: The number of samples that the initial value stands for.
        min_weight: The minimum weight of a new sample, which the mean reaches as samples accumulate.
    """

    __slots__ = ("min_weight", "value", "weight")

    def __init__(self, value: float, prior: float, min_weight: float) -> None:
        self.value = value
        self.weight = prior
        self.min_weight = min_weight

    def add(self, sample: float) -> None:
        """Update the mean with a new sample."""
        self.weight += 1
        self.value += max(self.min_weight, 1 / self.weight) * (sample - self.value)


class Server:
    """This instance's view of one server."""

    def __init__(self, entry: ServerEntry, kind: Average) -> None:
        self.id = entry.server
        self.kind_id = entry.kind
        # Round-trip times of servers of this kind, relative to the mean of the class.
        self.kind = kind
        self.in_list = False
        self.member = False
        self.in_flight = 0
        self.uploads = 0  # The number of attempts whose request bodies are being uploaded.
        self.ejected = False
        self.outside_limit = False  # Attempts on this server do not count against the limit.
        self.probe_in_flight = False
        self.ready_at = -1
        self.last_outcome_at = 0
        self.cell = self.zone = 0
        self.reset(entry)

    def reset(self, entry: ServerEntry) -> None:
        """Reset the measurements and the ejection state, which belong to the server's earlier process."""
        self.ready_at = entry.ready_at
        self.start = ServerStart(entry.ready_at, 0, running=False, clock_trusted=False)
        # Round-trip times of this server, relative to those of its kind.
        self.deviation = Average(1.0, PRIOR_WEIGHT, SERVER_SAMPLE_WEIGHT)
        self.failure_rate = 0.0
        self.rejection_rates: dict[int, float] = {}  # Smoothed share of rejected requests by class.
        self.consecutive_failures = 0
        self.outcome_count = 0
        self.silent = False
        self.probe_at = 0
        self.ejections = 0
        self.slow_start_until = 0
        self.tokens = 0.0
        self.tokens_at = 0

    def slowness(self, now: int, request_class: int, mean_rtt: float) -> float:
        """Return the expected round-trip time relative to the mean, by kind, measurements and failures.

        The server's own measurements decay while it has no outcomes. Without the decay a member once
        measured as slow would never be picked, and its estimate would never be updated. Rejections count
        by class, since a member that rejects one class has few of its attempts in flight and would
        otherwise be picked for it.
        """
        confidence = max(0.0, 1 - (now - self.last_outcome_at) / DEVIATION_DECAY_TIME_US)
        unserved_rate = self.failure_rate + self.rejection_rates.get(request_class, 0.0)
        measured_slowness = self.deviation.value * (1 + FAILURE_SLOWNESS_FACTOR * unserved_rate)
        slowness = self.kind.value * (1 + (measured_slowness - 1) * confidence)
        if self.in_flight and now - self.last_outcome_at > mean_rtt:
            # A member that has just slowed down shows no change in its averages until its attempts end, so
            # the time since its last outcome counts too.
            slowness *= (now - self.last_outcome_at) / mean_rtt
        return slowness

    def load(self, now: int, request_class: int, mean_rtt: float) -> float:
        """Return the attempts in flight, including the attempt to be placed, times the slowness."""
        return (self.in_flight + 1) * self.slowness(now, request_class, mean_rtt)
