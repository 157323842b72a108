"""The policy adapter: who probes an ejected server, when a minRTT pass may begin, shares between zones."""

from dataclasses import replace
from random import Random

import pytest
from support import BASE, Recorder

from balancer.fleet.config import read_fleet
from balancer.fleet.health_checks.decisions import Probe
from balancer.fleet.health_checks.messages import ProbeKind, ProbeMessage, ProbeWire, Trial
from balancer.fleet.health_checks.settings import ProbeSettings
from balancer.fleet.leases.asker import Asker
from balancer.fleet.leases.settings import DutySettings, Electorate
from balancer.fleet.leases.voter import Voter
from balancer.fleet.membership.codec import Codec
from balancer.fleet.min_rtt.decisions import Remeasure, RemeasureSettings
from balancer.fleet.policy_adapter import PolicyAdapter
from balancer.policy import Balancer
from balancer.policy.interface import ListKind, Outcome, ServerEntry, Standalone

SEC = 1_000_000
LIST = Electorate(("v0", "v1", "v2"))
DUTY = DutySettings(lease=3 * SEC, longest=10 * SEC)
PROBE = ProbeSettings(lease=10 * SEC, patience=12 * SEC)


class Table:
    """Askers and their voters at one table: what is said is heard at once, by those not `deaf`."""

    def __init__(self, *names):
        self.now = 100 * SEC
        self.voters = {v: Voter(v, 1, [LIST], DUTY, 0) for v in LIST.voters}
        self.askers = {n: Asker(n, i, [LIST], DUTY, Random(i), lambda: 1000) for i, n in enumerate(names)}
        self.parts = {}
        self.verdicts = []
        self.said = []
        self.deaf = set()

    def carry(self, out, sender):
        for to, m in out:
            if isinstance(m, ProbeMessage):
                self.said.append((sender, to, m))
                if to not in self.deaf:
                    self.carry(self.parts[to].received(self.now, m), to)
            elif to in self.voters and "voters" not in self.deaf:
                for name, answer in self.voters[to].received(self.now, m):
                    self.carry(self.askers[name].received(self.now, answer), name)

    def run(self, seconds):
        """Ticks whatever is due, for so long."""
        end = self.now + int(seconds * SEC)
        for _ in range(100_000):
            dues = [(d, n) for n, a in self.askers.items() if (d := a.deadline()) is not None]
            dues += [(d, n) for n, p in self.parts.items() if (d := p.deadline(self.now)) is not None]
            if not dues or min(dues)[0] > end:
                break
            self.now = max(self.now + 1, min(dues)[0])
            for name in self.askers:
                self.carry(self.askers[name].tick(self.now), name)
                self.carry(self.parts[name].tick(self.now), name)
        else:
            raise AssertionError("something is due without end")
        self.now = max(end, self.now)
        return self


# ---- trials -----------------------------------------------------------------------------------------------


def probing(zones):
    """A process for each name, with its zone."""
    t = Table(*zones)
    for name, zone in zones.items():
        others = [n for n in zones if n != name]

        def tell(server, well, name=name):
            t.verdicts.append((name, server, well))
            if well:  # as the module does
                t.parts[name].back(t.now, server, False)

        t.parts[name] = Probe(name, zone, PROBE, t.askers[name], lambda o=others: o, tell, Random(1))
    return t


def aside(t, names, server=7, wait=2 * SEC):
    for name in names:
        t.parts[name].set_aside(t.now, server, wait)
    return t.run(1)


def tries(t, server=7):
    return [n for n, p in t.parts.items() if p.may_try(t.now, server)]


