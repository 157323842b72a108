"""Tests of slow start under the requests of all processes together: budgets, even shares, little traffic."""

from typing import Any

import pytest
from slow_start import SEC, Fleet, Workload
from support import balancer

WORKLOADS = {
    "little traffic": Workload(
        instances=30, servers=8, restarted=2, new=0, rate=1, load=0.6, burst_factor=1.5
    ),
    "three of ten restarted": Workload(
        instances=30, servers=10, restarted=3, new=0, rate=10, load=0.9, burst_factor=1.5
    ),
    "three restarted and three new": Workload(
        instances=30, servers=8, restarted=3, new=3, rate=10, load=1.2, burst_factor=1.6
    ),
    "half restarted": Workload(
        instances=30, servers=12, restarted=6, new=0, rate=10, load=1.2, burst_factor=1.6
    ),
    "most restarted": Workload(
        instances=30, servers=12, restarted=8, new=0, rate=10, load=1.2, burst_factor=1.6
    ),
    "most restarted, little traffic": Workload(
        instances=20, servers=12, restarted=8, new=0, rate=3, load=1.2, burst_factor=1.6
    ),
    "all restarted": Workload(
        instances=30, servers=8, restarted=8, new=0, rate=10, load=0.9, burst_factor=1.5
    ),
}


@pytest.mark.parametrize("workload", WORKLOADS.values(), ids=list(WORKLOADS))
@pytest.mark.parametrize("seed", [1, 2])
def test_warming_servers_stay_within_their_budget(workload: Workload, seed: int) -> None:
    """Requests that warm servers reject under overload must not raise the rate of warming servers.

    Every warming server still gets requests, and with at least half the servers warm no process is idle.
    """
    fleet = Fleet(workload, seed)
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert all(fleet.arrivals.values())
    if 2 * workload.restarted <= workload.servers:
        assert not fleet.idle_instances


@pytest.mark.parametrize("instances", [1, 2, 3, 5, 10])
@pytest.mark.parametrize(
    "rules",
    [
        pytest.param({"slow_start_share": 0.05, "slow_start_time": 10 * SEC}, id="lower initial capacity"),
        pytest.param({"fall_multiple": 1.5, "fall_time": SEC}, id="smaller overload margin"),
        pytest.param({"warm_servers_hang": True}, id="warm servers hang"),
    ],
)
def test_warming_servers_of_small_fleets_stay_within_budget(instances: int, rules: dict[str, Any]) -> None:
    fleet = Fleet(Workload(instances, 6, 3, 0, 30, 1.2, 1.6, **rules), 1)
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert all(fleet.arrivals.values())


@pytest.mark.parametrize(
    ("warm_rate", "served_rate", "fall_multiple", "rate"),
    [(10, 10, 2.5, 10), (15, 10, 2.5, 15), (60, 10, 2.5, 20), (60, 10, 1.25, 10), (60, 10, 0, 10)],
)
def test_rate_of_warming_servers_uses_the_allowed_multiple(
    warm_rate: int, served_rate: int, fall_multiple: float, rate: float
) -> None:
    """With a lower rate for warming servers, the warm ones would get too many requests during a release."""
    node, _ = balancer(4, fall_multiple=fall_multiple)
    slow_start = node.slow_start
    slow_start.warm_rate, slow_start.served_rate = float(warm_rate), float(served_rate)
    assert slow_start.fair_rate(0) == pytest.approx(rate)


def test_warming_servers_get_requests_while_warm_ones_hang() -> None:
    """Warm servers that do not respond must not keep requests from warming servers that could serve them.

    A quarter of their share suffices, because requests that hang fill the limits of the instances, which
    reject others meanwhile.
    """
    fleet = Fleet(
        Workload(
            instances=30,
            servers=10,
            restarted=5,
            new=0,
            rate=10,
            load=0.5,
            burst_factor=1.0,
            warm_servers_hang=True,
        ),
        1,
    )
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert sum(map(len, fleet.arrivals.values())) >= fleet.fair_share() / 4


@pytest.mark.parametrize("load", [0.3, 0.65])
@pytest.mark.parametrize("servers", [3, 10])
@pytest.mark.parametrize("rate", [1, 5])
def test_no_process_with_little_traffic_rejects_everything(rate: float, servers: int, load: float) -> None:
    """With little traffic and many processes for few servers, no limit may fall below one request."""
    fleet = Fleet(
        Workload(instances=30, servers=servers, restarted=0, new=0, rate=rate, load=load, burst_factor=1.5), 1
    )
    fleet.run()
    assert not fleet.idle_instances
