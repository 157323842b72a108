"""Clients: an open loop of arrivals, drawn in advance, with retries by the clients."""

from __future__ import annotations

from typing import Any

import numpy as np

from balancer.policy.interface import Effect, Group
from workbench.model.call import UNKNOWN, Answer, Call, Cause, Request, is_answered, is_not_awaited
from workbench.model.environment import Environment
from workbench.model.network import fixed_float, fixed_int
from workbench.model.streams import scramble
from workbench.model.trace import RequestTrace
from workbench.scenario.model import Scenario

CURVE_STEP_US = 50_000  # between two points of the load curve
HONOUR_DRAW, LEAVE_DRAW, LEAVE_TIME_DRAW, FRONT_DRAW = range(103, 107)  # what a request's draws are for
DRAW_RANGE = 2**32


def load_curve(day: Scenario, length: int) -> tuple[np.ndarray[Any, Any], np.ndarray[Any, Any]]:
    """Returns the load over the scenario, relative to its mean, as times in microseconds and factors."""
    times = np.arange(0, length + CURVE_STEP_US, CURVE_STEP_US, dtype=np.float64)
    load = day.load
    swing = fixed_float(load.swing)
    factors = np.ones_like(times)
    if load.shape == "wave":
        factors += swing * np.sin(2 * np.pi * times / (fixed_float(load.wave_s) * 1e6))
    elif load.shape == "ramp":
        factors = 2 * times / length
    start = fixed_float(load.burst_at) * length
    factors[(times >= start) & (times < start + fixed_float(load.burst_s) * 1e6)] *= fixed_float(load.burst)
    return times, factors


