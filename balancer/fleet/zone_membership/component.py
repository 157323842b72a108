"""Membership by zone as a component of the fleet runtime."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from balancer.fleet.component import Component, Outgoing, Runtime, addressed
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.decisions import Federation
from balancer.fleet.zone_membership.messages import FederationWire
from balancer.fleet.zone_membership.records import Event
from balancer.fleet.zone_membership.settings import FederationTiming, ZoneMembershipSettings


class FederationComponent(Component):
    """Tells the other zones of this one, and keeps what they tell.

    Its messages go to addresses: the gateways of other zones are no members of the own group.
    """

    def __init__(self, runtime: Runtime, settings: ZoneMembershipSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self.federation: Federation | None = None

    @property
    def wires(self) -> Sequence[PayloadCodec]:
        return (FederationWire(),)

    def open(self) -> None:
        runtime = self.runtime
        config = runtime.config
        self.federation = Federation(
            config.zone,
            config.region,
            runtime.membership,
            self.settings,
            FederationTiming().scaled(config.period),
            runtime.stream("federation"),
            runtime.now(),
            self.zone_changed,
        )

    def close(self) -> None:
        self.federation = None

    def zone_changed(self, event: Event) -> None:
        self.runtime.log.line(f"fleet zone {event.zone}: summary {event.what}")

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        return self.federation.deadline() if self.federation is not None else None

    def tick(self, now: int) -> list[Outgoing]:
        return addressed(self.federation.tick(now)) if self.federation is not None else []

    def received(self, now: int, sender: Address, message: Any) -> list[Outgoing]:
        if self.federation is None:
            return []
        return addressed(self.federation.received(now, sender, message))

    # ---- what operators see -----------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        return {"regions": self.federation.view(now) if self.federation is not None else None}
