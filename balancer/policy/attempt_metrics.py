"""What the ends of attempts show: round-trip times, failures, and the measurements taken once a window."""

from __future__ import annotations

from collections.abc import Mapping

from balancer.policy.ejection import OutlierEjection
from balancer.policy.gradient import WINDOW, GradientController
from balancer.policy.interface import Outcome
from balancer.policy.load_shedding import LoadShedder
from balancer.policy.request import Request
from balancer.policy.server import PRIOR, SMOOTH, SMOOTH_ALL, Average, Server
from balancer.policy.slow_start import SlowStart
from balancer.policy.spillover import ZoneSpillover
from balancer.policy.subset import Subset

MAX_RTT_RATIO = 8.0  # a round-trip counts as this multiple of the mean at most
MAX_DEVIATION = 2.0  # the limit takes no samples of a member that is slower than its kind by this factor


class AttemptMetrics:
    """Records each attempt's end with the parts of the policy that learn from it.

    Args:
        mean_rtt: The mean round-trip time by class in microseconds; kept up to date here.
        controller: Gets the samples of round-trip times.
        subset: Knows whether the local zone has members.
        spillover: Gets latencies by zone.
        load_shedder: Gets latencies.
        slow_start: Gets the number of responses from warm servers.
        ejection: Gets the outcomes.
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
        self.rtt = [Average(mean, PRIOR, SMOOTH_ALL) for mean in mean_rtt]
        self.controller = controller
        self.subset = subset
        self.spillover = spillover
        self.load_shedder = load_shedder
        self.slow_start = slow_start
        self.ejection = ejection
        self.additional_rtt: Mapping[int, int] = {}  # how much longer a round-trip to a zone is
        self.window_start = 0

    def end_attempt(
        self, now: int, server: Server, request: Request | None, outcome: Outcome, latency: int
    ) -> None:
        """Records an attempt's end: in flight, samples, the server's averages, ejection."""
        server.in_flight -= 1
        controller = self.controller
        if not server.outside_limit:
            controller.record_in_flight(now, -1)
        server.last_outcome_at = now
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            # Failure prevented: a client disconnects during a probe, and no other probe ever follows.
            server.probe_in_flight = False
            return
        ok = outcome == Outcome.OK
        if request is not None:
            request_class = request.request_class
            if ok or outcome == Outcome.TIMEOUT:
                self.record_latency(now, server, request_class, latency)
            rate = server.rejection_rates.get(request_class, 0.0)
            server.rejection_rates[request_class] = rate + SMOOTH * (
                float(outcome == Outcome.REJECTED) - rate
            )
        if not server.ejected and outcome != Outcome.REJECTED:
            controller.loss_rate += SMOOTH_ALL * ((0.0 if ok else 1.0) - controller.loss_rate)
        if ok:
            self.slow_start.warm_served += server.slow_start_until <= now
        self.ejection.record(now, server, outcome)

    def record_latency(self, now: int, server: Server, request_class: int, latency: int) -> None:
        """Records the latency of a response, or the timeout of an attempt that timed out."""
        controller = self.controller
        if server.deviation.value < MAX_DEVIATION and not server.ejected:
            own_latency = latency - self.additional_rtt.get(server.zone, 0)
            controller.sample(now, request_class, max(1, own_latency))
        ratio = min(latency / self.mean_rtt[request_class], MAX_RTT_RATIO)
        server.deviation.add(ratio / server.kind.value)
        server.kind.add(ratio)
        latency_ratio = latency / controller.target[request_class]
        self.spillover.record(server.zone, latency_ratio)
        self.load_shedder.record(latency_ratio)
        self.rtt[request_class].add(latency)
        self.mean_rtt[request_class] = self.rtt[request_class].value
        if now - self.window_start >= WINDOW:
            self.close_window(now)

    def close_window(self, now: int) -> None:
        """Updates what is measured once a window: warm rate, ranks of classes, spillover between zones."""
        span = now - self.window_start
        self.window_start = now
        self.slow_start.measure_warm_rate(now, span)
        self.load_shedder.rank_classes()
        if self.spillover.zoned and self.subset.local:
            self.spillover.adjust()
