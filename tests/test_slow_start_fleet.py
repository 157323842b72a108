"""Servers in slow start under the sum of what all processes send: budgets, fair shares, quiet fleets."""

from typing import Any

import pytest
from slow_start import SEC, Fleet, Workload
from support import balancer

WORKLOADS = {
    "thin": Workload(instances=30, servers=8, restarted=2, new=0, rate=1, load=0.6, burst_factor=1.5),
    "three in ten back": Workload(
        instances=30, servers=10, restarted=3, new=0, rate=10, load=0.9, burst_factor=1.5
    ),
    "as many join": Workload(
        instances=30, servers=8, restarted=3, new=3, rate=10, load=1.2, burst_factor=1.6
    ),
    "half of them": Workload(
        instances=30, servers=12, restarted=6, new=0, rate=10, load=1.2, burst_factor=1.6
    ),
    "most of them": Workload(
        instances=30, servers=12, restarted=8, new=0, rate=10, load=1.2, burst_factor=1.6
    ),
    "most of them, thin": Workload(
        instances=20, servers=12, restarted=8, new=0, rate=3, load=1.2, burst_factor=1.6
    ),
    "all of them": Workload(instances=30, servers=8, restarted=8, new=0, rate=10, load=0.9, burst_factor=1.5),
}


@pytest.mark.parametrize("workload", WORKLOADS.values(), ids=list(WORKLOADS))
@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_keeps_cold_servers_within_their_budget(workload: Workload, seed: int) -> None:
    """Failure prevented: what warm servers are sent in a crowd, and turn away, sets the pace of the cold."""
    fleet = Fleet(workload, seed)
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert all(fleet.arrivals.values())  # it ramps up all the same
    if 2 * workload.restarted <= workload.servers:  # as on the days on which idle processes count
        assert not fleet.idle_instances


@pytest.mark.parametrize("copies", [1, 2, 3, 5, 10])
@pytest.mark.parametrize(
    "rules",
    [
        pytest.param({"slow_start_share": 0.05, "slow_start_time": 10 * SEC}, id="colder"),
        pytest.param({"fall_multiple": 1.5, "fall_time": SEC}, id="closer"),
        pytest.param({"warm_servers_hang": True}, id="warm servers hang"),
    ],
)
def test_cold_servers_of_a_small_fleet_stay_within_other_budgets(copies: int, rules: dict[str, Any]) -> None:
    fleet = Fleet(Workload(copies, 6, 3, 0, 30, 1.2, 1.6, **rules), 1)
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert all(fleet.arrivals.values())


@pytest.mark.parametrize(
    ("sent", "answered", "multiple", "rate"),
    [(10, 10, 2.5, 10), (15, 10, 2.5, 15), (60, 10, 2.5, 20), (60, 10, 1.25, 10), (60, 10, 0, 10)],
)
def test_the_pace_of_cold_servers_uses_what_the_rules_allow_and_no_more(
    sent: int, answered: int, multiple: float, rate: float
) -> None:
    """Failure prevented: it is bound so closely that during a release the warm servers carry too much."""
    node, _ = balancer(4, fall_multiple=multiple)
    slow_start = node.slow_start
    slow_start.warm_rate, slow_start.served_rate = float(sent), float(answered)
    assert slow_start.fair_rate(0) == pytest.approx(rate)


def test_cold_servers_get_their_share_while_the_warm_ones_hang() -> None:
    """Failure prevented: warm servers that answer nothing keep the cold ones, which could, from any call.

    A quarter of their share is enough: calls that hang fill the limits of the copies, which refuse meanwhile.
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
def test_no_process_of_a_quiet_fleet_rejects_everything(rate: float, servers: int, load: float) -> None:
    """Where traffic is thin and many processes share few servers, no limit falls so low that none passes."""
    fleet = Fleet(
        Workload(instances=30, servers=servers, restarted=0, new=0, rate=rate, load=load, burst_factor=1.5), 1
    )
    fleet.run()
    assert not fleet.idle_instances
