"""Late responses of discovery, which stall once begun or come after a time: changes are learned in time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest
from stalling_discovery import (
    DELIVERIES,
    ENDLESS,
    ENDLESS_DELIVERIES,
    ENDLESS_S,
    STALLING_DELIVERIES,
    Pieces,
    StallingDiscovery,
    deliver_over,
    never_ends,
)
from virtual_time import (
    FakeConnection,
    FakeDiscovery,
    RestartedDiscovery,
    VirtualTimeLoop,
    list_response,
    start_node,
)

from balancer.net.discovery.hedged_call import MAX_CALLS_IN_FLIGHT
from balancer.net.node import Node

# The time limit for a change, from when discovery has it and can be reached.
MAX_DELAY_S = 6.0
# The time limit for a change at a new address, from the SIGHUP.
MAX_DELAY_AFTER_RELOAD_S = 4.0
# Time for which a node watches an unchanged list before a test changes it.
CALM_S = 5.0
# The node makes a call each 2 s while responses are late, so that one of them brings a change within the 6 s.
CALL_INTERVAL_S = 2.0
MODES = ["push", "ask"]


pytestmark = pytest.mark.usefixtures("production_watch")


def run_until(loop: VirtualTimeLoop, condition: Callable[[], bool], deadline: float) -> None:
    """Run the loop until the condition holds, and fail at the deadline."""

    async def wait() -> None:
        while not condition():
            assert loop.time() < deadline, "too late"
            await asyncio.sleep(0.02)

    loop.run_until_complete(wait())


def run_until_version(loop: VirtualTimeLoop, node: Node, version: int, deadline: float) -> None:
    """Run the loop until the node has this version of the list, and fail at the deadline."""
    run_until(loop, lambda: node.discovery.version == version, deadline)


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("duration_s", [0.8, 2.0, 2.5, 3.5, 5.0])
@pytest.mark.parametrize("deliver", DELIVERIES)
def test_change_in_stalled_responses_arrives_in_time(
    deliver: Callable[[bytes], Pieces], duration_s: float, mode: str
) -> None:
    """Guards against a node that cuts off every response with a change and keeps its old list (review/3)."""
    for seed in range(10):
        changed_at = 1000 + CALM_S + 2 * Random(seed).random()
        discovery = StallingDiscovery(deliver, duration_s, changed_at)
        loop = VirtualTimeLoop({1: discovery})
        node = start_node(loop, mode)
        run_until_version(loop, node, 42, changed_at + MAX_DELAY_S)
        # One call, and another for each interval that the response takes.
        assert discovery.most_connections <= 1 + duration_s // CALL_INTERVAL_S
        loop.run_until_complete(asyncio.sleep(3))
        assert discovery.open_connections() == 1  # A call that is no longer needed ends.
        loop.close()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("deliver", STALLING_DELIVERIES)
def test_change_arrives_even_if_each_response_takes_longer_than_the_limit(
    deliver: Callable[[bytes], Pieces], mode: str
) -> None:
    """Guards against a node that never learns of a change while discovery is slower than any limit."""
    changed_at = 1000 + CALM_S
    loop = VirtualTimeLoop({1: StallingDiscovery(deliver, 20.0, changed_at)})
    node = start_node(loop, mode)
    run_until_version(loop, node, 42, changed_at + 21)
    loop.close()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("deliver", DELIVERIES)
def test_crowded_discovery_is_not_called_again_while_it_handles_a_call(
    deliver: Callable[[bytes], Pieces], mode: str
) -> None:
    """Guards against nodes that keep discovery crowded by calls in place of those that it is about to answer.

    Discovery takes 2 s for each call that begins a watch, as it does while many nodes begin theirs.
    """
    for seed in range(10):
        changed_at = 1000 + CALM_S + 2 * Random(seed).random()
        discovery = StallingDiscovery(deliver, 2.05, changed_at)
        loop = VirtualTimeLoop({1: discovery})
        node = start_node(loop, mode)
        run_until_version(loop, node, 42, changed_at + MAX_DELAY_S)
        assert discovery.most_connections == 1
        loop.close()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("dead_calls", [1, 2])
@pytest.mark.parametrize("deliver", ENDLESS_DELIVERIES)
def test_change_arrives_in_time_after_calls_that_never_end(
    deliver: Callable[[bytes], Pieces], dead_calls: int, mode: str
) -> None:
    """Guards against waiting for a response that has begun on a connection that is dead, or without end."""
    for seed in range(20):
        changed_at = 1000 + CALM_S + 2 * Random(seed).random()
        loop = VirtualTimeLoop({1: StallingDiscovery(deliver, ENDLESS_S, changed_at, dead_calls)})
        node = start_node(loop, mode)
        run_until_version(loop, node, 42, changed_at + MAX_DELAY_S)
        loop.close()


class DeadThenSlowDiscovery(StallingDiscovery):
    """Discovery whose first response with version 42 never ends; all others last for some time."""

    def respond(self, connection: FakeConnection, requested_at: float) -> None:
        """Begin a response."""
        if self.slow_requests > 0:
            self.slow_requests = 0
            connection.deliver(ENDLESS)
            return
        self.slow_requests = 1
        super().respond(connection, requested_at)
        self.slow_requests = 0


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("deliver", DELIVERIES)
def test_second_call_may_be_late_too(deliver: Callable[[bytes], Pieces], mode: str) -> None:
    """Guards against second calls that are cut off one after the other while the first one is dead."""
    for seed in range(10):
        changed_at = 1000 + CALM_S + 2 * Random(seed).random()
        loop = VirtualTimeLoop({1: DeadThenSlowDiscovery(deliver, 2.6, changed_at, 1)})
        node = start_node(loop, mode)
        run_until_version(loop, node, 42, changed_at + MAX_DELAY_S)
        loop.close()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("deliver", ENDLESS_DELIVERIES)
def test_responses_without_end_are_bounded_in_calls_and_connections(
    deliver: Callable[[bytes], Pieces], mode: str
) -> None:
    """Guards against ever more connections to a discovery service that finishes no response."""
    discovery = StallingDiscovery(deliver, ENDLESS_S, 1000 + CALM_S)
    loop = VirtualTimeLoop({1: discovery})
    start_node(loop, mode)
    loop.run_until_complete(asyncio.sleep(CALM_S + 120))
    assert discovery.most_connections <= MAX_CALLS_IN_FLIGHT
    assert sum(t > 1000 + CALM_S for t in discovery.request_times) <= 120 / CALL_INTERVAL_S
    loop.close()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("deliver", ENDLESS_DELIVERIES)
def test_change_arrives_in_time_once_responses_end_again(
    deliver: Callable[[bytes], Pieces], mode: str
) -> None:
    """Guards against a call that has begun and keeps discovery's recovery from being noticed."""
    for seed in range(20):
        rng = Random(seed)
        recovers_at = 1000 + rng.choice([2, 8, 40]) * rng.random()
        discovery = StallingDiscovery(deliver, ENDLESS_S, 0)
        loop = VirtualTimeLoop({1: discovery})
        node = start_node(loop, mode)
        loop.call_at(recovers_at, setattr, discovery, "slow_requests", 0)
        run_until_version(loop, node, 42, recovers_at + MAX_DELAY_S)
        loop.close()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("duration_s", [0.8, 2.5, 3.5])
