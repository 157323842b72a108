"""A wall clock that is wrong at the node's start: the slow start of servers is as long as ever."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support import BASE, SEC, Recorder, ask, balancer

from balancer.policy import Balancer
from balancer.policy.interface import ListKind, ServerEntry

HOUR = 3_600 * SEC
NOW = 100_000 * SEC  # by clocks that are right
COLD_TIME = 10 * SEC
STEPS = pytest.mark.parametrize("step", [-HOUR, -5 * SEC, 0, 5 * SEC, HOUR])


def started(step: int, entries: list[ServerEntry], kind: ListKind = ListKind.CACHED) -> Balancer:
    """A node whose clock was `step` fast as it started at NOW, with its first list."""
    node = Balancer(replace(BASE, slow_start_time=COLD_TIME), 1, Recorder())
    node.start(NOW + step)
    node.server_list(NOW + step, kind, entries)
    return node


@STEPS
@pytest.mark.parametrize("kind", [ListKind.CACHED, ListKind.FULL])
def test_a_server_of_the_first_list_that_has_just_started_is_cold(kind, step):
    """Measured before: warm at once where the clock is an hour fast, cold for 3,610 s where it is slow."""
    entries = [ServerEntry(1, ready_at=NOW - 2 * SEC), *(ServerEntry(i) for i in (2, 3, 4))]
    server = started(step, entries, kind).servers[1]
    assert NOW + 8 * SEC <= server.slow_start_until - step <= NOW + COLD_TIME


@STEPS
@pytest.mark.parametrize("delay", [0, 300_000, 3 * SEC])
def test_a_start_heard_of_while_the_node_runs_is_bounded_by_when_it_was(delay, step):
    """`delay`: from the start until the node hears of it."""
    node = started(step, [ServerEntry(i) for i in range(1, 5)])
    notified_at = NOW + 60 * SEC
    node.server_list(notified_at + step, ListKind.CHANGES, [ServerEntry(1, ready_at=notified_at - delay)])
    slow_start_until = node.servers[1].slow_start_until - step
    assert notified_at - delay + COLD_TIME <= slow_start_until <= notified_at + COLD_TIME


@pytest.mark.parametrize("error", [-HOUR, HOUR])
def test_a_server_whose_own_clock_is_wrong_has_the_slow_start_of_the_settings(error):
    """The others' starts show that this node's clock is right; they stay as they were."""
    node = started(0, [ServerEntry(i) for i in range(1, 5)])
    node.server_list(NOW + SEC, ListKind.CHANGES, [ServerEntry(2, ready_at=NOW + SEC)])
    notified_at = NOW + 3 * SEC
    node.server_list(notified_at, ListKind.CHANGES, [ServerEntry(1, ready_at=notified_at + error)])
    assert node.servers[1].slow_start_until == notified_at + COLD_TIME
    assert node.servers[2].slow_start_until == NOW + SEC + COLD_TIME


@STEPS
def test_servers_that_started_long_before_the_newest_are_warm(step):
    entries = [
        ServerEntry(1, ready_at=NOW - 3 * SEC),
        ServerEntry(2, ready_at=NOW - 2 * HOUR),
        ServerEntry(3),
    ]
    node = started(step, entries)
    assert node.servers[1].slow_start_until > NOW + step
    assert node.servers[3].slow_start_until == 0
    if step >= 0:
        assert node.servers[2].slow_start_until <= NOW + step


def test_a_start_heard_of_at_once_shows_that_the_clock_is_right():
    """The servers of the first list, which may have just started, are known to be warm from then on."""
    entries = [ServerEntry(1, ready_at=NOW - 600 * SEC), *(ServerEntry(i) for i in (2, 3))]
    node = started(0, entries)
    assert node.servers[1].slow_start_until == NOW + COLD_TIME
    node.server_list(NOW + SEC, ListKind.CHANGES, [ServerEntry(4, ready_at=NOW + SEC - 300_000)])
    assert node.servers[1].slow_start_until < NOW
    assert node.servers[4].slow_start_until == NOW + SEC - 300_000 + COLD_TIME


def test_a_server_that_comes_back_into_the_list_as_it_was_is_not_cold_again():
    node, recorder = balancer(4)
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    before = node.servers[1].slow_start_until
    rest = [ServerEntry(i) for i in (2, 3, 4)]
    node.server_list(60 * SEC, ListKind.FULL, rest)
    assert 1 not in node.servers
    node.server_list(90 * SEC, ListKind.FULL, [ServerEntry(1, ready_at=SEC), *rest])
    assert node.servers[1].slow_start_until == before
    assert ask(node, recorder, 90 * SEC, 1)[0] == "send"


def test_a_clock_is_believed_where_most_servers_started_together_some_time_ago():
    """Failure prevented: nodes restarted within an hour of a release find hardly any server warm."""
    node = started(0, [ServerEntry(i, ready_at=NOW - 600 * SEC) for i in (1, 2, 3)])
    assert all(server.slow_start_until < NOW for server in node.servers.values())


def test_a_clock_that_is_believed_for_the_first_servers_is_not_for_later_ones():
    entries = [ServerEntry(i, ready_at=NOW - 600 * SEC) for i in (1, 2, 3)]
    node = started(5 * SEC, entries)
    node.server_list(NOW + 65 * SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=NOW + 60 * SEC)])
    assert node.servers[1].slow_start_until == NOW + 65 * SEC + COLD_TIME


def test_the_delay_of_discovery_is_not_taken_for_an_error_of_the_clock():
    """Failure prevented: in a rolling release servers that warm up are held back for the list's delay."""
    entries = [ServerEntry(1, ready_at=NOW - 5 * SEC), *(ServerEntry(i) for i in (2, 3, 4))]
    node = started(0, entries)
    assert node.servers[1].slow_start_until == NOW + COLD_TIME
    ready_at = NOW + 8 * SEC
    node.server_list(ready_at + 1_600_000, ListKind.CHANGES, [ServerEntry(2, ready_at=ready_at)])
    assert node.servers[1].slow_start_until == NOW - 5 * SEC + COLD_TIME
    assert node.servers[2].slow_start_until == ready_at + COLD_TIME


