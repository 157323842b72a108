"""Requests of clients, calls to nodes and attempts at servers."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from balancer.policy.interface import ListKind, Outcome, ServerEntry
from workbench.model.answer import Answer
from workbench.model.trace import AttemptTrace, CallTrace, RequestTrace

__all__ = ["UNKNOWN", "Answer", "Attempt", "Call", "Caller", "Cause", "Port", "Request"]


class Cause(NamedTuple):
    """The reason for which a request's value was lost, and the tier where it happened."""

    reason: str
    tier: int


NEVER_SENT = "never sent"
UNKNOWN = Cause(NEVER_SENT, 0)


class Request:
    """A client's request. Each attempt of the client is a call to a node.

    Args:
        index: The request's position in the scenario, from 0.
        key: Seed of the request's random draws.
        request_class: The index of the request's class.
        zone: The client's zone.
        due: The arrival time, in microseconds.
        objective: The latency objective, in microseconds after `due`.
        deadline: The deadline, in microseconds after `due`.
        work_factor: The request's work, relative to the mean of its class.
    """

    __slots__ = (
        "attempts",
        "cause",
        "client_attempts",
        "deadline_at",
        "done_at",
        "due",
        "index",
        "key",
        "objective_at",
        "request_class",
        "served",
        "trace",
        "useful_work",
        "work",
        "work_factor",
        "zone",
    )

    def __init__(
        self,
        index: int,
        key: int,
        request_class: int,
        zone: int,
        due: int,
        objective: int,
        deadline: int,
        work_factor: float,
    ) -> None:
        self.index = index
        self.key = key
        self.request_class = request_class
        self.zone = zone
        self.due = due
        self.objective_at = due + objective
        self.deadline_at = due + deadline
        self.client_attempts = 0
        self.work_factor = work_factor
        self.cause = UNKNOWN
        self.done_at = -1
        self.served = False
        # Work that servers did for the request, in core-microseconds of the reference core.
        self.work = 0.0
        # The part of `work` that contributed to the response.
        self.useful_work = 0.0
        # Attempts at servers, summed over all tiers.
        self.attempts = 0
        # None if the run is not traced.
        self.trace: RequestTrace | None = None


class Caller(Protocol):
    """The party that waits for a call's response: the clients, or a server of the previous tier."""

    def answered(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Receive the final response to a call; it is delivered once."""


class Call:
    """One request at one node: an attempt of a client, or a server's call to the next tier.

    Args:
        call_id: The call's unique number.
        root: The client's request that caused the call.
        key: Seed of the call's random draws: equal for each attempt at the same request or call.
        tier: The tier that the call is sent to.
        until: When the caller stops waiting, in microseconds.
        caller: Receives the response.
    """

    __slots__ = (
        "accepted",
        "caller",
        "cause",
        "context",
        "id",
        "in_flight",
        "key",
        "node",
        "number",
        "open",
        "ran_at",
        "ran_on",
        "root",
        "sent",
        "tier",
        "trace",
        "until",
        "useful_work",
        "waiting",
    )

    def __init__(self, call_id: int, root: Request, key: int, tier: int, until: int, caller: Caller) -> None:
        self.id = call_id
        self.root = root
        self.key = key
        self.tier = tier
        self.until = until
        self.caller = caller
        self.node: Port | None = None
        # Index of the client's attempt, or number of calls that the calling server had left.
        self.number = 0
        self.sent: list[Attempt] = []
        # Attempts without an outcome.
        self.in_flight = 0
        # The first server that may have run the call.
        self.ran_on: Any = None
        self.ran_at = 0
        self.open = True
        self.accepted = False
        self.cause = UNKNOWN
        self.useful_work = 0.0
        # Data of the caller.
        self.context: Any = None
        # Whether the caller still waits for the response.
        self.waiting = True
        self.trace: CallTrace | None = None


class Attempt:
    """One attempt at a call, at one server.

    Args:
        call: The call.
        number: The index of the attempt within the call, from 0.
        server: The server that the attempt is sent to.
        port: The node that sends the attempt.
        draw: Random number that selects the network delays of the attempt's messages.
        now: The time of sending, in microseconds.
    """

    __slots__ = (
        "call",
        "cause",
        "connection",
        "draw",
        "ended",
        "job",
        "number",
        "port",
        "sent_at",
        "server",
        "trace",
    )

    def __init__(self, call: Call, number: int, server: Any, port: Port, draw: int, now: int) -> None:
        self.call = call
        self.number = number
        self.server = server
        self.port = port
        self.draw = draw
        self.sent_at = now
        self.ended = False
        # The server's record of the attempt.
        self.job: Any = None
        # The node's record of the connection that carries the attempt.
        self.connection: Any = None
        # Why a later tier failed, if that caused the attempt's error.
        self.cause: Cause | None = None
        self.trace: AttemptTrace | None = None


class Port(Protocol):
    """The interface of a node towards callers, servers and discovery.

    `starts` maps a server's id to the start time that the node was last notified of.
    """

    tier: int
    zone: int
    up: bool
    ready: bool
    starts: dict[int, int]

    def schedule_arrival(self, at: int, call: Call) -> None:
        """Schedule the arrival of a client's call, which is still in transit, for the time `at`."""

    def accept(self, call: Call) -> None:
        """Accept a call that has arrived."""

    def client_disconnected(self, call: Call) -> None:
        """Stop work on a call whose caller no longer waits for it."""

    def deadline_missed(self, call: Call) -> None:
        """Report a violation if a call is still open after its deadline and the allowed slack."""

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """Receive the outcome of an attempt: the server's response or the loss of the connection."""

    def update_servers(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """Receive an endpoint list, or changes of one, from discovery."""

    def boot(self) -> None:
        """Start a new process of the node."""

    def drain(self) -> None:
        """Shut down gracefully, as on SIGTERM: complete open calls, then end the process."""

    def kill(self) -> None:
        """End the process at once, as on SIGKILL: open calls are lost."""


def has_ended(attempt: Attempt) -> bool:
    """Return whether an attempt has ended, which makes its timeout unnecessary."""
    return attempt.ended


def is_answered(call: Call) -> bool:
    """Return whether a call has its final response, which makes the check of its deadline unnecessary."""
    return not call.open


def is_not_awaited(call: Call) -> bool:
    """Return whether a call's caller has stopped waiting, which makes its timeout unnecessary."""
    return not call.waiting
