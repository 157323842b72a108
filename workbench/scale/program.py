"""The parts of the node that a scale run instruments: its fleet runtime, and the calls that are timed.

No other module of the run depends on where the node has these.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from balancer.fleet.config import FleetConfig
from balancer.fleet.membership.changes import MembershipChange
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Swim
from balancer.fleet.runtime import FleetRuntime
from balancer.fleet.zone_membership.decisions import ZoneMembership
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.policy.interface import Settings

# Components beside membership and the codec: the class and the calls that are timed. The names are those of
# the stored measurements.
FURTHER_COMPONENTS: dict[str, tuple[type, tuple[str, ...]]] = {
    "federation": (ZoneMembership, ("tick", "received", "deadline")),
}

Changed = Callable[[str, Any], None]


class Runtime(Protocol):
    """What a scale run uses of the fleet runtime."""

    swim: Swim | None
    codec: Codec

    async def open(self) -> None:
        """Opens the port and joins the group."""

    def close(self) -> None:
        """Closes the port without a message to other members."""

    def view(self) -> dict[str, Any]:
        """The operators' page."""

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """One datagram in."""


def make_runtime(
    config: FleetConfig,
    loop: asyncio.AbstractEventLoop,
    seed: int,
    log: Log,
    life: Lifecycle,
    end: Callable[[], None],
    settings: Settings,
) -> Runtime:
    """Returns the node's fleet runtime for one member."""
    return FleetRuntime(config, loop, seed, log, life, end, settings)


def listen_to_changes(swim: Swim, changed: Changed) -> None:
    """Calls `changed` with each change of a member's view, before the runtime's own callback."""
    runtime = swim.publish

    def both(what: MembershipChange, claim: Any) -> None:
        changed(what, claim)
        runtime(what, claim)

    swim.publish = both


def drop_updates(swim: Swim) -> None:
    """Drops the updates that a member has not passed on yet."""
    swim.updates = type(swim.updates)()