def test_one_node_a_zone_tries_and_passes_the_verdict_on():
    t = aside(probing({"a": "x", "b": "x", "c": "x", "d": "y"}), "abcd")
    first, other = tries(t)
    assert other == "d" and first in "abc"
    t.parts[first].set_aside(t.now, 7, 4 * SEC)  # in vain
    t.run(0.1)
    assert sorted(t.verdicts) == [(n, 7, False) for n in "abc" if n != first]
    t.verdicts.clear()
    t.parts[first].back(t.now, 7, True)
    t.run(3)
    assert sorted(t.verdicts) == [(n, 7, True) for n in "abc" if n != first]
    assert t.askers[first].wanted == {} and t.parts["a"].counts["old_token"] == 0
    assert set(tries(t)) >= {"d", first}


@pytest.mark.parametrize(
    ("deaf", "seconds", "count"),  # who hears nothing, how long after the holder's last word, how many try
    [
        ((), 5, 1),
        (("a", "b", "c"), 5, 1),  # the voters' denials say as much as the holder
        (("voters",), 5, 0),  # no majority: nobody is the holder
        (("voters",), 13, 3),  # ...and after a patience all do as they would alone
    ],
)
def test_without_a_word_each_node_does_as_alone_after_its_patience(deaf, seconds, count):
    t = probing({"a": "x", "b": "x", "c": "x"})
    t.deaf = set(deaf)
    aside(t, "abc", wait=20 * SEC).run(seconds - 1)
    assert len(tries(t)) == count


def test_who_has_no_calls_to_try_with_gives_the_duty_up():
    t = aside(probing({"a": "x", "b": "x"}), "ab")
    (first,) = tries(t)
    t.run(2 + PROBE.slack / SEC)  # which is longer than it stays idle
    assert first not in tries(t) and len(tries(t)) == 1
    assert t.parts[first].counts["idle"] == 1


def test_an_old_holder_s_word_is_refused_by_its_token():
    t = aside(probing({"a": "x", "b": "x"}), "ab")
    holder, other = sorted("ab", key=lambda n: n not in tries(t))
    token = t.parts[holder].token(t.now, 7)
    late = ProbeMessage(ProbeKind.WELL, "z", "x", (Trial(7, token - 1),))
    t.parts[other].received(t.now, late)
    t.run(2)
    assert t.verdicts == [] and t.parts[other].counts["old_token"] == 1
    t.parts[other].received(t.now, replace(late, zone="y", trials=(Trial(7, token + 1),)))
    assert t.run(2).verdicts == []  # another zone's


def test_a_holder_that_lost_the_duty_says_nothing():
    t = aside(probing({"a": "x", "b": "x"}), "ab")
    (holder,) = tries(t)
    t.deaf = {"voters"}
    t.run(11)
    t.said.clear()
    t.parts[holder].back(t.now, 7, True)
    assert t.run(2).said == []


def test_words_that_are_kept_are_bounded():
    t = probing({"a": "x"})
    for i in range(3 * PROBE.heard_most):
        word = ProbeMessage(ProbeKind.TRYING, "z", "x", (Trial(i, 5, SEC),))
        t.parts["a"].received(t.now, word)
    assert len(t.parts["a"].heard) == len(t.parts["a"].seen) == PROBE.heard_most


def test_trials_on_the_wire():
    codec = Codec([b"k" * 20], [ProbeWire()])
    message = ProbeMessage(ProbeKind.FAILED, "a", "x", (Trial((1 << 64) - 1, 9, 5 * SEC), Trial(0, 1)))
    assert codec.decode(codec.encode(message, SEC), SEC) == message
    for bad in (Trial(1 << 63, 0), Trial(1, 1 << 63)):
        assert codec.decode(codec.encode(replace(message, trials=(bad,)), SEC), SEC) is None
    many = replace(message, zone="z" * 64, trials=(Trial((1 << 64) - 1, 1 << 61, 1 << 61),) * 32)
    assert codec.decode(codec.encode(many, SEC), SEC) is not None  # all that one may hold fits


# ---- passes -----------------------------------------------------------------------------------------------


def passing(count, share):
    t = Table(*(f"n{i}" for i in range(count)))
    settings = RemeasureSettings(share)
    for i, name in enumerate(t.askers):
        t.parts[name] = Remeasure(0, count, settings, t.askers[name], Random(i))
    return t


