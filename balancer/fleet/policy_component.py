"""The policy adapter as a component of the fleet runtime.

The adapter connects the policy with the fleet: with shared health checks, the slots that limit how many nodes
recalculate their minRTT (the baseline response time) at a time, and zone routing.
"""

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
    """A component that runs a policy adapter.

    Args:
        runtime: The fleet runtime of the process.
        adapter: The adapter to run.
        leases: The lease component; None if no voters, which grant leases, are configured. Health checks are
            then not shared and minRTT recalculations are not limited.
    """

    def __init__(self, runtime: Runtime, adapter: PolicyAdapter, leases: LeaseComponent | None) -> None:
        self.runtime = runtime
        self.adapter = adapter
        self.leases = leases

    @property
    def payload_codecs(self) -> Sequence[PayloadCodec]:
        """Encoders and decoders of the adapter's message kinds."""
        return self.adapter.payload_codecs()

    def open(self) -> None:
        """Open the adapter, and enable the features that need leases if there is a lease client."""
        self.adapter.open(self.runtime.alive, self.runtime.rng)
        lease_client = self.leases.client if self.leases is not None else None
        if lease_client is not None:
            self.adapter.enable_lease_features(lease_client, self.runtime.rng)

    def close(self) -> None:
        """Close the adapter; the policy then decides as it does on a node without a fleet."""
        self.adapter.close()

    def deadline(self, now: int) -> int | None:
        """Return when the adapter's `tick` is due; None if never."""
        return self.adapter.deadline(now)

    def tick(self, now: int) -> list[Outgoing]:
        """Perform the adapter's actions that are due and return the messages to send."""
        return self.adapter.tick(now)

    def received(self, now: int, sender: Address, message: Any) -> list[Outgoing]:
        """Pass on a message of one of the adapter's kinds to it, and return the messages to send."""
        return self.adapter.received(now, message)

    def member_forgotten(self, name: str) -> None:
        """Have the adapter drop the state of a member that left or died and that membership has forgotten."""
        self.adapter.member_forgotten(name)

    def status(self, now: int) -> dict[str, Any]:
        """Return the adapter's keys for the page `GET /fleet`."""
        return self.adapter.status(now)
