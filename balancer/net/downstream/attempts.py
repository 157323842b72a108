"""Attempts of pending requests: each attempt sends a request to one server once.

The policy, which decides on attempts, starts and ends them by the actions `send` and `cancel`, and gets the
outcome of each attempt as an event.
"""

from __future__ import annotations

from collections.abc import Callable

from balancer.net.config import Config
from balancer.net.downstream.forwarding import encode_request, forwarded_budget_ms
from balancer.net.downstream.pending_request import ClientResponseStream, PendingRequest
from balancer.net.downstream.requests import CALL_ID_HEADER, Requests
from balancer.net.process.counters import Counters
from balancer.net.process.event_queue import EventQueue
from balancer.net.process.traffic_events import RefusalReason
from balancer.net.upstream.body_streaming import ResponseSource
from balancer.net.upstream.connection import Endpoint, Response
from balancer.net.upstream.exchange import Exchange
from balancer.net.upstream.load_report import parse_load_report
from balancer.net.upstream.pool import ConnectionPool
from balancer.policy import Balancer
from balancer.policy.interface import NEVER_RAN, Effect, Outcome

# Callback for the end of an attempt: the server's number, the attempt's outcome, its latency in microseconds,
# and the time it took to connect to the server, in seconds.
OnOutcome = Callable[[int, Outcome, int, float], None]


