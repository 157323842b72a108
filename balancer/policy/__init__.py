"""Every decision of balancer, a part a module. The types are in balancer/policy/interface.py."""

from balancer.policy.balancer import Balancer

__all__ = ["Balancer"]
