"""The protocol of one node: selection of gateways, queries, exchanges and responses."""

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


def test_the_selection_of_gateways_is_the_same_in_all_versions() -> None:
    """Fixed for ever: another hash would make nodes of two versions choose different gateways."""
    names = [f"n{i}" for i in range(12)]
    assert Rendezvous("zone-0").first(names, 4) == FIRST_OF_ZONE_0
    assert Rendezvous("zone-1").first(names, 4) == FIRST_OF_ZONE_1
    assert (
        Rendezvous("zone-0").digest(names) == Rendezvous("zone-0").digest(reversed(names)) == DIGEST_OF_ZONE_0
    )


@settings(derandomize=True)
@given(st.sets(st.integers(0, 300), min_size=5, max_size=40), st.data())
def test_the_end_of_a_member_changes_no_other_gateway(numbers: set[int], data: st.DataObject) -> None:
    names = sorted(f"n{i}" for i in numbers)
    rendezvous = Rendezvous("z")
    before = rendezvous.first(names, 4)
    gone = data.draw(st.sampled_from(names))
    after = rendezvous.first([n for n in names if n != gone], 4)
    assert [n for n in before if n != gone] == after[: 4 - (gone in before)]


def test_hashes_of_former_members_are_dropped() -> None:
    node, view = make_node()
    for generation in range(20):
        view.members = {f"n{generation}-{i}": shared_member(f"n{generation}-{i}", i + 2) for i in range(10)}
        node.gateways(START)
    assert len(node.selection.rendezvous.scores) <= 33


def exchange_targets(node: ZoneMembership, now: int) -> set[Address]:
    """The node' addresses that an exchange goes to."""
    node.exchanges.next_at = now
    return {m.to for m in node.tick(now) if m.message.kind == ZoneMembershipKind.ZONE_EXCHANGE}


def test_seeds_are_contacted_until_gateways_are_known_and_again_when_none_responds() -> None:
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
    known = {a for i in range(2) for a in exchange_targets(node, now + (i + 1) * 5 * SEC)}
    assert known == {("g", 1), ("g", 2)}
    unanswered = {a for i in range(8) for a in exchange_targets(node, now + (i + 3) * 5 * SEC)}
    assert unanswered == {("g", 1), ("g", 2), ("s", 1), ("s", 2)}


def test_a_gateway_that_leaves_two_queries_unanswered_is_replaced_by_another() -> None:
    node, view = make_node(members=[(f"n{i}", i + 2) for i in range(8)])
    first = node.gateways(START)
    now, queried = START, []
    for _ in range(40):
        now += SEC
        queried += [
            node.queries.pending.gateway
            for m in node.tick(now)
            if m.message.kind == ZoneMembershipKind.ZONE_QUERY and node.queries.pending
        ]
    assert queried[0] == queried[1] and queried[1] != queried[2]  # once more, for a lost datagram
    assert set(queried) == set(view.members) and node.counts["silent_gateways"] == 8
    assert node.gateways(now) == ["me"]  # never none
    assert node.gateways(now + ZoneMembershipTiming().unresponsive_for) == first
    node.received(now, ("h", 2), ZoneMembershipMessage(ZoneMembershipKind.ZONE_QUERY, queried[-1], "a"))
    assert queried[-1] not in node.selection.unresponsive_until


def test_a_response_to_another_query_is_ignored() -> None:
    node, _ = make_node(members=[("n1", 2)])
    node.tick(START + 2 * SEC)
    assert node.queries.pending is not None
    stray = ZoneMembershipMessage(ZoneMembershipKind.ZONE_RESPONSE, "n1", "a", node.queries.pending.seq + 1)
    node.received(START + 2 * SEC, ("h", 2), stray)
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
    answers = sum(len(node.received(START, ("h", 9), query)) for _ in range(1000))
    assert answers == ZoneMembershipTiming().responses_per_second
    assert node.counts["answers_refused"] == 800
    assert node.received(START + SEC, ("h", 9), query)


def test_summaries_of_the_own_zone_are_refused_and_joined_groups_are_counted() -> None:
    node, _ = make_node(members=[("n1", 2)])
    own = summary("a", size=99)
    node.received(
        START, ("h", 9), ZoneMembershipMessage(ZoneMembershipKind.ZONE_EXCHANGE, "n1", "b", 0, (own,))
    )
    assert "a" not in node.records.zones
    assert node.counts["own_zone"] == 1 and node.counts["members_of_other_zones"] == 1


def test_facts_go_out_with_the_zones_summary_and_are_bounded() -> None:
    node, _ = make_node()
    node.set_fact("config", "17")
    reply = node.received(START, ("h", 9), ZoneMembershipMessage(ZoneMembershipKind.ZONE_EXCHANGE, "x", "b"))
    assert reply[0].message.summaries[0].state.facts == (("config", "17"),)
    with pytest.raises(ZoneFactsError):
        node.set_fact("config", "v" * 300)
    assert node.local_summary.facts == {"config": "17"}


def test_a_node_acts_as_gateway_only_after_the_startup_delay() -> None:
    node, _ = make_node({"b": (("s", 1),)})
    sent = [m.message.kind for at in range(10) for m in node.tick(START + at * SEC)]
    assert ZoneMembershipKind.ZONE_EXCHANGE not in sent and not node.is_gateway
    assert node.deadline() <= START + 15 * SEC


def test_the_age_of_an_own_summary_counts_from_when_it_was_made() -> None:
    node, _ = make_node()
    exchange = ZoneMembershipMessage(ZoneMembershipKind.ZONE_EXCHANGE, "x", "b")
    ages = [
        node.received(START + at, ("h", 9), exchange)[0].message.summaries[0].age
        for at in (0, 900_000, 1_000_000)
    ]
    assert ages == [0, 900_000, 0]
