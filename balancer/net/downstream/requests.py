"""Requests from the last byte of their head to their one answer: checked, attempted, answered.

The decisions are the module's: what it asks for a request is carried out here, and its attempts' outcomes go
back to it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from time import monotonic

from balancer.net.config import Config
from balancer.net.downstream.client_connection import Caller
from balancer.net.downstream.forwarding import head_of, told_time
from balancer.net.downstream.message import Message
from balancer.net.process.counters import Counters
from balancer.net.process.event_queue import EventQueue
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.net.upstream.body_streaming import RequestBodyStream, ResponseSource
from balancer.net.upstream.connection import Response
from balancer.net.upstream.exchange import Exchange
from balancer.net.upstream.pool import ConnectionPool
from balancer.policy import Balancer
from balancer.policy.interface import NEVER_RAN, Effect, Outcome

GUARD = 10_000  # after the deadline: a request that the module has left open is failed
FLOW_PAUSE = 0.2  # seconds that a server may pause in an answer that flows, once the request's time is over
FLOW_LOOK = 0.1  # seconds between two looks at such an answer
FULL_ADVICE = 500_000  # after so long there may be room again for a client that found none
METHODS = {Effect.SAFE: b"GET", Effect.KEYED: b"POST", Effect.UNSAFE: b"POST"}


class Open:
    """A request that has been taken and not answered, or whose attempt is still out."""

    __slots__ = (
        "id",
        "caller",
        "message",
        "klass",
        "left",
        "deadline",
        "attempts",
        "out",
        "written_at",
        "ran_at",
        "guard",
        "flow",
    )

    def __init__(
        self, number: int, caller: Caller, message: Message, klass: int, now: int, left: int
    ) -> None:
        self.id = number
        self.caller: Caller | None = caller  # None once answered, or once the client has left
        self.message = message
        self.klass = klass
        self.left = left  # of its time, when it came, or when a server began to take its long body
        self.deadline = now + left
        self.attempts = 0
        self.out: Exchange | None = None
        self.written_at: int | None = None  # when its attempt's first byte went
        self.ran_at: int | None = None  # the same of the first attempt that may have run
        self.guard: asyncio.TimerHandle | None = None
        self.flow: Passage | None = None  # its answer, once it flows

    def coming(self) -> RequestBodyStream | None:
        """Its body, if that is still on its way from the client."""
        upload = self.message.upload
        return upload if upload is not None and not upload.is_complete else None

    def partly_written(self) -> bool:
        """Whether its attempt has begun, and its last byte has not left this process: it never ran."""
        connection = self.out.connection if self.out is not None else None
        return self.coming() is not None or (connection is not None and connection.unsent())


Heard = Callable[[int, Outcome, int, float], None]  # server, how it ended, microseconds, seconds to connect


class Passage:
    """An answer on its way from a server to a client: the `ResponseStream` of one request."""

    def __init__(self, owner: Requests, request: Open, caller: Caller, began: int) -> None:
        self.owner = owner
        self.request = request
        self.caller = caller
        self.began = began  # when its first byte came
        self.moved = owner.loop.time()  # when its last piece came

    def write(self, data: bytes) -> None:
        self.moved = self.owner.loop.time()
        self.caller.piece(data)

    def stalled(self) -> bool:
        """Whether its server has paused; a client that takes no more makes it wait."""
        return not self.caller.full and self.owner.loop.time() - self.moved >= FLOW_PAUSE

    def end(self) -> None:
        if self.request.caller is not None:
            self.owner.close_request(self.request, 200)
            self.caller.end()

    def abort(self) -> None:
        if self.request.caller is not None:
            self.owner.close_request(self.request, 502)
            self.caller.cut()


class Requests:
    """The open requests: a `Handler` for the crowd of clients, and the module's actions on requests."""

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
        self.module: Balancer  # what decides; it is made with these actions, and set then
        self.heard: Heard | None = None  # hears of each attempt's end, where the fleet has zones
        self.open: dict[int, Open] = {}
        self.by_caller: dict[Caller, Open] = {}
        self.last_id = 0
        self.last_answer: int | None = None  # when an ending node gives its last answer
        self.guarded = 0
        self.classes = {name.encode(): i for i, name in enumerate(config.classes)}
        self.tenants = {name.encode(): i for i, name in enumerate(config.tenants)}
        self.counts: Counter[str] = Counter()  # attempts by outcome and answers by status, in all

    def message(self, caller: Caller, message: Message) -> None:
        """A client's request, whole.

        Failure prevented: an exception here would close the connection with no answer.
        """
        try:
            self.accept(caller, message)
        except Exception as e:  # whatever it is, it is this request's failure alone
            self.log.line(f"request: {type(e).__name__}: {e}")
            caller.answer(500)

    def class_of(self, message: Message) -> int | None:
        """The class that the first part of a request's path names, if there is such a class."""
        path = message.target.partition(b"?")[0]
        return self.classes.get(path[1:].partition(b"/")[0]) if path[:1] == b"/" else None

    def accept(self, caller: Caller, message: Message) -> None:
        """Checks a request and hands it to the module."""
        now = self.event_queue.now()
        klass = self.class_of(message)
        if klass is None:
            if message.target.partition(b"?")[0] != b"/ready":
                caller.answer(404)
            elif message.method != b"GET":
                caller.answer(405, headers=b"Allow: GET\r\n")
            else:
                caller.answer(200 if self.life.serving else 503)
            return
        effect = self.settings.classes[klass].effect
        if message.method != METHODS[effect]:
            caller.answer(405, headers=b"Allow: %b\r\n" % METHODS[effect])
            return
        budget = message.headers.get(b"x-budget-ms") or b""
        keyed = effect != Effect.KEYED or message.headers.get(b"idempotency-key")
        tenant = message.headers.get(b"x-caller")
        if not (
            message.headers.get(b"x-call-id")
            and keyed
            and (tenant or not self.tenants)
            and budget.isdigit()
            and len(budget) <= 9
        ):
            caller.answer(400)
            return
        if len(self.open) >= self.settings.max_open:
            self.beyond(caller, message)
            return
        # Failure prevented: one that waited behind others on its connection, or in a process that was held up
        # after it had read, is answered after its time. The loop's own clock stands still within a turn.
        waited = max(0, int((monotonic() - message.came) * 1e6))
        left = self.before_the_end(now, max(0, int(budget) * 1000 - waited))
        self.last_id += 1
        request = Open(self.last_id, caller, message, klass, now, left)
        self.open[request.id] = self.by_caller[caller] = request
        if request.coming() is None:
            self.watch_over(request)
        repeat = message.headers.get(b"x-again") == b"1"
        number = self.tenants.get(tenant or b"", len(self.tenants))
        self.event_queue.post(self.module.request, request.id, klass, number, left, repeat)

    def before_the_end(self, now: int, left: int) -> int:
        """What is left of a request's time, cut at the last answer of a node that ends.

        Failure prevented: the process is killed with a request that came, or came whole, while it was ending.
        """
        return left if self.last_answer is None else min(left, max(0, self.last_answer - now))

    def beyond(self, caller: Caller, message: Message) -> None:
        """Refuses a request for which the node itself has no room; the module never hears of it.

        Failure prevented: a client that is not told when to come back does so at once.
        """
        klass = self.class_of(message)
        if klass is not None:
            self.counters.count_finished(klass, 503)
        caller.answer(503, headers=self.full_advice())

    def full_advice(self) -> bytes:
        """When to come back where the module has not been asked."""
        return advice(min(FULL_ADVICE, self.settings.max_retry_after))

    def watch_over(self, request: Open) -> None:
        """The request's time begins."""
        request.guard = self.loop.call_later((request.left + GUARD) / 1e6, self.expire, request)

    def spoilt(self, caller: Caller, status: int) -> None:
        """A client's request will never come whole: it gets an error, and its attempt is given up."""
        request = self.by_caller.get(caller)
        if request is not None:
            if request.flow is not None:
                # Failure prevented: its answer, given up here, has no end, and its client waits for one.
                request.flow.abort()
            self.conclude(request.id, status)
            self.give_up(request)

    def left(self, caller: Caller) -> None:
        """A client closed its connection with its request open."""
        request = self.by_caller.get(caller)
        if request is not None:
            self.release(request)
            self.give_up(request)

    def give_up(self, request: Open) -> None:
        """Nobody waits for this request any more.

        Failure prevented: a server that takes a request slowly gets its last byte after its client has gone.
        """
        self.event_queue.post(self.module.client_left, request.id)
        if request.out is not None and (request.flow is not None or request.partly_written()):
            request.out.abort(Outcome.CANCELLED)

    def answer_by(self, last_answer: int) -> None:
        """Every request, open or still to come, has its answer by this time: the node ends.

        Failure prevented: a request whose time lasts longer is open as the process is killed.
        """
        self.last_answer = last_answer
        for request in self.open.values():
            waits = request.caller is not None and request.flow is None
            if waits and request.guard is not None and request.deadline > last_answer:
                request.deadline = last_answer
                request.guard.cancel()
                delay = (last_answer - self.event_queue.now()) / 1e6
                request.guard = self.loop.call_later(delay, self.time_out, request)

    def expire(self, request: Open) -> None:
        """The guard: a request still open after its deadline. The module should have answered it."""
        self.guarded += 1
        self.log.line(f"guard: request {request.id} was still open at its deadline")
        self.time_out(request)

    def time_out(self, request: Open) -> None:
        """The request's time is over: its client is told, and nothing more is done for it."""
        self.conclude(request.id, 504)
        self.event_queue.post(self.module.client_left, request.id)

    # ---- answers --------------------------------------------------------------------------------------

    def conclude(self, number: int, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Gives the client its one final answer."""
        request = self.open.get(number)
        if request is not None and request.caller is not None and request.flow is None:
            caller = request.caller
            self.close_request(request, status)
            caller.answer(status, body, headers)

    def close_request(self, request: Open, status: int) -> None:
        """Counts a request at its end."""
        self.counts[f"answered_{status}"] += 1
        self.counters.count_finished(request.klass, status)
        self.release(request)

    def release(self, request: Open) -> None:
        """Nothing more is owed to the client."""
        if request.caller is not None:
            del self.by_caller[request.caller]
            request.caller = None
        if request.guard is not None:
            request.guard.cancel()
        if request.out is None:
            self.open.pop(request.id, None)

    # ---- the module's actions on requests -----------------------------------------------------------------

    def send(self, request: int, server: int, timeout: int) -> None:
        """Starts the request's next attempt. What may not be sent ends as NOT_SENT, after this event."""
        r = self.open.get(request)
        endpoint = self.pool.endpoints.get(server)
        number = r.attempts if r is not None else 0
        if r is not None:
            r.attempts += 1
        if (
            r is None
            or r.caller is None
            or r.out is not None
            or number >= self.settings.max_attempts
            or endpoint is None
            or not endpoint.ready
            or (r.message.upload is not None and r.message.upload.is_discarded)
        ):
            self.event_queue.post(
                self.module.outcome, request, number, server, Outcome.NOT_SENT, 0, False, ()
            )
            return
        now = self.event_queue.now()
        coming = r.coming() is not None
        expires = min(now + timeout, r.deadline)

        def compose() -> bytes | None:
            r.written_at = self.event_queue.now()
            left = expires - r.written_at
            if r.caller is None or not r.caller.stays() or left <= 0 or not self.may_go(r, r.written_at):
                return None
            if coming:
                # Until here its client may have waited for the node; from now on it sets the pace itself.
                r.left = r.deadline - r.written_at
            return head_of(r.message, told_time(left))

        def sent() -> None:
            self.counters.count_send()
            if coming:
                self.uploaded(r, number)

        def begin(answer: Response, source: ResponseSource) -> Passage | None:
            return self.begin_flow(r, number, server, now, answer, source)

        def done(outcome: Outcome, answer: Response | None) -> None:
            self.ended(r, number, server, now, outcome, answer)

        exchange = Exchange(self.pool, endpoint, compose, done, sent, begin, r.message.upload)
        r.out, r.written_at = exchange, None
        if coming:
            self.event_queue.post(self.module.upload, request, number, True)
        exchange.start(max(0, expires - now) / 1e6)

    def may_go(self, r: Open, now: int) -> bool:
        """Whether its class lets the request be written now, given what may have run.

        Failure prevented: a repeat is decided on within its window, its connection takes time to come up, and
        the servers that would have dropped it have forgotten the first by then.
        """
        c = self.settings.classes[r.klass]
        if r.ran_at is None or c.effect == Effect.SAFE:
            return True
        return c.effect == Effect.KEYED and now < r.ran_at + c.window

    def uploaded(self, r: Open, number: int) -> None:
        """The last byte of a long body has gone to the server: only now the request's time begins."""
        if r.caller is not None:
            now = self.event_queue.now()
            r.left = self.before_the_end(now, r.left)
            r.deadline = now + r.left
            if r.flow is None:
                self.watch_over(r)
        self.event_queue.post(self.module.upload, r.id, number, False)

    def begin_flow(
        self, r: Open, number: int, server: int, sent: int, answer: Response, source: ResponseSource
    ) -> Passage | None:
        """A long answer begins: its client gets it as it comes, past its time while the server goes on."""
        if r.caller is None or r.out is None:
            return None
        now = self.event_queue.now()
        r.flow = Passage(self, r, r.caller, now)
        if r.guard is not None:
            r.guard.cancel()
            delay = max(0, r.deadline - now) / 1e6 + FLOW_PAUSE
            r.guard = self.loop.call_later(delay, self.watch_flow, r, r.flow)
        kind = answer.content_type
        r.caller.begin(source, answer.length, b"Content-Type: %b\r\n" % kind if kind else b"")
        self.event_queue.post(self.module.response_started, r.id, number, server, now - sent)
        return r.flow

    def watch_flow(self, r: Open, flow: Passage) -> None:
        """Cuts an answer in which nothing comes any more, once the request's time is over.

        Failure prevented: a server that hangs in the middle of a long answer keeps its client for 10 s.
        """
        if r.caller is None or r.out is None:
            return
        if flow.stalled():
            flow.abort()
            r.out.abort(Outcome.RESET)
        else:
            r.guard = self.loop.call_later(FLOW_LOOK, self.watch_flow, r, flow)

    def ended(
        self, r: Open, number: int, server: int, began: int, outcome: Outcome, answer: Response | None
    ) -> None:
        """An attempt's end: an answer goes to the client at once, then the module hears of it."""
        dial = r.out.connect_time if r.out is not None else 0.0
        r.out = None
        if outcome not in NEVER_RAN and r.ran_at is None:
            r.ran_at = r.written_at
        if r.written_at is not None and r.coming() is not None:
            r.deadline = self.event_queue.now() + r.left
        self.counts[f"attempts_{outcome.name.lower()}"] += 1
        report: tuple[float, ...] = ()
        if answer is not None:
            if self.config.inline_reports:
                report = self.report(answer.report)
            if outcome == Outcome.OK and r.caller is not None:
                kind = answer.content_type
                self.conclude(r.id, 200, answer.body, b"Content-Type: %b\r\n" % kind if kind else b"")
        if r.message.upload is not None and r.message.upload.is_discarded:
            # What was thrown away can go to no other server. Before its last byte nothing has run.
            if outcome in NEVER_RAN:
                self.conclude(r.id, 503, headers=self.full_advice())
            else:
                self.conclude(r.id, 502)
        final = r.caller is None
        if final:
            self.open.pop(r.id, None)
        latency = (self.event_queue.now() if r.flow is None else r.flow.began) - began
        if self.heard is not None:
            self.heard(server, outcome, latency, dial)
        self.event_queue.post(self.module.outcome, r.id, number, server, outcome, latency, final, report)

    def cancel(self, request: int, attempt: int) -> None:
        """Gives an attempt up; its outcome follows after this event."""
        r = self.open.get(request)
        if r is not None and r.out is not None and attempt == r.attempts - 1:
            r.out.abort(Outcome.CANCELLED)

    def refuse(self, request: int, retry_after: int) -> None:
        """Answers 503, with advice when to come back."""
        self.conclude(request, 503, headers=advice(retry_after))

    def fail(self, request: int) -> None:
        """Answers 502: nothing is promised."""
        self.conclude(request, 502)

    def report(self, text: bytes) -> tuple[float, ...]:
        """A load report's values in the settings' order; nothing if one is missing or unreadable."""
        values = dict(pair.strip().partition("=")[::2] for pair in text.decode("latin-1").split(","))
        try:
            return tuple(
                float(values[name] if name in values else values[plain])
                for name, plain in self.config.report_names
            )
        except (KeyError, ValueError):
            return ()


def advice(wait: int) -> bytes:
    """The header that tells a client when to come back, if there is anything to tell."""
    return b"Retry-After: %.3f\r\n" % (wait / 1e6) if wait > 0 else b""
