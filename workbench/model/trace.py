"""Traces of clients' requests: each client attempt, its calls and their attempts, with times and outcomes.

Recorded only if a run is traced. The parts of the model write to the trace as events happen; a trace has no
reference to the model, so it outlives the run. Times are microseconds.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from balancer.policy.interface import Outcome
from workbench.model.answer import Answer

UNENDED = -1
SECOND = 1_000_000


@dataclass(slots=True)
class AttemptTrace:
    """One attempt at one server. `calls` are the calls that the server made to the next tier for it."""

    tier: int
    sent_at: int
    dialled: bool = False  # on a new connection
    ended_at: int = UNENDED
    outcome: Outcome | None = None
    silent: bool = (
        False  # it ended while no response could come: server silent or unreachable, or response lost
    )
    calls: list[CallTrace] = field(default_factory=list)

    def end(self, now: int, outcome: Outcome, silent: bool = False) -> None:
        """Records the attempt's outcome."""
        self.ended_at = now
        self.outcome = outcome
        self.silent = silent


@dataclass(slots=True)
class CallTrace:
    """One call to one node: an attempt of a client, or a server's call to the next tier."""

    tier: int
    begun_at: int
    until: int
    ended_at: int = UNENDED
    answer: Answer | None = None
    node_died: bool = False
    attempts: list[AttemptTrace] = field(default_factory=list)

    def end(self, now: int, answer: Answer) -> None:
        """Records the call's final answer, as the node gave it."""
        self.ended_at = now
        self.answer = answer


@dataclass(slots=True)
class RequestTrace:
    """A client's request and all that was done for it. `lost_value` is set at its end."""

    index: int
    request_class: int
    due: int
    objective_at: int
    ended_at: int = UNENDED
    served: bool = False
    client_left: bool = False
    lost_value: float = 0.0
    client_attempts: list[CallTrace] = field(default_factory=list)

    @property
    def decided_at(self) -> int:
        """When the loss was decided: at the latency objective, or at the request's end if that came first."""
        return min(self.objective_at, self.ended_at)


@dataclass
class TraceLog:
    """The traces of a run's lost requests, and the totals that losses are compared with."""

    begin: int = 0
    lost: list[RequestTrace] = field(default_factory=list)
    offered_value: defaultdict[tuple[int, int], float] = field(default_factory=lambda: defaultdict(float))
    served_times: defaultdict[int, list[int]] = field(default_factory=lambda: defaultdict(list))

    def second(self, due: int) -> int:
        """The second of the day in which a request was due."""
        return (due - self.begin) // SECOND

    def begin_request(self, trace: RequestTrace, value: float) -> None:
        """Adds a request's value to the totals, by class and by second of the scenario."""
        self.offered_value[trace.request_class, self.second(trace.due)] += value

    def end_request(self, trace: RequestTrace, now: int, served: bool, lost_value: float) -> None:
        """Keeps the trace if value was lost; if not, only the time that the request took."""
        trace.ended_at = now
        trace.served = served
        trace.lost_value = lost_value
        if lost_value > 0:
            self.lost.append(trace)
        else:
            self.served_times[trace.request_class].append(now - trace.due)
