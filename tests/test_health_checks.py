"""Health checks: which node of a zone probes an ejected server, and how the others use its results."""

from dataclasses import replace
from functools import partial
from random import Random

import pytest
from virtual_leases import SEC, LeaseTestbed

from balancer.fleet.component import Outgoing
from balancer.fleet.health_checks.decisions import HealthChecks
from balancer.fleet.health_checks.messages import (
    HealthCheckKind,
    HealthCheckMessage,
    HealthCheckWire,
    ProbeAnnouncement,
)
from balancer.fleet.health_checks.settings import HealthCheckSettings
from balancer.fleet.membership.codec import Codec

SETTINGS = HealthCheckSettings(lease=10 * SEC, holder_timeout=12 * SEC)


class Zones(LeaseTestbed[HealthChecks]):
    """Processes by name, each with its zone; `unreachable` processes receive no announcements."""

    def __init__(self, zones: dict[str, str]) -> None:
        super().__init__(*zones)
        self.probe_results: list[tuple[str, int, bool]] = []
        self.announced: list[Outgoing] = []
        for name, zone in zones.items():
            others = [other for other in zones if other != name]
            self.lease_users[name] = HealthChecks(
                name,
                zone,
                SETTINGS,
                self.lease_clients[name],
                partial(list, others),
                partial(self.on_probe_result, name),
                Random(1),
            )

    def on_probe_result(self, name: str, server: int, recovered: bool) -> None:
        self.probe_results.append((name, server, recovered))
        if recovered:  # The policy reports the readmission.
            self.lease_users[name].server_readmitted(self.now, server, False)

    def deliver_to_user(self, sent: Outgoing, sender: str) -> None:
        assert isinstance(sent.message, HealthCheckMessage)
        self.announced.append(sent)
        name = str(sent.to)
        if name not in self.unreachable:
            self.deliver(self.lease_users[name].received(self.now, sent.message), name)

    def eject(self, names: str, server: int = 7, wait: int = 2 * SEC) -> None:
        for name in names:
            self.lease_users[name].server_ejected(self.now, server, wait)
        self.run(1)

    def probers(self, server: int = 7) -> list[str]:
        return [name for name, part in self.lease_users.items() if part.may_probe(self.now, server)]


@pytest.fixture
def pair() -> Zones:
    """Two processes of a zone that have ejected a server."""
    zones = Zones({"a": "x", "b": "x"})
    zones.eject("ab")
    return zones


def test_one_node_per_zone_probes_and_announces_result() -> None:
    t = Zones({"a": "x", "b": "x", "c": "x", "d": "y"})
    t.eject("abcd")
    first, other = t.probers()
    assert other == "d" and first in "abc"
    t.lease_users[first].server_ejected(t.now, 7, 4 * SEC)  # The probe has failed.
    t.run(0.1)
    assert sorted(t.probe_results) == [(n, 7, False) for n in "abc" if n != first]
    t.probe_results.clear()
    t.lease_users[first].server_readmitted(t.now, 7, True)
    t.run(3)
    assert sorted(t.probe_results) == [(n, 7, True) for n in "abc" if n != first]
    assert t.lease_clients[first].requests == {} and t.lease_users["a"].counts["old_token"] == 0
    assert set(t.probers()) >= {"d", first}


@pytest.mark.parametrize(
    # The processes without messages, the time after the ejection, and the expected number of probing nodes.
    ("unreachable", "seconds", "prober_count"),
    [
        ((), 5, 1),
        (("a", "b", "c"), 5, 1),  # Without announcements, the voters' denials show that there is a holder.
        (("voters",), 5, 0),  # Without a majority there is no holder.
        (("voters",), 13, 3),  # After the holder timeout, all nodes probe independently.
    ],
)
def test_nodes_without_holder_probe_after_holder_timeout(
    unreachable: tuple[str, ...], seconds: int, prober_count: int
) -> None:
    t = Zones({"a": "x", "b": "x", "c": "x"})
    t.unreachable = set(unreachable)
    t.eject("abc", wait=20 * SEC)
    t.run(seconds - 1)
    assert len(t.probers()) == prober_count


def test_idle_lease_holder_releases_lease(pair: Zones) -> None:
    """A holder without requests to probe with lets another node probe the server."""
    (first,) = pair.probers()
    pair.run(2 + SETTINGS.announcement_slack / SEC)  # This exceeds the holder's idle timeout.
    assert first not in pair.probers() and len(pair.probers()) == 1
    assert pair.lease_users[first].counts["idle"] == 1


def test_announcement_with_old_token_is_ignored(pair: Zones) -> None:
    holder, other = sorted("ab", key=lambda n: n not in pair.probers())
    token = pair.lease_users[holder].token(pair.now, 7)
    assert token is not None
    old_announcement = HealthCheckMessage(HealthCheckKind.WELL, "z", "x", (ProbeAnnouncement(7, token - 1),))
    pair.lease_users[other].received(pair.now, old_announcement)
    pair.run(2)
    assert pair.probe_results == [] and pair.lease_users[other].counts["old_token"] == 1
    pair.lease_users[other].received(
        pair.now, replace(old_announcement, zone="y", probes=(ProbeAnnouncement(7, token + 1),))
    )
    pair.run(2)
    assert pair.probe_results == []  # The announcement was made in another zone.


def test_node_that_lost_lease_announces_nothing(pair: Zones) -> None:
    (holder,) = pair.probers()
    pair.unreachable = {"voters"}
    pair.run(11)
    pair.announced.clear()
    pair.lease_users[holder].server_readmitted(pair.now, 7, True)
    pair.run(2)
    assert pair.announced == []


def test_remembered_announcements_are_bounded() -> None:
    t = Zones({"a": "x"})
    for i in range(3 * SETTINGS.max_remembered_servers):
        announcement = HealthCheckMessage(HealthCheckKind.TRYING, "z", "x", (ProbeAnnouncement(i, 5, SEC),))
        t.lease_users["a"].received(t.now, announcement)
    history, newest = t.lease_users["a"].history, 3 * SETTINGS.max_remembered_servers - 1
    assert len(history) == SETTINGS.max_remembered_servers
    assert history.highest_token(newest) == 5 and history.highest_token(0) == 0


def test_health_check_messages_round_trip_and_range_checks() -> None:
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
    full_message = replace(
        message, zone="z" * 64, probes=(ProbeAnnouncement((1 << 64) - 1, 1 << 61, 1 << 61),) * 32
    )
    # A message of the maximum size fits into a datagram.
    assert codec.decode(codec.encode(full_message, SEC), SEC) is not None
