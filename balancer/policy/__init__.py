"""The policy: every decision of a node, one concern a module. `interface` is what a host must know of it."""

from balancer.policy.balancer import Balancer

__all__ = ["Balancer"]