@pytest.mark.parametrize("deliver", DELIVERIES)
def test_stalled_responses_at_new_address_arrive_in_time(
    deliver: Callable[[bytes], Pieces], duration_s: float, mode: str
) -> None:
    """Guards against cutting off the responses of a new address after SIGHUP, where the limit is shorter."""
    for seed in range(10):
        # A call to the old address has stalled in most runs, and that of the new one begins anew.
        old = StallingDiscovery(never_ends, ENDLESS_S, 1000 + CALM_S)
        loop = VirtualTimeLoop({1: old, 2: StallingDiscovery(deliver, duration_s, 0)})
        node = start_node(loop, mode)
        loop.run_until_complete(asyncio.sleep(CALM_S + 8 * Random(seed).random()))
        reloaded_at = loop.time()
        node.discovery.change_address(("10.0.0.9", 2))
        run_until_version(loop, node, 42, reloaded_at + MAX_DELAY_AFTER_RELOAD_S)
        loop.run_until_complete(asyncio.sleep(3))
        assert old.open_connections() == 0
        loop.close()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("deliver", ENDLESS_DELIVERIES)
def test_call_that_never_ends_at_new_address_is_replaced_in_time(
    deliver: Callable[[bytes], Pieces], mode: str
) -> None:
    """Guards against waiting for a response that has begun at a new address, where the limit is shorter."""
    for seed in range(10):
        new = StallingDiscovery(deliver, ENDLESS_S, 0, slow_requests=1)
        loop = VirtualTimeLoop({1: FakeDiscovery("silent", 2000), 2: new})
        node = start_node(loop, mode)
        loop.run_until_complete(asyncio.sleep(8 * Random(seed).random()))
        reloaded_at = loop.time()
        node.discovery.change_address(("10.0.0.9", 2))
        run_until_version(loop, node, 42, reloaded_at + MAX_DELAY_AFTER_RELOAD_S)
        loop.close()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("duration_s", [0.8, 2.5, 5.0])
