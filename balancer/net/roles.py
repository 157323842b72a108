"""What a client's connection needs of those around it."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from balancer.net.descriptors import Descriptors
from balancer.net.lifecycle import Lifecycle
from balancer.net.message import Message
from balancer.net.room import Room

Connection = TypeVar("Connection")  # the class of the client's connection, which imports this module
ConnectionIn = TypeVar("ConnectionIn", contravariant=True)


class Handler(Protocol[ConnectionIn]):
    """What a connection hands its requests to."""

    def message(self, caller: ConnectionIn, message: Message) -> None:
        """A request, whole or with an upload; one `caller.answer` or `caller.begin` must follow."""

    def beyond(self, caller: ConnectionIn, message: Message) -> None:
        """A request for which there is no room; `caller.answer` must be called once for it."""

    def spoilt(self, caller: ConnectionIn, status: int) -> None:
        """The open request's upload will not go on; `caller.answer` must be called unless it has been."""

    def left(self, caller: ConnectionIn) -> None:
        """The client went away while its request was open."""


class Crowd(Protocol[Connection]):
    """What a connection needs of the crowd that it is one of."""

    loop: asyncio.AbstractEventLoop
    room: Room
    budget: Descriptors
    life: Lifecycle
    callers: set[Connection]
    handler: Handler[Connection]

    def keep_few(self) -> None:
        """Looks whether an idle connection has to give way."""
