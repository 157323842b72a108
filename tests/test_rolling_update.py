"""Rolling updates: which process is asked to end next, changes of the plan, and message encoding."""

from typing import cast

import pytest

from balancer.fleet.component import Outgoing
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Address
from balancer.fleet.rolling_update.decisions import RollingUpdate
from balancer.fleet.rolling_update.messages import (
    RollingUpdateKind,
    RollingUpdateMessage,
    RollingUpdateWire,
    UpdatePlan,
    UpdateState,
)

START = 100 * 1_000_000

State = tuple[str, int, bool]  # Zone of a member, its incarnation, and whether it serves.
PLAN = UpdatePlan(1000, 1, 1, UpdateState.RUNS)


class Members:
    """A leader's view of the members by name; the state of a departed member is None."""

    def __init__(self, **members: State | None) -> None:
        self.members = members

    def serving(self) -> bool:
        return True

    def alive(self) -> list[str]:
        return sorted(n for n, m in self.members.items() if m is not None)

    def departed(self) -> list[str]:
        return sorted(n for n, m in self.members.items() if m is None)


def leader(incarnation: int = 500, max_unavailable: int = 1, **members: State | None) -> RollingUpdate:
    """Return a leader that has a report of each member that is alive."""
    update = RollingUpdate("z", "here", incarnation, Members(**members), START)
    plan = UpdatePlan(1000, 1, max_unavailable, UpdateState.RUNS)
    update.adopt(plan)
    for name, member in members.items():
        if member is not None:
            zone, member_incarnation, serving = member
            kind = RollingUpdateKind.REPORT
            update.received(
                START, RollingUpdateMessage(kind, name, plan, member_incarnation, 0, serving, zone)
            )
    return update


def messages(outgoing: list[Outgoing]) -> list[RollingUpdateMessage]:
    """Return the messages without their recipients."""
    sent = [out.message for out in outgoing]
    assert all(isinstance(message, RollingUpdateMessage) for message in sent)
    return cast(list[RollingUpdateMessage], sent)


def asked_to_end(outgoing: list[Outgoing]) -> list[str | Address]:
    """Return the recipients of requests to end."""
    return [out.to for out in outgoing if out.message.kind == RollingUpdateKind.GO]


OLD, NEW, NOT_SERVING = ("here", 500, True), ("here", 2000, True), ("here", 2000, False)
OTHER_ZONE = ("there", 500, True)


@pytest.mark.parametrize(
    ("max_unavailable", "incarnation", "members", "asked"),
    [
        (1, 500, {"a": OLD, "b": OLD}, "a"),
        (1, 500, {"a": NEW, "b": OLD}, "b"),
        (1, 500, {"a": NOT_SERVING, "b": OLD}, None),
        (2, 500, {"a": NOT_SERVING, "b": OLD}, "b"),
        (1, 500, {"a": None, "b": OLD}, None),
        # The last process of a zone waits while another process is unavailable.
        (2, 500, {"a": None, "b": OTHER_ZONE}, None),
        (2, 500, {"b": OTHER_ZONE}, "b"),
        (2, 500, {"a": None, "b": OTHER_ZONE, "c": OTHER_ZONE}, "b"),
        (1, 500, {"a": NEW}, "itself"),
        (1, 500, {"a": NOT_SERVING}, None),
        (1, 2000, {"a": NEW}, "done"),
        (1, 2000, {"a": None}, None),
    ],
)
def test_leader_asks_next_process_to_end_within_limit(
    max_unavailable: int, incarnation: int, members: dict[str, State | None], asked: str | None
) -> None:
    update = leader(incarnation, max_unavailable, **members)
    assert asked_to_end(update.tick(START, 7)) == ([asked] if asked in members else [])
    assert update.leaving is (asked == "itself")
    assert update.plan is not None
    assert (update.plan.state == UpdateState.DONE) is (asked == "done")
    if asked in members:  # It counts as unavailable from now on, even before it has ended.
        update.next_tick_at = START + 1
        asked_later = asked_to_end(update.tick(START + 1, 7))
        assert len(asked_later) <= max_unavailable - 1 and asked not in asked_later


def test_leader_waits_for_reports_of_all_alive_processes() -> None:
    update = leader(a=OLD, b=OLD)
    cast(Members, update.fleet).members["c"] = OLD
    assert not asked_to_end(update.tick(START, 7))
    assert update.tick(START + 1, 7) == []


@pytest.mark.parametrize(
    ("incarnation", "token", "highest_token", "plan", "ends"),
    [
        (500, 7, 7, PLAN, True),
        (500, 6, 7, PLAN, False),  # The sender is a former leader.
        (500, 0, 0, PLAN, False),
        (2000, 7, 0, PLAN, False),  # The process was started after the plan, so it is not replaced again.
        (500, 7, 0, UpdatePlan(1000, 2, 1, UpdateState.PAUSED), False),
        (500, 7, 0, UpdatePlan(900, 9, 1, UpdateState.RUNS), False),  # The request belongs to an older plan.
    ],
)
def test_end_request_needs_current_token_plan_and_older_process(
    incarnation: int, token: int, highest_token: int, plan: UpdatePlan, ends: bool
) -> None:
    """Requests of former leaders, of older plans, or to processes started after the plan have no effect."""
    update = RollingUpdate("a", "here", incarnation, Members(), START)
    update.adopt(PLAN)
    update.highest_token = highest_token
    update.received(START, RollingUpdateMessage(RollingUpdateKind.GO, "z", plan, 1, token))
    assert update.leaving is ends


def state_of(plan: UpdatePlan | None) -> UpdateState:
    assert plan is not None
    return plan.state


def test_lost_command_broadcast_reaches_leader_by_report() -> None:
    """A process that an operator has commanded repeats its plan in its reports to the leader."""
    lead, other = leader(a=OLD), RollingUpdate("a", "here", 500, Members(z=OLD), START)
    for message in messages(lead.tick(START, 7)):
        other.received(START, message)
    plan, paused = lead.plan, other.plan
    assert plan is not None and paused == plan
    paused = other.change_state(UpdateState.PAUSED)
    assert paused is not None and paused.version == 2
    for message in messages(other.tick(START, None)):
        assert message.token == 0  # The message is lost.
    answers = other.received(START, RollingUpdateMessage(RollingUpdateKind.PLAN, "z", plan, 500, 7))
    for message in messages(answers):
        lead.received(START, message)
    assert state_of(lead.plan) == UpdateState.PAUSED and not lead.wants_lease()
    assert state_of(lead.change_state(UpdateState.RUNS)) == UpdateState.RUNS
    assert state_of(lead.change_state(UpdateState.STOPPED)) == UpdateState.STOPPED
    assert state_of(lead.change_state(UpdateState.RUNS)) == UpdateState.STOPPED
    assert lead.begin(5000, 2) == UpdatePlan(5000, 1, 2, UpdateState.RUNS)
    assert lead.begin(6000, 3).number == 5000


def test_rolling_update_messages_round_trip_and_range_checks() -> None:
    codec = Codec([b"k" * 20], [RollingUpdateWire()])
    message = RollingUpdateMessage(RollingUpdateKind.GO, "z", PLAN, 500, 7, True, "here")
    assert codec.decode(codec.encode(message, START), START) == message
    for bad in (
        RollingUpdateMessage(RollingUpdateKind.GO, "z", PLAN, -1),
        RollingUpdateMessage(RollingUpdateKind.GO, "z", PLAN, 1, 1, True, "x" * 65),
    ):
        assert codec.decode(codec.encode(bad, START), START) is None
