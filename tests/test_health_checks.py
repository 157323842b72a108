"""Health checks: which node of a zone probes an ejected server, and what the others make of its results."""

from dataclasses import replace
from random import Random

import pytest
from virtual_leases import SEC, Table

from balancer.fleet.health_checks.decisions import Probe
from balancer.fleet.health_checks.messages import ProbeKind, ProbeMessage, ProbeWire, Trial
from balancer.fleet.health_checks.settings import ProbeSettings
from balancer.fleet.membership.codec import Codec

PROBE = ProbeSettings(lease=10 * SEC, patience=12 * SEC)


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
