"""Baselines that implement the policy's interface, for comparison with the balancer's policy."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from balancer.policy import Balancer
from balancer.policy.interface import Actions, Events, Settings
from workbench.baselines.gradient import PublishedGradient
from workbench.baselines.oracle import Oracle, OraclePolicy, StaleOracle
from workbench.baselines.static import RandomChoice, RoundRobin, TwoChoices
from workbench.model.site import World

# Creates the policy of one node. Only policies that know the true state of servers use the world.
PolicyFactory = Callable[[Settings, int, Actions, World], Events]


@dataclass(frozen=True)
class NamedPolicy:
    """A policy that users select by name.

    Attributes:
        make: Creates the policy of one node.
        description: A description of one line for users.
    """

    make: PolicyFactory
    description: str


def event_driven(policy_class: Callable[[Settings, int, Actions], Events]) -> PolicyFactory:
    """Return the factory of a policy that knows only its events."""
    return lambda settings, seed, actions, world: policy_class(settings, seed, actions)


def oracle_based(oracle_class: Callable[[World, int], Oracle]) -> PolicyFactory:
    """Return the factory of a policy that knows the servers' state from an oracle."""
    return lambda settings, seed, actions, world: OraclePolicy(
        settings, seed, actions, oracle_class(world, settings.tier)
    )


POLICIES = {
    "module": NamedPolicy(event_driven(Balancer), "the balancer's policy, balancer/policy/"),
    "random": NamedPolicy(event_driven(RandomChoice), "any listed server"),
    "round-robin": NamedPolicy(event_driven(RoundRobin), "the listed servers in turn"),
    "two-draws": NamedPolicy(
        event_driven(TwoChoices),
        "the one of two random servers with fewer calls of this node in flight",
    ),
    "gradient": NamedPolicy(
        event_driven(PublishedGradient),
        "the published adaptive concurrency filter, and two random choices",
    ),
    "true-state": NamedPolicy(oracle_based(Oracle), "sees every server's true state, which no node can"),
    "late-state": NamedPolicy(
        oracle_based(StaleOracle), "sees every server's state as it was up to half a second ago"
    ),
}