class Clients:
    """Draws the requests, sends them through the front, and records how each ended.

    Args:
        world: The model that the clients belong to.
        rate: Requests a microsecond, at a load factor of 1.
    """

    def __init__(self, world: Environment, rate: float) -> None:
        self.world = world
        self.clock = world.clock
        day = world.day
        self.max_attempts = fixed_int(day.clients.retries) + 1
        self.attempt_share = fixed_float(day.clients.try_share)
        self.backoff = int(fixed_float(day.clients.backoff_ms) * 1000)
        self.honour_threshold = fixed_float(day.clients.honour) * DRAW_RANGE
        self.max_retry_wait = int(fixed_float(day.clients.max_retry_after_s) * 1e6)
        self.leave_threshold = fixed_float(day.clients.leave_early) * DRAW_RANGE
        self.front_lag = int(fixed_float(day.network.client_ms) * 1000)
        self.unfinished = 0  # requests whose end is not known yet
        self.draw_arrivals(day, rate)

    def draw_arrivals(self, day: Scenario, rate: float) -> None:
        """Draws time, class, zone, key and work of each request.

        Args:
            day: The scenario.
            rate: Requests a microsecond, at a load factor of 1.
        """
        streams = self.world.streams
        times, factors = load_curve(day, self.world.length)
        sums = np.concatenate(([0.0], np.cumsum((factors[1:] + factors[:-1]) / 2 * CURVE_STEP_US * rate)))
        rng = streams.numpy("arrivals")
        count = int(sums[-1] + 6 * np.sqrt(sums[-1]) + 20)
        marks = np.cumsum(rng.exponential(1.0, count))
        marks = marks[marks < sums[-1]]
        self.times: list[int] = np.interp(marks, sums, times).astype(np.int64).tolist()
        n = len(self.times)
        shares = np.array([fixed_float(c.share) for c in day.request_classes])
        self.classes: list[int] = (
            streams.numpy("classes").choice(len(shares), n, p=shares / shares.sum()).tolist()
        )
        zones = self.world.zones
        parts = np.full(zones, 1.0)
        parts[0] += fixed_float(day.zones.skew)
        self.zones: list[int] = streams.numpy("zones").choice(zones, n, p=parts / parts.sum()).tolist()
        self.keys: list[int] = streams.numpy("keys").integers(0, DRAW_RANGE, n).tolist()
        cv = np.array([fixed_float(c.work_cv) for c in day.request_classes])[self.classes] + 1e-9
        shape = 1 / cv**2
        self.factors: list[float] = (streams.numpy("work").standard_gamma(shape) / shape).tolist()

    def start(self) -> None:
        """Schedules the first arrival."""
        self.unfinished = len(self.times)
        if self.times:
            self.clock.call_at(self.world.begin + self.times[0], self.arrive, 0)

    def arrive(self, i: int) -> None:
        """Starts the request with the index `i` and schedules the next arrival."""
        now = self.world.begin + self.times[i]  # when it is due, however late a real-time clock is
        if i + 1 < len(self.times):
            self.clock.call_at(self.world.begin + self.times[i + 1], self.arrive, i + 1)
        request_class = self.classes[i]
        settings = self.world.classes[request_class]
        request = Request(
            i,
            self.keys[i],
            request_class,
            self.zones[i],
            now,
            settings.latency_objective,
            settings.deadline,
            self.factors[i],
        )
        self.world.accounts.request_arrived(request)
        self.begin_trace(request)
        self.start_attempt(request)

    def begin_trace(self, request: Request) -> None:
        """Begins the request's trace, if the run is traced."""
        log = self.world.trace_log
        if log is not None:
            request.trace = RequestTrace(
                request.index, request.request_class, request.due, request.objective_at
            )
            log.begin_request(request.trace, self.world.classes[request.request_class].worth)

    def start_attempt(self, request: Request) -> None:
        """Sends one attempt through the front."""
        world = self.world
        now = self.clock.now
        until = min(
            request.deadline_at, now + int(self.attempt_share * world.classes[request.request_class].deadline)
        )
        call = world.call(request, request.key, 0, until, self)
        call.number = request.client_attempts
        if request.trace is not None and call.trace is not None:
            request.trace.client_attempts.append(call.trace)
        request.client_attempts += 1
        world.trace(request, "client", f"try {call.number + 1} of {self.max_attempts}")
        node = world.front.pick(request.zone, scramble(request.key, FRONT_DRAW + call.number))
        self.clock.call_unless(until, self.attempt_expired, call, is_not_awaited)
        if node is None:
            self.clock.call_at(now + self.front_lag, self.unreachable, call)
        else:
            call.node = node
            node.expect(now + world.network.outside(request.key, call.number), call)
            if (
                self.leave_threshold
                and scramble(request.key, LEAVE_DRAW + call.number) < self.leave_threshold
            ):
                part = scramble(request.key, LEAVE_TIME_DRAW + call.number) / DRAW_RANGE
                self.clock.call_at(now + int(part * (until - now)), self.disconnect, call)

    def unreachable(self, call: Call) -> None:
        """Ends an attempt for which there was no node."""
        if call.trace is not None:
            call.trace.end(self.clock.now, Answer.UNREACHABLE)
        self.answered(call, Answer.UNREACHABLE, 0)

    def attempt_expired(self, call: Call) -> None:
        """Handles the client's time-out of an attempt."""
        if not call.waiting:
            return
        call.waiting = False
        request = call.root
        request.cause = Cause("timed out", 0) if call.cause == UNKNOWN else call.cause
        self.world.trace(request, "client", f"gives try {call.number + 1} up")
        if call.open and call.node is not None:
            self.clock.call_unless(
                call.until + self.world.slack, call.node.deadline_missed, call, is_answered
            )
        self.retry(call, Answer.FAILED, 0)

    def disconnect(self, call: Call) -> None:
        """Disconnects the client for good, before its time-out."""
        if not call.waiting:
            return
        call.waiting = False
        if call.node is not None:
            call.node.client_disconnected(call)
        call.root.cause = Cause("left early", 0)
        if call.root.trace is not None:
            call.root.trace.client_left = True
        self.end(call.root)

    def answered(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Receives the response to an attempt; ignores it after the client's time-out."""
        if not call.waiting:  # it has timed out
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
            self.retry(call, answer, retry_after)

    def retry(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Schedules a retry if attempts, deadline and the class's effect allow it; else ends the request."""
        request = call.root
        now = self.clock.now
        settings = self.world.classes[request.request_class]
        harmless = (
            answer in (Answer.REFUSED, Answer.UNREACHABLE)
            or settings.effect == Effect.IDEMPOTENT
            or (
                settings.effect == Effect.IDEMPOTENCY_KEY
                and settings.group == Group.ALL
                and now < request.due + settings.window
            )
        )
        wait = self.backoff
        if retry_after > 0 and scramble(request.key, HONOUR_DRAW) < self.honour_threshold:
            wait = max(wait, min(retry_after, self.max_retry_wait))
        if harmless and request.client_attempts < self.max_attempts and now + wait < request.deadline_at:
            self.clock.call_at(now + wait, self.start_attempt, request)
        else:
            self.end(request)

    def end(self, request: Request) -> None:
        """Records the end of a request."""
        request.done_at = self.clock.now
        self.unfinished -= 1
        lost_value = self.world.accounts.request_ended(request)
        log = self.world.trace_log
        if log is not None and request.trace is not None:
            log.end_request(request.trace, request.done_at, request.served, lost_value)
