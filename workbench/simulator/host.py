"""Makes the nodes of a model, all on one ticker."""

from __future__ import annotations

from balancer.policy.interface import Settings
from workbench.baselines import Policy
from workbench.model.site import World
from workbench.simulator.heap import HeapClock
from workbench.simulator.node import Node
from workbench.simulator.ticker import Ticker


class Host:
    """Makes the nodes of a model.

    Args:
        clock: The virtual clock.
        tick: The microseconds between two batches of a node.
        policy: Makes the policy of each node's process.
    """

    def __init__(self, clock: HeapClock, tick: int, policy: Policy) -> None:
        self.ticker = Ticker(clock, tick)
        self.policy = policy

    def node(self, world: World, name: str, tier: int, settings: Settings) -> Node:
        """Returns a node that is not started yet; `tier` is the tier that it sends to."""
        return Node(world, self.ticker, self.policy, name, tier, settings)
