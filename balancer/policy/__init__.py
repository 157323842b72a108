"""The load-balancing policy of a node, one concern a module. Hosts depend on `interface` alone."""

from balancer.policy.balancer import Balancer

__all__ = ["Balancer"]
