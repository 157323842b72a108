"""Tests of zone spillover: the requests that leave their zone."""

import pytest
from support import balancer, end_attempt, submit_request

from balancer.policy.interface import Outcome, ServerEntry


@pytest.mark.usefixtures("full_subset")
def test_requests_stay_in_zone_only_if_crossing_has_a_price() -> None:
    """If crossings are cheap, load alone decides, since staying in the zone would crowd its servers."""
    entries = [ServerEntry(i + 1, zone=i % 2) for i in range(12)]

    def local_share(price: float) -> float:
        node, rec = balancer(entries, cross_zone_price=price)
        now = local = 0
        for i in range(400):
            now += 20_000
            server = submit_request(node, rec, now, i)[2]
            local += server % 2
            end_attempt(node, rec, now, i, 0, server, Outcome.OK, 250_000)
        return local / 400

    assert local_share(0.04) > 0.7
    assert 0.35 < local_share(0.005) < 0.65


def test_overloaded_zone_spills_over() -> None:
    """Without spillover one zone's servers are overloaded while those of another are idle."""
    entries = [ServerEntry(i + 1, zone=i % 2) for i in range(12)]
    node, rec = balancer(entries, cross_zone_price=0.04)
    now, remote = 0, 0
    for i in range(2000):
        now += 10_000
        server = submit_request(node, rec, now, i, 2)[2]
        remote += i >= 1000 and server % 2 == 0
        overloaded = i >= 500 and server % 2 == 1
        end_attempt(node, rec, now, i, 0, server, Outcome.OK, 800_000 if overloaded else 200_000)
    assert node.spillover.spill_ratio > 0.5 and remote > 300


@pytest.mark.parametrize(("nodes", "min_spill"), [(1, 5 / 6), (3, 0.5), (6, 0.0)])
def test_requests_beyond_the_zones_capacity_leave_the_zone(nodes: int, min_spill: float) -> None:
    """The only server of a zone would otherwise get all requests of the only node there."""
    entries = [ServerEntry(i + 1, zone=min(i, 1)) for i in range(6)]
    node, rec = balancer(entries, cross_zone_price=0.04, instances=nodes)
    assert node.spillover.spill_ratio == pytest.approx(min_spill)
    now = remote = 0
    for i in range(600):
        now += 20_000
        server = submit_request(node, rec, now, i)[2]
        remote += server != 1
        end_attempt(node, rec, now, i, 0, server, Outcome.OK, 250_000)
    assert remote / 600 >= min_spill * 5 / 6 - 0.05
    assert node.spillover.spill_ratio >= min_spill


def test_unvisited_zones_get_the_best_local_latency_estimate() -> None:
    entries = [ServerEntry(i + 1, zone=i % 2) for i in range(12)]
    node, rec = balancer(entries, cross_zone_price=0.04, instances=12)
    node.spillover.remote_ratio, node.spillover.best_ratio, node.spillover.local_ratio = 5.0, 0.2, 0.6
    for i in range(1, 60):
        node.metrics.close_window(i * 100_000)
    assert node.spillover.remote_ratio < 3.0 and node.spillover.spill_ratio > 0
