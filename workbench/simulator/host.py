"""Creates the nodes of a model, which share one ticker."""

from __future__ import annotations

from balancer.policy.interface import Settings
from workbench.baselines import PolicyFactory
from workbench.model.site import World
from workbench.simulator.heap import HeapClock
from workbench.simulator.node import Node
from workbench.simulator.ticker import Ticker


class Host:
    """Creates the nodes of a model.

    Args:
        clock: The virtual clock.
        tick: The interval between two batches of a node, in microseconds.
        policy_factory: Creates the policy of each node's process.
    """

    def __init__(self, clock: HeapClock, tick: int, policy_factory: PolicyFactory) -> None:
        self.ticker = Ticker(clock, tick)
        self.policy_factory = policy_factory

    def node(self, world: World, name: str, tier: int, settings: Settings) -> Node:
        """Return a new node, not started yet, that sends to the servers of `tier`."""
        return Node(world, self.ticker, self.policy_factory, name, tier, settings)
