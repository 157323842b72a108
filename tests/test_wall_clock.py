"""Tests of slow start on nodes whose wall clock was wrong when they started."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support import BASE_SETTINGS, SEC, Recorder, balancer, submit_request

from balancer.policy import Balancer
from balancer.policy.interface import ListKind, ServerEntry

HOUR = 3_600 * SEC
NOW = 100_000 * SEC  # The time on correct clocks.
SLOW_START_TIME = 10 * SEC
STEPS = pytest.mark.parametrize("step", [-HOUR, -5 * SEC, 0, 5 * SEC, HOUR])


def start_node(step: int, entries: list[ServerEntry], kind: ListKind = ListKind.CACHED) -> Balancer:
    """Return a node that started at NOW with a clock that was fast by `step`, after its first list."""
    node = Balancer(replace(BASE_SETTINGS, slow_start_time=SLOW_START_TIME), 1, Recorder())
    node.start(NOW + step)
    node.server_list(NOW + step, kind, entries)
    return node


@STEPS
@pytest.mark.parametrize("kind", [ListKind.CACHED, ListKind.FULL])
def test_just_started_server_of_the_first_list_is_warming_up(kind, step):
    """Without a correction a clock an hour fast ends slow start at once; a slow one makes it take 3,610 s."""
    entries = [ServerEntry(1, ready_at=NOW - 2 * SEC), *(ServerEntry(i) for i in (2, 3, 4))]
    server = start_node(step, entries, kind).servers[1]
    assert NOW + 8 * SEC <= server.slow_start_until - step <= NOW + SLOW_START_TIME


@STEPS
@pytest.mark.parametrize("delay", [0, 300_000, 3 * SEC])
def test_start_seen_while_running_is_bounded_by_notification(delay, step):
    """The slow start ends neither before its time from the real start nor later than from the notification.

    `delay` is the time from the server's start until the node is notified of it.
    """
    node = start_node(step, [ServerEntry(i) for i in range(1, 5)])
    notified_at = NOW + 60 * SEC
    node.server_list(notified_at + step, ListKind.CHANGES, [ServerEntry(1, ready_at=notified_at - delay)])
    slow_start_until = node.servers[1].slow_start_until - step
    assert notified_at - delay + SLOW_START_TIME <= slow_start_until <= notified_at + SLOW_START_TIME


@pytest.mark.parametrize("error", [-HOUR, HOUR])
def test_server_with_a_wrong_clock_has_a_normal_slow_start(error):
    """Other servers' starts show that the node's clock is right, and their slow starts are unchanged."""
    node = start_node(0, [ServerEntry(i) for i in range(1, 5)])
    node.server_list(NOW + SEC, ListKind.CHANGES, [ServerEntry(2, ready_at=NOW + SEC)])
    notified_at = NOW + 3 * SEC
    node.server_list(notified_at, ListKind.CHANGES, [ServerEntry(1, ready_at=notified_at + error)])
    assert node.servers[1].slow_start_until == notified_at + SLOW_START_TIME
    assert node.servers[2].slow_start_until == NOW + SEC + SLOW_START_TIME


@STEPS
def test_servers_that_started_long_before_the_newest_are_warm(step):
    entries = [
        ServerEntry(1, ready_at=NOW - 3 * SEC),
        ServerEntry(2, ready_at=NOW - 2 * HOUR),
        ServerEntry(3),
    ]
    node = start_node(step, entries)
    assert node.servers[1].slow_start_until > NOW + step
    assert node.servers[3].slow_start_until == 0
    if step >= 0:
        assert node.servers[2].slow_start_until <= NOW + step


def test_promptly_seen_start_shows_the_clock_is_right():
    """After a promptly seen start, servers of the first list that might have just started count as warm."""
    entries = [ServerEntry(1, ready_at=NOW - 600 * SEC), *(ServerEntry(i) for i in (2, 3))]
    node = start_node(0, entries)
    assert node.servers[1].slow_start_until == NOW + SLOW_START_TIME
    node.server_list(NOW + SEC, ListKind.CHANGES, [ServerEntry(4, ready_at=NOW + SEC - 300_000)])
    assert node.servers[1].slow_start_until < NOW
    assert node.servers[4].slow_start_until == NOW + SEC - 300_000 + SLOW_START_TIME


def test_relisted_server_does_not_slow_start_again():
    node, recorder = balancer(4)
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    before = node.servers[1].slow_start_until
    other_entries = [ServerEntry(i) for i in (2, 3, 4)]
    node.server_list(60 * SEC, ListKind.FULL, other_entries)
    assert 1 not in node.servers
    node.server_list(90 * SEC, ListKind.FULL, [ServerEntry(1, ready_at=SEC), *other_entries])
    assert node.servers[1].slow_start_until == before
    assert submit_request(node, recorder, 90 * SEC, 1)[0] == "send"


def test_clock_is_trusted_if_most_servers_started_together():
    """Nodes that restart within an hour of a release must not treat nearly all servers as warming up."""
    node = start_node(0, [ServerEntry(i, ready_at=NOW - 600 * SEC) for i in (1, 2, 3)])
    assert all(server.slow_start_until < NOW for server in node.servers.values())


def test_clock_trusted_for_first_servers_is_not_for_later_ones():
    entries = [ServerEntry(i, ready_at=NOW - 600 * SEC) for i in (1, 2, 3)]
    node = start_node(5 * SEC, entries)
    node.server_list(NOW + 65 * SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=NOW + 60 * SEC)])
    assert node.servers[1].slow_start_until == NOW + 65 * SEC + SLOW_START_TIME


def test_discovery_delay_is_not_taken_for_clock_error():
    """The delay of the server list must not extend the slow start of servers during a rolling release."""
    entries = [ServerEntry(1, ready_at=NOW - 5 * SEC), *(ServerEntry(i) for i in (2, 3, 4))]
    node = start_node(0, entries)
    assert node.servers[1].slow_start_until == NOW + SLOW_START_TIME
    ready_at = NOW + 8 * SEC
    node.server_list(ready_at + 1_600_000, ListKind.CHANGES, [ServerEntry(2, ready_at=ready_at)])
    assert node.servers[1].slow_start_until == NOW - 5 * SEC + SLOW_START_TIME
    assert node.servers[2].slow_start_until == ready_at + SLOW_START_TIME


def test_prompt_start_in_the_first_list_confirms_the_others():
    ages = {1: 1_600_000, 2: 5 * SEC, 3: 9 * SEC}
    entries = [ServerEntry(i, ready_at=NOW - age) for i, age in ages.items()]
    node = start_node(0, [*entries, *(ServerEntry(i) for i in range(4, 10))])
    assert {i: node.servers[i].slow_start_until for i in ages} == {
        i: NOW - age + SLOW_START_TIME for i, age in ages.items()
    }


@pytest.mark.parametrize(
    ("slow_start_time", "max_prompt_age"),
    [(2 * SEC, SEC), (10 * SEC, 2 * SEC), (20 * SEC, 4 * SEC), (24 * SEC, 4 * SEC), (600 * SEC, 4 * SEC)],
)
@pytest.mark.parametrize("kind", [ListKind.CACHED, ListKind.CHANGES])
def test_clock_is_corrected_beyond_the_prompt_delay(kind, slow_start_time, max_prompt_age):
    """A clock error is corrected if it shortens slow start by over a fifth, or by five seconds or more."""
    for age, corrected in [
        (max_prompt_age, False),
        (max_prompt_age + 1, True),
        (max(max_prompt_age + 1, 5 * SEC), True),
    ]:
        node = Balancer(replace(BASE_SETTINGS, slow_start_time=slow_start_time), 1, Recorder())
        node.start(NOW)
        if kind == ListKind.CHANGES:
            node.server_list(NOW, ListKind.FULL, [ServerEntry(i) for i in range(1, 5)])
        entries = [ServerEntry(1, ready_at=NOW - age), *(ServerEntry(i) for i in (2, 3, 4))]
        node.server_list(NOW, kind, entries)
        started_at = NOW if corrected else NOW - age
        assert node.servers[1].slow_start_until == started_at + slow_start_time


@STEPS
def test_servers_restarted_after_a_cached_list_slow_start(step):
    """Servers that restart together, though over a third of all, must not be warm on a clock an hour fast."""
    node = start_node(step, [ServerEntry(i) for i in range(1, 5)])
    notified_at = NOW + 12 * SEC
    restarted = [ServerEntry(i, ready_at=notified_at - 300_000) for i in (1, 2, 3)]
    node.server_list(notified_at + step, ListKind.CHANGES, restarted)
    for server in (1, 2, 3):
        slow_start_until = node.servers[server].slow_start_until - step
        assert notified_at - 300_000 + SLOW_START_TIME <= slow_start_until <= notified_at + SLOW_START_TIME


def test_clock_is_trusted_for_list_right_after_the_cached_one():
    """A node whose cached list is from before a release must not treat all servers as warming up."""
    node = start_node(0, [ServerEntry(i, ready_at=NOW - 3 * HOUR) for i in (1, 2, 3)])
    entries = [ServerEntry(i, ready_at=NOW - 600 * SEC) for i in (1, 2, 3)]
    node.server_list(NOW + SEC, ListKind.CHANGES, entries)
    assert all(server.slow_start_until < NOW for server in node.servers.values())
