"""Tests of slow start: the requests that warming servers get from one instance."""

import pytest
from support import SEC, balancer, end_attempt, submit_request

from balancer.policy.interface import ListKind, Outcome, ServerEntry


def test_warming_server_gets_no_more_than_its_share() -> None:
    """A restarted server looks idle and would get so many requests that it fails."""
    node, rec = balancer(4)
    now, sent = 0, 0
    for i in range(400):
        now += 10_000
        if i == 200:
            node.server_list(now, ListKind.CHANGES, [ServerEntry(2, ready_at=now)])
            rec.take()
        action = submit_request(node, rec, now, i)
        sent += i >= 200 and action[2] == 2
        end_attempt(node, rec, now, i, 0, action[2], Outcome.OK, 250_000)
    # For two seconds the server gets up to 0.4 + 0.6 x 0.5 of a warm member's 25 to 33 requests a second.
    assert 5 <= sent <= 40


def test_token_bucket_of_a_warming_server_starts_empty() -> None:
    """A token saved up before the restart would let every node send a request at the same time."""
    node, rec = balancer(2)
    node.slow_start.warm_rate = node.slow_start.served_rate = 10.0
    node.server_list(SEC, ListKind.CHANGES, [ServerEntry(1, ready_at=SEC)])
    warming = node.servers[1]
    assert not node.slow_start.may_send(SEC, warming)
    assert [node.slow_start.may_send(SEC + 500_000, warming) for _ in range(3)] == [True, False, False]


@pytest.mark.parametrize(
    ("warm_rate", "min_sent", "max_sent"),
    [(0.0, 3, 14), (1000.0, 12, 40)],
    ids=["no warm member yet", "overloaded warm members before"],
)
def test_warming_members_alone_take_their_even_share(warm_rate: float, min_sent: int, max_sent: int) -> None:
    """40 requests a second over 4 members that are about 12 % warm: 5 a second are their even share.

    A node that starts among warming servers has no rate of a warm member, and before its first window no
    request rate either. What the last warm members were sent under overload is no measure for warming ones.
    """
    warming = [ServerEntry(i, ready_at=1) for i in range(1, 5)]
    node, recorder = balancer(warming, slow_start_share=0.1, slow_start_time=40 * SEC)
    node.slow_start.warm_rate = warm_rate
    sent = 0
    for i in range(80):
        now = i * SEC // 40
        action = submit_request(node, recorder, now, i + 1)
        if action[0] == "send":
            sent += 1
            end_attempt(node, recorder, now, i + 1, 0, action[2], Outcome.OK, 5_000)
    assert min_sent <= sent <= max_sent
