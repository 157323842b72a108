"""Every decision of balancer. The interface (types, events, actions) is in balancer/policy/interface.py.

How a server is picked. All copies of a tier share a shuffle of the servers; this copy's slice of it is
its small subset, wider the more calls it has in flight. A call first passes the gradient controller: at
the limit it is refused, or waits for a slot where the caller is a server. Then two members are picked at
random, slow ones skipped as often as they are slower, and the one with fewer of this copy's calls in
flight, in expected time, takes the call. A call is refused beyond the limit, beyond its tenant's share
while the fleet is pressed, or when no attempt can be made; it is retried only where class, group, time
and budget allow. Times are integer microseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from random import Random

from balancer.policy.ejection import SILENT_FACTOR, OutlierEjection
from balancer.policy.gradient import OBJECTIVE_SHARE, WINDOW, GradientController
from balancer.policy.interface import (
    NEVER_RAN,
    Actions,
    Effect,
    Fleet,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
    Standalone,
    State,
)
from balancer.policy.load_shedding import LoadShedder
from balancer.policy.request import Request
from balancer.policy.retry_budget import RetryBudget
from balancer.policy.selection import Selection
from balancer.policy.server import PRIOR, SMOOTH, SMOOTH_ALL, Average, Server
from balancer.policy.slow_start import SlowStart
from balancer.policy.spillover import ZoneSpillover
from balancer.policy.start_times import StartTimes
from balancer.policy.subset import Subset

MAX_RTT_RATIO = 8.0  # a round-trip counts as so many times the mean at most
ATTEMPT_TIMEOUT_FACTOR = 8  # an attempt may take so many mean round-trips while another can follow
OUTLIER_DEVIATION = 2.0  # a member so many times slower than the subset does not speak for it

TIMER_LIST, TIMER_QUEUED = 1, 2  # in a token's top byte
TOKEN_BITS = 56


class Balancer:
    """One copy: the decisions of one node, from its own traffic alone."""

    def __init__(self, settings: Settings, seed: int, actions: Actions, fleet: Fleet | None = None) -> None:
        self.settings = s = settings
        self.fleet = fleet or Standalone()
        self.actions = actions
        self.rng = Random(seed)
        self.servers: dict[int, Server] = {}
        self.additional_rtt: Mapping[int, int] = {}  # how much longer the way to a zone is
        self.requests: dict[int, Request] = {}
        self.streaming: set[int] = set()  # requests whose answers flow: their attempts are booked
        self.queue: deque[Request] = deque()
        share = OBJECTIVE_SHARE * (s.tiers - s.tier) / s.tiers
        allowance = [int(c.latency_objective * share) for c in s.classes]
        self.controller = GradientController(allowance, s.max_open, self.rng, 0, self.fleet)
        self.mean_rtt = [c.latency_objective * share / 2 for c in s.classes]  # until measured
        self.rtt = [Average(m, PRIOR, SMOOTH_ALL) for m in self.mean_rtt]
        self.average_by_kind: dict[int, Average] = {}
        self.spillover = ZoneSpillover(s)
        self.subset = Subset(s, self.servers, self.controller, self.spillover.zoned)
        self.slow_start = SlowStart(s, self.subset)
        self.ejection = OutlierEjection(self.subset, self.mean_rtt, actions, self.fleet, self.rng)
        self.selection = Selection(
            s, self.mean_rtt, self.rng, self.subset, self.slow_start, self.spillover, self.ejection
        )
        self.window_start = 0
        self.retry_budget = RetryBudget()
        self.load_shedder = LoadShedder(s, self.rng, self.mean_rtt)
        self.start_times = StartTimes(s.slow_start_time)
        self.has_initial_list = False  # beyond the list of before this process
        self.list_failures = 0
        self.blocked = 0  # rq_blocked

    # ---- events ---------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        self.controller.start_recalculation(now)
        self.window_start = self.slow_start.counted_since = now
        self.load_shedder.start(now)
        if self.settings.list_on_request:
            self.actions.watch(True)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        if kind == ListKind.FAILED:
            # Only asked-for lists fail. Jittered back-off, well inside the longest silence allowed.
            self.list_failures += 1
            base = max(self.settings.tick, self.settings.max_list_poll_interval // 20)
            delay = min(
                base << min(self.list_failures - 1, 3), max(base, self.settings.max_list_poll_interval // 4)
            )
            self.actions.set_timer(int(delay * (0.5 + self.rng.random())), TIMER_LIST << TOKEN_BITS)
            return
        if kind != ListKind.CACHED:
            self.list_failures = 0
        latest = {e.server: e for e in entries}  # an entry twice: the last holds
        if self.start_times.observe(now, latest.values(), len(self.servers.keys() | latest.keys())):
            for server in self.servers.values():
                self.correct_slow_start(server)
        if kind != ListKind.CHANGES:
            for server in self.servers.values():
                if server.in_list and server.id not in latest:
                    self.drop(server)
        for entry in latest.values():
            known = self.servers.get(entry.server)
            if entry.state != State.READY:
                if known is not None:
                    self.drop(known)
                continue
            if known is None:
                average = self.average_by_kind.setdefault(entry.kind, Average(1.0, PRIOR, SMOOTH_ALL))
                known = self.servers[entry.server] = Server(entry, average)
                self.start_slow_start(now, known, entry)
            elif known.ready_at != entry.ready_at:
                if known.ejected:
                    self.ejection.readmit(known)
                known.reset(entry)
                self.start_slow_start(now, known, entry)
            known.in_list = True
            known.cell, known.zone = entry.cell, entry.zone
        self.has_initial_list |= kind != ListKind.CACHED
        self.forget_removed()
        self.refill()

    def request(
        self, now: int, request: int, request_class: int, tenant: int, remaining: int, repeat: bool
    ) -> None:
        s = self.settings
        # Failure prevented: a request of an unknown class gets the retry rights of some other class.
        known = request_class < len(s.classes)
        request_class = min(request_class, len(s.classes) - 1)
        c = s.classes[request_class]
        useful = remaining
        if c.late_worth <= 0 and c.latency_objective - 2 * s.tick < useful:
            # Late work is waste: an answer after the aim is worth nothing here, so nothing waits for it.
            useful = max(s.tick, c.latency_objective - 2 * s.tick)
        r = Request(request, request_class, c.effect if known else Effect.NOT_IDEMPOTENT, now, useful)
        self.requests[request] = r
        if not repeat:
            self.slow_start.count_request(now)
        ctl = self.controller
        self.retry_budget.refill(ctl.limit)
        if not self.subset.fits():
            # Failure prevented: a node that suddenly gets a large part of the traffic swamps a few servers.
            self.refill()
        if s.tier == 0:
            # Trunk reservation: a class of lesser worth for its time leaves sqrt(limit) slots for
            # what is worth more, a tenant beyond its share twice that.
            over, clear = self.load_shedder.exceeds_quota(now, tenant)
            spare = self.load_shedder.rank[request_class] + 2 * over
            if clear and self.load_shedder.sheds() or not ctl.admits(now, spare):
                self.blocked += 1
                self.finish(r, reject=True)
                return
        elif not ctl.admits(now, 0):
            self.enqueue(now, r)
            return
        self.attempt(now, r)

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
        srv = self.servers.get(server)
        r = self.requests.get(request)
        if r is not None and r.uploading:
            self.upload(now, request, attempt, False)
        if request in self.streaming:
            self.streaming.discard(request)
            if srv is not None and outcome not in (Outcome.OK, Outcome.CANCELLED):
                srv.failure_rate += SMOOTH * (1 - srv.failure_rate)
        elif srv is not None and srv.in_flight > 0:
            self.end_attempt(now, srv, r, outcome, latency)
        if r is not None and r.server is not None and attempt == r.attempts - 1:
            r.server = None
            if final or outcome == Outcome.OK:
                del self.requests[request]
            elif r.responding:
                self.finish(r, reject=False)
            else:
                self.after_failure(now, r, srv, outcome)
        if self.queue:
            self.serve_waiting(now)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        r = self.requests.get(request)
        if r is not None and r.server is not None and not r.responding:
            r.responding = True
            if r.uploading:
                self.upload(now, request, attempt, False)
            # Failure prevented: clients that read slowly fill the limit, and the time that they take counts
            # as the server's.
            self.streaming.add(request)
            if r.server.in_flight > 0:
                self.end_attempt(now, r.server, r, Outcome.OK, latency)

    def upload(self, now: int, request: int, attempt: int, on: bool) -> None:
        """Failure prevented: clients that write slowly fill the limit, and the server they write to is
        ejected as silent."""
        r = self.requests.get(request)
        if r is None or r.server is None or r.uploading == on or attempt != r.attempts - 1:
            return
        srv = r.server
        if not on and srv.in_flight == 0:
            srv.last_outcome_at = now
        srv.uploads += 1 if on else -1
        r.uploading = on
        r.sent_at = now
        r.useful_until = now + r.patience
        srv.in_flight += -1 if on else 1
        if not srv.outside_limit:
            self.controller.record_in_flight(now, -1 if on else 1)

    def client_disconnected(self, now: int, request: int) -> None:
        r = self.requests.get(request)
        if r is not None and r.uploading:
            self.upload(now, request, r.attempts - 1, False)
        r = self.requests.pop(request, None)
        if r is not None and r.server is not None and self.settings.cancel and not r.responding:
            self.actions.cancel(request, r.attempts - 1)

    def health_checked(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """Not used: half-open trials are real calls."""

    def trial_result(self, now: int, server: int, healthy: bool) -> None:
        """Another node has tried a server, which counts for one that is ejected here."""
        srv = self.servers.get(server)
        if srv is not None and srv.ejected and not srv.trial_in_flight:
            if healthy:
                self.ejection.readmit(srv)
            else:
                self.ejection.eject(now, srv, srv.silent)

    def zone_shares(self, now: int, shares: Mapping[int, float], additional_rtt: Mapping[int, int]) -> None:
        """How the calls go to the zones from now on: members are taken from each."""
        self.subset.shares, self.additional_rtt = shares, additional_rtt
        self.refill()

    def timer(self, now: int, token: int) -> None:
        kind, value = token >> TOKEN_BITS, token & ((1 << TOKEN_BITS) - 1)
        if kind == TIMER_LIST:
            self.actions.watch(True)
        elif kind == TIMER_QUEUED:
            r = self.requests.get(value)
            if r is not None and r.queued:
                r.queued = False
                self.blocked += 1
                self.finish(r, reject=True)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Not used: a node decides from its own traffic."""

    def stats(self) -> dict[str, float]:
        """Statistics, with the source's names where it has them."""
        c = self.controller
        return {
            "concurrency_limit": c.allowed(),
            "gradient": c.gradient,
            "burst_queue_size": c.headroom(),
            "min_rtt_msecs": max(c.min_rtt) / 1000,
            "sample_rtt_ratio": c.sample_rtt,
            "rq_blocked": self.blocked,
            "min_rtt_calculation_active": float(c.recalculating),
            "in_flight": c.in_flight,
            "members": len(self.subset.members),
            "ejected": len(self.ejection.ejected),
            "spill": self.spillover.spill,
            "shed": self.load_shedder.shed,
            "lost": c.loss_rate,
        }

    # ---- a request's life -----------------------------------------------------------------------------

    def attempt(self, now: int, r: Request) -> None:
        """Sends the request to the server picked for it, or answers it when there is none."""
        srv = self.selection.pick_server(now, r)
        if srv is None:
            self.finish(r, reject=r.first_run_on is None)
            return
        timeout = self.attempt_timeout(now, r, srv)
        if srv.in_flight == 0:
            srv.last_outcome_at = now
        srv.in_flight += 1
        if not srv.outside_limit:
            self.controller.record_in_flight(now, 1)
        if srv.slow_start_until <= now:
            self.slow_start.warm_sent += 1
        r.server = srv
        r.attempted_servers.append(srv)
        r.sent_at = now
        r.attempts += 1
        self.actions.send(r.id, srv.id, timeout)

    def attempt_timeout(self, now: int, r: Request, srv: Server) -> int:
        """How long this attempt may take: the time left, or less where that leaves room for another.

        Failure prevented: an answer that never comes costs the request its whole time.
        """
        remaining = r.useful_until - now
        if r.effect == Effect.NOT_IDEMPOTENT:
            return remaining
        mean = self.mean_rtt[r.request_class]
        if srv.outside_limit:  # a trial of an ejected server
            return min(remaining, max(self.settings.tick, int(SILENT_FACTOR * mean)))
        # Failure prevented: in a crowd every copy aborts calls that are half done, their work is lost at this
        # tier and all behind it, and the next attempts crowd the tier again.
        patience = max(self.settings.tick, int(ATTEMPT_TIMEOUT_FACTOR * mean))
        if r.attempts + 1 < self.settings.max_attempts and self.retry_budget.allows():
            return min(remaining, max(remaining // 2, patience))
        return remaining

    def after_failure(self, now: int, r: Request, srv: Server | None, outcome: Outcome) -> None:
        """A further attempt where class, time, budget and attempt cap allow it; a final answer otherwise."""
        s = self.settings
        c = s.classes[r.request_class]
        if outcome not in NEVER_RAN and r.first_run_on is None:
            r.first_run_on = srv
            r.first_run_at = r.sent_at
        ran = r.first_run_on is not None
        allowed = (
            not ran
            or r.effect == Effect.IDEMPOTENT
            or (r.effect == Effect.IDEMPOTENCY_KEY and now < r.first_run_at + c.window)
        )
        if (
            allowed
            and r.attempts < s.max_attempts
            and self.retry_budget.allows()
            and now + self.mean_rtt[r.request_class] < r.useful_until
        ):
            self.retry_budget.spend()
            self.attempt(now, r)
            return
        self.finish(r, reject=not ran or r.effect == Effect.IDEMPOTENT)

    def finish(self, r: Request, reject: bool) -> None:
        """The one final answer. `reject` only where a retry is known to do no harm."""
        del self.requests[r.id]
        s = self.settings
        if not reject:
            self.actions.fail(r.id)
            return
        after = 0
        if s.retry_after:
            after = min(s.max_retry_after, int(s.classes[r.request_class].latency_objective / 8))
        self.actions.reject(r.id, after)

    def enqueue(self, now: int, r: Request) -> None:
        """Below the first tier a refusal wastes the work already sunk above: the call waits for a free slot.

        Acts only where callers are servers, at the limit, for up to half the time left, for as many calls
        as the limit.
        """
        if not self.subset.available or len(self.queue) >= self.controller.limit:
            self.blocked += 1
            self.finish(r, reject=True)
            return
        r.queued = True
        self.queue.append(r)
        self.actions.set_timer(max(1, (r.useful_until - now) // 2), TIMER_QUEUED << TOKEN_BITS | r.id)

    def serve_waiting(self, now: int) -> None:
        waiting = self.queue
        while waiting and (not waiting[0].queued or self.controller.admits(now, 0)):
            r = waiting.popleft()
            if r.queued and r.id in self.requests:
                r.queued = False
                self.attempt(now, r)

    def close_window(self, now: int) -> None:
        """Slow bookkeeping, at most once a window: warm rate, class ranks, spill between zones."""
        span = now - self.window_start
        self.window_start = now
        self.slow_start.measure_warm_rate(now, span)
        self.load_shedder.rank_classes()
        if self.spillover.zoned and self.subset.local:
            self.spillover.adjust()

    def end_attempt(self, now: int, srv: Server, r: Request | None, outcome: Outcome, latency: int) -> None:
        """Books an attempt's end: in-flight, samples, the server's averages, ejection."""
        srv.in_flight -= 1
        ctl = self.controller
        if not srv.outside_limit:
            ctl.record_in_flight(now, -1)
        srv.last_outcome_at = now
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            # Failure prevented: a client leaves during a trial, and no other trial ever follows.
            srv.trial_in_flight = False
            return
        ok = outcome == Outcome.OK
        if r is not None and (ok or outcome == Outcome.TIMEOUT):
            request_class = r.request_class
            if srv.deviation.value < OUTLIER_DEVIATION and not srv.ejected:
                ctl.sample(now, request_class, max(1, latency - self.additional_rtt.get(srv.zone, 0)))
            ratio = min(latency / self.mean_rtt[request_class], MAX_RTT_RATIO)
            srv.deviation.add(ratio / srv.kind.value)
            srv.kind.add(ratio)
            latency_ratio = latency / ctl.target[request_class]
            self.spillover.record(srv.zone, latency_ratio)
            self.load_shedder.record(latency_ratio)
            self.rtt[request_class].add(latency)
            self.mean_rtt[request_class] = self.rtt[request_class].value
            if now - self.window_start >= WINDOW:
                self.close_window(now)
        if r is not None:
            away = srv.rejection_rates.get(r.request_class, 0.0)
            srv.rejection_rates[r.request_class] = away + SMOOTH * (float(outcome == Outcome.REJECTED) - away)
        if not srv.ejected and outcome != Outcome.REJECTED:
            ctl.loss_rate += SMOOTH_ALL * ((0.0 if ok else 1.0) - ctl.loss_rate)
        if ok:
            self.slow_start.warm_served += srv.slow_start_until <= now
        self.ejection.record(now, srv, outcome)

    def start_slow_start(self, now: int, srv: Server, entry: ServerEntry) -> None:
        """Failure prevented: a restarted server looks idle and draws a flood that pushes it over."""
        srv.start = self.start_times.record(now, entry, self.has_initial_list)
        srv.tokens_at = now
        self.correct_slow_start(srv)

    def correct_slow_start(self, srv: Server) -> None:
        srv.slow_start_until = self.start_times.slow_start_until(srv.start)

    def drop(self, srv: Server) -> None:
        """The server drains or is gone: nothing new goes to it from now on."""
        srv.in_list = False
        if srv.ejected:
            self.ejection.readmit(srv)
        srv.member = False

    def forget_removed(self) -> None:
        for key, srv in list(self.servers.items()):
            if not srv.in_list and srv.in_flight == 0 and srv.uploads == 0:
                self.start_times.remember(key, srv.start)
                del self.servers[key]

    def refill(self) -> None:
        """Takes the members anew, and tells those whose measure they are."""
        self.subset.refill()
        for srv in [e for e in self.ejection.ejected if not e.member]:
            self.ejection.readmit(srv)
        members = self.subset.members
        listed = sum(srv.in_list for srv in self.servers.values())
        self.controller.resize(len(members), self.settings.instances * len(members) / max(1, listed))
        self.spillover.resize(members)
        self.subset.sort()
