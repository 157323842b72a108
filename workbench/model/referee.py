"""The check of the rules by what clients, servers and discovery observe, never by a node's own state."""

from __future__ import annotations

from typing import Any

from balancer.policy.interface import NEVER_RAN, ClassSettings, Effect, Group, Outcome
from workbench.model.call import Call
from workbench.model.environment import ServerView

RULES = ("final_answer", "duplicate_effects", "drain_grace", "cold_server", "well_formed")
# Number of violations whose descriptions are kept.
MAX_REPORTED = 20
# Share of a failed cold server's load from which the nodes that had been notified of its start are at fault.
MIN_NOTIFIED_SHARE = 2 / 3


class Referee:
    """The counter of rule violations.

    Args:
        classes: The settings of the request classes.
        stop_sending: How long after its notification a node may still send attempts to a draining server,
            in microseconds.
        second_copies: Whether hedged requests are allowed.
    """

    def __init__(self, classes: list[ClassSettings], stop_sending: int, is_hedging_allowed: bool) -> None:
        self.classes = classes
        self.stop_sending = stop_sending
        self.is_hedging_allowed = is_hedging_allowed
        self.counts = dict.fromkeys(RULES, 0)
        self.violations: list[str] = []

    def report(self, now: int, rule: str, description: str) -> None:
        """Count a violation, and keep the descriptions of the first `MAX_REPORTED`."""
        self.counts[rule] += 1
        if len(self.violations) < MAX_REPORTED:
            self.violations.append(f"{now / 1e6:.3f} s: {rule}: {description}")

    def deadline_missed(self, now: int, call: Call) -> None:
        """Report that a running node has sent no final response within the deadline and the allowed slack."""
        self.report(now, "final_answer", f"request {call.root.index}, tier {call.tier}: no answer in time")

    def malformed(self, now: int, description: str) -> None:
        """Report an action of a policy that the interface does not allow."""
        self.report(now, "well_formed", description)

    def check_attempt(self, now: int, call: Call, server: ServerView, unavailable_since: int) -> None:
        """Check an attempt against the rules before it is recorded.

        Args:
            now: The current time.
            call: The call that the attempt belongs to.
            server: The server that the attempt is sent to.
            unavailable_since: When the node was notified that the server drains or is gone; -1 for never.
        """
        if unavailable_since >= 0 and now > unavailable_since + self.stop_sending:
            late = (now - unavailable_since) / 1000
            self.report(
                now,
                "drain_grace",
                f"server {server.id}: sent to {late:.0f} ms after it was reported as unavailable",
            )
        settings = self.classes[call.root.request_class]
        if call.in_flight and not self.is_hedging_allowed:
            self.report(now, "duplicate_effects", f"request {call.root.index}: two attempts at the same time")
        if settings.effect == Effect.IDEMPOTENT:
            return
        first_server, first_at = call.ran_on, call.ran_at
        if first_server is None and call.in_flight:
            open_attempt = next(attempt for attempt in call.sent if not attempt.ended)
            first_server, first_at = open_attempt.server, open_attempt.sent_at
        if first_server is None:
            return
        if settings.effect == Effect.NOT_IDEMPOTENT:
            self.report(now, "duplicate_effects", f"request {call.root.index}: an unsafe request sent again")
        elif now > first_at + settings.window or not is_in_group(settings.group, first_server, server):
            self.report(
                now,
                "duplicate_effects",
                f"request {call.root.index}: a keyed request sent outside its group or window",
            )

    def attempt_ended(self, call: Call, server: Any, sent_at: int, outcome: Outcome) -> None:
        """Record the server of the first attempt that may have run, by the attempt's outcome."""
        if outcome not in NEVER_RAN and outcome != Outcome.OK and call.ran_on is None:
            call.ran_on = server
            call.ran_at = sent_at

    def check_rejection(self, now: int, call: Call) -> None:
        """Check a rejection, which tells the caller that a retry is safe."""
        may_have_run = call.ran_on is not None or call.in_flight > 0
        if may_have_run and not can_retry_anywhere(self.classes[call.root.request_class]):
            self.report(
                now, "duplicate_effects", f"request {call.root.index}: rejected although it may have run"
            )

    def cold_server_failed(self, server: ServerView, notified_share: float) -> None:
        """Report a server that was overloaded while cold, mostly by nodes notified of its start."""
        now = server.clock.now
        if notified_share >= MIN_NOTIFIED_SHARE:
            self.report(
                now,
                "cold_server",
                f"server {server.id}, tier {server.tier}: pushed over while cold",
            )


def can_retry_anywhere(settings: ClassSettings) -> bool:
    """Return whether a request that may have run can be retried safely at any server."""
    return settings.effect == Effect.IDEMPOTENT or (
        settings.effect == Effect.IDEMPOTENCY_KEY and settings.group == Group.ALL
    )


def is_in_group(group: Group, first: Any, other: Any) -> bool:
    """Return whether a server recognises duplicates of requests that another server may have run."""
    if group == Group.ALL or first is other:
        return True
    if group == Group.ZONE:
        return bool(first.zone == other.zone)
    return bool(first.zone == other.zone and first.cell == other.cell)
