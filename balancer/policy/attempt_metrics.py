"""Metrics from ended attempts: round-trip times, failures, and the measurements of each window.

A window is the time of at least SAMPLE_WINDOW_US over which responses are counted.
"""

from __future__ import annotations

from collections.abc import Mapping

from balancer.policy.ejection import OutlierEjection
from balancer.policy.gradient import SAMPLE_WINDOW_US, GradientController
from balancer.policy.interface import Outcome
from balancer.policy.load_shedding import LoadShedder
from balancer.policy.request import Request
from balancer.policy.server import PRIOR_WEIGHT, SERVER_SAMPLE_WEIGHT, SUBSET_SAMPLE_WEIGHT, Average, Server
from balancer.policy.slow_start import SlowStart
from balancer.policy.spillover import ZoneSpillover
from balancer.policy.subset import Subset

# The maximum round-trip time that enters a server's average, as a multiple of the request class's mean.
MAX_RTT_RATIO = 8.0
# A member of the subset that is slower than the mean of its kind of server by this factor adds no samples to
# the gradient controller.
MAX_SAMPLED_DEVIATION = 2.0


class AttemptMetrics:
    """The recorder of ended attempts, which passes outcomes and latencies to the components that use them.

    Args:
        mean_rtt: The mean round-trip time by class in microseconds, which this object updates.
        controller: The concurrency limit, which receives round-trip time samples and the rate of failures.
        subset: Provides the available members of the local zone.
        spillover: The share of requests that leave the local zone, which depends on the latencies by zone.
        load_shedder: Receives latencies, which determine the share of excess requests to reject.
        slow_start: Receives the number of responses from warm servers.
        ejection: Receives outcomes, by which it ejects failing servers.
    """

    def __init__(
        self,
        mean_rtt: list[float],
        controller: GradientController,
        subset: Subset,
        spillover: ZoneSpillover,
        load_shedder: LoadShedder,
        slow_start: SlowStart,
        ejection: OutlierEjection,
    ) -> None:
        self.mean_rtt = mean_rtt
        self.rtt_averages = [Average(mean, PRIOR_WEIGHT, SUBSET_SAMPLE_WEIGHT) for mean in mean_rtt]
        self.controller = controller
        self.subset = subset
        self.spillover = spillover
        self.load_shedder = load_shedder
        self.slow_start = slow_start
        self.ejection = ejection
        # Additional round-trip time to each remote zone, in microseconds.
        self.additional_rtt: Mapping[int, int] = {}
        self.window_start = 0

    def end_attempt(
        self, now: int, server: Server, request: Request | None, outcome: Outcome, latency: int
    ) -> None:
        """Record the end of an attempt in the attempts in flight, the averages and the outlier ejection."""
        server.in_flight -= 1
        controller = self.controller
        if not server.outside_limit:
            controller.record_in_flight(now, -1)
        server.last_outcome_at = now
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            # If the attempt is a probe, it ends without a result, for example because the client
            # disconnected. If it stayed marked as in flight, the server would never be probed again.
            server.probe_in_flight = False
            return
        ok = outcome == Outcome.OK
        if request is not None:
            request_class = request.request_class
            if ok or outcome == Outcome.TIMEOUT:
                self.record_latency(now, server, request_class, latency)
            rate = server.rejection_rates.get(request_class, 0.0)
            server.rejection_rates[request_class] = rate + SERVER_SAMPLE_WEIGHT * (
                float(outcome == Outcome.REJECTED) - rate
            )
        if not server.ejected and outcome != Outcome.REJECTED:
            controller.loss_rate += SUBSET_SAMPLE_WEIGHT * ((0.0 if ok else 1.0) - controller.loss_rate)
        if ok:
            self.slow_start.warm_served += server.slow_start_until <= now
        self.ejection.record(now, server, outcome)

    def record_latency(self, now: int, server: Server, request_class: int, latency: int) -> None:
        """Record the latency of a response, or the duration of an attempt that timed out."""
        controller = self.controller
        if server.deviation.value < MAX_SAMPLED_DEVIATION and not server.ejected:
            local_latency = latency - self.additional_rtt.get(server.zone, 0)
            controller.sample(now, request_class, max(1, local_latency))
        ratio = min(latency / self.mean_rtt[request_class], MAX_RTT_RATIO)
        server.deviation.add(ratio / server.kind.value)
        server.kind.add(ratio)
        latency_ratio = latency / controller.target[request_class]
        self.spillover.record(server.zone, latency_ratio)
        self.load_shedder.record(latency_ratio)
        self.rtt_averages[request_class].add(latency)
        self.mean_rtt[request_class] = self.rtt_averages[request_class].value
        if now - self.window_start >= SAMPLE_WINDOW_US:
            self.close_window(now)

    def close_window(self, now: int) -> None:
        """End the window: update the rate of warm members, the ranks of classes and the zone spillover."""
        span = now - self.window_start
        self.window_start = now
        self.slow_start.measure_warm_rate(now, span)
        self.load_shedder.rank_classes()
        if self.spillover.zone_aware and self.subset.available_local:
            self.spillover.adjust()
