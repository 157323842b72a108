"""What all baselines share: the server list, a request's life, and when a retry is allowed.

A baseline retries a failed request at once while attempts and time remain, on a server not tried yet where
there is one. It has no retry budget: what that costs under overload is a thing to compare the policy with.
Subclasses select servers and may limit what is admitted.
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

LIST_POLL_TOKEN = 1  # of the timer after which the list is polled again
LIST_RETRY_DELAY = 500_000  # microseconds
NO_SERVER = -1


class OpenRequest:
    """A request without a final outcome.

    Args:
        request_class: The request's class.
        deadline: When its time is over.

    Attributes:
        tried: The servers of its attempts.
        attempts: Their number.
        current_server: The server of the attempt in flight.
        first_run: The first server that may have run it.
        first_run_at: When the attempt at that server was sent.
        sent_at: When the last attempt was sent.
    """

    __slots__ = (
        "attempts",
        "current_server",
        "deadline",
        "first_run",
        "first_run_at",
        "request_class",
        "sent_at",
        "tried",
    )

    def __init__(self, request_class: int, deadline: int) -> None:
        self.request_class = request_class
        self.deadline = deadline
        self.tried: list[int] = []
        self.attempts = 0
        self.current_server = NO_SERVER
        self.first_run: ServerEntry | None = None
        self.first_run_at = 0
        self.sent_at = 0


class Baseline:
    """The `Events` of a policy without memory of servers. Times in microseconds.

    Args:
        settings: The node's settings.
        seed: Of the policy's random choices.
        actions: Carries out what the policy decides.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.rng = Random(seed)
        self.servers: dict[int, ServerEntry] = {}
        self.ids: list[int] = []
        self.in_flight: dict[int, int] = {}  # attempts by server
        self.open: dict[int, OpenRequest] = {}

    # ---- what a policy decides -----------------------------------------------------------------------------

    def choose(self, now: int, ids: Sequence[int]) -> int:
        """Returns one of the servers, of which there is at least one."""
        raise NotImplementedError

    def admits(self, now: int, request_class: int, remaining: int) -> bool:
        """Whether a request may start; it is rejected at once if not."""
        return True

    def on_attempt_sent(self, now: int, server: int) -> None:
        """Counts an attempt that is sent."""
        self.in_flight[server] = self.in_flight.get(server, 0) + 1

    def on_attempt_ended(self, now: int, server: int, outcome: Outcome, latency: int) -> None:
        """Counts an attempt that has ended."""
        self.in_flight[server] = max(0, self.in_flight.get(server, 0) - 1)

    # ---- events --------------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        """Watches the server list, where the node polls it."""
        if self.settings.list_on_request:
            self.actions.watch(True)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Takes a list or changes; polls again where the list could not be had."""
        if kind == ListKind.FAILED:
            self.actions.set_timer(LIST_RETRY_DELAY, LIST_POLL_TOKEN)
            return
        if kind != ListKind.CHANGES:
            self.servers.clear()
        for entry in entries:
            if entry.state == State.READY:
                self.servers[entry.server] = entry
            else:
                self.servers.pop(entry.server, None)
        self.ids = sorted(self.servers)

    def request(
        self, now: int, request: int, request_class: int, tenant: int, remaining: int, repeat: bool
    ) -> None:
        """Sends a new request to a server, or rejects it."""
        if not self.ids or not self.admits(now, request_class, remaining):
            self.actions.reject(request, 0)
            return
        self.open[request] = OpenRequest(request_class, now + remaining)
        self.send_attempt(now, request, self.ids)

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
        """Handles the outcome of an attempt: the request is over, or is retried where it may be."""
        self.on_attempt_ended(now, server, outcome, latency)
        open_request = self.open.get(request)
        if open_request is None or attempt != open_request.attempts - 1:
            return
        open_request.current_server = NO_SERVER
        if final or outcome == Outcome.OK:
            del self.open[request]
            return
        if outcome not in NEVER_RAN and open_request.first_run is None:
            open_request.first_run = self.servers.get(server) or ServerEntry(server, cell=-1, zone=-1)
            open_request.first_run_at = open_request.sent_at
        ids = self.retry_servers(now, open_request)
        if ids and self.has_attempts_and_time(now, open_request):
            self.send_attempt(now, request, ids)
        else:
            self.finish(request, open_request)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        """Does nothing: responses are whole here."""

    def upload(self, now: int, request: int, attempt: int, on: bool) -> None:
        """Does nothing: bodies are short here."""

    def client_disconnected(self, now: int, request: int) -> None:
        """Cancels the attempt in flight, where the node may."""
        open_request = self.open.pop(request, None)
        if open_request is not None and open_request.current_server >= 0 and self.settings.cancel:
            self.actions.cancel(request, open_request.attempts - 1)

    def zone_shares(self, now: int, shares: Mapping[int, float], additional_rtt: Mapping[int, int]) -> None:
        """Does nothing: a baseline has no fleet."""

    def trial_result(self, now: int, server: int, healthy: bool) -> None:
        """Does nothing: a baseline has no fleet."""

    def health_checked(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """Does nothing: a baseline makes no health checks."""

    def timer(self, now: int, token: int) -> None:
        """Polls the list again."""
        if token == LIST_POLL_TOKEN:
            self.actions.watch(True)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Does nothing: a baseline has no peers."""

    # ---- a request's life -----------------------------------------------------------------------------

    def send_attempt(self, now: int, request: int, ids: Sequence[int]) -> None:
        """Sends a request to one of the servers, if possible one that it has not tried."""
        open_request = self.open[request]
        server = self.choose(now, [i for i in ids if i not in open_request.tried] or ids)
        open_request.tried.append(server)
        open_request.attempts += 1
        open_request.current_server = server
        open_request.sent_at = now
        self.on_attempt_sent(now, server)
        self.actions.send(request, server, open_request.deadline - now)

    def has_attempts_and_time(self, now: int, open_request: OpenRequest) -> bool:
        """Whether the number of attempts and the deadline allow a retry."""
        remaining = open_request.deadline - now
        return open_request.attempts < self.settings.max_attempts and remaining > self.settings.tick

    def retry_servers(self, now: int, open_request: OpenRequest) -> Sequence[int]:
        """Returns where a request may be retried: anywhere, in its idempotency group, or nowhere."""
        request_class = self.settings.classes[open_request.request_class]
        first_run = open_request.first_run
        if first_run is None or request_class.effect == Effect.IDEMPOTENT:
            return self.ids
        is_expired = now > open_request.first_run_at + request_class.window
        if request_class.effect == Effect.NOT_IDEMPOTENT or is_expired:
            return ()
        return [i for i in self.ids if same_group(request_class, first_run, self.servers[i])]

    def finish(self, request: int, open_request: OpenRequest) -> None:
        """Ends a request that is not retried: rejected where it did not run or a retry does no harm."""
        del self.open[request]
        request_class = self.settings.classes[open_request.request_class]
        if open_request.first_run is None or can_retry_anywhere(request_class):
            self.actions.reject(request, 0)
        else:
            self.actions.fail(request)


def same_group(request_class: ClassSettings, first: ServerEntry, other: ServerEntry) -> bool:
    """Whether `other` discards the retry of what `first` may have run."""
    return first.server == other.server or is_in_group(request_class.group, first, other)
