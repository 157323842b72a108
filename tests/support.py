"""A host that records the actions of the balancer, and helpers that drive a balancer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from balancer.policy import Balancer
from balancer.policy.interface import ClassSettings, Effect, Group, ListKind, Outcome, ServerEntry, Settings

SEC = 1_000_000
SAFE_CLASS = ClassSettings(
    Effect.IDEMPOTENT, latency_objective=1 * SEC, deadline=3 * SEC, worth=1, late_worth=0.2
)
KEYED_CLASS = ClassSettings(
    Effect.IDEMPOTENCY_KEY,
    latency_objective=1 * SEC,
    deadline=3 * SEC,
    worth=1,
    late_worth=0.2,
    group=Group.CELL,
    window=2 * SEC,
)
UNSAFE_CLASS = ClassSettings(
    Effect.NOT_IDEMPOTENT, latency_objective=1 * SEC, deadline=3 * SEC, worth=1, late_worth=0.2
)
BASE_SETTINGS = Settings(
    classes=(SAFE_CLASS, KEYED_CLASS, UNSAFE_CLASS),
    max_attempts=4,
    cancel=True,
    retry_after=True,
    max_retry_after=2 * SEC,
    slow_start_time=4 * SEC,
    slow_start_share=0.4,
    fall_multiple=3.0,
    fall_time=SEC,
)

OLD_PACKAGE_REVISION = "6291dd7"  # The last revision in which the node's package is `brackenladder`.


Action = tuple[Any, ...]  # The name of an action, followed by its arguments.


class Recorder:
    """A host that records each action that it is asked for."""

    def __init__(self) -> None:
        self.calls: list[Action] = []

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args: self.calls.append((name, *args))

    def take(self, *names: str) -> list[Action]:
        """Return and clear the recorded actions, restricted to these names if any are given."""
        calls, self.calls = self.calls, []
        return [c for c in calls if not names or c[0] in names]


def balancer(
    servers: int | list[ServerEntry] = 4, seed: int = 1, **changes: Any
) -> tuple[Balancer, Recorder]:
    """Return a started balancer with a list of these servers, and the recorder of its actions."""
    recorder = Recorder()
    node = Balancer(replace(BASE_SETTINGS, **changes), seed, recorder)
    node.start(0)
    entries = [ServerEntry(i + 1) for i in range(servers)] if isinstance(servers, int) else servers
    node.server_list(0, ListKind.CACHED, entries)
    recorder.take()
    return node, recorder


def submit_request(
    node: Balancer,
    recorder: Recorder,
    now: int,
    request: int,
    request_class: int = 0,
    remaining: int = 3 * SEC,
) -> Action:
    """Pass a request to the balancer and return the only action that follows."""
    node.request(now, request, request_class, 0, remaining, False)
    (action,) = recorder.take("send", "reject", "fail")
    return action


def end_attempt(
    node: Balancer,
    recorder: Recorder,
    now: int,
    request: int,
    attempt: int,
    server: int,
    outcome: Outcome,
    latency: int = 10_000,
) -> list[Action]:
    """Report the outcome of an attempt and return the actions for its request that follow."""
    final = outcome == Outcome.OK
    node.outcome(now, request, attempt, server, outcome, latency, final, ())
    return recorder.take("send", "reject", "fail")
