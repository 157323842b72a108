"""The policy adapter as a component of the fleet runtime: health checks, minRTT slots and zones."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from balancer.fleet.component import Component, Outgoing, Runtime
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Address
from balancer.fleet.policy_adapter import PolicyAdapter

if TYPE_CHECKING:
    from balancer.fleet.leases.component import LeaseComponent


class PolicyComponent(Component):
    """Runs a policy adapter.

    Args:
        runtime: The process that the component runs in.
        adapter: The adapter.
        leases: None where no voters are configured: then there are neither shared health checks nor a bound
            on minRTT recalculations.
    """

    def __init__(self, runtime: Runtime, adapter: PolicyAdapter, leases: LeaseComponent | None) -> None:
        self.runtime = runtime
        self.adapter = adapter
        self.leases = leases

    @property
    def wires(self) -> Sequence[PayloadCodec]:
        """The adapter's message kinds."""
        return self.adapter.wires()

    def open(self) -> None:
        """Opens the adapter, and hands it the lease client where there is one."""
        self.adapter.open(self.runtime.alive, self.runtime.rng)
        lease_client = self.leases.client if self.leases is not None else None
        if lease_client is not None:
            self.adapter.use_leases(lease_client, self.runtime.rng)

    def close(self) -> None:
        """From here on the policy decides as on a node alone."""
        self.adapter.close()

    def deadline(self, now: int) -> int | None:
        """When the adapter is due."""
        return self.adapter.deadline(now)

    def tick(self, now: int) -> list[Outgoing]:
        """Does what is due."""
        return self.adapter.tick(now)

    def received(self, now: int, sender: Address, message: Any) -> list[Outgoing]:
        """Handles a message of one of the adapter's kinds."""
        return self.adapter.received(now, message)

    def member_forgotten(self, name: str) -> None:
        """Drops what is kept about a member."""
        self.adapter.member_forgotten(name)

    def status(self, now: int) -> dict[str, Any]:
        """The adapter's keys for the page `GET /fleet`."""
        return self.adapter.status(now)
