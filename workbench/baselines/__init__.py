"""Baselines behind the module's interface: what the module is measured against."""

from __future__ import annotations

from collections.abc import Callable

from balancer.policy import Balancer
from balancer.policy.interface import Actions, Events, Settings
from workbench.baselines.gradient import PublishedGradient
from workbench.baselines.plain import RandomChoice, RoundRobin, TwoDraws
from workbench.baselines.seeing import Late, Sight, TrueState
from workbench.model.site import World

# `world` is for baselines that see the true state; others leave it alone.
Policy = Callable[[Settings, int, Actions, World], Events]


def blind(made: Callable[[Settings, int, Actions], Events]) -> Policy:
    """A policy that knows only its events."""
    return lambda settings, seed, actions, world: made(settings, seed, actions)


POLICIES: dict[str, tuple[Policy, str]] = {
    "module": (blind(Balancer), "the module in service, balancer/policy/"),
    "random": (blind(RandomChoice), "any listed server"),
    "round-robin": (blind(RoundRobin), "the listed servers in turn"),
    "two-draws": (blind(TwoDraws), "the one of two random servers with fewer of this node's calls in flight"),
    "gradient": (blind(PublishedGradient), "the published adaptive concurrency filter, and two random draws"),
    "true-state": (
        lambda settings, seed, actions, world: TrueState(
            settings, seed, actions, Sight(world, settings.tier)
        ),
        "sees every server's true state, which no node can",
    ),
    "late-state": (
        lambda settings, seed, actions, world: TrueState(settings, seed, actions, Late(world, settings.tier)),
        "sees every server's state as it was up to half a second ago",
    ),
}
