"""Callers from outside: an open loop of arrivals drawn ahead, each request with tries of its own."""

from __future__ import annotations

from typing import Any

import numpy as np

from balancer.policy.interface import Effect, Group
from workbench.model.call import UNKNOWN, Answer, Call, Request, is_answered, is_left
from workbench.model.environment import Environment
from workbench.model.network import num, whole
from workbench.model.streams import scramble
from workbench.model.trace import RequestTrace
from workbench.scenario.model import Scenario

GRID = 50_000  # microseconds between two points of the load's curve
TRY, WAIT, HONOUR, LEAVE, LEAVE_AT, FRONT = range(101, 107)  # what a request's draws are for
SPAN = 2**32


def load_curve(day: Scenario, length: int) -> tuple[np.ndarray[Any, Any], np.ndarray[Any, Any]]:
    """The load over the day, relative to its mean: times in microseconds, factors."""
    times = np.arange(0, length + GRID, GRID, dtype=np.float64)
    load = day.load
    swing = num(load.swing)
    factors = np.ones_like(times)
    if load.shape == "wave":
        factors += swing * np.sin(2 * np.pi * times / (num(load.wave_s) * 1e6))
    elif load.shape == "ramp":
        factors = 2 * times / length
    start = num(load.burst_at) * length
    factors[(times >= start) & (times < start + num(load.burst_s) * 1e6)] *= num(load.burst)
    return times, factors


