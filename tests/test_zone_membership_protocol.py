"""The protocol of one node: gateway selection, queries, exchanges and responses."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from zone_membership_support import SEC, START, make_node, shared_member, summary, zone_state

from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.decisions import ZoneMembership
from balancer.fleet.zone_membership.errors import ZoneFactsError
from balancer.fleet.zone_membership.gateways import Rendezvous
from balancer.fleet.zone_membership.messages import ZoneMembershipKind, ZoneMembershipMessage
from balancer.fleet.zone_membership.settings import ZoneMembershipTiming
from balancer.fleet.zone_membership.summaries import Gateway, Summary, Version

FIRST_OF_ZONE_0 = ["n6", "n5", "n4", "n3"]
FIRST_OF_ZONE_1 = ["n2", "n10", "n4", "n3"]
DIGEST_OF_ZONE_0 = 6103755008981008060


def test_gateway_selection_is_stable_across_versions() -> None:
    """With a different hash, nodes of two versions in one zone would select different gateways."""
    names = [f"n{i}" for i in range(12)]
    assert Rendezvous("zone-0").first(names, 4) == FIRST_OF_ZONE_0
    assert Rendezvous("zone-1").first(names, 4) == FIRST_OF_ZONE_1
    assert (
        Rendezvous("zone-0").digest(names) == Rendezvous("zone-0").digest(reversed(names)) == DIGEST_OF_ZONE_0
    )


@settings(derandomize=True)
@given(st.sets(st.integers(0, 300), min_size=5, max_size=40), st.data())
def test_removal_of_a_member_keeps_the_other_gateways(numbers: set[int], data: st.DataObject) -> None:
    names = sorted(f"n{i}" for i in numbers)
    rendezvous = Rendezvous("z")
    before = rendezvous.first(names, 4)
    removed = data.draw(st.sampled_from(names))
    after = rendezvous.first([n for n in names if n != removed], 4)
    assert [n for n in before if n != removed] == after[: 4 - (removed in before)]


def test_cached_hashes_of_former_members_are_removed() -> None:
    node, view = make_node()
    for generation in range(20):
        view.members = {f"n{generation}-{i}": shared_member(f"n{generation}-{i}", i + 2) for i in range(10)}
        node.gateways(START)
    assert len(node.selection.rendezvous.scores) <= 33


def exchange_targets(node: ZoneMembership, now: int) -> set[Address]:
    """Return the addresses to which the node sends its next exchange."""
    node.exchanges.next_at = now
    return {m.to for m in node.tick(now) if m.message.kind == ZoneMembershipKind.ZONE_EXCHANGE}


def test_seeds_are_contacted_while_no_gateway_responds() -> None:
    seeds = {"b": (("s", 1), ("s", 2))}
    node, _ = make_node(seeds)
    now = START + 10 * SEC
    assert exchange_targets(node, now) < {("s", 1), ("s", 2)}
    gateways = (Gateway("b-1", ("g", 1)), Gateway("b-2", ("g", 2)))
    reply = ZoneMembershipMessage(
        ZoneMembershipKind.ZONE_EXCHANGE_ACK,
        "b-1",
        "b",
        0,
        (Summary(zone_state(gateways=gateways), Version("b-1", 1, 1), 0),),
    )
    node.received(now, ("g", 1), reply)
    gateway_targets = {a for i in range(2) for a in exchange_targets(node, now + (i + 1) * 5 * SEC)}
    assert gateway_targets == {("g", 1), ("g", 2)}
    targets_without_response = {a for i in range(8) for a in exchange_targets(node, now + (i + 3) * 5 * SEC)}
    assert targets_without_response == {("g", 1), ("g", 2), ("s", 1), ("s", 2)}


def test_gateway_is_replaced_after_two_unanswered_queries() -> None:
    node, view = make_node(members=[(f"n{i}", i + 2) for i in range(8)])
    initial_gateways = node.gateways(START)
    now, queried = START, []
    for _ in range(40):
        now += SEC
        queried += [
            node.queries.pending.gateway
            for m in node.tick(now)
            if m.message.kind == ZoneMembershipKind.ZONE_QUERY and node.queries.pending
        ]
    # The first query is repeated once, since its datagram may have been lost.
    assert queried[0] == queried[1] and queried[1] != queried[2]
    assert set(queried) == set(view.members) and node.counts["silent_gateways"] == 8
    # With all others unresponsive, the node itself remains as a gateway.
    assert node.gateways(now) == ["me"]
    assert node.gateways(now + ZoneMembershipTiming().unresponsive_for) == initial_gateways
    node.received(now, ("h", 2), ZoneMembershipMessage(ZoneMembershipKind.ZONE_QUERY, queried[-1], "a"))
    assert queried[-1] not in node.selection.unresponsive_until


def test_response_with_wrong_sequence_number_is_ignored() -> None:
    node, _ = make_node(members=[("n1", 2)])
    node.tick(START + 2 * SEC)
    assert node.queries.pending is not None
    unrelated_response = ZoneMembershipMessage(
        ZoneMembershipKind.ZONE_RESPONSE, "n1", "a", node.queries.pending.seq + 1
    )
    node.received(START + 2 * SEC, ("h", 2), unrelated_response)
    assert node.queries.pending is not None
    node.received(
        START + 2 * SEC,
        ("h", 2),
        ZoneMembershipMessage(ZoneMembershipKind.ZONE_RESPONSE, "n1", "a", node.queries.pending.seq),
    )
    assert node.queries.pending is None


def test_responses_are_limited_per_second() -> None:
    node, _ = make_node()
    query = ZoneMembershipMessage(ZoneMembershipKind.ZONE_QUERY, "x", "a", 1)
    response_count = sum(len(node.received(START, ("h", 9), query)) for _ in range(1000))
    assert response_count == ZoneMembershipTiming().responses_per_second
    assert node.counts["answers_refused"] == 800
    assert node.received(START + SEC, ("h", 9), query)


def test_own_zone_summary_is_refused_and_joined_group_counted() -> None:
    node, _ = make_node(members=[("n1", 2)])
    own_summary = summary("a", size=99)
    node.received(
        START, ("h", 9), ZoneMembershipMessage(ZoneMembershipKind.ZONE_EXCHANGE, "n1", "b", 0, (own_summary,))
    )
    assert "a" not in node.records.zones
    assert node.counts["own_zone"] == 1 and node.counts["members_of_other_zones"] == 1


def test_facts_are_sent_with_own_summary_and_bounded() -> None:
    node, _ = make_node()
    node.set_fact("config", "17")
    reply = node.received(START, ("h", 9), ZoneMembershipMessage(ZoneMembershipKind.ZONE_EXCHANGE, "x", "b"))
    assert reply[0].message.summaries[0].state.facts == (("config", "17"),)
    with pytest.raises(ZoneFactsError):
        node.set_fact("config", "v" * 300)
    assert node.local_summary.facts == {"config": "17"}


def test_node_becomes_gateway_only_after_startup_delay() -> None:
    node, _ = make_node({"b": (("s", 1),)})
    sent = [m.message.kind for at in range(10) for m in node.tick(START + at * SEC)]
    assert ZoneMembershipKind.ZONE_EXCHANGE not in sent and not node.is_gateway
    assert node.deadline() <= START + 15 * SEC


def test_age_of_own_summary_counts_from_its_creation() -> None:
    node, _ = make_node()
    exchange = ZoneMembershipMessage(ZoneMembershipKind.ZONE_EXCHANGE, "x", "b")
    ages = [
        node.received(START + at, ("h", 9), exchange)[0].message.summaries[0].age
        for at in (0, 900_000, 1_000_000)
    ]
    assert ages == [0, 900_000, 0]
