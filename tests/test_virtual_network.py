"""The virtual network: delays, losses, duplicates, reordering and partitions, repeatable by seed."""

from __future__ import annotations

from random import Random

import pytest

from workbench.explore.virtual_network import Delay, Direction, LinkFaults, VirtualNetwork
from workbench.simulator.heap import HeapClock

DELAY = Delay(mean=1_000, spread=0.5)
DATAGRAMS = 1_000

Network = VirtualNetwork[str, int]
Arrivals = list[tuple[int, str, int]]


def make_network(faults: LinkFaults | None = None, seed: int = 1) -> tuple[Network, Arrivals]:
    """Return a network with endpoints a and b in site west and c in site east, and the list of arrivals."""
    arrivals: Arrivals = []
    network: Network = VirtualNetwork(HeapClock(0), Random(seed), lambda source, to: DELAY, faults)
    for address, site in (("a", "west"), ("b", "west"), ("c", "east")):
        network.attach(
            address, lambda source, payload: arrivals.append((network.clock.now, source, payload)), site
        )
    return network, arrivals


def send_all(network: Network, source: str = "a", to: str = "b") -> None:
    for payload in range(DATAGRAMS):
        network.send(source, to, payload)
    network.run(1.0)


def test_datagrams_arrive_within_the_spread_of_the_delay() -> None:
    network, arrivals = make_network()
    send_all(network)
    assert sorted(payload for _, _, payload in arrivals) == list(range(DATAGRAMS))
    times = [at for at, _, _ in arrivals]
    assert 750 <= min(times) < 800
    assert 1_200 < max(times) <= 1_250


def test_same_seed_gives_the_same_arrivals() -> None:
    faults = LinkFaults(loss=0.1, duplication=0.1, max_reordering_delay=5_000)
    runs = []
    for _ in range(2):
        network, arrivals = make_network(faults, seed=7)
        send_all(network)
        runs.append(arrivals)
    assert runs[0] == runs[1]


@pytest.mark.parametrize(
    ("faults", "minimum", "maximum"),
    [
        (LinkFaults(), DATAGRAMS, DATAGRAMS),
        (LinkFaults(loss=0.0), DATAGRAMS, DATAGRAMS),
        (LinkFaults(loss=1.0), 0, 0),
        (LinkFaults(loss=0.2), 750, 850),
        (LinkFaults(duplication=0.2), 1_150, 1_250),
        (LinkFaults(duplication=1.0), 2 * DATAGRAMS, 2 * DATAGRAMS),
    ],
)
def test_losses_and_duplicates_match_their_probabilities(
    faults: LinkFaults, minimum: int, maximum: int
) -> None:
    network, arrivals = make_network(faults)
    send_all(network)
    assert minimum <= len(arrivals) <= maximum


def test_reordering_delay_is_added_up_to_its_maximum() -> None:
    network, arrivals = make_network(LinkFaults(max_reordering_delay=50_000))
    send_all(network)
    times = [at for at, _, _ in arrivals]
    assert len(arrivals) == DATAGRAMS
    assert 40_000 < max(times) <= 51_250


def test_partition_separates_sites_both_ways_until_healed() -> None:
    network, arrivals = make_network()
    network.partition({"west"})
    for source, to in (("a", "b"), ("a", "c"), ("c", "a")):
        network.send(source, to, 1)
    network.run(1.0)
    assert [source for _, source, _ in arrivals] == ["a"]
    assert network.connected("a", "b")
    assert not network.connected("a", "c")
    network.heal()
    assert network.connected("a", "c")


@pytest.mark.parametrize(
    ("direction", "arrived"),
    [(Direction.BOTH, []), (Direction.OUTGOING, [2]), (Direction.INCOMING, [1])],
)
def test_partition_drops_datagrams_in_its_direction_only(direction: Direction, arrived: list[int]) -> None:
    network, arrivals = make_network()
    network.partition({"west"}, direction)
    network.send("a", "c", 1)
    network.send("c", "a", 2)
    network.run(1.0)
    assert [payload for _, _, payload in arrivals] == arrived


def test_partitions_are_healed_individually() -> None:
    network, _ = make_network()
    first = network.partition({"west"})
    second = network.partition({"east"}, Direction.OUTGOING)
    network.heal(first)
    assert network.connected("a", "c") and not network.connected("c", "a")
    network.heal(second)
    assert network.connected("c", "a")


def test_loopback_datagram_is_never_lost_and_draws_nothing() -> None:
    network, arrivals = make_network(LinkFaults(loss=1.0, max_reordering_delay=50_000))
    before = network.rng.getstate()
    network.send("a", "a", 1)
    network.run(1.0)
    assert arrivals == [(1, "a", 1)]
    assert network.rng.getstate() == before


def test_run_next_handles_one_instant_up_to_the_end() -> None:
    network, _ = make_network()
    calls: list[int] = []
    for at in (10, 10, 20):
        network.clock.call_at(at, calls.append, at)
    assert network.run_next(end=19) and calls == [10, 10] and network.clock.now == 10
    assert not network.run_next(end=19) and calls == [10, 10]
    assert network.run_next(end=20) and calls == [10, 10, 20]
    assert not network.run_next(end=100)


def test_block_drops_datagrams_one_way_only() -> None:
    network, arrivals = make_network()
    network.block("west", "east")
    network.send("a", "c", 1)
    network.send("c", "a", 2)
    network.run(1.0)
    assert [payload for _, _, payload in arrivals] == [2]


def test_address_without_a_site_forms_its_own_site() -> None:
    network, _ = make_network()
    network.attach("d", lambda source, payload: None)
    network.partition({"d"})
    assert not network.connected("a", "d")
    assert network.connected("a", "c")


def test_datagrams_to_a_closed_endpoint_are_dropped() -> None:
    network, arrivals = make_network()
    network.send("a", "b", 1)
    network.detach("b")
    network.run(1.0)
    assert arrivals == []
    assert not network.is_attached("b")


def test_detach_with_a_receiver_closes_only_its_own_endpoint() -> None:
    network, arrivals = make_network()
    first: Arrivals = []

    def receive_first(source: str, payload: int) -> None:
        first.append((network.clock.now, source, payload))

    network.detach("b", receive_first)
    assert network.is_attached("b")
    network.attach("b", receive_first)
    network.send("a", "b", 1)
    network.run(1.0)
    network.detach("b", receive_first)
    assert len(first) == 1 and arrivals == []
    assert not network.is_attached("b")


def test_run_until_ends_at_the_condition_or_the_limit() -> None:
    network, arrivals = make_network()
    network.send("a", "b", 1)
    waited = network.run_until(lambda: bool(arrivals), limit_s=2.0)
    assert (waited.seconds, waited.holds) == (0.25, True)
    waited = network.run_until(lambda: len(arrivals) > 1, limit_s=2.0)
    assert (waited.seconds, waited.holds) == (2.0, False)
