"""The policy adapter: who checks an ejected server, when minRTT recalculation may begin, zones' shares."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

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
from balancer.policy.interface import Alone, ListKind, Outcome, ServerEntry

SEC = 1_000_000
LIST = Electorate(("v0", "v1", "v2"))
DUTY = DutySettings(lease=3 * SEC, longest=10 * SEC)
PROBE = ProbeSettings(lease=10 * SEC, patience=12 * SEC)


class VirtualGroup:
    """Members with their lease clients, and voters; messages arrive at once, but for those `unreachable`."""

    def __init__(self, *names: str) -> None:
        self.now = 100 * SEC
        self.voters = {v: Voter(v, 1, [LIST], DUTY, 0) for v in LIST.voters}
        self.lease_clients = {
            n: Asker(n, i, [LIST], DUTY, Random(i), lambda: 1000) for i, n in enumerate(names)
        }
        self.components: dict[str, Any] = {}  # of each member: health checks or minRTT recalculation
        self.results: list[tuple[str, int, bool]] = []
        self.sent: list[tuple[str, str, ProbeMessage]] = []
        self.unreachable: set[str] = set()

    def deliver(self, messages: Iterable[tuple[str, Any]], sender: str) -> None:
        for to, message in messages:
            if isinstance(message, ProbeMessage):
                self.sent.append((sender, to, message))
                if to not in self.unreachable:
                    self.deliver(self.components[to].received(self.now, message), to)
            elif to in self.voters and "voters" not in self.unreachable:
                for name, response in self.voters[to].received(self.now, message):
                    self.deliver(self.lease_clients[name].received(self.now, response), name)

    def run(self, seconds: float) -> VirtualGroup:
        """Ticks whatever is due, for so many seconds."""
        end = self.now + int(seconds * SEC)
        for _ in range(100_000):
            deadlines = [(d, n) for n, a in self.lease_clients.items() if (d := a.deadline()) is not None]
            deadlines += [
                (d, n) for n, p in self.components.items() if (d := p.deadline(self.now)) is not None
            ]
            if not deadlines or min(deadlines)[0] > end:
                break
            self.now = max(self.now + 1, min(deadlines)[0])
            for name in self.lease_clients:
                self.deliver(self.lease_clients[name].tick(self.now), name)
                self.deliver(self.components[name].tick(self.now), name)
        else:
            raise AssertionError("something is due without end")
        self.now = max(end, self.now)
        return self


# ---- health checks ---------------------------------------------------------------------------------------


def health_checking_group(zones: dict[str, str]) -> VirtualGroup:
    """A member for each name, with its zone."""
    group = VirtualGroup(*zones)
    for name, zone in zones.items():
        others = [n for n in zones if n != name]

        def on_result(server: int, well: bool, name: str = name) -> None:
            group.results.append((name, server, well))
            if well:  # as the policy does
                group.components[name].back(group.now, server, False)

        group.components[name] = Probe(
            name, zone, PROBE, group.lease_clients[name], partial(list, others), on_result, Random(1)
        )
    return group


def eject(group: VirtualGroup, names: str, server: int = 7, wait: int = 2 * SEC) -> VirtualGroup:
    for name in names:
        group.components[name].set_aside(group.now, server, wait)
    return group.run(1)


def checkers(group: VirtualGroup, server: int = 7) -> list[str]:
    return [n for n, p in group.components.items() if p.may_try(group.now, server)]


def test_one_node_a_zone_checks_and_publishes_the_result() -> None:
    group = eject(health_checking_group({"a": "x", "b": "x", "c": "x", "d": "y"}), "abcd")
    first, other = checkers(group)
    assert other == "d" and first in "abc"
    group.components[first].set_aside(group.now, 7, 4 * SEC)  # in vain
    group.run(0.1)
    assert sorted(group.results) == [(n, 7, False) for n in "abc" if n != first]
    group.results.clear()
    group.components[first].back(group.now, 7, True)
    group.run(3)
    assert sorted(group.results) == [(n, 7, True) for n in "abc" if n != first]
    assert group.lease_clients[first].wanted == {} and group.components["a"].counts["old_token"] == 0
    assert set(checkers(group)) >= {"d", first}


@pytest.mark.parametrize(
    # Who gets nothing, how long after the holder's last message, and how many check then.
    ("unreachable", "seconds", "count"),
    [
        ((), 5, 1),
        (("a", "b", "c"), 5, 1),  # the voters' denials show as much as the holder
        (("voters",), 5, 0),  # no majority: nobody is the holder
        (("voters",), 13, 3),  # ...and after a timeout all decide as on a node alone
    ],
)
def test_without_messages_each_node_decides_alone_after_its_timeout(
    unreachable: tuple[str, ...], seconds: float, count: int
) -> None:
    group = health_checking_group({"a": "x", "b": "x", "c": "x"})
    group.unreachable = set(unreachable)
    eject(group, "abc", wait=20 * SEC).run(seconds - 1)
    assert len(checkers(group)) == count


def test_a_holder_without_calls_to_check_with_releases_the_lease() -> None:
    group = eject(health_checking_group({"a": "x", "b": "x"}), "ab")
    (first,) = checkers(group)
    group.run(2 + PROBE.slack / SEC)  # which is longer than it stays idle
    assert first not in checkers(group) and len(checkers(group)) == 1
    assert group.components[first].counts["idle"] == 1


def test_a_former_holder_s_result_is_refused_by_its_token() -> None:
    group = eject(health_checking_group({"a": "x", "b": "x"}), "ab")
    holder, other = sorted("ab", key=lambda n: n not in checkers(group))
    token = group.components[holder].token(group.now, 7)
    late = ProbeMessage(ProbeKind.WELL, "z", "x", (Trial(7, token - 1),))
    group.components[other].received(group.now, late)
    group.run(2)
    assert group.results == [] and group.components[other].counts["old_token"] == 1
    group.components[other].received(group.now, replace(late, zone="y", trials=(Trial(7, token + 1),)))
    assert group.run(2).results == []  # another zone's


def test_a_holder_that_lost_its_lease_publishes_nothing() -> None:
    group = eject(health_checking_group({"a": "x", "b": "x"}), "ab")
    (holder,) = checkers(group)
    group.unreachable = {"voters"}
    group.run(11)
    group.sent.clear()
    group.components[holder].back(group.now, 7, True)
    assert group.run(2).sent == []


def test_results_that_are_kept_are_bounded() -> None:
    group = health_checking_group({"a": "x"})
    for i in range(3 * PROBE.heard_most):
        message = ProbeMessage(ProbeKind.TRYING, "z", "x", (Trial(i, 5, SEC),))
        group.components["a"].received(group.now, message)
    assert len(group.components["a"].heard) == len(group.components["a"].seen) == PROBE.heard_most


def test_health_checks_on_the_wire() -> None:
    codec = Codec([b"k" * 20], [ProbeWire()])
    message = ProbeMessage(ProbeKind.FAILED, "a", "x", (Trial((1 << 64) - 1, 9, 5 * SEC), Trial(0, 1)))
    assert codec.decode(codec.encode(message, SEC), SEC) == message
    for bad in (Trial(1 << 63, 0), Trial(1, 1 << 63)):
        assert codec.decode(codec.encode(replace(message, trials=(bad,)), SEC), SEC) is None
    many = replace(message, zone="z" * 64, trials=(Trial((1 << 64) - 1, 1 << 61, 1 << 61),) * 32)
    assert codec.decode(codec.encode(many, SEC), SEC) is not None  # all that one may hold fits


# ---- minRTT recalculation --------------------------------------------------------------------------------


def recalculating_group(count: int, share: float) -> VirtualGroup:
    group = VirtualGroup(*(f"n{i}" for i in range(count)))
    settings = RemeasureSettings(share)
    for i, name in enumerate(group.lease_clients):
        group.components[name] = Remeasure(0, count, settings, group.lease_clients[name], Random(i))
    return group


def recalculations_of(
    group: VirtualGroup, seconds: float, length: float = 1.0
) -> tuple[list[tuple[str, int]], int]:
    """All nodes are due; each policy asks every 0.1 s. Begins in order, and the largest number at once."""
    begun: list[tuple[str, int]] = []
    running: dict[str, int] = {}  # until when
    max_running = 0
    for _ in range(int(seconds * 10)):
        for name, p in group.components.items():
            if name not in dict(begun) and p.may(group.now):
                begun.append((name, group.now))
                running[name] = group.now + int(length * SEC)
            elif name in running and group.now >= running[name]:
                del running[name]
                p.passed(group.now)
        max_running = max(max_running, len(running))
        group.run(0.1)
    return begun, max_running


@pytest.mark.parametrize(("count", "share", "places"), [(10, 0.2, 2), (10, 0.01, 1), (12, 0.5, 6)])
def test_recalculations_at_once_are_bounded_and_all_get_theirs(count: int, share: float, places: int) -> None:
    group = recalculating_group(count, share)
    assert group.components["n0"].places == places
    begun, max_running = recalculations_of(group, 25)
    assert max_running == places and len(begun) == count
    assert all(p.counts["without_a_place"] == 0 for p in group.components.values())
    group.run(5)
    assert all(a.wanted == {} for a in group.lease_clients.values())


def test_nodes_without_a_place_recalculate_anyway_but_not_all_at_once() -> None:
    group = recalculating_group(6, 0.2)
    group.unreachable = {"voters"}
    bound = RemeasureSettings(0.2).bound / SEC
    assert recalculations_of(group, bound - 0.5) == ([], 0)
    begun, _ = recalculations_of(group, bound * 0.6)
    times = sorted(at for _, at in begun)
    assert len(times) == 6 and times[-1] - times[0] > 4 * SEC


def test_a_recalculation_without_end_releases_its_place_and_one_not_due_requests_none() -> None:
    group = recalculating_group(2, 0.5)
    (one, other) = group.components.values()
    while not one.may(group.now):
        group.run(0.1)
    assert one.token(group.now) is not None
    group.run(11)
    assert one.token(group.now) is None and one.view(group.now)["stage"] == "passes"
    other.may(group.now)
    group.run(1)
    assert group.lease_clients["n1"].wanted
    group.run(3)
    assert group.lease_clients["n1"].wanted == {}


# ---- the adapter itself ----------------------------------------------------------------------------------


def make_adapter(tmp_path: Path, **changes: Any) -> tuple[PolicyAdapter, list[int], list[Any]]:
    """An adapter on a clock that the test sets, servers 1 to 6 in zones 0 and 1, and what it published."""
    key = tmp_path / "key"
    key.write_text("k" * 20)
    key.chmod(0o600)
    table = {"zone": "x", "listen": "127.0.0.1:1", "key": str(key)} | changes
    clock = [100 * SEC]
    published: list[Any] = []
    adapter = PolicyAdapter(
        read_fleet(table, "a"),
        BASE,
        lambda: clock[0],
        lambda: 10**15 + clock[0],
        lambda: None,
        published.append,
    )
    adapter.on_health_check_result = lambda server, well: published.append((server, well))
    adapter.on_shares = lambda shares, trips: published.append((shares, trips))
    adapter.open(lambda: ["b"], Random(1))
    entries = [ServerEntry(i, zone=i % 2) for i in range(1, 7)]
    adapter.server_list(0, ListKind.FULL, entries, {"y": 0, "x": 1})
    return adapter, clock, published


def test_an_adapter_without_configuration_restrains_nothing(tmp_path: Path) -> None:
    adapter, clock, published = make_adapter(tmp_path)
    assert adapter.may_pass() and adapter.may_try(1)
    assert adapter.tick(clock[0]) == [] and adapter.deadline(clock[0]) is None
    adapter.set_aside(1, SEC)
    adapter.attempt_ended(1, Outcome.ERROR, 1000, 0.1)
    adapter.back(1, True)
    adapter.passed()
    assert published == [] and adapter.status(clock[0]) == {}


def test_the_policy_gets_shares_and_round_trips_that_have_changed(tmp_path: Path) -> None:
    adapter, clock, published = make_adapter(tmp_path, zones={})
    adapter.tick(clock[0])
    assert published == [({1: 1.0, 0: 0.0}, {0: 0})]

    def later(seconds: float = 0.6) -> list[Any]:
        clock[0] += int(seconds * SEC)
        before = len(published)
        adapter.tick(clock[0])
        return published[before:]

    assert later() == []
    adapter.attempt_ended(1, Outcome.OK, 9000, 0.001)
    adapter.attempt_ended(2, Outcome.OK, 9000, 0.021)
    assert later() == [({1: 1.0, 0: 0.0}, {0: 20_000})]
    for server in (1, 3):  # two of the own zone's three
        adapter.set_aside(server, SEC)
    ((shares, _),) = later()
    assert 0 < shares[1] < 1 and adapter.may_try(1)
    traffic = adapter.zone_traffic
    assert traffic is not None and traffic.directives is not None
    assert traffic.directives.issue("y", 60 * SEC)
    ((shares, _),) = [entry for entry in later(1.1) if isinstance(entry, tuple)]
    assert set(shares) == {1} and not adapter.may_try(2) and adapter.may_try(1)
    adapter.close()
    assert adapter.may_try(2)


# ---- the policy's side -----------------------------------------------------------------------------------


class RecordingFleet(Alone):
    """Allows as set, and records calls."""

    def __init__(self) -> None:
        self.allows = True
        self.calls: list[Any] = []

    def may_try(self, server: int) -> bool:
        return self.allows

    def may_pass(self) -> bool:
        return self.allows

    def passed(self) -> None:
        self.calls.append("passed")

    def set_aside(self, server: int, wait: int) -> None:
        self.calls.append(("aside", server, wait))

    def back(self, server: int, well: bool) -> None:
        self.calls.append(("back", server, well))


def make_balancer(fleet: RecordingFleet) -> Balancer:
    node = Balancer(replace(BASE, max_attempts=1), 1, Recorder(), fleet)
    node.start(0)
    node.server_list(0, ListKind.FULL, [ServerEntry(i) for i in range(1, 7)])
    return node


def send_request(node: Balancer, now: int, number: int, outcome: Callable[[int], Outcome]) -> int | None:
    """One request, with the outcome by server; returns the server that it went to."""
    node.request(now, number, 0, 0, 2 * SEC, False)
    recorder: Any = node.actions
    sent = [action for action in recorder.take("send") if action[1] == number]
    if not sent:
        return None
    server: int = sent[0][2]
    node.outcome(now + 10_000, number, 0, server, outcome(server), 10_000, False, ())
    return server


def test_the_policy_asks_before_a_check_and_accepts_another_s_result() -> None:
    fleet = RecordingFleet()
    node = make_balancer(fleet)
    bad = next(iter(node.subset.members)).id

    def outcome(server: int) -> Outcome:
        return Outcome.RESET if server == bad else Outcome.OK

    now, number = 100_000, 0
    while ("aside", bad) not in [entry[:2] for entry in fleet.calls]:
        number, now = number + 1, now + 20_000
        send_request(node, now, number, outcome)
        assert number < 500
    fleet.allows = False
    for _ in range(300):  # six seconds: its check is due after two
        number, now = number + 1, now + 20_000
        assert send_request(node, now, number, outcome) != bad
    node.tried(now, bad, False)
    assert fleet.calls[-1][0] == "aside" and node.servers[bad].trial_at > now
    node.tried(now, bad, True)
    assert fleet.calls[-1] == ("back", bad, False) and not node.servers[bad].ejected
    node.tried(now, bad, True)  # not ejected any more: no effect
    node.tried(now, 99, True)
    assert fleet.calls[-1] == ("back", bad, False)


def test_the_policy_delays_its_recalculation_until_allowed() -> None:
    fleet = RecordingFleet()
    node = make_balancer(fleet)
    ctl = node.controller
    now, number = 0, 0

    def run(seconds: float) -> None:
        nonlocal now, number
        for _ in range(int(seconds * 50)):
            number, now = number + 1, now + 20_000
            send_request(node, now, number, lambda server: Outcome.OK)

    run(5)
    assert ctl.recalculations == 1 and fleet.calls == ["passed"]
    fleet.allows = False
    run(70)
    assert ctl.recalculations == 1 and not ctl.recalculating
    fleet.allows = True
    run(5)
    assert ctl.recalculations == 2
