"""Baselines that know the true state of all servers, current or stale.

No node can know this state; the baselines show the best result that any selection could reach.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from balancer.policy.interface import Actions, Settings
from workbench.baselines.base import Baseline
from workbench.model.site import World

# The maximum number of servers that are compared for one selection; a random sample if there are more.
MAX_SAMPLED_SERVERS = 64
REFRESH_INTERVAL_US = 500_000
# A request whose expected latency at the best server exceeds this share of its remaining time is rejected.
MAX_LATENCY_RATIO = 1.0
# The share of the work that is assumed to remain for a call that waits for the next tier.
BLOCKED_WORK_RATIO = 0.5
# Each attempt of this node in flight adds this share to the expected latency of its server.
IN_FLIGHT_PENALTY_RATIO = 0.1
MIN_RELATIVE_SPEED = 1e-9


class Oracle:
    """Computes the expected latency of a call at a server from the server's true state.

    Args:
        world: The model that the servers belong to.
        tier: The servers' tier.
    """

    def __init__(self, world: World, tier: int) -> None:
        self.world = world
        self.tier = tier
        self.mean_work = world.mean_work[tier]

    def expected_latency(self, server_id: int) -> float:
        """Return the microseconds that one more call of mean work takes while all calls share the cores.

        The latency is infinite if no response would arrive.
        """
        server = self.world.by_id[server_id]
        if not server.up or server.silent or server.draining:
            return inf
        blocked = server.used_slots - server.running
        load = server.running + len(server.queue) + BLOCKED_WORK_RATIO * blocked + 1
        speed = max(MIN_RELATIVE_SPEED, server.capacity() / server.cores)
        return self.mean_work * max(1.0, load / server.cores) / speed


class StaleOracle(Oracle):
    """An oracle that caches each expected latency until the end of the current half second.

    Args:
        world: The model that the servers belong to.
        tier: The servers' tier.
    """

    def __init__(self, world: World, tier: int) -> None:
        super().__init__(world, tier)
        self.period = -1
        self.cached: dict[int, float] = {}

    def expected_latency(self, server_id: int) -> float:
        """Return the latency at the first query for the server in the current period."""
        period = self.world.clock.now // REFRESH_INTERVAL_US
        if period != self.period:
            self.period = period
            self.cached = {}
        if server_id not in self.cached:
            self.cached[server_id] = super().expected_latency(server_id)
        return self.cached[server_id]


class OraclePolicy(Baseline):
    """Selects the server with the least expected latency; rejects requests that no server can finish in time.

    Args:
        settings: The node's settings.
        seed: The seed of the samples of servers.
        actions: Carries out the policy's decisions.
        oracle: Computes expected latencies from the servers' state.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions, oracle: Oracle) -> None:
        super().__init__(settings, seed, actions)
        self.oracle = oracle

    def sample(self, ids: Sequence[int]) -> Sequence[int]:
        """Return the servers to compare: all, or a random sample if there are many."""
        return ids if len(ids) <= MAX_SAMPLED_SERVERS else self.rng.sample(ids, MAX_SAMPLED_SERVERS)

    def cost(self, server: int) -> float:
        """Return the expected latency plus a penalty for this node's attempts, unseen by a stale oracle."""
        penalty = 1 + IN_FLIGHT_PENALTY_RATIO * self.in_flight.get(server, 0)
        return self.oracle.expected_latency(server) * penalty

    def select_server(self, now: int, server_ids: Sequence[int]) -> int:
        """Return the sampled server of the least cost."""
        return min(self.sample(server_ids), key=self.cost)

    def admits(self, now: int, request_class: int, remaining: int) -> bool:
        """Return whether a request can finish in time; requests between tiers are always admitted."""
        if self.settings.tier:
            return True
        time_limit = min(remaining, self.settings.classes[request_class].latency_objective)
        least_latency = min(map(self.oracle.expected_latency, self.sample(self.server_ids)))
        return least_latency < MAX_LATENCY_RATIO * time_limit
