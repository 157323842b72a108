"""Pending requests, from their admission to their one final response."""

from __future__ import annotations

import asyncio
from collections import Counter
from time import monotonic

from balancer.net.config import Config
from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.message import ClientRequest
from balancer.net.downstream.pending_request import PendingRequest
from balancer.net.downstream.request_validation import InvalidRequestError, RequestValidator
from balancer.net.process.counters import Counters
from balancer.net.process.event_queue import EventQueue
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.policy import Balancer
from balancer.policy.interface import Outcome

GUARD_DELAY_US = 10_000  # after the deadline: a request that the policy has left open is failed
OVER_CAPACITY_RETRY_AFTER_US = 500_000  # after so long there may be capacity for a client that found none


class Requests:
    """The pending requests: a `RequestHandler` for clients, and the policy's actions `reject` and `fail`.

    Args:
        config: the configuration of the node.
        loop: the event loop.
        lifecycle: the stage of the node.
        log: gets a line for each failure of this program.
        counters: count each request at its end.
        event_queue: hands events to the policy.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        lifecycle: Lifecycle,
        log: Log,
        counters: Counters,
        event_queue: EventQueue,
    ) -> None:
        self.settings = config.settings
        self.loop = loop
        self.lifecycle = lifecycle
        self.log = log
        self.counters = counters
        self.event_queue = event_queue
        self.balancer: Balancer  # the policy; it is made with these actions, and set then
        self.pending: dict[int, PendingRequest] = {}
        self.by_client: dict[ClientConnection, PendingRequest] = {}
        self.last_id = 0
        self.last_answer: int | None = None  # when a node that shuts down sends its last response
        self.guarded = 0
        self.validator = RequestValidator(config)
        self.counts: Counter[str] = Counter()  # attempts by outcome and responses by status, in all

    def on_request(self, client: ClientConnection, message: ClientRequest) -> None:
        """Takes a client's request.

        Failure prevented: an exception here would close the connection without a response.
        """
        try:
            self.accept(client, message)
        except Exception as e:  # whatever it is, it is this request's failure alone
            self.log.line(f"request: {type(e).__name__}: {e}")
            client.respond(500)

    def accept(self, client: ClientConnection, message: ClientRequest) -> None:
        """Checks a request and hands it to the policy."""
        now = self.event_queue.now()
        request_class = self.validator.class_of(message)
        if request_class is None:
            self.respond_without_class(client, message)
            return
        try:
            parameters = self.validator.parse(message, request_class)
        except InvalidRequestError as error:
            client.respond(error.status, headers=error.headers)
            return
        if len(self.pending) >= self.settings.max_open:
            self.reject_over_capacity(client, message)
            return
        # Failure prevented: one that was pipelined, or waited in a process that was suspended after reading
        # it, gets its response after its deadline. The loop's own clock stands still in an iteration.
        waited = max(0, int((monotonic() - message.received_at) * 1e6))
        remaining = self.remaining_before_shutdown(now, max(0, parameters.budget_us - waited))
        self.last_id += 1
        request = PendingRequest(self.last_id, client, message, request_class, now, remaining)
        self.pending[request.id] = self.by_client[client] = request
        if request.incoming_body() is None:
            self.start_guard(request)
        self.event_queue.post(
            self.balancer.request,
            request.id,
            request_class,
            parameters.tenant,
            remaining,
            parameters.is_repeat,
        )

    def respond_without_class(self, client: ClientConnection, message: ClientRequest) -> None:
        """Responds to a request whose path names no class: whether the node is ready, or an error."""
        if message.target.partition(b"?")[0] != b"/ready":
            client.respond(404)
        elif message.method != b"GET":
            client.respond(405, headers=b"Allow: GET\r\n")
        else:
            client.respond(200 if self.lifecycle.serving else 503)

    def remaining_before_shutdown(self, now: int, remaining: int) -> int:
        """The remaining time of a request, limited as the node shuts down.

        Failure prevented: the process is killed with a request that came, or was completed, in its shutdown.
        """
        return remaining if self.last_answer is None else min(remaining, max(0, self.last_answer - now))

    def reject_over_capacity(self, client: ClientConnection, message: ClientRequest) -> None:
        """Rejects a request for which the node itself has no capacity; the policy is not notified.

        Failure prevented: a client without a Retry-After retries at once.
        """
        request_class = self.validator.class_of(message)
        if request_class is not None:
            self.counters.count_finished(request_class, 503)
        client.respond(503, headers=self.over_capacity_headers())

    def over_capacity_headers(self) -> bytes:
        """The Retry-After header of a rejection that the policy has no part in."""
        return retry_after_header(min(OVER_CAPACITY_RETRY_AFTER_US, self.settings.max_retry_after))

    def start_guard(self, request: PendingRequest) -> None:
        """Begins the request's time, at whose end it gets a response in any case."""
        request.guard = self.loop.call_later(
            (request.remaining + GUARD_DELAY_US) / 1e6, self.deadline_expired, request
        )

    def request_malformed(self, client: ClientConnection, status: int) -> None:
        """Responds with an error to a request that will never be complete, and abandons it."""
        request = self.by_client.get(client)
        if request is not None:
            if request.stream is not None:
                # Failure prevented: its aborted response has no end, and its client waits for one.
                request.stream.abort()
            self.respond(request.id, status)
            self.abandon(request)

    def client_disconnected(self, client: ClientConnection) -> None:
        """Abandons the request of a client that has gone."""
        request = self.by_client.get(client)
        if request is not None:
            self.detach_client(request)
            self.abandon(request)

    def abandon(self, request: PendingRequest) -> None:
        """Ends the attempt of a request whose client waits no longer.

        Failure prevented: a server that takes a request slowly gets its last byte after its client has gone.
        """
        self.event_queue.post(self.balancer.client_disconnected, request.id)
        if request.exchange is not None and (request.stream is not None or request.is_partly_written()):
            request.exchange.abort(Outcome.CANCELLED)

    def limit_deadlines(self, last_answer: int) -> None:
        """Limits the deadlines of all requests, pending or still to come: the node shuts down.

        Failure prevented: a request whose time lasts longer is open as the process is killed.
        """
        self.last_answer = last_answer
        for request in self.pending.values():
            is_waiting = request.client is not None and request.stream is None
            if is_waiting and request.guard is not None and request.deadline > last_answer:
                request.deadline = last_answer
                request.guard.cancel()
                delay = (last_answer - self.event_queue.now()) / 1e6
                request.guard = self.loop.call_later(delay, self.time_out, request)

    def deadline_expired(self, request: PendingRequest) -> None:
        """The guard: times out a request still open after its deadline, which the policy has left open."""
        self.guarded += 1
        self.log.line(f"guard: request {request.id} was still open at its deadline")
        self.time_out(request)

    def time_out(self, request: PendingRequest) -> None:
        """Responds to a request whose deadline has passed, and abandons it."""
        self.respond(request.id, 504)
        self.event_queue.post(self.balancer.client_disconnected, request.id)

    # ---- responses --------------------------------------------------------------------------------------

    def respond(self, number: int, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Gives the client its one final response."""
        request = self.pending.get(number)
        if request is not None and request.client is not None and request.stream is None:
            client = request.client
            self.close_request(request, status)
            client.respond(status, body, headers)

    def close_request(self, request: PendingRequest, status: int) -> None:
        """Counts a request at its end."""
        self.counts[f"answered_{status}"] += 1
        self.counters.count_finished(request.request_class, status)
        self.detach_client(request)

    def detach_client(self, request: PendingRequest) -> None:
        """Forgets the client, which needs no further response."""
        if request.client is not None:
            del self.by_client[request.client]
            request.client = None
        if request.guard is not None:
            request.guard.cancel()
        if request.exchange is None:
            self.pending.pop(request.id, None)

    def reject(self, request: int, retry_after: int) -> None:
        """Responds with 503, and with advice when to retry."""
        self.respond(request, 503, headers=retry_after_header(retry_after))

    def fail(self, request: int) -> None:
        """Responds with 502."""
        self.respond(request, 502)


def retry_after_header(delay_us: int) -> bytes:
    """The Retry-After header, if there is a delay."""
    return b"Retry-After: %.3f\r\n" % (delay_us / 1e6) if delay_us > 0 else b""
