"""Baselines that know the servers' true state, present or stale.

No node can know it; they bound what any selection could reach.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from balancer.policy.interface import Actions, Settings
from workbench.baselines.base import Baseline
from workbench.model.site import World

MAX_SAMPLED_SERVERS = 64  # compared for one choice, drawn at random where there are more
REFRESH_INTERVAL = 500_000  # microseconds for which the stale oracle keeps what it knows
MAX_LATENCY_SHARE = 1.0  # of a call's remaining time: what takes longer at the best server is rejected
BLOCKED_WORK_SHARE = 0.5  # of the work of a call that waits for the next tier is still to come
IN_FLIGHT_PENALTY = 0.1  # added share of the latency for each of this node's attempts in flight
MIN_CAPACITY = 1e-9


class Oracle:
    """The expected latency of a call at a server, from the server's true state.

    Args:
        world: The world that the servers belong to.
        tier: The servers' tier.
    """

    def __init__(self, world: World, tier: int) -> None:
        self.world = world
        self.tier = tier
        self.mean_work = world.mean_work[tier]

    def expected_latency(self, server_id: int) -> float:
        """Returns the microseconds that one more call of mean work takes while all calls share the cores.

        Infinite where no response would come.
        """
        server = self.world.by_id[server_id]
        if not server.up or server.silent or server.draining:
            return inf
        blocked = server.used_slots - server.running
        load = server.running + len(server.queue) + BLOCKED_WORK_SHARE * blocked + 1
        speed = max(MIN_CAPACITY, server.capacity() / server.cores)
        return self.mean_work * max(1.0, load / server.cores) / speed


class StaleOracle(Oracle):
    """An oracle that keeps what it knows for half a second at a time.

    Args:
        world: The world that the servers belong to.
        tier: The servers' tier.
    """

    def __init__(self, world: World, tier: int) -> None:
        super().__init__(world, tier)
        self.period = -1
        self.cached: dict[int, float] = {}

    def expected_latency(self, server_id: int) -> float:
        """Returns the latency as it was when a server was first asked about in this period."""
        period = self.world.clock.now // REFRESH_INTERVAL
        if period != self.period:
            self.period = period
            self.cached = {}
        if server_id not in self.cached:
            self.cached[server_id] = super().expected_latency(server_id)
        return self.cached[server_id]


class OraclePolicy(Baseline):
    """The server where the call ends first; rejects what cannot end in time at any.

    Args:
        settings: The node's settings.
        seed: Of the sample of servers.
        actions: Carries out what the policy decides.
        oracle: Knows the servers' state.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions, oracle: Oracle) -> None:
        super().__init__(settings, seed, actions)
        self.oracle = oracle

    def sample(self, ids: Sequence[int]) -> Sequence[int]:
        """Returns the servers to compare."""
        return ids if len(ids) <= MAX_SAMPLED_SERVERS else self.rng.sample(ids, MAX_SAMPLED_SERVERS)

    def cost(self, server: int) -> float:
        """Returns the expected latency, with this node's own attempts that the oracle may not know of."""
        penalty = 1 + IN_FLIGHT_PENALTY * self.in_flight.get(server, 0)
        return self.oracle.expected_latency(server) * penalty

    def choose(self, now: int, ids: Sequence[int]) -> int:
        """Returns the server of the least cost."""
        return min(self.sample(ids), key=self.cost)

    def admits(self, now: int, request_class: int, remaining: int) -> bool:
        """Whether a request can end in time; requests between tiers are always admitted."""
        if self.settings.tier:
            return True
        useful = min(remaining, self.settings.classes[request_class].latency_objective)
        best = min(map(self.oracle.expected_latency, self.sample(self.ids)))
        return best < MAX_LATENCY_SHARE * useful
