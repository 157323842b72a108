"""The gradient controller: an adaptive limit on the attempts in flight of this instance."""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil, sqrt
from random import Random

from balancer.policy.interface import Fleet, Standalone

# The source's figures, kept as they are.
WINDOW = 100_000  # minimum length of a sampling window
PERCENTILE = 0.9  # of a window's samples, and of a recalculation's
MIN_LIMIT = 3  # of the limit, in a recalculation too; for all nodes together, requests a member
MIN_RTT_INTERVAL = 60_000_000
MIN_RTT_JITTER = 0.1
WINDOWS_AT_MIN = 5  # so many windows at the floor start a minRTT recalculation
MIN_RTT_CALLS = 50  # so many requests make a recalculation
GRADIENT_LOW, GRADIENT_HIGH = 0.5, 2.0  # one window moves the limit by this much at most

# What the design leaves open.
CALLS_PER_MEMBER = 6  # in a recalculation: an idle server holds some that wait for the tiers behind it
WINDOW_SAMPLES = 80  # a window stays open until it holds so many samples...
MAX_WINDOW_MULTIPLE = 10  # ...or has lasted so many times its minimum length
FULL_WINDOW = 8  # fewer samples move the limit by their part of this only
MAX_SMOOTHING_TIME = 1_000_000  # the longest time over which attempts in flight are averaged
BUFFER = 0.25  # minimum buffer_pct
OBJECTIVE_SHARE = 0.5  # the buffer reaches up to this share of a class's latency objective
MAX_TARGET_SHARE = 0.75  # min_rtt + B stays within this share of it
MAX_LOST_SHARE = 0.05  # when more of the entire subset's requests fail, failures count as overload
USUAL_TIME = 3_000_000  # over so long the usual number of attempts in flight is smoothed
STARTUP_RTTS = 2  # ...and, after a start, over so many mean round-trips
USUAL_FADE = 12_000_000  # over so long it is given up while requests are lost
MAX_LIMIT_OVER_USUAL = 2.0  # the limit stays within so many times that number


def percentile(samples: list[float], share: float) -> float:
    """The nearest-rank percentile of a non-empty list, which is sorted in place."""
    samples.sort()
    return samples[ceil(len(samples) * share) - 1]


class SampleWindow:
    """The samples of the sampling window that is open."""

    def __init__(self, now: int) -> None:
        self.rtts: list[float] = []  # relative to min_rtt + B
        self.restart(now)

    def restart(self, now: int) -> None:
        """Opens a new window."""
        self.rtts.clear()
        self.start = now
        self.flight_sum = self.latency_sum = 0


