"""Tests of the gradient controller against limits computed by hand."""

from math import sqrt
from random import Random

import pytest

from balancer.policy.gradient import (
    MIN_LIMIT,
    MIN_RECALCULATION_REQUESTS,
    MIN_WINDOW_SAMPLES,
    REQUESTS_PER_IDLE_MEMBER,
    SAMPLE_WINDOW_US,
    GradientController,
    percentile,
)


def controller(allowance: int = 100_000, members: int = 5, **state) -> GradientController:
    c = GradientController([allowance], 1000, Random(1), 0)
    c.resize(members, 1)
    for name, value in state.items():
        assert hasattr(c, name)
        setattr(c, name, value)
    return c


def run_recalculation(c: GradientController, rtt: int, now: int) -> None:
    """Record responses of one latency until the recalculation ends, the last of them at its earliest end."""
    for _ in range(c.requests_to_measure):
        c.sample(now, 0, rtt)
    c.sample(c.earliest_recalculation_end, 0, rtt)
    assert not c.recalculating


def after_recalculation(rtt: int = 100_000, allowance: int = 100_000, **state) -> GradientController:
    c = controller(allowance)
    run_recalculation(c, rtt, 1000)
    c.window.start = 1000
    for name, value in state.items():
        assert hasattr(c, name)
        setattr(c, name, value)
    return c


