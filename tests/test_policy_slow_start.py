"""Slow start: what cold servers get."""

import pytest
from support import SEC, ask, balancer, end

from balancer.policy.interface import ListKind, Outcome, ServerEntry


def test_a_cold_server_gets_no_more_than_its_share() -> None:
    """A restarted server looks idle and draws a flood that pushes it over."""
    node, rec = balancer(4)
    now, cold = 0, 0
    for i in range(400):
        now += 10_000
        if i == 200:
            node.server_list(now, ListKind.CHANGES, [ServerEntry(2, ready_at=now)])
            rec.take()
        action = ask(node, rec, now, i)
        cold += i >= 200 and action[2] == 2
        end(node, rec, now, i, 0, action[2], Outcome.OK, 250_000)
    # two seconds at up to 0.4 + 0.6 x 0.5 of a warm member's 25 to 33 a second
    assert 5 <= cold <= 40


def test_the_bucket_of_a_cold_server_starts_empty() -> None:
    """A call saved up while nobody watched would come on top of every other node's."""
    node, rec = balancer(2)
    node.slow_start.warm_rate = node.slow_start.served_rate = 10.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    cold = node.servers[1]
    assert not node.slow_start.may_send(SEC, cold)
    assert [node.slow_start.may_send(SEC + 500_000, cold) for _ in range(3)] == [True, False, False]


@pytest.mark.parametrize(
    ("seen", "least", "most"), [(0.0, 3, 14), (1000.0, 12, 40)], ids=["fresh", "overloaded"]
)
def test_cold_members_alone_take_their_share_of_the_requests(seen: float, least: int, most: int) -> None:
    """40 requests a second over 4 cold members, some 12 % warm: 5 a second are their even share.

    A node that starts among cold servers alone has seen no warm one, and before its first window no
    request either. What the last warm members were sent in a crowd is no measure for cold ones.
    """
    cold = [ServerEntry(i, ready_at=1) for i in range(1, 5)]
    node, recorder = balancer(cold, slow_start_share=0.1, slow_start_time=40 * SEC)
    node.slow_start.warm_rate = seen
    sent = 0
    for i in range(80):
        now = i * SEC // 40
        action = ask(node, recorder, now, i + 1)
        if action[0] == "send":
            sent += 1
            end(node, recorder, now, i + 1, 0, action[2], Outcome.OK, 5_000)
    assert least <= sent <= most
