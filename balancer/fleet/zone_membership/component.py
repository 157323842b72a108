"""Membership by zone as a component of the fleet runtime."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from balancer.fleet.component import Component, Outgoing, Runtime
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Address
from balancer.fleet.zone_membership.decisions import ZoneMembership
from balancer.fleet.zone_membership.records import ZoneEvent
from balancer.fleet.zone_membership.settings import ZoneMembershipSettings, ZoneMembershipTiming
from balancer.fleet.zone_membership.wire import ZoneMembershipWire

# Name of the component's random stream. The stream is seeded from its name, so renaming it would change the
# runs of a simulation.
RANDOM_STREAM = "federation"


class ZoneMembershipComponent(Component):
    """The component that publishes this zone's summary to the other zones and stores their summaries.

    Messages are sent to addresses instead of member names, since gateways of other zones are not members of
    the own zone's group.

    Args:
        runtime: The fleet runtime.
        settings: The configuration.
    """

    def __init__(self, runtime: Runtime, settings: ZoneMembershipSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self.zone_membership: ZoneMembership | None = None

    @property
    def payload_codecs(self) -> Sequence[PayloadCodec]:
        """The encoder and decoder of the messages of membership by zone."""
        return (ZoneMembershipWire(),)

    def open(self) -> None:
        """Create the state machine, without any summaries of other zones."""
        runtime = self.runtime
        config = runtime.config
        self.zone_membership = ZoneMembership(
            config.zone,
            config.region,
            runtime.membership,
            self.settings,
            ZoneMembershipTiming().scaled(config.period),
            runtime.random_stream(RANDOM_STREAM),
            runtime.now(),
            self.on_event,
        )

    def close(self) -> None:
        """Discard the state machine and its summaries."""
        self.zone_membership = None

    def on_event(self, event: ZoneEvent) -> None:
        """Log that a zone was discovered or that the freshness of its summary changed."""
        self.runtime.log.line(f"fleet zone {event.zone}: summary {event.kind}")

    # ---- Time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """Return the time at which `tick` is due, or None while the component is closed."""
        return self.zone_membership.deadline() if self.zone_membership is not None else None

    def tick(self, now: int) -> Sequence[Outgoing]:
        """Return the queries to the own zone's gateways and the exchanges with other zones that are due."""
        return self.zone_membership.tick(now) if self.zone_membership is not None else []

    def received(self, now: int, sender: Address, message: Any) -> Sequence[Outgoing]:
        """Handle a message from another node and return the responses."""
        if self.zone_membership is None:
            return []
        return self.zone_membership.received(now, sender, message)

    # ---- Status page ------------------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Return the key `regions` of the status page; its value is None while the component is closed."""
        return {"regions": self.zone_membership.status(now) if self.zone_membership is not None else None}
