"""The subset: its size, and how instances share the servers."""

from collections import Counter
from typing import Any

from support import ask, balancer

from balancer.policy import Balancer
from balancer.policy.interface import ListKind, ServerEntry, State


def test_the_subset_is_bounded_and_refilled() -> None:
    node, rec = balancer(60)
    size = len(node.subset.members)
    assert size < 60
    first = node.subset.members[0].id
    node.server_list(1, ListKind.CHANGES, [ServerEntry(first, State.GONE)])
    assert len(node.subset.members) == size and first not in {m.id for m in node.subset.members}


def instances(count: int, servers: int, **changes: Any) -> list[Balancer]:
    return [balancer(servers, seed=i, instances=count, index=i, **changes)[0] for i in range(count)]


def test_each_server_belongs_to_equally_many_instances() -> None:
    """Subsets drawn apart leave some servers to many instances and some to few."""
    belongs = Counter(m.id for node in instances(70, 60) for m in node.subset.members)
    assert len(belongs) == 60 and max(belongs.values()) - min(belongs.values()) <= 1


def test_a_change_of_the_list_moves_few_members_and_new_servers_get_their_part() -> None:
    """A full subset that takes in nobody leaves the machines of a grown fleet idle."""
    nodes = instances(70, 60)
    before = [{m.id for m in node.subset.members} for node in nodes]
    for node in nodes:
        node.server_list(1, ListKind.CHANGES, [ServerEntry(61)])
    after = [{m.id for m in node.subset.members} for node in nodes]
    assert sum(61 in members for members in after) >= 4
    assert sum(len(a - b) for a, b in zip(after, before, strict=True)) < 2 * 70


def test_the_subset_widens_with_the_calls_in_flight() -> None:
    """A node that suddenly gets a large part of all traffic would send it to a few servers."""
    node, rec = balancer(60, instances=300)
    small = len(node.subset.members)
    for i in range(60):
        ask(node, rec, i, i)
    node.subset.mean_in_flight = 40.0
    ask(node, rec, 100, 100)
    assert small < 12 and len(node.subset.members) == 24


def test_the_kinds_lie_evenly_in_every_instance_s_slice() -> None:
    entries = [ServerEntry(i + 1, kind=i % 4 // 3) for i in range(64)]  # a quarter of kind 1
    for index in range(32):
        node, _ = balancer(entries, instances=32, index=index)
        assert sum(node.servers[m.id].kind_id == 1 for m in node.subset.members) in (1, 2)
