"""The policy adapter, and the policy's side of it."""

from dataclasses import replace
from random import Random

from support import BASE, Recorder

from balancer.fleet.config import read_fleet
from balancer.fleet.policy_adapter import PolicyAdapter
from balancer.policy import Balancer
from balancer.policy.interface import Alone, ListKind, Outcome, ServerEntry

SEC = 1_000_000

# ---- the adapter itself -----------------------------------------------------------------------------------


def adapter(tmp_path, **changes):
    """An adapter on a clock that the test sets, servers 1 to 6 in zones 0 and 1, and what it told."""
    key = tmp_path / "key"
    key.write_text("k" * 20)
    key.chmod(0o600)
    table = {"zone": "x", "listen": "127.0.0.1:1", "key": str(key)} | changes
    clock, told = [100 * SEC], []
    h = PolicyAdapter(
        read_fleet(table, "a"), BASE, lambda: clock[0], lambda: 10**15 + clock[0], lambda: None, told.append
    )
    h.on_probe_result = lambda server, well: told.append((server, well))
    h.on_shares = lambda shares, trips: told.append((shares, trips))
    h.open(lambda: ["b"], Random(1))
    entries = [ServerEntry(i, zone=i % 2) for i in range(1, 7)]
    h.server_list(0, ListKind.FULL, entries, {"y": 0, "x": 1})
    return h, clock, told


def test_without_its_keys_an_adapter_holds_nothing_back(tmp_path):
    h, clock, told = adapter(tmp_path)
    assert h.may_pass() and h.may_try(1) and h.tick(clock[0]) == [] and h.deadline(clock[0]) is None
    h.set_aside(1, SEC)
    h.attempt_ended(1, Outcome.ERROR, 1000, 0.1)
    h.back(1, True)
    h.passed()
    assert told == [] and h.status(clock[0]) == {}


def test_the_module_hears_of_shares_and_ways_that_have_moved(tmp_path):
    h, clock, told = adapter(tmp_path, zones={})
    h.tick(clock[0])
    assert told == [({1: 1.0, 0: 0.0}, {0: 0})]

    def later(seconds=0.6):
        clock[0] += int(seconds * SEC)
        before = len(told)
        h.tick(clock[0])
        return told[before:]

    assert later() == []
    h.attempt_ended(1, Outcome.OK, 9000, 0.001)
    h.attempt_ended(2, Outcome.OK, 9000, 0.021)
    assert later() == [({1: 1.0, 0: 0.0}, {0: 20_000})]
    for server in (1, 3):  # two of the own zone's three
        h.set_aside(server, SEC)
    ((shares, _),) = later()
    assert 0 < shares[1] < 1 and h.may_try(1)
    assert h.zone_traffic.orders.say("y", 60 * SEC)
    ((shares, _),) = [t for t in later(1.1) if isinstance(t, tuple)]
    assert set(shares) == {1} and not h.may_try(2) and h.may_try(1)
    h.close()
    assert h.may_try(2)


# ---- the module's side ------------------------------------------------------------------------------------


class Hook(Alone):
    """Answers as told, and keeps what it was told."""

    def __init__(self):
        self.yes = True
        self.heard = []

    def may_try(self, server):
        return self.yes

    def may_pass(self):
        return self.yes

    def passed(self):
        self.heard.append("passed")

    def set_aside(self, server, wait):
        self.heard.append(("aside", server, wait))

    def back(self, server, well):
        self.heard.append(("back", server, well))


def module(hook):
    node = Balancer(replace(BASE, max_attempts=1), 1, Recorder(), hook)
    node.start(0)
    node.server_list(0, ListKind.FULL, [ServerEntry(i) for i in range(1, 7)])
    return node


def call(node, now, number, outcome):
    """One request; the outcome of its attempt by the server it went to, which is given."""
    node.request(now, number, 0, 0, 2 * SEC, False)
    sent = [action for action in node.actions.take("send") if action[1] == number]
    if not sent:
        return None
    server = sent[0][2]
    node.outcome(now + 10_000, number, 0, server, outcome(server), 10_000, False, ())
    return server


def test_the_module_asks_before_a_trial_and_takes_another_s_verdict():
    hook = Hook()
    node = module(hook)
    bad = next(iter(node.subset.members)).id
    outcome = lambda server: Outcome.RESET if server == bad else Outcome.OK  # noqa: E731
    now, number = 100_000, 0
    while ("aside", bad) not in [h[:2] for h in hook.heard]:
        number, now = number + 1, now + 20_000
        call(node, now, number, outcome)
        assert number < 500
    hook.yes = False
    for _ in range(300):  # six seconds: its trial is due after two
        number, now = number + 1, now + 20_000
        assert call(node, now, number, outcome) != bad
    node.tried(now, bad, False)
    assert hook.heard[-1][0] == "aside" and node.servers[bad].trial_at > now
    node.tried(now, bad, True)
    assert hook.heard[-1] == ("back", bad, False) and not node.servers[bad].ejected
    node.tried(now, bad, True)  # not set aside any more: nothing
    node.tried(now, 99, True)
    assert hook.heard[-1] == ("back", bad, False)


def test_the_module_waits_with_its_pass_until_it_may():
    hook = Hook()
    node = module(hook)
    ctl = node.controller
    now, number = 0, 0

    def go(seconds):
        nonlocal now, number
        for _ in range(int(seconds * 50)):
            number, now = number + 1, now + 20_000
            call(node, now, number, lambda server: Outcome.OK)

    go(5)
    assert ctl.recalculations == 1 and hook.heard == ["passed"]
    hook.yes = False
    go(70)
    assert ctl.recalculations == 1 and not ctl.recalculating
    hook.yes = True
    go(5)
    assert ctl.recalculations == 2
