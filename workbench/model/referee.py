"""The four rules, seen from outside: what clients, servers and discovery saw, never a node's own state."""

from __future__ import annotations

from typing import Any

from balancer.policy.interface import NEVER_RAN, ClassSettings, Effect, Group, Outcome
from workbench.model.call import Call
from workbench.model.environment import ServerView

RULES = ("final_answer", "duplicate_effects", "drain_grace", "cold_server", "well_formed")
KEPT = 20  # broken rules told one by one
TOLD_SHARE = 2 / 3  # of the work at a fallen server: beyond it the nodes that knew are at fault


class Referee:
    """Counts broken rules. `stop_sending` is in microseconds, as all times."""

    def __init__(self, classes: list[ClassSettings], stop_sending: int, second_copies: bool) -> None:
        self.classes = classes
        self.stop_sending = stop_sending
        self.second_copies = second_copies
        self.counts = dict.fromkeys(RULES, 0)
        self.stories: list[str] = []

    def broken(self, now: int, rule: str, story: str) -> None:
        self.counts[rule] += 1
        if len(self.stories) < KEPT:
            self.stories.append(f"{now / 1e6:.3f} s: {rule}: {story}")

    def overdue(self, now: int, call: Call) -> None:
        """A live node has let a request's time and the slack pass without a final answer."""
        self.broken(now, "final_answer", f"request {call.root.index}, tier {call.tier}: no answer in time")

    def malformed(self, now: int, story: str) -> None:
        self.broken(now, "well_formed", story)

    def sending(self, now: int, call: Call, server: ServerView, away_since: int) -> None:
        """Before an attempt is booked. `away_since`: when the node was told that the server drains or is
        gone."""
        if away_since >= 0 and now > away_since + self.stop_sending:
            late = (now - away_since) / 1000
            self.broken(
                now, "drain_grace", f"server {server.id}: sent to {late:.0f} ms after it was told away"
            )
        klass = self.classes[call.root.klass]
        if call.out and not self.second_copies:
            self.broken(now, "duplicate_effects", f"request {call.root.index}: two attempts out at once")
        if klass.effect == Effect.IDEMPOTENT:
            return
        first, at = call.ran_on, call.ran_at
        if first is None and call.out:
            earlier = next(a for a in call.sent if not a.ended)
            first, at = earlier.server, earlier.sent_at
        if first is None:
            return
        if klass.effect == Effect.NOT_IDEMPOTENT:
            self.broken(now, "duplicate_effects", f"request {call.root.index}: an unsafe request sent again")
        elif now > at + klass.window or not in_group(klass.group, first, server):
            self.broken(
                now, "duplicate_effects", f"request {call.root.index}: a keyed request outside its group"
            )

    def ended(self, call: Call, server: Any, sent_at: int, outcome: Outcome) -> None:
        """An attempt's outcome: whether it may have run."""
        if outcome not in NEVER_RAN and outcome != Outcome.OK and call.ran_on is None:
            call.ran_on = server
            call.ran_at = sent_at

    def refused(self, now: int, call: Call) -> None:
        """A refusal promises that a repeat does no harm."""
        ran = call.ran_on is not None or call.out > 0
        if ran and not repeats_anywhere(self.classes[call.root.klass]):
            self.broken(
                now, "duplicate_effects", f"request {call.root.index}: refused though it may have run"
            )

    def fell(self, server: ServerView, told_share: float) -> None:
        """A cold server was sent more than it stands."""
        now = server.clock.now
        if told_share >= TOLD_SHARE:
            self.broken(now, "cold_server", f"server {server.id}, tier {server.tier}: pushed over while cold")


def repeats_anywhere(klass: ClassSettings) -> bool:
    """Whether a request of the class that may have run does no harm at any server."""
    return klass.effect == Effect.IDEMPOTENT or (
        klass.effect == Effect.IDEMPOTENCY_KEY and klass.group == Group.ALL
    )


def in_group(group: Group, first: Any, other: Any) -> bool:
    """Whether a server discards the repeats of what another may have run."""
    if group == Group.ALL or first is other:
        return True
    if group == Group.ZONE:
        return bool(first.zone == other.zone)
    return bool(first.zone == other.zone and first.cell == other.cell)
