"""What passes through the world: clients' requests, calls at nodes, attempts at servers."""

from __future__ import annotations

from typing import Any, Protocol

from balancer.policy.interface import ListKind, Outcome, ServerEntry
from workbench.model.answer import Answer
from workbench.model.trace import AttemptTrace, CallTrace, RequestTrace

__all__ = ["UNKNOWN", "Answer", "Attempt", "Call", "Caller", "Cause", "Port", "Request"]

Cause = tuple[str, int]  # why worth was lost, and at which tier
UNKNOWN: Cause = ("never sent", 0)


class Request:
    """What one client wants: its tries are calls."""

    __slots__ = (
        "index",
        "key",
        "request_class",
        "zone",
        "due",
        "objective_at",
        "deadline_at",
        "client_attempts",
        "factor",
        "cause",
        "done_at",
        "served",
        "work",
        "useful",
        "attempts",
        "trace",
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
        self.factor = factor  # its work, against the class's mean
        self.cause = UNKNOWN
        self.done_at = -1
        self.served = False
        self.work = 0.0  # that servers did for it, in core-microseconds of the yardstick
        self.useful = 0.0  # of which for the answer it got
        self.attempts = 0  # over all tiers
        self.trace: RequestTrace | None = None  # where the day is traced


class Caller(Protocol):
    """Whoever waits for a call: clients, or a server of the tier before."""

    def answered(self, call: Call, answer: Answer, retry_after: int) -> None:
        """The call's one final answer, at the caller."""


class Call:
    """One request at one node: a client's try, or a server's call to the next tier."""

    __slots__ = (
        "id",
        "root",
        "key",
        "tier",
        "until",
        "caller",
        "node",
        "number",
        "sent",
        "in_flight",
        "ran_on",
        "ran_at",
        "open",
        "cause",
        "useful",
        "context",
        "waiting",
        "accepted",
        "trace",
    )

    def __init__(self, number: int, root: Request, key: int, tier: int, until: int, caller: Caller) -> None:
        self.id = number
        self.root = root
        self.key = key  # of its draws: the same for each try of a request and each attempt above
        self.tier = tier
        self.until = until  # how long the caller waits
        self.caller = caller
        self.node: Port | None = None
        self.number = 0  # of the try, or of the call among its server's calls
        self.sent: list[Attempt] = []
        self.in_flight = 0  # attempts without an outcome
        self.ran_on: Any = None  # the first server that may have run it
        self.ran_at = 0
        self.open = True
        self.accepted = False
        self.cause = UNKNOWN
        self.useful = 0.0
        self.context: Any = None  # the caller's own
        self.waiting = True  # whoever called waits for the answer still
        self.trace: CallTrace | None = None


class Attempt:
    """One sending of a call to one server."""

    __slots__ = (
        "call",
        "number",
        "server",
        "port",
        "draw",
        "sent_at",
        "ended",
        "job",
        "link",
        "cause",
        "trace",
    )

    def __init__(self, call: Call, number: int, server: Any, port: Port, draw: int, now: int) -> None:
        self.call = call
        self.number = number
        self.server = server
        self.port = port
        self.draw = draw  # of its messages' delays
        self.sent_at = now
        self.ended = False
        self.job: Any = None  # the server's own
        self.link: Any = None  # the connection it went by, the node's own
        self.cause: Cause | None = None  # of an error that came from a tier behind
        self.trace: AttemptTrace | None = None


class Port(Protocol):
    """A node as the world sees it: what callers, servers and discovery can do to it."""

    tier: int
    zone: int
    up: bool
    ready: bool
    starts: dict[int, int]  # the servers that it was told of, by their starts

    def expect(self, at: int, call: Call) -> None:
        """A client's call is on its way and comes at `at`."""

    def accept(self, call: Call) -> None:
        """A call has come to the node."""

    def client_disconnected(self, call: Call) -> None:
        """The call's caller has left."""

    def deadline_missed(self, call: Call) -> None:
        """The call's time and the slack are over: if it is open still, the rule is broken."""

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """A server has answered an attempt, or its connection has broken."""

    def update_servers(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """Discovery has told the node something."""

    def boot(self) -> None:
        """Starts a new process."""

    def drain(self) -> None:
        """SIGTERM: finish what is open, then end."""

    def kill(self) -> None:
        """SIGKILL: what is open is lost."""


def is_over(thing: Attempt) -> bool:
    """An attempt's time-out is needless once it has ended."""
    return thing.ended


def is_answered(call: Call) -> bool:
    """A call's time limit is needless once it has its answer."""
    return not call.open


def is_not_awaited(call: Call) -> bool:
    """A caller's patience is needless once it waits no more."""
    return not call.waiting
