"""Requests of clients, calls to nodes and attempts at servers."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from balancer.policy.interface import ListKind, Outcome, ServerEntry
from workbench.model.answer import Answer
from workbench.model.trace import AttemptTrace, CallTrace, RequestTrace

__all__ = ["UNKNOWN", "Answer", "Attempt", "Call", "Caller", "Cause", "Port", "Request"]


class Cause(NamedTuple):
    """Why a request's value was lost, and at which tier."""

    reason: str
    tier: int


NEVER_SENT = "never sent"
UNKNOWN = Cause(NEVER_SENT, 0)


class Request:
    """A request of a client. Each of its client attempts is a call to a node.

    Args:
        index: Its number in the scenario, from 0.
        key: Determines its random draws.
        request_class: The index of its class.
        zone: The client's zone.
        due: When it is due, in microseconds.
        objective: The latency objective, counted from `due`.
        deadline: The deadline, counted from `due`.
        factor: Its work, relative to the mean of its class.
    """

    __slots__ = (
        "attempts",
        "cause",
        "client_attempts",
        "deadline_at",
        "done_at",
        "due",
        "factor",
        "index",
        "key",
        "objective_at",
        "request_class",
        "served",
        "trace",
        "useful",
        "work",
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
        factor: float,
    ) -> None:
        self.index = index
        self.key = key
        self.request_class = request_class
        self.zone = zone
        self.due = due
        self.objective_at = due + objective
        self.deadline_at = due + deadline
        self.client_attempts = 0
        self.factor = factor  # its work, relative to the mean of its class
        self.cause = UNKNOWN
        self.done_at = -1
        self.served = False
        self.work = 0.0  # that servers did for it, in core-microseconds of the reference core
        self.useful = 0.0  # the part that its response needed
        self.attempts = 0  # over all tiers
        self.trace: RequestTrace | None = None  # if the run is traced


class Caller(Protocol):
    """Waits for calls: the clients, or a server of the previous tier."""

    def answered(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Receives the one final response to a call."""


class Call:
    """One request at one node: an attempt of a client, or a server's call to the next tier.

    Args:
        number: Its unique number.
        root: The client's request that it belongs to.
        key: Determines its random draws: the same for each attempt at the same request or call.
        tier: The tier that it is sent to.
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
        "useful",
        "waiting",
    )

    def __init__(self, number: int, root: Request, key: int, tier: int, until: int, caller: Caller) -> None:
        self.id = number
        self.root = root
        self.key = key  # of its draws
        self.tier = tier
        self.until = until  # when the caller stops waiting
        self.caller = caller
        self.node: Port | None = None
        self.number = 0  # of the client's attempt, or of the call among its server's calls
        self.sent: list[Attempt] = []
        self.in_flight = 0  # attempts without an outcome
        self.ran_on: Any = None  # the first server that may have run it
        self.ran_at = 0
        self.open = True
        self.accepted = False
        self.cause = UNKNOWN
        self.useful = 0.0
        self.context: Any = None  # the caller's data
        self.waiting = True  # the caller still waits for the response
        self.trace: CallTrace | None = None


class Attempt:
    """One attempt at a call, at one server.

    Args:
        call: The call.
        number: The number of the attempt within the call, from 0.
        server: The server that it is sent to.
        port: The node that sends it.
        draw: Determines the network delays of its messages.
        now: When it is sent, in microseconds.
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
        self.draw = draw  # determines its network delays
        self.sent_at = now
        self.ended = False
        self.job: Any = None  # the server's data
        self.connection: Any = None  # that it was sent on, the node's data
        self.cause: Cause | None = None  # of an error in a later tier
        self.trace: AttemptTrace | None = None


class Port(Protocol):
    """A node as callers, servers and discovery see it."""

    tier: int
    zone: int
    up: bool
    ready: bool
    starts: dict[int, int]  # the start time of each server that it was notified of

    def expect(self, at: int, call: Call) -> None:
        """Delivers a client's call, which is still in flight, at the time `at`."""

    def accept(self, call: Call) -> None:
        """Receives a call."""

    def client_disconnected(self, call: Call) -> None:
        """Is notified that the caller no longer waits for a call."""

    def deadline_missed(self, call: Call) -> None:
        """Reports a violation if the call is still open: its deadline and the slack have passed."""

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """Receives a server's response to an attempt, or the loss of its connection."""

    def update_servers(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """Receives an endpoint list, or changes to it, from discovery."""

    def boot(self) -> None:
        """Starts a new process."""

    def drain(self) -> None:
        """Shuts down gracefully, as on SIGTERM: completes what is open first."""

    def kill(self) -> None:
        """Ends at once, as on SIGKILL: what is open is lost."""


def is_over(thing: Attempt) -> bool:
    """Returns whether an attempt has ended, so that its time-out is not needed."""
    return thing.ended


def is_answered(call: Call) -> bool:
    """Returns whether a call has its final response, so that its deadline need not be checked."""
    return not call.open


def is_not_awaited(call: Call) -> bool:
    """Returns whether a call's caller has stopped waiting, so that its time-out is not needed."""
    return not call.waiting
