"""The state of one requested lease at its client."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RequestStage(Enum):
    """The stage of a request; the value stands on the operators' page."""

    WAITING = "waits"  # until `due_at`
    FIRST_VOTER = "asks one"
    ALL_VOTERS = "asks all"
    HELD = "held"


@dataclass
class LeaseRequest:
    """One lease that a client holds or wants to hold.

    Attributes:
        lease: Its name.
        duration: Of the lease as requested, in microseconds.
        stage: Where the request stands.
        due_at: When the client acts on it next.
        seq: Of the current round; answers to others do not count.
        requested_at: When the first request of the round was sent.
        token: Under which the lease is requested or held.
        highest_token: The highest that a voter has reported.
        expires_at: Until when the lease is held.
        first_voter: Index of the voter that is asked first.
        failures: Failed rounds since the lease was held.
        held_elsewhere_until: Until when another process holds it, by a voter's denial.
        granted_by: Voters that granted it in this round.
        denied_by: Voters that denied it in this round.
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
        """When something is due: the next step of the request, or its expiry."""
        if self.stage == RequestStage.HELD:
            return min(self.due_at, self.expires_at)
        return self.due_at

    def begin_round(self, now: int, seq: int) -> None:
        """Starts a new round of requests; answers to earlier ones do not count any more."""
        self.seq, self.requested_at = seq, now
        self.granted_by, self.denied_by = set(), set()

    def observe_token(self, token: int) -> None:
        """Takes in a token that was granted to somebody."""
        self.highest_token = max(self.highest_token, token)
