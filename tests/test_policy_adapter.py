"""The policy adapter, and the policy's calls to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from support import BASE_SETTINGS, Recorder

from balancer.fleet.config import read_fleet
from balancer.fleet.policy_adapter import PolicyAdapter
from balancer.policy import Balancer
from balancer.policy.interface import ListKind, Outcome, ServerEntry, Standalone

SEC = 1_000_000

# ---- The adapter itself ---------------------------------------------------------------------------------


def make_adapter(tmp_path: Path, **changes: Any) -> tuple[PolicyAdapter, list[int], list[Any]]:
    """Return an adapter with servers 1 to 6 in zones 0 and 1, its settable clock, and what it published."""
    key = tmp_path / "key"
    key.write_text("k" * 20)
    key.chmod(0o600)
    table = {"zone": "x", "listen": "127.0.0.1:1", "key": str(key)} | changes
    clock = [100 * SEC]
    published: list[Any] = []
    adapter = PolicyAdapter(
        read_fleet(table, "a"),
        BASE_SETTINGS,
        lambda: clock[0],
        lambda: 10**15 + clock[0],
        lambda: None,
        published.append,
    )
    adapter.on_health_check_result = lambda server, healthy: published.append((server, healthy))
    adapter.on_shares = lambda shares, round_trips: published.append((shares, round_trips))
    adapter.open(lambda: ["b"], Random(1))
    entries = [ServerEntry(i, zone=i % 2) for i in range(1, 7)]
    adapter.server_list(0, ListKind.FULL, entries, {"y": 0, "x": 1})
    return adapter, clock, published


def test_adapter_without_coordination_permits_everything(tmp_path: Path) -> None:
    adapter, clock, published = make_adapter(tmp_path)
    assert adapter.may_recalculate_min_rtt() and adapter.may_probe(1)
    assert adapter.tick(clock[0]) == [] and adapter.deadline(clock[0]) is None
    adapter.server_ejected(1, SEC)
    adapter.attempt_ended(1, Outcome.ERROR, 1000, 0.1)
    adapter.server_readmitted(1, True)
    adapter.min_rtt_recalculated()
    assert published == [] and adapter.status(clock[0]) == {}


def test_changed_zone_shares_are_published_to_policy(tmp_path: Path) -> None:
    adapter, clock, published = make_adapter(tmp_path, zones={})
    adapter.tick(clock[0])
    assert published == [({1: 1.0, 0: 0.0}, {0: 0})]

    def tick_after(seconds: float = 0.6) -> list[Any]:
        clock[0] += int(seconds * SEC)
        before = len(published)
        adapter.tick(clock[0])
        return published[before:]

    assert tick_after() == []
    adapter.attempt_ended(1, Outcome.OK, 9000, 0.001)
    adapter.attempt_ended(2, Outcome.OK, 9000, 0.021)
    assert tick_after() == [({1: 1.0, 0: 0.0}, {0: 20_000})]
    # The node's own zone has three servers: 1, 3 and 5.
    for server in (1, 3):
        adapter.server_ejected(server, SEC)
    ((shares, _),) = tick_after()
    assert 0 < shares[1] < 1 and adapter.may_probe(1)
    traffic = adapter.zone_traffic
    assert traffic is not None and traffic.directives is not None
    assert traffic.directives.issue("y", 60 * SEC)
    ((shares, _),) = [entry for entry in tick_after(1.1) if isinstance(entry, tuple)]
    assert set(shares) == {1} and not adapter.may_probe(2) and adapter.may_probe(1)
    adapter.close()
    assert adapter.may_probe(2)


# ---- The policy's calls ---------------------------------------------------------------------------------


class RecordingFleet(Standalone):
    """A fleet that permits what the test sets, and records calls."""

    def __init__(self) -> None:
        self.allows = True
        self.calls: list[Any] = []

    def may_probe(self, server: int) -> bool:
        return self.allows

    def may_recalculate_min_rtt(self) -> bool:
        return self.allows

    def min_rtt_recalculated(self) -> None:
        self.calls.append("recalculated")

    def server_ejected(self, server: int, wait: int) -> None:
        self.calls.append(("ejected", server, wait))

    def server_readmitted(self, server: int, healthy: bool) -> None:
        self.calls.append(("readmitted", server, healthy))


def make_balancer(fleet: RecordingFleet) -> Balancer:
    node = Balancer(replace(BASE_SETTINGS, max_attempts=1), 1, Recorder(), fleet)
    node.start(0)
    node.server_list(0, ListKind.FULL, [ServerEntry(i) for i in range(1, 7)])
    return node


def send_request(node: Balancer, now: int, number: int, outcome: Callable[[int], Outcome]) -> int | None:
    """Send one request, whose outcome depends on its server; return the server that it went to."""
    node.request(now, number, 0, 0, 2 * SEC, False)
    recorder: Any = node.actions
    sent = [action for action in recorder.take("send") if action[1] == number]
    if not sent:
        return None
    server: int = sent[0][2]
    node.outcome(now + 10_000, number, 0, server, outcome(server), 10_000, False, ())
    return server


def test_policy_probes_if_allowed_and_uses_shared_results() -> None:
    fleet = RecordingFleet()
    node = make_balancer(fleet)
    bad = next(iter(node.subset.members)).id

    def outcome(server: int) -> Outcome:
        return Outcome.RESET if server == bad else Outcome.OK

    now, number = 100_000, 0
    while ("ejected", bad) not in [entry[:2] for entry in fleet.calls]:
        number, now = number + 1, now + 20_000
        send_request(node, now, number, outcome)
        assert number < 500
    fleet.allows = False
    # Send requests for six seconds; the check is due after two.
    for _ in range(300):
        number, now = number + 1, now + 20_000
        assert send_request(node, now, number, outcome) != bad
    node.trial_result(now, bad, False)
    assert fleet.calls[-1][0] == "ejected" and node.servers[bad].probe_at > now
    node.trial_result(now, bad, True)
    assert fleet.calls[-1] == ("readmitted", bad, False) and not node.servers[bad].ejected
    # Results for a server that is not ejected, or unknown, have no effect.
    node.trial_result(now, bad, True)
    node.trial_result(now, 99, True)
    assert fleet.calls[-1] == ("readmitted", bad, False)


def test_policy_delays_recalculation_until_allowed() -> None:
    fleet = RecordingFleet()
    node = make_balancer(fleet)
    controller = node.controller
    now, number = 0, 0

    def run(seconds: float) -> None:
        nonlocal now, number
        for _ in range(int(seconds * 50)):
            number, now = number + 1, now + 20_000
            send_request(node, now, number, lambda server: Outcome.OK)

    run(5)
    assert controller.recalculations == 1 and fleet.calls == ["recalculated"]
    fleet.allows = False
    run(70)
    assert controller.recalculations == 1 and not controller.recalculating
    fleet.allows = True
    run(5)
    assert controller.recalculations == 2
