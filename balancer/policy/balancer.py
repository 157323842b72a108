"""The policy of one instance, which turns the events of its host into actions.

All instances of a tier put the servers into the same random order, the shuffle. An instance sends only to its
subset, its own slice of the shuffle, which grows with its attempts in flight. A request first passes the
gradient controller, which limits the attempts in flight: at the limit a request is rejected, or queued if its
client is a server. Then two members of the subset are picked at random, slow ones with a lower probability,
and the request goes to the one with the shorter expected time for this instance's attempts in flight. A
request is rejected beyond the limit, beyond its tenant's quota while the fleet is overloaded, or when no
attempt can be made. It is retried only if its class, the group of servers that discard its repeats, the time
left and the retry budget allow it. Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from balancer.policy.attempt_metrics import AttemptMetrics
from balancer.policy.ejection import OutlierEjection
from balancer.policy.gradient import OBJECTIVE_SHARE, GradientController
from balancer.policy.interface import (
    Actions,
    Effect,
    Fleet,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
    Standalone,
)
from balancer.policy.load_shedding import LoadShedder
from balancer.policy.request import Request
from balancer.policy.request_lifecycle import RequestLifecycle
from balancer.policy.selection import Selection
from balancer.policy.server import SERVER_SAMPLE_WEIGHT, Server
from balancer.policy.server_list import ServerList
from balancer.policy.slow_start import SlowStart
from balancer.policy.spillover import ZoneSpillover
from balancer.policy.subset import Subset
from balancer.policy.timers import TimerKind, parse_token


class Balancer:
    """The implementation of `interface.Events` for one node, based on that node's own traffic.

    Args:
        settings: The settings of this instance.
        seed: The seed of the random number generator. The same events and seed lead to the same actions.
        actions: The actions of the host.
        fleet: The coordination with the other processes of a fleet; None for a single process.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions, fleet: Fleet | None = None) -> None:
        self.settings = settings
        self.fleet = fleet or Standalone()
        self.actions = actions
        self.rng = rng = Random(seed)
        self.servers: dict[int, Server] = {}
        # The ids of requests with a streaming response. The attempt of such a request was recorded as ended
        # when its response started.
        self.streaming: set[int] = set()
        share = OBJECTIVE_SHARE * (settings.tiers - settings.tier) / settings.tiers
        allowance = [int(c.latency_objective * share) for c in settings.classes]
        self.controller = GradientController(allowance, settings.max_open, rng, 0, self.fleet)
        # The mean round-trip time by class. The initial values apply until round-trip times are measured.
        self.mean_rtt = [c.latency_objective * share / 2 for c in settings.classes]
        self.spillover = ZoneSpillover(settings)
        self.subset = Subset(settings, self.servers, self.controller, self.spillover.zone_aware)
        self.slow_start = SlowStart(settings, self.subset)
        self.ejection = OutlierEjection(self.subset, self.mean_rtt, actions, self.fleet, rng)
        self.load_shedder = LoadShedder(settings, rng, self.mean_rtt)
        self.selection = Selection(
            settings, self.mean_rtt, rng, self.subset, self.slow_start, self.spillover, self.ejection
        )
        self.metrics = AttemptMetrics(
            self.mean_rtt, self.controller, self.subset, self.spillover, self.load_shedder, self.slow_start,
            self.ejection,
        )  # fmt: skip
        self.lifecycle = RequestLifecycle(
            settings, actions, self.mean_rtt, self.controller, self.subset, self.slow_start, self.selection
        )
        self.listed_servers = ServerList(
            settings, actions, rng, self.servers, self.subset, self.ejection, self.controller, self.spillover
        )

    def start(self, now: int) -> None:
        """Begin the first recalculation of the minRTT, and subscribe to the server list if it must be polled.

        The minRTT is the round-trip time of a class on servers without queues.
        """
        self.controller.start_recalculation(now)
        self.metrics.window_start = self.slow_start.counted_since = now
        self.load_shedder.start(now)
        if self.settings.list_on_request:
            self.actions.watch(True)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Update the known servers from a complete server list or from changes to the list."""
        self.listed_servers.update(now, kind, entries)

    def request(
        self, now: int, request: int, request_class: int, tenant: int, remaining: int, repeat: bool
    ) -> None:
        """Admit a request and start its first attempt, or queue it, or reject it."""
        settings = self.settings
        # A request of an unknown class is treated as not idempotent, so that it does not get the retries
        # of the class whose other settings it uses.
        is_known_class = request_class < len(settings.classes)
        request_class = min(request_class, len(settings.classes) - 1)
        c = settings.classes[request_class]
        time_limit = remaining
        if c.late_worth <= 0 and c.latency_objective - 2 * settings.tick < time_limit:
            # A response of this class is worth nothing after the latency objective, so attempts end there.
            time_limit = max(settings.tick, c.latency_objective - 2 * settings.tick)
        open_request = Request(
            request, request_class, c.effect if is_known_class else Effect.NOT_IDEMPOTENT, now, time_limit
        )
        lifecycle = self.lifecycle
        lifecycle.requests[request] = open_request
        if not repeat:
            self.slow_start.count_request(now)
        controller = self.controller
        lifecycle.retry_budget.refill(controller.limit)
        if not self.subset.fits_load():
            # A node whose traffic suddenly grows would overload the few servers of a small subset.
            self.listed_servers.reselect_members()
        if settings.tier == 0:
            # Trunk reservation keeps a part of the limit free for better requests. A class whose worth, its
            # priority weight, is low for its round-trip time leaves the headroom free, about sqrt(limit)
            # attempts in flight. A request beyond its tenant's quota leaves twice as
            # much free.
            is_excess, is_clear_excess = self.load_shedder.exceeds_quota(now, tenant)
            reserved = self.load_shedder.rank[request_class] + 2 * is_excess
            if (is_clear_excess and self.load_shedder.sheds()) or not controller.admits(now, reserved):
                lifecycle.reject_at_limit(open_request)
                return
        elif not controller.admits(now, 0):
            lifecycle.enqueue(now, open_request)
            return
        lifecycle.start_attempt(now, open_request)

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        """Record the end of an attempt, and retry or answer its request if the request is still open."""
        lifecycle = self.lifecycle
        target = self.servers.get(server)
        open_request = lifecycle.requests.get(request)
        if open_request is not None and open_request.uploading:
            lifecycle.set_uploading(now, open_request, attempt, False)
        if request in self.streaming:
            self.streaming.discard(request)
            if target is not None and outcome not in (Outcome.OK, Outcome.CANCELLED):
                target.failure_rate += SERVER_SAMPLE_WEIGHT * (1 - target.failure_rate)
        elif target is not None and target.in_flight > 0:
            self.metrics.end_attempt(now, target, open_request, outcome, latency)
        if (
            open_request is not None
            and open_request.server is not None
            and attempt == open_request.attempts - 1
        ):
            open_request.server = None
            if final or outcome == Outcome.OK:
                del lifecycle.requests[request]
            elif open_request.responding:
                lifecycle.finish(open_request, reject=False)
            else:
                lifecycle.retry_or_finish(now, open_request, target, outcome)
        if lifecycle.queue:
            lifecycle.serve_queue(now)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        """Record the attempt as ended with success: the client determines how long the rest takes."""
        open_request = self.lifecycle.requests.get(request)
        if open_request is None or open_request.server is None or open_request.responding:
            return
        open_request.responding = True
        if open_request.uploading:
            self.lifecycle.set_uploading(now, open_request, attempt, False)
        # If the attempt ended only with its response, clients that read slowly would fill the limit, and
        # their reading time would count as the server's latency.
        self.streaming.add(request)
        if open_request.server.in_flight > 0:
            self.metrics.end_attempt(now, open_request.server, open_request, Outcome.OK, latency)

    def upload(self, now: int, request: int, attempt: int, on: bool) -> None:
        """Record the start (`on`) or the end of the upload of a request's body."""
        open_request = self.lifecycle.requests.get(request)
        if open_request is not None:
            self.lifecycle.set_uploading(now, open_request, attempt, on)

    def client_disconnected(self, now: int, request: int) -> None:
        """Forget the request, and cancel its attempt if the settings allow it."""
        requests = self.lifecycle.requests
        open_request = requests.get(request)
        if open_request is None:
            return
        if open_request.uploading:
            self.lifecycle.set_uploading(now, open_request, open_request.attempts - 1, False)
        del requests[request]
        if open_request.server is not None and self.settings.cancel and not open_request.responding:
            self.actions.cancel(request, open_request.attempts - 1)

    def health_checked(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """Ignore the result of a health check: ejected servers are probed with real requests instead."""

    def trial_result(self, now: int, server: int, healthy: bool) -> None:
        """Readmit a server that another node's probe found healthy, or extend its ejection."""
        target = self.servers.get(server)
        if target is not None and target.ejected and not target.probe_in_flight:
            if healthy:
                self.ejection.readmit(target)
            else:
                self.ejection.eject(now, target, target.silent)

    def zone_shares(self, now: int, shares: Mapping[int, float], additional_rtt: Mapping[int, int]) -> None:
        """Set each zone's share of the requests, and select members in every zone."""
        self.subset.shares, self.metrics.additional_rtt = shares, additional_rtt
        self.listed_servers.reselect_members()

    def timer(self, now: int, token: int) -> None:
        """Poll the server list again, or reject a request that has been queued for too long."""
        kind, value = parse_token(token)
        if kind == TimerKind.POLL_LIST:
            self.actions.watch(True)
        elif kind == TimerKind.QUEUE_TIMEOUT:
            self.lifecycle.queue_timeout(value)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Ignore the message: a node decides on the basis of its own traffic."""

    def stats(self) -> dict[str, float]:
        """Return the statistics. Those that Envoy's adaptive concurrency filter also has bear its names."""
        controller = self.controller
        return {
            "concurrency_limit": controller.allowed(),
            "gradient": controller.gradient,
            "burst_queue_size": controller.headroom(),
            "min_rtt_msecs": max(controller.min_rtt) / 1000,
            "sample_rtt_ratio": controller.sample_rtt,
            "rq_blocked": self.lifecycle.rejected_at_limit,
            "min_rtt_calculation_active": float(controller.recalculating),
            "in_flight": controller.in_flight,
            "members": len(self.subset.members),
            "ejected": len(self.ejection.ejected),
            "spill": self.spillover.spill_ratio,
            "shed": self.load_shedder.shed_ratio,
            "lost": controller.loss_rate,
        }