class Attempts:
    """Sends pending requests to servers, and reports the outcome of each attempt to the policy.

    Args:
        config: The configuration of the node.
        pool: The connections to servers.
        event_queue: Passes events to the policy.
        counters: Counts the attempts that were sent completely.
        requests: The pending requests.
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
        # The policy. It is assigned after this object is constructed, because the policy's own constructor
        # needs the actions `send` and `cancel` of this object.
        self.balancer: Balancer
        # Receives the outcome of each attempt in a fleet with zones.
        self.on_outcome: OnOutcome | None = None

    def send(self, request: int, server: int, timeout: int) -> None:
        """Start the request's next attempt at a server, with a timeout in microseconds.

        An attempt that may not be sent, for example because the server is not ready or the request has no
        client any more, is reported to the policy as NOT_SENT once the policy has handled the current event.
        """
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
        if pending.last_outcome is not None:
            self.requests.events.retried(request, number, pending.last_outcome.name.lower())
        Attempt(self, pending, number, server, timeout).start(endpoint)

    def cancel(self, request: int, attempt: int) -> None:
        """Abort an attempt; the policy gets its outcome once it has handled the current event."""
        pending = self.requests.pending.get(request)
        if pending is not None and pending.exchange is not None and attempt == pending.attempts - 1:
            pending.exchange.abort(Outcome.CANCELLED)

    def may_write(self, request: PendingRequest, now: int) -> bool:
        """Return whether the request's class allows it to be written to a server now.

        A request that may already have run is written again only if its class is idempotent, or if its class
        has idempotency keys and the class's window has not ended. The window is the time for which servers
        remember a key and discard repeats of its request. It is checked just before the write, because
        connecting takes time: a retry that was decided on within the window could otherwise run a second time
        at servers that have forgotten the first attempt.
        """
        settings = self.settings.classes[request.request_class]
        if request.ran_at is None or settings.effect == Effect.IDEMPOTENT:
            return True
        return settings.effect == Effect.IDEMPOTENCY_KEY and now < request.ran_at + settings.window


class Attempt:
    """One attempt of a request at one server.

    Args:
        attempts: Provides the connection pool, the event queue and the policy.
        request: The pending request.
        number: The attempt's number within its request, from 0.
        server: The server's number.
        timeout: The maximum duration of the attempt, in microseconds.
    """

    __slots__ = (
        "attempts",
        "event_queue",
        "expires_at",
        "had_incoming_body",
        "number",
        "request",
        "server",
        "started_at",
    )

    def __init__(
        self, attempts: Attempts, request: PendingRequest, number: int, server: int, timeout: int
    ) -> None:
        self.attempts = attempts
        self.event_queue = attempts.event_queue
        self.request = request
        self.number = number
        self.server = server
        self.started_at = self.event_queue.now()
        self.expires_at = min(self.started_at + timeout, request.deadline_at(self.started_at))
        # Whether the client was still sending the body when the attempt started.
        self.had_incoming_body = request.incoming_body() is not None

    def start(self, endpoint: Endpoint) -> None:
        """Start the attempt's exchange, which sends the request to the server and receives its response."""
        request = self.request
        request.exchange = Exchange(
            self.attempts.pool,
            endpoint,
            self.compose,
            self.on_ended,
            self.on_sent,
            self.on_stream,
            request.message.upload,
            self.is_last,
        )
        request.written_at = None
        if self.had_incoming_body:
            self.event_queue.post(self.attempts.balancer.upload, request.id, self.number, True)
        request.exchange.start(max(0, self.expires_at - self.event_queue.now()) / 1e6)

    def is_last(self) -> bool:
        """Return whether the attempt may last until the request's deadline, so that no other can follow."""
        return self.expires_at >= self.request.deadline

    def compose(self) -> bytes | None:
        """Return the encoded request just before it is written to the server.

        Return None if it may not be written any more: the client has disconnected, the attempt's time is
        over, or the request's class no longer allows it.
        """
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
        self.attempts.requests.on_written(request)
        return encode_request(request.message, forwarded_budget_ms(remaining))

    def on_sent(self) -> None:
        """Count the attempt as sent when the request's last byte has left the process."""
        self.attempts.counters.count_send()
        if self.had_incoming_body:
            self.event_queue.post(self.attempts.balancer.upload, self.request.id, self.number, False)

    def on_stream(self, response: Response, source: ResponseSource) -> ClientResponseStream | None:
        """Start to stream a long response to the client.

        Return None if the client has disconnected, or if the process ends before the response does.

        Only the first byte of the response must meet the deadline. The rest may take longer, so that a server
        that sends a long response slowly is not mistaken for one that hangs; the exchange aborts the response
        when its server has been silent for too long.
        """
        request = self.request
        if request.client is None or request.exchange is None:
            return None
        if not self.attempts.requests.may_stream(request, response.length):
            self.attempts.requests.refuse_late(request)
            request.exchange.abort(Outcome.CANCELLED)
            return None
        first_byte_at = max(self.started_at, self.event_queue.now() - int(response.held_s * 1e6))
        request.stream = ClientResponseStream(self.attempts.requests, request, request.client, first_byte_at)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        request.client.begin_stream(source, response.length, content_type_header(response))
        self.event_queue.post(
            self.attempts.balancer.response_started,
            request.id,
            self.number,
            self.server,
            first_byte_at - self.started_at,
        )
        return request.stream

    def on_ended(self, outcome: Outcome, response: Response | None) -> None:
        """Handle the end of the attempt: respond to the client at once, then notify the policy."""
        request = self.request
        exchange = request.exchange
        connect_seconds = exchange.connect_duration_s if exchange is not None else 0.0
        if exchange is not None and exchange.received_bytes:
            self.attempts.requests.events.cut_off(
                request.id,
                self.number,
                outcome.name.lower(),
                exchange.received_bytes,
                exchange.stated_length,
            )
        request.exchange = None
        request.last_outcome = outcome
        self.update_request(outcome)
        self.attempts.requests.counts[f"attempts_{outcome.name.lower()}"] += 1
        report = self.load_report(response)
        self.respond(outcome, response)
        is_final = request.client is None
        if is_final and request.ran_at is None:
            self.attempts.requests.abandoned.forget(request.message.headers[CALL_ID_HEADER])
        if is_final:
            self.attempts.requests.pending.pop(request.id, None)
        ended_at = self.event_queue.now() if request.stream is None else request.stream.first_byte_at
        latency = ended_at - self.started_at
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
        """Record whether the attempt may have run."""
        request = self.request
        if outcome not in NEVER_RAN and request.ran_at is None:
            request.ran_at = request.written_at

    def load_report(self, response: Response | None) -> tuple[float, ...]:
        """Return the load report in a server's response; empty unless responses carry reports."""
        config = self.attempts.config
        if response is None or not config.inline_reports:
            return ()
        return parse_load_report(response.report, config.report_names)

    def respond(self, outcome: Outcome, response: Response | None) -> None:
        """Respond to the client if no further attempt can follow this outcome."""
        request, requests = self.request, self.attempts.requests
        if response is not None and outcome == Outcome.OK and request.client is not None:
            requests.respond(request.id, 200, response.body, content_type_header(response))
        if request.is_body_discarded():
            # No other server can get the part of the body that was discarded, so this attempt was the last.
            # If its outcome proves that the request has not run, the client gets a 503 and may retry;
            # otherwise it gets a 502.
            if outcome in NEVER_RAN:
                headers = requests.over_capacity_headers()
                requests.refuse(request.id, 503, RefusalReason.UPLOAD, headers)
            else:
                requests.refuse(request.id, 502, RefusalReason.UPLOAD)


def content_type_header(response: Response) -> bytes:
    """Return the Content-Type header line of a response; empty if the response has none."""
    return b"Content-Type: %b\r\n" % response.content_type if response.content_type else b""
