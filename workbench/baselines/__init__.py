"""Baselines behind the policy's interface: what the policy in service is compared with."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from balancer.policy import Balancer
from balancer.policy.interface import Actions, Events, Settings
from workbench.baselines.gradient import PublishedGradient
from workbench.baselines.oracle import Oracle, OraclePolicy, StaleOracle
from workbench.baselines.static import RandomChoice, RoundRobin, TwoChoices
from workbench.model.site import World

# Makes a policy. `world` is for those that know the true state; others leave it alone.
Policy = Callable[[Settings, int, Actions, World], Events]


@dataclass(frozen=True)
class NamedPolicy:
    """A policy that users choose by its name.

    Attributes:
        make: Makes the policy of one node.
        description: One line for the user.
    """

    make: Policy
    description: str


def event_driven(policy_class: Callable[[Settings, int, Actions], Events]) -> Policy:
    """Returns a policy that knows only its events."""
    return lambda settings, seed, actions, world: policy_class(settings, seed, actions)


def informed(oracle_class: Callable[[World, int], Oracle]) -> Policy:
    """Returns a policy that knows the servers' state from an oracle."""
    return lambda settings, seed, actions, world: OraclePolicy(
        settings, seed, actions, oracle_class(world, settings.tier)
    )


POLICIES = {
    "module": NamedPolicy(event_driven(Balancer), "the module in service, balancer/policy/"),
    "random": NamedPolicy(event_driven(RandomChoice), "any listed server"),
    "round-robin": NamedPolicy(event_driven(RoundRobin), "the listed servers in turn"),
    "two-draws": NamedPolicy(
        event_driven(TwoChoices),
        "the one of two random servers with fewer of this node's calls in flight",
    ),
    "gradient": NamedPolicy(
        event_driven(PublishedGradient),
        "the published adaptive concurrency filter, and two random draws",
    ),
    "true-state": NamedPolicy(informed(Oracle), "sees every server's true state, which no node can"),
    "late-state": NamedPolicy(
        informed(StaleOracle), "sees every server's state as it was up to half a second ago"
    ),
}
