"""The components that a process runs, built from its configuration.

A new component is added here. A component's package is imported only if the configuration enables it.
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
    """The components of one process.

    Attributes:
        policy_adapter: The implementation of `interface.Fleet` that the node's policy calls.
        leases: The lease component, which the operator pages call; None if no voters are configured.
        rolling_update: The rolling-update component, which the operator pages call; None if no voters are
            configured.
        ordered: All components, in the order in which they are opened, ticked and shown.
    """

    policy_adapter: PolicyAdapter
    leases: LeaseComponent | None = None
    rolling_update: RollingUpdateComponent | None = None
    ordered: list[Component] = field(default_factory=list)


def build_components(config: FleetConfig, runtime: Runtime) -> FleetComponents:
    """Build the components that the configuration enables."""
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
