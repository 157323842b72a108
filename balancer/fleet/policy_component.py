"""The policy's adapter as a component of the fleet runtime: probes, minRTT passes and zones."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from balancer.fleet.component import Component, Outgoing, Runtime, addressed
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Address
from balancer.fleet.policy_adapter import PolicyAdapter

if TYPE_CHECKING:
    from balancer.fleet.leases.component import DutiesComponent


class PolicyComponent(Component):
    """`duties`: None where no voters are configured, so that there are no probes and no bound on passes."""

    def __init__(self, runtime: Runtime, adapter: PolicyAdapter, duties: DutiesComponent | None) -> None:
        self.runtime = runtime
        self.adapter = adapter
        self.duties = duties

    @property
    def wires(self) -> Sequence[PayloadCodec]:
        return self.adapter.wires()

    def open(self) -> None:
        self.adapter.open(self.runtime.alive, self.runtime.rng)
        asker = self.duties.duties.asker if self.duties is not None else None
        if asker is not None:
            self.adapter.use_leases(asker, self.runtime.rng)

    def close(self) -> None:
        self.adapter.close()

    def deadline(self, now: int) -> int | None:
        return self.adapter.deadline(now)

    def tick(self, now: int) -> list[Outgoing]:
        return addressed(self.adapter.tick(now))

    def received(self, now: int, sender: Address, message: Any) -> list[Outgoing]:
        return addressed(self.adapter.received(now, message))

    def member_forgotten(self, name: str) -> None:
        self.adapter.member_forgotten(name)

    def status(self, now: int) -> dict[str, Any]:
        return self.adapter.status(now)
