"""Requests from the last byte of their head to their one final response.

The policy decides: its actions on requests are carried out here, and the outcomes of attempts are reported to
it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from time import monotonic

from balancer.net.config import Config
from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.forwarding import encode_request, forwarded_budget_ms
from balancer.net.downstream.message import ClientRequest
from balancer.net.process.counters import Counters
from balancer.net.process.event_queue import EventQueue
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.net.upstream.body_streaming import RequestBodyStream, ResponseSource
from balancer.net.upstream.connection import Endpoint, Response
from balancer.net.upstream.exchange import Exchange
from balancer.net.upstream.pool import ConnectionPool
from balancer.policy import Balancer
from balancer.policy.interface import NEVER_RAN, Effect, Outcome

GUARD_DELAY_US = 10_000  # after the deadline: a request that the module has left open is failed
# That a server may pause in a streamed response, once the request's time is over.
OVER_CAPACITY_RETRY_AFTER_US = 500_000  # after so long there may be capacity for a client that found none
METHOD_BY_EFFECT = {
    Effect.IDEMPOTENT: b"GET",
    Effect.IDEMPOTENCY_KEY: b"POST",
    Effect.NOT_IDEMPOTENT: b"POST",
}


class PendingRequest:
    """A request that has been taken and has no response, or whose attempt is still out.

    Args:
        number: its number for the policy.
        client: where it came from.
        message: the request as it came.
        request_class: its class, by number.
        now: the time, in microseconds.
        remaining: of its time, in microseconds.
    """

    __slots__ = (
        "attempts",
        "client",
        "deadline",
        "exchange",
        "guard",
        "id",
        "message",
        "ran_at",
        "remaining",
        "request_class",
        "stream",
        "written_at",
    )

    def __init__(
        self,
        number: int,
        client: ClientConnection,
        message: ClientRequest,
        request_class: int,
        now: int,
        remaining: int,
    ) -> None:
        self.id = number
        self.client: ClientConnection | None = client  # None once answered, or once the client has left
        self.message = message
        self.request_class = request_class
        self.remaining = remaining  # of its time, when it came, or when a server began to take its long body
        self.deadline = now + remaining
        self.attempts = 0
        self.exchange: Exchange | None = None
        self.written_at: int | None = None  # when its attempt's first byte went
        self.ran_at: int | None = None  # the same of the first attempt that may have run
        self.guard: asyncio.TimerHandle | None = None
        self.stream: ClientResponseStream | None = None  # its response, once it is streamed

    def incoming_body(self) -> RequestBodyStream | None:
        """Its body, if that is still on its way from the client."""
        upload = self.message.upload
        return upload if upload is not None and not upload.is_complete else None

    def is_partly_written(self) -> bool:
        """Whether its attempt has begun, and its last byte has not left this process: it never ran."""
        connection = self.exchange.connection if self.exchange is not None else None
        return self.incoming_body() is not None or (connection is not None and connection.unsent())


# Called with the server, the outcome, the latency in microseconds and the seconds to connect.
OnOutcome = Callable[[int, Outcome, int, float], None]


class ClientResponseStream:
    """A response on its way from a server to a client.

    Args:
        requests: where the request is pending.
        request: the request.
        client: the client that the response is streamed to.
        began: when its first byte came, in microseconds.
    """

    def __init__(
        self, requests: Requests, request: PendingRequest, client: ClientConnection, began: int
    ) -> None:
        self.requests = requests
        self.request = request
        self.client = client
        self.began = began

    def write(self, data: bytes) -> None:
        """Writes a piece of the response."""
        self.client.write_stream(data)

    def end(self) -> None:
        """Ends the response, which is complete."""
        if self.request.client is not None:
            self.requests.close_request(self.request, 200)
            self.client.end_stream()

    def abort(self) -> None:
        """Breaks the response off."""
        if self.request.client is not None:
            self.requests.close_request(self.request, 502)
            self.client.abort_stream()


class Requests:
    """The pending requests: a `RequestHandler` for clients, and the policy's actions on requests.

    Args:
        config: the configuration of the node.
        loop: the event loop.
        pool: the connections to servers.
        life: the stage of the node.
        log: gets a line for each failure of this program.
        counters: count each request at its end.
        event_queue: hands events to the policy.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        pool: ConnectionPool,
        life: Lifecycle,
        log: Log,
        counters: Counters,
        event_queue: EventQueue,
    ) -> None:
        self.config = config
        self.settings = config.settings
        self.loop = loop
        self.pool = pool
        self.life = life
        self.log = log
        self.counters = counters
        self.event_queue = event_queue
        self.balancer: Balancer  # what decides; it is made with these actions, and set then
        self.on_outcome: OnOutcome | None = None  # hears of each attempt's end, where the fleet has zones
        self.pending: dict[int, PendingRequest] = {}
        self.by_client: dict[ClientConnection, PendingRequest] = {}
        self.last_id = 0
        self.last_answer: int | None = None  # when an ending node gives its last answer
        self.guarded = 0
        self.classes = {name.encode(): i for i, name in enumerate(config.classes)}
        self.tenants = {name.encode(): i for i, name in enumerate(config.tenants)}
        self.counts: Counter[str] = Counter()  # attempts by outcome and answers by status, in all

    def on_request(self, client: ClientConnection, message: ClientRequest) -> None:
        """Takes a client's request.

        Failure prevented: an exception here would close the connection with no answer.
        """
        try:
            self.accept(client, message)
        except Exception as e:  # whatever it is, it is this request's failure alone
            self.log.line(f"request: {type(e).__name__}: {e}")
            client.respond(500)

    def class_of(self, message: ClientRequest) -> int | None:
        """The class that the first part of a request's path names, if there is such a class."""
        path = message.target.partition(b"?")[0]
        return self.classes.get(path[1:].partition(b"/")[0]) if path[:1] == b"/" else None

    def accept(self, client: ClientConnection, message: ClientRequest) -> None:
        """Checks a request and hands it to the policy."""
        now = self.event_queue.now()
        request_class = self.class_of(message)
        if request_class is None:
            self.respond_without_class(client, message)
            return
        effect = self.settings.classes[request_class].effect
        if message.method != METHOD_BY_EFFECT[effect]:
            client.respond(405, headers=b"Allow: %b\r\n" % METHOD_BY_EFFECT[effect])
            return
        budget = message.headers.get(b"x-budget-ms") or b""
        keyed = effect != Effect.IDEMPOTENCY_KEY or message.headers.get(b"idempotency-key")
        tenant = message.headers.get(b"x-caller")
        if not (
            message.headers.get(b"x-call-id")
            and keyed
            and (tenant or not self.tenants)
            and budget.isdigit()
            and len(budget) <= 9
        ):
            client.respond(400)
            return
        if len(self.pending) >= self.settings.max_open:
            self.reject_over_capacity(client, message)
            return
        # Failure prevented: one that waited behind others on its connection, or in a process that was held up
        # after it had read, is answered after its time. The loop's own clock stands still within a turn.
        waited = max(0, int((monotonic() - message.received_at) * 1e6))
        remaining = self.remaining_before_shutdown(now, max(0, int(budget) * 1000 - waited))
        self.last_id += 1
        request = PendingRequest(self.last_id, client, message, request_class, now, remaining)
        self.pending[request.id] = self.by_client[client] = request
        if request.incoming_body() is None:
            self.start_guard(request)
        repeat = message.headers.get(b"x-again") == b"1"
        number = self.tenants.get(tenant or b"", len(self.tenants))
        self.event_queue.post(self.balancer.request, request.id, request_class, number, remaining, repeat)

    def respond_without_class(self, client: ClientConnection, message: ClientRequest) -> None:
        """Responds to a request whose path names no class: whether the node is ready, or an error."""
        if message.target.partition(b"?")[0] != b"/ready":
            client.respond(404)
        elif message.method != b"GET":
            client.respond(405, headers=b"Allow: GET\r\n")
        else:
            client.respond(200 if self.life.serving else 503)

    def remaining_before_shutdown(self, now: int, remaining: int) -> int:
        """What is left of a request's time, cut at the last answer of a node that ends.

        Failure prevented: the process is killed with a request that came, or came whole, while it was ending.
        """
        return remaining if self.last_answer is None else min(remaining, max(0, self.last_answer - now))

    def reject_over_capacity(self, client: ClientConnection, message: ClientRequest) -> None:
        """Rejects a request for which the node itself has no capacity; the policy is not notified.

        Failure prevented: a client that is not told when to come back does so at once.
        """
        request_class = self.class_of(message)
        if request_class is not None:
            self.counters.count_finished(request_class, 503)
        client.respond(503, headers=self.over_capacity_headers())

    def over_capacity_headers(self) -> bytes:
        """The header that tells a client when to retry where the policy was not asked."""
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
                # Failure prevented: its answer, given up here, has no end, and its client waits for one.
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
        """Ends what is done for a request that nobody waits for any more.

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
            waits = request.client is not None and request.stream is None
            if waits and request.guard is not None and request.deadline > last_answer:
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
        """Forgets the client, to which nothing more is owed."""
        if request.client is not None:
            del self.by_client[request.client]
            request.client = None
        if request.guard is not None:
            request.guard.cancel()
        if request.exchange is None:
            self.pending.pop(request.id, None)

    # ---- the policy's actions on requests -----------------------------------------------------------------

    def send(self, request: int, server: int, timeout: int) -> None:
        """Starts the request's next attempt. What may not be sent ends as NOT_SENT, after this event."""
        r = self.pending.get(request)
        endpoint = self.pool.endpoints.get(server)
        number = r.attempts if r is not None else 0
        if r is not None:
            r.attempts += 1
        if (
            r is None
            or r.client is None
            or r.exchange is not None
            or number >= self.settings.max_attempts
            or endpoint is None
            or not endpoint.ready
            or (r.message.upload is not None and r.message.upload.is_discarded)
        ):
            self.event_queue.post(
                self.balancer.outcome, request, number, server, Outcome.NOT_SENT, 0, False, ()
            )
            return
        self.start_attempt(r, number, server, endpoint, timeout)

    def start_attempt(
        self, r: PendingRequest, number: int, server: int, endpoint: Endpoint, timeout: int
    ) -> None:
        """Begins the exchange of an attempt, which may take `timeout` microseconds."""
        now = self.event_queue.now()
        coming = r.incoming_body() is not None
        expires = min(now + timeout, r.deadline)

        def compose() -> bytes | None:
            r.written_at = self.event_queue.now()
            remaining = expires - r.written_at
            if (
                r.client is None
                or not r.client.is_connected()
                or remaining <= 0
                or not self.may_go(r, r.written_at)
            ):
                return None
            if coming:
                # Until here its client may have waited for the node; from now on it sets the pace itself.
                r.remaining = r.deadline - r.written_at
            return encode_request(r.message, forwarded_budget_ms(remaining))

        def on_sent() -> None:
            self.counters.count_send()
            if coming:
                self.on_uploaded(r, number)

        def on_stream(response: Response, source: ResponseSource) -> ClientResponseStream | None:
            return self.begin_stream(r, number, server, now, response, source)

        def on_done(outcome: Outcome, response: Response | None) -> None:
            self.on_attempt_ended(r, number, server, now, outcome, response)

        exchange = Exchange(self.pool, endpoint, compose, on_done, on_sent, on_stream, r.message.upload)
        r.exchange, r.written_at = exchange, None
        if coming:
            self.event_queue.post(self.balancer.upload, r.id, number, True)
        exchange.start(max(0, expires - now) / 1e6)

    def may_go(self, r: PendingRequest, now: int) -> bool:
        """Whether its class lets the request be written now, given what may have run.

        Failure prevented: a repeat is decided on within its window, its connection takes time to come up, and
        the servers that would have dropped it have forgotten the first by then.
        """
        c = self.settings.classes[r.request_class]
        if r.ran_at is None or c.effect == Effect.IDEMPOTENT:
            return True
        return c.effect == Effect.IDEMPOTENCY_KEY and now < r.ran_at + c.window

    def on_uploaded(self, r: PendingRequest, number: int) -> None:
        """Begins the request's time, as the last byte of its long body has gone to the server."""
        if r.client is not None:
            now = self.event_queue.now()
            r.remaining = self.remaining_before_shutdown(now, r.remaining)
            r.deadline = now + r.remaining
            if r.stream is None:
                self.start_guard(r)
        self.event_queue.post(self.balancer.upload, r.id, number, False)

    def begin_stream(
        self,
        r: PendingRequest,
        number: int,
        server: int,
        sent: int,
        response: Response,
        source: ResponseSource,
    ) -> ClientResponseStream | None:
        """Streams a long response to its client, past its deadline: its first byte is what has to be in time.

        The exchange breaks it off once its server has been silent for long.
        Failure prevented: a server that gives a long response slowly is taken for one that hangs.
        """
        if r.client is None or r.exchange is None:
            return None
        now = self.event_queue.now()
        r.stream = ClientResponseStream(self, r, r.client, now)
        if r.guard is not None:
            r.guard.cancel()
        content_type = response.content_type
        r.client.begin_stream(
            source, response.length, b"Content-Type: %b\r\n" % content_type if content_type else b""
        )
        self.event_queue.post(self.balancer.response_started, r.id, number, server, now - sent)
        return r.stream

    def on_attempt_ended(
        self,
        r: PendingRequest,
        number: int,
        server: int,
        began: int,
        outcome: Outcome,
        response: Response | None,
    ) -> None:
        """Takes an attempt's end: a response goes to the client at once, then the policy is notified."""
        dial = r.exchange.connect_time if r.exchange is not None else 0.0
        r.exchange = None
        if outcome not in NEVER_RAN and r.ran_at is None:
            r.ran_at = r.written_at
        if r.written_at is not None and r.incoming_body() is not None:
            r.deadline = self.event_queue.now() + r.remaining
        self.counts[f"attempts_{outcome.name.lower()}"] += 1
        report: tuple[float, ...] = ()
        if response is not None:
            if self.config.inline_reports:
                report = self.parse_report(response.report)
            if outcome == Outcome.OK and r.client is not None:
                content_type = response.content_type
                self.respond(
                    r.id, 200, response.body, b"Content-Type: %b\r\n" % content_type if content_type else b""
                )
        if r.message.upload is not None and r.message.upload.is_discarded:
            # What was thrown away can go to no other server. Before its last byte nothing has run.
            if outcome in NEVER_RAN:
                self.respond(r.id, 503, headers=self.over_capacity_headers())
            else:
                self.respond(r.id, 502)
        final = r.client is None
        if final:
            self.pending.pop(r.id, None)
        latency = (self.event_queue.now() if r.stream is None else r.stream.began) - began
        if self.on_outcome is not None:
            self.on_outcome(server, outcome, latency, dial)
        self.event_queue.post(self.balancer.outcome, r.id, number, server, outcome, latency, final, report)

    def cancel(self, request: int, attempt: int) -> None:
        """Aborts an attempt; its outcome follows after this event."""
        r = self.pending.get(request)
        if r is not None and r.exchange is not None and attempt == r.attempts - 1:
            r.exchange.abort(Outcome.CANCELLED)

    def reject(self, request: int, retry_after: int) -> None:
        """Responds with 503, and with advice when to retry."""
        self.respond(request, 503, headers=retry_after_header(retry_after))

    def fail(self, request: int) -> None:
        """Responds with 502: nothing is promised."""
        self.respond(request, 502)

    def parse_report(self, text: bytes) -> tuple[float, ...]:
        """A load report's values in the settings' order; nothing if one is missing or unreadable."""
        values = dict(pair.strip().partition("=")[::2] for pair in text.decode("latin-1").split(","))
        try:
            return tuple(
                float(values[name] if name in values else values[plain])
                for name, plain in self.config.report_names
            )
        except (KeyError, ValueError):
            return ()


def retry_after_header(delay_us: int) -> bytes:
    """The header that tells a client when to come back, if there is anything to tell."""
    return b"Retry-After: %.3f\r\n" % (delay_us / 1e6) if delay_us > 0 else b""