class Clients:
    """Draws the day's requests, tries them through the front, and tells the account how each ended."""

    def __init__(self, world: Environment, rate: float) -> None:
        """`rate`: first tries a microsecond, at a load factor of 1."""
        self.world = world
        self.clock = world.clock
        day = world.day
        self.tries = whole(day.clients.retries) + 1
        self.try_share = num(day.clients.try_share)
        self.backoff = int(num(day.clients.backoff_ms) * 1000)
        self.honour = num(day.clients.honour) * SPAN
        self.most_wait = int(num(day.clients.max_retry_after_s) * 1e6)
        self.leave = num(day.clients.leave_early) * SPAN
        self.front_lag = int(num(day.network.client_ms) * 1000)
        self.left = 0  # requests whose end is not known yet
        self.draw_arrivals(day, rate)

    def draw_arrivals(self, day: Scenario, rate: float) -> None:
        streams = self.world.streams
        times, factors = load_curve(day, self.world.length)
        sums = np.concatenate(([0.0], np.cumsum((factors[1:] + factors[:-1]) / 2 * GRID * rate)))
        rng = streams.numpy("arrivals")
        count = int(sums[-1] + 6 * np.sqrt(sums[-1]) + 20)
        marks = np.cumsum(rng.exponential(1.0, count))
        marks = marks[marks < sums[-1]]
        self.times: list[int] = np.interp(marks, sums, times).astype(np.int64).tolist()
        n = len(self.times)
        shares = np.array([num(c.share) for c in day.request_classes])
        self.classes: list[int] = (
            streams.numpy("classes").choice(len(shares), n, p=shares / shares.sum()).tolist()
        )
        zones = self.world.zones
        parts = np.full(zones, 1.0)
        parts[0] += num(day.zones.skew)
        self.zones: list[int] = streams.numpy("zones").choice(zones, n, p=parts / parts.sum()).tolist()
        self.keys: list[int] = streams.numpy("keys").integers(0, SPAN, n).tolist()
        cv = np.array([num(c.work_cv) for c in day.request_classes])[self.classes] + 1e-9
        shape = 1 / cv**2
        self.factors: list[float] = (streams.numpy("work").standard_gamma(shape) / shape).tolist()

    def start(self) -> None:
        self.left = len(self.times)
        if self.times:
            self.clock.call_at(self.world.begin + self.times[0], self.arrive, 0)

    def arrive(self, i: int) -> None:
        now = self.world.begin + self.times[i]  # when it is due, however late a clock in real time may be
        if i + 1 < len(self.times):
            self.clock.call_at(self.world.begin + self.times[i + 1], self.arrive, i + 1)
        klass = self.classes[i]
        settings = self.world.classes[klass]
        request = Request(
            i,
            self.keys[i],
            klass,
            self.zones[i],
            now,
            settings.latency_objective,
            settings.deadline,
            self.factors[i],
        )
        self.world.accounts.asked(request)
        self.begin_trace(request)
        self.attempt(request)

    def begin_trace(self, request: Request) -> None:
        """Begins the request's trace, where the day is traced."""
        log = self.world.trace_log
        if log is not None:
            request.trace = RequestTrace(request.index, request.klass, request.due, request.aim_at)
            log.begin_request(request.trace, self.world.classes[request.klass].worth)

    def attempt(self, request: Request) -> None:
        """One try, through the front."""
        world = self.world
        now = self.clock.now
        until = min(request.dead_at, now + int(self.try_share * world.classes[request.klass].deadline))
        call = world.call(request, request.key, 0, until, self)
        call.number = request.tries
        if request.trace is not None and call.trace is not None:
            request.trace.tries.append(call.trace)
        request.tries += 1
        world.trace(request, "client", f"try {call.number + 1} of {self.tries}")
        node = world.front.pick(request.zone, scramble(request.key, FRONT + call.number))
        self.clock.call_unless(until, self.expired, call, is_left)
        if node is None:
            self.clock.call_at(now + self.front_lag, self.unreachable, call)
        else:
            call.node = node
            node.arriving(now + world.network.outside(request.key, call.number), call)
            if self.leave and scramble(request.key, LEAVE + call.number) < self.leave:
                part = scramble(request.key, LEAVE_AT + call.number) / SPAN
                self.clock.call_at(now + int(part * (until - now)), self.leaves, call)

    def unreachable(self, call: Call) -> None:
        if call.trace is not None:
            call.trace.end(self.clock.now, Answer.UNREACHABLE)
        self.answered(call, Answer.UNREACHABLE, 0)

    def expired(self, call: Call) -> None:
        """The client's patience with this try is over."""
        if not call.waiting:
            return
        call.waiting = False
        request = call.root
        request.cause = ("timed out", 0) if call.cause == UNKNOWN else call.cause
        self.world.trace(request, "client", f"gives try {call.number + 1} up")
        if call.open and call.node is not None:
            self.clock.call_unless(call.until + self.world.slack, call.node.overdue, call, is_answered)
        self.again(call, Answer.FAILED, 0)

    def leaves(self, call: Call) -> None:
        """The client goes away for good, though it could have waited longer."""
        if not call.waiting:
            return
        call.waiting = False
        if call.node is not None:
            call.node.drop(call)
        call.root.cause = ("left early", 0)
        if call.root.trace is not None:
            call.root.trace.client_left = True
        self.end(call.root)

    def answered(self, call: Call, answer: Answer, retry_after: int) -> None:
        if not call.waiting:  # given up before the answer came
            return
        call.waiting = False
        request = call.root
        request.cause = call.cause
        self.world.trace(request, "client", f"is answered {answer.name.lower()}")
        if answer == Answer.OK:
            request.served = True
            request.useful = call.useful
            self.end(request)
        else:
            self.again(call, answer, retry_after)

    def again(self, call: Call, answer: Answer, retry_after: int) -> None:
        """The next try, where tries, time and the class's effect allow it."""
        request = call.root
        now = self.clock.now
        klass = self.world.classes[request.klass]
        harmless = (
            answer in (Answer.REFUSED, Answer.UNREACHABLE)
            or klass.effect == Effect.IDEMPOTENT
            or (
                klass.effect == Effect.IDEMPOTENCY_KEY
                and klass.group == Group.ALL
                and now < request.due + klass.window
            )
        )
        wait = self.backoff
        if retry_after > 0 and scramble(request.key, HONOUR) < self.honour:
            wait = max(wait, min(retry_after, self.most_wait))
        if harmless and request.tries < self.tries and now + wait < request.dead_at:
            self.clock.call_at(now + wait, self.attempt, request)
        else:
            self.end(request)

    def end(self, request: Request) -> None:
        request.done_at = self.clock.now
        self.left -= 1
        lost = self.world.accounts.ended(request)
        log = self.world.trace_log
        if log is not None and request.trace is not None:
            log.end_request(request.trace, request.done_at, request.served, lost)
