"""The rules as seen from outside: by clients, servers and discovery, never by a node's own state."""

from __future__ import annotations

from typing import Any

from balancer.policy.interface import NEVER_RAN, ClassSettings, Effect, Group, Outcome
from workbench.model.call import Call
from workbench.model.environment import ServerView

RULES = ("final_answer", "duplicate_effects", "drain_grace", "cold_server", "well_formed")
MAX_REPORTED = 20  # violations whose descriptions are kept
NOTIFIED_SHARE = 2 / 3  # of the work at a failed cold server: above it, the notified nodes are at fault


class Referee:
    """Counts violations of the rules.

    Args:
        classes: The settings of the request classes.
        stop_sending: How long after a notification a server that drains may still be sent attempts, in
            microseconds.
        second_copies: Whether hedged requests are allowed.
    """

    def __init__(self, classes: list[ClassSettings], stop_sending: int, second_copies: bool) -> None:
        self.classes = classes
        self.stop_sending = stop_sending
        self.second_copies = second_copies
        self.counts = dict.fromkeys(RULES, 0)
        self.violations: list[str] = []

    def report(self, now: int, rule: str, description: str) -> None:
        """Counts a violation, and keeps the description of the first ones."""
        self.counts[rule] += 1
        if len(self.violations) < MAX_REPORTED:
            self.violations.append(f"{now / 1e6:.3f} s: {rule}: {description}")

    def deadline_missed(self, now: int, call: Call) -> None:
        """Reports that a running node has sent no final response within deadline and slack."""
        self.report(now, "final_answer", f"request {call.root.index}, tier {call.tier}: no answer in time")

    def malformed(self, now: int, description: str) -> None:
        """Reports an action that the interface does not allow."""
        self.report(now, "well_formed", description)

    def check_attempt(self, now: int, call: Call, server: ServerView, unavailable_since: int) -> None:
        """Checks an attempt before it is recorded.

        Args:
            now: The current time.
            call: The call that the attempt belongs to.
            server: The server that it is sent to.
            unavailable_since: When the node was notified that the server drains or is gone; -1 for never.
        """
        if unavailable_since >= 0 and now > unavailable_since + self.stop_sending:
            late = (now - unavailable_since) / 1000
            self.report(
                now, "drain_grace", f"server {server.id}: sent to {late:.0f} ms after it was told away"
            )
        settings = self.classes[call.root.request_class]
        if call.in_flight and not self.second_copies:
            self.report(now, "duplicate_effects", f"request {call.root.index}: two attempts out at once")
        if settings.effect == Effect.IDEMPOTENT:
            return
        first, at = call.ran_on, call.ran_at
        if first is None and call.in_flight:
            earlier = next(a for a in call.sent if not a.ended)
            first, at = earlier.server, earlier.sent_at
        if first is None:
            return
        if settings.effect == Effect.NOT_IDEMPOTENT:
            self.report(now, "duplicate_effects", f"request {call.root.index}: an unsafe request sent again")
        elif now > at + settings.window or not in_group(settings.group, first, server):
            self.report(
                now, "duplicate_effects", f"request {call.root.index}: a keyed request outside its group"
            )

    def attempt_ended(self, call: Call, server: Any, sent_at: int, outcome: Outcome) -> None:
        """Records whether an attempt may have run, by its outcome."""
        if outcome not in NEVER_RAN and outcome != Outcome.OK and call.ran_on is None:
            call.ran_on = server
            call.ran_at = sent_at

    def check_rejection(self, now: int, call: Call) -> None:
        """Checks a rejection, which promises that a retry is safe."""
        ran = call.ran_on is not None or call.in_flight > 0
        if ran and not repeats_anywhere(self.classes[call.root.request_class]):
            self.report(
                now, "duplicate_effects", f"request {call.root.index}: refused though it may have run"
            )

    def cold_server_failed(self, server: ServerView, notified_share: float) -> None:
        """Reports a server that was overloaded while it warmed up, if nodes knew of its start."""
        now = server.clock.now
        if notified_share >= NOTIFIED_SHARE:
            self.report(now, "cold_server", f"server {server.id}, tier {server.tier}: pushed over while cold")


def repeats_anywhere(settings: ClassSettings) -> bool:
    """Returns whether a request that may have run can be retried at any server."""
    return settings.effect == Effect.IDEMPOTENT or (
        settings.effect == Effect.IDEMPOTENCY_KEY and settings.group == Group.ALL
    )


def in_group(group: Group, first: Any, other: Any) -> bool:
    """Returns whether a server recognises the duplicates of what another server may have run."""
    if group == Group.ALL or first is other:
        return True
    if group == Group.ZONE:
        return bool(first.zone == other.zone)
    return bool(first.zone == other.zone and first.cell == other.cell)
