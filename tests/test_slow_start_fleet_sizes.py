"""Tests of slow start under the requests of all processes together, in fleets of any size."""

import pytest
from slow_start import Fleet, Workload


@pytest.mark.parametrize("instances", [1, 2, 3, 5, 10, 20])
@pytest.mark.parametrize(
    ("servers", "restarted", "rate", "load", "burst_factor"),
    [
        pytest.param(6, 3, 30, 0.9, 4.0, id="burst"),
        pytest.param(6, 3, 30, 2.0, 3.0, id="overload"),
        pytest.param(6, 5, 30, 2.0, 3.0, id="overload with one warm server"),
        pytest.param(6, 6, 30, 2.0, 3.0, id="overload without a warm server"),
        pytest.param(12, 6, 5, 0.5, 8.0, id="little traffic before a large burst"),
        pytest.param(4, 2, 10, 0.6, 1.5, id="few servers"),
    ],
)
def test_warming_servers_stay_within_budget_at_any_fleet_size(
    instances: int, servers: int, restarted: int, rate: float, load: float, burst_factor: float
) -> None:
    """An even share of an overload, several times a warm server's capacity, must not set the rate."""
    fleet = Fleet(Workload(instances, servers, restarted, 0, rate, load, burst_factor), 1)
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert all(fleet.arrivals.values())
