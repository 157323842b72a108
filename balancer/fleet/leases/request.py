"""The state of one requested lease on its client."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RequestStage(Enum):
    """Stage of a request; the value is part of `GET /fleet`."""

    WAITING = "waits"  # The client requests the lease again at `due_at`.
    FIRST_VOTER = "asks one"  # The client waits for the answer of the voter that it asks first.
    ALL_VOTERS = "asks all"  # The first voter has granted the lease, and the client asks the others.
    HELD = "held"  # A majority has granted the lease.


@dataclass
class LeaseRequest:
    """One lease that a client holds or wants to hold.

    Attributes:
        lease: Name of the lease.
        duration: Requested duration of the lease, in microseconds.
        stage: Stage of the request.
        due_at: Time of the client's next action on the request.
        seq: Sequence number of the current round of requests; answers to other rounds are ignored.
        requested_at: Time at which the first request of the round was sent.
        token: Token, a number that is higher for each new holder, under which the lease is requested or held.
        highest_token: Highest token that a voter has reported.
        expires_at: Time at which the held lease expires.
        first_voter: Index of the voter that is asked first.
        failures: Number of failed rounds since the lease was held last.
        held_elsewhere_until: Time until which another process holds the lease, according to a denial.
        granted_by: Voters that granted the lease in the current round.
        denied_by: Voters that denied the lease in the current round.
    """

    lease: str
    duration: int
    stage: RequestStage = RequestStage.WAITING
    due_at: int = 0
    seq: int = 0
    requested_at: int = 0
    token: int = 0
    highest_token: int = 0
    expires_at: int = 0
    first_voter: int = 0
    failures: int = 0
    held_elsewhere_until: int = 0
    granted_by: set[str] = field(default_factory=set)
    denied_by: set[str] = field(default_factory=set)

    @property
    def next_action_at(self) -> int:
        """Time of the request's next step or of the lease's expiry, whichever is earlier."""
        if self.stage == RequestStage.HELD:
            return min(self.due_at, self.expires_at)
        return self.due_at

    def begin_round(self, now: int, seq: int) -> None:
        """Start a new round of requests; answers to earlier rounds are ignored from now on."""
        self.seq, self.requested_at = seq, now
        self.granted_by, self.denied_by = set(), set()

    def observe_token(self, token: int) -> None:
        """Record a token that was granted to any client."""
        self.highest_token = max(self.highest_token, token)
