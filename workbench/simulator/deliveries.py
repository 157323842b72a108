"""What the clock delivers to nodes and clients after a delay."""

from __future__ import annotations

from typing import NamedTuple

from balancer.policy.interface import Outcome
from workbench.model.call import Answer, Attempt, Call


class Reply(NamedTuple):
    """The outcome of an attempt, on its way to the node."""

    attempt: Attempt
    outcome: Outcome


class FinalAnswer(NamedTuple):
    """The response to a call, on its way to the client."""

    call: Call
    answer: Answer
    retry_after: int


class CheckResult(NamedTuple):
    """The result of a health check, and the microseconds that it took."""

    incarnation: int
    server: int
    healthy: bool
    elapsed: int


class Timer(NamedTuple):
    """A timer of the policy, void after the end of its process."""

    incarnation: int
    token: int


def deliver_answer(final: FinalAnswer) -> None:
    """Delivers the response to a call."""
    final.call.caller.answered(final.call, final.answer, final.retry_after)
