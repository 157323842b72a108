"""Health checks: which node of a zone probes an ejected server, and what the others make of its results."""

from dataclasses import replace
from random import Random

import pytest
from virtual_leases import SEC, Table

from balancer.fleet.health_checks.decisions import HealthChecks
from balancer.fleet.health_checks.messages import (
    HealthCheckKind,
    HealthCheckMessage,
    HealthCheckWire,
    ProbeAnnouncement,
)
from balancer.fleet.health_checks.settings import HealthCheckSettings
from balancer.fleet.membership.codec import Codec

SETTINGS = HealthCheckSettings(lease=10 * SEC, patience=12 * SEC)


def processes(zones):
    """A process for each name, with its zone."""
    t = Table(*zones)
    for name, zone in zones.items():
        others = [n for n in zones if n != name]

        def on_probe_result(server, recovered, name=name):
            t.probe_results.append((name, server, recovered))
            if recovered:  # as the policy does
                t.parts[name].server_readmitted(t.now, server, False)

        t.parts[name] = HealthChecks(
            name, zone, SETTINGS, t.askers[name], lambda o=others: o, on_probe_result, Random(1)
        )
    return t


def ejected(t, names, server=7, wait=2 * SEC):
    for name in names:
        t.parts[name].server_ejected(t.now, server, wait)
    return t.run(1)


def probers(t, server=7):
    return [n for n, p in t.parts.items() if p.may_probe(t.now, server)]


def test_one_node_a_zone_probes_and_announces_the_result():
    t = ejected(processes({"a": "x", "b": "x", "c": "x", "d": "y"}), "abcd")
    first, other = probers(t)
    assert other == "d" and first in "abc"
    t.parts[first].server_ejected(t.now, 7, 4 * SEC)  # in vain
    t.run(0.1)
    assert sorted(t.probe_results) == [(n, 7, False) for n in "abc" if n != first]
    t.probe_results.clear()
    t.parts[first].server_readmitted(t.now, 7, True)
    t.run(3)
    assert sorted(t.probe_results) == [(n, 7, True) for n in "abc" if n != first]
    assert t.askers[first].wanted == {} and t.parts["a"].counts["old_token"] == 0
    assert set(probers(t)) >= {"d", first}


@pytest.mark.parametrize(
    ("unreachable", "seconds", "count"),  # who, how long after the last announcement, how many probe
    [
        ((), 5, 1),
        (("a", "b", "c"), 5, 1),  # the voters' denials say as much as the holder
        (("voters",), 5, 0),  # no majority: nobody is the holder
        (("voters",), 13, 3),  # ...and after a patience all do as they would alone
    ],
)
def test_without_announcements_each_node_probes_alone_after_its_patience(unreachable, seconds, count):
    t = processes({"a": "x", "b": "x", "c": "x"})
    t.unreachable = set(unreachable)
    ejected(t, "abc", wait=20 * SEC).run(seconds - 1)
    assert len(probers(t)) == count


def test_a_node_with_no_requests_to_probe_with_releases_the_lease():
    t = ejected(processes({"a": "x", "b": "x"}), "ab")
    (first,) = probers(t)
    t.run(2 + SETTINGS.announcement_slack / SEC)  # which is longer than it stays idle
    assert first not in probers(t) and len(probers(t)) == 1
    assert t.parts[first].counts["idle"] == 1


def test_an_announcement_of_a_former_lease_holder_is_refused_by_its_token():
    t = ejected(processes({"a": "x", "b": "x"}), "ab")
    holder, other = sorted("ab", key=lambda n: n not in probers(t))
    token = t.parts[holder].token(t.now, 7)
    late = HealthCheckMessage(HealthCheckKind.WELL, "z", "x", (ProbeAnnouncement(7, token - 1),))
    t.parts[other].received(t.now, late)
    t.run(2)
    assert t.probe_results == [] and t.parts[other].counts["old_token"] == 1
    t.parts[other].received(t.now, replace(late, zone="y", probes=(ProbeAnnouncement(7, token + 1),)))
    assert t.run(2).probe_results == []  # another zone's


def test_a_node_that_lost_the_lease_announces_nothing():
    t = ejected(processes({"a": "x", "b": "x"}), "ab")
    (holder,) = probers(t)
    t.unreachable = {"voters"}
    t.run(11)
    t.announced.clear()
    t.parts[holder].server_readmitted(t.now, 7, True)
    assert t.run(2).announced == []


def test_the_announcements_that_are_remembered_are_bounded():
    t = processes({"a": "x"})
    for i in range(3 * SETTINGS.max_remembered_servers):
        announcement = HealthCheckMessage(HealthCheckKind.TRYING, "z", "x", (ProbeAnnouncement(i, 5, SEC),))
        t.parts["a"].received(t.now, announcement)
    history, newest = t.parts["a"].history, 3 * SETTINGS.max_remembered_servers - 1
    assert len(history) == SETTINGS.max_remembered_servers
    assert history.highest_token(newest) == 5 and history.highest_token(0) == 0


def test_health_check_messages_on_the_wire():
    codec = Codec([b"k" * 20], [HealthCheckWire()])
    message = HealthCheckMessage(
        HealthCheckKind.FAILED,
        "a",
        "x",
        (ProbeAnnouncement((1 << 64) - 1, 9, 5 * SEC), ProbeAnnouncement(0, 1)),
    )
    assert codec.decode(codec.encode(message, SEC), SEC) == message
    for bad in (ProbeAnnouncement(1 << 63, 0), ProbeAnnouncement(1, 1 << 63)):
        assert codec.decode(codec.encode(replace(message, probes=(bad,)), SEC), SEC) is None
    many = replace(message, zone="z" * 64, probes=(ProbeAnnouncement((1 << 64) - 1, 1 << 61, 1 << 61),) * 32)
    assert codec.decode(codec.encode(many, SEC), SEC) is not None  # all that one may hold fits
