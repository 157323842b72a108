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

RANDOM_STREAM = "federation"  # the name is part of the seed, so it stays as it was


class ZoneMembershipComponent(Component):
    """Publishes this zone's summary to the other zones, and keeps theirs.

    Its messages go to addresses: the gateways of other zones are no members of the own group.

    Args:
        runtime: The fleet runtime.
        settings: The configuration.
    """

    def __init__(self, runtime: Runtime, settings: ZoneMembershipSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self.zone_membership: ZoneMembership | None = None

    @property
    def wires(self) -> Sequence[PayloadCodec]:
        """The encoder and decoder of the messages."""
        return (ZoneMembershipWire(),)

    def open(self) -> None:
        """Starts with no summaries of other zones."""
        runtime = self.runtime
        config = runtime.config
        self.zone_membership = ZoneMembership(
            config.zone,
            config.region,
            runtime.membership,
            self.settings,
            ZoneMembershipTiming().scaled(config.period),
            runtime.stream(RANDOM_STREAM),
            runtime.now(),
            self.on_event,
        )

    def close(self) -> None:
        """Drops all state."""
        self.zone_membership = None

    def on_event(self, event: ZoneEvent) -> None:
        """Logs that a zone was found, or that the freshness of its summary has changed."""
        self.runtime.log.line(f"fleet zone {event.zone}: summary {event.kind}")

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """Returns when `tick` is due."""
        return self.zone_membership.deadline() if self.zone_membership is not None else None

    def tick(self, now: int) -> Sequence[Outgoing]:
        """Does what is due."""
        return self.zone_membership.tick(now) if self.zone_membership is not None else []

    def received(self, now: int, sender: Address, message: Any) -> Sequence[Outgoing]:
        """Handles a message of another node."""
        if self.zone_membership is None:
            return []
        return self.zone_membership.received(now, sender, message)

    # ---- status page ------------------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Returns the key `regions` of the status page."""
        return {"regions": self.zone_membership.status(now) if self.zone_membership is not None else None}
