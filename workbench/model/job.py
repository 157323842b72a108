"""A job: an attempt as its server processes it."""

from __future__ import annotations

from balancer.policy.interface import Outcome
from workbench.model.call import Attempt, Call

QUEUED, RUNNING, WAITING, DONE = range(4)  # states; WAITING is for the next tier


class Job:
    """One attempt at its server.

    Args:
        attempt: The attempt.
        work: Its work on this server, in core-microseconds of the reference core.
        calls: How many calls to the next tier it makes.
    """

    __slots__ = (
        "answer",
        "attempt",
        "calls",
        "child",
        "finish_time",
        "remaining",
        "start_time",
        "state",
        "useful",
    )

    def __init__(self, attempt: Attempt, work: float, calls: int) -> None:
        self.attempt = attempt
        self.finish_time = 0.0  # the virtual time at which its present work is done
        self.start_time = 0.0  # the virtual time at which that began
        self.remaining = work  # work that has not begun
        self.calls = calls  # to the next tier, not made yet
        self.child: Call | None = None
        self.useful = work
        self.state = QUEUED
        self.answer = Outcome.OK
