"""Attempts of pending requests: the policy's actions `send` and `cancel`, and the outcomes reported to it."""

from __future__ import annotations

from collections.abc import Callable

from balancer.net.config import Config
from balancer.net.downstream.forwarding import encode_request, forwarded_budget_ms
from balancer.net.downstream.pending_request import ClientResponseStream, PendingRequest
from balancer.net.downstream.requests import Requests
from balancer.net.process.counters import Counters
from balancer.net.process.event_queue import EventQueue
from balancer.net.upstream.body_streaming import ResponseSource
from balancer.net.upstream.connection import Endpoint, Response
from balancer.net.upstream.exchange import Exchange
from balancer.net.upstream.load_report import parse_load_report
from balancer.net.upstream.pool import ConnectionPool
from balancer.policy import Balancer
from balancer.policy.interface import NEVER_RAN, Effect, Outcome

# Called with the server, the outcome, the latency in microseconds and the seconds to connect.
OnOutcome = Callable[[int, Outcome, int, float], None]


class Attempts:
    """Sends pending requests to servers, and reports how each attempt ended.

    Args:
        config: the configuration of the node.
        pool: the connections to servers.
        event_queue: hands events to the policy.
        counters: count what is sent.
        requests: the pending requests.
    """

    def __init__(
        self,
        config: Config,
        pool: ConnectionPool,
        event_queue: EventQueue,
        counters: Counters,
        requests: Requests,
    ) -> None:
        self.config = config
        self.settings = config.settings
        self.pool = pool
        self.event_queue = event_queue
        self.counters = counters
        self.requests = requests
        self.balancer: Balancer  # the policy; it is made with these actions, and set then
        self.on_outcome: OnOutcome | None = None  # called at each attempt's end, where the fleet has zones

    def send(self, request: int, server: int, timeout: int) -> None:
        """Starts the request's next attempt. What may not be sent ends as NOT_SENT, after this event."""
        pending = self.requests.pending.get(request)
        endpoint = self.pool.endpoints.get(server)
        number = pending.attempts if pending is not None else 0
        if pending is not None:
            pending.attempts += 1
        if (
            pending is None
            or pending.client is None
            or pending.exchange is not None
            or number >= self.settings.max_attempts
            or endpoint is None
            or not endpoint.ready
            or pending.is_body_discarded()
        ):
            self.event_queue.post(
                self.balancer.outcome, request, number, server, Outcome.NOT_SENT, 0, False, ()
            )
            return
        Attempt(self, pending, number, server, timeout).start(endpoint)

    def cancel(self, request: int, attempt: int) -> None:
        """Aborts an attempt; its outcome follows after this event."""
        pending = self.requests.pending.get(request)
        if pending is not None and pending.exchange is not None and attempt == pending.attempts - 1:
            pending.exchange.abort(Outcome.CANCELLED)

    def may_write(self, request: PendingRequest, now: int) -> bool:
        """Whether its class lets the request be written now, given what may have run.

        Failure prevented: a retry is decided on within its window, its connection takes time to come up, and
        the servers that would have dropped it have forgotten the first attempt by then.
        """
        settings = self.settings.classes[request.request_class]
        if request.ran_at is None or settings.effect == Effect.IDEMPOTENT:
            return True
        return settings.effect == Effect.IDEMPOTENCY_KEY and now < request.ran_at + settings.window