def test_a_first_list_with_a_prompt_start_gives_the_other_starts_as_they_are_listed():
    ages = {1: 1_600_000, 2: 5 * SEC, 3: 9 * SEC}
    entries = [ServerEntry(i, ready_at=NOW - age) for i, age in ages.items()]
    node = started(0, [*entries, *(ServerEntry(i) for i in range(4, 10))])
    assert {i: node.servers[i].slow_start_until for i in ages} == {
        i: NOW - age + COLD_TIME for i, age in ages.items()
    }


@pytest.mark.parametrize(
    ("cold_time", "prompt"),
    [(2 * SEC, SEC), (10 * SEC, 2 * SEC), (20 * SEC, 4 * SEC), (24 * SEC, 4 * SEC), (600 * SEC, 4 * SEC)],
)
@pytest.mark.parametrize("kind", [ListKind.CACHED, ListKind.CHANGES])
def test_a_clock_is_held_for_wrong_where_that_shortens_a_slow_start_by_much(kind, cold_time, prompt):
    """By more than a fifth, or by five seconds however long slow starts are."""
    for age, corrected in [(prompt, False), (prompt + 1, True), (max(prompt + 1, 5 * SEC), True)]:
        node = Balancer(replace(BASE, slow_start_time=cold_time), 1, Recorder())
        node.start(NOW)
        if kind == ListKind.CHANGES:
            node.server_list(NOW, ListKind.FULL, [ServerEntry(i) for i in range(1, 5)])
        entries = [ServerEntry(1, ready_at=NOW - age), *(ServerEntry(i) for i in (2, 3, 4))]
        node.server_list(NOW, kind, entries)
        started_at = NOW if corrected else NOW - age
        assert node.servers[1].slow_start_until == started_at + cold_time


@STEPS
def test_servers_that_restart_together_are_cold_though_the_node_has_its_cached_list_alone(step):
    """Failure prevented: as more than a third of the servers, they count by a clock that is an hour fast."""
    node = started(step, [ServerEntry(i) for i in range(1, 5)])
    notified_at = NOW + 12 * SEC
    restarted = [ServerEntry(i, ready_at=notified_at - 300_000) for i in (1, 2, 3)]
    node.server_list(notified_at + step, ListKind.CHANGES, restarted)
    for server in (1, 2, 3):
        slow_start_until = node.servers[server].slow_start_until - step
        assert notified_at - 300_000 + COLD_TIME <= slow_start_until <= notified_at + COLD_TIME


def test_a_clock_is_believed_for_old_starts_that_follow_the_cached_list_at_once():
    """Failure prevented: a node whose cached list is from before a release finds no server warm."""
    node = started(0, [ServerEntry(i, ready_at=NOW - 3 * HOUR) for i in (1, 2, 3)])
    entries = [ServerEntry(i, ready_at=NOW - 600 * SEC) for i in (1, 2, 3)]
    node.server_list(NOW + SEC, ListKind.CHANGES, entries)
    assert all(server.slow_start_until < NOW for server in node.servers.values())
