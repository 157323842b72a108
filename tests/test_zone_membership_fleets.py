"""Membership by zone in whole fleets on a virtual network."""

from __future__ import annotations

from balancer.fleet.zone_membership.gateways import Rendezvous
from workbench.explore import zone_cases
from workbench.explore.zone_members import Fleet, node_address, zone_name


def test_every_node_learns_every_zone_within_age_bound() -> None:
    figures = zone_cases.discovery(Fleet(4, 6, seed=3, loss=0.02))
    assert figures.holds, figures.line()


def test_member_death_updates_zone_size_on_all_nodes() -> None:
    figures = zone_cases.death(Fleet(3, 5, seed=4))
    assert figures.holds, figures.line()


def test_dead_gateways_are_replaced_before_zone_is_lost() -> None:
    figures = zone_cases.gateways_die(Fleet(3, 8, seed=5))
    assert figures.holds, figures.line()


def test_gateways_with_undetected_death_become_unresponsive() -> None:
    figures = zone_cases.gateways_die(Fleet(2, 9, seed=5, shared=True))
    assert figures.holds and figures.seconds["oldest age of the zone"] < 45, figures.line()


def test_lost_zone_is_reported_and_found_again_after_restart() -> None:
    figures = zone_cases.zone_lost(Fleet(4, 5, seed=6))
    assert figures.holds, figures.line()


def test_partitioned_region_keeps_summaries_and_catches_up() -> None:
    figures = zone_cases.region_alone(Fleet(3, 3, seed=7, shared=True, regions=3), 1200.0)
    assert figures.holds, figures.line()


def test_zones_without_a_link_get_summaries_from_third_zone() -> None:
    fleet = Fleet(3, 3, seed=8, shared=True, regions=3)
    fleet.network.block(0, 1)
    fleet.network.block(1, 0)
    assert fleet.network.run_until(fleet.all_summaries_fresh, 90) < 90


def test_all_zones_are_known_after_many_simultaneous_joins() -> None:
    figures = zone_cases.many_joins(Fleet(3, 5, seed=9), 25)
    assert figures.holds, figures.line()


def test_diverging_views_give_more_gateways_but_never_none() -> None:
    figures = zone_cases.different_views(Fleet(2, 12, seed=10, shared=True))
    assert figures.holds, figures.line()


def test_new_nodes_find_each_other_among_older_versions() -> None:
    fleet = Fleet(3, 12, seed=11, old=lambda number: number != 0)
    # In the hash order of all nodes, the new node of a zone would not be among its gateways.
    for zone in range(3):
        names = [n.name for n in fleet.nodes_in_zone(zone)]
        assert f"zone-{zone}-0" not in Rendezvous(zone_name(zone)).first(names, 4)
    figures = zone_cases.release(fleet)
    assert figures.holds, figures.line()
    assert fleet.network.old_codec.dropped["kind"] > 0


def test_the_same_seed_gives_the_same_run() -> None:
    runs = [zone_cases.discovery(Fleet(3, 4, seed=12, loss=0.1)).line() for _ in range(2)]
    assert runs[0] == runs[1]


def test_virtual_node_addresses_are_unique() -> None:
    assert len({node_address(z, n) for z in range(13) for n in range(400)}) == 13 * 400
