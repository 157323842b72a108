"""The interface between the fleet runtime and its components.

A component implements one function of the fleet, such as leases, rolling updates or zone routing. It owns its
message kinds and its keys of the page `GET /fleet`, and does no I/O: the runtime passes it the time and the
received messages, and sends the messages that it returns. To add a component, write a subclass of `Component`
and construct it in `assembly.build_components`.

All times are in microseconds; `now` is the runtime's monotonic clock.
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
    """Attributes that the messages of all components have."""

    @property
    def kind(self) -> IntEnum:
        """The message kind, which selects the codec and the receiving component.

        No two components have a message kind in common.
        """

    @property
    def sender(self) -> str:
        """Name of the sending process."""

    @property
    def seq(self) -> int:
        """Sequence number that pairs a response with its request, for components that need it."""


# A component's message, addressed to a member of this process's group by name, or to any process by address.
# A message to this process's own name is delivered at once without a datagram.
Outgoing = AddressedMessage[str | Address, WireMessage]


class Runtime(Protocol):
    """The services that a process provides to its components."""

    @property
    def config(self) -> FleetConfig:
        """The process's fleet configuration."""

    @property
    def settings(self) -> Settings:
        """The policy's settings."""

    @property
    def log(self) -> Log:
        """The node's log."""

    @property
    def lifecycle(self) -> Lifecycle:
        """The node's state: serving, draining or ending."""

    @property
    def rng(self) -> Random:
        """The random number generator that membership uses; new components use `random_stream` instead."""

    @property
    def membership(self) -> Swim:
        """The state machine that tracks the members of this process's group, available from `open` on.

        Each incarnation of the process has a new one. Components only read it: `me`, `members`, `alive()`.
        """

    def random_stream(self, purpose: str) -> Random:
        """Return a separate random stream, which is the same for the same seed and purpose."""

    def now(self) -> int:
        """Return the monotonic clock, which also advances while the process is suspended."""

    def wall(self) -> int:
        """Return Unix time, which steps when the system clock is set."""

    def alive(self) -> list[str]:
        """Return the names of the other members that are alive, or suspected but not known to be dead."""

    def departed(self) -> list[str]:
        """Return the names of the members that left or died and that membership has not forgotten yet."""

    def address_of(self, member: str) -> Address | None:
        """Return the address at which a member receives datagrams; None if the member is unknown."""

    def schedule(self) -> None:
        """Set the timer of the next `tick` again.

        A component must call this when its deadline changes outside `tick` and `received`.
        """

    def end_process(self) -> None:
        """End this process as SIGTERM does, once the messages that the calling component returns are sent."""


class Component(Protocol):
    """One function of the fleet; the default implementation of each method does nothing.

    An incarnation of a process lasts from its `open` to the next `close`. Call order: the constructor,
    `open`, then `tick`, `received` and `deadline` in any order, then `leave` on a planned shutdown, then
    `close`. When a process joins again, `open` is called again. `status` and `close` may also be called
    before `open`, and `status` after `close`. An exception in any method except `open` is reported to the
    event loop's exception handler and stops nothing else; an exception in `open` keeps the process from
    starting.
    """

    @property
    def payload_codecs(self) -> Sequence[PayloadCodec]:
        """Encoders and decoders of this component's message kinds; read once, before `open`."""
        return ()

    def open(self) -> None:
        """Start a new incarnation of the process, which has its socket now and has joined its group."""
        return

    def close(self) -> None:
        """Stop this component: the process's socket is about to be closed, and no messages follow."""
        return

    def leave(self, now: int) -> Sequence[Outgoing]:
        """Return the last messages that this component sends before a planned shutdown."""
        return ()

    def deadline(self, now: int) -> int | None:
        """Return when `tick` is due; None if never. It must be cheap: the runtime asks on each datagram."""
        return None

    def tick(self, now: int) -> Sequence[Outgoing]:
        """Perform this component's actions that are due, and return the messages to send.

        It is also called before the deadline, whenever another component is due.
        """
        return ()

    def received(self, now: int, sender: Address, message: Any) -> Sequence[Outgoing]:
        """Handle an authenticated message that came from `sender`, and return the messages to send.

        The message's kind is one of those of this component's `payload_codecs`.
        """
        return ()

    def member_forgotten(self, name: str) -> None:
        """Drop the state of a member that left or died and that membership has now forgotten."""
        return

    def status(self, now: int) -> dict[str, Any]:
        """Return this component's keys and JSON values of the page `GET /fleet`; durations in seconds."""
        return {}