class Attempt:
    """One attempt of a request at one server.

    Args:
        attempts: the connections, the queue and the policy it works with.
        request: the request.
        number: the attempt's, from 0.
        server: the server's number.
        timeout: how long it may take, in microseconds.
    """

    __slots__ = (
        "attempts",
        "began_at",
        "event_queue",
        "expires_at",
        "had_incoming_body",
        "number",
        "request",
        "server",
    )

    def __init__(
        self, attempts: Attempts, request: PendingRequest, number: int, server: int, timeout: int
    ) -> None:
        self.attempts = attempts
        self.event_queue = attempts.event_queue
        self.request = request
        self.number = number
        self.server = server
        self.began_at = self.event_queue.now()
        self.expires_at = min(self.began_at + timeout, request.deadline)
        self.had_incoming_body = request.incoming_body() is not None  # as the attempt began

    def start(self, endpoint: Endpoint) -> None:
        """Begins the attempt's exchange."""
        request = self.request
        request.exchange = Exchange(
            self.attempts.pool,
            endpoint,
            self.compose,
            self.on_ended,
            self.on_sent,
            self.on_stream,
            request.message.upload,
        )
        request.written_at = None
        if self.had_incoming_body:
            self.event_queue.post(self.attempts.balancer.upload, request.id, self.number, True)
        request.exchange.start(max(0, self.expires_at - self.began_at) / 1e6)

    def compose(self) -> bytes | None:
        """The request's bytes, just before they are written; None if it may not be written any more."""
        request = self.request
        request.written_at = self.event_queue.now()
        remaining = self.expires_at - request.written_at
        if (
            request.client is None
            or not request.client.is_connected()
            or remaining <= 0
            or not self.attempts.may_write(request, request.written_at)
        ):
            return None
        if self.had_incoming_body:
            # Until here its client may have waited for the node; from now on it sets the pace itself.
            request.remaining = request.deadline - request.written_at
        return encode_request(request.message, forwarded_budget_ms(remaining))

    def on_sent(self) -> None:
        """Takes note that the request's last byte has left the process."""
        self.attempts.counters.count_send()
        if self.had_incoming_body:
            self.on_uploaded()

    def on_uploaded(self) -> None:
        """Begins the request's time, as the last byte of its long body has gone to the server."""
        request = self.request
        if request.client is not None:
            now = self.event_queue.now()
            request.remaining = self.attempts.requests.remaining_before_shutdown(now, request.remaining)
            request.deadline = now + request.remaining
            if request.stream is None:
                self.attempts.requests.start_guard(request)
        self.event_queue.post(self.attempts.balancer.upload, request.id, self.number, False)

    def on_stream(self, response: Response, source: ResponseSource) -> ClientResponseStream | None:
        """Streams a long response to its client, past its deadline: its first byte is what has to be in time.

        The exchange breaks it off once its server has been silent for long.
        Failure prevented: a server that gives a long response slowly is taken for one that hangs.
        """
        request = self.request
        if request.client is None or request.exchange is None:
            return None
        now = self.event_queue.now()
        request.stream = ClientResponseStream(self.attempts.requests, request, request.client, now)
        if request.guard is not None:
            request.guard.cancel()
        request.client.begin_stream(source, response.length, content_type_header(response))
        self.event_queue.post(
            self.attempts.balancer.response_started,
            request.id,
            self.number,
            self.server,
            now - self.began_at,
        )
        return request.stream

    def on_ended(self, outcome: Outcome, response: Response | None) -> None:
        """Takes the attempt's end: a response goes to the client at once, then the policy is notified."""
        request = self.request
        connect_seconds = request.exchange.connect_duration_s if request.exchange is not None else 0.0
        request.exchange = None
        self.update_request(outcome)
        self.attempts.requests.counts[f"attempts_{outcome.name.lower()}"] += 1
        report = self.load_report(response)
        self.respond(outcome, response)
        is_final = request.client is None
        if is_final:
            self.attempts.requests.pending.pop(request.id, None)
        ended_at = self.event_queue.now() if request.stream is None else request.stream.began
        latency = ended_at - self.began_at
        if self.attempts.on_outcome is not None:
            self.attempts.on_outcome(self.server, outcome, latency, connect_seconds)
        self.event_queue.post(
            self.attempts.balancer.outcome,
            request.id,
            self.number,
            self.server,
            outcome,
            latency,
            is_final,
            report,
        )

    def update_request(self, outcome: Outcome) -> None:
        """Keeps whether the request may have run, and gives it its time again while its body is coming."""
        request = self.request
        if outcome not in NEVER_RAN and request.ran_at is None:
            request.ran_at = request.written_at
        if request.written_at is not None and request.incoming_body() is not None:
            request.deadline = self.event_queue.now() + request.remaining

    def load_report(self, response: Response | None) -> tuple[float, ...]:
        """The values of the load report that came with the response, if it is to have one."""
        config = self.attempts.config
        if response is None or not config.inline_reports:
            return ()
        return parse_load_report(response.report, config.report_names)

    def respond(self, outcome: Outcome, response: Response | None) -> None:
        """Responds to the client if this outcome is the last that the request can have."""
        request, requests = self.request, self.attempts.requests
        if response is not None and outcome == Outcome.OK and request.client is not None:
            requests.respond(request.id, 200, response.body, content_type_header(response))
        if request.is_body_discarded():
            # What was discarded can go to no other server. Before its last byte nothing has run.
            if outcome in NEVER_RAN:
                requests.respond(request.id, 503, headers=requests.over_capacity_headers())
            else:
                requests.respond(request.id, 502)


def content_type_header(response: Response) -> bytes:
    """The header line of a response's content type, if it has one."""
    return b"Content-Type: %b\r\n" % response.content_type if response.content_type else b""
