"""The load-balancing policy of a node, with one module for each concern.

A host, the program that embeds the policy, depends on this class and on the module `interface` alone.
"""

from balancer.policy.balancer import Balancer

__all__ = ["Balancer"]
