"""The pending requests, from admission to their single final response."""

from __future__ import annotations

import asyncio
from collections import Counter
from time import monotonic

from balancer.net.config import Config
from balancer.net.downstream.abandoned_requests import AbandonedRequests
from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.message import ClientRequest
from balancer.net.downstream.pending_request import PendingRequest
from balancer.net.downstream.request_validation import InvalidRequestError, RequestValidator
from balancer.net.downstream.shutdown import Shutdown
from balancer.net.downstream.stream_limit import StreamLimit
from balancer.net.process.counters import Counters
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.event_queue import EventQueue
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.net.process.shared_digests import SharedDigests
from balancer.net.process.traffic_events import GiveWayCause, RefusalReason, TrafficEvents
from balancer.policy import Balancer
from balancer.policy.interface import Effect, Outcome

CALL_ID_HEADER = b"x-call-id"
# Time after its deadline at which a request that the policy has left open gets a 504 response.
DEADLINE_GRACE_US = 10_000
# Delay that the Retry-After header of a rejection for lack of capacity in the node advises.
OVER_CAPACITY_RETRY_AFTER_US = 500_000


class Requests:
    """All pending requests.

    For client connections, this is the `RequestHandler`. For the policy, which decides on each request, it
    provides the actions `reject` and `fail`.

    Args:
        config: The configuration of the node.
        loop: The event loop.
        lifecycle: The stage of the node.
        log: Receives a line for each internal error.
        counters: Counts each finished request.
        event_queue: Passes events to the policy.
        events: Records why requests are refused.
        descriptor_budget: Bounds the connections that streamed bodies take.
        shared_digests: What the processes of the node share of requests that must not run twice.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        lifecycle: Lifecycle,
        log: Log,
        counters: Counters,
        event_queue: EventQueue,
        events: TrafficEvents,
        descriptor_budget: DescriptorBudget,
        shared_digests: SharedDigests,
    ) -> None:
        self.settings = config.settings
        self.loop = loop
        self.lifecycle = lifecycle
        self.log = log
        self.counters = counters
        self.event_queue = event_queue
        self.events = events
        # The policy. It is assigned after this object is constructed, because the policy's own constructor
        # needs the actions `reject` and `fail` of this object.
        self.balancer: Balancer
        self.pending: dict[int, PendingRequest] = {}
        self.by_client: dict[ClientConnection, PendingRequest] = {}
        self.stream_limit = StreamLimit(loop, descriptor_budget, self.by_client)
        self.last_id = 0
        self.abandoned = AbandonedRequests(shared_digests)
        self.shutdown = Shutdown()
        # Requests that the policy left open past their deadline.
        self.overdue_count = 0
        self.validator = RequestValidator(config)
        # Total attempts by outcome and responses by status.
        self.counts: Counter[str] = Counter()

    def on_request(self, client: ClientConnection, message: ClientRequest) -> None:
        """Handle a client's request.

        An exception is caught here, is logged and gets a 500 response. If it reached the event loop, the loop
        would close the connection without a response.
        """
        try:
            self.accept(client, message)
        except Exception as e:
            self.log.line(f"request: {type(e).__name__}: {e}")
            self.events.refused(client.number, RefusalReason.INTERNAL, 500)
            client.respond(500)

    def accept(self, client: ClientConnection, message: ClientRequest) -> None:
        """Validate a request and pass it to the policy."""
        now = self.event_queue.now()
        request_class = self.validator.class_of(message)
        if request_class is None:
            self.respond_without_class(client, message)
            return
        try:
            parameters = self.validator.parse(message, request_class)
        except InvalidRequestError as error:
            self.events.refused(client.number, RefusalReason.INPUT, error.status)
            client.respond(error.status, headers=error.headers)
            return
        call_id = message.headers[CALL_ID_HEADER]
        if self.is_unsafe(request_class) and self.abandoned.may_have_run(call_id, now):
            self.events.refused(client.number, RefusalReason.REPEATED, 502)
            self.counters.count_finished(request_class, 502)
            client.respond(502)
            return
        if len(self.pending) >= self.settings.max_open:
            self.reject_over_capacity(client, message, RefusalReason.MAX_OPEN)
            return
        is_upload = message.upload is not None and not message.upload.is_complete
        if is_upload and not self.stream_limit.admit():
            self.reject_over_capacity(client, message, RefusalReason.UPLOADS)
            return
        # The time since the request was read counts against its budget: it may have been pipelined, or the
        # process may have been suspended after reading it. `monotonic` is used because the loop's clock does
        # not advance within an iteration.
        waited = max(0, int((monotonic() - message.received_at) * 1e6))
        remaining = self.shutdown.limit(now, max(0, parameters.budget_us - waited))
        if self.shutdown.began_at is not None:
            self.events.came_late(client.number, message.received_at - self.shutdown.began_at)
        self.last_id += 1
        request = PendingRequest(self.last_id, client, message, request_class, now, remaining)
        self.pending[request.id] = self.by_client[client] = request
        self.start_deadline_timer(request)
        self.event_queue.post(
            self.balancer.request,
            request.id,
            request_class,
            parameters.tenant,
            remaining,
            parameters.is_repeat,
        )

    def respond_without_class(self, client: ClientConnection, message: ClientRequest) -> None:
        """Respond to a request whose path names no class.

        The path `/ready` tells by 200 or 503 whether the node serves; any other path gets a 404.
        """
        if message.target.partition(b"?")[0] != b"/ready":
            client.respond(404)
        elif message.method != b"GET":
            client.respond(405, headers=b"Allow: GET\r\n")
        else:
            client.respond(200 if self.lifecycle.is_serving else 503)

    def reject_over_capacity(
        self, client: ClientConnection, message: ClientRequest, reason: RefusalReason
    ) -> None:
        """Reject a request for which the node itself has no capacity; the policy is not notified.

        The response has a Retry-After header, because a client that gets none would retry at once.
        """
        request_class = self.validator.class_of(message)
        if request_class is not None:
            self.counters.count_finished(request_class, 503)
        self.events.refused(client.number, reason, 503)
        client.respond(503, headers=self.over_capacity_headers())

    def over_capacity_headers(self) -> bytes:
        """Return the Retry-After header line of a rejection that is not decided by the policy."""
        return retry_after_header(min(OVER_CAPACITY_RETRY_AFTER_US, self.settings.max_retry_after))

    def start_deadline_timer(self, request: PendingRequest) -> None:
        """Start the timer that ends the request if it has no response yet shortly after its deadline."""
        request.deadline_timer = self.loop.call_later(
            (request.remaining + DEADLINE_GRACE_US) / 1e6, self.deadline_expired, request
        )

    def set_waiting_for_client(self, client: ClientConnection, waiting: bool) -> None:
        """Record whether a request with a streamed body waits for its client; let its deadline run if not.

        The time that a client takes for its body is not counted, and the time that a server takes is.
        """
        request = self.by_client.get(client)
        if request is None or request.stream is not None or request.is_waiting_for_client == waiting:
            return
        now = self.event_queue.now()
        request.is_waiting_for_client = waiting
        if waiting:
            request.remaining = max(0, request.deadline - now)
            if request.deadline_timer is not None:
                request.deadline_timer.cancel()
                request.deadline_timer = None
        else:
            request.remaining = self.shutdown.limit(now, request.remaining)
            request.deadline = now + request.remaining
            self.start_deadline_timer(request)

    def request_malformed(self, client: ClientConnection, status: int, reason: RefusalReason) -> None:
        """Respond with an error to the client's request, whose body will not be completed, and abandon it."""
        request = self.by_client.get(client)
        if request is not None:
            if request.stream is not None:
                # A response that has started is aborted, because the client would wait for its end.
                request.stream.abort()
            headers = self.over_capacity_headers() if status == 503 else b""
            self.refuse(request.id, status, reason, headers)
            self.abandon(request)

    def client_disconnected(self, client: ClientConnection) -> None:
        """Abandon the request of a client that has disconnected."""
        request = self.by_client.get(client)
        if request is not None:
            self.detach_client(request)
            self.abandon(request)

    def end_excess_unread(self) -> None:
        """End responses that are not read, if there are too many."""
        self.stream_limit.end_excess_unread()

    def end_unread(self) -> bool:
        """End a response that is not read to make room for a client, and return whether there was one."""
        return self.stream_limit.end_unread(GiveWayCause.CONNECTIONS)

    def abandon(self, request: PendingRequest) -> None:
        """Notify the policy that the client no longer waits, and cancel an attempt that need not go on.

        A request that is only partly written is cancelled here, so that a server that reads slowly does not
        get its last byte after the client has disconnected. An attempt whose response is already streamed is
        cancelled as well; any other attempt is left to the policy.
        """
        self.event_queue.post(self.balancer.client_disconnected, request.id)
        if self.may_run(request):
            self.abandoned.remember(request.message.headers[CALL_ID_HEADER], self.event_queue.now())
        if request.exchange is not None and (request.stream is not None or request.is_partly_written()):
            request.exchange.abort(Outcome.CANCELLED)

    def is_unsafe(self, request_class: int) -> bool:
        """Return whether requests of this class must not run twice."""
        return self.settings.classes[request_class].effect == Effect.NOT_IDEMPOTENT

    def on_written(self, request: PendingRequest) -> None:
        """Tell another process of the node of a request that is being written and must not run twice."""
        if self.is_unsafe(request.request_class):
            self.abandoned.on_written(request.message.headers[CALL_ID_HEADER])

    def set_shared(self, shared: bool) -> None:
        """Begin or cease to share what must not run twice, as another process of the node starts or ends."""
        if shared:
            written = [r for r in self.pending.values() if self.is_unsafe(r.request_class) and r.attempts]
            self.abandoned.start_sharing(r.message.headers[CALL_ID_HEADER] for r in written)
        else:
            self.abandoned.stop_sharing(self.event_queue.now())

    def may_run(self, request: PendingRequest) -> bool:
        """Return whether a request that must not run twice may have run, or may yet run at its server."""
        if not self.is_unsafe(request.request_class):
            return False
        is_out = request.exchange is not None and request.exchange.connection is not None
        return request.ran_at is not None or (is_out and not request.is_partly_written())

    def limit_deadlines(self, last_response_at: int) -> None:
        """Limit the deadlines of pending and later requests to `last_response_at`, as the node shuts down.

        A request with a longer deadline would still be open when the process is killed.
        """
        self.shutdown.begin(last_response_at)
        for request in self.pending.values():
            is_waiting = request.client is not None and request.stream is None
            if is_waiting and request.deadline_timer is not None and request.deadline > last_response_at:
                request.deadline = last_response_at
                request.deadline_timer.cancel()
                delay = (last_response_at - self.event_queue.now()) / 1e6
                request.deadline_timer = self.loop.call_later(delay, self.time_out, request)

    def may_stream(self, request: PendingRequest, length: int | None) -> bool:
        """Return whether a long response to this request may be begun.

        A request that comes late in the shutdown would be lost with the process, in the middle of its
        response.

        Args:
            request: The request.
            length: The bytes of the response's body; None if their number is not known.
        """
        has_come = request.incoming_body() is None
        is_late = self.shutdown.began_at is not None and not has_come
        is_late = is_late or self.shutdown.is_late(request.message.received_at)
        return not is_late or self.shutdown.has_time_for(self.event_queue.now(), length)

    def refuse_late(self, request: PendingRequest) -> None:
        """Refuse a request whose response cannot be complete before the process is killed.

        It may have run, so a 503, after which the client may send it again, is only for idempotent ones.
        """
        if self.settings.classes[request.request_class].effect == Effect.IDEMPOTENT:
            self.refuse(request.id, 503, RefusalReason.SHUTDOWN, self.over_capacity_headers())
        else:
            self.refuse(request.id, 502, RefusalReason.SHUTDOWN)

    def deadline_expired(self, request: PendingRequest) -> None:
        """Time out a request that the policy has left open past its deadline, and log it."""
        self.overdue_count += 1
        self.log.line(f"request {request.id} was still open after its deadline")
        self.time_out(request)

    def time_out(self, request: PendingRequest) -> None:
        """Respond to a request whose deadline has passed, and notify the policy.

        The status is 504, or 503 if a server lacks part of the request and so cannot have run it.
        """
        if request.exchange is not None and request.is_partly_written():
            self.refuse(request.id, 503, RefusalReason.DEADLINE, self.over_capacity_headers())
            request.exchange.abort(Outcome.CONNECT_FAILED)
        else:
            self.refuse(request.id, 504, RefusalReason.DEADLINE)
        self.event_queue.post(self.balancer.client_disconnected, request.id)

    # ---- responses --------------------------------------------------------------------------------------

    def respond(self, number: int, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Send the client its single final response, unless it has one or has disconnected."""
        request = self.pending.get(number)
        if request is not None and request.client is not None and request.stream is None:
            client = request.client
            self.close_request(request, status)
            client.respond(status, body, headers)

    def refuse(self, number: int, status: int, reason: RefusalReason, headers: bytes = b"") -> None:
        """Send the client an error response of the node, unless it has its response or has disconnected."""
        request = self.pending.get(number)
        if request is not None and request.client is not None and request.stream is None:
            last_outcome = request.last_outcome
            detail = last_outcome.name.lower() if last_outcome is not None else ""
            self.events.refused(request.client.number, reason, status, detail)
        self.respond(number, status, headers=headers)

    def close_request(self, request: PendingRequest, status: int) -> None:
        """Count a finished request, and detach its client."""
        self.counts[f"answered_{status}"] += 1
        self.counters.count_finished(request.request_class, status)
        self.detach_client(request)

    def detach_client(self, request: PendingRequest) -> None:
        """Detach the client, which needs no further response.

        The request is no longer pending unless its attempt is still in flight.
        """
        if request.client is not None:
            del self.by_client[request.client]
            request.client = None
            # An attempt that is still in flight has been written, or is not written any more.
            request.message.discard_body()
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if request.exchange is None:
            self.pending.pop(request.id, None)

    def reject(self, request: int, retry_after: int) -> None:
        """Respond to the request with 503, because the policy has rejected it.

        The response has a Retry-After header if `retry_after`, in microseconds, is positive.
        """
        self.refuse(request, 503, self.reason_to_give_up(request), retry_after_header(retry_after))

    def fail(self, request: int) -> None:
        """Respond to the request with 502, because the policy has given it up."""
        self.refuse(request, 502, self.reason_to_give_up(request))

    def reason_to_give_up(self, number: int) -> RefusalReason:
        """Return the reason for the policy's final answer: whether the request had attempts."""
        request = self.pending.get(number)
        has_attempts = request is not None and request.attempts > 0
        return RefusalReason.ATTEMPTS if has_attempts else RefusalReason.POLICY


def retry_after_header(delay_us: int) -> bytes:
    """Return the Retry-After header line in seconds; empty if the delay is not positive."""
    return b"Retry-After: %.3f\r\n" % (delay_us / 1e6) if delay_us > 0 else b""
