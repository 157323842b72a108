"""The policy: one instance's decisions, from the events of its host to the actions that it asks for.

How a server is picked. All instances of a tier share a shuffle of the servers; this instance's slice of it is
its small subset, wider the more attempts it has in flight. A request first passes the gradient controller: at
the limit it is rejected, or queued where the caller is a server. Then two members are picked at random, slow
ones skipped as often as they are slower, and the one with fewer of this instance's attempts in flight, in
expected time, gets the request. A request is rejected beyond the limit, beyond its tenant's quota while the
fleet is overloaded, or when no attempt can be made; it is retried only where class, group, time and budget
allow. Times are integer microseconds.
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
from balancer.policy.server import SMOOTH, Server
from balancer.policy.server_list import ServerList
from balancer.policy.slow_start import SlowStart
from balancer.policy.spillover import ZoneSpillover
from balancer.policy.subset import Subset
from balancer.policy.timers import TimerKind, parse_token


class Balancer:
    """One instance: implements `interface.Events` for one node, from that node's own traffic alone.

    Args:
        settings: The settings of this instance.
        seed: The seed of its random stream. The same events on the same seed lead to the same actions.
        actions: What it asks of its host.
        fleet: What the processes of a fleet decide together; None for an instance that stands alone.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions, fleet: Fleet | None = None) -> None:
        self.settings = settings
        self.fleet = fleet or Standalone()
        self.actions = actions
        self.rng = rng = Random(seed)
        self.servers: dict[int, Server] = {}
        self.streaming: set[int] = set()  # requests whose responses have begun: their attempts are recorded
        share = OBJECTIVE_SHARE * (settings.tiers - settings.tier) / settings.tiers
        allowance = [int(c.latency_objective * share) for c in settings.classes]
        self.controller = GradientController(allowance, settings.max_open, rng, 0, self.fleet)
        self.mean_rtt = [c.latency_objective * share / 2 for c in settings.classes]  # until measured
        self.spillover = ZoneSpillover(settings)
        self.subset = Subset(settings, self.servers, self.controller, self.spillover.zoned)
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

    # ---- events ---------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        """Begins: the first minRTT is to be measured, and the server list to be had."""
        self.controller.start_recalculation(now)
        self.metrics.window_start = self.slow_start.counted_since = now
        self.load_shedder.start(now)
        if self.settings.list_on_request:
            self.actions.watch(True)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Records a server list; see `interface.Events`."""
        self.listed_servers.update(now, kind, entries)

    def request(
        self, now: int, request: int, request_class: int, tenant: int, remaining: int, repeat: bool
    ) -> None:
        """Admits a request and sends its first attempt, or queues it, or rejects it."""
        settings = self.settings
        # Failure prevented: a request of an unknown class gets the retry rights of some other class.
        known = request_class < len(settings.classes)
        request_class = min(request_class, len(settings.classes) - 1)
        c = settings.classes[request_class]
        useful = remaining
        if c.late_worth <= 0 and c.latency_objective - 2 * settings.tick < useful:
            # A response after the latency objective is worth nothing here, so nothing waits for it.
            useful = max(settings.tick, c.latency_objective - 2 * settings.tick)
        opened = Request(request, request_class, c.effect if known else Effect.NOT_IDEMPOTENT, now, useful)
        lifecycle = self.lifecycle
        lifecycle.requests[request] = opened
        if not repeat:
            self.slow_start.count_request(now)
        controller = self.controller
        lifecycle.retry_budget.refill(controller.limit)
        if not self.subset.fits():
            # Failure prevented: a node that suddenly gets much of the traffic overloads a few servers.
            self.listed_servers.refill()
        if settings.tier == 0:
            # Trunk reservation: a class of lesser worth for its time leaves sqrt(limit) slots for
            # what is worth more, a tenant beyond its quota twice that.
            over, clear = self.load_shedder.exceeds_quota(now, tenant)
            spare = self.load_shedder.rank[request_class] + 2 * over
            if (clear and self.load_shedder.sheds()) or not controller.admits(now, spare):
                lifecycle.reject_at_limit(opened)
                return
        elif not controller.admits(now, 0):
            lifecycle.enqueue(now, opened)
            return
        lifecycle.attempt(now, opened)

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
        """Records an attempt's end, and retries or answers its request where that is still open."""
        lifecycle = self.lifecycle
        target = self.servers.get(server)
        opened = lifecycle.requests.get(request)
        if opened is not None and opened.uploading:
            lifecycle.set_uploading(now, opened, attempt, False)
        if request in self.streaming:
            self.streaming.discard(request)
            if target is not None and outcome not in (Outcome.OK, Outcome.CANCELLED):
                target.failure_rate += SMOOTH * (1 - target.failure_rate)
        elif target is not None and target.in_flight > 0:
            self.metrics.end_attempt(now, target, opened, outcome, latency)
        if opened is not None and opened.server is not None and attempt == opened.attempts - 1:
            opened.server = None
            if final or outcome == Outcome.OK:
                del lifecycle.requests[request]
            elif opened.responding:
                lifecycle.finish(opened, reject=False)
            else:
                lifecycle.after_failure(now, opened, target, outcome)
        if lifecycle.queue:
            lifecycle.serve_queue(now)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        """Records the attempt's end as far as the server is concerned: now the client sets the pace."""
        opened = self.lifecycle.requests.get(request)
        if opened is None or opened.server is None or opened.responding:
            return
        opened.responding = True
        if opened.uploading:
            self.lifecycle.set_uploading(now, opened, attempt, False)
        # Failure prevented: clients that read slowly fill the limit, and the time that they take counts
        # as the server's.
        self.streaming.add(request)
        if opened.server.in_flight > 0:
            self.metrics.end_attempt(now, opened.server, opened, Outcome.OK, latency)

    def upload(self, now: int, request: int, attempt: int, on: bool) -> None:
        """The request's body is still on its way to the server, or has arrived there."""
        opened = self.lifecycle.requests.get(request)
        if opened is not None:
            self.lifecycle.set_uploading(now, opened, attempt, on)

    def client_disconnected(self, now: int, request: int) -> None:
        """Forgets the request, and cancels its attempt where that is allowed."""
        requests = self.lifecycle.requests
        opened = requests.get(request)
        if opened is None:
            return
        if opened.uploading:
            self.lifecycle.set_uploading(now, opened, opened.attempts - 1, False)
        del requests[request]
        if opened.server is not None and self.settings.cancel and not opened.responding:
            self.actions.cancel(request, opened.attempts - 1)

    def health_checked(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """Not used: half-open probes are real requests."""

    def trial_result(self, now: int, server: int, healthy: bool) -> None:
        """Records another node's probe of a server, which counts for one that is ejected here."""
        target = self.servers.get(server)
        if target is not None and target.ejected and not target.probe_in_flight:
            if healthy:
                self.ejection.readmit(target)
            else:
                self.ejection.eject(now, target, target.silent)

    def zone_shares(self, now: int, shares: Mapping[int, float], additional_rtt: Mapping[int, int]) -> None:
        """Sets each zone's share of the requests; members are taken from each of these zones."""
        self.subset.shares, self.metrics.additional_rtt = shares, additional_rtt
        self.listed_servers.refill()

    def timer(self, now: int, token: int) -> None:
        """Polls the server list again, or ends a request's time in the queue."""
        kind, value = parse_token(token)
        if kind == TimerKind.POLL_LIST:
            self.actions.watch(True)
        elif kind == TimerKind.QUEUE_TIMEOUT:
            self.lifecycle.queue_timeout(value)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Not used: a node decides from its own traffic."""

    def stats(self) -> dict[str, float]:
        """Statistics, named as in Envoy's adaptive concurrency filter where it has them."""
        controller = self.controller
        return {
            "concurrency_limit": controller.allowed(),
            "gradient": controller.gradient,
            "burst_queue_size": controller.headroom(),
            "min_rtt_msecs": max(controller.min_rtt) / 1000,
            "sample_rtt_ratio": controller.sample_rtt,
            "rq_blocked": self.lifecycle.blocked,
            "min_rtt_calculation_active": float(controller.recalculating),
            "in_flight": controller.in_flight,
            "members": len(self.subset.members),
            "ejected": len(self.ejection.ejected),
            "spill": self.spillover.spill,
            "shed": self.load_shedder.shed,
            "lost": controller.loss_rate,
        }