def fill(c: GradientController, latency: int, start: int = 1000, samples: int = MIN_WINDOW_SAMPLES) -> None:
    for i in range(samples):
        c.sample(start + (i + 1) * SAMPLE_WINDOW_US // samples, 0, latency)


def test_percentile_is_nearest_rank():
    assert percentile([5.0, 1.0, 4.0, 2.0, 3.0, 6.0, 7.0, 8.0, 9.0, 10.0], 0.9) == 9.0
    assert percentile([3.0], 0.9) == 3.0


def test_start_begins_recalculation_at_its_low_limit():
    c = controller(members=5)
    assert c.recalculating and c.allowed() == 5 * REQUESTS_PER_IDLE_MEMBER
    assert controller(members=1).allowed() == REQUESTS_PER_IDLE_MEMBER


def test_recalculation_under_full_traffic_rejects_few_requests():
    """Servers of an upper tier have several requests in flight that wait for the tiers behind them.

    With a limit of three requests for each server, 40 % were rejected for three seconds. Here two instances
    send 20 requests a second each to four servers with a round-trip time of 700 ms, which makes 14 attempts
    in flight without a limit.
    """
    c = controller(allowance=1_250_000, members=4)
    c.resize(4, 2)
    end_times: list[int] = []
    rejected = 0
    for now in range(1_000_000, 3_000_000, 50_000):
        while end_times and end_times[0] <= now:
            c.record_in_flight(end_times[0], -1)
            c.sample(end_times.pop(0), 0, 700_000)
        if c.admits(now, 0):
            c.record_in_flight(now, 1)
            end_times.append(now + 700_000)
        else:
            rejected += 1
    assert c.recalculating and rejected <= 2


def test_recalculation_sets_min_rtt_to_p90_of_its_samples():
    c = controller(members=5)
    count = c.requests_to_measure
    assert count <= MIN_RECALCULATION_REQUESTS
    for i in range(count):
        c.sample(c.earliest_recalculation_end if i == count - 1 else 1000, 0, 1000 * (i + 1))
    assert not c.recalculating
    assert c.min_rtt[0] == 1000 * (count * 9 // 10)


def test_recalculation_waits_for_slow_requests():
    """A recalculation that ends at its last response has measured only short requests: min_rtt is too low."""
    c = controller(members=5)
    for _ in range(200):
        c.sample(c.earliest_recalculation_end - 1, 0, 1000)
    assert c.recalculating


def test_recalculation_with_few_samples_ends_by_time():
    c = controller()
    c.sample(10, 0, 500)
    c.sample(20, 0, 700)
    c.sample(c.earliest_recalculation_end + 3 * 10 * SAMPLE_WINDOW_US, 0, 600)
    assert not c.recalculating and c.min_rtt[0] == 700


def test_limit_follows_gradient_and_square_root_headroom():
    # With min_rtt 100 ms, a buffer of 25 % and a window p90 of 250 ms, the gradient is 0.5 and the limit
    # 0.5 x 36 + 6 = 24.
    c = after_recalculation(limit=36.0, in_flight=30, sustained_in_flight=20.0)
    fill(c, 250_000)
    assert c.gradient == pytest.approx(0.5)
    assert c.limit == pytest.approx(24.0)


def test_limit_grows_while_latency_is_good():
    # A p90 of 125 ms equals min_rtt + buffer: the gradient is 1 and the limit 36 + 6.
    c = after_recalculation(limit=36.0, in_flight=30, sustained_in_flight=20.0)
    fill(c, 125_000)
    assert c.limit == pytest.approx(42.0)


def test_limit_is_bounded_by_attempts_in_flight():
    c = after_recalculation(limit=100.0, in_flight=20, sustained_in_flight=20.0)
    fill(c, 125_000)
    assert c.limit == pytest.approx(2 * 20 + MIN_LIMIT)


@pytest.mark.parametrize("instances", [7, 40])
def test_sum_of_limits_of_many_instances_is_bounded(instances):
    """After some seconds of good latency the limits of all instances would admit forty requests a server."""
    fleet = [controller(1000 * SAMPLE_WINDOW_US, members=10) for _ in range(instances)]
    # All instances together have twelve attempts in flight for each server.
    in_flight = 120 / instances
    for c in fleet:
        c.resize(10, instances)
        run_recalculation(c, SAMPLE_WINDOW_US, 1000)
        c.in_flight = int(in_flight)
        for window in range(40):
            fill(c, SAMPLE_WINDOW_US, start=c.earliest_recalculation_end + window * SAMPLE_WINDOW_US)
    total = sum(c.limit for c in fleet)
    assert (
        120
        < total
        < 1 + max(10 * REQUESTS_PER_IDLE_MEMBER * sqrt(instances), 2 * 120 + MIN_LIMIT * instances)
    )
    single_instance = controller(1000 * SAMPLE_WINDOW_US, members=10)
    run_recalculation(single_instance, SAMPLE_WINDOW_US, 1000)
    for window in range(40):
        fill(
            single_instance,
            SAMPLE_WINDOW_US,
            start=single_instance.earliest_recalculation_end + window * SAMPLE_WINDOW_US,
        )
    assert single_instance.limit == 10 * REQUESTS_PER_IDLE_MEMBER


def test_instances_that_share_servers_share_floor_and_headroom():
    """With a minimum of three requests each, hundreds of instances would keep every server overloaded."""
    c = after_recalculation(limit=4.0)
    c.resize(4, 36.0)
    assert c.floor == pytest.approx(4 * MIN_LIMIT / 36) and c.headroom() == pytest.approx(2 / 6)
    c.resize(4, 9.0)
    assert c.min_rtt_limit == 4 * REQUESTS_PER_IDLE_MEMBER / 3


def test_busy_instance_keeps_full_headroom():
    """A few busy instances observe the overload they cause; a shared headroom would grow too slowly."""
    c = after_recalculation(limit=16.0, sustained_in_flight=8.0)
    c.resize(4, 9.0)
    assert (
        c.instances_per_server == 1
        and c.headroom() == 4.0
        and c.min_rtt_limit == 4 * REQUESTS_PER_IDLE_MEMBER
    )


def test_small_shared_limit_is_compared_with_mean_in_flight():
    """Two requests at once by chance are no overload if on average half a request is in flight."""
    c = after_recalculation(limit=1.5, in_flight=0)
    c.resize(4, 1000.0)
    # Two requests at once for 100 ms of each 400 ms have a mean of a half.
    for i in range(40):
        c.record_in_flight(i * 400_000, 2)
        assert c.admits(i * 400_000 + 50_000, 0)
        c.record_in_flight(i * 400_000 + 100_000, -2)
    c.record_in_flight(20_000_000, 2)
    assert not c.admits(23_000_000, 0)
    single_instance = after_recalculation(limit=1.5, in_flight=0)
    single_instance.record_in_flight(0, 2)
    # An instance that shares no server compares the current number, as in Envoy.
    assert not single_instance.admits(50_000, 0)


def test_window_with_few_samples_moves_limit_proportionally():
    """At one request a second a window's percentile is that of one request, which could halve the limit."""
    c = after_recalculation(limit=16.0, in_flight=16, sustained_in_flight=8.0)
    c.sample(1000 + 10 * SAMPLE_WINDOW_US, 0, 250_000)
    full_weight_limit = 0.5 * 16 + 4
    assert c.limit == pytest.approx(16 + (full_weight_limit - 16) / 8)


def test_buffer_extends_to_share_of_latency_objective():
    # With min_rtt + buffer = 500 ms, a p90 of 400 ms does not lower the limit.
    c = after_recalculation(allowance=500_000, limit=36.0, in_flight=30, sustained_in_flight=20.0)
    fill(c, 400_000)
    assert c.gradient == pytest.approx(1.25)


def test_empty_window_changes_nothing_and_small_one_waits():
    c = after_recalculation(limit=36.0, in_flight=30, sustained_in_flight=20.0)
    c.close_window(50 * SAMPLE_WINDOW_US)
    assert c.limit == 36.0
    c.sample(SAMPLE_WINDOW_US // 2, 0, 250_000)
    assert c.limit == 36.0
    c.sample(1000 + 10 * SAMPLE_WINDOW_US, 0, 250_000)
    assert c.limit == pytest.approx(36 + (24 - 36) * 2 / 8)


def test_five_windows_at_the_floor_start_a_recalculation():
    c = after_recalculation(limit=6.0, in_flight=3)
    start = 1000
    for _ in range(20):
        if c.recalculating:
            break
        fill(c, 1_000_000, start)
        start += SAMPLE_WINDOW_US
    assert c.recalculating and c.limit == c.floor


def test_windows_at_sustained_limit_start_no_recalculation():
    """Any overload lowers the limit to the sustained level; recalculations would follow one another."""
    c = after_recalculation(limit=50.0, in_flight=40, sustained_in_flight=40.0)
    for i in range(20):
        fill(c, 1_000_000, 1000 + i * SAMPLE_WINDOW_US)
    assert c.limit == pytest.approx(40.0) and not c.recalculating


def test_recalculation_recurs_with_jitter_and_keeps_limit():
    c = after_recalculation(limit=36.0, in_flight=30, sustained_in_flight=20.0)
    assert 60_000_000 <= c.next_recalculation_at - 1000 <= 66_000_000
    fill(c, 125_000, c.next_recalculation_at)
    assert c.recalculating and c.allowed() == 5 * REQUESTS_PER_IDLE_MEMBER
    run_recalculation(c, 100_000, c.next_recalculation_at + 1)
    # The window was closed by a single sample.
    assert c.allowed() == pytest.approx(36 + (42 - 36) / 8)


def test_classes_are_sampled_relative_to_their_own_min_rtt():
    c = GradientController([10_000, 100_000], 1000, Random(1), 0)
    c.resize(5, 1)
    for i in range(c.requests_to_measure + 1):
        c.sample(
            1000 if c.requests_to_measure > 0 else c.earliest_recalculation_end,
            i % 2,
            100_000 if i % 2 else 10_000,
        )
    assert not c.recalculating
    c.window.start = 1000
    c.limit, c.in_flight = 36.0, 30
    for i in range(MIN_WINDOW_SAMPLES):
        c.sample(1000 + SAMPLE_WINDOW_US, i % 2, 125_000 if i % 2 else 12_500)
    assert c.gradient == pytest.approx(1.0)


def test_limit_stays_at_sustained_level_when_all_is_slow():
    """When all servers are slow at once, a lower limit makes none of them faster."""
    c = after_recalculation(limit=36.0, in_flight=30, sustained_in_flight=20.0)
    start = 1000
    for _ in range(300):
        fill(c, 125_000, start)
        start += SAMPLE_WINDOW_US
        c.in_flight = 30
    assert c.sustained_in_flight > 28
    for _ in range(40):
        if c.recalculating:
            run_recalculation(c, 300_000, start)
            start = c.earliest_recalculation_end
        fill(c, 300_000, start)
        start += SAMPLE_WINDOW_US
    assert c.limit == pytest.approx(c.sustained_in_flight)


def test_target_of_min_rtt_measured_under_load_is_capped():
    c = after_recalculation(rtt=900_000, allowance=500_000)
    assert c.target[0] == 750_000


def test_sustained_in_flight_follows_quickly_after_start():
    """An instance that starts under full traffic would otherwise reject half of it for seconds.

    The sustained attempts in flight follow within two round-trips until a window is above target.
    """
    c = after_recalculation(allowance=200_000, limit=100.0, in_flight=80)
    # A window of 100 ms is half of two round-trips of 100 ms.
    fill(c, 100_000)
    assert c.sustained_in_flight == pytest.approx(40.0)
    fill(c, 300_000, start=1000 + SAMPLE_WINDOW_US)
    c.in_flight = 80
    # After a window above target the time constant is three seconds.
    fill(c, 100_000, start=1000 + 2 * SAMPLE_WINDOW_US)
    assert c.sustained_in_flight == pytest.approx(40 + 40 / 30, rel=0.01)


def test_startup_ends_when_the_limit_does_not_bind():
    c = after_recalculation(allowance=200_000, limit=100.0, in_flight=20)
    fill(c, 100_000)
    assert not c.starting_up and c.sustained_in_flight == pytest.approx(10.0)


@pytest.mark.parametrize(("loss_rate", "sustained"), [(0.0, 40.0), (0.2, 40 * (1 - 1 / 120))])
def test_sustained_in_flight_decays_only_on_losses(loss_rate, sustained):
    """Overloaded servers recover under less load; if requests are only late, a lower limit does not help."""
    c = after_recalculation(limit=40.0, in_flight=39, sustained_in_flight=40.0, loss_rate=loss_rate)
    fill(c, 1_000_000)
    assert c.sustained_in_flight == pytest.approx(sustained)


def test_minimum_limit_falls_with_success_rate():
    """When servers of a tier behind are lost, the sustained level is suddenly far too high."""
    c = after_recalculation(limit=40.0, in_flight=39, sustained_in_flight=40.0, loss_rate=0.5)
    fill(c, 1_000_000)
    assert c.limit == pytest.approx(0.5 * 40 + sqrt(40))


def test_sustained_in_flight_is_kept_while_the_limit_binds():
    c = after_recalculation(limit=20.0, in_flight=19, sustained_in_flight=50.0)
    fill(c, 50_000)
    assert c.sustained_in_flight == 50.0
    c.in_flight = 2
    fill(c, 50_000, start=1000 + SAMPLE_WINDOW_US)
    assert c.sustained_in_flight < 50.0


def test_one_sample_does_not_close_a_window():
    c = after_recalculation(limit=20.0, in_flight=5, sustained_in_flight=15.0)
    c.sample(1000 + SAMPLE_WINDOW_US, 0, 10_000_000)
    assert c.limit == 20.0 and len(c.window.rtts) == 1
