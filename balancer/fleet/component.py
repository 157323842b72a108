"""The interface between the fleet runtime and its components.

A component is one concern of the fleet (leases, a rolling update, traffic between zones, ...). It owns
its message kinds and its keys on the operators' page, and does no I/O: the runtime hands it time and messages
and sends what it returns. To add one: write a class that inherits from `Component`, and construct it in
`assembly.components_for`.

All times are microseconds; `now` is the runtime's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from random import Random
from typing import Any, Protocol

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.config import FleetConfig
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Address, Swim
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.policy.interface import Settings


class WireMessage(Protocol):
    """What every message has, whichever component defines it."""

    @property
    def kind(self) -> IntEnum:
        """Unique over all components; the codec and the dispatch go by it."""

    @property
    def sender(self) -> str:
        """Name of the process that sent it."""

    @property
    def seq(self) -> int:
        """Pairs a response with its request, where the component needs that."""


# A component's message, to the name of a member of the own group, or to an address where the receiver need
# not be a member. One to this process's own name is delivered at once without a datagram.
Outgoing = AddressedMessage[str | Address, WireMessage]


class Runtime(Protocol):
    """What a component may use of the process that it runs in."""

    @property
    def config(self) -> FleetConfig:
        """The process's place in its fleet."""

    @property
    def settings(self) -> Settings:
        """The policy's settings."""

    @property
    def log(self) -> Log:
        """The node's log."""

    @property
    def lifecycle(self) -> Lifecycle:
        """Whether the node serves, drains or ends."""

    @property
    def rng(self) -> Random:
        """Shared with membership. A new component takes `stream` instead."""

    @property
    def membership(self) -> Swim:
        """Membership of the own group, from `open` on; each incarnation has another.

        Components only read it: `me`, `members`, `alive()`.
        """

    def stream(self, purpose: str) -> Random:
        """A random stream of a component's own, the same for the same seed."""

    def now(self) -> int:
        """Monotonic clock; goes on while the process is paused."""

    def wall(self) -> int:
        """Unix time, which may step."""

    def alive(self) -> list[str]:
        """Names of the other members that are alive or suspect."""

    def gone(self) -> list[str]:
        """Names of members that have left or died and are not forgotten yet."""

    def address_of(self, member: str) -> Address | None:
        """Where a member receives datagrams; None if it is not known."""

    def schedule(self) -> None:
        """Sets the timer anew. To be called when a deadline has changed outside `tick` and `received`."""

    def end_process(self) -> None:
        """Ends the process as SIGTERM does, after what the component returns has been sent."""


class Component(Protocol):
    """One concern of the fleet. Each method has a default that does nothing; inherit to get them.

    Call order: the constructor, `open`, then `tick`, `received` and `deadline` in any order, then `leave` on
    a planned end, then `close`. A process that joins again calls `open` again. `status` and `close` may also
    be called before `open`, `status` after `close` too. An exception in any method but `open` is reported to
    the event loop's exception handler and ends nothing else; one in `open` keeps the process from starting.
    """

    @property
    def wires(self) -> Sequence[PayloadCodec]:
        """Encoders and decoders of this component's message kinds. Read once, before `open`."""
        return ()

    def open(self) -> None:
        """The process has a socket and its place in the group: a new incarnation begins."""
        return

    def close(self) -> None:
        """The socket is gone; nothing is sent or received from here on."""
        return

    def leave(self, now: int) -> Sequence[Outgoing]:
        """Last messages before a planned end."""
        return ()

    def deadline(self, now: int) -> int | None:
        """When `tick` is due, or None if nothing is. Must be cheap: it is asked for on each datagram."""
        return None

    def tick(self, now: int) -> Sequence[Outgoing]:
        """Does what is due. Called when any component is due, so often before the own deadline."""
        return ()

    def received(self, now: int, sender: Address, message: Any) -> Sequence[Outgoing]:
        """Handles an authenticated message of one of the own kinds; `sender`: where it came from."""
        return ()

    def member_forgotten(self, name: str) -> None:
        """Membership has dropped a member that left or died a while ago: state about it can go."""
        return

    def status(self, now: int) -> dict[str, Any]:
        """Keys for the page `GET /fleet`, JSON values; durations in seconds. Empty to show nothing."""
        return {}
