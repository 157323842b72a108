"""Rolling updates: which process is asked to end next, who follows the plan, messages on the wire."""

import pytest

from balancer.fleet.membership.codec import Codec
from balancer.fleet.rolling_update.decisions import Replacement
from balancer.fleet.rolling_update.messages import Plan, ReplaceKind, ReplaceMessage, ReplaceWire, State

START = 100 * 1_000_000

PLAN = Plan(1000, 1, 1, State.RUNS)


class Members:
    """What a leader sees: members by name, each with zone, life and whether it serves; None: gone."""

    def __init__(self, **members):
        self.members = members

    def serving(self):
        return True

    def alive(self):
        return sorted(n for n, m in self.members.items() if m is not None)

    def gone(self):
        return sorted(n for n, m in self.members.items() if m is None)


def leader(life=500, most=1, **members):
    """A holder that has heard from all that are alive."""
    r = Replacement("z", "here", life, Members(**members), START)
    r.adopt(Plan(1000, 1, most, State.RUNS))
    for name, m in members.items():
        if m is not None:
            zone, its_life, serving = m
            r.received(START, ReplaceMessage(ReplaceKind.REPORT, name, r.plan, its_life, 0, serving, zone))
    return r


OLD, NEW, AWAY = ("here", 500, True), ("here", 2000, True), ("here", 2000, False)
FAR = ("there", 500, True)


@pytest.mark.parametrize(
    ("most", "life", "members", "told"),
    [
        (1, 500, {"a": OLD, "b": OLD}, "a"),
        (1, 500, {"a": NEW, "b": OLD}, "b"),
        (1, 500, {"a": AWAY, "b": OLD}, None),
        (2, 500, {"a": AWAY, "b": OLD}, "b"),
        (1, 500, {"a": None, "b": OLD}, None),
        (2, 500, {"a": None, "b": FAR}, None),  # the last of its zone waits while another is out
        (2, 500, {"b": FAR}, "b"),
        (2, 500, {"a": None, "b": FAR, "c": FAR}, "b"),
        (1, 500, {"a": NEW}, "itself"),
        (1, 500, {"a": AWAY}, None),
        (1, 2000, {"a": NEW}, "done"),
        (1, 2000, {"a": None}, None),
    ],
)
def test_who_is_told_to_end_next(most, life, members, told):
    r = leader(life, most, **members)
    out = [to for to, m in r.tick(START, 7) if m.kind == ReplaceKind.GO]
    assert out == ([told] if told in members else [])
    assert r.leaving is (told == "itself") and (r.plan.state == State.DONE) is (told == "done")
    if told in members:  # it is out from here on, whether it has gone yet or not
        r.next = START + 1
        again = [to for to, m in r.tick(START + 1, 7) if m.kind == ReplaceKind.GO]
        assert len(again) <= most - 1 and told not in again


def test_a_leader_waits_for_a_word_from_all_that_are_alive():
    r = leader(a=OLD, b=OLD)
    r.fleet.members["c"] = OLD
    assert not [m for _, m in r.tick(START, 7) if m.kind == ReplaceKind.GO]
    assert r.tick(START + 1, 7) == []


@pytest.mark.parametrize(
    ("life", "token", "seen", "plan", "goes"),
    [
        (500, 7, 7, PLAN, True),
        (500, 6, 7, PLAN, False),  # an old holder
        (500, 0, 0, PLAN, False),
        (2000, 7, 0, PLAN, False),  # started after the plan was begun: not twice
        (500, 7, 0, Plan(1000, 2, 1, State.PAUSED), False),
        (500, 7, 0, Plan(900, 9, 1, State.RUNS), False),  # an older plan
    ],
)
def test_whoever_is_told_to_end_looks_at_token_life_and_plan(life, token, seen, plan, goes):
    r = Replacement("a", "here", life, Members(), START)
    r.adopt(PLAN)
    r.token = seen
    r.received(START, ReplaceMessage(ReplaceKind.GO, "z", plan, 1, token))
    assert r.leaving is goes


def test_an_operator_s_word_reaches_the_leader_though_it_was_lost_on_the_way():
    lead, other = leader(a=OLD), Replacement("a", "here", 500, Members(z=OLD), START)
    for _, m in lead.tick(START, 7):
        other.received(START, m)
    assert other.plan == lead.plan and other.change(State.PAUSED).version == 2
    for _, m in other.tick(START, None):
        assert m.token == 0  # and is lost
    for _, m in other.received(START, ReplaceMessage(ReplaceKind.PLAN, "z", lead.plan, 500, 7)):
        lead.received(START, m)
    assert lead.plan.state == State.PAUSED and not lead.wants()
    assert lead.change(State.RUNS).state == State.RUNS and lead.change(State.STOPPED).state == State.STOPPED
    assert lead.change(State.RUNS).state == State.STOPPED
    assert lead.begin(5000, 2) == Plan(5000, 1, 2, State.RUNS) and lead.begin(6000, 3).number == 5000


def test_the_replacement_on_the_wire():
    codec = Codec([b"k" * 20], [ReplaceWire()])
    message = ReplaceMessage(ReplaceKind.GO, "z", PLAN, 500, 7, True, "here")
    assert codec.decode(codec.encode(message, START), START) == message
    for bad in (
        ReplaceMessage(ReplaceKind.GO, "z", PLAN, -1),
        ReplaceMessage(ReplaceKind.GO, "z", PLAN, 1, 1, True, "x" * 65),
    ):
        assert codec.decode(codec.encode(bad, START), START) is None
