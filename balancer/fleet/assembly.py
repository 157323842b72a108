"""Which components a process runs: the one place to add a component to.

A component's package is imported only where the configuration asks for the component.
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
        policy_adapter: What the node's policy calls.
        leases: Leases, where voters are configured; operators' pages call it.
        rolling_update: Rolling updates, where voters are configured; operators' pages call it.
        ordered: All components, in the order in which they are opened, ticked and shown.
    """

    policy_adapter: PolicyAdapter
    leases: LeaseComponent | None = None
    rolling_update: RollingUpdateComponent | None = None
    ordered: list[Component] = field(default_factory=list)


def components_for(config: FleetConfig, runtime: Runtime) -> FleetComponents:
    """The components that a configuration asks for."""
    adapter = PolicyAdapter(
        config, runtime.settings, runtime.now, runtime.wall, runtime.schedule, runtime.log.line
    )
    made = FleetComponents(adapter)
    if config.voters:
        from balancer.fleet.leases.component import LeaseComponent
        from balancer.fleet.rolling_update.component import RollingUpdateComponent

        made.leases = LeaseComponent(runtime)
        made.rolling_update = RollingUpdateComponent(runtime, made.leases)
        made.ordered += [made.leases, made.rolling_update]
    if config.membership is not None:
        from balancer.fleet.zone_membership.component import ZoneMembershipComponent

        made.ordered.append(ZoneMembershipComponent(runtime, config.membership))
    made.ordered.append(PolicyComponent(runtime, adapter, made.leases))
    return made
