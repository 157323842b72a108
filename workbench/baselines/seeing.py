"""Baselines that see the servers' true state, now or late. No node can; they bound what any choice could
reach."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from balancer.policy.interface import Actions, Settings
from workbench.baselines.base import Baseline
from workbench.model.site import World

LOOK = 64  # servers looked at for one choice, drawn at random where there are more
LAG = 500_000  # the late view is renewed so often
HOPELESS = 1.0  # of a call's time left: what would take longer at the best server is refused
WAITING = 0.5  # of the work of a call that waits for the next tier is still to come


class Sight:
    """How long a call would take at a server, from its true state. Microseconds; infinite where none comes
    back."""

    def __init__(self, world: World, tier: int) -> None:
        self.world = world
        self.tier = tier
        self.work = world.mean_work[tier]

    def wait(self, server_id: int) -> float:
        """The time to do one call of mean work, were the server's cores shared by it and all that it
        holds."""
        server = self.world.by_id[server_id]
        if not server.up or server.silent or server.draining:
            return inf
        here = server.running + len(server.queue) + WAITING * (server.in_work - server.running) + 1
        return self.work * max(1.0, here / server.cores) / max(1e-9, server.capacity() / server.cores)


class Late(Sight):
    """The same view, frozen for half a second at a time, one picture for all nodes of a tier."""

    def __init__(self, world: World, tier: int) -> None:
        super().__init__(world, tier)
        self.taken = -1
        self.seen: dict[int, float] = {}
        self.sent: dict[int, int] = {}

    def wait(self, server_id: int) -> float:
        period = self.world.clock.now // LAG
        if period != self.taken:
            self.taken = period
            self.seen = {}
        if server_id not in self.seen:
            self.seen[server_id] = super().wait(server_id)
        return self.seen[server_id]


class TrueState(Baseline):
    """The server where the call ends first; refuses what cannot end in time at any."""

    def __init__(self, settings: Settings, seed: int, actions: Actions, sight: Sight) -> None:
        super().__init__(settings, seed, actions)
        self.sight = sight

    def look(self, ids: Sequence[int]) -> Sequence[int]:
        return ids if len(ids) <= LOOK else self.rng.sample(ids, LOOK)

    def cost(self, server: int) -> float:
        """The time expected, with this node's own calls that the view may lack."""
        return self.sight.wait(server) * (1 + 0.1 * self.in_flight.get(server, 0))

    def choose(self, now: int, ids: Sequence[int]) -> int:
        return min(self.look(ids), key=self.cost)

    def admits(self, now: int, klass: int, left: int) -> bool:
        if self.settings.tier:
            return True
        useful = min(left, self.settings.classes[klass].latency_objective)
        return min(map(self.sight.wait, self.look(self.ids))) < HOPELESS * useful
