"""Servers in slow start under the sum of what all processes send, in fleets of any size."""

import pytest
from slow_start import Fleet, Workload


@pytest.mark.parametrize("copies", [1, 2, 3, 5, 10, 20])
@pytest.mark.parametrize(
    ("servers", "restarted", "rate", "load", "burst_factor"),
    [
        pytest.param(6, 3, 30, 0.9, 4.0, id="burst"),
        pytest.param(6, 3, 30, 2.0, 3.0, id="overload"),
        pytest.param(6, 5, 30, 2.0, 3.0, id="one warm server in an overload"),
        pytest.param(6, 6, 30, 2.0, 3.0, id="no warm server in an overload"),
        pytest.param(12, 6, 5, 0.5, 8.0, id="thin traffic before a large burst"),
        pytest.param(4, 2, 10, 0.6, 1.5, id="few servers"),
    ],
)
def test_cold_servers_stay_within_their_budget_in_a_fleet_of_any_size(
    copies: int, servers: int, restarted: int, rate: float, load: float, burst_factor: float
) -> None:
    """Failure prevented: an even part of a crowd, several times what a warm server can do, sets the pace."""
    fleet = Fleet(Workload(copies, servers, restarted, 0, rate, load, burst_factor), 1)
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert all(fleet.arrivals.values())
