"""Counts and log lines of closed connections, refused requests and retries, each with its reason."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from balancer.net.process.log import Log


class CloseReason(Enum):
    """Why a client's connection ended; logs and management pages show the value.

    Attributes:
        CLIENT: The client closed or reset it.
        RESPONSE: It was closed after a response, as the client, the request or the node's drain asks for.
        REJECTED: It was closed after the error response to a request that was not read completely.
        IDLE: It was evicted without a request, after an earlier response.
        STALLED: It was evicted within a request, of which its client sent nothing more.
        NO_REQUEST: It was evicted without a complete head.
        SILENT: Its client sent nothing in time.
        LATE: Its client did not send a head or a body in time.
        DRAINING: The node drains, and it had no request.
        MEMORY: It was closed because buffered bytes exceeded the limit.
        UNREAD: Its client did not read a response.
        BROKEN_RESPONSE: The response that was being streamed cannot be completed.
    """

    CLIENT = "client"
    RESPONSE = "response"
    REJECTED = "rejected"
    IDLE = "idle"
    STALLED = "stalled"
    NO_REQUEST = "no_request"
    SILENT = "silent"
    LATE = "late"
    DRAINING = "draining"
    MEMORY = "memory"
    UNREAD = "unread"
    BROKEN_RESPONSE = "broken_response"


class GiveWayCause(Enum):
    """What the node lacked when it made a client give way to others; logs show the value.

    Attributes:
        CONNECTIONS: Connections of clients.
        SERVER_CONNECTIONS: Connections to servers.
        UPLOADS: Streamed request bodies.
        UNREAD_RESPONSES: Streamed responses that are not read.
        MEMORY: Memory for buffered bytes.
    """

    CONNECTIONS = "connections"
    SERVER_CONNECTIONS = "server_connections"
    UPLOADS = "uploads"
    UNREAD_RESPONSES = "unread_responses"
    MEMORY = "memory"


class RefusalReason(Enum):
    """Why a request got no response from a server; logs and management pages show the value.

    Attributes:
        POLICY: The policy rejected it before any attempt, at its limit or without a server.
        ATTEMPTS: Its attempts failed, and the policy gave it up.
        DEADLINE: It had no response at its deadline.
        REPEATED: It came again after its client had left, and may have run already.
        MAX_OPEN: The node has as many requests as its settings allow.
        CONNECTIONS: The node has too many connections of clients.
        UPLOADS: As many streamed bodies as the node allows are being sent.
        GAVE_WAY: Its client held too much, or had stalled, and gave way to others.
        MEMORY: Its bytes exceed the limit on buffered bytes.
        INPUT: It was malformed, too large, overdue or sent behind too many others.
        UPLOAD: Its streamed body broke off on the way to a server.
        SHUTDOWN: It came late in the shutdown, and its response cannot end before the process is killed.
        INTERNAL: Its handling raised an exception.
    """

    POLICY = "policy"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    REPEATED = "repeated"
    MAX_OPEN = "max_open"
    UPLOADS = "uploads"
    CONNECTIONS = "connections"
    GAVE_WAY = "gave_way"
    MEMORY = "memory"
    INPUT = "input"
    UPLOAD = "upload"
    SHUTDOWN = "shutdown"
    INTERNAL = "internal"


# Ends of connections that are part of calm traffic: they are counted and not logged.
UNLOGGED_CLOSES = frozenset({CloseReason.CLIENT, CloseReason.RESPONSE})


class TrafficEvents:
    """Counts events of client connections and requests by reason, and logs them at a limited rate.

    Args:
        log: Receives a line for each event; its rate limit is not shared with lines that report faults.
    """

    def __init__(self, log: Log) -> None:
        self.log = log
        self.closes: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.retries: Counter[str] = Counter()

    def closed(self, client: int, reason: CloseReason, age_s: float, held_bytes: int) -> None:
        """Record the end of a client's connection.

        Args:
            client: The number of the connection.
            reason: Why it ended.
            age_s: The time since it was accepted, in seconds.
            held_bytes: The bytes that were buffered for it when the node decided to close it.
        """
        self.closes[reason.value] += 1
        if reason not in UNLOGGED_CLOSES:
            self.log.line(f"close client={client} reason={reason.value} age={age_s:.2f} held={held_bytes}")

    def refused(self, client: int, reason: RefusalReason, status: int, detail: str = "") -> None:
        """Record a request that got an error response of the node.

        Args:
            client: The number of the client's connection.
            reason: Why the request got no response from a server.
            status: The status of the response.
            detail: The outcome of the last attempt, if there was one.
        """
        self.refusals[reason.value] += 1
        after = f" after={detail}" if detail else ""
        self.log.line(f"refuse client={client} reason={reason.value} status={status}{after}")

    def retried(self, request: int, attempt: int, reason: str) -> None:
        """Record a further attempt.

        Args:
            request: The number of the request.
            attempt: The number of the attempt within its request, from 0.
            reason: The outcome of the attempt before, in lower case.
        """
        self.retries[reason] += 1
        self.log.line(f"retry request={request} attempt={attempt} after={reason}")

    def gave_way(
        self, client: int, cause: GiveWayCause, waited_s: float, unread_bytes: int, unacknowledged_bytes: int
    ) -> None:
        """Record a client that gives way to others within a request or a response.

        Args:
            client: The number of the connection.
            cause: What the node lacked.
            waited_s: The time since the client last sent or read something, as far as the node knows.
            unread_bytes: The bytes of responses that the process buffers for it.
            unacknowledged_bytes: The bytes of responses that the kernel holds for it.
        """
        self.log.line(
            f"give_way client={client} for={cause.value} waited={waited_s:.2f} unread={unread_bytes}"
            f" unacknowledged={unacknowledged_bytes}"
        )

    def cut_off(
        self, request: int, attempt: int, reason: str, received_bytes: int, length: int | None
    ) -> None:
        """Record an attempt that the node ended within a response that it had not passed on.

        Args:
            request: The number of the request.
            attempt: The number of the attempt within its request, from 0.
            reason: The outcome of the attempt, in lower case.
            received_bytes: The bytes of the response's body that had come.
            length: The length that the response's head states; None if it states none.
        """
        stated = "none" if length is None else str(length)
        self.log.line(
            f"cut_off request={request} attempt={attempt} after={reason}"
            f" received={received_bytes} length={stated}"
        )

    def came_late(self, client: int, after_s: float) -> None:
        """Record a request that came while the node shuts down.

        Args:
            client: The number of the client's connection.
            after_s: The time since the shutdown began, in seconds.
        """
        self.log.line(f"late client={client} after={after_s:.2f}")

    def figures(self) -> dict[str, int]:
        """Return all counts by the names of the log."""
        groups = {"closed": self.closes, "refused": self.refusals, "retried": self.retries}
        return {
            f"{group}_{name}": count for group, counts in groups.items() for name, count in counts.items()
        }
