"""What a client's connection needs of those around it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from balancer.net.downstream.message import Message
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.memory_budget import MemoryBudget

if TYPE_CHECKING:
    from balancer.net.downstream.client_connection import Caller


class Handler(Protocol):
    """What a connection hands its requests to."""

    def message(self, caller: Caller, message: Message) -> None:
        """A request, whole or with an upload; one `caller.answer` or `caller.begin` must follow."""

    def beyond(self, caller: Caller, message: Message) -> None:
        """A request for which there is no room; `caller.answer` must be called once for it."""

    def spoilt(self, caller: Caller, status: int) -> None:
        """The open request's upload will not go on; `caller.answer` must be called unless it has been."""

    def left(self, caller: Caller) -> None:
        """The client went away while its request was open."""


class Crowd(Protocol):
    """What a connection needs of the crowd that it is one of."""

    loop: asyncio.AbstractEventLoop
    memory_budget: MemoryBudget
    descriptor_budget: DescriptorBudget
    life: Lifecycle
    callers: set[Caller]
    handler: Handler

    def keep_few(self) -> None:
        """Looks whether an idle connection has to give way."""
