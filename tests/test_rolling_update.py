"""Rolling updates: which process is asked to end next, who follows the plan, messages on the wire."""

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

State = tuple[str, int, bool]  # of a member: zone, incarnation, whether it serves
PLAN = UpdatePlan(1000, 1, 1, UpdateState.RUNS)


class Members:
    """What a leader sees: members by name, each with zone, incarnation and whether it serves; None: gone."""

    def __init__(self, **members: State | None) -> None:
        self.members = members

    def serving(self) -> bool:
        return True

    def alive(self) -> list[str]:
        return sorted(n for n, m in self.members.items() if m is not None)

    def gone(self) -> list[str]:
        return sorted(n for n, m in self.members.items() if m is None)


def leader(incarnation: int = 500, max_unavailable: int = 1, **members: State | None) -> RollingUpdate:
    """A lease holder that has a report of all members that are alive."""
    update = RollingUpdate("z", "here", incarnation, Members(**members), START)
    plan = UpdatePlan(1000, 1, max_unavailable, UpdateState.RUNS)
    update.adopt(plan)
    for name, member in members.items():
        if member is not None:
            zone, its_incarnation, serving = member
            kind = RollingUpdateKind.REPORT
            update.received(START, RollingUpdateMessage(kind, name, plan, its_incarnation, 0, serving, zone))
    return update


def messages(outgoing: list[Outgoing]) -> list[RollingUpdateMessage]:
    """What is sent, without the receivers."""
    sent = [out.message for out in outgoing]
    assert all(isinstance(message, RollingUpdateMessage) for message in sent)
    return cast(list[RollingUpdateMessage], sent)


def asked_to_end(outgoing: list[Outgoing]) -> list[str | Address]:
    """The receivers of requests to end."""
    return [out.to for out in outgoing if out.message.kind == RollingUpdateKind.GO]


OLD, NEW, NOT_SERVING = ("here", 500, True), ("here", 2000, True), ("here", 2000, False)
FAR = ("there", 500, True)


@pytest.mark.parametrize(
    ("max_unavailable", "incarnation", "members", "asked"),
    [
        (1, 500, {"a": OLD, "b": OLD}, "a"),
        (1, 500, {"a": NEW, "b": OLD}, "b"),
        (1, 500, {"a": NOT_SERVING, "b": OLD}, None),
        (2, 500, {"a": NOT_SERVING, "b": OLD}, "b"),
        (1, 500, {"a": None, "b": OLD}, None),
        (2, 500, {"a": None, "b": FAR}, None),  # the last of its zone waits while another is unavailable
        (2, 500, {"b": FAR}, "b"),
        (2, 500, {"a": None, "b": FAR, "c": FAR}, "b"),
        (1, 500, {"a": NEW}, "itself"),
        (1, 500, {"a": NOT_SERVING}, None),
        (1, 2000, {"a": NEW}, "done"),
        (1, 2000, {"a": None}, None),
    ],
)
def test_which_process_is_asked_to_end_next(
    max_unavailable: int, incarnation: int, members: dict[str, State | None], asked: str | None
) -> None:
    update = leader(incarnation, max_unavailable, **members)
    assert asked_to_end(update.tick(START, 7)) == ([asked] if asked in members else [])
    assert update.leaving is (asked == "itself")
    assert update.plan is not None
    assert (update.plan.state == UpdateState.DONE) is (asked == "done")
    if asked in members:  # it is unavailable from here on, whether it has ended yet or not
        update.next_tick_at = START + 1
        again = asked_to_end(update.tick(START + 1, 7))
        assert len(again) <= max_unavailable - 1 and asked not in again


def test_a_leader_waits_for_a_report_of_all_that_are_alive() -> None:
    update = leader(a=OLD, b=OLD)
    cast(Members, update.fleet).members["c"] = OLD
    assert not asked_to_end(update.tick(START, 7))
    assert update.tick(START + 1, 7) == []


@pytest.mark.parametrize(
    ("incarnation", "token", "highest_token", "plan", "ends"),
    [
        (500, 7, 7, PLAN, True),
        (500, 6, 7, PLAN, False),  # a former leader
        (500, 0, 0, PLAN, False),
        (2000, 7, 0, PLAN, False),  # started after the plan was begun: not twice
        (500, 7, 0, UpdatePlan(1000, 2, 1, UpdateState.PAUSED), False),
        (500, 7, 0, UpdatePlan(900, 9, 1, UpdateState.RUNS), False),  # an older plan
    ],
)
def test_a_request_to_end_is_checked_by_token_incarnation_and_plan(
    incarnation: int, token: int, highest_token: int, plan: UpdatePlan, ends: bool
) -> None:
    update = RollingUpdate("a", "here", incarnation, Members(), START)
    update.adopt(PLAN)
    update.highest_token = highest_token
    update.received(START, RollingUpdateMessage(RollingUpdateKind.GO, "z", plan, 1, token))
    assert update.leaving is ends


def state_of(plan: UpdatePlan | None) -> UpdateState:
    assert plan is not None
    return plan.state


def test_an_operator_s_command_reaches_the_leader_though_its_broadcast_was_lost() -> None:
    lead, other = leader(a=OLD), RollingUpdate("a", "here", 500, Members(z=OLD), START)
    for message in messages(lead.tick(START, 7)):
        other.received(START, message)
    plan, paused = lead.plan, other.plan
    assert plan is not None and paused == plan
    paused = other.change(UpdateState.PAUSED)
    assert paused is not None and paused.version == 2
    for message in messages(other.tick(START, None)):
        assert message.token == 0  # and is lost
    again = other.received(START, RollingUpdateMessage(RollingUpdateKind.PLAN, "z", plan, 500, 7))
    for message in messages(again):
        lead.received(START, message)
    assert state_of(lead.plan) == UpdateState.PAUSED and not lead.wants_lease()
    assert state_of(lead.change(UpdateState.RUNS)) == UpdateState.RUNS
    assert state_of(lead.change(UpdateState.STOPPED)) == UpdateState.STOPPED
    assert state_of(lead.change(UpdateState.RUNS)) == UpdateState.STOPPED
    assert lead.begin(5000, 2) == UpdatePlan(5000, 1, 2, UpdateState.RUNS)
    assert lead.begin(6000, 3).number == 5000


def test_rolling_update_messages_on_the_wire() -> None:
    codec = Codec([b"k" * 20], [RollingUpdateWire()])
    message = RollingUpdateMessage(RollingUpdateKind.GO, "z", PLAN, 500, 7, True, "here")
    assert codec.decode(codec.encode(message, START), START) == message
    for bad in (
        RollingUpdateMessage(RollingUpdateKind.GO, "z", PLAN, -1),
        RollingUpdateMessage(RollingUpdateKind.GO, "z", PLAN, 1, 1, True, "x" * 65),
    ):
        assert codec.decode(codec.encode(bad, START), START) is None