@pytest.mark.parametrize("deliver", DELIVERIES)
def test_stalled_first_list_arrives_in_time(
    deliver: Callable[[bytes], Pieces], duration_s: float, mode: str
) -> None:
    """Guards against a new process without a cached list that never becomes ready."""
    loop = VirtualTimeLoop({1: StallingDiscovery(deliver, duration_s, 0)})
    node = start_node(loop, mode, known=False)
    run_until(loop, lambda: node.lifecycle.is_serving, 1000 + MAX_DELAY_S)
    loop.close()


class SlowRestartedDiscovery(RestartedDiscovery):
    """Discovery that has restarted its versions, and whose full lists take 3.5 s.

    Args:
        deliver: How the bytes of a full list arrive.
    """

    def __init__(self, deliver: Callable[[bytes], Pieces]) -> None:
        super().__init__("none", 0)
        self.deliver = deliver

    def full_list_requested(self, connection: FakeConnection) -> None:
        """Begin the response."""
        deliver_over(connection, self.deliver(list_response(2)), 3.5)


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("deliver", DELIVERIES)
def test_stalled_full_list_after_restart_of_discovery_arrives(
    deliver: Callable[[bytes], Pieces], mode: str
) -> None:
    """Guards against cutting off every response to a request for the full list.

    Two old responses, after 1.4 s, tell of the restart; the full list then takes 3.5 s.
    """
    loop = VirtualTimeLoop({1: SlowRestartedDiscovery(deliver)})
    node = start_node(loop, mode)
    run_until_version(loop, node, 2, 1000 + MAX_DELAY_S)
    loop.close()


class GarblingDiscovery(StallingDiscovery):
    """Discovery whose first response with version 42 stalls; all others are invalid."""

    def respond(self, connection: FakeConnection, requested_at: float) -> None:
        """Begin the first response, or send an invalid one."""
        if self.slow_requests > 0:
            super().respond(connection, requested_at)
        else:
            connection.deliver(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("deliver", DELIVERIES)
def test_invalid_second_response_does_not_end_stalled_call(
    deliver: Callable[[bytes], Pieces], mode: str
) -> None:
    """Guards against giving up a stalled response for one that cannot be used."""
    changed_at = 1000 + CALM_S
    loop = VirtualTimeLoop({1: GarblingDiscovery(deliver, 5.0, changed_at, slow_requests=1)})
    node = start_node(loop, mode)
    run_until_version(loop, node, 42, changed_at + MAX_DELAY_S)
    loop.close()
