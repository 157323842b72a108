"""Tests of the selection of a server for an attempt."""

import pytest
from support import SEC, balancer, end_attempt, submit_request

from balancer.policy.interface import ClassSettings, Effect, Group, ListKind, Outcome, ServerEntry


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.ERROR])
def test_retry_goes_to_a_server_not_attempted_before(outcome):
    """The member that has just rejected the request has the fewest attempts and would be picked again."""
    for seed in range(20):
        node, rec = balancer(4, seed=seed)
        attempted = [submit_request(node, rec, 0, 1)[2]]
        for attempt in range(3):
            ((_, _, server, _),) = end_attempt(node, rec, 1000, 1, attempt, attempted[-1], outcome)
            attempted.append(server)
        assert len(set(attempted)) == 4


def test_retry_goes_to_the_only_server():
    node, rec = balancer(1)
    _, _, server, _ = submit_request(node, rec, 0, 1)
    assert end_attempt(node, rec, 1000, 1, 0, server, Outcome.REJECTED)[0][2] == server


def test_keyed_retries_stay_in_their_group_and_window():
    for group, field in ((Group.CELL, "cell"), (Group.ZONE, "zone")):
        entries = [ServerEntry(i + 1, **{field: i % 2}) for i in range(8)]
        request_class = ClassSettings(
            Effect.IDEMPOTENCY_KEY,
            latency_objective=SEC,
            deadline=9 * SEC,
            worth=1,
            late_worth=0.5,
            group=group,
            window=SEC,
        )
        for seed in range(10):
            node, rec = balancer(entries, seed=seed, classes=(request_class,))
            _, _, server, _ = submit_request(node, rec, 0, 1)
            ((action, _, other, _),) = end_attempt(node, rec, 1000, 1, 0, server, Outcome.ERROR)
            assert action == "send" and other % 2 == server % 2 and other != server
            assert end_attempt(node, rec, SEC + 1, 1, 1, other, Outcome.ERROR) == [("fail", 1)]


def test_keyed_request_fails_without_another_server_in_group():
    node, rec = balancer([ServerEntry(1, cell=1), ServerEntry(2, cell=2)])
    _, _, server, _ = submit_request(node, rec, 0, 1, 1)
    assert end_attempt(node, rec, 1000, 1, 0, server, Outcome.RESET) == [("fail", 1)]


def test_member_that_just_slowed_down_loses_picks():
    """A slowdown shows in the time that attempts have been in flight before it shows in the averages."""
    node, rec = balancer(2)
    slow, quick = node.subset.members
    slow.in_flight, slow.last_outcome_at = 1, 0
    quick.in_flight, quick.last_outcome_at = 2, 900_000
    assert slow.load(300_000, 0, 250_000.0) < quick.load(1_000_000, 0, 250_000.0)
    assert slow.load(1_000_000, 0, 250_000.0) > quick.load(1_000_000, 0, 250_000.0)


def test_slow_member_is_picked_less_often():
    """With hardly any attempts in flight their number does not show that a server is slow."""
    node, rec = balancer(4)
    now, picks = 0, 0
    for i in range(400):
        now += 400_000
        server = submit_request(node, rec, now, i)[2]
        picks += server == 1
        end_attempt(node, rec, now, i, 0, server, Outcome.OK, 300_000 if server == 1 else 100_000)
    assert picks < 60


def test_failing_member_loses_picks_before_ejection():
    node, rec = balancer(4)
    node.servers[1].failure_rate = 0.25
    node.servers[1].last_outcome_at = 0
    assert node.servers[1].load(0, 0, 100_000.0) == pytest.approx(3 * node.servers[2].load(0, 0, 100_000.0))


def test_member_that_rejects_one_class_loses_only_its_picks():
    """A member that rejects one class has few of its attempts in flight, which alone would attract more."""
    node, rec = balancer(4)
    picks = [0, 0]
    for i in range(600):
        now, request_class = i * 10_000, i % 2
        _, _, server, _ = submit_request(node, rec, now, i, request_class)
        if server == 1 and request_class == 1:
            for action in end_attempt(node, rec, now + 100, i, 0, 1, Outcome.REJECTED):
                if action[0] == "send":
                    end_attempt(node, rec, now + 5_000, i, 1, action[2], Outcome.OK, 250_000)
        else:
            end_attempt(node, rec, now + 5_000, i, 0, server, Outcome.OK, 250_000)
        picks[request_class] += server == 1 and i >= 100
    # Each class has 250 requests, of which an equal part is 62.
    assert picks[1] < 15 and picks[0] > 45


@pytest.mark.usefixtures("full_subset")
def test_warm_member_serves_when_picked_ones_are_warming_up():
    entries = [ServerEntry(i + 1, ready_at=SEC) for i in range(11)] + [ServerEntry(12)]
    node, rec = balancer(entries)
    assert {submit_request(node, rec, SEC + 1000 * i, i)[2] for i in range(20)} == {12}


@pytest.mark.usefixtures("full_subset")
def test_new_server_starts_with_the_average_of_its_kind():
    """At one request a second an instance would take a minute to measure each slow server by itself."""
    node, rec = balancer([ServerEntry(i + 1, kind=i % 2) for i in range(8)])
    now = 0
    for i in range(60):
        now += SEC // 4
        server = submit_request(node, rec, now, i)[2]
        end_attempt(node, rec, now, i, 0, server, Outcome.OK, 300_000 if server % 2 == 0 else 100_000)
    node.server_list(now, ListKind.CHANGES, [ServerEntry(9, kind=0), ServerEntry(10, kind=1)])
    assert node.servers[10].load(now, 0, 1e6) > 1.5 * node.servers[9].load(now, 0, 1e6)


def test_keyed_retry_finds_its_group_outside_the_subset():
    entries = [ServerEntry(i + 1, cell=i % 30) for i in range(60)]
    node, rec = balancer(entries, instances=50)
    first = submit_request(node, rec, 0, 1, 1)[2]
    (action,) = end_attempt(node, rec, 10_000, 1, 0, first, Outcome.ERROR)
    assert action[0] == "send" and action[2] != first and (action[2] - first) % 30 == 0


@pytest.mark.usefixtures("full_subset")
def test_two_slow_members_get_little_traffic():
    """In a small subset both random choices are often slow, which would keep the slow members overloaded."""
    node, rec = balancer(4)
    now, slow_picks = 0, 0
    for i in range(600):
        now += 200_000
        server = submit_request(node, rec, now, i)[2]
        slow_picks += i >= 100 and server <= 2
        end_attempt(node, rec, now, i, 0, server, Outcome.OK, 800_000 if server <= 2 else 100_000)
    assert slow_picks < 500 / 10
