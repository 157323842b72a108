"""The gradient controller: an adaptive limit on the attempts in flight of this instance.

The minRTT is the round-trip time of a class without queues. It is measured again from time to time while the
limit is held low, which is called a recalculation. The gradient is the factor by which a sampling window
changes the limit: the target for the round-trip time divided by the measured one. The headroom is the number
of attempts in flight that each window then adds to the limit. The floor is the lowest value of the limit.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil, sqrt
from random import Random

from balancer.policy.interface import Fleet, Standalone

# Parameters whose values are taken from Envoy's gradient controller.
SAMPLE_WINDOW_US = 100_000  # The minimum length of a sampling window.
RTT_QUANTILE = 0.9  # The quantile of the samples of a window or of a recalculation.
# The minimum limit, also during a recalculation. The minimum limits of all nodes add up to this number for
# each server.
MIN_LIMIT = 3
MIN_RTT_INTERVAL_US = 60_000_000
MIN_RTT_JITTER_RATIO = 0.1
# This number of consecutive windows at the minimum limit starts a minRTT recalculation.
MAX_WINDOWS_AT_FLOOR = 5
MIN_RECALCULATION_REQUESTS = 50
MIN_GRADIENT, MAX_GRADIENT = 0.5, 2.0

# Parameters that Envoy's design does not have.
# The limit for each idle member of the subset, also during a recalculation. An idle server can have several
# requests in flight that wait for the tiers behind it.
REQUESTS_PER_IDLE_MEMBER = 6
# A window that has reached its minimum length closes when it has this number of samples. With fewer samples
# it closes at the following multiple of its minimum length.
MIN_WINDOW_SAMPLES = 80
MAX_WINDOW_FACTOR = 10
# A window with fewer samples than this changes the limit in proportion to their number.
FULL_WEIGHT_SAMPLES = 8
MAX_SMOOTHING_TIME_US = 1_000_000  # The longest time over which attempts in flight are averaged.
# The minimum of the buffer, the tolerated increase of the round-trip time, relative to min_rtt. Envoy's name
# for this ratio is buffer_pct.
MIN_BUFFER_RATIO = 0.25
OBJECTIVE_SHARE = 0.5  # The buffer extends to this share of a class's latency objective.
MAX_TARGET_SHARE = 0.75  # The maximum of min_rtt + buffer as a share of the latency objective.
# A failure rate of the entire subset above this value counts as overload.
MAX_LOSS_RATE = 0.05
# The time constant of the sustained attempts in flight, their smoothed number while latency is good. After a
# start the time constant is STARTUP_SMOOTHING_RTTS mean round-trips if that is shorter.
SUSTAINED_SMOOTHING_TIME_US = 3_000_000
STARTUP_SMOOTHING_RTTS = 2
# The time constant with which the sustained attempts in flight decay while requests are lost.
SUSTAINED_DECAY_TIME_US = 12_000_000
# The maximum limit as a multiple of the sustained attempts in flight.
MAX_LIMIT_FACTOR = 2.0


def percentile(samples: list[float], share: float) -> float:
    """Return the nearest-rank percentile of a non-empty list, which is sorted in place."""
    samples.sort()
    return samples[ceil(len(samples) * share) - 1]


class SampleWindow:
    """The samples of the current sampling window, the time between two updates of the limit."""

    def __init__(self, now: int) -> None:
        self.rtts: list[float] = []  # Round-trip times relative to the target of their class.
        self.restart(now)

    def restart(self, now: int) -> None:
        """Open a new window."""
        self.rtts.clear()
        self.start = now
        self.in_flight_sum = self.latency_sum = 0


class GradientController:
    """The adaptive limit on this instance's attempts in flight, over its entire subset.

    The controller follows Envoy's adaptive concurrency filter. A sample is taken relative to the target of
    its class, min_rtt + buffer. With one class this is Envoy's gradient (min_rtt + buffer) / sample_rtt; with
    several classes, a change of their proportions does not look like overload. The buffer is at least
    min_rtt x MIN_BUFFER_RATIO, and large enough for the target to reach the `allowance`: the part of the
    class's latency objective that a round-trip may use, since a response within the latency objective
    has its full worth.

    Args:
        allowance: The allowance by class in microseconds.
        ceiling: The configured upper bound of the limit.
        rng: The source of the random variation of the time between recalculations.
        now: The time in microseconds.
        fleet: The coordination with other processes; None for a single process.
    """

    def __init__(
        self, allowance: Sequence[int], ceiling: int, rng: Random, now: int, fleet: Fleet | None = None
    ) -> None:
        self.fleet = fleet or Standalone()
        self.allowance = allowance
        self.min_rtt = [0.0] * len(allowance)
        self.target = [float(a) for a in allowance]
        self.floor = float(MIN_LIMIT)
        self.members = 1
        self.instances = 1.0
        self.instances_per_server = 1.0
        self.min_rtt_limit = float(MIN_LIMIT)
        self.ceiling = ceiling
        self.limit = float(MIN_LIMIT)
        self.in_flight = 0
        self.smoothed_in_flight = 0.0  # The mean of in_flight that is compared with the limit.
        self.smoothed_at = now
        # True until the first window in which latency is above target or less than half the limit is used.
        self.starting_up = True
        self.loss_rate = 0.0  # The smoothed share of requests that ended without a response.
        self.sustained_in_flight = 0.0  # The smoothed attempts in flight while latency was good.
        self.window = SampleWindow(now)
        self.sample_rtt = 0.0  # The last window's round-trip time relative to the target.
        self.gradient = 1.0
        self.windows_at_floor = 0
        self.rng = rng
        self.recalculations = 0
        self.start_recalculation(now)

    def resize(self, members: int, instances: float) -> None:
        """Update the bounds of the limit for the subset's size and the number of instances per member."""
        self.members = members
        self.instances = instances
        self.update_bounds()
        self.limit = max(self.limit, 2 * self.min_rtt_limit if self.recalculations == 0 else self.floor)

    def update_bounds(self) -> None:
        """Compute the minimum limit, and the number of instances that share the headroom.

        The headroom is the number of attempts by which the limit grows in each window. The minimum limit is
        divided among all instances. An instance with many requests in flight observes the overload that it
        causes, as Envoy assumes, and keeps the full headroom. If each instance has hardly one request in
        flight, the headroom is divided among the instances too. The limit during a recalculation is then
        divided by the square root of their number only, since an idle member takes one more request without
        queueing.
        """
        self.instances_per_server = max(1.0, self.instances / (1 + self.sustained_in_flight))
        self.floor = MIN_LIMIT * self.members / max(1.0, self.instances)
        self.min_rtt_limit = max(
            float(MIN_LIMIT), REQUESTS_PER_IDLE_MEMBER * self.members / sqrt(self.instances_per_server)
        )

    def headroom(self) -> float:
        """Return this instance's part of the headroom, the square root of all instances' limits together."""
        return sqrt(self.limit / self.instances_per_server)

    def record_in_flight(self, now: int, change: int = 0) -> None:
        """Update the smoothed attempts in flight, and record attempts that start or end (`change`).

        The smoothed number is compared with the limit. For an instance that shares its servers with no other
        it is the number of attempts in flight. Where many instances share them, it is the mean over up to
        MAX_SMOOTHING_TIME_US: an instance with less than one attempt in flight on average sometimes has two
        by chance, while all instances together do not, and rejecting the second request relieves no server.
        """
        span = (
            MAX_SMOOTHING_TIME_US
            * (1 - 1 / self.instances_per_server)
            * min(1.0, (MIN_LIMIT / self.limit) ** 2)
        )
        weight = (now - self.smoothed_at) / span if span > 0 else 1.0
        self.smoothed_in_flight += min(1.0, weight) * (self.in_flight - self.smoothed_in_flight)
        self.smoothed_at = now
        self.in_flight += change
        if span == 0:
            self.smoothed_in_flight = float(self.in_flight)

    def admits(self, now: int, reserved: float) -> bool:
        """Return whether a request may start if `reserved` times the headroom stays free below the limit."""
        self.record_in_flight(now)
        return self.smoothed_in_flight + reserved * self.headroom() < self.allowed()

    def allowed(self) -> float:
        """Return the limit in force, which is lower during a minRTT recalculation."""
        return min(self.limit, self.min_rtt_limit) if self.recalculating else self.limit

    def start_recalculation(self, now: int) -> None:
        """Begin a minRTT recalculation, which holds the limit low."""
        self.recalculating = True
        self.min_rtt_samples: list[list[float]] = [[] for _ in self.allowance]
        self.requests_to_measure = MIN_RECALCULATION_REQUESTS
        self.earliest_recalculation_end = now + SAMPLE_WINDOW_US * MAX_WINDOW_FACTOR
        self.windows_at_floor = 0

    def end_recalculation(self, now: int) -> None:
        """End the recalculation: set the minRTT and the target of each class that has enough samples."""
        for request_class, samples in enumerate(self.min_rtt_samples):
            if len(samples) >= MIN_LIMIT:
                self.min_rtt[request_class] = percentile(samples, RTT_QUANTILE)
                # A min_rtt measured under load would let queues grow beyond the latency objective.
                max_target = MAX_TARGET_SHARE / OBJECTIVE_SHARE * self.allowance[request_class]
                target = max(
                    self.min_rtt[request_class] * (1 + MIN_BUFFER_RATIO), self.allowance[request_class]
                )
                self.target[request_class] = min(target, max_target)
        self.recalculating = False
        self.fleet.min_rtt_recalculated()
        self.recalculations += 1
        self.next_recalculation_at = now + int(
            MIN_RTT_INTERVAL_US * (1 + MIN_RTT_JITTER_RATIO * self.rng.random())
        )
        self.window.restart(now)

    def sample(self, now: int, request_class: int, latency: int) -> None:
        """Record the latency of a response, or the duration of an attempt that timed out."""
        if self.recalculating:
            self.min_rtt_samples[request_class].append(latency)
            self.requests_to_measure -= 1
            # A recalculation must last for a minimum time. If it ended as soon as it has enough responses, it
            # would have measured the short requests only.
            if now >= self.earliest_recalculation_end + (
                0 if self.requests_to_measure <= 0 else 2 * SAMPLE_WINDOW_US * MAX_WINDOW_FACTOR
            ):
                self.end_recalculation(now)
            return
        window = self.window
        window.rtts.append(latency / self.target[request_class])
        window.in_flight_sum += self.in_flight
        window.latency_sum += latency
        self.close_window(now)

    def close_window(self, now: int) -> None:
        """Set the limit from the window and open a new window, if the window is long and full enough.

        At its maximum length a window closes even with few samples. A window without samples stays open and
        changes nothing.
        """
        window = self.window
        age = now - window.start
        count = len(window.rtts)
        if (
            age < SAMPLE_WINDOW_US
            or count == 0
            or (count < MIN_WINDOW_SAMPLES and age < SAMPLE_WINDOW_US * MAX_WINDOW_FACTOR)
        ):
            return
        self.sample_rtt = percentile(window.rtts, RTT_QUANTILE)
        self.gradient = min(MAX_GRADIENT, max(MIN_GRADIENT, 1.0 / max(self.sample_rtt, 1e-9)))
        limit = self.gradient * self.limit + self.headroom()
        # With little traffic the percentile of a window is that of a single request, which could halve the
        # limit.
        limit = self.limit + min(1.0, count / FULL_WEIGHT_SAMPLES) * (limit - self.limit)
        self.update_sustained_in_flight(age, count)
        window.restart(now)
        self.update_bounds()
        self.limit = max(min(limit, self.max_limit(), self.ceiling), self.min_limit(age))
        # Only windows in which the limit is at its floor count towards a recalculation. Any overload lowers
        # the limit to the sustained attempts in flight. If windows at that limit counted as well, one
        # recalculation would follow another.
        self.windows_at_floor = self.windows_at_floor + 1 if self.limit <= self.floor else 0
        due = self.windows_at_floor >= MAX_WINDOWS_AT_FLOOR or now >= self.next_recalculation_at
        if due and self.fleet.may_recalculate_min_rtt():
            self.start_recalculation(now)

    def update_sustained_in_flight(self, age: int, count: int) -> None:
        """Update the sustained attempts in flight, their smoothed number while latency is good.

        The sustained number starts at zero, so an instance that starts under full traffic would reject half
        of it for five seconds. Therefore the sustained number follows the attempts in flight within
        STARTUP_SMOOTHING_RTTS round-trips until the first window in which latency is above target or less
        than half the limit is used.
        """
        mean_in_flight = self.window.in_flight_sum / count
        span = SUSTAINED_SMOOTHING_TIME_US
        if self.sample_rtt > 1:
            self.starting_up = False
        elif self.starting_up:
            span = min(span, int(STARTUP_SMOOTHING_RTTS * self.window.latency_sum / count))
            self.starting_up = mean_in_flight >= 0.5 * self.limit
        if self.sample_rtt <= 1 and (
            mean_in_flight > self.sustained_in_flight or mean_in_flight < 0.8 * self.limit
        ):
            self.sustained_in_flight += min(1.0, age / max(span, 1)) * (
                mean_in_flight - self.sustained_in_flight
            )

    def max_limit(self) -> float:
        """Return the maximum limit.

        Latency does not confirm a limit that requests never reach. Without a maximum it would grow without
        bound in quiet times, and a burst would then meet no limit. So the maximum stays near twice the
        sustained attempts in flight, but is at least the limit for idle members. The limit for idle members
        is divided by the square root of the number of instances: the full limit at each of many instances
        would overload every server, but the bursts of instances coincide by chance only.
        """
        idle_limit = REQUESTS_PER_IDLE_MEMBER * self.members / sqrt(max(1.0, self.instances))
        return max(idle_limit, MAX_LIMIT_FACTOR * self.sustained_in_flight + MIN_LIMIT)

    def min_limit(self, age: int) -> float:
        """Return the minimum limit: the attempts in flight that were sustained while latency was good.

        When all servers are slow at once, a lower limit makes them no faster, and the gradient would reduce
        the limit until the fleet rejects nearly everything.
        """
        success_factor = (1 - self.loss_rate) ** 2 if self.loss_rate > MAX_LOSS_RATE else 1.0
        if self.sample_rtt > 1 and self.loss_rate > MAX_LOSS_RATE:
            # Servers that slow down under overload would stay overloaded at their previous load. If requests
            # are not only late but lost, fewer attempts in flight let the servers recover.
            self.sustained_in_flight -= min(1.0, age / SUSTAINED_DECAY_TIME_US) * self.sustained_in_flight
        return max(self.floor, self.sustained_in_flight * success_factor)
