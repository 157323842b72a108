"""Messages and timers that the clock delivers to nodes and clients after a delay."""

from __future__ import annotations

from typing import NamedTuple

from balancer.policy.interface import Outcome
from workbench.model.call import Answer, Attempt, Call


class Reply(NamedTuple):
    """The outcome of an attempt, in transit to the node."""

    attempt: Attempt
    outcome: Outcome


class CallResponse(NamedTuple):
    """The final response to a call, in transit to the client."""

    call: Call
    answer: Answer
    retry_after: int


class HealthCheckResult(NamedTuple):
    """The result of a health check and its duration in microseconds; ignored after a restart of the node."""

    incarnation: int
    server: int
    healthy: bool
    elapsed: int


class PolicyTimer(NamedTuple):
    """A timer that the policy of one incarnation of the node has set; ignored after a restart."""

    incarnation: int
    token: int


def deliver_response(response: CallResponse) -> None:
    """Deliver the response to a call to its caller."""
    response.call.caller.answered(response.call, response.answer, response.retry_after)
