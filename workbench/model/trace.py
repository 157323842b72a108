"""Traces of clients' requests: each client attempt, its calls and their attempts, with times and outcomes.

Traces are recorded only if a run is traced. The components of the model write to a trace as events happen; a
trace has no reference to the model, so it can be kept after the run. Times are in microseconds.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from balancer.policy.interface import Outcome
from workbench.model.answer import Answer

NOT_ENDED = -1
SECOND_US = 1_000_000


@dataclass(slots=True)
class AttemptTrace:
    """The trace of one attempt at one server.

    `dialled`: the attempt was sent on a new connection. `silent`: the attempt ended while no response could
    arrive, because the server did not respond, was unreachable, or its response was lost. `calls`: the calls
    that the server made to the next tier for the attempt.
    """

    tier: int
    sent_at: int
    dialled: bool = False
    ended_at: int = NOT_ENDED
    outcome: Outcome | None = None
    silent: bool = False
    calls: list[CallTrace] = field(default_factory=list)

    def end(self, now: int, outcome: Outcome, silent: bool = False) -> None:
        """Record the time and outcome of the attempt's end."""
        self.ended_at = now
        self.outcome = outcome
        self.silent = silent


@dataclass(slots=True)
class CallTrace:
    """The trace of one call to one node: an attempt of a client, or a server's call to the next tier."""

    tier: int
    begun_at: int
    until: int
    ended_at: int = NOT_ENDED
    answer: Answer | None = None
    node_died: bool = False
    attempts: list[AttemptTrace] = field(default_factory=list)

    def end(self, now: int, answer: Answer) -> None:
        """Record the time and value of the node's final response."""
        self.ended_at = now
        self.answer = answer


@dataclass(slots=True)
class RequestTrace:
    """The trace of a client's request with all of its attempts. `lost_value` is set at the request's end."""

    index: int
    request_class: int
    due: int
    objective_at: int
    ended_at: int = NOT_ENDED
    served: bool = False
    client_left: bool = False
    lost_value: float = 0.0
    client_attempts: list[CallTrace] = field(default_factory=list)

    @property
    def decided_at(self) -> int:
        """The time of the loss: the latency objective, or the request's end if that came first."""
        return min(self.objective_at, self.ended_at)


@dataclass
class TraceLog:
    """The traces of a run's requests that lost value, and the totals that losses are compared with.

    `offered_value` is by class and second of the scenario, `served_times` are the latencies by class.
    """

    begin_at: int = 0
    lost: list[RequestTrace] = field(default_factory=list)
    offered_value: defaultdict[tuple[int, int], float] = field(default_factory=lambda: defaultdict(float))
    served_times: defaultdict[int, list[int]] = field(default_factory=lambda: defaultdict(list))

    def second_of(self, due: int) -> int:
        """Return the second of the scenario in which a request was due."""
        return (due - self.begin_at) // SECOND_US

    def begin_request(self, trace: RequestTrace, value: float) -> None:
        """Add a request's value to the totals, by class and by second of the scenario."""
        self.offered_value[trace.request_class, self.second_of(trace.due)] += value

    def end_request(self, trace: RequestTrace, now: int, served: bool, lost_value: float) -> None:
        """Keep the trace if value was lost, and only the request's latency otherwise."""
        trace.ended_at = now
        trace.served = served
        trace.lost_value = lost_value
        if lost_value > 0:
            self.lost.append(trace)
        else:
            self.served_times[trace.request_class].append(now - trace.due)
