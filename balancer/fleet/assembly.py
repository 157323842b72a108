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
    from balancer.fleet.rolling_update.component import ReplacementComponent


@dataclass
class FleetComponents:
    """What `components_for` makes. `ordered`: all components, in the order in which they are opened, ticked
    and shown. The others: those that the node and its operators speak to."""

    adapter: PolicyAdapter
    leases: LeaseComponent | None = None
    replacement: ReplacementComponent | None = None
    ordered: list[Component] = field(default_factory=list)


def components_for(config: FleetConfig, runtime: Runtime) -> FleetComponents:
    """The components that a configuration asks for."""
    adapter = PolicyAdapter(
        config, runtime.settings, runtime.now, runtime.wall, runtime.schedule, runtime.log.line
    )
    made = FleetComponents(adapter)
    if config.voters:
        from balancer.fleet.leases.component import LeaseComponent
        from balancer.fleet.rolling_update.component import ReplacementComponent

        made.leases = LeaseComponent(runtime)
        made.replacement = ReplacementComponent(runtime, made.leases)
        made.ordered += [made.leases, made.replacement]
    if config.membership is not None:
        from balancer.fleet.zone_membership.component import FederationComponent

        made.ordered.append(FederationComponent(runtime, config.membership))
    made.ordered.append(PolicyComponent(runtime, adapter, made.leases))
    return made
