"""Jobs: the attempts that a server is processing."""

from __future__ import annotations

from balancer.policy.interface import Outcome
from workbench.model.call import Attempt, Call

# States of a job; a waiting job has an open call to the next tier.
QUEUED, RUNNING, WAITING, DONE = range(4)


class Job:
    """The state of one attempt at its server.

    A job's work runs in parts, before and after its calls to the next tier.

    Args:
        attempt: The attempt.
        work: The job's work on this server, in core-microseconds of the reference core.
        calls: The number of calls that the job makes to the next tier.
    """

    __slots__ = (
        "attempt",
        "child_call",
        "finish_time",
        "outcome",
        "remaining_calls",
        "remaining_work",
        "start_time",
        "state",
        "useful_work",
    )

    def __init__(self, attempt: Attempt, work: float, calls: int) -> None:
        self.attempt = attempt
        # Virtual times at which the current part of the work started and is going to finish.
        self.finish_time = 0.0
        self.start_time = 0.0
        # Work in parts that have not started.
        self.remaining_work = work
        # Calls to the next tier that have not been made.
        self.remaining_calls = calls
        self.child_call: Call | None = None
        self.useful_work = work
        self.state = QUEUED
        self.outcome = Outcome.OK
