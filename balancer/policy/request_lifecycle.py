"""A request's course: queueing, attempts, retries and the one final answer."""

from __future__ import annotations

from collections import deque

from balancer.policy.ejection import SILENT_FACTOR
from balancer.policy.gradient import GradientController
from balancer.policy.interface import NEVER_RAN, Actions, Effect, Outcome, Settings
from balancer.policy.request import Request
from balancer.policy.retry_budget import RetryBudget
from balancer.policy.selection import Selection
from balancer.policy.server import Server
from balancer.policy.slow_start import SlowStart
from balancer.policy.subset import Subset
from balancer.policy.timers import TimerKind, timer_token

ATTEMPT_TIMEOUT_FACTOR = 8  # an attempt may take so many mean round-trips while another can follow
RETRY_AFTER_SHARE = 8  # Retry-After is this part of the class's latency objective


class RequestLifecycle:
    """The open requests, and what is done with each from its admission to its final answer.

    Args:
        settings: The instance's settings.
        actions: The host's actions.
        mean_rtt: The mean round-trip time by class in microseconds; kept up to date elsewhere.
        controller: The limit on attempts in flight.
        subset: The members, of which some must be available for a request to be queued.
        slow_start: Counts what is sent to warm servers.
        selection: Picks a server for each attempt.
    """

    def __init__(
        self,
        settings: Settings,
        actions: Actions,
        mean_rtt: list[float],
        controller: GradientController,
        subset: Subset,
        slow_start: SlowStart,
        selection: Selection,
    ) -> None:
        self.settings = settings
        self.actions = actions
        self.mean_rtt = mean_rtt
        self.controller = controller
        self.subset = subset
        self.slow_start = slow_start
        self.selection = selection
        self.retry_budget = RetryBudget()
        self.requests: dict[int, Request] = {}
        self.queue: deque[Request] = deque()
        self.blocked = 0  # requests rejected at the limit: rq_blocked

    def attempt(self, now: int, request: Request) -> None:
        """Sends the request to the server picked for it, or answers it when there is none."""
        server = self.selection.pick_server(now, request)
        if server is None:
            self.finish(request, reject=request.first_run_on is None)
            return
        timeout = self.attempt_timeout(now, request, server)
        if server.in_flight == 0:
            server.last_outcome_at = now
        server.in_flight += 1
        if not server.outside_limit:
            self.controller.record_in_flight(now, 1)
        if server.slow_start_until <= now:
            self.slow_start.warm_sent += 1
        request.server = server
        request.attempted_servers.append(server)
        request.sent_at = now
        request.attempts += 1
        self.actions.send(request.id, server.id, timeout)

    def attempt_timeout(self, now: int, request: Request, server: Server) -> int:
        """How long this attempt may take: the time remaining, or less where that leaves time for another.

        Failure prevented: a response that never comes costs the request all of its time.
        """
        remaining = request.useful_until - now
        if request.effect == Effect.NOT_IDEMPOTENT:
            return remaining
        mean = self.mean_rtt[request.request_class]
        if server.outside_limit:  # a probe of an ejected server
            return min(remaining, max(self.settings.tick, int(SILENT_FACTOR * mean)))
        # Failure prevented: under overload every instance aborts attempts that are half done, their work is
        # lost at this tier and all behind it, and the next attempts overload the tier again.
        patience = max(self.settings.tick, int(ATTEMPT_TIMEOUT_FACTOR * mean))
        if request.attempts + 1 < self.settings.max_attempts and self.retry_budget.allows(Outcome.TIMEOUT):
            return min(remaining, max(remaining // 2, patience))
        return remaining

    def after_failure(self, now: int, request: Request, server: Server | None, outcome: Outcome) -> None:
        """Retries where class, time, budget and the cap on attempts allow it; else answers."""
        if outcome not in NEVER_RAN and request.first_run_on is None:
            request.first_run_on = server
            request.first_run_at = request.sent_at
        if (
            self.may_run_again(now, request)
            and request.attempts < self.settings.max_attempts
            and self.retry_budget.allows(outcome)
            and now + self.mean_rtt[request.request_class] < request.useful_until
        ):
            self.retry_budget.spend(outcome)
            self.attempt(now, request)
            return
        never_ran = request.first_run_on is None
        self.finish(request, reject=never_ran or request.effect == Effect.IDEMPOTENT)

    def may_run_again(self, now: int, request: Request) -> bool:
        """Whether a retry has no effect beyond that of the attempts before it."""
        if request.first_run_on is None or request.effect == Effect.IDEMPOTENT:
            return True
        window = self.settings.classes[request.request_class].window
        return request.effect == Effect.IDEMPOTENCY_KEY and now < request.first_run_at + window

    def finish(self, request: Request, reject: bool) -> None:
        """Gives the one final answer. `reject` only where a retry by the client is known to do no harm."""
        del self.requests[request.id]
        if not reject:
            self.actions.fail(request.id)
            return
        retry_after = 0
        if self.settings.retry_after:
            objective = self.settings.classes[request.request_class].latency_objective
            retry_after = min(self.settings.max_retry_after, int(objective / RETRY_AFTER_SHARE))
        self.actions.reject(request.id, retry_after)

    def reject_at_limit(self, request: Request) -> None:
        """Rejects a request that the limit leaves no room for."""
        self.blocked += 1
        self.finish(request, reject=True)

    def enqueue(self, now: int, request: Request) -> None:
        """Queues a request until there is room below the limit.

        Below the first tier a rejection wastes the work already done above. So this acts only where callers
        are servers, at the limit, for up to half the time remaining, for as many requests as the limit.
        """
        if not self.subset.available or len(self.queue) >= self.controller.limit:
            self.reject_at_limit(request)
            return
        request.queued = True
        self.queue.append(request)
        longest = max(1, (request.useful_until - now) // 2)
        self.actions.set_timer(longest, timer_token(TimerKind.QUEUE_TIMEOUT, request.id))

    def queue_timeout(self, request_id: int) -> None:
        """A request has been queued for as long as it may be."""
        request = self.requests.get(request_id)
        if request is not None and request.queued:
            request.queued = False
            self.reject_at_limit(request)

    def serve_queue(self, now: int) -> None:
        """Starts queued requests, in order, as far as the limit allows."""
        queue = self.queue
        while queue and (not queue[0].queued or self.controller.admits(now, 0)):
            request = queue.popleft()
            if request.queued and request.id in self.requests:
                request.queued = False
                self.attempt(now, request)

    def set_uploading(self, now: int, request: Request, attempt: int, uploading: bool) -> None:
        """The body that an attempt sends is on its way now, or has arrived.

        Failure prevented: clients that send slowly fill the limit, and the server they send to is ejected as
        silent.
        """
        server = request.server
        if server is None or request.uploading == uploading or attempt != request.attempts - 1:
            return
        if not uploading and server.in_flight == 0:
            server.last_outcome_at = now
        server.uploads += 1 if uploading else -1
        request.uploading = uploading
        request.sent_at = now
        request.useful_until = now + request.patience
        change = -1 if uploading else 1
        server.in_flight += change
        if not server.outside_limit:
            self.controller.record_in_flight(now, change)
