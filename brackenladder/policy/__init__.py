"""Every decision of brackenladder, a part a module. The types are in brackenladder/interface.py."""

from brackenladder.policy.balancer import Balancer

__all__ = ["Balancer"]
