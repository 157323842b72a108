"""Tests of the subset: its size, and the distribution of servers over instances."""

from collections import Counter
from typing import Any

from support import balancer, submit_request

from balancer.policy import Balancer
from balancer.policy.interface import ListKind, ServerEntry, State


def test_subset_is_bounded_and_replaces_removed_members() -> None:
    node, rec = balancer(60)
    size = len(node.subset.members)
    assert size < 60
    first = node.subset.members[0].id
    node.server_list(1, ListKind.CHANGES, [ServerEntry(first, State.GONE)])
    assert len(node.subset.members) == size and first not in {m.id for m in node.subset.members}


def make_instances(count: int, servers: int, **changes: Any) -> list[Balancer]:
    return [balancer(servers, seed=i, instances=count, index=i, **changes)[0] for i in range(count)]


def test_each_server_belongs_to_equally_many_instances() -> None:
    """Independent random subsets would give some servers many instances and others few."""
    instance_counts = Counter(m.id for node in make_instances(70, 60) for m in node.subset.members)
    assert len(instance_counts) == 60 and max(instance_counts.values()) - min(instance_counts.values()) <= 1


def test_list_change_moves_few_members_and_adds_new_server() -> None:
    """If full subsets accepted no new members, the new servers of a growing fleet would stay idle."""
    nodes = make_instances(70, 60)
    before = [{m.id for m in node.subset.members} for node in nodes]
    for node in nodes:
        node.server_list(1, ListKind.CHANGES, [ServerEntry(61)])
    after = [{m.id for m in node.subset.members} for node in nodes]
    assert sum(61 in members for members in after) >= 4
    assert sum(len(a - b) for a, b in zip(after, before, strict=True)) < 2 * 70


def test_subset_grows_with_attempts_in_flight() -> None:
    """A node that suddenly gets a large part of all traffic would otherwise send it to few servers."""
    node, rec = balancer(60, instances=300)
    initial_size = len(node.subset.members)
    for i in range(60):
        submit_request(node, rec, i, i)
    node.subset.mean_in_flight = 40.0
    submit_request(node, rec, 100, 100)
    assert initial_size < 12 and len(node.subset.members) == 24


def test_kinds_are_spread_evenly_over_the_slices() -> None:
    # A quarter of the servers are of kind 1.
    entries = [ServerEntry(i + 1, kind=i % 4 // 3) for i in range(64)]
    for index in range(32):
        node, _ = balancer(entries, instances=32, index=index)
        assert sum(node.servers[m.id].kind_id == 1 for m in node.subset.members) in (1, 2)