def passes_of(t, seconds, length=1.0):
    """All nodes are due for a pass; the module asks each 0.1 s. Begins in order, the most at once."""
    begun, on, most = [], {}, 0
    for _ in range(int(seconds * 10)):
        for name, p in t.parts.items():
            if name not in dict(begun) and p.may(t.now):
                begun.append((name, t.now))
                on[name] = t.now + int(length * SEC)
            elif name in on and t.now >= on[name]:
                del on[name]
                p.passed(t.now)
        most = max(most, len(on))
        t.run(0.1)
    return begun, most


@pytest.mark.parametrize(("count", "share", "places"), [(10, 0.2, 2), (10, 0.01, 1), (12, 0.5, 6)])
def test_so_many_at_most_are_in_a_pass_and_all_get_theirs(count, share, places):
    t = passing(count, share)
    assert t.parts["n0"].places == places
    begun, most = passes_of(t, 25)
    assert most == places and len(begun) == count
    assert all(p.counts["without_a_place"] == 0 for p in t.parts.values())
    t.run(5)
    assert all(a.wanted == {} for a in t.askers.values())


def test_who_gets_no_place_passes_anyway_but_not_all_at_once():
    t = passing(6, 0.2)
    t.deaf = {"voters"}
    bound = RemeasureSettings(0.2).bound / SEC
    assert passes_of(t, bound - 0.5) == ([], 0)
    begun, _ = passes_of(t, bound * 0.6)
    times = sorted(at for _, at in begun)
    assert len(times) == 6 and times[-1] - times[0] > 4 * SEC


def test_a_pass_without_end_gives_its_place_back_and_one_not_due_any_more_asks_no_longer():
    t = passing(2, 0.5)
    (one, other) = t.parts.values()
    while not one.may(t.now):
        t.run(0.1)
    assert one.token(t.now) is not None
    t.run(11)
    assert one.token(t.now) is None and one.view(t.now)["stage"] == "passes"
    other.may(t.now)
    t.run(1)
    assert t.askers["n1"].wanted
    t.run(3)
    assert t.askers["n1"].wanted == {}


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
    assert (
        h.may_recalculate_min_rtt()
        and h.may_run_trial(1)
        and h.tick(clock[0]) == []
        and h.deadline(clock[0]) is None
    )
    h.server_ejected(1, SEC)
    h.attempt_ended(1, Outcome.ERROR, 1000, 0.1)
    h.server_readmitted(1, True)
    h.min_rtt_recalculated()
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
        h.server_ejected(server, SEC)
    ((shares, _),) = later()
    assert 0 < shares[1] < 1 and h.may_run_trial(1)
    assert h.zone_traffic.orders.say("y", 60 * SEC)
    ((shares, _),) = [t for t in later(1.1) if isinstance(t, tuple)]
    assert set(shares) == {1} and not h.may_run_trial(2) and h.may_run_trial(1)
    h.close()
    assert h.may_run_trial(2)


# ---- the module's side ------------------------------------------------------------------------------------


class Hook(Standalone):
    """Answers as told, and keeps what it was told."""

    def __init__(self):
        self.yes = True
        self.heard = []

    def may_run_trial(self, server):
        return self.yes

    def may_recalculate_min_rtt(self):
        return self.yes

    def min_rtt_recalculated(self):
        self.heard.append("passed")

    def server_ejected(self, server, wait):
        self.heard.append(("aside", server, wait))

    def server_readmitted(self, server, healthy):
        self.heard.append(("back", server, healthy))


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
    node.trial_result(now, bad, False)
    assert hook.heard[-1][0] == "aside" and node.servers[bad].trial_at > now
    node.trial_result(now, bad, True)
    assert hook.heard[-1] == ("back", bad, False) and not node.servers[bad].ejected
    node.trial_result(now, bad, True)  # not set aside any more: nothing
    node.trial_result(now, 99, True)
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
