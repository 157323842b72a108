"""The program under measurement: the names by which its revisions have what a run takes hold of.

Before and after a change are measured by the same run, so it must be able to start the fleet runtime of
earlier revisions too. Nothing else of the run knows where the program keeps these.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from importlib import import_module
from importlib.util import find_spec
from typing import Any, Protocol

from balancer.fleet.config import FleetConfig
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Swim
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.policy.interface import Settings

RUNTIMES = (("balancer.fleet.runtime", "FleetRuntime"), ("balancer.fleet.host", "Host"))
SUBSCRIBERS = ("publish", "tell")  # a `Swim`'s callback for changes of what it holds true
UPDATES = ("updates", "news")  # a `Swim`'s updates that still ride on messages

# Components beside membership and codec that some revisions have: name, module, class, calls that are timed.
FEDERATION = "balancer.fleet.zone_membership.decisions"
FURTHER_COMPONENTS = (("federation", FEDERATION, "Federation", ("tick", "received", "deadline")),)

Changed = Callable[[str, Any], None]


class Runtime(Protocol):
    """What a run uses of the fleet runtime."""

    swim: Swim | None
    codec: Codec

    async def open(self) -> None:
        """Takes the port and joins."""

    def close(self) -> None:
        """Lets the port go, without a word."""

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
    """The program's fleet runtime for one member."""
    module, name = next(r for r in RUNTIMES if find_module(r[0]))
    made: Runtime = getattr(import_module(module), name)(config, loop, seed, log, life, end, settings)
    return made


def further_components() -> dict[str, tuple[type, tuple[str, ...]]]:
    """Those that this revision has, by name: the class and the calls that are timed."""
    found: dict[str, tuple[type, tuple[str, ...]]] = {}
    for name, module, owner, calls in FURTHER_COMPONENTS:
        if find_module(module):
            found[name] = (getattr(import_module(module), owner), calls)
    return found


def find_module(name: str) -> bool:
    """Whether this revision has a module."""
    try:
        return find_spec(name) is not None
    except ModuleNotFoundError:  # nor its package
        return False


def listen_to_changes(swim: Swim, changed: Changed) -> None:
    """Hears of each change of a member's view before the runtime does."""
    name = next(n for n in SUBSCRIBERS if hasattr(swim, n))
    runtime = getattr(swim, name)

    def both(what: str, claim: Any) -> None:
        changed(what, claim)
        runtime(what, claim)

    setattr(swim, name, both)


def drop_updates(swim: Swim) -> None:
    """A member passes on nothing of what it has learned so far."""
    name = next(n for n in UPDATES if hasattr(swim, n))
    setattr(swim, name, type(getattr(swim, name))())
