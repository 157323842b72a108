"""Random plans of how each call to discovery stalls: a change is learned from whichever call is answered.

A plan says for each call how its response comes, and is drawn from a seed. The rule: the node has the change
when a client that makes a call each 2 s from the change on, and gives up none, would have it.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import pytest
from stalling_discovery import (
    DELIVERIES,
    ENDLESS,
    ENDLESS_S,
    Pieces,
    StallingDiscovery,
    deliver_over,
    never_ends,
)
from virtual_time import (
    Connected,
    FakeConnection,
    RestartedDiscovery,
    VirtualTimeLoop,
    list_response,
    start_node,
)

from balancer.net.node import Node

CALL_INTERVAL_S = 2.0
# A node may be held up for this long between reading its clock and writing.
ALLOWANCE_S = 0.15
# A response that comes at all is complete within this time from the call.
MAX_DURATION_S = 9.5
PLANNED_CALLS = 8
# Six calls for a list, beside one of a watch.
MAX_CONNECTIONS = 7
PLANS = 400
MODES = ["push", "ask"]


pytestmark = pytest.mark.usefixtures("production_watch")


def never_begins(data: bytes) -> Pieces:
    """Deliver nothing."""
    yield from ()


def trickles(data: bytes) -> Pieces:
    """Deliver the head of a body, and a byte of it each 4 s of a duration of 400 s."""
    yield ENDLESS, 0.0
    for index in range(1, 100):
        yield b" ", index / 100


DEAD_DELIVERIES = [never_begins, never_ends, trickles]


@dataclass(frozen=True)
class PlannedCall:
    """How the response to a call comes.

    Attributes:
        deliver: How the bytes of the response arrive.
        duration_s: The time from the request until the response is complete; infinite for one that never is.
        connect_s: The time until the connection is established; infinite for one that never is.
        breaks_after_s: The time from the request until discovery closes the connection; infinite for never.
    """

    deliver: Callable[[bytes], Pieces]
    duration_s: float
    connect_s: float = 0.0
    breaks_after_s: float = math.inf

    @property
    def told_after_s(self) -> float:
        """The time from the call until its response is complete; infinite if it never is."""
        return self.connect_s + self.duration_s if self.duration_s < self.breaks_after_s else math.inf

    async def connect(self) -> None:
        """Wait until the connection is established."""
        await asyncio.sleep(min(self.connect_s, ENDLESS_S))

    def respond(self, connection: FakeConnection, data: bytes) -> None:
        """Begin the response."""
        if self.breaks_after_s < ENDLESS_S:
            connection.loop.call_later(self.breaks_after_s, connection.close)
        deliver_over(connection, self.deliver(data), min(self.duration_s, ENDLESS_S))


AT_ONCE = PlannedCall(DELIVERIES[-1], 0.0)


@dataclass(frozen=True)
class Plan:
    """How the responses to calls come, in the order of the calls; those beyond the plan come at once."""

    calls: tuple[PlannedCall, ...]

    def call(self, index: int) -> PlannedCall:
        """Return the plan of a call, counted from 0."""
        return self.calls[index] if index < len(self.calls) else AT_ONCE

    def told_after(self) -> float:
        """Return when a client that makes a call each 2 s and gives up none has the first response."""
        return min(i * CALL_INTERVAL_S + self.call(i).told_after_s for i in range(len(self.calls) + 1))

    def broken_off_count(self) -> int:
        """Return how many of the calls discovery breaks off."""
        return sum(call.breaks_after_s < math.inf for call in self.calls)


def connect_late(rng: Random, call: PlannedCall) -> PlannedCall:
    """Let one connection in two come up late, or never."""
    if rng.random() < 0.5:
        return call
    connect_s = rng.choice([1.5, MAX_DURATION_S, math.inf]) * (1 - rng.random())
    if connect_s < math.inf and call.duration_s < math.inf:
        connect_s = min(connect_s, MAX_DURATION_S - call.duration_s)
    return replace(call, connect_s=connect_s)


def break_off(rng: Random, call: PlannedCall) -> PlannedCall:
    """Let discovery break off most responses: at once, at any time, or when the next call is nearly due."""
    if rng.random() < 0.1:
        return call
    earliest_s, latest_s = rng.choice([(0.0, 0.0), (0.0, MAX_DURATION_S), *[(1.5, CALL_INTERVAL_S)] * 4])
    return replace(call, breaks_after_s=rng.uniform(earliest_s, latest_s))


def stall(rng: Random, call: PlannedCall) -> PlannedCall:
    """Leave a call as it is."""
    return call


Trouble = Callable[[Random, PlannedCall], PlannedCall]
TROUBLES = [stall, connect_late, break_off]


def draw_call(rng: Random, dead_share: float, slow_share: float) -> PlannedCall:
    """Draw a call that is dead, slow or answered within a moment."""
    kind = rng.random()
    if kind < dead_share:
        return PlannedCall(rng.choice(DEAD_DELIVERIES), math.inf)
    duration_s = MAX_DURATION_S if kind < dead_share + slow_share else 0.5
    return PlannedCall(rng.choice(DELIVERIES), duration_s * rng.random())


def draw_plan(seed: int, trouble: Trouble) -> Plan:
    """Draw a plan: calls of any kind, the first ones dead, or one in two dead."""
    rng = Random(seed)
    dead_share = rng.choice([0.0, 0.3, 0.7])
    slow_share = rng.choice([0.2, 0.9]) * (1 - dead_share)
    calls = [draw_call(rng, dead_share, slow_share) for _ in range(PLANNED_CALLS)]
    dead_calls = rng.choice([range(0), range(rng.randrange(1, 4)), range(rng.randrange(2), PLANNED_CALLS, 2)])
    for index in dead_calls:
        calls[index] = draw_call(rng, 1.0, 0.0)
    return Plan(tuple(trouble(rng, call) for call in calls))


class PlannedDiscovery(StallingDiscovery):
    """Discovery whose responses with version 42 follow a plan.

    Args:
        plan: How the responses to calls come.
        changed_at: The time at which the list changes to version 42.
        unplanned_connections: How many connections are established at once before those of the plan.
    """

    def __init__(self, plan: Plan, changed_at: float, unplanned_connections: int = 0) -> None:
        super().__init__(DELIVERIES[-1], 0.0, changed_at)
        self.plan = plan
        self.unplanned_connections = unplanned_connections
        self.planned_times: list[float] = []
        self.planned_calls: dict[FakeConnection, PlannedCall] = {}
        self.connecting: PlannedCall | None = None  # The call whose connection is being established.

    def next_call(self, now: float) -> PlannedCall:
        """Return the plan of the call that begins now."""
        self.planned_times.append(now)
        return self.plan.call(len(self.planned_times) - 1)

    async def connect(self, loop: VirtualTimeLoop, protocol: Any) -> Connected:
        """Establish the connection of a call when its plan says so."""
        if self.unplanned_connections > 0 or loop.time() < self.changed_at:
            self.unplanned_connections -= 1
            return await super().connect(loop, protocol)
        call = self.next_call(loop.time())
        await call.connect()
        # The request is written as soon as the connection is established, before it is known here.
        self.connecting = call
        return await super().connect(loop, protocol)

    def call_on(self, connection: FakeConnection) -> PlannedCall:
        """Return the plan of a call whose request has come, which may begin with it."""
        if connection not in self.planned_calls:
            connecting, self.connecting = self.connecting, None
            self.planned_calls[connection] = connecting or self.next_call(connection.loop.time())
        return self.planned_calls[connection]

    def respond(self, connection: FakeConnection, requested_at: float) -> None:
        """Begin the response that the plan has for this call."""
        self.call_on(connection).respond(connection, list_response(42))


class PlannedRestartedDiscovery(RestartedDiscovery, PlannedDiscovery):
    """Discovery that has restarted its versions, and whose full lists follow a plan."""

    def __init__(self, plan: Plan) -> None:
        PlannedDiscovery.__init__(self, plan, 0, unplanned_connections=1)

    def full_list_requested(self, connection: FakeConnection) -> None:
        """Begin the response that the plan has for this call."""
        self.call_on(connection).respond(connection, list_response(2))


@dataclass
class Run:
    """A node whose discovery follows a plan.

    Attributes:
        version: The version that the plan tells.
        changed_at: The time from which on discovery has it and can be reached.
    """

    loop: VirtualTimeLoop
    node: Node
    discovery: PlannedDiscovery
    version: int
    changed_at: float

    def learn(self) -> float:
        """Run until the node has the version, and return that time; infinite if it is not told in time."""
        learned: asyncio.Future[float] = self.loop.create_future()
        on_list = self.node.discovery.on_list

        def record(server_list: object) -> None:
            on_list(server_list)  # type: ignore[arg-type]
            if self.node.discovery.version == self.version and not learned.done():
                learned.set_result(self.loop.time())

        def give_up() -> None:
            if not learned.done():
                learned.set_result(math.inf)

        self.node.discovery.on_list = record
        self.loop.call_at(self.changed_at + 60, give_up)
        return self.loop.run_until_complete(learned)


def change_during_watch(plan: Plan, mode: str, rng: Random) -> Run:
    """The list changes while a watch is open."""
    changed_at = 1003 + 2 * rng.random()
    discovery = PlannedDiscovery(plan, changed_at)
    loop = VirtualTimeLoop({1: discovery})
    return Run(loop, start_node(loop, mode), discovery, 42, changed_at)


def first_list(plan: Plan, mode: str, rng: Random) -> Run:
    """A new process has no list."""
    loop = VirtualTimeLoop({1: (discovery := PlannedDiscovery(plan, 0))})
    return Run(loop, start_node(loop, mode, known=False), discovery, 42, 1000)


def cached_list(plan: Plan, mode: str, rng: Random) -> Run:
    """A new process, or a replacement, has a cached list, and the list has changed since."""
    loop = VirtualTimeLoop({1: (discovery := PlannedDiscovery(plan, 0))})
    return Run(loop, start_node(loop, mode), discovery, 42, 1000)


def changed_address(plan: Plan, mode: str, rng: Random) -> Run:
    """Discovery moves while calls to its old address have stalled."""
    discovery = PlannedDiscovery(plan, 0)
    loop = VirtualTimeLoop({1: StallingDiscovery(never_ends, ENDLESS_S, 1003), 2: discovery})
    node = start_node(loop, mode)
    loop.run_until_complete(asyncio.sleep(12 * rng.random()))
    node.discovery.change_address(("10.0.0.9", 2))
    return Run(loop, node, discovery, 42, loop.time())


def full_list(plan: Plan, mode: str, rng: Random) -> Run:
    """Discovery has restarted its versions, and the node requests its full list."""
    loop = VirtualTimeLoop({1: (discovery := PlannedRestartedDiscovery(plan))})
    node = start_node(loop, mode)
    while not discovery.planned_times:
        loop.run_until_complete(asyncio.sleep(0.02))
    return Run(loop, node, discovery, 2, discovery.planned_times[0])


PATHS = [change_during_watch, first_list, cached_list, changed_address, full_list]


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("trouble", TROUBLES)
def test_change_is_learned_from_whichever_call_is_answered(
    trouble: Trouble, path: Callable[[Plan, str, Random], Run], mode: str
) -> None:
    """Guards against a response that would have told the node in time, and is given up or not asked for."""
    for seed in range(PLANS):
        plan = draw_plan(seed, trouble)
        run = path(plan, mode, Random(seed))
        told_after = plan.told_after()
        learned_after = run.learn() - run.changed_at
        assert learned_after <= told_after + ALLOWANCE_S, f"seed {seed}"
        assert run.discovery.most_connections <= MAX_CONNECTIONS
        max_calls = 2 + told_after / CALL_INTERVAL_S + plan.broken_off_count()
        assert len(run.discovery.planned_times) <= max_calls
        run.loop.close()
