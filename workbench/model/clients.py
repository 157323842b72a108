"""Clients: open-loop arrivals, drawn in advance, and the clients' own retries."""

from __future__ import annotations

from typing import Any

import numpy as np

from balancer.policy.interface import Effect, Group
from workbench.model.call import UNKNOWN, Answer, Call, Cause, Request, is_answered, is_not_awaited
from workbench.model.environment import Environment
from workbench.model.network import fixed_float, fixed_int
from workbench.model.streams import keyed_draw
from workbench.model.trace import RequestTrace
from workbench.scenario.model import Scenario

# Interval between two points of the load curve.
CURVE_STEP_US = 50_000
# Identifiers of the random draws of a request, one for each purpose.
HONOUR_DRAW, LEAVE_DRAW, LEAVE_TIME_DRAW, FRONT_DRAW = range(103, 107)
# Number of values of a draw, which are 0 to 2**32 - 1.
DRAW_RANGE = 2**32


def load_curve(scenario: Scenario, length: int) -> tuple[np.ndarray[Any, Any], np.ndarray[Any, Any]]:
    """Return the load over the scenario as times in microseconds and factors of the mean load."""
    times = np.arange(0, length + CURVE_STEP_US, CURVE_STEP_US, dtype=np.float64)
    load = scenario.load
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
    """The clients of a scenario, which send requests through the front and record how each ended.

    Args:
        world: The model that the clients belong to.
        rate: Requests per microsecond, at a load factor of 1.
    """

    def __init__(self, world: Environment, rate: float) -> None:
        self.world = world
        self.clock = world.clock
        scenario = world.scenario
        self.max_attempts = fixed_int(scenario.clients.retries) + 1
        self.attempt_share = fixed_float(scenario.clients.try_share)
        self.backoff = int(fixed_float(scenario.clients.backoff_ms) * 1000)
        self.honour_threshold = fixed_float(scenario.clients.honour) * DRAW_RANGE
        self.max_retry_wait = int(fixed_float(scenario.clients.max_retry_after_s) * 1e6)
        self.leave_threshold = fixed_float(scenario.clients.leave_early) * DRAW_RANGE
        self.unreachable_delay = int(fixed_float(scenario.network.client_ms) * 1000)
        # Requests that have not arrived or not ended yet.
        self.unfinished = 0
        self.draw_arrivals(scenario, rate)

    def draw_arrivals(self, scenario: Scenario, rate: float) -> None:
        """Draw time, class, zone, key and work of each request.

        Args:
            scenario: The scenario.
            rate: Requests per microsecond, at a load factor of 1.
        """
        streams = self.world.streams
        times, factors = load_curve(scenario, self.world.length)
        expected_counts = np.concatenate(
            ([0.0], np.cumsum((factors[1:] + factors[:-1]) / 2 * CURVE_STEP_US * rate))
        )
        rng = streams.numpy("arrivals")
        count = int(expected_counts[-1] + 6 * np.sqrt(expected_counts[-1]) + 20)
        positions = np.cumsum(rng.exponential(1.0, count))
        positions = positions[positions < expected_counts[-1]]
        self.times: list[int] = np.interp(positions, expected_counts, times).astype(np.int64).tolist()
        request_count = len(self.times)
        shares = np.array([fixed_float(c.share) for c in scenario.request_classes])
        self.classes: list[int] = (
            streams.numpy("classes").choice(len(shares), request_count, p=shares / shares.sum()).tolist()
        )
        zones = self.world.zones
        zone_weights = np.full(zones, 1.0)
        zone_weights[0] += fixed_float(scenario.zones.skew)
        self.zones: list[int] = (
            streams.numpy("zones").choice(zones, request_count, p=zone_weights / zone_weights.sum()).tolist()
        )
        self.keys: list[int] = streams.numpy("keys").integers(0, DRAW_RANGE, request_count).tolist()
        cv = np.array([fixed_float(c.work_cv) for c in scenario.request_classes])[self.classes] + 1e-9
        shape = 1 / cv**2
        self.work_factors: list[float] = (streams.numpy("work").standard_gamma(shape) / shape).tolist()

    def start(self) -> None:
        """Schedule the first arrival."""
        self.unfinished = len(self.times)
        if self.times:
            self.clock.call_at(self.world.begin_at + self.times[0], self.arrive, 0)

    def arrive(self, index: int) -> None:
        """Start the request with the given index and schedule the next arrival."""
        # Latency counts from the due time, so that a late real-time clock does not hide a delay.
        due = self.world.begin_at + self.times[index]
        if index + 1 < len(self.times):
            self.clock.call_at(self.world.begin_at + self.times[index + 1], self.arrive, index + 1)
        request_class = self.classes[index]
        settings = self.world.classes[request_class]
        request = Request(
            index,
            self.keys[index],
            request_class,
            self.zones[index],
            due,
            settings.latency_objective,
            settings.deadline,
            self.work_factors[index],
        )
        self.world.accounts.request_arrived(request)
        self.begin_trace(request)
        self.start_attempt(request)

    def begin_trace(self, request: Request) -> None:
        """Begin the trace of a request if the run is traced."""
        log = self.world.trace_log
        if log is not None:
            request.trace = RequestTrace(
                request.index, request.request_class, request.due, request.objective_at
            )
            log.begin_request(request.trace, self.world.classes[request.request_class].worth)

    def start_attempt(self, request: Request) -> None:
        """Send one attempt of a request to a node that the front selects."""
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
        world.trace(request, "client", f"attempt {call.number + 1} of {self.max_attempts}")
        node = world.front.select_node(request.zone, keyed_draw(request.key, FRONT_DRAW + call.number))
        self.clock.call_unless(until, self.attempt_expired, call, is_not_awaited)
        if node is None:
            self.clock.call_at(now + self.unreachable_delay, self.unreachable, call)
        else:
            call.node = node
            node.schedule_arrival(now + world.network.client_delay(request.key, call.number), call)
            if (
                self.leave_threshold
                and keyed_draw(request.key, LEAVE_DRAW + call.number) < self.leave_threshold
            ):
                timeout_share = keyed_draw(request.key, LEAVE_TIME_DRAW + call.number) / DRAW_RANGE
                self.clock.call_at(now + int(timeout_share * (until - now)), self.disconnect, call)

    def unreachable(self, call: Call) -> None:
        """End an attempt for which no node was available."""
        if call.trace is not None:
            call.trace.end(self.clock.now, Answer.UNREACHABLE)
        self.answered(call, Answer.UNREACHABLE, 0)

    def attempt_expired(self, call: Call) -> None:
        """Handle the expiry of the client's timeout for an attempt: record the cause and retry if allowed."""
        if not call.waiting:
            return
        call.waiting = False
        request = call.root
        request.cause = Cause("timed out", 0) if call.cause == UNKNOWN else call.cause
        self.world.trace(request, "client", f"gives up attempt {call.number + 1}")
        if call.open and call.node is not None:
            self.clock.call_unless(
                call.until + self.world.answer_slack, call.node.deadline_missed, call, is_answered
            )
        self.retry(call, Answer.FAILED, 0)

    def disconnect(self, call: Call) -> None:
        """Disconnect the client before its timeout; the client makes no further attempt."""
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
        """Receive the response to an attempt, or ignore it if the client has stopped waiting."""
        if not call.waiting:
            return
        call.waiting = False
        request = call.root
        request.cause = call.cause
        self.world.trace(request, "client", f"is answered {answer.name.lower()}")
        if answer == Answer.OK:
            request.served = True
            request.useful_work = call.useful_work
            self.end(request)
        else:
            self.retry(call, answer, retry_after)

    def retry(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Schedule a retry if attempts, deadline and effect of the class allow one; else end the request."""
        request = call.root
        now = self.clock.now
        settings = self.world.classes[request.request_class]
        is_retry_safe = (
            answer in (Answer.REFUSED, Answer.UNREACHABLE)
            or settings.effect == Effect.IDEMPOTENT
            or (
                settings.effect == Effect.IDEMPOTENCY_KEY
                and settings.group == Group.ALL
                and now < request.due + settings.window
            )
        )
        wait = self.backoff
        if retry_after > 0 and keyed_draw(request.key, HONOUR_DRAW) < self.honour_threshold:
            wait = max(wait, min(retry_after, self.max_retry_wait))
        if is_retry_safe and request.client_attempts < self.max_attempts and now + wait < request.deadline_at:
            self.clock.call_at(now + wait, self.start_attempt, request)
        else:
            self.end(request)

    def end(self, request: Request) -> None:
        """Record the end of a request in the accounts and in its trace."""
        request.done_at = self.clock.now
        self.unfinished -= 1
        lost_value = self.world.accounts.request_ended(request)
        log = self.world.trace_log
        if log is not None and request.trace is not None:
            log.end_request(request.trace, request.done_at, request.served, lost_value)
