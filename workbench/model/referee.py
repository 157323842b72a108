"""The four rules, seen from outside: what clients, servers and discovery saw, never a node's own state."""

from __future__ import annotations

from typing import Any

from balancer.policy.interface import NEVER_RAN, ClassSettings, Effect, Group, Outcome
from workbench.model.call import Call
from workbench.model.environment import ServerView

RULES = ("final_answer", "duplicate_effects", "drain_grace", "cold_server", "well_formed")
MAX_REPORTED = 20  # broken rules told one by one
NOTIFIED_SHARE = 2 / 3  # of the work at a fallen server: beyond it the nodes that knew are at fault


class Referee:
    """Counts broken rules. `stop_sending` is in microseconds, as all times."""

    def __init__(self, classes: list[ClassSettings], stop_sending: int, second_copies: bool) -> None:
        self.classes = classes
        self.stop_sending = stop_sending
        self.second_copies = second_copies
        self.counts = dict.fromkeys(RULES, 0)
        self.violations: list[str] = []

    def report(self, now: int, rule: str, description: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_REPORTED:
            self.violations.append(f"{now / 1e6:.3f} s: {rule}: {description}")

    def deadline_missed(self, now: int, call: Call) -> None:
        """A live node has let a request's time and the slack pass without a final answer."""
        self.report(now, "final_answer", f"request {call.root.index}, tier {call.tier}: no answer in time")

    def malformed(self, now: int, description: str) -> None:
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
        """An attempt's outcome: whether it may have run."""
        if outcome not in NEVER_RAN and outcome != Outcome.OK and call.ran_on is None:
            call.ran_on = server
            call.ran_at = sent_at

    def check_rejection(self, now: int, call: Call) -> None:
        """A refusal promises that a repeat does no harm."""
        ran = call.ran_on is not None or call.in_flight > 0
        if ran and not repeats_anywhere(self.classes[call.root.request_class]):
            self.report(
                now, "duplicate_effects", f"request {call.root.index}: refused though it may have run"
            )

    def cold_server_failed(self, server: ServerView, notified_share: float) -> None:
        """A cold server was sent more than it stands."""
        now = server.clock.now
        if notified_share >= NOTIFIED_SHARE:
            self.report(now, "cold_server", f"server {server.id}, tier {server.tier}: pushed over while cold")


def repeats_anywhere(settings: ClassSettings) -> bool:
    """Whether a request of the class that may have run does no harm at any server."""
    return settings.effect == Effect.IDEMPOTENT or (
        settings.effect == Effect.IDEMPOTENCY_KEY and settings.group == Group.ALL
    )


def in_group(group: Group, first: Any, other: Any) -> bool:
    """Whether a server discards the repeats of what another may have run."""
    if group == Group.ALL or first is other:
        return True
    if group == Group.ZONE:
        return bool(first.zone == other.zone)
    return bool(first.zone == other.zone and first.cell == other.cell)