class GradientController:
    """The adaptive limit on this instance's attempts in flight, over its entire subset.

    A sample counts relative to what its class can bear, min_rtt + B. With one class this is the source's
    gradient (min_rtt + B) / sample_rtt; with several, a shift of their mix no longer looks like overload. B =
    min_rtt x buffer_pct, where buffer_pct is BUFFER or more: as much as lets min_rtt + B reach `allowance`,
    the part of the class's latency objective that a round-trip may use up, since a response within the
    latency objective has its full worth.
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
        self.smoothed_in_flight = 0.0  # what the limit is set against
        self.smoothed_at = now
        self.starting_up = True  # since the start the limit bound, and no window was above target
        self.loss_rate = 0.0  # share of requests that ended without a response, smoothed
        self.usual_in_flight = 0.0  # attempts in flight while latency was good, smoothed
        self.window = SampleWindow(now)
        self.sample_rtt = 0.0  # relative to min_rtt + B
        self.gradient = 1.0
        self.windows_at_floor = 0
        self.rng = rng
        self.recalculations = 0
        self.start_recalculation(now)

    def resize(self, members: int, instances: float) -> None:
        """Updates the bounds for the subset's size and of the number of instances that share each member."""
        self.members = members
        self.instances = instances
        self.update_bounds()
        self.limit = max(self.limit, 2 * self.min_rtt_limit if self.recalculations == 0 else self.floor)

    def update_bounds(self) -> None:
        """How many instances share what this one may do: fewer, the more requests it has in flight itself.

        The floor is that of all instances together. An instance with many requests in flight feels the
        overload it makes, as the source has it. Where each has hardly one, the headroom is that of all
        instances together too, and so, by the root of their number, is a recalculation's: an idle member adds
        a request without queueing.
        """
        self.instances_per_server = max(1.0, self.instances / (1 + self.usual_in_flight))
        self.floor = MIN_LIMIT * self.members / max(1.0, self.instances)
        self.min_rtt_limit = max(
            float(MIN_LIMIT), CALLS_PER_MEMBER * self.members / sqrt(self.instances_per_server)
        )

    def headroom(self) -> float:
        """The square root of the limit, for all instances that share the servers: each adds its part."""
        return sqrt(self.limit / self.instances_per_server)

    def record_in_flight(self, now: int, change: int = 0) -> None:
        """Brings the level up to date and records requests that start (or end).

        The level is what the limit is set against. For an instance that has its servers to itself it is its
        attempts in flight. Where many instances share them, it is their mean over a time, up to
        MAX_SMOOTHING_TIME.
        Failure prevented: an instance with less than one attempt in flight on average has two at times by
        chance alone; all instances together have not, and rejecting the second request gives no server any
        rest.
        """
        span = (
            MAX_SMOOTHING_TIME * (1 - 1 / self.instances_per_server) * min(1.0, (MIN_LIMIT / self.limit) ** 2)
        )
        part = (now - self.smoothed_at) / span if span > 0 else 1.0
        self.smoothed_in_flight += min(1.0, part) * (self.in_flight - self.smoothed_in_flight)
        self.smoothed_at = now
        self.in_flight += change
        if span == 0:
            self.smoothed_in_flight = float(self.in_flight)

    def admits(self, now: int, spare: float) -> bool:
        """Whether a request may start, `spare` headrooms below the limit."""
        self.record_in_flight(now)
        return self.smoothed_in_flight + spare * self.headroom() < self.allowed()

    def allowed(self) -> float:
        """The limit in force: the gradient's, or the recalculation's while one is on."""
        return min(self.limit, self.min_rtt_limit) if self.recalculating else self.limit

    def start_recalculation(self, now: int) -> None:
        """Begins to measure minRTT anew, with the limit held low."""
        self.recalculating = True
        self.min_rtt_samples: list[list[float]] = [[] for _ in self.allowance]
        self.min_rtt_calls = MIN_RTT_CALLS
        self.min_rtt_until = now + WINDOW * MAX_WINDOW_MULTIPLE
        self.windows_at_floor = 0

    def end_recalculation(self, now: int) -> None:
        """Takes the minRTT measured for each class that has enough samples, and sets its target."""
        for request_class, samples in enumerate(self.min_rtt_samples):
            if len(samples) >= MIN_LIMIT:
                self.min_rtt[request_class] = percentile(samples, PERCENTILE)
                # Failure prevented: a min_rtt measured under load lets queues outgrow the objective.
                max_target = MAX_TARGET_SHARE / OBJECTIVE_SHARE * self.allowance[request_class]
                target = max(self.min_rtt[request_class] * (1 + BUFFER), self.allowance[request_class])
                self.target[request_class] = min(target, max_target)
        self.recalculating = False
        self.fleet.min_rtt_recalculated()
        self.recalculations += 1
        self.next_recalculation = now + int(MIN_RTT_INTERVAL * (1 + MIN_RTT_JITTER * self.rng.random()))
        self.window.restart(now)

    def sample(self, now: int, request_class: int, latency: int) -> None:
        """A served request's latency, or the timeout of one that timed out."""
        if self.recalculating:
            self.min_rtt_samples[request_class].append(latency)
            self.min_rtt_calls -= 1
            # Failure prevented: a recalculation that ends at its last response has seen the short ones only.
            if now >= self.min_rtt_until + (
                0 if self.min_rtt_calls <= 0 else 2 * WINDOW * MAX_WINDOW_MULTIPLE
            ):
                self.end_recalculation(now)
            return
        window = self.window
        window.rtts.append(latency / self.target[request_class])
        window.flight_sum += self.in_flight
        window.latency_sum += latency
        self.close_window(now)

    def close_window(self, now: int) -> None:
        """Closes the window when it has lasted and holds enough; an empty window changes nothing."""
        window = self.window
        age = now - window.start
        count = len(window.rtts)
        if age < WINDOW or count == 0 or (count < WINDOW_SAMPLES and age < WINDOW * MAX_WINDOW_MULTIPLE):
            return
        self.sample_rtt = percentile(window.rtts, PERCENTILE)
        self.gradient = min(GRADIENT_HIGH, max(GRADIENT_LOW, 1.0 / max(self.sample_rtt, 1e-9)))
        limit = self.gradient * self.limit + self.headroom()
        # Failure prevented: in thin traffic a window's percentile is one request's, and halves the limit.
        limit = self.limit + min(1.0, count / FULL_WINDOW) * (limit - self.limit)
        self.follow_usual(age, count)
        window.restart(now)
        self.update_bounds()
        self.limit = max(min(limit, self.max_limit(), self.ceiling), self.min_limit(age))
        # Failure prevented: any overload lowers the limit to the usual; recalculations follow one another.
        self.windows_at_floor = self.windows_at_floor + 1 if self.limit <= self.floor else 0
        due = self.windows_at_floor >= WINDOWS_AT_MIN or now >= self.next_recalculation
        if due and self.fleet.may_recalculate_min_rtt():
            self.start_recalculation(now)

    def follow_usual(self, age: int, count: int) -> None:
        """Smooths the requests in flight while latency is good.

        Failure prevented: an instance that starts into full traffic rejects half of it for five seconds,
        since "usual" starts at nothing. It follows within STARTUP_RTTS, up to the first window that is above
        target or in which the limit does not bind.
        """
        mean_in_flight = self.window.flight_sum / count
        span = USUAL_TIME
        if self.sample_rtt > 1:
            self.starting_up = False
        elif self.starting_up:
            span = min(span, int(STARTUP_RTTS * self.window.latency_sum / count))
            self.starting_up = mean_in_flight >= 0.5 * self.limit
        if self.sample_rtt <= 1 and (
            mean_in_flight > self.usual_in_flight or mean_in_flight < 0.8 * self.limit
        ):
            self.usual_in_flight += min(1.0, age / max(span, 1)) * (mean_in_flight - self.usual_in_flight)

    def max_limit(self) -> float:
        """How far the limit may grow.

        Failure prevented: a limit that requests never reach is not measured by their latency; it grows
        without end in quiet times, and a burst then meets no limit. It stays near twice the usual requests.
        Failure prevented: what one instance alone could do with idle members, each of many does, and together
        they overload every server. They burst by chance, so the sum grows with the root of their number.
        """
        part = CALLS_PER_MEMBER * self.members / sqrt(max(1.0, self.instances))
        return max(part, MAX_LIMIT_OVER_USUAL * self.usual_in_flight + MIN_LIMIT)

    def min_limit(self, age: int) -> float:
        """How far the limit may fall: to what was in flight while latency was good.

        Failure prevented: when everything is slow at once no lower limit makes it faster, and the gradient
        would close the fleet.
        """
        success_factor = (1 - self.loss_rate) ** 2 if self.loss_rate > MAX_LOST_SHARE else 1.0
        if self.sample_rtt > 1 and self.loss_rate > MAX_LOST_SHARE:
            # Failure prevented: servers that slow down under overload stay overloaded, and slow, at what
            # they had before. Where requests are not only late but lost, less in flight gives them rest.
            self.usual_in_flight -= min(1.0, age / USUAL_FADE) * self.usual_in_flight
        return max(self.floor, self.usual_in_flight * success_factor)
