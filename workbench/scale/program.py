"""The parts of the node that a scale run instruments: its fleet runtime, and the calls that are timed.

Only this module depends on where the node defines them.
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

# Components besides membership and the codec: the class and its timed methods. The names are those in stored
# measurements.
ZONE_COMPONENTS: dict[str, tuple[type, tuple[str, ...]]] = {
    "federation": (ZoneMembership, ("tick", "received", "deadline")),
}

ViewChangeCallback = Callable[[str, Any], None]


class Runtime(Protocol):
    """The part of the fleet runtime's interface that a scale run uses."""

    swim: Swim | None
    codec: Codec

    async def open(self) -> None:
        """Open the port and join the group."""

    def close(self) -> None:
        """Close the port without a message to other members."""

    def view(self) -> dict[str, Any]:
        """Return the content of the status page."""

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Process one received datagram."""


def make_runtime(
    config: FleetConfig,
    loop: asyncio.AbstractEventLoop,
    seed: int,
    log: Log,
    lifecycle: Lifecycle,
    end_process: Callable[[], None],
    settings: Settings,
) -> Runtime:
    """Create the node's fleet runtime for one member."""
    return FleetRuntime(config, loop, seed, log, lifecycle, end_process, settings)


def listen_to_changes(swim: Swim, on_change: ViewChangeCallback) -> None:
    """Call `on_change` with each change of a member's view, before the runtime's own callback."""
    publish_to_runtime = swim.publish

    def publish_to_both(change: MembershipChange, claim: Any) -> None:
        on_change(change, claim)
        publish_to_runtime(change, claim)

    swim.publish = publish_to_both


def drop_updates(swim: Swim) -> None:
    """Drop the updates that a member has not passed on yet."""
    swim.updates = type(swim.updates)()
