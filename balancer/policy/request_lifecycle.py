"""The lifecycle of a request: queueing, attempts, retries and the final answer."""

from __future__ import annotations

from collections import deque

from balancer.policy.ejection import SILENCE_TIMEOUT_FACTOR
from balancer.policy.gradient import GradientController
from balancer.policy.interface import NEVER_RAN, Actions, Effect, Outcome, Settings
from balancer.policy.request import Request
from balancer.policy.retry_budget import RetryBudget
from balancer.policy.selection import Selection
from balancer.policy.server import Server
from balancer.policy.slow_start import SlowStart
from balancer.policy.subset import Subset
from balancer.policy.timers import TimerKind, timer_token

# The minimum timeout of an attempt after which a retry is possible, as a number of mean round-trips.
ATTEMPT_TIMEOUT_FACTOR = 8
# Retry-After is the class's latency objective divided by this.
RETRY_AFTER_DIVISOR = 8


class RequestLifecycle:
    """The open requests and their handling from admission to the final answer.

    Args:
        settings: The instance's settings.
        actions: The host's actions.
        mean_rtt: The mean round-trip time by class in microseconds, which AttemptMetrics updates.
        controller: The limit on attempts in flight.
        subset: The members, the servers of this instance. A request is queued only if one is available.
        slow_start: Counts the attempts sent to warm servers.
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
        self.rejected_at_limit = 0  # The number of rejected requests, rq_blocked in the statistics.

    def start_attempt(self, now: int, request: Request) -> None:
        """Send the request to a picked server, or give the final answer if there is none."""
        server = self.selection.pick_server(now, request)
        if server is None:
            self.finish(request, reject=request.first_run_server is None)
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
        """Return the attempt's timeout: the remaining time, or less if another attempt can follow.

        If the first attempt had all the time of the request, a response that never arrives would leave no
        time for a retry.
        """
        remaining = request.expires_at - now
        if request.effect == Effect.NOT_IDEMPOTENT:
            return remaining
        mean = self.mean_rtt[request.request_class]
        if server.outside_limit:
            # The attempt is a probe of an ejected server.
            return min(remaining, max(self.settings.tick, int(SILENCE_TIMEOUT_FACTOR * mean)))
        # With a timeout below this minimum, every instance would abort half-done attempts under overload. The
        # work on them would be lost at this tier and all tiers behind it, and the retries would overload the
        # servers again.
        min_timeout = max(self.settings.tick, int(ATTEMPT_TIMEOUT_FACTOR * mean))
        if request.attempts + 1 < self.settings.max_attempts and self.retry_budget.allows(Outcome.TIMEOUT):
            return min(remaining, max(remaining // 2, min_timeout))
        return remaining

    def retry_or_finish(self, now: int, request: Request, server: Server | None, outcome: Outcome) -> None:
        """Retry if class, time, budget and the number of attempts allow it; else give the final answer."""
        if outcome not in NEVER_RAN and request.first_run_server is None:
            request.first_run_server = server
            request.first_run_at = request.sent_at
        if (
            self.is_retry_safe(now, request)
            and request.attempts < self.settings.max_attempts
            and self.retry_budget.allows(outcome)
            and now + self.mean_rtt[request.request_class] < request.expires_at
        ):
            self.retry_budget.spend(outcome)
            self.start_attempt(now, request)
            return
        never_ran = request.first_run_server is None
        self.finish(request, reject=never_ran or request.effect == Effect.IDEMPOTENT)

    def is_retry_safe(self, now: int, request: Request) -> bool:
        """Return whether a retry has no effect beyond that of the earlier attempts."""
        if request.first_run_server is None or request.effect == Effect.IDEMPOTENT:
            return True
        window = self.settings.classes[request.request_class].window
        return request.effect == Effect.IDEMPOTENCY_KEY and now < request.first_run_at + window

    def finish(self, request: Request, reject: bool) -> None:
        """Give the final answer: a failure, or a rejection (`reject`) if a retry by the client is safe."""
        del self.requests[request.id]
        if not reject:
            self.actions.fail(request.id)
            return
        retry_after = 0
        if self.settings.retry_after:
            objective = self.settings.classes[request.request_class].latency_objective
            retry_after = min(self.settings.max_retry_after, int(objective / RETRY_AFTER_DIVISOR))
        self.actions.reject(request.id, retry_after)

    def reject_at_limit(self, request: Request) -> None:
        """Reject a request that would exceed the limit."""
        self.rejected_at_limit += 1
        self.finish(request, reject=True)

    def enqueue(self, now: int, request: Request) -> None:
        """Queue a request until the limit admits it.

        Below the first tier a rejection wastes the work that the tiers above have already done. Therefore
        requests whose clients are servers are queued at the limit, for up to half their remaining time and
        up to as many as the limit.
        """
        if not self.subset.available or len(self.queue) >= self.controller.limit:
            self.reject_at_limit(request)
            return
        request.queued = True
        self.queue.append(request)
        longest = max(1, (request.expires_at - now) // 2)
        self.actions.set_timer(longest, timer_token(TimerKind.QUEUE_TIMEOUT, request.id))

    def queue_timeout(self, request_id: int) -> None:
        """Reject a request that has been queued for the maximum time."""
        request = self.requests.get(request_id)
        if request is not None and request.queued:
            request.queued = False
            self.reject_at_limit(request)

    def serve_queue(self, now: int) -> None:
        """Start queued requests in order until the limit is reached."""
        queue = self.queue
        while queue and (not queue[0].queued or self.controller.admits(now, 0)):
            request = queue.popleft()
            if request.queued and request.id in self.requests:
                request.queued = False
                self.start_attempt(now, request)

    def set_uploading(self, now: int, request: Request, attempt: int, uploading: bool) -> None:
        """Record the start or the end of the upload of an attempt's request body.

        During the upload the attempt does not count as in flight. Otherwise clients that send slowly would
        fill the limit, and the server would be ejected as silent.
        """
        server = request.server
        if server is None or request.uploading == uploading or attempt != request.attempts - 1:
            return
        if not uploading and server.in_flight == 0:
            server.last_outcome_at = now
        server.uploads += 1 if uploading else -1
        request.uploading = uploading
        request.sent_at = now
        request.expires_at = now + request.time_limit
        change = -1 if uploading else 1
        server.in_flight += change
        if not server.outside_limit:
            self.controller.record_in_flight(now, change)
