"""The common base of all baselines: the server list, the lifecycle of requests, and the rules for retries.

A baseline retries a failed request at once while attempts and time remain, if possible at a server that has
not been tried yet. It has no retry budget, so a comparison with it shows what retries cost under overload.
Subclasses select servers and may limit admission.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from balancer.policy.interface import (
    NEVER_RAN,
    Actions,
    ClassSettings,
    Effect,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
    State,
)
from workbench.model.referee import can_retry_anywhere, is_in_group

# The token of the timer after which the server list is polled again.
LIST_POLL_TOKEN = 1
LIST_RETRY_DELAY_US = 500_000
NO_SERVER = -1


class OpenRequest:
    """A request without a final outcome.

    Args:
        request_class: The request's class.
        deadline: The time by which a response is needed.

    Attributes:
        tried_servers: The servers of the attempts.
        attempts: The number of attempts.
        current_server: The server of the attempt in flight, or `NO_SERVER`.
        first_executor: The first server that may have executed the request.
        first_executor_sent_at: When the attempt at that server was sent.
        sent_at: When the last attempt was sent.
    """

    __slots__ = (
        "attempts",
        "current_server",
        "deadline",
        "first_executor",
        "first_executor_sent_at",
        "request_class",
        "sent_at",
        "tried_servers",
    )

    def __init__(self, request_class: int, deadline: int) -> None:
        self.request_class = request_class
        self.deadline = deadline
        self.tried_servers: list[int] = []
        self.attempts = 0
        self.current_server = NO_SERVER
        self.first_executor: ServerEntry | None = None
        self.first_executor_sent_at = 0
        self.sent_at = 0


class Baseline:
    """A policy that keeps no measurements of servers. Times are in microseconds.

    Args:
        settings: The node's settings.
        seed: The seed of the policy's random choices.
        actions: Carries out the policy's decisions.

    Attributes:
        server_ids: The listed servers that are ready, in ascending order.
        in_flight: The number of attempts in flight, by server.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.rng = Random(seed)
        self.servers: dict[int, ServerEntry] = {}
        self.server_ids: list[int] = []
        self.in_flight: dict[int, int] = {}
        self.open_requests: dict[int, OpenRequest] = {}

    # ---- decisions of subclasses ---------------------------------------------------------------------------

    def select_server(self, now: int, server_ids: Sequence[int]) -> int:
        """Return one of the servers; there is at least one."""
        raise NotImplementedError

    def admits(self, now: int, request_class: int, remaining: int) -> bool:
        """Return whether a request is admitted; if not, it is rejected at once."""
        return True

    def on_attempt_sent(self, now: int, server: int) -> None:
        """Count an attempt that is sent to a server as in flight."""
        self.in_flight[server] = self.in_flight.get(server, 0) + 1

    def on_attempt_ended(self, now: int, server: int, outcome: Outcome, latency: int) -> None:
        """Count an attempt that has ended as no longer in flight."""
        self.in_flight[server] = max(0, self.in_flight.get(server, 0) - 1)

    # ---- events --------------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        """Start a watch on the server list, if the list must be polled."""
        if self.settings.list_on_request:
            self.actions.watch(True)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Apply a list or changes to it; schedule another poll if the list could not be fetched."""
        if kind == ListKind.FAILED:
            self.actions.set_timer(LIST_RETRY_DELAY_US, LIST_POLL_TOKEN)
            return
        if kind != ListKind.CHANGES:
            self.servers.clear()
        for entry in entries:
            if entry.state == State.READY:
                self.servers[entry.server] = entry
            else:
                self.servers.pop(entry.server, None)
        self.server_ids = sorted(self.servers)

    def request(
        self, now: int, request: int, request_class: int, tenant: int, remaining: int, repeat: bool
    ) -> None:
        """Send a new request to a server, or reject it."""
        if not self.server_ids or not self.admits(now, request_class, remaining):
            self.actions.reject(request, 0)
            return
        self.open_requests[request] = OpenRequest(request_class, now + remaining)
        self.send_attempt(now, request, self.server_ids)

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
        """Finish or retry a request after the outcome of an attempt."""
        self.on_attempt_ended(now, server, outcome, latency)
        open_request = self.open_requests.get(request)
        if open_request is None or attempt != open_request.attempts - 1:
            return
        open_request.current_server = NO_SERVER
        if final or outcome == Outcome.OK:
            del self.open_requests[request]
            return
        if outcome not in NEVER_RAN and open_request.first_executor is None:
            open_request.first_executor = self.servers.get(server) or ServerEntry(server, cell=-1, zone=-1)
            open_request.first_executor_sent_at = open_request.sent_at
        server_ids = self.retry_servers(now, open_request)
        if server_ids and self.may_retry(now, open_request):
            self.send_attempt(now, request, server_ids)
        else:
            self.finish(request, open_request)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        """Ignore the event, as responses arrive whole."""

    def upload(self, now: int, request: int, attempt: int, on: bool) -> None:
        """Ignore the event, as request bodies are short."""

    def client_disconnected(self, now: int, request: int) -> None:
        """Cancel the attempt in flight, if the settings allow it."""
        open_request = self.open_requests.pop(request, None)
        if open_request is not None and open_request.current_server >= 0 and self.settings.cancel:
            self.actions.cancel(request, open_request.attempts - 1)

    def zone_shares(self, now: int, shares: Mapping[int, float], additional_rtt: Mapping[int, int]) -> None:
        """Ignore the event, as a baseline has no fleet."""

    def trial_result(self, now: int, server: int, healthy: bool) -> None:
        """Ignore the event, as a baseline has no fleet."""

    def health_checked(
        self, now: int, server: int, healthy: bool, latency: int, report: Sequence[float]
    ) -> None:
        """Ignore the event, as a baseline makes no health checks."""

    def timer(self, now: int, token: int) -> None:
        """Poll the list again after a failure."""
        if token == LIST_POLL_TOKEN:
            self.actions.watch(True)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Ignore the event, as a baseline has no peers."""

    # ---- request lifecycle ----------------------------------------------------------------------------

    def send_attempt(self, now: int, request: int, server_ids: Sequence[int]) -> None:
        """Send a request to one of the servers, if possible one that has not been tried for it."""
        open_request = self.open_requests[request]
        server = self.select_server(
            now, [i for i in server_ids if i not in open_request.tried_servers] or server_ids
        )
        open_request.tried_servers.append(server)
        open_request.attempts += 1
        open_request.current_server = server
        open_request.sent_at = now
        self.on_attempt_sent(now, server)
        self.actions.send(request, server, open_request.deadline - now)

    def may_retry(self, now: int, open_request: OpenRequest) -> bool:
        """Return whether the number of attempts and the deadline allow a retry."""
        remaining = open_request.deadline - now
        return open_request.attempts < self.settings.max_attempts and remaining > self.settings.tick

    def retry_servers(self, now: int, open_request: OpenRequest) -> Sequence[int]:
        """Return the servers at which a request may be retried: all, its idempotency group, or none."""
        request_class = self.settings.classes[open_request.request_class]
        first_executor = open_request.first_executor
        if first_executor is None or request_class.effect == Effect.IDEMPOTENT:
            return self.server_ids
        is_expired = now > open_request.first_executor_sent_at + request_class.window
        if request_class.effect == Effect.NOT_IDEMPOTENT or is_expired:
            return ()
        return [i for i in self.server_ids if in_same_group(request_class, first_executor, self.servers[i])]

    def finish(self, request: int, open_request: OpenRequest) -> None:
        """End a request that is not retried.

        It is rejected if no server has executed it or if clients may retry it safely, and fails otherwise.
        """
        del self.open_requests[request]
        request_class = self.settings.classes[open_request.request_class]
        if open_request.first_executor is None or can_retry_anywhere(request_class):
            self.actions.reject(request, 0)
        else:
            self.actions.fail(request)


def in_same_group(request_class: ClassSettings, first: ServerEntry, other: ServerEntry) -> bool:
    """Return whether `other` discards a retry of a request that `first` may have executed."""
    return first.server == other.server or is_in_group(request_class.group, first, other)
