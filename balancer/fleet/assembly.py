"""The fleet components that a process runs, built from its configuration.

A component implements one function of the fleet. A new component is added here. A component's package is
imported only if the configuration enables it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from balancer.fleet.component import Component, Runtime
from balancer.fleet.config import FleetConfig
from balancer.fleet.policy_adapter import PolicyAdapter
from balancer.fleet.policy_component import PolicyComponent

if TYPE_CHECKING:
    from balancer.fleet.leases.component import LeaseComponent
    from balancer.fleet.rolling_update.component import RollingUpdateComponent


@dataclass
class FleetComponents:
    """The fleet components of one process. The voters are the processes that vote on leases.

    Attributes:
        policy_adapter: The implementation of `interface.Fleet` that the node's policy calls.
        leases: The component that acquires leases, which the HTTP pages for operators call; None if no voters
            are configured.
        rolling_update: The component that replaces the processes a few at a time, which the HTTP pages for
            operators call; None if no voters are configured.
        ordered: All components, in the order in which they are opened, ticked and shown on the page
            `GET /fleet`.
    """

    policy_adapter: PolicyAdapter
    leases: LeaseComponent | None = None
    rolling_update: RollingUpdateComponent | None = None
    ordered: list[Component] = field(default_factory=list)


def build_components(config: FleetConfig, runtime: Runtime) -> FleetComponents:
    """Build the fleet components that the configuration of a process enables."""
    adapter = PolicyAdapter(
        config, runtime.settings, runtime.now, runtime.wall, runtime.schedule, runtime.log.line
    )
    components = FleetComponents(adapter)
    if config.voters:
        from balancer.fleet.leases.component import LeaseComponent
        from balancer.fleet.rolling_update.component import RollingUpdateComponent

        components.leases = LeaseComponent(runtime)
        components.rolling_update = RollingUpdateComponent(runtime, components.leases)
        components.ordered += [components.leases, components.rolling_update]
    if config.membership is not None:
        from balancer.fleet.zone_membership.component import ZoneMembershipComponent

        components.ordered.append(ZoneMembershipComponent(runtime, config.membership))
    components.ordered.append(PolicyComponent(runtime, adapter, components.leases))
    return components
